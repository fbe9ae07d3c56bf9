package batch

import (
	"cmp"
	"math"
	"slices"
	"time"

	"sequoialead"
	"sequoialead/core/callstart"
	"sequoialead/core/calltime"
	"sequoialead/core/contention"
	"sequoialead/core/lateness"
	"sequoialead/core/protocol"
	"sequoialead/core/proxyconfig"
)

// pendingPiece is one piece of an order that has not ended.
type pendingPiece struct {
	piece  sequoialead.Piece
	parent *pendingOrder
	// index is the position of the piece in its order.
	index int
}

// pendingOrder is an order that has not ended. Its pieces are requested
// together, because results that wait for the rest of their order take up room.
type pendingOrder struct {
	order Order
	// enqueued is when the order arrived.
	enqueued time.Time
	// pending holds the pieces that are neither made nor in flight.
	pending []*pendingPiece
	// remaining is the number of pieces that are not made.
	remaining int
	// awaitsRetry is set if a call with pieces of the order was refused as full. The next
	// call with pieces of it takes a retry from the budget, and waits until there is one.
	awaitsRetry   bool
	results       []Result
	failures      int
	failedServers map[string]bool
	queued        bool
	// started is set once a call has taken a piece of the order.
	started bool
	// readNotified is set once the order's OnInputsRead was called or scheduled.
	readNotified bool
	// late is set if the order would miss its due time behind those before it in
	// the queue.
	late bool
	// hopelessSince is the time since which the order can't be made while it is of use;
	// zero if it can.
	hopelessSince time.Time
	// turn is set if the order is late and goes before those that are not.
	turn bool
	// largest is the size of the largest result among the order's pieces, and oversize is
	// set if that is more than the room of a backend server.
	largest  int
	oversize bool
	// abandoned is set once the caller of Make no longer waits.
	abandoned bool
	ended     bool
	failed    sequoialead.Reason
	done      chan struct{}
}

func newPendingOrder(order Order, now time.Time) *pendingOrder {
	o := &pendingOrder{order: order, enqueued: now, remaining: len(order.Pieces), queued: true, done: make(chan struct{})}
	o.results = make([]Result, len(order.Pieces))
	for i, piece := range order.Pieces {
		o.pending = append(o.pending, &pendingPiece{piece: piece, parent: o, index: i})
		o.largest = max(o.largest, piece.Bytes)
	}
	return o
}

// complete records the result of a piece.
func (o *pendingOrder) complete(p *pendingPiece, r Result) {
	o.results[p.index] = r
	o.remaining--
	if o.remaining == 0 {
		o.finish("")
	}
}

func (o *pendingOrder) fail(reason sequoialead.Reason) { o.finish(reason) }

func (o *pendingOrder) finish(reason sequoialead.Reason) {
	if o.ended {
		return
	}
	o.ended = true
	o.failed = reason
	close(o.done)
}

// pendingBytes returns the total size of the results of the first maxPieces
// pending pieces.
func (o *pendingOrder) pendingBytes(maxPieces int) int {
	n := 0
	for i, p := range o.pending {
		if i >= maxPieces {
			break
		}
		n += p.piece.Bytes
	}
	return n
}

// refusedSize is the smallest result above a pool's room that a backend server without
// other results had no room for.
type refusedSize struct {
	bytes int
	// room is the configured room at that time.
	room  int
	until time.Time
}

// queue holds the orders for one pool that have pieces neither made nor in flight.
type queue struct {
	name   string
	orders []*pendingOrder
	// inFlight is the number of calls in flight.
	inFlight          int
	dispatchScheduled bool
	// times holds what was measured of calls.
	times calltime.Estimate
	// ledServers is the number of backend servers that this entry led when last
	// checked.
	ledServers int
	// contention tells where other entries may have calls.
	contention  contention.Tracker
	refusedSize refusedSize
	// turns counts what late orders may have before others. It is used with Options.Balance
	// only.
	turns lateness.Turns
	// startedAt is when a call was last started. It is used with Options.Balance only.
	startedAt time.Time
}

