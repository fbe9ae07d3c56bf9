package forward_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

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
