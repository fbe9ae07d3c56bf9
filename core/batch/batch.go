// Package batch collects pieces, the units of work of a stage, from many requests
// into batched calls to backend servers. It also frees results that are no longer
// needed.
package batch

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"gopkg.in/tomb.v2"
	"k8s.io/klog/v2"

	"sequoialead"
	"sequoialead/core/pool"
	"sequoialead/core/protocol"
	"sequoialead/core/proxyconfig"
)

// Pools gives access to the backend servers that make pieces. Its methods are
// safe for concurrent use.
type Pools interface {
	// Conf returns a pool's configuration, or nil if the pool is unknown.
	Conf(name string) *proxyconfig.Pool
	// LedServers returns the number of the pool's backend servers that this entry
	// leads, which means that it queues the pieces of all entries for them.
	LedServers(name string) int
	// HasDomain reports whether a pool has backend servers in a failure domain. If
	// this entry leads any of the pool's backend servers, only those count.
	HasDomain(name, domain string) bool
	// Acquire acquires a place for a request. It returns nil and a reason if
	// there is none.
	Acquire(name string, request pool.Request) (*pool.Place, sequoialead.Reason)
	// RecordFirstByte records that the answer to the request at place has begun to
	// arrive.
	RecordFirstByte(name string, place *pool.Place)
	// Release releases a place and records how its request ended, and the load that
	// the backend server reported; nil if it reported none.
	Release(name string, place *pool.Place, end pool.End, load *sequoialead.ServerLoad)
	// RecordNotice records what a backend server said of itself, given its ID and that of
	// a request that the answer was for; empty if there is none.
	RecordNotice(server, request string, notice sequoialead.ServerNotice)
	// FreeDelay returns how long a call that frees results at a backend server has to
	// wait. It reports false if no such call may be sent any more.
	FreeDelay(server string) (time.Duration, bool)
	// CountOrder counts an order for a pool, which adds to the pool's retry budget.
	CountOrder(name string)
	// TakeRetry takes one retry from a pool's retry budget, and reports whether
	// there was one.
	TakeRetry(name string) bool
}

// Options configures a batcher.
type Options struct {
	Maker sequoialead.Maker
	Pools Pools
	Log   klog.Logger
	// Metrics receives histograms of calls and queueing times.
	Metrics *metrics.Set
	Now     func() time.Time
	// Balance is set if late orders are withdrawn or get a share of the calls, and calls
	// start evenly spaced under load.
	Balance bool
}

// Order is a set of pieces that one request wants from one pool.
type Order struct {
	Pool string
	// Conf is the pool's configuration; nil if the pool is unknown.
	Conf   *proxyconfig.Pool
	Pieces []sequoialead.Piece
	// Urgency is from 0, the most urgent, upwards.
	Urgency int
	// DueAt is the time by which the pieces must be made for the request to meet
	// the latency objective of its route.
	DueAt time.Time
	// ExpiresAt is the time after which the pieces are useless; the order then
	// fails.
	ExpiresAt time.Time
	// Domain is the preferred failure domain: where the inputs are, or where the
	// results are needed. Empty for no preference.
	Domain string
	// MovedBytes is the number of bytes that have to cross failure domains if the
	// pieces are made outside Domain.
	MovedBytes int
	// ResultDomain is the failure domain where the results are needed, if that is known,
	// and ResultBytes their size. Following holds the stages that need them.
	ResultDomain string
	ResultBytes  int
	Following    []Following
	// OnInputsRead is called once calls for all pieces are in flight and their inputs
	// have been read, if that is known before the results arrive. It may be nil.
	OnInputsRead func()
}

// Following is a stage whose pieces need the results of an order.
type Following struct {
	Conf   *proxyconfig.Pool
	Pieces int
	// MovedBytes is the number of bytes that cross failure domains if the stage is made in
	// another one than the order.
	MovedBytes int
}

// Result is the result of one piece. Server holds it until it is freed.
type Result struct {
	Handle string
	Server sequoialead.Server
	Bytes  int
	// Entry is the name of the entry whose batcher requested the piece; empty for
	// this entry.
	Entry string
}

