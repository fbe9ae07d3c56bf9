package batch

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"sequoialead"
	"sequoialead/core/frame"
	"sequoialead/core/plan"
	"sequoialead/core/pool"
)

func start() time.Time { return time.Unix(1000, 0) }

func order(id string, pieces, rank int, due time.Duration) *group {
	o := Order{Rank: rank, Due: start().Add(due), Until: start().Add(time.Minute)}
	for n := range pieces {
		o.Pieces = append(o.Pieces, sequoialead.Piece{Request: id, Number: n, Bytes: 10})
	}
	return newGroup(o, start())
}

func anywhere(*group, string) bool { return false }

func ids(batch []*job) []string {
	list := []string{}
	for _, j := range batch {
		list = append(list, fmt.Sprintf("%s%d", j.piece.Request, j.piece.Number))
	}
	return list
}

func TestTake(t *testing.T) {
	server := sequoialead.Server{ID: "s", Domain: "a"}
	tests := []struct {
		desc  string
		queue []*group
		most  int
		room  int
		want  []string
	}{
		{"the soonest due goes first", []*group{order("a", 1, 0, 3*time.Second), order("b", 1, 0, 2*time.Second)}, 1, 99, []string{"b0"}},
		{"the more urgent goes first", []*group{order("a", 1, 1, 2*time.Second), order("b", 1, 0, 3*time.Second)}, 1, 99, []string{"b0"}},
		{"what is late goes last", []*group{order("a", 1, 0, 100*time.Millisecond), order("b", 1, 5, 3*time.Second)}, 1, 99, []string{"b0"}},
		{"orders go whole, and a smaller one fills the call", []*group{order("a", 2, 0, time.Second), order("b", 3, 0, 2*time.Second), order("c", 1, 0, 3*time.Second)}, 3, 99, []string{"a0", "a1", "c0"}},
		{"room bounds a call", []*group{order("a", 2, 0, time.Second), order("b", 2, 0, 2*time.Second)}, 9, 30, []string{"a0", "a1"}},
		{"an order larger than a call goes in parts", []*group{order("a", 5, 0, time.Second)}, 3, 99, []string{"a0", "a1", "a2"}},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			c := qt.New(t)
			q := &queue{waiting: test.queue, usual: 300 * time.Millisecond}
			q.sort(start(), 10, 1)
			c.Assert(ids(q.take(test.most, server, test.room, anywhere)), qt.DeepEquals, test.want)
		})
	}
}

// An order that cannot be made in time behind the others gives way, so that it
// does not make those late that can.
func TestWhatCannotBeOnTimeGivesWay(t *testing.T) {
	c := qt.New(t)
	q := &queue{usual: time.Second}
	for _, id := range []string{"a", "b", "c", "d"} {
		q.waiting = append(q.waiting, order(id, 10, 0, 2500*time.Millisecond))
	}
	q.sort(start(), 10, 1)
	late := 0
	for _, g := range q.waiting {
		if g.late {
			late++
		}
	}
	c.Assert(late, qt.Equals, 2) // the third and fourth would end after 3 s and 4 s
	c.Assert(q.waiting[2].late && q.waiting[3].late, qt.IsTrue)
}

func TestBegunOrdersGoFirst(t *testing.T) {
	c := qt.New(t)
	q := &queue{waiting: []*group{order("a", 5, 9, time.Hour)}}
	q.sort(start(), 10, 1)
	server := sequoialead.Server{ID: "s"}
	c.Assert(q.take(3, server, 99, anywhere), qt.HasLen, 3)
	q.waiting = append(q.waiting, order("b", 1, 0, time.Second))
	q.sort(start(), 10, 1)
	c.Assert(ids(q.take(2, server, 99, anywhere)), qt.DeepEquals, []string{"a3", "a4"})
}

