// Package forward passes requests through to backend servers: it finds the route
// and customer, runs the stages that the request depends on, chooses a backend
// server, and decides whether an attempt may be retried and which status the
// caller gets.
package forward

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cespare/xxhash/v2"
	"gopkg.in/tomb.v2"
	"k8s.io/klog/v2"

	"sequoialead"
	"sequoialead/common/requestlog"
	"sequoialead/core/admission"
	"sequoialead/core/batch"
	"sequoialead/core/comeback"
	"sequoialead/core/delegate"
	"sequoialead/core/lease"
	"sequoialead/core/membership"
	"sequoialead/core/outlier"
	"sequoialead/core/pool"
	"sequoialead/core/proxyconfig"
	"sequoialead/core/quarantine"
	"sequoialead/core/serverset"
	"sequoialead/core/versions"
	"sequoialead/core/waitqueue"
)

// Knowledge is the entry's view of the platform's records.
type Knowledge interface {
	// Config returns the current configuration; nil if none is known.
	Config() *proxyconfig.Config
	// Lease tells how old the configuration is.
	Lease() *lease.Lease
	// ServersLease tells how old the records of the backend servers are.
	ServersLease() *lease.Lease
	// Usable returns the backend servers that may get requests.
	Usable(now time.Time) []serverset.Member
	// EntryCount returns the number of entries that share the limits, this one
	// included. Members returns the entries that are known.
	EntryCount(now time.Time) int
	Members(now time.Time) []membership.Member
}

// Options configures a forwarder.
type Options struct {
	Knowledge Knowledge
	Exchanger sequoialead.Exchanger
	Maker     sequoialead.Maker
	Siblings  delegate.Siblings
	// Quarantine knows the prompts that crash backend servers.
	Quarantine *quarantine.Quarantine
	// Versions is nil if servers of all versions get requests alike.
	Versions *versions.Versions
	Log      klog.Logger
	// Metrics is the set in which counters and histograms are registered.
	Metrics *metrics.Set
	// Now is a clock that also runs while the machine is suspended.
	Now    func() time.Time
	Random *rand.Rand
	// Entry and Domain are the name and failure domain of this entry.
	Entry  string
	Domain string
	Limits Limits
	// Admission makes requests be admitted, and ended, by a prediction for their whole path.
	Admission bool
	// NextRead returns the time until the next read of the configuration. It is nil if that
	// is not known.
	NextRead func() time.Duration
	// Placement selects model engines by the predicted time to the first token.
	Placement bool
	// DrainNotice is how long a leaving entry continues to accept requests that may
	// last longer than it runs.
	DrainNotice time.Duration
	// Balance is set if orders for pieces are made wherever they are made soonest, and
	// those that are of no use any more are withdrawn.
	Balance bool
}

// Limits holds the settings that may change while the entry runs.
type Limits struct {
	pool.Limits
	// Revoke is the maximum time after which a revoked key is no longer accepted.
	Revoke time.Duration
}

// Sink receives the answer to one request.
type Sink interface {
	// Head is called at most once, before the body. The length is negative if unknown.
	Head(status int, header http.Header, length int64)
	Write(p []byte) error
	Flush() error
}

// Reserver is a Sink that bounds what is held of answers.
type Reserver interface {
	// Reserve counts bytes of the answer that are held back, until the request ends. It reports
	// false if there is no room.
	Reserve(bytes int64) bool
}

// Result tells how a request ended.
type Result struct {
	// Status is the HTTP status of the failure to report to the caller; zero if
	// the head of an answer was already sent.
	Status int
	Reason sequoialead.Reason
	// RetryAfter is the delay after which the caller may retry; zero for no hint.
	RetryAfter time.Duration
	// Truncated is set if the head of an answer was sent but the answer is
	// incomplete.
	Truncated bool
	// Disconnected is set if the caller disconnected.
	Disconnected bool
}

const (
	// refreshPeriod is how often the usable backend servers are determined again,
	// because their records expire without any event.
	refreshPeriod = 200 * time.Millisecond
	// revokeMargin is subtracted from Limits.Revoke to allow for inaccurate clock
	// readings.
	revokeMargin = 300 * time.Millisecond
	// maxEstimateFactor is the estimated time from arrival to the first event above
	// which a request is refused before its stages start, as a multiple of the
	// route's objective. It is above one because late answers are still of some use.
	maxEstimateFactor = 1.15
	// notFoundMaxAge is the maximum age of the configuration for a refusal that
	// states that a route or key does not exist. With an older one, the route or
	// key may be new.
	notFoundMaxAge = 2 * time.Second
)

