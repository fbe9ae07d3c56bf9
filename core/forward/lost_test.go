package forward_test

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"sequoialead"
	"sequoialead/core/proxyconfig"
)

// A request whose server is lost was held until its deadline.
func TestRequestsLeaveSilentServers(t *testing.T) {
	tests := []struct {
		desc      string
		kind      proxyconfig.Kind
		resumable bool
		script    []string
		admission bool
		status    int
		attempts  int
		least     time.Duration
		most      time.Duration
		// servers limits the servers of the pool; 0 for all three.
		servers int
	}{
		{"without the setting", proxyconfig.KindSafe, false, []string{"hang"}, false, http.StatusGatewayTimeout, 1, 10 * time.Second, 10 * time.Second, 0},
		{"may be repeated", proxyconfig.KindSafe, false, []string{"hang"}, true, 0, 2, 400 * time.Millisecond, 2500 * time.Millisecond, 0},
		{"a stream that may be resumed", proxyconfig.KindStream, true, []string{"events-hang", "events"}, true, 0, 2, 400 * time.Millisecond, 2500 * time.Millisecond, 0},
		{"a stream that may be resumed, before its first event", proxyconfig.KindStream, true, []string{"hang", "events"}, true, 0, 2, 400 * time.Millisecond, 2500 * time.Millisecond, 0},
		{"may not be repeated", proxyconfig.KindUnsafe, false, []string{"hang"}, true, http.StatusGatewayTimeout, 1, 10 * time.Second, 10 * time.Second, 0},
		{"no other server", proxyconfig.KindSafe, false, []string{"hang"}, true, http.StatusGatewayTimeout, 1, 10 * time.Second, 10 * time.Second, 1},
		{"all servers are silent", proxyconfig.KindSafe, false, []string{"hang", "hang", "hang"}, true, http.StatusGatewayTimeout, 3, 10 * time.Second, 10 * time.Second, 0},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				w := newFakePlatform()
				w.admission = test.admission
				w.lease.Renew(time.Now())
				w.setRoute(proxyconfig.Route{Kind: test.kind, Resumable: test.resumable, Pools: []proxyconfig.WeightedPool{{Pool: "desk", Weight: 1}}})
				w.script = test.script
				if test.servers == 1 {
					w.keepOnly("desk-0")
				}
				f := w.newForwarderOnClock(t, time.Now)
				p := newProxyRequest(w)
				p.ArrivedAt = time.Now()
				sink := &recordingSink{}
				v := f.Serve(context.Background(), p, sink)
				took := time.Since(p.ArrivedAt)
				c.Check(v.Status, qt.Equals, test.status)
				c.Check(w.attempts, qt.HasLen, test.attempts)
				c.Check(took >= test.least && took <= test.most, qt.IsTrue, qt.Commentf("%s", took))
				if test.resumable {
					c.Check(sink.text.String(), qt.Equals, events("", 1)[0]+events("", 4)[1]+events("", 4)[2]+events("", 4)[3])
				}
			})
		})
	}
}

// Another process in the place of a server shows that its answers are lost, also for requests that
// may not be repeated; their callers get an answer that doesn't say that they have not run.
func TestRequestsLeaveReplacedServers(t *testing.T) {
	for kind, status := range map[proxyconfig.Kind]int{proxyconfig.KindUnsafe: http.StatusBadGateway, proxyconfig.KindSafe: 0} {
		t.Run(string(kind), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				w := newFakePlatform()
				w.admission = true
				w.lease.Renew(time.Now())
				w.setRoute(proxyconfig.Route{Kind: kind, Pools: []proxyconfig.WeightedPool{{Pool: "desk", Weight: 1}}})
				w.script = []string{"hang"}
				f := w.newForwarderOnClock(t, time.Now)
				p := newProxyRequest(w)
				p.ArrivedAt = time.Now()
				time.AfterFunc(150*time.Millisecond, func() {
					w.mu.Lock()
					defer w.mu.Unlock()
					servers := append([]sequoialead.Server(nil), w.servers...)
					for i := range servers {
						if servers[i].ID == w.attempts[0].Server.ID {
							servers[i].StartedAt = time.Now()
						}
					}
					w.servers = servers
				})
				v := f.Serve(context.Background(), p, &recordingSink{})
				took := time.Since(p.ArrivedAt)
				c.Check(v.Status, qt.Equals, status)
				c.Check(took >= 150*time.Millisecond && took <= 350*time.Millisecond, qt.IsTrue, qt.Commentf("%s", took))
			})
		})
	}
}

// Half of the servers run what they get, and every third answer of them is lost, for six seconds.
func TestAnswersAreLost(t *testing.T) {
	play := func(admission bool) (onTime float64, unheard int) {
		synctest.Test(t, func(t *testing.T) {
			m := newLoadModel(map[string]int{"model": 8}, nil)
			m.admission = admission
			start := time.Now()
			var answers atomic.Int32
			m.losesAnswer = func(server sequoialead.Server) bool {
				at := time.Since(start)
				return at > 4*time.Second && at < 10*time.Second && server.ID < "model-4" && answers.Add(1)%3 == 0
			}
			route := proxyconfig.Route{Name: "chat", Kind: proxyconfig.KindStream, Resumable: true, Objective: 2 * time.Second, MaxAttempts: 3, Pools: []proxyconfig.WeightedPool{{Pool: "model", Weight: 1}}}
			shares := replay(t, m, 1, 16*time.Second, []arrivals{{route: route, perSecond: 40, burst: 1, pieces: func(*rand.Rand) []int { return nil }}})
			onTime, unheard = shares["chat"], m.unheard["chat"]
		})
		t.Logf("admission %t: on time %.3f, unheard %d", admission, onTime, unheard)
		return onTime, unheard
	}
	before, unheardBefore := play(false)
	after, unheardAfter := play(true)
	c := qt.New(t)
	c.Check(unheardBefore > 10, qt.IsTrue, qt.Commentf("the load does not show the fault"))
	c.Check(unheardAfter, qt.Equals, 0)
	c.Check(after > before+0.01, qt.IsTrue)
}
