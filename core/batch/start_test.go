package batch

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"sequoialead"
	"sequoialead/core/proxyconfig"
)

type startFigures struct {
	late      float64
	mean, p95 time.Duration
	// perCall is the mean number of pieces in a call, and calls the mean number of calls
	// for an order.
	perCall, calls float64
}

func (f startFigures) String() string {
	return fmt.Sprintf("late %.1f%%, mean %s, p95 %s, %.1f pieces a call, %.2f calls an order", 100*f.late, f.mean.Round(time.Millisecond), f.p95.Round(time.Millisecond), f.perCall, f.calls)
}

// playStarts lets a group of servers make orders for 60 s, which are due after 0.667 s and of use
// for 3 s. The load is a part of what the servers make in full calls.
func playStarts(conf *proxyconfig.PieceLimits, servers int, load float64, spaced bool) startFigures {
	const tick, length, meanPieces = 2 * time.Millisecond, 60 * time.Second, 5
	full := conf.CallTime + time.Duration(conf.MaxBatch)*conf.ItemTime
	rate := load * float64(servers*conf.MaxBatch) / full.Seconds() / meanPieces
	random := rand.New(rand.NewPCG(9, uint64(servers)))
	q := &queue{}
	type running struct {
		batch        []*pendingPiece
		since, until time.Time
	}
	var inFlight []running
	var orders []*pendingOrder
	endedAt, callsOf := map[*pendingOrder]time.Time{}, map[*pendingOrder]int{}
	pieces, calls := 0, 0
	begin := start()
	next := begin
	for now := begin; now.Sub(begin) < length+5*time.Second; now = now.Add(tick) {
		for ; next.Sub(begin) < length && !next.After(now); next = next.Add(time.Duration(random.ExpFloat64() / rate * float64(time.Second))) {
			o := Order{DueAt: now.Add(667 * time.Millisecond), ExpiresAt: now.Add(3 * time.Second)}
			for n := range 1 + random.IntN(2*meanPieces-1) {
				o.Pieces = append(o.Pieces, sequoialead.Piece{Number: n, Bytes: 1})
			}
			p := newPendingOrder(o, now)
			orders, q.orders = append(orders, p), append(q.orders, p)
		}
		left := inFlight[:0]
		for _, c := range inFlight {
			if now.Before(c.until) {
				left = append(left, c)
				continue
			}
			q.times.RecordCall(conf, len(c.batch), c.until.Sub(c.since), q.state(now, servers))
			q.inFlight--
			for _, p := range c.batch {
				if p.parent.complete(p, Result{Handle: "h"}); p.parent.ended {
					endedAt[p.parent] = now
				}
			}
		}
		inFlight = left
		for q.inFlight < servers {
			q.prune(now)
			if len(q.orders) == 0 {
				break
			}
			q.sort(now, conf, servers)
			if q.sortLate(now, conf, servers) > 0 {
				continue
			}
			if spaced && q.startAt(now, conf, servers).After(now) {
				break
			}
			batch := q.takeBatch(conf.MaxBatch, sequoialead.Server{ID: "s"}, spareRoom{bytes: 1 << 30}, neverWaits)
			q.times.Advance(q.state(now, servers))
			q.inFlight++
			q.startedAt = now
			q.recordTurns(batch, conf.MaxBatch)
			if len(q.orders) > 0 {
				q.times.RecordLoaded(conf, len(batch), q.state(now, servers))
			}
			seen := map[*pendingOrder]bool{}
			for _, p := range batch {
				seen[p.parent] = true
			}
			for o := range seen {
				callsOf[o]++
			}
			pieces, calls = pieces+len(batch), calls+1
			inFlight = append(inFlight, running{batch: batch, since: now, until: now.Add(conf.CallTime + time.Duration(len(batch))*conf.ItemTime)})
		}
	}
	f := startFigures{perCall: float64(pieces) / float64(calls)}
	var times []time.Duration
	made := 0
	for _, o := range orders {
		end, ok := endedAt[o]
		if !ok || end.After(o.order.DueAt) {
			f.late++
		}
		if ok {
			times = append(times, end.Sub(o.enqueued))
			f.mean += end.Sub(o.enqueued)
			f.calls += float64(callsOf[o])
			made++
		}
	}
	slices.Sort(times)
	f.late /= float64(len(orders))
	f.mean /= time.Duration(made)
	f.calls /= float64(made)
	f.p95 = times[len(times)*95/100]
	return f
}

// If each idle server got what waited at that moment, calls started in bunches, and orders
// waited for the next server to become idle while calls were half empty.
func TestCallsStartEvenlyUnderLoad(t *testing.T) {
	for _, conf := range []*proxyconfig.PieceLimits{
		{MaxBatch: 10, CallTime: 240 * time.Millisecond, ItemTime: 21 * time.Millisecond, RoomBytes: 1 << 30},
		{MaxBatch: 44, CallTime: 240 * time.Millisecond, ItemTime: 5 * time.Millisecond, RoomBytes: 1 << 30},
	} {
		for _, servers := range []int{2, 6, 18} {
			for _, load := range []float64{0.2, 0.4, 0.6, 0.8, 1.0} {
				without := playStarts(conf, servers, load, false)
				with := playStarts(conf, servers, load, true)
				t.Logf("calls of %d, %d servers, load %.1f: at once %s; spaced %s", conf.MaxBatch, servers, load, without, with)
				c := qt.New(t)
				if load <= 0.8 {
					c.Check(with.mean < without.mean+15*time.Millisecond, qt.IsTrue)
					c.Check(with.late < without.late+0.01, qt.IsTrue)
				}
				if conf.MaxBatch == 44 && servers >= 6 && load >= 0.6 && load <= 0.8 { // at 1.0 the queue never empties, and chance decides
					c.Check(with.mean < without.mean-25*time.Millisecond, qt.IsTrue)
				}
			}
		}
	}
}

// An order that doesn't fit into the room left at a server waits for one that takes all of its
// pieces, as long as it has time: in several calls it would cost several fixed times.
func TestOrderIsNotSplitForRoomWhileItHasTime(t *testing.T) {
	c := qt.New(t)
	conf := limits(300 * time.Millisecond)
	for _, test := range []struct {
		due  time.Duration
		want []string
	}{{2 * time.Second, []string{"b0"}}, {500 * time.Millisecond, []string{"a0"}}} {
		a, b := order("a", 3, 0, test.due), order("b", 1, 1, 3*time.Second)
		q := &queue{orders: []*pendingOrder{a, b}}
		q.sort(start(), conf, 1)
		room := spareRoom{bytes: 15}
		waits := q.orRoomWait(neverWaits, conf, room, 1, start())
		c.Check(ids(q.takeBatch(10, sequoialead.Server{ID: "s"}, room, waits)), qt.DeepEquals, test.want)
	}
}
