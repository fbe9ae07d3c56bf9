package comeback_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"sequoialead/core/comeback"
)

func startTime() time.Time { return time.Unix(1000, 0) }

func newSchedule(seed uint64) *comeback.Schedule {
	return comeback.New(rand.New(rand.NewPCG(seed, 1)))
}

// Callers give a first attempt at least 0.85 of the timeout.
func TestReturning(t *testing.T) {
	c := qt.New(t)
	c.Check(comeback.Returning(15*time.Second, 15*time.Second), qt.IsFalse)
	c.Check(comeback.Returning(12750*time.Millisecond, 15*time.Second), qt.IsFalse)
	c.Check(comeback.Returning(11*time.Second, 15*time.Second), qt.IsTrue)
	c.Check(comeback.Returning(0, 15*time.Second), qt.IsFalse)
	c.Check(comeback.Returning(time.Second, 0), qt.IsFalse)
}

// A hint is never longer than callers honor, and leaves the time to be served.
func TestHintIsBounded(t *testing.T) {
	c := qt.New(t)
	random := rand.New(rand.NewPCG(3, 3))
	s := newSchedule(1)
	now := startTime()
	for range 2000 {
		now = now.Add(time.Duration(random.IntN(50)) * time.Millisecond)
		left := time.Duration(random.IntN(6000)) * time.Millisecond
		r := comeback.Refusal{
			Pool: "p", Left: left, Need: time.Duration(random.IntN(1500)) * time.Millisecond, Drain: time.Duration(random.IntN(4000)) * time.Millisecond, Returning: random.IntN(2) == 0,
		}
		hint := s.Hint(r, now)
		c.Assert(hint >= 0 && hint <= left/3+1, qt.IsTrue, qt.Commentf("%+v: %s", r, hint))
		if float64(r.Need) < 0.85*float64(left) {
			c.Assert(left-hint >= r.Need, qt.IsTrue, qt.Commentf("%+v: %s", r, hint))
		}
	}
	c.Assert(s.Spread(300*time.Millisecond, time.Second, time.Second) <= 100*time.Millisecond, qt.IsTrue)
}

// caller is a caller of the replay: it comes at a time, and again after refusals.
type caller struct {
	at       time.Duration
	first    time.Duration
	deadline time.Duration
	// impatient callers ignore hints.
	impatient bool
	refusals  int
}

type callers []caller

func (c callers) Len() int           { return len(c) }
func (c callers) Less(i, j int) bool { return c[i].at < c[j].at }
func (c callers) Swap(i, j int)      { c[i], c[j] = c[j], c[i] }
func (c *callers) Push(x any)        { *c = append(*c, x.(caller)) }
func (c *callers) Pop() any {
	old := *c
	last := old[len(old)-1]
	*c = old[:len(old)-1]
	return last
}

// result is what the callers of a replay got.
type result struct {
	callers, served int
	// refusals and again are the refusals of callers that honor hints: all, and those
	// of callers that were refused before.
	refusals, again int
	// waited is the mean time from a served caller's first attempt to its answer.
	waited time.Duration
}

// replayBurst plays a burst of requests to backend servers that serve 100 a second, in the order
// of arrival, and refuse what would wait for more than half a second. Each entry knows the
// backlog as it was some time before. If preferred is set, callers that come back may wait for
// somewhat longer, as core/admission lets them.
func replayBurst(entries int, seed uint64, hinted, preferred bool) result {
	const capacity, allowed, service, reportAge = 100.0, 500 * time.Millisecond, 300 * time.Millisecond, 300 * time.Millisecond
	random := rand.New(rand.NewPCG(seed, uint64(entries)))
	schedules := make([]*comeback.Schedule, entries)
	for i := range schedules {
		schedules[i] = newSchedule(seed*1000 + uint64(i))
	}
	var due callers
	for at := time.Duration(0); at < 20*time.Second; {
		rate := 85.0
		if at > 5*time.Second && at < 8*time.Second {
			rate = 200
		}
		at += time.Duration(random.ExpFloat64() / rate * float64(time.Second))
		patience := time.Duration((0.85 + 0.15*random.Float64()) * float64(6*time.Second))
		due = append(due, caller{at: at, first: at, deadline: at + patience, impatient: random.Float64() < 0.2})
	}
	heap.Init(&due)
	r := result{callers: len(due)}
	start := startTime()
	busyUntil := time.Duration(0)
	type report struct{ at, backlog time.Duration }
	var reports []report
	for due.Len() > 0 {
		c := heap.Pop(&due).(caller)
		backlog := max(busyUntil-c.at, 0)
		reports = append(reports, report{c.at, backlog})
		for len(reports) > 1 && reports[1].at <= c.at-reportAge {
			reports = reports[1:]
		}
		known := reports[0].backlog
		s, now := schedules[random.IntN(entries)], start.Add(c.at)
		left := c.deadline - c.at
		tolerated := allowed
		if preferred && comeback.Returning(left, 6*time.Second) {
			tolerated = allowed + 350*time.Millisecond
		}
		if known <= tolerated && left > backlog+service {
			s.RecordServed("p", now)
			busyUntil = max(busyUntil, c.at) + time.Duration(float64(time.Second)/capacity)
			r.served++
			r.waited += c.at + backlog + service - c.first
			continue
		}
		if !c.impatient {
			r.refusals++
			r.again += min(c.refusals, 1)
		}
		hint := min(time.Duration(0.15*float64(left)), 2*time.Second)
		if hinted {
			hint = s.Hint(comeback.Refusal{
				Pool: "p", Left: left, Need: service, Drain: known - allowed, Returning: comeback.Returning(left, 6*time.Second),
			}, now)
		}
		if c.impatient {
			hint = 50 * time.Millisecond
		}
		c.refusals++
		if c.at += hint; c.at+service < c.deadline {
			heap.Push(&due, c)
		}
	}
	r.waited /= time.Duration(max(r.served, 1))
	return r
}

// Callers that were all told to come back after the same share of their time came back as a
// burst, or long after there was room.
func TestCallersComeBackWhenThereIsRoom(t *testing.T) {
	for _, entries := range []int{1, 30, 100} {
		t.Run(fmt.Sprintf("%d entries", entries), func(t *testing.T) {
			play := func(hinted, preferred bool) result {
				var sum result
				for seed := uint64(1); seed <= 5; seed++ {
					r := replayBurst(entries, seed, hinted, preferred)
					sum.callers += r.callers
					sum.served += r.served
					sum.refusals += r.refusals
					sum.again += r.again
					sum.waited += r.waited / 5
				}
				t.Logf("turns %5t, preferred %5t: of %d callers %d are served after %s; %d refusals, %d of them again", hinted, preferred, sum.callers, sum.served, sum.waited.Round(time.Millisecond), sum.refusals, sum.again)
				return sum
			}
			before, hinted, preferred := play(false, false), play(true, false), play(true, true)
			c := qt.New(t)
			c.Check(hinted.served >= before.served, qt.IsTrue)
			c.Check(float64(hinted.again) <= 0.75*float64(before.again), qt.IsTrue)
			c.Check(preferred.served >= before.served, qt.IsTrue)
			c.Check(float64(preferred.again) <= 0.5*float64(before.again), qt.IsTrue)
		})
	}
}