func TestOrderWaitsForItsDomain(t *testing.T) {
	c := qt.New(t)
	patient := func(g *group, domain string) bool { return g.order.Domain != domain }
	g := order("a", 1, 0, time.Second)
	g.order.Domain = "b"
	q := &queue{waiting: []*group{g}}
	c.Assert(q.take(9, sequoialead.Server{Domain: "a"}, 99, patient), qt.HasLen, 0)
	c.Assert(q.take(9, sequoialead.Server{Domain: "b"}, 99, patient), qt.HasLen, 1)
}

// Whatever happens to calls, each piece is taken once at a time, and an order
// ends with one result for each of its pieces.
// Only an order whose bytes cost more to move than the time waits for its domain,
// and for no longer than a part of what it has to spare.
func TestPatienceIsForWhatIsLarge(t *testing.T) {
	c := qt.New(t)
	const usual = 200 * time.Millisecond
	small := order("a", 1, 0, time.Second)
	small.order.Moved = movedLeast - 1
	c.Assert(small.patientUntil(usual), qt.Equals, small.added)
	large := order("a", 1, 0, time.Second)
	large.order.Moved = movedLeast
	until := large.patientUntil(usual)
	c.Assert(until.After(large.added), qt.IsTrue)
	c.Assert(until.Add(usual).Before(large.order.Due), qt.IsTrue)
}

func TestEachPieceIsMadeOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := &queue{}
		var groups []*group
		for n := range rapid.IntRange(1, 6).Draw(t, "orders") {
			g := order(fmt.Sprint(n, "-"), rapid.IntRange(1, 9).Draw(t, "pieces"), n, time.Second)
			groups = append(groups, g)
			q.waiting = append(q.waiting, g)
		}
		for rounds := 0; len(q.waiting) > 0; rounds++ {
			q.sort(start(), 10, 1)
			batch := q.take(rapid.IntRange(1, 5).Draw(t, "batch"), sequoialead.Server{ID: "s"}, rapid.IntRange(10, 60).Draw(t, "room"), anywhere)
			if len(batch) == 0 {
				t.Fatal("a call has no pieces though orders wait")
			}
			for _, j := range batch {
				if rounds < 50 && rapid.Bool().Draw(t, "no room") {
					q.back(j)
					continue
				}
				if j.group.results[j.index].Handle != "" {
					t.Fatalf("%s%d is made twice", j.piece.Request, j.piece.Number)
				}
				j.group.made(j, Result{Handle: "h"})
			}
		}
		for _, g := range groups {
			if !g.over || g.failed != "" {
				t.Fatal("an order is not whole")
			}
		}
	})
}

// place is a maker that is held up in the middle of a call.
type place struct {
	started chan struct{}
	finish  chan struct{}
}

func (p *place) Make(_ context.Context, _ sequoialead.Server, pieces []sequoialead.Piece) ([]sequoialead.Made, *sequoialead.Occupancy, error) {
	close(p.started)
	<-p.finish
	made := make([]sequoialead.Made, len(pieces))
	for i := range made {
		made[i].Handle = "h"
	}
	return made, nil, nil
}
func (p *place) Free(context.Context, sequoialead.Server, []string) error { return nil }
func (p *place) Conf(string) *plan.Pool {
	return &plan.Pool{Pieces: &plan.Pieces{Batch: 4, Room: 100, Call: time.Minute}}
}
func (p *place) Own(string) int                                             { return 1 }
func (p *place) Has(string, string) bool                                    { return true }
func (p *place) Request(string)                                             {}
func (p *place) Repeat(string) bool                                         { return true }
func (p *place) First(string, *pool.Place)                                  {}
func (p *place) Give(string, *pool.Place, pool.End, *sequoialead.Occupancy) {}
func (p *place) Take(string, pool.Want) (*pool.Place, sequoialead.Reason) {
	return &pool.Place{Server: sequoialead.Server{ID: "s"}, Own: true}, ""
}

