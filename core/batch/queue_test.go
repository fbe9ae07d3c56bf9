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
	"sequoialead/core/pool"
	"sequoialead/core/protocol"
	"sequoialead/core/proxyconfig"
)

func start() time.Time { return time.Unix(1000, 0) }

func order(id string, pieces, urgency int, due time.Duration) *pendingOrder {
	o := Order{Urgency: urgency, DueAt: start().Add(due), ExpiresAt: start().Add(time.Minute)}
	for n := range pieces {
		o.Pieces = append(o.Pieces, sequoialead.Piece{Request: id, Number: n, Bytes: 10})
	}
	return newPendingOrder(o, start())
}

// limits returns the limits of servers that make 10 pieces in each call.
func limits(callTime time.Duration) *proxyconfig.PieceLimits {
	return &proxyconfig.PieceLimits{MaxBatch: 10, CallTime: callTime}
}

func neverWaits(*pendingOrder, string) bool { return false }

func ids(batch []*pendingPiece) []string {
	list := []string{}
	for _, p := range batch {
		list = append(list, fmt.Sprintf("%s%d", p.piece.Request, p.piece.Number))
	}
	return list
}

func TestTakeBatch(t *testing.T) {
	server := sequoialead.Server{ID: "s", Domain: "a"}
	tests := []struct {
		desc      string
		queue     []*pendingOrder
		maxPieces int
		room      int
		want      []string
	}{
		{"the soonest due goes first", []*pendingOrder{order("a", 1, 0, 3*time.Second), order("b", 1, 0, 2*time.Second)}, 1, 99, []string{"b0"}},
		{"the more urgent goes first", []*pendingOrder{order("a", 1, 1, 2*time.Second), order("b", 1, 0, 3*time.Second)}, 1, 99, []string{"b0"}},
		{"what is late goes last", []*pendingOrder{order("a", 1, 0, 100*time.Millisecond), order("b", 1, 5, 3*time.Second)}, 1, 99, []string{"b0"}},
		{"orders go whole, and a smaller one fills the call", []*pendingOrder{order("a", 2, 0, time.Second), order("b", 3, 0, 2*time.Second), order("c", 1, 0, 3*time.Second)}, 3, 99, []string{"a0", "a1", "c0"}},
		{"room bounds a call", []*pendingOrder{order("a", 2, 0, time.Second), order("b", 2, 0, 2*time.Second)}, 9, 30, []string{"a0", "a1"}},
		{"an order larger than a call goes in parts", []*pendingOrder{order("a", 5, 0, time.Second)}, 3, 99, []string{"a0", "a1", "a2"}},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			c := qt.New(t)
			q := &queue{orders: test.queue}
			q.sort(start(), limits(300*time.Millisecond), 1)
			c.Assert(ids(q.takeBatch(test.maxPieces, server, spareRoom{bytes: test.room}, neverWaits)), qt.DeepEquals, test.want)
		})
	}
}

// Orders that would miss their due time go last, so that they do not delay orders
// that can meet theirs.
func TestLateOrdersGoLast(t *testing.T) {
	c := qt.New(t)
	q := &queue{}
	for _, id := range []string{"a", "b", "c", "d"} {
		q.orders = append(q.orders, order(id, 10, 0, 2500*time.Millisecond))
	}
	q.sort(start(), limits(time.Second), 1)
	late := 0
	for _, o := range q.orders {
		if o.late {
			late++
		}
	}
	c.Assert(late, qt.Equals, 2) // the third and fourth would end after 3 s and 4 s
	c.Assert(q.orders[2].late && q.orders[3].late, qt.IsTrue)
}

func TestStartedOrdersGoFirst(t *testing.T) {
	c := qt.New(t)
	q := &queue{orders: []*pendingOrder{order("a", 5, 9, time.Hour)}}
	q.sort(start(), limits(0), 1)
	server := sequoialead.Server{ID: "s"}
	c.Assert(q.takeBatch(3, server, spareRoom{bytes: 99}, neverWaits), qt.HasLen, 3)
	q.orders = append(q.orders, order("b", 1, 0, time.Second))
	q.sort(start(), limits(0), 1)
	c.Assert(ids(q.takeBatch(2, server, spareRoom{bytes: 99}, neverWaits)), qt.DeepEquals, []string{"a3", "a4"})
}

