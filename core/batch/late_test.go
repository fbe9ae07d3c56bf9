package batch

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"sequoialead"
	"sequoialead/core/proxyconfig"
)

// lateFigures is what came of the orders of one kind.
type lateFigures struct {
	orders, inTime, late, none int
	// told is the sum of the times after which the orders without results ended.
	told time.Duration
}

func (f lateFigures) meanTold() time.Duration { return f.told / time.Duration(max(f.none, 1)) }

func (f lateFigures) String() string {
	return fmt.Sprintf("%d orders: %d in time, %d late, %d none (told after %s)", f.orders, f.inTime, f.late, f.none, f.meanTold().Round(time.Millisecond))
}

// playLate lets a queue with three servers make the orders of two kinds for 30 s: chats, due
// after 0.7 s and of use for 3 s, and reports, which are less urgent, due after 2.5 s and of
// use for 4.5 s. The load is what the servers can make in full calls.
func playLate(load float64, balanced bool) (chats, reports lateFigures) {
	const servers, tick = 3, 5 * time.Millisecond
	conf := &proxyconfig.PieceLimits{MaxBatch: 10, CallTime: 240 * time.Millisecond, ItemTime: 15 * time.Millisecond, RoomBytes: 1 << 30}
	rate := load * servers * 10 / 0.39 / 4 // orders of 4 pieces on average
	random := rand.New(rand.NewPCG(5, 5))
	q := &queue{}
	type running struct {
		batch []*pendingPiece
		since time.Time
		until time.Time
	}
	var calls []running
	var waiting []*pendingOrder
	endedAt := map[*pendingOrder]time.Time{}
	figures := [2]lateFigures{}
	begin := start()
	for now := begin; now.Sub(begin) < 40*time.Second; now = now.Add(tick) {
		for now.Sub(begin) < 30*time.Second && random.Float64() < rate*tick.Seconds() {
			o := Order{DueAt: now.Add(700 * time.Millisecond), ExpiresAt: now.Add(3 * time.Second)}
			if random.IntN(4) == 0 {
				o = Order{Urgency: 1, DueAt: now.Add(2500 * time.Millisecond), ExpiresAt: now.Add(4500 * time.Millisecond)}
			}
			for n := range 1 + random.IntN(7) {
				o.Pieces = append(o.Pieces, sequoialead.Piece{Number: n, Bytes: 1})
			}
			p := newPendingOrder(o, now)
			waiting = append(waiting, p)
			q.orders = append(q.orders, p)
		}
		left := calls[:0]
		for _, c := range calls {
			if now.Before(c.until) {
				left = append(left, c)
				continue
			}
			q.times.RecordCall(conf, len(c.batch), c.until.Sub(c.since), q.state(now, servers))
			q.inFlight--
			for _, p := range c.batch {
				if !p.parent.ended {
					p.parent.complete(p, Result{Handle: "h"})
				}
			}
		}
		calls = left
		for q.inFlight < servers {
			q.prune(now)
			if len(q.orders) == 0 {
				break
			}
			q.sort(now, conf, servers)
			if balanced && q.sortLate(now, conf, servers) > 0 {
				continue
			}
			batch := q.takeBatch(conf.MaxBatch, sequoialead.Server{ID: "s"}, spareRoom{bytes: 1 << 30}, neverWaits)
			q.times.Advance(q.state(now, servers))
			q.inFlight++
			if balanced {
				q.recordTurns(batch, conf.MaxBatch)
			}
			if len(q.orders) > 0 {
				q.times.RecordLoaded(conf, len(batch), q.state(now, servers))
			}
			calls = append(calls, running{batch: batch, since: now, until: now.Add(conf.CallTime + time.Duration(len(batch))*conf.ItemTime)})
		}
		q.prune(now)
		for _, o := range waiting {
			if _, ok := endedAt[o]; !ok && o.ended {
				endedAt[o] = now
			}
		}
	}
	for _, o := range waiting {
		f := &figures[min(o.order.Urgency, 1)]
		f.orders++
		switch {
		case !o.ended || o.failed != "":
			f.none++
			f.told += endedAt[o].Sub(o.enqueued)
		case endedAt[o].After(o.order.DueAt):
			f.late++
		default:
			f.inTime++
		}
	}
	return figures[0], figures[1]
}

// In a pool with more demand than it can serve, the orders of the less urgent kind stood
// behind all others until they expired at their callers' deadline: callers got no answer, and
// no time for another attempt.
func TestLateOrdersAreWithdrawnOrServed(t *testing.T) {
	for _, load := range []float64{0.8, 1.1, 1.4} {
		chats, reports := playLate(load, false)
		chatsNow, reportsNow := playLate(load, true)
		t.Logf("load %.1f without: chats %s; reports %s", load, chats, reports)
		t.Logf("load %.1f with:    chats %s; reports %s", load, chatsNow, reportsNow)
		c := qt.New(t)
		c.Check(float64(chatsNow.inTime+reportsNow.inTime) >= 0.97*float64(chats.inTime+reports.inTime), qt.IsTrue)
		if load > 1 {
			c.Check(chatsNow.meanTold() < chats.meanTold()/2, qt.IsTrue)
			c.Check(reportsNow.meanTold() < 2*reports.meanTold()/3, qt.IsTrue)
			c.Check(reportsNow.late > reports.late, qt.IsTrue) // of use, and not starved
		}
	}
}
