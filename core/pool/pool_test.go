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
	"sequoialead/core/retries"
	"sequoialead/core/serverset"
)

func build(conf proxyconfig.Pool, servers, entries int) *pool.Pool {
	return buildWith(false, conf, servers, entries)
}

func buildWith(placement bool, conf proxyconfig.Pool, servers, entries int) *pool.Pool {
	conf.Name = "p"
	p := pool.New(pool.Options{
		Name: "p", Domain: "a", Placement: placement, Random: rand.New(rand.NewPCG(1, 1)),
		Limits: pool.Limits{Retries: retries.Options{Window: time.Second}, ColdFactor: 1.5, ColdSlack: 5},
	})
	p.Update(pool.View{Conf: &conf, Usable: list(servers), Entries: entries}, time.Unix(1000, 0))
	return p
}

func list(n int) []serverset.Member {
	var all []serverset.Member
	for i := range n {
		all = append(all, serverset.Member{Server: sequoialead.Server{ID: fmt.Sprintf("s%d", i), Pool: "p", Domain: string(rune('a' + i%2)), Slots: 4}})
	}
	return all
}

func TestPlacesAreLimited(t *testing.T) {
	c := qt.New(t)
	p := build(proxyconfig.Pool{MaxConns: 100}, 2, 1)
	now := time.Unix(1000, 0)
	var places []*pool.Place
	for {
		place, reason := p.Acquire(pool.Request{}, now)
		if place == nil {
			c.Assert(reason, qt.Equals, sequoialead.ReasonFull)
			break
		}
		places = append(places, place)
	}
	c.Assert(places, qt.HasLen, 8)
	p.Release(places[0], pool.EndDone, nil, now)
	p.Release(places[0], pool.EndDone, nil, now) // a place is released once
	_, reason := p.Acquire(pool.Request{}, now)
	c.Assert(reason, qt.Equals, sequoialead.Reason(""))
	_, reason = p.Acquire(pool.Request{}, now)
	c.Assert(reason, qt.Equals, sequoialead.ReasonFull)
}

// Each entry uses only its part of the connections that a backend server accepts.
func TestConnectionsAreShared(t *testing.T) {
	c := qt.New(t)
	p := build(proxyconfig.Pool{MaxConns: 10}, 1, 5)
	n := 0
	for place, _ := p.Acquire(pool.Request{}, time.Unix(1000, 0)); place != nil; place, _ = p.Acquire(pool.Request{}, time.Unix(1000, 0)) {
		n++
	}
	c.Assert(n, qt.Equals, 2)
}

// Within a second, all entries together send a backend server that may be cold no
// more requests than the limit, even if it restarts under the same ID meanwhile.
func TestColdRateIsShared(t *testing.T) {
	c := qt.New(t)
	const entries = 5
	sent := 0
	for range entries {
		p := build(proxyconfig.Pool{ColdRate: 23, MaxConns: 10000, Slots: 1000, MemoryTokens: 1000}, 1, entries)
		now := time.Unix(1000, 0)
		for step := range 100 {
			if step == 50 {
				restarted := list(1)
				restarted[0].Server.StartedAt = time.Unix(999, 0)
				p.Update(pool.View{Usable: restarted, Entries: entries}, now)
			}
			if place, _ := p.Acquire(pool.Request{}, now); place != nil {
				sent++
				p.Release(place, pool.EndDone, nil, now)
			}
			now = now.Add(9 * time.Millisecond)
		}
	}
	c.Assert(sent > 20 && float64(sent) <= 23*1.5+5, qt.IsTrue, qt.Commentf("%d", sent))
}

// An entry may send short bursts to a backend server known to be warm, but not to one
// that may be cold.
func TestBurstsGoToWarmServersOnly(t *testing.T) {
	const entries = 20 // so many that each one's part is below one request per second
	tests := []struct {
		desc   string
		change func(p *pool.Pool, view *pool.View, now time.Time)
		want   int
	}{
		{"warm", func(*pool.Pool, *pool.View, time.Time) {}, 3},
		{"just seen", func(_ *pool.Pool, view *pool.View, now time.Time) {
			view.Usable[0].Server.StartedAt = now
		}, 1},
		{"its record says that it is cold", func(_ *pool.Pool, view *pool.View, now time.Time) {
			view.Usable[0].ReadAt, view.Usable[0].Server.ColdLeft = now, time.Second
		}, 1},
		{"it failed a request", func(p *pool.Pool, _ *pool.View, now time.Time) {
			place, _ := p.Acquire(pool.Request{}, now.Add(-4*time.Second))
			p.Release(place, pool.EndFailed, nil, now.Add(-2*time.Second))
		}, 1},
		{"it was not reached", func(p *pool.Pool, _ *pool.View, now time.Time) {
			place, _ := p.Acquire(pool.Request{}, now.Add(-4*time.Second))
			p.Release(place, pool.EndUnreachable, nil, now.Add(-2*time.Second))
		}, 1},
		{"its record was not read for long", func(_ *pool.Pool, view *pool.View, now time.Time) {
			view.ReadAt = now.Add(-5 * time.Second)
		}, 1},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			p := build(proxyconfig.Pool{ColdRate: 11, MaxConns: 10000, Slots: 1000, MemoryTokens: 1000}, 1, entries)
			now := time.Unix(1060, 0)
			view := pool.View{Usable: list(1), ReadAt: now, Entries: entries}
			test.change(p, &view, now)
			p.Update(view, now)
			n := 0
			for range 5 {
				if place, _ := p.Acquire(pool.Request{}, now); place != nil {
					n++
					p.Release(place, pool.EndDone, nil, now)
				}
			}
			qt.Assert(t, n, qt.Equals, test.want)
		})
	}
}

