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
	tests := []struct {
		desc     string
		failEach int
		state    string
	}{
		{"good", 0, "completed"},
		{"bad", 2, "rolled_back"},
	}
	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			c := qt.New(t)
			g := startGateways(t, &gatewaySite{revocationTimeout: 5 * time.Second, settings: fmt.Sprintf("expose = %g\nexposeslack = %d\nrollback = 5s\n", share, slack)}, 2)
			for _, id := range []string{"desk-1", "desk-2"} {
				opts := g.backendOptions[id]
				opts.Version = "v1"
				g.putBackendRecord(id, "desk", opts, "ready")
			}
			for _, p := range g.procs {
				g.sendRequest(p, "GET", "/check/", "before"+fmt.Sprint(p.index), "k1")
			}
			arrived := func(ids ...string) (n int) {
				for _, id := range ids {
					n += len(g.backends[id].Arrivals())
				}
				return n
			}
			old := arrived("desk-1", "desk-2")
			for _, id := range []string{"desk-3", "desk-4"} {
				g.addBackend(id, "desk", backend.Options{Slots: 4, Version: "v2", FailEach: tt.failEach})
			}
			g.store.Put("keyed.op", "rollout/desk", fmt.Appendf(nil, `{"service":"desk","target":"v2","duration_s":%g}`, duration.Seconds()))
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
						g.sendRequest(g.procs[i%2], "GET", "/check/", fmt.Sprintf("r%d-%d", i, n), "k1")
					}
				})
			}

			final := func() bool {
				target, state := g.rolloutState("desk")
				return target == "v2" && (state == "completed" || state == "rolled_back")
			}
			g.waitFor("the order is decided", final)
			took := time.Since(ordered)
			_, state := g.rolloutState("desk")
			c.Assert(state, qt.Equals, tt.state)
			c.Logf("%s after %s: %d requests at the new servers, %d at the old ones", state, took, arrived("desk-3", "desk-4"), arrived("desk-1", "desk-2")-old)
			c.Assert(took < duration, qt.IsTrue, qt.Commentf("%s", took))
			time.Sleep(1200 * time.Millisecond) // both gateways read the final state
			before := map[string]int{"new": arrived("desk-3", "desk-4"), "old": arrived("desk-1", "desk-2")}
			time.Sleep(time.Second)
			if tt.state == "completed" {
				c.Assert(arrived("desk-1", "desk-2"), qt.Equals, before["old"])
				c.Assert(arrived("desk-3", "desk-4") > before["new"], qt.IsTrue)
			} else {
				c.Assert(arrived("desk-3", "desk-4"), qt.Equals, before["new"])
				c.Assert(arrived("desk-1", "desk-2") > before["old"], qt.IsTrue)
				all := before["new"] + before["old"] - old
				c.Assert(float64(before["new"]) <= share*float64(all)+slack, qt.IsTrue, qt.Commentf("%d of %d", before["new"], all))
			}
			finals := 0
			for _, raw := range g.store.Values("keyed.status", "rollout/desk") {
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
