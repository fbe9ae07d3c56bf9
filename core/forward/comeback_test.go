package forward_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"sequoialead"
	"sequoialead/core/proxyconfig"
)

// Less urgent callers were held until their deadline, behind more urgent ones that come back. They
// have to be refused while they can still come back, not much more often than is of use, and at
// no cost to the shares that are on time.
func TestRefusedCallersComeBack(t *testing.T) {
	const seeds = 5
	type figures struct {
		chat, digest            float64
		unheard, refused, again int
	}
	play := func(admission bool) (f figures) {
		for seed := uint64(1); seed <= seeds; seed++ {
			synctest.Test(t, func(t *testing.T) {
				m := newLoadModel(map[string]int{"model": 8, "encode": 4}, map[string]*proxyconfig.PieceLimits{
					"encode": {MaxBatch: 20, CallTime: 240 * time.Millisecond, ItemTime: 10 * time.Millisecond, RoomBytes: 10_000_000},
				})
				m.admission, m.comeBack = admission, true
				load := hopelessLoad()
				load[0].burstTo = 10 * time.Second
				for i := range load {
					load[i].route.Timeout = 6 * time.Second
				}
				shares := replay(t, m, seed, 20*time.Second, load)
				f.chat += shares["chat"] / seeds
				f.digest += shares["digest"] / seeds
				f.unheard += m.unheard["chat"] + m.unheard["digest"]
				f.refused += len(m.refused["digest"])
				f.again += m.again["digest"]
			})
		}
		t.Logf("admission %t: on time chat %.3f, digest %.3f; unheard %d; digest refused %d, of these again %d", admission, f.chat, f.digest, f.unheard, f.refused, f.again)
		return f
	}
	before, after := play(false), play(true)
	c := qt.New(t)
	c.Check(before.unheard > 500, qt.IsTrue, qt.Commentf("the load does not show the fault"))
	c.Check(after.unheard <= 25, qt.IsTrue)
	c.Check(after.chat >= before.chat, qt.IsTrue)
	c.Check(after.digest >= before.digest-0.02, qt.IsTrue) // runs of one seed differ by 0.02
	c.Check(after.again <= 5*(after.refused-after.again), qt.IsTrue)
}

// A refusal that has nothing to do with load carried no hint, or one from the caller's time alone.
func TestRetryAfterOtherRefusals(t *testing.T) {
	tests := []struct {
		desc        string
		change      func(w *fakePlatform, p *sequoialead.ProxyRequest)
		least, most time.Duration
	}{
		{"stale configuration", func(w *fakePlatform, p *sequoialead.ProxyRequest) { p.ArrivedAt = w.now.Add(time.Minute) }, 450 * time.Millisecond, 550 * time.Millisecond},
		{"stale configuration, little time left", func(w *fakePlatform, p *sequoialead.ProxyRequest) {
			p.ArrivedAt, p.CallerTimeout = w.now.Add(4800*time.Millisecond), 600*time.Millisecond
		}, 1, 2 * time.Second},
		{"no configuration", func(w *fakePlatform, p *sequoialead.ProxyRequest) {
			w.config, p.CallerTimeout = nil, 600*time.Millisecond
		}, 200 * time.Millisecond, 200 * time.Millisecond},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			c := qt.New(t)
			w := newFakePlatform()
			w.admission = true
			w.setRoute(proxyconfig.Route{Kind: proxyconfig.KindSafe, Pools: []proxyconfig.WeightedPool{{Pool: "desk", Weight: 1}}})
			f := w.newForwarder(t)
			p := newProxyRequest(w)
			test.change(w, p)
			v := f.Serve(context.Background(), p, &recordingSink{})
			c.Assert(v.Status, qt.Equals, 503)
			c.Assert(v.RetryAfter >= test.least && v.RetryAfter <= test.most, qt.IsTrue, qt.Commentf("%s", v.RetryAfter))
		})
	}
}

// A request that waits for a place starts as soon as one becomes free, also while a more urgent one
// waits for another pool. That one was woken instead, and the place stayed free for up to 20 ms.
func TestFreePlaceWakesWaiterOfItsPool(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		w := newFakePlatform()
		w.lease.Renew(time.Now())
		w.config.Pools["desk"].MaxConns = 1
		w.config.Pools["none"] = &proxyconfig.Pool{Name: "none", MaxConns: 1}
		for name, pool := range map[string]string{"busy": "desk", "urgent": "none"} {
			w.config.Routes[name] = []*proxyconfig.Route{{
				Name: name, Host: name, Prefix: "/", Kind: proxyconfig.KindUnsafe, Objective: 8 * time.Second, MaxAttempts: 1, Pools: []proxyconfig.WeightedPool{{Pool: pool, Weight: 1}},
				Priority: map[string]int{"busy": 5}[name],
			}}
		}
		w.servers = w.servers[:1]
		w.answerTime = 207 * time.Millisecond // no multiple of the time between two checks
		f := w.newForwarderOnClock(t, time.Now)
		ended := make(chan time.Duration, 3)
		start := time.Now()
		for i, host := range []string{"urgent", "busy", "busy"} {
			p := newProxyRequest(w)
			p.ID, p.Host, p.ArrivedAt = fmt.Sprintf("r%d", i), host, time.Now()
			go func() {
				f.Serve(context.Background(), p, &recordingSink{})
				ended <- time.Since(start)
			}()
			synctest.Wait()
		}
		c.Check(<-ended, qt.Equals, 207*time.Millisecond)
		c.Check(<-ended, qt.Equals, 414*time.Millisecond)
		c.Check(<-ended, qt.Equals, time.Second) // an eighth of the objective
	})
}
