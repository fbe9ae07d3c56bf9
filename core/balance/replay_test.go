package balance_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"sequoialead/core/balance"
	"sequoialead/core/batch"
	"sequoialead/core/protocol"
	"sequoialead/core/proxyconfig"
)

// The load of the replay: four failure domains, whose demand varies by 55% with phases of
// their own, and one of which has bursts of twice its demand.
const (
	domains = 4
	servers = 5
	length  = 40 * time.Second
	tick    = 5 * time.Millisecond
	// reportPeriod is how often entries learn the backlogs.
	reportPeriod = 300 * time.Millisecond
	// stageDue is a third of an objective of 2 s.
	stageDue = 667 * time.Millisecond
)

type queued struct {
	pieces  int
	arrived time.Duration
	home    int
}

// simGroup is a group of servers that each run one call at a time, with whole orders in the
// sequence of their arrival.
type simGroup struct {
	queue []queued
	// free holds the time until which each server has a call.
	free [servers]time.Duration
}

func (g *simGroup) waiting() int {
	n := 0
	for _, o := range g.queue {
		n += o.pieces
	}
	return n
}

func (g *simGroup) calls(now time.Duration) int {
	n := 0
	for _, until := range g.free {
		if until > now {
			n++
		}
	}
	return n
}

func (g *simGroup) backlog(now time.Duration, conf *proxyconfig.PieceLimits) protocol.Backlog {
	return protocol.Backlog{CallTime: conf.CallTime + time.Duration(conf.MaxBatch)*conf.ItemTime, PiecesPerCallTime: float64(conf.MaxBatch * servers), Servers: servers, Calls: g.calls(now), Pieces: []int{g.waiting()}}
}

func (g *simGroup) step(now time.Duration, conf *proxyconfig.PieceLimits, done func(o queued, end time.Duration)) {
	for i, until := range g.free {
		if until > now || len(g.queue) == 0 {
			continue
		}
		pieces := 0
		var taken []queued
		for len(g.queue) > 0 && pieces+g.queue[0].pieces <= conf.MaxBatch {
			taken = append(taken, g.queue[0])
			pieces += g.queue[0].pieces
			g.queue = g.queue[1:]
		}
		g.free[i] = now + conf.CallTime + time.Duration(pieces)*conf.ItemTime
		for _, o := range taken {
			done(o, g.free[i])
		}
	}
}

// policy chooses a group, given the last reports, the entry's own pieces sent to each group
// since, the home group, the number of pieces and a random number.
type policy func(reports []protocol.Backlog, sent []int, home, pieces int, random float64) int

type figures struct {
	orders      int
	late, moved float64
	mean        time.Duration
	p95         time.Duration
}

func (f figures) String() string {
	return fmt.Sprintf("late %.1f%%, mean %s, p95 %s, moved %.1f%%", 100*f.late, f.mean.Round(time.Millisecond), f.p95.Round(time.Millisecond), 100*f.moved)
}

// play replays the load with a number of entries that decide apart. The load is the mean
// number of pieces per second, as a part of what all servers can make in full calls.
func play(entries int, load float64, conf *proxyconfig.PieceLimits, choose policy) figures {
	random := rand.New(rand.NewPCG(7, uint64(entries)))
	var groups [domains]simGroup
	reports := make([]protocol.Backlog, domains)
	sent := make([][]int, entries)
	for e := range sent {
		sent[e] = make([]int, domains)
	}
	const meanPieces = 5.0
	capacity := domains * servers * float64(conf.MaxBatch) / (conf.CallTime + time.Duration(conf.MaxBatch)*conf.ItemTime).Seconds()
	orderRate := load * capacity / meanPieces / domains
	var times []time.Duration
	f := figures{}
	nextReport := time.Duration(0)
	for now := time.Duration(0); now < length; now += tick {
		if now >= nextReport {
			nextReport += reportPeriod
			for d := range groups {
				reports[d] = groups[d].backlog(now, conf)
			}
			for e := range sent {
				clear(sent[e])
			}
		}
		for home := range domains {
			rate := orderRate * (1 + 0.55*math.Sin(2*math.Pi*(now.Seconds()/17+float64(home)/domains)))
			if home == 0 && int(now.Seconds())%10 >= 7 {
				rate *= 2
			}
			for range poisson(random, rate*tick.Seconds()) {
				pieces := 1 + random.IntN(9)
				e := home + domains*random.IntN(max(entries/domains, 1))
				g := choose(reports, sent[e%entries], home, pieces, random.Float64())
				sent[e%entries][g] += pieces
				if g != home {
					f.moved++
				}
				f.orders++
				groups[g].queue = append(groups[g].queue, queued{pieces: pieces, arrived: now, home: home})
			}
		}
		for d := range groups {
			groups[d].step(now, conf, func(o queued, end time.Duration) { times = append(times, end-o.arrived) })
		}
	}
	slices.Sort(times)
	sum, late := time.Duration(0), 0
	for _, t := range times {
		sum += t
		if t > stageDue {
			late++
		}
	}
	waiting := f.orders - len(times) // those that wait at the end are late or nearly so
	f.late, f.moved = float64(late+waiting)/float64(f.orders), f.moved/float64(f.orders)
	f.mean, f.p95 = sum/time.Duration(len(times)), times[len(times)*95/100]
	return f
}