func TestOrderWaitsForItsDomain(t *testing.T) {
	c := qt.New(t)
	waitsForLocal := func(o *pendingOrder, domain string) bool { return o.order.Domain != domain }
	o := order("a", 1, 0, time.Second)
	o.order.Domain = "b"
	q := &queue{orders: []*pendingOrder{o}}
	c.Assert(q.takeBatch(9, sequoialead.Server{Domain: "a"}, spareRoom{bytes: 99}, waitsForLocal), qt.HasLen, 0)
	c.Assert(q.takeBatch(9, sequoialead.Server{Domain: "b"}, spareRoom{bytes: 99}, waitsForLocal), qt.HasLen, 1)
}

// Only an order with at least minMovedBytes to move waits for its failure
// domain, and for no longer than a part of its slack.
func TestOnlyLargeOrdersWaitForTheirDomain(t *testing.T) {
	c := qt.New(t)
	const callTime = 200 * time.Millisecond
	small := order("a", 1, 0, time.Second)
	small.order.MovedBytes = minMovedBytes - 1
	c.Assert(small.localWaitDeadline(callTime), qt.Equals, small.enqueued)
	large := order("a", 1, 0, time.Second)
	large.order.MovedBytes = minMovedBytes
	until := large.localWaitDeadline(callTime)
	c.Assert(until.After(large.enqueued), qt.IsTrue)
	c.Assert(until.Add(callTime).Before(large.order.DueAt), qt.IsTrue)
}

// No piece is made twice, even if backend servers refuse pieces for lack of room,
// and every order ends with one result for each of its pieces.
func TestEachPieceIsMadeOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := &queue{}
		var orders []*pendingOrder
		for n := range rapid.IntRange(1, 6).Draw(t, "orders") {
			o := order(fmt.Sprint(n, "-"), rapid.IntRange(1, 9).Draw(t, "pieces"), n, time.Second)
			orders = append(orders, o)
			q.orders = append(q.orders, o)
		}
		for rounds := 0; len(q.orders) > 0; rounds++ {
			q.sort(start(), limits(0), 1)
			batch := q.takeBatch(rapid.IntRange(1, 5).Draw(t, "batch"), sequoialead.Server{ID: "s"}, spareRoom{bytes: rapid.IntRange(10, 60).Draw(t, "room")}, neverWaits)
			if len(batch) == 0 {
				t.Fatal("takeBatch returned no pieces although orders wait")
			}
			for _, p := range batch {
				if rounds < 50 && rapid.Bool().Draw(t, "no room") {
					q.requeue(p)
					continue
				}
				if p.parent.results[p.index].Handle != "" {
					t.Fatalf("piece %s%d was made twice", p.piece.Request, p.piece.Number)
				}
				p.parent.complete(p, Result{Handle: "h"})
			}
		}
		for _, o := range orders {
			if !o.ended || o.failed != "" {
				t.Fatal("order has not ended, or failed")
			}
		}
	})
}

// blockingMaker is a maker whose calls block until finish is closed. It is also
// a pool with one backend server.
type blockingMaker struct {
	started chan struct{}
	finish  chan struct{}
}

func (p *blockingMaker) Make(_ context.Context, _ sequoialead.Server, pieces []sequoialead.Piece) ([]sequoialead.PieceResult, sequoialead.ServerFeedback, error) {
	close(p.started)
	<-p.finish
	results := make([]sequoialead.PieceResult, len(pieces))
	for i := range results {
		results[i].Handle = "h"
	}
	return results, sequoialead.ServerFeedback{}, nil
}
func (p *blockingMaker) Free(context.Context, sequoialead.Server, []string) (sequoialead.ServerFeedback, error) {
	return sequoialead.ServerFeedback{}, nil
}
func (p *blockingMaker) RecordNotice(string, string, sequoialead.ServerNotice) {}
func (p *blockingMaker) FreeDelay(string) (time.Duration, bool)                { return 0, true }
func (p *blockingMaker) Conf(string) *proxyconfig.Pool {
	return &proxyconfig.Pool{Pieces: &proxyconfig.PieceLimits{MaxBatch: 4, RoomBytes: 100, CallTime: time.Minute}}
}
func (p *blockingMaker) LedServers(string) int                                          { return 1 }
func (p *blockingMaker) HasDomain(string, string) bool                                  { return true }
func (p *blockingMaker) CountOrder(string)                                              {}
func (p *blockingMaker) TakeRetry(string) bool                                          { return true }
func (p *blockingMaker) RecordFirstByte(string, *pool.Place)                            {}
func (p *blockingMaker) Release(string, *pool.Place, pool.End, *sequoialead.ServerLoad) {}
func (p *blockingMaker) Acquire(string, pool.Request) (*pool.Place, sequoialead.Reason) {
	return &pool.Place{Server: sequoialead.Server{ID: "s"}, Led: true}, ""
}

