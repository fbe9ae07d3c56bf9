package forward_test

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"sequoialead"
	"sequoialead/core/forward"
	"sequoialead/core/pool"
	"sequoialead/core/proxyconfig"
	"sequoialead/core/retries"
)

// Two of twelve stage servers reset every connection. They have no call in flight, so they
// draw all calls, and the failures use up the retry budget.
func TestResettingStageServersAreEjected(t *testing.T) {
	play := func(t *testing.T, seed uint64, outlier bool) (lost int, onTime float64) {
		t.Helper()
		synctest.Test(t, func(t *testing.T) {
			m := newLoadModel(map[string]int{"model": 12, "ledger": 12}, map[string]*proxyconfig.PieceLimits{
				"ledger": {MaxBatch: 16, CallTime: 240 * time.Millisecond, ItemTime: 10 * time.Millisecond, RoomBytes: 10_000_000},
			})
			m.failing = map[string]bool{"ledger-3": true, "ledger-7": true}
			m.failFrom, m.outlier = time.Now().Add(5*time.Second), outlier
			shares := replay(t, m, seed, 15*time.Second, []arrivals{{
				route: proxyconfig.Route{Name: "chat", Kind: proxyconfig.KindStream, Objective: 2 * time.Second, Priority: 1, Pools: []proxyconfig.WeightedPool{{Pool: "model", Weight: 1}},
					Stages: []proxyconfig.Stage{{Pool: "ledger", Bytes: 8_000}}},
				perSecond: 60, burst: 1,
				pieces: func(r *rand.Rand) []int { return []int{1 + r.IntN(6)} },
			}})
			lost, onTime = m.lost, shares["chat"]
		})
		return lost, onTime
	}
	for seed := uint64(1); seed <= 3; seed++ {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			lostBefore, onTimeBefore := play(t, seed, false)
			lost, onTime := play(t, seed, true)
			t.Logf("without: %d calls lost, %.4f on time; with: %d calls lost, %.4f on time", lostBefore, onTimeBefore, lost, onTime)
			c := qt.New(t)
			// Each of the two servers fails three calls, at most two probes before another
			// server has answered (a call takes up to 400 ms, and the pause until then is
			// 250 ms), and at most four probes in ten seconds.
			c.Check(lost <= 2*(3+2+4), qt.IsTrue)
			c.Check(lost*5 <= lostBefore, qt.IsTrue)
			c.Check(onTime >= 0.995, qt.IsTrue)
			c.Check(onTime >= onTimeBefore, qt.IsTrue)
		})
	}
}

// oneFailing holds attempts until release is closed, those at desk-0 until failing is. Later
// attempts at desk-0 end with a step of fakePlatform's script.
type oneFailing struct {
	w                *fakePlatform
	step             string
	failing, release chan struct{}
}

func (x oneFailing) Exchange(ctx context.Context, attempt sequoialead.ProxyAttempt) (*sequoialead.Response, error) {
	until := x.release
	if attempt.Server.ID == "desk-0" {
		select {
		case <-x.failing:
			x.w.mu.Lock()
			x.w.script = []string{x.step}
			x.w.mu.Unlock()
			return x.w.Exchange(ctx, attempt)
		default:
			until = x.failing
		}
	}
	select {
	case <-until:
	case <-ctx.Done():
		return nil, sequoialead.ErrLost.New("given up")
	}
	return x.w.Exchange(ctx, attempt)
}

