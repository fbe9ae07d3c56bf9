package pool_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"sequoialead"
	"sequoialead/core/pool"
	"sequoialead/core/proxyconfig"
)

// Times to the first byte differ from one request to the next at sound engines. Prompts stay at
// the engines that hold their shared parts all the same.
func TestNoisyTimesKeepAffinity(t *testing.T) {
	for _, entries := range []int{30, 100} {
		t.Run(fmt.Sprintf("%d entries", entries), func(t *testing.T) {
			play := func(outlier bool) (away float64) {
				const length = 30 * time.Second
				f := newFleetOf(proxyconfig.Pool{Name: "p", MaxConns: 100 * entries, Slots: 64, MemoryTokens: 400_000}, entries, outlier)
				var busyUntil [fleetServers]time.Duration
				sent, elsewhere := 0, 0
				var arrive func()
				arrive = func() {
					if f.now > length {
						return
					}
					p := f.entries[f.random.IntN(entries)]
					prompt := sequoialead.Prompt{Input: 1500, Output: 100, Parts: []sequoialead.PromptPart{{ID: 1 + f.random.Uint64N(60), Tokens: 1000}, {ID: f.random.Uint64(), Tokens: 500}}}
					if place, _ := p.Acquire(pool.Request{Prompt: prompt}, start().Add(f.now)); place != nil {
						sent++
						if !place.AtHome {
							elsewhere++
						}
						i := 0
						_, _ = fmt.Sscanf(place.Server.ID, "s%d", &i)
						work := time.Duration(20 * math.Exp(0.5*f.random.NormFloat64()) * float64(time.Millisecond))
						busyUntil[i] = max(busyUntil[i], f.now) + work
						f.after(busyUntil[i]-f.now, func() {
							p.RecordFirstByte(place, start().Add(f.now))
							p.Release(place, pool.EndDone, &sequoialead.ServerLoad{Running: 1, Slots: 64}, start().Add(f.now))
						})
					}
					f.after(time.Duration(f.random.ExpFloat64()/300*float64(time.Second)), arrive)
				}
				f.drain(arrive, length)
				return float64(elsewhere) / float64(sent)
			}
			without, with := play(false), play(true)
			t.Logf("sent elsewhere: without %.4f, with %.4f", without, with)
			qt.Check(t, with <= without+0.01, qt.IsTrue)
		})
	}
}
