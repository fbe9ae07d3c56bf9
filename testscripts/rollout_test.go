package testscripts

import (
	"encoding/json"
	"fmt"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"sequoialead/fake/backend"
)

// rolloutState returns the target and the state in the newest status of a service.
func (g *gatewaySite) rolloutState(service string) (target, state string) {
	var status struct{ Target, State string }
	_ = json.Unmarshal(g.store.Newest("keyed.status", "rollout/"+service), &status) // empty until it is written
	return status.Target, status.State
}

// TestGatewayRollsOut checks that a good version of a service is completed before its
// deadline, with the old servers idle, and that a bad one is rolled back after few requests
// and gets none afterwards.
func TestGatewayRollsOut(t *testing.T) {
	const (
		duration = 8 * time.Second
		share    = 0.1
		slack    = 50
	)
	desk, encode := backend.Options{Slots: 4}, backend.Options{Slots: 1, Room: 100, ServiceTime: 20 * time.Millisecond}
	tests := []struct {
		desc     string
		pool     string
		opts     backend.Options
		old      []string
		failEach int
		state    string
	}{
		{"good", "desk", desk, []string{"desk-1", "desk-2"}, 0, "completed"},
		{"bad", "desk", desk, []string{"desk-1", "desk-2"}, 2, "rolled_back"},
		{"good stage", "encode", encode, []string{"encode-1", "encode-2"}, 0, "completed"},
		{"bad stage", "encode", encode, []string{"encode-1", "encode-2"}, 2, "rolled_back"},
	}
	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			c := qt.New(t)
			g := startGateways(t, &gatewaySite{revocationTimeout: 5 * time.Second, settings: fmt.Sprintf("expose = %g\nexposeslack = %d\nrollback = 5s\n", share, slack)}, 2)
			g.addBackend("encode-2", "encode", encode)
			for _, id := range tt.old {
				opts := g.backendOptions[id]
				opts.Version = "v1"
				g.putBackendRecord(id, tt.pool, opts, "ready")
			}
			send := func(p *gatewayProcess, id string) {
				if tt.pool == "desk" {
					g.sendRequest(p, "GET", "/check/", id, "k1")
				} else {
					g.sendRequest(p, "POST", "/draft/x", id, "k1")
				}
			}
			for _, p := range g.procs {
				send(p, "before"+fmt.Sprint(p.index))
			}
			arrived := func(ids ...string) (n int) {
				for _, id := range ids {
					n += len(g.backends[id].Arrivals()) + g.backends[id].PieceCalls()
				}
				return n
			}
			arrivedOld := func() int { return arrived(tt.old...) }
			arrivedNew := func() int { return arrived("new-1", "new-2") }
			old := arrivedOld()
			for _, id := range []string{"new-1", "new-2"} {
				opts := tt.opts
				opts.Version, opts.FailEach = "v2", tt.failEach
				g.addBackend(id, tt.pool, opts)
			}
			g.store.Put("keyed.op", "rollout/"+tt.pool, fmt.Appendf(nil, `{"service":%q,"target":"v2","duration_s":%g}`, tt.pool, duration.Seconds()))
			ordered := time.Now()

			stop := make(chan struct{})
			var callers sync.WaitGroup
			defer callers.Wait()
			defer close(stop)
			for i := range 8 {
				callers.Go(func() {
					for n := 0; ; n++ {
						select {
						case <-stop:
							return
						case <-time.After(60 * time.Millisecond):
						}
						send(g.procs[i%2], fmt.Sprintf("r%d-%d", i, n))
					}
				})
			}

			final := func() bool {
				target, state := g.rolloutState(tt.pool)
				return target == "v2" && (state == "completed" || state == "rolled_back")
			}
			g.waitFor("the order is decided", final)
			took := time.Since(ordered)
			_, state := g.rolloutState(tt.pool)
			c.Assert(state, qt.Equals, tt.state)
			c.Logf("%s after %s: %d requests at the new servers, %d at the old ones", state, took, arrivedNew(), arrivedOld()-old)
			c.Assert(took < duration, qt.IsTrue, qt.Commentf("%s", took))
			time.Sleep(1200 * time.Millisecond) // both gateways read the final state
			before := map[string]int{"new": arrivedNew(), "old": arrivedOld()}
			time.Sleep(time.Second)
			if tt.state == "completed" {
				c.Assert(arrivedOld(), qt.Equals, before["old"])
				c.Assert(arrivedNew() > before["new"], qt.IsTrue)
			} else {
				c.Assert(arrivedNew(), qt.Equals, before["new"])
				c.Assert(arrivedOld() > before["old"], qt.IsTrue)
				all := before["new"] + before["old"] - old
				c.Assert(float64(before["new"]) <= share*float64(all)+slack, qt.IsTrue, qt.Commentf("%d of %d", before["new"], all))
			}
			finals := 0
			for _, raw := range g.store.Values("keyed.status", "rollout/"+tt.pool) {
				var status struct{ State string }
				c.Assert(json.Unmarshal(raw, &status), qt.IsNil)
				if status.State != "running" {
					finals++
				}
			}
			c.Assert(finals, qt.Equals, 1)
		})
	}
}