// Only failures of the server itself eject it: not its refusals, what it says of itself,
// connections that could not be opened, or callers that leave.
func TestEvidenceForEjection(t *testing.T) {
	tests := []struct {
		desc    string
		step    string
		notice  sequoialead.ServerNotice
		timeout time.Duration
		leaves  bool
		want    int
	}{
		{desc: "answers", step: "done"},
		{desc: "lost connections", step: "lost", want: 1},
		{desc: "answers of 500", step: "failed", want: 1},
		{desc: "answers that are broken off", step: "cut", want: 1},
		{desc: "answers that are not the server's", step: "odd", want: 1},
		{desc: "no answer until the deadline", step: "hang", timeout: 2 * time.Second, want: 1},
		{desc: "no answer until the deadline of an impatient caller", step: "hang", timeout: 100 * time.Millisecond},
		{desc: "callers that leave", step: "hang", leaves: true},
		{desc: "refusals", step: "shed"},
		{desc: "another server at the address", step: "elsewhere"},
		{desc: "no connection", step: "unsent"},
		{desc: "failures of a server that is leaving", step: "failed", notice: sequoialead.ServerNotice{Leaving: true}},
		{desc: "failures of a server that wants nothing", step: "failed", notice: sequoialead.ServerNotice{HoldOff: 50 * time.Millisecond}},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newFakePlatform()
				w.lease.Renew(time.Now().Add(time.Hour))
				w.setRoute(proxyconfig.Route{Kind: proxyconfig.KindSafe, Objective: time.Second, MaxAttempts: 1, Pools: []proxyconfig.WeightedPool{{Pool: "desk", Weight: 1}}})
				w.notices = map[string]sequoialead.ServerNotice{"desk-0": test.notice}
				exchanger := oneFailing{w: w, step: test.step, failing: make(chan struct{}), release: make(chan struct{})}
				f := w.newForwarderWith(t, exchanger, time.Now)
				f.Configure(forward.Limits{Revoke: time.Hour, Limits: pool.Limits{
					Retries: retries.Options{Ratio: 0.2, Extra: 100, Window: 10 * time.Second}, ColdFactor: 1, MaxHold: time.Minute, Outlier: true,
				}})
				var requests sync.WaitGroup
				send := func(timeout time.Duration, leaves bool) {
					requests.Go(func() {
						ctx, cancel := context.WithCancel(context.Background())
						defer cancel()
						if leaves {
							time.AfterFunc(2*time.Second, cancel)
						}
						p := newProxyRequest(w)
						p.ArrivedAt, p.CallerTimeout = time.Now(), timeout
						f.Serve(ctx, p, &recordingSink{})
					})
				}
				for range 12 { // all servers are full
					send(time.Minute, false)
				}
				time.Sleep(10 * time.Millisecond)
				close(exchanger.failing) // desk-0 answers those that it has
				time.Sleep(10 * time.Millisecond)
				ejected := 0
				for step := range 40 {
					if step%6 == 0 && step < 24 {
						send(cmp.Or(test.timeout, 10*time.Second), test.leaves)
					}
					time.Sleep(100 * time.Millisecond)
					ejected = max(ejected, f.Pools()["desk"].Ejected)
				}
				qt.Check(t, ejected, qt.Equals, test.want)
				close(exchanger.release)
				requests.Wait()
			})
		})
	}
}

// A request that is larger than the memory of any engine is refused at once.
func TestOversizedRequestIsRefused(t *testing.T) {
	c := qt.New(t)
	w := newFakePlatform()
	w.setRoute(proxyconfig.Route{Kind: proxyconfig.KindStream, Pools: []proxyconfig.WeightedPool{{Pool: "draft", Weight: 1}}})
	w.script = []string{"events"}
	f := w.newForwarder(t)
	p := newProxyRequest(w)
	p.Prompt = sequoialead.Prompt{Input: 900, Output: 101}
	limits := forward.Limits{Revoke: 5 * time.Second, Limits: pool.Limits{Retries: retries.Options{Window: time.Second}, ColdFactor: 1, Outlier: true}}
	f.Configure(limits)
	result := f.Serve(context.Background(), p, &recordingSink{})
	c.Check(result.Status, qt.Equals, http.StatusServiceUnavailable)
	c.Check(result.Reason, qt.Equals, sequoialead.ReasonSize)
	c.Check(w.attempts, qt.HasLen, 0)
	p.Prompt.Output = 100
	c.Check(f.Serve(context.Background(), p, &recordingSink{}).Status, qt.Equals, 0)
}

// However many servers are unusual, only some of them have metrics.
func TestUnusualServersAreBounded(t *testing.T) {
	c := qt.New(t)
	w := newFakePlatform()
	w.setRoute(proxyconfig.Route{Kind: proxyconfig.KindSafe, Pools: []proxyconfig.WeightedPool{{Pool: "desk", Weight: 1}}, MaxAttempts: 1})
	f := w.newForwarder(t)
	c.Assert(f.UnusualServers(2), qt.HasLen, 0)
	w.script = []string{"lost", "lost", "lost"}
	for range 3 {
		f.Serve(context.Background(), newProxyRequest(w), &recordingSink{})
	}
	c.Assert(f.UnusualServers(10), qt.HasLen, 3)
	c.Assert(f.UnusualServers(2), qt.HasLen, 2)
	c.Assert(f.UnusualServers(2)[0].Failures > 0, qt.IsTrue)
}