// checkSizes marks the orders with pieces larger than the configured room. It fails those
// with a piece as large as one that a backend server has refused lately, and reports whether
// there are any.
func (q *queue) checkSizes(room int, now time.Time) bool {
	known := q.refusedSize.room == room && now.Before(q.refusedSize.until)
	failed := false
	for _, o := range q.orders {
		o.oversize = o.largest > room
		if o.oversize && known && o.largest >= q.refusedSize.bytes {
			o.fail(sequoialead.ReasonRoom)
			failed = true
		}
	}
	return failed
}

// recordRefusedSize records that a backend server had no room for a result that is larger
// than the configured room.
func (q *queue) recordRefusedSize(bytes, room int, now time.Time) {
	if q.refusedSize.room == room && now.Before(q.refusedSize.until) {
		bytes = min(bytes, q.refusedSize.bytes)
	}
	q.refusedSize = refusedSize{bytes: bytes, room: room, until: now.Add(refusedSizePeriod)}
}

// updateLedServers records how many backend servers this entry leads. After a
// change the backend servers count as shared, since their previous leader may
// still have calls there.
func (q *queue) updateLedServers(servers int, now time.Time) {
	if servers != q.ledServers {
		q.contention.RecordChange(q.ledServers, servers, now)
		q.ledServers = servers
	}
}

// state returns what the weight of the measured times depends on, given the number of
// backend servers that make the pieces.
func (q *queue) state(now time.Time, servers int) calltime.State {
	return calltime.State{Now: now, Servers: servers, Calls: q.inFlight}
}

// pendingPieces returns the number of pieces in the queue.
func (q *queue) pendingPieces() int {
	n := 0
	for _, o := range q.orders {
		n += len(o.pending)
	}
	return n
}

// prune removes orders that are abandoned, ended or past ExpiresAt. The expired
// ones fail with ReasonLate.
func (q *queue) prune(now time.Time) {
	q.orders = slices.DeleteFunc(q.orders, func(o *pendingOrder) bool {
		if !o.abandoned && !o.ended && now.After(o.order.ExpiresAt) {
			o.fail(sequoialead.ReasonLate)
		}
		o.queued = !o.abandoned && !o.ended
		return !o.queued
	})
}

func (q *queue) failAll(reason sequoialead.Reason) {
	for _, o := range q.orders {
		o.fail(reason)
	}
	q.orders = nil
}

// takeRetries takes a retry for each order that awaits one, in the queue's order, as long as
// there are any.
func (q *queue) takeRetries(take func() bool) {
	for _, o := range q.orders {
		if !o.awaitsRetry {
			continue
		}
		if !take() {
			return
		}
		o.awaitsRetry = false
	}
}

// requeue makes a piece pending again, and enqueues its order unless it is queued.
func (q *queue) requeue(p *pendingPiece) {
	o := p.parent
	o.pending = append(o.pending, p)
	if !o.queued {
		o.queued = true
		q.orders = append(q.orders, o)
	}
}

// sort puts started orders first, because their results take up room, then orders
// that can meet their due time, and last late orders and those that need a whole backend
// server, since they may wait long. Within each class, orders are
// sorted by urgency and due time. The pieces of late orders are not counted in the
// waiting times of other orders, so a late order does not make others late.
func (q *queue) sort(now time.Time, conf *proxyconfig.PieceLimits, servers int) {
	compare := func(a, b *pendingOrder) int {
		return cmp.Or(cmp.Compare(a.priorityClass(), b.priorityClass()), cmp.Compare(a.order.Urgency, b.order.Urgency), a.order.DueAt.Compare(b.order.DueAt))
	}
	for _, o := range q.orders {
		o.late, o.turn = false, false
	}
	slices.SortStableFunc(q.orders, compare)
	state := q.state(now, servers)
	ahead, anyLate, perCallTime, callTime := 0, false, q.times.PiecesPerCallTime(conf, state), q.times.CallTime(conf, state)
	for _, o := range q.orders {
		wait := float64(ahead) / perCallTime * float64(callTime)
		if o.late = !o.started && o.order.DueAt.Before(now.Add(callTime+time.Duration(wait))); o.late {
			anyLate = true
		}
		if o.late || o.oversize {
			continue
		}
		ahead += len(o.pending)
	}
	if anyLate {
		slices.SortStableFunc(q.orders, compare)
	}
}