// OnInputsRead is called while the results are still being made.
func TestInputsReadIsReportedBeforeResultsAreMade(t *testing.T) {
	c := qt.New(t)
	p := &blockingMaker{started: make(chan struct{}), finish: make(chan struct{})}
	b := New(Options{Metrics: metrics.NewSet(), Maker: p, Pools: p, Now: start})
	c.Assert(b.Start(context.Background()), qt.IsNil)
	read, ended := make(chan struct{}), make(chan int, 1)
	b.queue("").updateLedServers(1, start().Add(-time.Minute))
	o := order("a", 2, 0, time.Second).order
	o.OnInputsRead = func() { close(read) }
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

// While other entries may have calls at a backend server, it is unknown when
// this call is served, so OnInputsRead is not called.
func TestInputsReadIsNotReportedWhileServersAreShared(t *testing.T) {
	tests := []struct {
		desc   string
		change func(b *Batcher, q *queue, c *call)
		shared bool
	}{
		{"no other entry", func(*Batcher, *queue, *call) {}, false},
		{"another entry's backend server", func(_ *Batcher, _ *queue, c *call) { c.place.Led = false }, true},
		{"this entry has just become leader", func(_ *Batcher, q *queue, _ *call) { q.updateLedServers(2, start()) }, true},
		{"an answer reported other calls", func(_ *Batcher, q *queue, _ *call) {
			q.contention.RecordAnswer("s", 1, &sequoialead.ServerLoad{Running: 1}, start())
		}, true},
		{"another entry takes over", func(b *Batcher, _ *queue, _ *call) { b.HandOver() }, true},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			b := New(Options{Metrics: metrics.NewSet(), Now: start})
			o := order("a", 1, 0, time.Second)
			o.order.OnInputsRead = func() {}
			p := o.pending[0]
			o.pending = nil
			q := b.queue("")
			c := &call{q: q, place: &pool.Place{Led: true}, batch: []*pendingPiece{p}}
			test.change(b, q, c)
			b.notifyInputsRead(c)
			qt.Assert(t, o.readNotified, qt.Equals, !test.shared)
		})
	}
}

func TestEstimate(t *testing.T) {
	c := qt.New(t)
	conf := &proxyconfig.PieceLimits{MaxBatch: 10, CallTime: 200 * time.Millisecond}
	idle := protocol.Backlog{Servers: 2}
	c.Assert(Estimate(conf, idle, 0, 3), qt.Equals, 200*time.Millisecond)
	busy := protocol.Backlog{Servers: 2, Calls: 2, CallTime: 300 * time.Millisecond, Pieces: []int{40, 400}}
	c.Assert(Estimate(conf, busy, 0, 3), qt.Equals, (300+4*150+100)*time.Millisecond)
	c.Assert(Estimate(conf, busy, 1, 3) > Estimate(conf, busy, 0, 3), qt.IsTrue)
}

func TestRoomTracker(t *testing.T) {
	c := qt.New(t)
	l := newRoomTracker()
	c.Assert(l.freeRoom(100, "s", true, start()), qt.Equals, 100)
	c.Assert(l.freeRoom(100, "s", false, start()), qt.Equals, 40)
	l.reserve("p", "s", 70)
	l.reserve("other", "t", 5)
	c.Assert(l.heldByPool("p"), qt.Equals, 70)
	c.Assert(l.freeRoom(100, "s", true, start()), qt.Equals, 30)
	l.addToFree(Result{Handle: "h", Server: sequoialead.Server{ID: "s"}, Bytes: 70})
	l.addToFree(Result{Handle: "foreign", Server: sequoialead.Server{ID: "s"}, Bytes: 20, Entry: "another"})
	c.Assert(l.freeRoom(100, "s", true, start()), qt.Equals, 30) // in use until the results are freed
	c.Assert(l.toFree["s"].handles, qt.DeepEquals, []string{"h", "foreign"})
	l.release("s", l.toFree["s"].bytes)
	c.Assert(l.freeRoom(100, "s", true, start()), qt.Equals, 100)
	l.markFull("s", true, start())
	c.Assert(l.freeRoom(100, "s", true, start()), qt.Equals, 0)
	c.Assert(l.freeRoom(100, "s", true, start().Add(ownFullPause)), qt.Equals, 100)
}