const (
	// maxAttempts bounds the failed attempts at an order, as a multiple of the
	// number of its pieces.
	maxAttempts = 3
	// timeoutFactor is the timeout of a call as a multiple of its configured
	// duration. It allows for calls queued before it and for a slow backend server.
	timeoutFactor = 4
	// transferAllowance is added to the timeout for the transfer of inputs.
	transferAllowance = time.Second
	// localWaitShare is the part of an order's slack that it may spend waiting
	// for a backend server in its own failure domain.
	localWaitShare = 0.5
	// minMovedBytes is the size below which an order doesn't wait for its own
	// failure domain: moving fewer bytes takes less time than waiting.
	minMovedBytes = 256 << 10
	// localWaitMaxLoad is the queue length up to which orders may wait for their
	// own failure domain, as a fraction of one full batch per led backend server.
	// If the queue is longer, orders are made in any domain.
	localWaitMaxLoad = 0.5
	// inputReadDelay is how long an otherwise idle backend server takes to read
	// the inputs of a call: a few megabytes over its link, plus the latency.
	inputReadDelay = 80 * time.Millisecond
	// placeRetryInterval is how long to wait before trying again to place a call
	// after no backend server had a place.
	placeRetryInterval = 20 * time.Millisecond
)

// Batcher queues orders for each pool and has their pieces made in batched
// calls.
type Batcher struct {
	opts  Options
	tomb  tomb.Tomb
	stats callMetrics

	mu     sync.Mutex
	queues map[string]*queue
	rooms  *roomTracker
	// handingOver is set once other entries take over the backend servers that this
	// one leads.
	handingOver bool
	// random returns a number from 0 to 1, which spreads the pauses after refusals.
	random func() float64
	// freeSignal is signalled when there are results to free.
	freeSignal chan struct{}
}

var _ sequoialead.Service = (*Batcher)(nil)

// New returns a batcher. Call Start to let it free results.
func New(opts Options) *Batcher {
	return &Batcher{opts: opts, stats: callMetrics{set: opts.Metrics}, queues: map[string]*queue{}, rooms: newRoomTracker(), random: rand.Float64, freeSignal: make(chan struct{}, 1)}
}

// Start begins to free discarded results in the background.
func (b *Batcher) Start(context.Context) error {
	b.tomb.Go(b.freeLoop)
	return nil
}

// Close stops the batcher and waits for calls in flight.
func (b *Batcher) Close() error {
	b.mu.Lock()
	b.tomb.Kill(nil) // under mu, so that no call starts afterwards
	b.mu.Unlock()
	return b.tomb.Wait()
}

// Make enqueues an order, waits until its pieces are made, and returns the result
// of each piece, in the sequence of Order.Pieces. If a piece fails, the results of
// the others are freed, and the reason is returned. If ctx ends first, the reason
// is ReasonCancelled.
func (b *Batcher) Make(ctx context.Context, order Order) ([]Result, sequoialead.Reason) {
	o := newPendingOrder(order, b.opts.Now())
	b.opts.Pools.CountOrder(order.Pool)
	b.mu.Lock()
	q := b.queue(order.Pool)
	q.orders = append(q.orders, o)
	b.dispatch(q)
	b.mu.Unlock()
	select {
	case <-o.done:
	case <-ctx.Done():
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if o.ended && o.failed == "" {
		return o.results, ""
	}
	o.abandoned = true
	b.discard(o.results)
	o.results = nil
	if o.failed != "" {
		return nil, o.failed
	}
	return nil, sequoialead.ReasonCancelled
}

// HandOver fails the queued orders with ReasonLeaving, because other entries take
// over the backend servers that this one leads. Calls in flight run to their end.
func (b *Batcher) HandOver() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.handingOver = true
	for _, q := range b.queues {
		q.failAll(sequoialead.ReasonLeaving)
	}
}

