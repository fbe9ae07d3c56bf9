package pool_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"sequoialead"
	"sequoialead/core/pool"
	"sequoialead/core/proxyconfig"
)

// engineFleet plays requests of different sizes against model engines that crash when the
// requests that they run exceed their memory.
type engineFleet struct {
	*fleet
	memory  int
	used    [fleetServers]int
	counts  [fleetServers]int
	process [fleetServers]int
	// downUntil is when an engine that has crashed is back.
	downUntil [fleetServers]time.Duration
	refused   int
	// sent and answeredOf count the small and the large requests.
	sent, answeredOf [2]int
	crashes          int
	killed           int
}

const (
	engineFirstByte = 200 * time.Millisecond
	engineRun       = 3 * time.Second
	engineRestart   = 3 * time.Second
)

// prompt draws a prompt: one of twenty is large, and each has one of sixty shared parts.
func (f *engineFleet) prompt() sequoialead.Prompt {
	own := 500 + int(f.random.ExpFloat64()*3000)
	if f.random.IntN(20) == 0 {
		own = 20_000 + f.random.IntN(40_000)
	}
	return sequoialead.Prompt{Input: 500 + own, Output: 300, Parts: []sequoialead.PromptPart{
		{ID: 1 + f.random.Uint64N(60), Tokens: 500}, {ID: f.random.Uint64(), Tokens: own},
	}}
}

func (f *engineFleet) play(perSecond float64, length time.Duration) {
	var arrive func()
	arrive = func() {
		if f.now > length {
			return
		}
		prompt := f.prompt()
		f.sent[kind(prompt)]++
		f.run(f.entries[f.random.IntN(len(f.entries))], prompt, 0)
		f.after(time.Duration(f.random.ExpFloat64()/perSecond*float64(time.Second)), arrive)
	}
	f.drain(arrive, length)
}

// kind returns 1 for large requests and 0 for the others.
func kind(prompt sequoialead.Prompt) int { return min(prompt.Input/20_000, 1) }

// served returns the shares of small and of large requests that were answered.
func (f *engineFleet) served() (small, large float64) {
	return float64(f.answeredOf[0]) / float64(f.sent[0]), float64(f.answeredOf[1]) / float64(f.sent[1])
}

// run places a request; if no engine may take it, up to ten times within a quarter of a second.
func (f *engineFleet) run(p *pool.Pool, prompt sequoialead.Prompt, tries int) {
	place, _ := p.Acquire(pool.Request{Prompt: prompt}, start().Add(f.now))
	if tries > 10 {
		if place != nil {
			p.Release(place, pool.EndAbandoned, nil, start().Add(f.now))
		}
		f.refused++
		return
	}
	if place == nil {
		f.after(25*time.Millisecond, func() { f.run(p, prompt, tries+1) })
		return
	}
	f.attempts++
	i := 0
	_, _ = fmt.Sscanf(place.Server.ID, "s%d", &i)
	if f.now < f.downUntil[i] {
		p.Release(place, pool.EndUnreachable, nil, start().Add(f.now))
		f.run(p, prompt, tries+1)
		return
	}
	size := prompt.Input + prompt.Output
	f.used[i] += size
	f.counts[i]++
	if f.used[i] > f.memory {
		f.crashes++
		f.killed += f.counts[i]
		f.used[i], f.counts[i] = 0, 0
		f.process[i]++
		f.downUntil[i] = f.now + engineRestart
	}
	process := f.process[i]
	f.after(engineFirstByte, func() {
		if f.process[i] == process {
			place.Reported = &sequoialead.ServerLoad{Running: f.counts[i], Slots: 64, Pace: 100}
			p.RecordFirstByte(place, start().Add(f.now))
		}
	})
	f.after(time.Duration((0.5+f.random.Float64())*float64(engineRun)), func() {
		if f.process[i] != process {
			p.Release(place, pool.EndFailed, nil, start().Add(f.now))
			return
		}
		f.used[i] -= size
		f.counts[i]--
		f.answered++
		f.answeredOf[kind(prompt)]++
		p.Release(place, pool.EndDone, place.Reported, start().Add(f.now))
	})
}

// Requests of very different size together exceed the memory of engines, which then crash.
func TestEnginesKeepWithinMemory(t *testing.T) {
	const memory, length = 400_000, 30 * time.Second
	for _, load := range []struct {
		desc      string
		perSecond float64
	}{{"moderate", 150}, {"high", 240}} {
		for _, entries := range []int{30, 100} {
			t.Run(fmt.Sprintf("%s load, %d entries", load.desc, entries), func(t *testing.T) {
				play := func(outlier bool) *engineFleet {
					conf := proxyconfig.Pool{Name: "p", MaxConns: 100 * entries, Slots: 64, MemoryTokens: memory}
					f := &engineFleet{fleet: newFleetOf(conf, entries, outlier), memory: memory}
					f.random = rand.New(rand.NewPCG(3, uint64(entries)))
					f.play(load.perSecond, length)
					return f
				}
				without, with := play(false), play(true)
				t.Logf("without: %d crashes end %d of %d requests, %d refused, %d answered; with: %d crashes end %d of %d, %d refused, %d answered",
					without.crashes, without.killed, without.attempts, without.refused, without.answered, with.crashes, with.killed, with.attempts, with.refused, with.answered)
				small, large := with.served()
				smallWithout, largeWithout := without.served()
				t.Logf("answered of the small and large ones: without %.2f, %.2f; with %.2f, %.2f", smallWithout, largeWithout, small, large)
				c := qt.New(t)
				c.Check(large >= largeWithout, qt.IsTrue)
				c.Check(with.crashes*2 <= without.crashes, qt.IsTrue)
				c.Check(with.answered > without.answered, qt.IsTrue)
			})
		}
	}
}