// Forwarder passes requests through.
type Forwarder struct {
	opts     Options
	tomb     tomb.Tomb
	trails   *requestlog.Recorder
	metrics  recorder
	batcher  *batch.Batcher
	delegate *delegate.Delegate

	mu    sync.Mutex
	pools map[string]*pool.Pool
	// entries is the number of entries that share the limits.
	entries int
	// waiting holds the requests that wait for a place.
	waiting  *waitqueue.Queue[waiter]
	inFlight int
	// comeback gives refused callers their turns. It is used only if Options.Admission is
	// set.
	comeback *comeback.Schedule
	// admission is used only if Options.Admission is set.
	admission   *admission.Controller
	predictions map[admission.Key]*prediction
	// noticeEnd and leavesAt are zero until the entry leaves. After noticeEnd it accepts
	// only requests whose deadline is not after leavesAt.
	noticeEnd time.Time
	leavesAt  time.Time

	// unsentCtx is canceled, by cancelUnsent, when the requests that were not yet
	// sent to a backend server have to be refused.
	unsentCtx    context.Context
	cancelUnsent context.CancelFunc
	// sentCtx is canceled, by cancelSent, when those that were sent have to end too.
	sentCtx    context.Context
	cancelSent context.CancelFunc
}

var _ sequoialead.Service = (*Forwarder)(nil)

// New returns a forwarder without backend servers; Refresh adds them.
func New(opts Options) *Forwarder {
	f := &Forwarder{opts: opts, metrics: recorder{set: opts.Metrics}, trails: requestlog.NewRecorder(opts.Log, opts.Now), pools: map[string]*pool.Pool{}, entries: 1}
	f.waiting, f.comeback = waitqueue.New[waiter](), comeback.New(opts.Random)
	f.admission, f.predictions = admission.New(opts.Random), map[admission.Key]*prediction{}
	f.unsentCtx, f.cancelUnsent = context.WithCancel(context.Background())
	f.sentCtx, f.cancelSent = context.WithCancel(context.Background())
	f.batcher = batch.New(batch.Options{Maker: opts.Maker, Pools: poolAccess{f}, Log: opts.Log, Metrics: opts.Metrics, Now: opts.Now, Balance: opts.Balance})
	f.delegate = delegate.New(delegate.Options{
		Entry: opts.Entry, Domain: opts.Domain, Batcher: f.batcher, Siblings: opts.Siblings, Log: opts.Log, Now: opts.Now,
		OnLeaderLost: f.Refresh, Balance: opts.Balance,
	})
	return f
}

// Delegate returns the delegate that runs stages for other entries.
func (f *Forwarder) Delegate() *delegate.Delegate { return f.delegate }

// Start starts the batcher and the periodic refresh.
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

// Close ends all requests, stops the forwarder and waits until it has stopped.
func (f *Forwarder) Close() error {
	f.cancelUnsent()
	f.cancelSent()
	err := f.batcher.Close()
	f.tomb.Kill(nil)
	if wait := f.tomb.Wait(); err == nil {
		err = wait
	}
	return err
}

// Configure applies new limits.
func (f *Forwarder) Configure(limits Limits) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.opts.Limits = limits
	for _, p := range f.pools {
		p.Configure(limits.Limits)
	}
}

func (f *Forwarder) revokeLimit() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.opts.Limits.Revoke
}

// Drain stops this entry from leading backend servers. Once DrainNotice is over, it
// also refuses new requests that might not end by leavesAt, when the process has to
// have answered its callers.
func (f *Forwarder) Drain(leavesAt time.Time) {
	f.delegate.HandOver()
	f.mu.Lock()
	f.noticeEnd, f.leavesAt = f.opts.Now().Add(f.opts.DrainNotice), leavesAt
	f.mu.Unlock()
	f.Refresh()
}

// AbortUnsent refuses the requests that were not yet sent to a backend server, and all
// further ones. Once it has returned, no request that InFlight does not count is sent.
func (f *Forwarder) AbortUnsent() { f.cancelUnsent() }

