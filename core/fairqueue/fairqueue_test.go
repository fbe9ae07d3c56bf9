package fairqueue_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"sequoialead/core/fairqueue"
)

func TestServesInProportionToWeights(t *testing.T) {
	c := qt.New(t)
	q := fairqueue.New()
	for range 100 {
		q.Push("light", 1, time.Second, false, "light")
		q.Push("heavy", 3, time.Second, false, "heavy")
	}
	served := map[string]int{}
	for range 80 {
		served[q.Pop().Value.(string)]++
	}
	c.Assert(served, qt.DeepEquals, map[string]int{"light": 20, "heavy": 60})
}

// Weights refer to service time, not to requests: with equal weights, four times as
// many requests of one second are served as of four seconds.
func TestWeightsAreOfServiceTime(t *testing.T) {
	c := qt.New(t)
	q := fairqueue.New()
	for range 100 {
		q.Push("short", 1, time.Second, false, "short")
		q.Push("long", 1, 4*time.Second, false, "long")
	}
	served := map[string]int{}
	for range 50 {
		served[q.Pop().Value.(string)]++
	}
	c.Assert(served, qt.DeepEquals, map[string]int{"short": 40, "long": 10})
}

func TestLaterStagesGoFirst(t *testing.T) {
	c := qt.New(t)
	q := fairqueue.New()
	q.Push("a", 1, time.Second, false, "first")
	q.Push("b", 1, time.Second, true, "later")
	c.Assert(q.Pop().Value, qt.Equals, "later")
}

// A request of a customer that was idle is served after a bounded number of
// requests of a busy customer, whatever the busy customer's queue and weight. The
// idle customer gets no credit for the time in which it was idle.
func TestNoCustomerStarves(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := fairqueue.New()
		heavy := rapid.IntRange(1, 100).Draw(t, "heavy")
		weight := rapid.IntRange(1, 10).Draw(t, "weight")
		for range heavy {
			q.Push("heavy", weight, time.Second, false, "heavy")
		}
		for range rapid.IntRange(0, heavy).Draw(t, "served") {
			q.Pop()
		}
		q.Push("light", 1, time.Second, false, "light")
		for n := 0; ; n++ {
			if q.Pop().Value == "light" {
				if n > weight+1 {
					t.Fatalf("light was served after %d requests of heavy, which has weight %d", n, weight)
				}
				return
			}
		}
	})
}

func TestRemove(t *testing.T) {
	c := qt.New(t)
	q := fairqueue.New()
	a := q.Push("a", 1, time.Second, false, "a")
	q.Push("b", 1, time.Second, false, "b")
	q.Remove(a)
	q.Remove(a)
	c.Assert(q.Pop().Value, qt.Equals, "b")
	c.Assert(q.Pop(), qt.IsNil)
}