// sortLate withdraws the late orders that can't be made while they are of use, and puts the
// first of the others before those that are not late if it is its turn. It returns
// the number of those withdrawn, which stay in the queue until it is pruned.
func (q *queue) sortLate(now time.Time, conf *proxyconfig.PieceLimits, servers int) (withdrawn int) {
	state := q.state(now, servers)
	load := lateness.Load{Now: now, CallTime: q.times.CallTime(conf, state), PerCallTime: q.times.PiecesPerCallTime(conf, state)}
	for _, o := range q.orders {
		if !o.late && !o.oversize {
			load.InTime += len(o.pending)
		}
	}
	var late []*pendingOrder
	for _, o := range q.orders {
		if o.late && !o.started && !o.oversize {
			late = append(late, o)
		}
	}
	// The one that is of no use first goes first, whatever its urgency, since the others can
	// wait until there is less demand.
	slices.SortStableFunc(late, func(a, b *pendingOrder) int { return a.order.ExpiresAt.Compare(b.order.ExpiresAt) })
	lateAhead, moved := 0, false
	for _, o := range late {
		if !lateness.Hopeless(load, o.order.ExpiresAt, lateAhead) {
			o.hopelessSince = time.Time{}
		} else if o.hopelessSince.IsZero() {
			o.hopelessSince = now
		}
		if lateness.Withdraw(load, o.order.ExpiresAt, o.hopelessSince) {
			o.fail(sequoialead.ReasonLate)
			withdrawn++
			continue
		}
		if lateAhead == 0 && q.turns.Due(load, o.order.ExpiresAt, len(o.pending), conf.MaxBatch) {
			o.turn, moved = true, true
		}
		lateAhead += len(o.pending)
	}
	if moved {
		slices.SortStableFunc(q.orders, func(a, b *pendingOrder) int { return cmp.Compare(a.priorityClass(), b.priorityClass()) })
	}
	return withdrawn
}

// startAt returns when the next call may start.
func (q *queue) startAt(now time.Time, conf *proxyconfig.PieceLimits, servers int) time.Time {
	g := callstart.Group{
		Servers: servers, Calls: q.inFlight, StartedAt: q.startedAt, MaxBatch: conf.MaxBatch, Orders: len(q.orders), Pieces: q.pendingPieces(),
		CallTime: q.times.CallTime(conf, q.state(now, servers)), Configured: calltime.Configured(conf, float64(conf.MaxBatch)),
	}
	for _, o := range q.orders {
		g.Started = g.Started || o.started
		if !o.late && (g.DueAt.IsZero() || o.order.DueAt.Before(g.DueAt)) {
			g.DueAt = o.order.DueAt
		}
	}
	return callstart.StartAt(g)
}

// splitCalls is the number of calls' time that must be left to an order for its pieces to wait
// for a server that takes all of them: that of the wait for it and of the call.
const splitCalls = 2

// maySplit reports whether an order's pieces may go in several calls for lack of room.
func (o *pendingOrder) maySplit(now time.Time, callTime time.Duration) bool {
	return o.started || !now.Add(splitCalls*callTime).Before(o.order.DueAt)
}

// recordTurns records which pieces of a call are late.
func (q *queue) recordTurns(batch []*pendingPiece, full int) {
	late := 0
	for _, p := range batch {
		if p.parent.late {
			late++
		}
	}
	q.turns.Record(late, len(batch)-late, full)
}

