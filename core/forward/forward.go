// Package forward passes requests through to backend servers: it finds the
// route and customer, has the stages before made, chooses backend servers, and
// decides what may be sent again and what the caller is told. Besides the
// forwarder it exports its options, bounds, the sink of answers and their verdicts.
package forward

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"gopkg.in/tomb.v2"
	"k8s.io/klog/v2"

	"sequoialead"
	"sequoialead/common/trail"
	"sequoialead/core/batch"
	"sequoialead/core/delegate"
	"sequoialead/core/lease"
	"sequoialead/core/members"
	"sequoialead/core/plan"
	"sequoialead/core/pool"
	"sequoialead/core/roster"
)

// Knowledge is what the entry knows of the platform.
type Knowledge interface {
	// Plan returns the configuration in force; nil if none is known.
	Plan() *plan.Plan
	Lease() *lease.Lease
	// ServersLease tells how old the knowledge of the backend servers is.
	ServersLease() *lease.Lease
	Usable(now time.Time) []roster.Entry
	// Entries returns the number of entries to share bounds with, and Members
	// those that are known.
	Entries(now time.Time) int
	Members(now time.Time) []members.Entry
}

// Options configures a forwarder.
type Options struct {
	Knowledge Knowledge
	Exchanger sequoialead.Exchanger
	Maker     sequoialead.Maker
	Siblings  delegate.Siblings
	Log       klog.Logger
	// Metrics takes counters and histograms.
	Metrics *metrics.Set
	// Now is a clock that counts suspension.
	Now    func() time.Time
	Random *rand.Rand
	// Entry and Domain are those of this entry.
	Entry  string
	Domain string
	Bounds Bounds
	// LeaveNotice is how long an entry that leaves goes on taking streams.
	LeaveNotice time.Duration
}

// Bounds may change while the entry runs.
type Bounds struct {
	pool.Bounds
	// Revoke is the time within which a key that was taken away must not be
	// served any more.
	Revoke time.Duration
}

// Sink takes the answer to one request.
type Sink interface {
	// Head is called once, before the body. The length is negative if unknown.
	Head(status int, header http.Header, length int64)
	Write(p []byte) error
	Flush() error
}

// Verdict tells how a request ended.
type Verdict struct {
	// Status is that of a failure that the caller is to be told; zero if an
	// answer was begun.
	Status int
	Reason sequoialead.Reason
	// Retry is when the caller may try again; zero for no hint.
	Retry time.Duration
	// Cut is set where an answer was begun and is not whole.
	Cut bool
	// Gone is set where the caller left.
	Gone bool
}

const (
	// refreshPeriod is how often the backend servers are looked at again, since
	// some lapse with time alone.
	refreshPeriod = 200 * time.Millisecond
	// revokeMargin is taken off the bound on keys for the reading of clocks.
	revokeMargin = 300 * time.Millisecond
	// admitFactor is the share of the aim beyond which the stages of a request
	// are not begun; above one, because late answers have a use as well.
	admitFactor = 1.15
	// freshAge is how old the knowledge of routes and keys may be for a refusal
	// that says that one does not exist.
	freshAge = 2 * time.Second
)

// Forwarder passes requests through.
type Forwarder struct {
	opts     Options
	tomb     tomb.Tomb
	trails   *trail.Keeper
	counts   counts
	batcher  *batch.Batcher
	delegate *delegate.Delegate

	mu      sync.Mutex
	pools   map[string]*pool.Pool
	entries int
	waiters []*waiter
	open    int
	// left is when the entry began to leave; zero before.
	left time.Time

	// ending is done once requests that were not sent are given up, by giveUp.
	ending context.Context
	giveUp context.CancelFunc
}

var _ sequoialead.Service = (*Forwarder)(nil)

