package forward_test

import (
	"context"
	"fmt"
	"maps"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"sequoialead"
	"sequoialead/core/proxyconfig"
)

// Each sender has to ask before it sends to a server that is leaving or wants nothing.
func TestEverySenderHeedsNotices(t *testing.T) {
	leaving, holdOff := sequoialead.ServerNotice{Leaving: true}, sequoialead.ServerNotice{HoldOff: 10 * time.Second}
	stream := proxyconfig.Route{Kind: proxyconfig.KindStream, Pools: []proxyconfig.WeightedPool{{Pool: "draft", Weight: 1}}}
	resumable := stream
	resumable.Resumable = true
	safe := proxyconfig.Route{Kind: proxyconfig.KindSafe, Pools: []proxyconfig.WeightedPool{{Pool: "desk", Weight: 1}}}
	staged := stagedRoute()
	tests := []struct {
		desc   string
		route  proxyconfig.Route
		script string
		// told is the server that says something, and sender the kind of what reaches it.
		told   string
		sender string
		notice sequoialead.ServerNotice
	}{
		{"first attempts", stream, "events", "draft-0", "send", leaving},
		{"first attempts of requests that fail", safe, "failed", "desk-1", "send", leaving},
		{"first attempts, refused", safe, "shed", "desk-1", "send", holdOff},
		{"retries after a refusal", safe, "shed shed done", "desk-1", "send", leaving},
		{"retries after a failure", safe, "failed done", "desk-1", "send", leaving},
		{"retries to a server that wants nothing", safe, "shed done", "desk-1", "send", holdOff},
		{"streams that another server continues", resumable, "broken events", "draft-1", "send", leaving},
		{"calls that make pieces", staged, "events", "encode-1", "make", leaving},
		{"calls that make pieces, refused", staged, "events", "encode-1", "make", holdOff},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			c := qt.New(t)
			w := newFakePlatform()
			w.setRoute(test.route)
			w.notices = map[string]sequoialead.ServerNotice{test.told: test.notice}
			f := w.newForwarder(t)
			for n := range 40 {
				w.advance(100 * time.Millisecond)
				w.script = strings.Fields(test.script)
				p := newProxyRequest(w)
				p.ID = fmt.Sprintf("r%d", n)
				if len(test.route.Stages) > 0 {
					p.Pieces, p.PieceKey = []int{1, 2, 3}, "k"
				}
				f.Serve(context.Background(), p, &recordingSink{})
				f.Refresh()
			}
			w.mu.Lock()
			defer w.mu.Unlock()
			c.Assert(w.arrivals[test.sender+" "+test.told], qt.Equals, 1, qt.Commentf("%v", w.arrivals))
			c.Assert(w.arrivals["free "+test.told] <= 1, qt.IsTrue, qt.Commentf("%v", w.arrivals))
		})
	}
}

// Results at a server that wants nothing are freed afterwards.
func TestFreeingWaitsForTheEndOfAHold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		w := newFakePlatform()
		w.lease.Renew(time.Now())
		w.setRoute(stagedRoute())
		w.keepOnly("encode-0")
		f := w.newForwarderOnClock(t, time.Now)
		serve := func(id string) {
			p := newProxyRequest(w)
			p.ID, p.ArrivedAt, p.CallerTimeout = id, time.Now(), 3*time.Second
			p.Pieces, p.PieceKey = []int{1, 0, 0}, "k"
			f.Serve(context.Background(), p, &recordingSink{})
		}
		w.script = []string{"hang"}
		done := make(chan struct{})
		go func() {
			defer close(done)
			serve("r1") // holds its results until its time is out
		}()
		time.Sleep(time.Second)
		w.mu.Lock()
		w.notices = map[string]sequoialead.ServerNotice{"encode-0": {HoldOff: 10 * time.Second}}
		w.mu.Unlock()
		serve("r2")
		<-done
		w.mu.Lock()
		w.notices = nil
		w.mu.Unlock()
		time.Sleep(5 * time.Second)
		c.Assert(w.count("make encode-0"), qt.Equals, 2)
		c.Assert(w.count("free encode-0"), qt.Equals, 0)
		time.Sleep(5 * time.Second)
		c.Assert(w.count("free encode-0"), qt.Equals, 1)
	})
}