// Inputs are known to be read while their results are still being made.
func TestInputsAreReadBeforeResultsAreMade(t *testing.T) {
	c := qt.New(t)
	p := &place{started: make(chan struct{}), finish: make(chan struct{})}
	b := New(Options{Metrics: metrics.NewSet(), Maker: p, Pools: p, Now: start})
	c.Assert(b.Start(context.Background()), qt.IsNil)
	read, ended := make(chan struct{}), make(chan int, 1)
	b.queue("").lead(1, start().Add(-sharedTime))
	o := order("a", 2, 0, time.Second).order
	o.Read = func() { close(read) }
	go func() {
		results, _ := b.Make(context.Background(), o)
		ended <- len(results)
	}()
	<-p.started
	<-read
	close(p.finish)
	c.Assert(<-ended, qt.Equals, 2)
	c.Assert(b.Close(), qt.IsNil)
}

// While other entries may have calls at a backend server, a call's turn is not
// known, so its inputs are not taken to be read.
func TestInputsAreKeptWhileServersAreShared(t *testing.T) {
	tests := []struct {
		desc   string
		change func(b *Batcher, q *queue, c *call)
		shared bool
	}{
		{"nobody else", func(*Batcher, *queue, *call) {}, false},
		{"another entry's backend server", func(_ *Batcher, _ *queue, c *call) { c.place.Own = false }, true},
		{"this entry has just become the leader", func(_ *Batcher, q *queue, _ *call) { q.lead(2, start()) }, true},
		{"an answer told of other calls", func(_ *Batcher, q *queue, _ *call) { q.sharedUntil = start().Add(time.Millisecond) }, true},
		{"another entry takes over", func(b *Batcher, _ *queue, _ *call) { b.Leave() }, true},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			b := New(Options{Metrics: metrics.NewSet(), Now: start})
			g := order("a", 1, 0, time.Second)
			g.order.Read = func() {}
			j := g.missing[0]
			g.missing = nil
			q := b.queue("")
			c := &call{q: q, place: &pool.Place{Own: true}, batch: []*job{j}}
			test.change(b, q, c)
			b.reading(c)
			qt.Assert(t, g.read, qt.Equals, !test.shared)
		})
	}
}

func TestEstimate(t *testing.T) {
	c := qt.New(t)
	conf := &plan.Pieces{Batch: 10, Call: 200 * time.Millisecond}
	idle := frame.Backlog{Servers: 2}
	c.Assert(Estimate(conf, idle, 0, 3), qt.Equals, 200*time.Millisecond)
	busy := frame.Backlog{Servers: 2, Calls: 2, Usual: 300 * time.Millisecond, Pieces: []int{40, 400}}
	c.Assert(Estimate(conf, busy, 0, 3), qt.Equals, (300+4*150+100)*time.Millisecond)
	c.Assert(Estimate(conf, busy, 1, 3) > Estimate(conf, busy, 0, 3), qt.IsTrue)
}

func TestLedger(t *testing.T) {
	c := qt.New(t)
	l := newLedger()
	c.Assert(l.room(100, "s", true, start()), qt.Equals, 100)
	c.Assert(l.room(100, "s", false, start()), qt.Equals, 40)
	l.hold("p", "s", 70)
	l.hold("other", "t", 5)
	c.Assert(l.total("p"), qt.Equals, 70)
	c.Assert(l.room(100, "s", true, start()), qt.Equals, 30)
	l.giveUp(Result{Handle: "h", Maker: sequoialead.Server{ID: "s"}, Bytes: 70})
	l.giveUp(Result{Handle: "foreign", Maker: sequoialead.Server{ID: "s"}, Bytes: 20, By: "another"})
	c.Assert(l.room(100, "s", true, start()), qt.Equals, 30) // until they were dropped
	c.Assert(l.unwanted["s"].handles, qt.DeepEquals, []string{"h", "foreign"})
	l.unhold("s", l.unwanted["s"].bytes)
	c.Assert(l.room(100, "s", true, start()), qt.Equals, 100)
	l.noRoom("s", true, start())
	c.Assert(l.room(100, "s", true, start()), qt.Equals, 0)
	c.Assert(l.room(100, "s", true, start().Add(ownPause)), qt.Equals, 100)
}