// New returns a forwarder that knows no backend server yet.
func New(opts Options) *Forwarder {
	f := &Forwarder{opts: opts, counts: counts{set: opts.Metrics}, trails: trail.NewKeeper(opts.Log, opts.Now), pools: map[string]*pool.Pool{}, entries: 1}
	f.ending, f.giveUp = context.WithCancel(context.Background())
	f.batcher = batch.New(batch.Options{Maker: opts.Maker, Pools: shared{f}, Log: opts.Log, Metrics: opts.Metrics, Now: opts.Now})
	f.delegate = delegate.New(delegate.Options{
		Entry: opts.Entry, Domain: opts.Domain, Batcher: f.batcher, Siblings: opts.Siblings, Log: opts.Log, Now: opts.Now,
		Changed: f.Refresh,
	})
	return f
}

// Delegate returns what serves other entries.
func (f *Forwarder) Delegate() *delegate.Delegate { return f.delegate }

// Start begins to watch for lapsed backend servers.
func (f *Forwarder) Start(ctx context.Context) error {
	f.tomb.Go(func() error {
		ticker := time.NewTicker(refreshPeriod)
		defer ticker.Stop()
		for {
			select {
			case <-ticker.C:
				f.Refresh()
			case <-f.tomb.Dying():
				return nil
			}
		}
	})
	return f.batcher.Start(ctx)
}

// Close stops and waits.
func (f *Forwarder) Close() error {
	f.giveUp()
	err := f.batcher.Close()
	f.tomb.Kill(nil)
	if wait := f.tomb.Wait(); err == nil {
		err = wait
	}
	return err
}

// Configure takes new bounds.
func (f *Forwarder) Configure(b Bounds) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.opts.Bounds = b
	for _, p := range f.pools {
		p.Configure(b.Bounds)
	}
}

func (f *Forwarder) revoke() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.opts.Bounds.Revoke
}

// Leave begins to refuse requests that may not end before the entry does.
func (f *Forwarder) Leave() {
	f.delegate.Leave()
	f.mu.Lock()
	f.left = f.opts.Now()
	f.mu.Unlock()
	f.Refresh()
}

// GiveUp refuses the requests that no backend server was sent, since the entry ends
// before it could answer them.
func (f *Forwarder) GiveUp() { f.giveUp() }

// leaving reports whether the entry leaves too soon for a request.
func (f *Forwarder) leaving(route *plan.Route, now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.left.IsZero() && route.Kind == plan.KindStream && now.Sub(f.left) > f.opts.LeaveNotice
}

// Open returns the number of requests under way.
func (f *Forwarder) Open() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.open
}

// Refresh takes changes of the configuration and the backend servers.
func (f *Forwarder) Refresh() {
	now := f.opts.Now()
	conf := f.opts.Knowledge.Plan()
	if conf == nil {
		return
	}
	byPool := map[string][]roster.Entry{}
	for _, e := range f.opts.Knowledge.Usable(now) {
		byPool[e.Server.Pool] = append(byPool[e.Server.Pool], e)
	}
	known := f.opts.Knowledge.Members(now)
	f.opts.Siblings.Update(known)
	own := map[string]map[string]bool{}
	for name, c := range conf.Pools {
		if c.Pieces != nil {
			own[name] = f.delegate.Update(name, known, servers(byPool[name]))
		}
	}
	var read time.Time
	if age, ok := f.opts.Knowledge.ServersLease().Age(now); ok {
		read = now.Add(-age)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.entries = f.opts.Knowledge.Entries(now)
	for name := range conf.Pools {
		f.pool(name)
	}
	for name, p := range f.pools {
		p.Update(pool.View{Conf: conf.Pools[name], Usable: byPool[name], Read: read, Own: own[name], Entries: f.entries}, now)
	}
	f.wake()
}

func servers(entries []roster.Entry) []sequoialead.Server {
	list := make([]sequoialead.Server, len(entries))
	for i, e := range entries {
		list[i] = e.Server
	}
	return list
}

// pool returns the state of a pool.
func (f *Forwarder) pool(name string) *pool.Pool {
	p := f.pools[name]
	if p == nil {
		p = pool.New(pool.Options{
			Name: name, Domain: f.opts.Domain, Random: f.opts.Random, Bounds: f.opts.Bounds.Bounds,
		})
		f.pools[name] = p
	}
	return p
}