// localWaitDeadline returns the time until which the order may wait for a backend
// server of its failure domain, given the duration of a call.
func (o *pendingOrder) localWaitDeadline(callTime time.Duration) time.Time {
	if o.order.MovedBytes < minMovedBytes {
		return o.enqueued
	}
	slack := o.order.DueAt.Sub(o.enqueued) - callTime
	return o.enqueued.Add(time.Duration(localWaitShare * float64(slack)))
}

// priorityClass returns the sort key that comes before urgency and due time; lower
// is first.
func (o *pendingOrder) priorityClass() int {
	switch {
	case o.started:
		return 0
	case o.turn:
		return 1
	case o.late, o.oversize:
		return 3
	}
	return 2
}

// takeBatch removes the pieces of one call from the queue. It takes whole orders
// that fit both the remaining pieces of the call and the remaining room. The first
// order taken is split if it does not fit. If the backend server holds nothing, the first
// piece is taken whatever its size, because sizes are approximate. Orders that already
// failed at the backend server, or that wait for one in their own failure domain, are
// skipped.
func (q *queue) takeBatch(maxPieces int, server sequoialead.Server, room spareRoom, waitsForLocal func(o *pendingOrder, domain string) bool) []*pendingPiece {
	var batch []*pendingPiece
	for _, o := range q.orders {
		maxLeft := maxPieces - len(batch)
		if maxLeft == 0 {
			break
		}
		fits := len(o.pending) <= maxLeft && o.pendingBytes(maxLeft) <= room.bytes
		if o.awaitsRetry || o.failedServers[server.ID] || waitsForLocal(o, server.Domain) || !fits && len(batch) > 0 {
			continue
		}
		n := 0
		for n < len(o.pending) && n < maxLeft && (room.whole || o.pending[n].piece.Bytes <= room.bytes) {
			room.bytes -= o.pending[n].piece.Bytes
			room.whole = false
			n++
		}
		batch = append(batch, o.pending[:n]...)
		o.pending = o.pending[n:]
		o.started = o.started || n > 0
	}
	q.orders = slices.DeleteFunc(q.orders, func(o *pendingOrder) bool {
		o.queued = len(o.pending) > 0
		return !o.queued
	})
	return batch
}

// urgencyCount is the number of urgencies that a backlog distinguishes; higher ones
// count as the last.
const urgencyCount = 10

// backlog returns the load of the queue, as the input of Estimate.
func (q *queue) backlog(now time.Time, conf *proxyconfig.PieceLimits, servers int) protocol.Backlog {
	state := q.state(now, servers)
	l := protocol.Backlog{CallTime: q.times.CallTime(conf, state), PiecesPerCallTime: q.times.PiecesPerCallTime(conf, state), Servers: servers, Calls: q.inFlight}
	for _, o := range q.orders {
		if o.late || o.oversize {
			continue // behind all others
		}
		if l.Pieces == nil {
			l.Pieces = make([]int, urgencyCount)
		}
		l.Pieces[min(max(o.order.Urgency, 0), urgencyCount-1)] += len(o.pending)
	}
	return l
}

// Estimate returns the estimated time from enqueueing an order behind a backlog
// until its results are complete, for the given urgency and number of pieces.
func Estimate(conf *proxyconfig.PieceLimits, l protocol.Backlog, urgency, pieces int) time.Duration {
	call := max(l.CallTime, conf.CallTime)
	ahead := 0
	for r, n := range l.Pieces {
		if r <= urgency {
			ahead += n
		}
	}
	servers := max(l.Servers, 1)
	perCallTime := l.PiecesPerCallTime
	if perCallTime == 0 {
		perCallTime = float64(conf.MaxBatch * servers)
	}
	wait := time.Duration(math.Floor(float64(ahead+pieces-1)/perCallTime*float64(servers)) / float64(servers) * float64(call))
	if l.Calls >= servers {
		wait += call / time.Duration(servers+1)
	}
	return wait + call
}
