package forward_test

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"sequoialead"
	"sequoialead/core/forward"
	"sequoialead/core/proxyconfig"
)

// Requests that are passed on late in a planned stop, and last longer than the process, are
// cut without an answer. An entry that leaves accepts them only as long as a balancer may
// not have noticed.
func TestLeavingEntryRefusesWhatMayNotEnd(t *testing.T) {
	// The entry accepts all requests for 2 s, and has to have answered after 7 s.
	const notice, runs = 2 * time.Second, 7 * time.Second
	tests := []struct {
		desc    string
		kind    proxyconfig.Kind
		after   time.Duration
		timeout time.Duration
		// routeTimeout applies beside the caller's timeout.
		routeTimeout time.Duration
		// bodyTime is how long the request's body took to arrive.
		bodyTime time.Duration
		refused  bool
	}{
		{"a stream during the notice", proxyconfig.KindStream, 0, 10 * time.Second, 0, 0, false},
		{"a stream after the notice", proxyconfig.KindStream, notice + 100*time.Millisecond, 10 * time.Second, 0, 0, true},
		{"a short stream after the notice", proxyconfig.KindStream, notice + 100*time.Millisecond, 4 * time.Second, 0, 0, false},
		{"during the notice", proxyconfig.KindUnsafe, notice, 10 * time.Second, 0, 0, false},
		{"after the notice, in time", proxyconfig.KindUnsafe, runs - time.Second, time.Second, 0, 0, false},
		{"after the notice, late", proxyconfig.KindUnsafe, runs - time.Second, 1100 * time.Millisecond, 0, 0, true},
		{"late, may be repeated", proxyconfig.KindSafe, runs - time.Second, 1100 * time.Millisecond, 0, 0, true},
		{"in time by the route's timeout", proxyconfig.KindUnsafe, runs - time.Second, 10 * time.Second, 900 * time.Millisecond, 0, false},
		{"without a caller's timeout", proxyconfig.KindUnsafe, notice + time.Second, 0, 0, 0, true},
		{"arrived during the notice, with a body that took longer", proxyconfig.KindUnsafe, notice + time.Second, 10 * time.Second, 0, 2 * time.Second, true},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			c := qt.New(t)
			w := newFakePlatform()
			w.setRoute(proxyconfig.Route{Kind: test.kind, Timeout: test.routeTimeout, Pools: []proxyconfig.WeightedPool{{Pool: "desk", Weight: 1}}})
			if test.kind == proxyconfig.KindStream {
				w.script = []string{"events"}
			}
			f := w.newForwarder(t)
			f.Drain(w.clock().Add(runs))
			w.advance(test.after)
			p := newProxyRequest(w)
			p.ArrivedAt, p.CallerTimeout = p.ArrivedAt.Add(-test.bodyTime), test.timeout
			v := f.Serve(context.Background(), p, &recordingSink{})
			if !test.refused {
				c.Assert(v.Status, qt.Equals, 0)
				c.Assert(v.Truncated, qt.IsFalse)
				c.Assert(w.attempts, qt.HasLen, 1)
				return
			}
			c.Assert(v.Status, qt.Equals, http.StatusServiceUnavailable)
			c.Assert(v.Reason, qt.Equals, sequoialead.ReasonLeaving)
			c.Assert(v.RetryAfter > 0, qt.IsTrue)
			c.Assert(w.attempts, qt.HasLen, 0)
		})
	}
}

// A request that comes after an entry has refused the unsent ones was still passed on, since
// the refusal reached it in another goroutine.
func TestNothingIsSentAfterAbortUnsent(t *testing.T) {
	c := qt.New(t)
	w := newFakePlatform()
	w.setRoute(proxyconfig.Route{Kind: proxyconfig.KindUnsafe, Pools: []proxyconfig.WeightedPool{{Pool: "desk", Weight: 1}}})
	f := w.newForwarder(t)
	f.AbortUnsent()
	for range 100 {
		v := f.Serve(context.Background(), newProxyRequest(w), &recordingSink{})
		c.Assert(v.Status, qt.Equals, http.StatusServiceUnavailable)
		c.Assert(v.Reason, qt.Equals, sequoialead.ReasonLeaving)
	}
	c.Assert(w.attempts, qt.HasLen, 0)
	c.Assert(f.InFlight(), qt.Equals, 0)
}

// Requests that a backend server still runs when the entry's process exits get an answer
// that doesn't say that they have not run; a part of an answer is not made to look whole.
func TestExitingEntryAnswersSentRequests(t *testing.T) {
	tests := []struct {
		desc      string
		kind      proxyconfig.Kind
		script    string
		status    int
		truncated bool
	}{
		{"may not be repeated", proxyconfig.KindUnsafe, "hang", http.StatusBadGateway, false},
		{"may be repeated", proxyconfig.KindSafe, "hang", http.StatusBadGateway, false},
		{"a stream before its first event", proxyconfig.KindStream, "hang", http.StatusBadGateway, false},
		{"a stream after its first event", proxyconfig.KindStream, "events-hang", 0, true},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				w := newFakePlatform()
				w.lease.Renew(time.Now())
				w.setRoute(proxyconfig.Route{Kind: test.kind, Pools: []proxyconfig.WeightedPool{{Pool: "desk", Weight: 1}}})
				w.script = []string{test.script}
				f := w.newForwarderOnClock(t, time.Now)
				p := newProxyRequest(w)
				p.ArrivedAt = time.Now()
				ended := make(chan forward.Result, 1)
				go func() { ended <- f.Serve(context.Background(), p, &recordingSink{}) }()
				synctest.Wait()
				f.Drain(time.Now())
				f.AbortUnsent()
				synctest.Wait()
				c.Assert(f.InFlight(), qt.Equals, 1)
				f.AbortSent()
				v := <-ended
				c.Assert(v.Status, qt.Equals, test.status)
				c.Assert(v.Truncated, qt.Equals, test.truncated)
				c.Assert(v.Reason, qt.Equals, sequoialead.ReasonLeaving)
				c.Assert(w.attempts, qt.HasLen, 1)
			})
		})
	}
}