func TestHasDomainCountsOnlyLedServers(t *testing.T) {
	c := qt.New(t)
	p := build(proxyconfig.Pool{MaxConns: 100}, 2, 1)
	c.Assert(p.HasDomain("a") && p.HasDomain("b") && !p.HasDomain("c"), qt.IsTrue)
	p.Update(pool.View{Usable: list(2), Led: map[string]bool{"s0": true}, Entries: 1}, time.Unix(1000, 0))
	c.Assert(p.HasDomain("a") && !p.HasDomain("b"), qt.IsTrue)
}

func TestUnreachableServerBacksOff(t *testing.T) {
	c := qt.New(t)
	p := build(proxyconfig.Pool{MaxConns: 100}, 2, 1)
	now := time.Unix(1000, 0)
	place, _ := p.Acquire(pool.Request{}, now)
	p.Release(place, pool.EndUnreachable, nil, now)
	for range 4 {
		other, _ := p.Acquire(pool.Request{}, now)
		c.Assert(other.Server.ID != place.Server.ID, qt.IsTrue)
	}
	_, reason := p.Acquire(pool.Request{}, now.Add(time.Minute))
	c.Assert(reason, qt.Equals, sequoialead.Reason(""))
}

func TestOnlyServerIsTriedDuringBackoff(t *testing.T) {
	c := qt.New(t)
	p := build(proxyconfig.Pool{MaxConns: 100}, 1, 1)
	now := time.Unix(1000, 0)
	place, _ := p.Acquire(pool.Request{}, now)
	p.Release(place, pool.EndUnreachable, nil, now)
	place, _ = p.Acquire(pool.Request{}, now)
	c.Assert(place, qt.IsNotNil)
}

func prompt(shared, own uint64) sequoialead.Prompt {
	return sequoialead.Prompt{Input: 5100, Parts: []sequoialead.PromptPart{{ID: shared, Tokens: 5000}, {ID: own, Tokens: 100}}}
}

// Prompts with the same shared part go to the same backend server, and all entries
// choose the same one.
func TestPromptsWithSharedPartUseOneServer(t *testing.T) {
	c := qt.New(t)
	conf := proxyconfig.Pool{Slots: 64, MemoryTokens: 400000, MaxConns: 1000}
	now := time.Unix(1000, 0)
	first := map[uint64]string{}
	for entry := range 2 {
		p := build(conf, 6, 1)
		for i := range uint64(40) {
			shared := i%8 + 1
			place, _ := p.Acquire(pool.Request{Prompt: prompt(shared, 1000+i)}, now)
			p.RecordFirstByte(place, now)
			p.Release(place, pool.EndDone, nil, now)
			if entry == 0 && first[shared] == "" {
				first[shared] = place.Server.ID
			}
			c.Assert(place.Server.ID, qt.Equals, first[shared])
		}
	}
}

// If a backend server has much more to prefill than the others, some of the prompts
// that are assigned to it go to others.
func TestLoadLimitsAffinity(t *testing.T) {
	c := qt.New(t)
	p := build(proxyconfig.Pool{Slots: 64, MemoryTokens: 400000, MaxConns: 1000}, 6, 1)
	used := map[string]bool{}
	for i := range uint64(24) {
		place, _ := p.Acquire(pool.Request{Prompt: prompt(1, 1000+i)}, time.Unix(1000, 0))
		used[place.Server.ID] = true
	}
	c.Assert(len(used) > 1, qt.IsTrue)
}

func BenchmarkAcquire(b *testing.B) { benchmarkAcquire(b, false) }

func BenchmarkAcquireWithPlacement(b *testing.B) { benchmarkAcquire(b, true) }

func benchmarkAcquire(b *testing.B, placement bool) {
	p := buildWith(placement, proxyconfig.Pool{Slots: 64, MemoryTokens: 400000, MaxConns: 1000}, 50, 1)
	now := time.Unix(1000, 0)
	request := pool.Request{Prompt: prompt(1, 2)}
	b.ReportAllocs()
	for b.Loop() {
		place, _ := p.Acquire(request, now)
		p.Release(place, pool.EndDone, nil, now)
	}
}
