package forward_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"sequoialead"
	"sequoialead/core/lease"
	"sequoialead/core/proxyconfig"
)

// hopelessLoad is a burst of urgent requests that takes the stage servers from less urgent
// ones, whose orders then count as late and stand behind all others.
func hopelessLoad() []arrivals {
	pieces := func(n ...int) func(*rand.Rand) []int { return func(*rand.Rand) []int { return n } }
	model := []proxyconfig.WeightedPool{{Pool: "model", Weight: 1}}
	return []arrivals{
		{
			route:     proxyconfig.Route{Name: "chat", Kind: proxyconfig.KindStream, Objective: 1500 * time.Millisecond, Priority: 1, Pools: model, Stages: []proxyconfig.Stage{{Pool: "encode", Bytes: 1000}}},
			perSecond: 8, burst: 3.5, burstFrom: 4 * time.Second, burstTo: 16 * time.Second, pieces: pieces(10),
		},
		{
			route: proxyconfig.Route{Name: "digest", Kind: proxyconfig.KindStream, Objective: 4 * time.Second, Priority: 6, Pools: model,
				Stages: []proxyconfig.Stage{{Pool: "encode", Bytes: 1000}, {Pool: "encode", After: []int{0}, Bytes: 1000}}},
			perSecond: 8, burst: 1, pieces: pieces(10, 10),
		},
	}
}

// A request that can't be served is refused at once, whatever it would wait for.
func TestUnservableRequestsAreRefusedAtOnce(t *testing.T) {
	staged := stagedRoute()
	plain := proxyconfig.Route{Kind: proxyconfig.KindSafe, Pools: []proxyconfig.WeightedPool{{Pool: "desk", Weight: 1}}}
	tests := []struct {
		desc   string
		route  proxyconfig.Route
		change func(w *fakePlatform, p *sequoialead.ProxyRequest)
		reason sequoialead.Reason
	}{
		{"the pool has no server", plain, func(w *fakePlatform, _ *sequoialead.ProxyRequest) { w.keepOnly("desk-none") }, sequoialead.ReasonNone},
		{"the pool of a stage has no server", staged, func(w *fakePlatform, _ *sequoialead.ProxyRequest) { w.keepOnly("encode-none") }, sequoialead.ReasonNone},
		{"less time than the stages take", staged, func(w *fakePlatform, p *sequoialead.ProxyRequest) {
			w.config.Pools["encode"].Pieces.CallTime = 300 * time.Millisecond
			p.CallerTimeout = 500 * time.Millisecond
		}, sequoialead.ReasonLate},
		{"the caller's time is nearly over", plain, func(_ *fakePlatform, p *sequoialead.ProxyRequest) { p.CallerTimeout = 50 * time.Millisecond }, sequoialead.ReasonLate},
		{"a stale configuration, and the caller's time is nearly over", plain, func(w *fakePlatform, p *sequoialead.ProxyRequest) {
			w.lease = lease.New()
			p.CallerTimeout = 20 * time.Millisecond
		}, sequoialead.ReasonStale},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				w := newFakePlatform()
				w.admission = true
				w.lease.Renew(time.Now())
				w.setRoute(test.route)
				p := newProxyRequest(w)
				p.ArrivedAt, p.Pieces, p.PieceKey = time.Now(), []int{1, 1, 1}, "k"
				test.change(w, p)
				f := w.newForwarderOnClock(t, time.Now)
				v := f.Serve(context.Background(), p, &recordingSink{})
				c.Check(v.Status, qt.Equals, http.StatusServiceUnavailable)
				c.Check(v.Reason, qt.Equals, test.reason)
				c.Check(time.Since(p.ArrivedAt), qt.Equals, time.Duration(0))
				c.Check(v.RetryAfter > 0 && v.RetryAfter <= p.CallerTimeout/3, qt.IsTrue, qt.Commentf("%s", v.RetryAfter))
				c.Check(w.made, qt.HasLen, 0)
				c.Check(w.attempts, qt.HasLen, 0)
			})
		})
	}
}

// Requests whose stages wait behind more urgent ones were held until their deadline, so that
// their callers got no answer. They have to be refused while callers still listen.
func TestHopelessRequestsEndBeforeDeadline(t *testing.T) {
	for seed := uint64(1); seed <= 3; seed++ {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			figure := func(admission bool) (unheard int, shares map[string]float64) {
				synctest.Test(t, func(t *testing.T) {
					m := newLoadModel(map[string]int{"model": 8, "encode": 4}, map[string]*proxyconfig.PieceLimits{
						"encode": {MaxBatch: 20, CallTime: 240 * time.Millisecond, ItemTime: 10 * time.Millisecond, RoomBytes: 10_000_000},
					})
					m.admission = admission
					shares = replay(t, m, seed, 24*time.Second, hopelessLoad())
					unheard = m.unheard["chat"] + m.unheard["digest"]
					t.Logf("admission %t: on time %v, unheard %v, refused chat %d after %s, digest %d after %s, %d pieces", admission, shares, m.unheard,
						len(m.refused["chat"]), mean(m.refused["chat"]), len(m.refused["digest"]), mean(m.refused["digest"]), m.made)
				})
				return unheard, shares
			}
			before, _ := figure(false)
			after, _ := figure(true)
			c := qt.New(t)
			c.Check(before > 0, qt.IsTrue, qt.Commentf("the load does not show the fault"))
			c.Check(after, qt.Equals, 0)
		})
	}
}
