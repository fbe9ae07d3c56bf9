package waitqueue_test

import (
	"math/rand/v2"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"

	"sequoialead/core/waitqueue"
)

// A waiter of another pool was woken when room became free, because it was the most urgent of all.
func TestFirstIsOfThePool(t *testing.T) {
	c := qt.New(t)
	q := waitqueue.New[string]()
	c.Assert(q.First("a"), qt.IsNil)
	q.Push("a", 0, false, "urgent of another pool")
	later := q.Push("b", 5, false, "less urgent")
	first := q.Push("b", 2, false, "first")
	q.Push("b", 2, false, "second")
	c.Assert(q.First("b").Value, qt.Equals, "first")
	c.Assert(q.Waiting("b", 2), qt.Equals, 2)
	c.Assert(q.Firsts(), qt.HasLen, 2)
	q.Remove(first)
	q.Remove(first)
	c.Assert(q.First("b").Value, qt.Equals, "second")
	q.Remove(later)
	q.Remove(q.First("b"))
	c.Assert(q.First("b"), qt.IsNil)
	c.Assert(q.Firsts(), qt.HasLen, 1)
}

func TestMustWait(t *testing.T) {
	c := qt.New(t)
	q := waitqueue.New[int]()
	c.Check(q.MustWait("p", 3, false), qt.IsFalse)
	newcomer := q.Push("p", 3, false, 0)
	c.Check(q.MustWait("p", 2, false), qt.IsFalse, qt.Commentf("more urgent"))
	c.Check(q.MustWait("p", 4, true), qt.IsTrue, qt.Commentf("less urgent"))
	c.Check(q.MustWait("p", 3, false), qt.IsTrue, qt.Commentf("later"))
	c.Check(q.MustWait("p", 3, true), qt.IsFalse, qt.Commentf("refused before"))
	q.Granted("p", 3, true)
	q.Granted("p", 3, true)
	c.Check(q.MustWait("p", 3, true), qt.IsTrue, qt.Commentf("the newcomer's turn"))
	q.Remove(newcomer)
	q.Push("p", 3, true, 0)
	c.Check(q.MustWait("p", 3, true), qt.IsTrue, qt.Commentf("later, refused before as well"))
	q.Granted("p", 3, false)
	c.Check(q.MustWait("p", 3, false), qt.IsTrue, qt.Commentf("new, behind one that was refused before"))
}

// Callers of one urgency come back more often than there are places, while new ones arrive, and
// less urgent ones wait behind both. Waiting requests give up after a number of places.
func TestReturningGoFirstWithoutStarvingNewcomers(t *testing.T) {
	type request struct {
		kind  string
		until int
	}
	// In bursts of 1,000 turns the rates are as given, and a third of that between them.
	kinds := []struct {
		kind    string
		rate    float64
		urgency int
	}{{"returning", 0.7, 1}, {"new", 0.5, 1}, {"less urgent", 0.05, 4}}
	play := func(preferred bool) map[string]float64 {
		q := waitqueue.New[request]()
		random := rand.New(rand.NewPCG(5, 5))
		sent, served := map[string]int{}, map[string]int{}
		var waiting []*waitqueue.Ticket[request]
		for now := range 10_000 {
			for _, a := range kinds {
				if rate := a.rate; now/1000%2 == 0 && random.Float64() < rate || random.Float64() < rate/3 {
					sent[a.kind]++
					waiting = append(waiting, q.Push("p", a.urgency, preferred && a.kind == "returning", request{a.kind, now + 30 + random.IntN(20)}))
				}
			}
			if first := q.First("p"); first != nil {
				served[first.Value.kind]++
				q.Granted("p", 1, preferred && first.Value.kind == "returning")
				q.Remove(first)
			}
			waiting = slices.DeleteFunc(waiting, func(t *waitqueue.Ticket[request]) bool {
				if t.Value.until <= now {
					q.Remove(t)
				}
				return t.Value.until <= now
			})
		}
		shares := map[string]float64{}
		for kind, n := range sent {
			shares[kind] = float64(served[kind]) / float64(n)
		}
		return shares
	}
	before, after := play(false), play(true)
	t.Logf("served without preference %v, with it %v", before, after)
	c := qt.New(t)
	c.Check(after["returning"] > before["returning"]+0.05, qt.IsTrue)
	c.Check(after["new"] > 0.5*before["new"], qt.IsTrue)
	c.Check(after["less urgent"] > 0.5*before["less urgent"], qt.IsTrue)
}
