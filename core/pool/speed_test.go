package pool_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"sequoialead"
	"sequoialead/core/pool"
	"sequoialead/core/proxyconfig"
)

// sharedMachines is the pace of servers that share their machines with other work: a level that
// holds for some seconds, and a figure that jumps around it every 50 ms.
type sharedMachines struct {
	levels [fleetServers][]level
	seed   uint64
}

type level struct {
	until  time.Duration
	factor float64
}

func newSharedMachines(seed uint64, length time.Duration) *sharedMachines {
	m := &sharedMachines{seed: seed}
	random := rand.New(rand.NewPCG(seed, 3))
	for i := range m.levels {
		for at := time.Duration(0); at < length; {
			at += time.Second + time.Duration(random.ExpFloat64()*float64(2*time.Second))
			m.levels[i] = append(m.levels[i], level{until: at, factor: []float64{0.7, 1, 1, 1.5, 3}[random.IntN(5)]})
		}
	}
	return m
}

func (m *sharedMachines) factor(server int, at time.Duration) float64 {
	for _, l := range m.levels[server] {
		if at < l.until {
			return l.factor
		}
	}
	return 1
}

func (m *sharedMachines) report(server int, at time.Duration) int {
	random := rand.New(rand.NewPCG(m.seed+uint64(server), uint64(at/(50*time.Millisecond))))
	return int(100 * m.factor(server, at) * math.Exp(0.4*random.NormFloat64()))
}

// serve returns how long a request takes that finds others at its server.
func (f *fleet) serve(server int, factor float64) time.Duration {
	queue := max(float64(f.running[server]+1)/fleetSlots, 1)
	return time.Duration(factor * queue * float64(serviceTime))
}

// meanAndP95 returns the mean of the times of the requests that were answered, and their 95th
// percentile.
func (f *fleet) meanAndP95() (mean, p95 time.Duration) {
	slices.Sort(f.times)
	sum := time.Duration(0)
	for _, d := range f.times {
		sum += d
	}
	return sum / time.Duration(len(f.times)), f.times[len(f.times)*95/100]
}

// Servers share their machines with other work, and each entry sees the figure only with its own
// answers.
func TestPaceOfSharedMachines(t *testing.T) {
	const length = 20 * time.Second
	for _, entries := range []int{30, 100} {
		t.Run(fmt.Sprintf("%d entries", entries), func(t *testing.T) {
			play := func(reported bool) *fleet {
				f := newFleet(entries, false)
				m := newSharedMachines(5, length)
				f.behave = func(server, _ int, at time.Duration) (time.Duration, pool.End) {
					return f.serve(server, m.factor(server, at)), pool.EndDone
				}
				if reported {
					f.report = m.report
				}
				f.play(900, length)
				return f
			}
			mean, p95 := play(false).meanAndP95()
			meanWith, p95With := play(true).meanAndP95()
			t.Logf("without the figure: %s, p95 %s; with: %s, p95 %s", mean, p95, meanWith, p95With)
			c := qt.New(t)
			c.Check(meanWith < mean, qt.IsTrue)
			c.Check(p95With < p95, qt.IsTrue)
		})
	}
}

// A model engine is slow by itself, and reports the usual pace or none. Each entry gives it what
// it can process in the time that others take.
func TestSlowEngineGetsLess(t *testing.T) {
	const length = 20 * time.Second
	for _, entries := range []int{30, 100} {
		t.Run(fmt.Sprintf("%d entries", entries), func(t *testing.T) {
			play := func(outlier bool) *fleet {
				f := newFleetOf(proxyconfig.Pool{Name: "p", MaxConns: 100 * entries, Slots: 64, MemoryTokens: 400_000}, entries, outlier)
				f.prompt = sequoialead.Prompt{Input: 500}
				var busyUntil [fleetServers]time.Duration
				f.behave = func(server, _ int, at time.Duration) (time.Duration, pool.End) {
					work := serviceTime
					if server == 3 {
						work *= 6
					}
					busyUntil[server] = max(busyUntil[server], at) + work
					return busyUntil[server] - at, pool.EndDone
				}
				f.play(150, length)
				return f
			}
			without, with := play(false), play(true)
			mean, p95 := without.meanAndP95()
			meanWith, p95With := with.meanAndP95()
			t.Logf("without: %s, p95 %s, %d of %d at the slow engine; with: %s, p95 %s, %d of %d", mean, p95, without.answeredBy[3], without.answered,
				meanWith, p95With, with.answeredBy[3], with.answered)
			c := qt.New(t)
			c.Check(meanWith < mean, qt.IsTrue)
			c.Check(p95With < p95, qt.IsTrue)
			// It can process a sixth of what another engine can, and each entry finds out with
			// a request of its own.
			c.Check(with.answeredBy[3] <= entries+int(length/(6*serviceTime)), qt.IsTrue)
			c.Check(with.answeredBy[3] > 0, qt.IsTrue)
		})
	}
}

// A server whose figure is wrong is not avoided for good: its times, in relation to the figure,
// make up for it.
func TestWrongPaceDoesNotExcludeServer(t *testing.T) {
	const length = 30 * time.Second
	for _, wrong := range []int{1, 400, 10_000} {
		t.Run(fmt.Sprint(wrong), func(t *testing.T) {
			f := newFleet(30, false)
			f.behave = func(server, _ int, _ time.Duration) (time.Duration, pool.End) {
				return f.serve(server, 1), pool.EndDone
			}
			f.report = func(server int, _ time.Duration) int {
				if server == 3 {
					return wrong
				}
				return 100
			}
			f.play(900, length)
			t.Logf("%d of %d", f.answeredBy[3], f.answered)
			share := float64(f.answeredBy[3]) / float64(f.answered)
			qt.Check(t, share > 0.25/fleetServers && share < 4.0/fleetServers, qt.IsTrue)
		})
	}
}

// A server that was avoided for its failures gets requests again once it has recovered, also
// while the others have room.
func TestRecoveredServerIsUsedAgain(t *testing.T) {
	play := func(outlier bool) int {
		f := newFleet(30, outlier)
		late := 0
		f.behave = func(server, _ int, at time.Duration) (time.Duration, pool.End) {
			if server < 2 && at > 2*time.Second && at < 5*time.Second {
				return 2 * time.Millisecond, pool.EndFailed
			}
			if server < 2 && at > 40*time.Second {
				late++
			}
			return serviceTime, pool.EndDone
		}
		f.play(400, 60*time.Second)
		return late
	}
	without, with := play(false), play(true)
	t.Logf("answers of the recovered servers in the last 20 s: without %d, with %d", without, with)
	qt.Check(t, with > 2*without, qt.IsTrue)
}

// A figure that tells nothing about the machine costs some time, but no server gets too much for
// it.
func TestPaceThatTellsNothing(t *testing.T) {
	play := func(reported bool) *fleet {
		f := newFleet(30, false)
		f.behave = func(server, _ int, _ time.Duration) (time.Duration, pool.End) {
			return f.serve(server, 1), pool.EndDone
		}
		if reported {
			f.report = func(server int, at time.Duration) int {
				random := rand.New(rand.NewPCG(uint64(server), uint64(at/(50*time.Millisecond))))
				return 25 + random.IntN(775)
			}
		}
		f.play(900, 20*time.Second)
		return f
	}
	without, with := play(false), play(true)
	mean, p95 := without.meanAndP95()
	meanWith, p95With := with.meanAndP95()
	t.Logf("without: %s, p95 %s; with: %s, p95 %s", mean, p95, meanWith, p95With)
	qt.Check(t, meanWith <= mean*3/2, qt.IsTrue)
}