// A server that was listed again, or left out for a while, is still the one that said that it
// leaves; another process under its ID is not.
func TestNoticesBelongToAProcess(t *testing.T) {
	c := qt.New(t)
	w := newFakePlatform()
	w.setRoute(proxyconfig.Route{Kind: proxyconfig.KindSafe, Pools: []proxyconfig.WeightedPool{{Pool: "desk", Weight: 1}}})
	w.keepOnly("desk-1", "desk-2")
	w.notices = map[string]sequoialead.ServerNotice{"desk-1": {Leaving: true}}
	f := w.newForwarder(t)
	serve := func() {
		for range 20 {
			w.advance(100 * time.Millisecond)
			f.Serve(context.Background(), newProxyRequest(w), &recordingSink{})
		}
	}
	serve()
	c.Assert(w.count("send desk-1"), qt.Equals, 1)
	all := w.servers
	w.keepOnly("desk-2")
	f.Refresh()
	serve()
	w.servers = all
	f.Refresh()
	serve()
	c.Assert(w.count("send desk-1"), qt.Equals, 1) // evacuated or lapsed meanwhile, but the same process
	w.notices = nil
	for i := range w.servers {
		w.servers[i].StartedAt = w.now
	}
	f.Refresh()
	serve()
	c.Assert(w.count("send desk-1") > 1, qt.IsTrue)
}

func TestAllServersWantNothing(t *testing.T) {
	tests := []struct {
		desc      string
		holds     []time.Duration
		objective time.Duration
		status    int
		// least and most bound the hint for the caller.
		least, most time.Duration
	}{
		{"refused at once with the time of the first that is ready", []time.Duration{8 * time.Second, 3 * time.Second, 5 * time.Second}, time.Second, http.StatusServiceUnavailable, 2 * time.Second, 4 * time.Second},
		{"waits if the first is ready soon enough", []time.Duration{8 * time.Second, 500 * time.Millisecond, 5 * time.Second}, 8 * time.Second, 0, 0, 0},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				w := newFakePlatform()
				w.lease.Renew(time.Now())
				w.setRoute(proxyconfig.Route{Kind: proxyconfig.KindSafe, Objective: test.objective, MaxAttempts: 1, Pools: []proxyconfig.WeightedPool{{Pool: "desk", Weight: 1}}})
				f := w.newForwarderOnClock(t, time.Now)
				w.notices = map[string]sequoialead.ServerNotice{}
				for i, hold := range test.holds {
					w.notices[fmt.Sprintf("desk-%d", i)] = sequoialead.ServerNotice{HoldOff: hold}
				}
				for w.total("send desk-") < len(test.holds) {
					w.script = []string{"shed"}
					p := newProxyRequest(w)
					p.ArrivedAt = time.Now()
					f.Serve(context.Background(), p, &recordingSink{})
				}
				w.notices = nil
				p := newProxyRequest(w)
				p.ArrivedAt = time.Now()
				start := time.Now()
				result := f.Serve(context.Background(), p, &recordingSink{})
				c.Assert(result.Status, qt.Equals, test.status)
				if test.status != 0 {
					c.Assert(time.Since(start), qt.Equals, time.Duration(0))
					c.Assert(result.Reason, qt.Equals, sequoialead.ReasonHeld)
					c.Assert(result.RetryAfter >= test.least && result.RetryAfter <= test.most, qt.IsTrue, qt.Commentf("%v", result.RetryAfter))
				}
			})
		})
	}
}

// count returns how often something reached a server.
func (w *fakePlatform) count(key string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.arrivals[key]
}

// total returns how often something reached the servers whose keys begin with prefix.
func (w *fakePlatform) total(prefix string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := 0
	for key := range maps.Keys(w.arrivals) {
		if strings.HasPrefix(key, prefix) {
			n += w.arrivals[key]
		}
	}
	return n
}

// keepOnly removes the servers of the named ones' pools that are not named.
func (w *fakePlatform) keepOnly(names ...string) {
	var kept []sequoialead.Server
	for _, s := range w.servers {
		samePool, named := false, false
		for _, name := range names {
			samePool = samePool || strings.HasPrefix(name, s.Pool+"-")
			named = named || name == s.ID
		}
		if !samePool || named {
			kept = append(kept, s)
		}
	}
	w.servers = kept
}