func poisson(r *rand.Rand, mean float64) int {
	n, limit := 0, math.Exp(-mean)
	for p := r.Float64(); p > limit; p *= r.Float64() {
		n++
	}
	return n
}

// Without the package, an order left its domain only if it would be late there, for a group
// chosen at random. Sending all orders to the shortest backlog herds.
func TestUnevenDemandIsBalanced(t *testing.T) {
	conf := &proxyconfig.PieceLimits{MaxBatch: 10, CallTime: 240 * time.Millisecond, ItemTime: 15 * time.Millisecond}
	candidates := func(reports []protocol.Backlog, sent []int, home, pieces int) []balance.Group {
		list := make([]balance.Group, domains)
		for d := range list {
			b := reports[d]
			b.Pieces = []int{b.Pieces[0] + sent[d]}
			list[d] = balance.Group{End: batch.Estimate(conf, b, 0, pieces), Remote: d != home, Moved: map[bool]int{true: 20_000}[d != home]}
		}
		return list
	}
	policies := []struct {
		name   string
		choose policy
	}{
		{"home alone", func(_ []protocol.Backlog, _ []int, home, _ int, _ float64) int { return home }},
		{"when late", func(reports []protocol.Backlog, _ []int, home, pieces int, random float64) int {
			own := batch.Estimate(conf, reports[home], 0, pieces)
			other := (home + 1 + int(random*(domains-1))) % domains
			if own > stageDue && batch.Estimate(conf, reports[other], 0, pieces)+100*time.Millisecond < own {
				return other
			}
			return home
		}},
		{"least", func(reports []protocol.Backlog, sent []int, home, pieces int, _ float64) int {
			best, list := home, candidates(reports, sent, home, pieces)
			for d := range list {
				if list[d].End < list[best].End {
					best = d
				}
			}
			return best
		}},
		{"balance", func(reports []protocol.Backlog, sent []int, home, pieces int, random float64) int {
			return balance.Choose(candidates(reports, sent, home, pieces), home, random)
		}},
	}
	for _, entries := range []int{30, 100} {
		for _, load := range []float64{0.5, 0.7, 0.85} {
			results := map[string]figures{}
			for _, p := range policies {
				results[p.name] = play(entries, load, conf, p.choose)
				t.Logf("%d entries, load %.2f, %-10s %s", entries, load, p.name, results[p.name])
			}
			c := qt.New(t)
			for _, other := range []string{"home alone", "when late", "least"} {
				if load > 0.8 {
					continue // the bursts are overload, and nearly all orders are late
				}
				c.Check(results["balance"].late < results[other].late, qt.IsTrue, qt.Commentf("%s", other))
				c.Check(results["balance"].mean < results[other].mean, qt.IsTrue, qt.Commentf("%s", other))
			}
		}
	}
}

// Inputs of 1.4 MB stay where they are unless their domain's servers are far behind, and
// small ones move freely.
func TestMovedBytesAreWeighed(t *testing.T) {
	c := qt.New(t)
	share := func(gain time.Duration, bytes int) float64 {
		moved := 0
		groups := []balance.Group{{End: 300*time.Millisecond + gain}, {End: 300 * time.Millisecond, Moved: bytes, Remote: true}}
		for i := range 1000 {
			moved += balance.Choose(groups, 0, float64(i)/1000)
		}
		return float64(moved) / 1000
	}
	c.Check(share(200*time.Millisecond, 1_440_000), qt.Equals, 0.0)
	c.Check(share(200*time.Millisecond, 20_000) > 0.4, qt.IsTrue)
	c.Check(share(600*time.Millisecond, 1_440_000) > 0.5, qt.IsTrue)
	c.Check(share(20*time.Millisecond, 0), qt.Equals, 0.0)
}

// The following stage's wait counts where the inputs will lie.
func TestFollowingStageIsWeighed(t *testing.T) {
	c := qt.New(t)
	groups := []balance.Group{{End: 300 * time.Millisecond, Following: 900 * time.Millisecond}, {End: 300 * time.Millisecond, Following: 300 * time.Millisecond, Remote: true}}
	c.Check(balance.Choose(groups, 0, 0), qt.Equals, 1)
	c.Check(balance.Choose(groups, 0, 0.99), qt.Equals, 0)
	groups[0].Following = 300 * time.Millisecond
	c.Check(balance.Choose(groups, 0, 0), qt.Equals, 0)
	c.Check(balance.Expected(groups, 0), qt.Equals, 300*time.Millisecond)
}