// AbortSent ends the requests that were sent to a backend server, so that their callers
// get an answer before the process exits.
func (f *Forwarder) AbortSent() { f.cancelSent() }

// leavingTooSoon reports whether a request with the given deadline might not end before
// the leaving entry exits.
func (f *Forwarder) leavingTooSoon(deadline time.Time) bool {
	now := f.opts.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.noticeEnd.IsZero() && now.After(f.noticeEnd) && deadline.After(f.leavesAt)
}

// InFlight returns the number of requests in flight.
func (f *Forwarder) InFlight() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.inFlight
}

// Refresh applies changes of the configuration, the entries and the backend servers.
func (f *Forwarder) Refresh() {
	now := f.opts.Now()
	f.opts.Quarantine.Refresh()
	conf := f.opts.Knowledge.Config()
	if conf == nil {
		return
	}
	byPool := map[string][]serverset.Member{}
	for _, e := range f.opts.Knowledge.Usable(now) {
		byPool[e.Server.Pool] = append(byPool[e.Server.Pool], e)
	}
	known := f.opts.Knowledge.Members(now)
	f.opts.Siblings.SetEntries(known)
	led := map[string]map[string]bool{}
	for name, c := range conf.Pools {
		if c.Pieces != nil {
			led[name] = f.delegate.Update(name, known, f.grouped(name, servers(byPool[name])))
		}
	}
	var read time.Time
	if age, ok := f.opts.Knowledge.ServersLease().Age(now); ok {
		read = now.Add(-age)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.opts.Versions != nil {
		view := versions.View{Servers: byPool, Members: known}
		if age, ok := f.opts.Knowledge.Lease().Age(now); ok {
			view.OperatorReadAt = now.Add(-age)
		}
		f.opts.Versions.Update(view) // under mu, so that no place is acquired by the step before
	}
	f.entries = f.opts.Knowledge.EntryCount(now)
	for name := range conf.Pools {
		f.pool(name)
	}
	for name, p := range f.pools {
		p.Update(pool.View{Conf: conf.Pools[name], Usable: byPool[name], ReadAt: read, Led: led[name], Entries: f.entries}, now)
	}
	for _, first := range f.waiting.Firsts() {
		first.Value.wake()
	}
}

func servers(entries []serverset.Member) []sequoialead.Server {
	list := make([]sequoialead.Server, len(entries))
	for i, e := range entries {
		list[i] = e.Server
	}
	return list
}

// grouped returns a pool's servers for their division into groups. Groups are of failure
// domains, and the leader of a group uses its servers only. So servers that get little in a
// roll-out belong to groups of those that get most.
func (f *Forwarder) grouped(name string, list []sequoialead.Server) []sequoialead.Server {
	if f.opts.Versions == nil {
		return list
	}
	leading := f.opts.Versions.Leading(name)
	if leading == nil {
		return list
	}
	var domains []string
	for _, s := range list {
		if leading(s.Version) && !slices.Contains(domains, s.Domain) {
			domains = append(domains, s.Domain)
		}
	}
	if len(domains) == 0 {
		return list
	}
	slices.Sort(domains)
	for i, s := range list {
		if !slices.Contains(domains, s.Domain) {
			list[i].Domain = domains[xxhash.Sum64String(s.ID)%uint64(len(domains))]
		}
	}
	return list
}

// pool returns the pool of the given name and creates it if necessary. f.mu must
// be held.
func (f *Forwarder) pool(name string) *pool.Pool {
	p := f.pools[name]
	if p == nil {
		opts := pool.Options{
			Name: name, Domain: f.opts.Domain, Random: f.opts.Random, Limits: f.opts.Limits.Limits,
			OnEjected: func(e outlier.Event) {
				f.metrics.ejected(name, e.Probe)
				log := f.opts.Log
				if e.Probe {
					log = log.V(1)
				}
				log.Info("server-ejected", "pool", name, "server", e.Server.ID, "started", e.Server.StartedAt, "pause", e.Pause, "probe", e.Probe)
			},
			Entry: f.opts.Entry, Placement: f.opts.Placement,
		}
		if f.opts.Versions != nil {
			opts.Versions = f.opts.Versions
		}
		p = pool.New(opts)
		f.pools[name] = p
	}
	return p
}
