// Package batch has the pieces of stages made, many requests' pieces in one
// call, and gives up results once nobody needs them. Besides the batcher it
// exports its options, orders, results, and what it needs of pools.
package batch

import (
	"context"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"gopkg.in/tomb.v2"
	"k8s.io/klog/v2"

	"sequoialead"
	"sequoialead/core/frame"
	"sequoialead/core/plan"
	"sequoialead/core/pool"
)

// Pools gives access to the backend servers that make pieces. Its methods are
// safe for concurrent use.
type Pools interface {
	// Conf returns a pool's configuration; nil if it is not known.
	Conf(name string) *plan.Pool
	// Own returns the number of backend servers that are left to this entry.
	Own(name string) int
	// Has reports whether a failure domain has backend servers of a pool, of
	// those that this entry leads if it leads any.
	Has(name, domain string) bool
	Take(name string, want pool.Want) (*pool.Place, sequoialead.Reason)
	First(name string, place *pool.Place)
	Give(name string, place *pool.Place, end pool.End, load *sequoialead.Occupancy)
	// Request counts an order for a pool, which adds to its budget of retries.
	Request(name string)
	// Repeat takes one retry from a pool's budget, if there is any.
	Repeat(name string) bool
}

// Options configures a batcher.
type Options struct {
	Maker sequoialead.Maker
	Pools Pools
	Log   klog.Logger
	// Metrics takes histograms.
	Metrics *metrics.Set
	Now     func() time.Time
}

// Order is what one request wants made by one pool.
type Order struct {
	Pool string
	// Conf is the pool's configuration; nil if it is not known.
	Conf   *plan.Pool
	Pieces []sequoialead.Piece
	// Rank is lower for more urgent requests.
	Rank int
	// Due is when the pieces have to be made for the request to be on time.
	Due time.Time
	// Until is when they are of no use any more.
	Until time.Time
	// Domain is where the inputs are, or the results are wanted; empty for
	// anywhere.
	Domain string
	// Moved is the number of bytes that go to another failure domain if the pieces
	// are made there.
	Moved int
	// Read is called once all pieces are being made and their inputs were read,
	// if that is known before the results are; nil if nobody cares.
	Read func()
}

// Result is the result of one piece, held by its maker until it is given up.
type Result struct {
	Handle string
	Maker  sequoialead.Server
	Bytes  int
	// By names the entry that had it made; empty for this one.
	By string
}

const (
	// mostTries bounds how often a piece is asked for.
	mostTries = 3
	// timeoutFactor allows a call the queue before it and a slow backend server.
	timeoutFactor = 4
	// timeoutExtra is added for the transfer of inputs.
	timeoutExtra = time.Second
	// patientShare is the part of the time that an order has to spare which it
	// may wait for a backend server of its failure domain.
	patientShare = 0.5
	// movedLeast is the number of bytes below which an order waits for no domain:
	// moving less costs less than the time.
	movedLeast = 256 << 10
	// patientLoad is the part of a whole call for each backend server that may
	// wait before orders are made in any failure domain.
	patientLoad = 0.5
	// sharedTime is how long backend servers are taken to work for other entries
	// too, after a sign of it: longer than the calls that another leader may
	// have under way or still makes.
	sharedTime = 2 * time.Second
	// readTime is how long a backend server that had nothing else to do takes to
	// read the inputs of a call: some megabytes over its link, and the way there.
	readTime = 80 * time.Millisecond
	// retryPause is how long a pool without a place for a call is left alone.
	retryPause = 20 * time.Millisecond
)

// Batcher has pieces made.
type Batcher struct {
	opts   Options
	tomb   tomb.Tomb
	counts counts

	mu     sync.Mutex
	queues map[string]*queue
	ledger *ledger
	// leaving is set once others take over.
	leaving bool
	// freeing is signalled when results are to be given up.
	freeing chan struct{}
}

var _ sequoialead.Service = (*Batcher)(nil)

// New returns a batcher.
func New(opts Options) *Batcher {
	return &Batcher{opts: opts, counts: counts{set: opts.Metrics}, queues: map[string]*queue{}, ledger: newLedger(), freeing: make(chan struct{}, 1)}
}

// Start begins to give up results.
func (b *Batcher) Start(context.Context) error {
	b.tomb.Go(b.free)
	return nil
}

// Close stops and waits for calls under way.
func (b *Batcher) Close() error {
	b.mu.Lock()
	b.tomb.Kill(nil) // under the lock that calls are started with
	b.mu.Unlock()
	return b.tomb.Wait()
}

// Make has an order made. The results are in the order of the pieces. If one
// piece fails, the others' results are given up.
func (b *Batcher) Make(ctx context.Context, order Order) ([]Result, sequoialead.Reason) {
	g := newGroup(order, b.opts.Now())
	b.opts.Pools.Request(order.Pool)
	b.mu.Lock()
	q := b.queue(order.Pool)
	q.waiting = append(q.waiting, g)
	b.pump(q)
	b.mu.Unlock()
	select {
	case <-g.done:
	case <-ctx.Done():
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if g.over && g.failed == "" {
		return g.results, ""
	}
	g.dropped = true
	b.giveUp(g.results)
	g.results = nil
	if g.failed != "" {
		return nil, g.failed
	}
	return nil, sequoialead.ReasonCancelled
}

// Leave gives back the orders that wait, since another entry takes over what
// this one leads. Calls under way end.
func (b *Batcher) Leave() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.leaving = true
	for _, q := range b.queues {
		q.failAll(sequoialead.ReasonLeaving)
	}
}

// Backlog returns what waits for a pool's backend servers.
func (b *Batcher) Backlog(name string) frame.Backlog {
	own, size, room := max(b.opts.Pools.Own(name), 1), 1, 0
	if conf := b.opts.Pools.Conf(name); conf != nil && conf.Pieces != nil {
		size, room = conf.Pieces.Batch, conf.Pieces.Room
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	l := b.queue(name).backlog(size, own)
	if room > 0 {
		l.Held = float64(b.ledger.total(name)) / float64(room*own)
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

// pump starts calls while there are pieces and places for them.
func (b *Batcher) pump(q *queue) {
	for b.tomb.Alive() {
		now := b.opts.Now()
		q.prune(now)
		if len(q.waiting) == 0 {
			return
		}
		conf := b.opts.Pools.Conf(q.name)
		if conf == nil || conf.Pieces == nil {
			q.failAll(sequoialead.ReasonPool)
			return
		}
		own := b.opts.Pools.Own(q.name)
		q.lead(own, now)
		if q.calls >= max(own, 1) {
			return // one call at a time at each backend server
		}
		q.sort(now, conf.Pieces.Batch, max(own, 1))
		place, room := b.place(q, conf, now)
		if place == nil {
			b.later(q)
			return
		}
		c := &call{q: q, conf: conf, place: place, batch: q.take(conf.Pieces.Batch, place.Server, room, b.patient(q, conf, now))}
		for _, j := range c.batch {
			b.ledger.hold(q.name, place.Server.ID, j.piece.Bytes)
		}
		q.calls++
		q.started(len(c.batch))
		b.counts.waited(q.name, c.batch, now)
		b.reading(c)
		b.tomb.Go(func() error {
			b.run(c)
			return nil
		})
	}
}

// later tries again when a backend server may have come back.
func (b *Batcher) later(q *queue) {
	if q.timer {
		return
	}
	q.timer = true
	time.AfterFunc(retryPause, func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		q.timer = false
		b.pump(q)
	})
}
