package retries_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"sequoialead/core/retries"
)

func options() retries.Options {
	return retries.Options{Ratio: 0.2, Extra: 56, Window: 10 * time.Second}
}

// All entries together stay within the shared budget in each window, however uneven
// their traffic is. The retries in a window are compared with the requests in that
// window and in the one before it, as the shared budget is defined.
func TestEntriesTogetherKeepWithinBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const entries = 5
		o := options()
		var budgets []*retries.Budget
		for range entries {
			budgets = append(budgets, retries.New(o))
		}
		var requests, retried []time.Time
		now := time.Unix(1000, 0)
		for range 3000 {
			now = now.Add(time.Duration(rapid.IntRange(0, 25).Draw(t, "pause")) * time.Millisecond)
			b := budgets[rapid.IntRange(0, entries-1).Draw(t, "entry")]
			if rapid.Bool().Draw(t, "request") {
				b.RecordRequest(now)
				requests = append(requests, now)
			} else if b.Allow(now, entries) {
				b.RecordRetry(now)
				retried = append(retried, now)
			}
		}
		for i, end := range retried {
			n := 0
			for j := i; j >= 0 && end.Sub(retried[j]) < o.Window; j-- {
				n++
			}
			if limit := o.Ratio*float64(count(requests, end, 2*o.Window)) + o.Extra; float64(n) > limit {
				t.Fatalf("%d retries in a window, %g are allowed", n, limit)
			}
		}
	})
}

func count(times []time.Time, end time.Time, span time.Duration) int {
	n := 0
	for _, at := range times {
		if !at.After(end) && end.Sub(at) < span {
			n++
		}
	}
	return n
}

func TestRetriesLeaveTheWindow(t *testing.T) {
	c := qt.New(t)
	b := retries.New(retries.Options{Extra: 10, Window: 10 * time.Second})
	now := time.Unix(1000, 0)
	for b.Allow(now, 1) {
		b.RecordRetry(now)
	}
	c.Assert(b.Allow(now.Add(9*time.Second), 1), qt.IsFalse)
	c.Assert(b.Allow(now.Add(11*time.Second), 1), qt.IsTrue)
}

func TestBudgetIsDividedAmongEntries(t *testing.T) {
	c := qt.New(t)
	b := retries.New(options())
	now := time.Unix(1000, 0)
	c.Assert(b.Remaining(now, 10) < b.Remaining(now, 5), qt.IsTrue)
	c.Assert(10*b.Remaining(now, 10) <= 56, qt.IsTrue)
}