// Backlog returns the load of a pool's queue, from which waiting times are
// estimated, and the fraction of the room for results that is in use.
func (b *Batcher) Backlog(name string) protocol.Backlog {
	now, led, pieces := b.opts.Now(), b.opts.Pools.LedServers(name), &proxyconfig.PieceLimits{MaxBatch: 1}
	if conf := b.opts.Pools.Conf(name); conf != nil && conf.Pieces != nil {
		pieces = conf.Pieces
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	q := b.queue(name)
	q.updateLedServers(led, now) // it is asked for regularly, also while there are no orders
	led = max(led, 1)
	l := q.backlog(now, pieces, led)
	if pieces.RoomBytes > 0 {
		l.RoomUsed = float64(b.rooms.heldByPool(name)) / float64(pieces.RoomBytes*led)
	}
	return l
}

func (b *Batcher) queue(name string) *queue {
	q := b.queues[name]
	if q == nil {
		q = &queue{name: name}
		b.queues[name] = q
	}
	return q
}

// dispatch starts calls while there are queued pieces and places for them. The
// caller holds mu.
func (b *Batcher) dispatch(q *queue) {
	for b.tomb.Alive() {
		now := b.opts.Now()
		q.prune(now)
		if len(q.orders) == 0 {
			return
		}
		conf := b.opts.Pools.Conf(q.name)
		if conf == nil || conf.Pieces == nil {
			q.failAll(sequoialead.ReasonPool)
			return
		}
		led := b.opts.Pools.LedServers(q.name)
		q.updateLedServers(led, now)
		if q.inFlight >= q.contention.Limit(max(led, 1), now) {
			return // as many calls in flight as led backend servers, or one if none is led
		}
		if q.checkSizes(conf.Pieces.RoomBytes, now) {
			continue
		}
		q.sort(now, conf.Pieces, max(led, 1))
		if b.opts.Balance {
			if n := q.sortLate(now, conf.Pieces, max(led, 1)); n > 0 {
				b.stats.countWithdrawn(q.name, n)
				continue
			}
		}
		q.takeRetries(func() bool { return b.opts.Pools.TakeRetry(q.name) })
		if b.opts.Balance {
			if wait := q.startAt(now, conf.Pieces, max(led, 1)).Sub(now); wait > 0 {
				b.dispatchAfter(q, wait)
				return
			}
		}
		place, room := b.findPlace(q, conf, now)
		if place == nil {
			b.dispatchLater(q)
			return
		}
		waits := b.localWaitFunc(q, conf, now)
		if b.opts.Balance {
			waits = q.orRoomWait(waits, conf.Pieces, room, max(led, 1), now)
		}
		c := &call{q: q, conf: conf, place: place, shared: !place.Led || q.contention.Shared(place.Server.ID, now), batch: q.takeBatch(conf.Pieces.MaxBatch, place.Server, room, waits)}
		if len(c.batch) == 0 {
			b.opts.Pools.Release(q.name, place, pool.EndAbandoned, nil)
			b.dispatchLater(q)
			return
		}
		for _, p := range c.batch {
			b.rooms.reserve(q.name, place.Server.ID, p.piece.Bytes)
		}
		q.times.Advance(q.state(now, max(led, 1)))
		place.Units = len(c.batch)
		q.inFlight++
		q.startedAt = now
		q.recordTurns(c.batch, conf.Pieces.MaxBatch)
		if len(q.orders) > 0 {
			q.times.RecordLoaded(conf.Pieces, len(c.batch), q.state(now, max(led, 1)))
		}
		b.stats.observeWaits(q.name, c.batch, now)
		b.notifyInputsRead(c)
		b.tomb.Go(func() error {
			b.runCall(c)
			return nil
		})
	}
}

// dispatchLater calls dispatch after placeRetryInterval, when a backend server
// may have a place again.
func (b *Batcher) dispatchLater(q *queue) { b.dispatchAfter(q, placeRetryInterval) }

// dispatchAfter calls dispatch after a delay, unless that is scheduled already.
func (b *Batcher) dispatchAfter(q *queue, delay time.Duration) {
	if q.dispatchScheduled {
		return
	}
	q.dispatchScheduled = true
	time.AfterFunc(min(delay, placeRetryInterval), func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		q.dispatchScheduled = false
		b.dispatch(q)
	})
}
