package lateness_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"sequoialead/core/lateness"
)

// The replay of the load is TestLateOrdersAreWithdrawnOrServed in core/batch.

func load(inTime int) lateness.Load {
	return lateness.Load{Now: time.Unix(1000, 0), CallTime: 400 * time.Millisecond, PerCallTime: 30, InTime: inTime}
}

// An order is withdrawn only if it can't be made while it is of use; a prediction that changes
// within a call's time withdraws none.
func TestWithdraw(t *testing.T) {
	c := qt.New(t)
	now := load(0).Now
	in := func(d time.Duration) time.Time { return now.Add(d) }
	c.Check(lateness.Hopeless(load(0), in(500*time.Millisecond), 0), qt.IsFalse)
	c.Check(lateness.Hopeless(load(0), in(300*time.Millisecond), 0), qt.IsTrue)
	c.Check(lateness.Hopeless(load(90), in(3*time.Second), 0), qt.IsFalse) // the first late order waits for its turn
	c.Check(lateness.Hopeless(load(90), in(3*time.Second), 20), qt.IsTrue)
	c.Check(lateness.Withdraw(load(90), in(3*time.Second), time.Time{}), qt.IsFalse)
	c.Check(lateness.Withdraw(load(90), in(3*time.Second), in(-100*time.Millisecond)), qt.IsFalse)
	c.Check(lateness.Withdraw(load(90), in(3*time.Second), in(-400*time.Millisecond)), qt.IsTrue)
	c.Check(lateness.Withdraw(load(0), in(300*time.Millisecond), time.Time{}), qt.IsTrue)
}

// Late orders get about a twentieth of the pieces, and none before their last chance.
func TestTurns(t *testing.T) {
	c := qt.New(t)
	var turns lateness.Turns
	l := load(90)
	soon, later := l.Now.Add(time.Second), l.Now.Add(5*time.Second)
	c.Check(turns.Due(l, soon, 4, 10), qt.IsFalse)
	late := 0
	for range 1000 {
		n := 0
		if turns.Due(l, soon, 4, 10) {
			n = 4
		}
		late += n
		turns.Record(n, 10-n, 10)
	}
	c.Check(late > 400 && late < 600, qt.IsTrue, qt.Commentf("%d of 10000", late))
	for range 100 {
		turns.Record(0, 10, 10)
	}
	c.Check(turns.Due(l, later, 4, 10), qt.IsFalse)
	c.Check(turns.Due(l, soon, 4, 10), qt.IsTrue)
}
