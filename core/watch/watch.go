// Package watch keeps the configuration, the backend servers and the other
// entries up to date by polling the platform's store.
package watch

import (
	"context"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"gopkg.in/tomb.v2"
	"k8s.io/klog/v2"

	"sequoialead"
	"sequoialead/core/lease"
	"sequoialead/core/membership"
	"sequoialead/core/protocol"
	"sequoialead/core/proxyconfig"
	"sequoialead/core/serverset"
	"sequoialead/core/storegate"
)

// Intervals and timeouts of the reads. The platform charges for each read, so
// reads are no more frequent than its time limits require.
const (
	// applyShare and revokeShare set the interval between reads of the
	// operator's records, as fractions of Options.Apply and Options.Revoke. The
	// reads don't use long polling: the lease counts from the start of a
	// completed read, and a long poll whose connection breaks would leave the
	// lease twice as old.
	applyShare  = 0.5
	revokeShare = 0.3
	// serversShare is the interval between reads of the backend servers' records
	// as a fraction of Options.Drain. It leaves time to retry a failed read.
	serversShare = 0.35
	// entriesInterval is the interval at which the entries' records are read and
	// this entry's record is written. The first initialReads reads follow at
	// entriesFirstInterval, because entries often start at the same time.
	entriesInterval      = 8 * time.Second
	entriesFirstInterval = 1500 * time.Millisecond
	initialReads         = 4
	// relayIntervalFactor shortens the read intervals of an entry that reads for
	// others and of the entries that get records from it, since the two intervals
	// add up.
	relayIntervalFactor = 0.5
	// crashesShare is the interval between reads of the entries' evidence as a fraction
	// of Options.Spread. A read by way of another entry takes one interval at most.
	crashesShare = 0.5
	// maxRelayAge is the maximum age of records from the entry that reads for the
	// others, as a fraction of the interval. It covers that entry's own, shorter
	// interval and a slow read.
	maxRelayAge = 0.75
	// maxReadAnyAge is the maximum age of records from any entry after the store
	// could not be read, as a multiple of the interval.
	maxReadAnyAge = 2.0
	// The timeout of a read is the smaller of readTimeout and the fraction
	// timeoutShare of Options.Revoke: if a connection goes silent, there must be
	// time for a read over another one.
	readTimeout  = 1200 * time.Millisecond
	timeoutShare = 0.25
	// ownReadAge is the age of the records, as a multiple of the interval, from which
	// an entry that finds no reader reads the store itself. Until then another entry
	// has time to take over from the reader.
	ownReadAge = 1.25
	// retryMin and retryMax bound the backoff after a failed read, from other entries
	// or from the store.
	retryMin = 50 * time.Millisecond
	retryMax = 400 * time.Millisecond
)

// Decoder decodes the records of the operator and of the backend servers.
type Decoder interface {
	// Config decodes a complete version of the configuration.
	Config(raw []byte) (*proxyconfig.Config, error)
	// Server decodes a backend server's record.
	Server(id string, raw []byte) (sequoialead.Server, error)
	// Operator returns what an operator's key stands for: the configuration, or
	// the evacuation of a failure domain. For any other key it returns false and
	// an empty string.
	Operator(key string) (configuration bool, domain string)
}

// Relay gets records that other entries have read. The age in a response counts
// as the age at the time the request was sent, so that the time in transit can't
// make records seem newer than they are.
type Relay interface {
	// IsReader reports whether this entry should read a topic for the others.
	IsReader(topic sequoialead.Topic, entries []membership.Member) bool
	// Rank returns the number of entries that should read a topic before this one
	// does. It may be bounded.
	Rank(topic sequoialead.Topic, entries []membership.Member) int
	// Read asks the entries that read for the others. ReadAny asks any other entry
	// after a failed read of the store. Both ignore responses older than age, and
	// report false if there is no usable response; the response then tells only the newest
	// era that an entry has told.
	Read(ctx context.Context, request protocol.RecordsRequest, entries []membership.Member, age time.Duration) (response protocol.RecordsResponse, from string, ok bool)
	ReadAny(ctx context.Context, request protocol.RecordsRequest, entries []membership.Member, age time.Duration) (response protocol.RecordsResponse, from string, ok bool)
	// Ask asks one entry, and reports false if there is no answer, or no connection yet.
	Ask(ctx context.Context, name string, request protocol.RecordsRequest) (response protocol.RecordsResponse, ok bool)
}

// Evidence is what entries tell each other of prompts that crash backend servers.
type Evidence interface {
	// Apply takes over the record of an entry. The error says what is wrong with it.
	Apply(entry string, raw []byte) error
	// Record returns this entry's record; empty if there is nothing to tell.
	Record() ([]byte, error)
	// Changed returns a channel that has a value after Record has changed.
	Changed() <-chan struct{}
}

// RolloutDecoder translates the records of roll-outs.
type RolloutDecoder interface {
	// RolloutService returns the pool that a key of an order or of a state is for. It
	// reports false for any other key.
	RolloutService(key string) (pool string, ok bool)
	// RolloutOrder decodes an order of the operator.
	RolloutOrder(key string, raw []byte) (sequoialead.RolloutOrder, error)
	// RolloutStatus decodes the state of an order, and EncodeRolloutStatus encodes one.
	RolloutStatus(key string, raw []byte) (target, state string, err error)
	EncodeRolloutStatus(pool, target, state string) (key string, raw []byte, err error)
}

// Rollouts holds the operator's roll-out orders and what the entries tell each other of
// them.
type Rollouts interface {
	// ApplyOrder applies the newest order for a pool; nil if there is none any more. The
	// time since is not after the order, if known is set.
	ApplyOrder(pool string, order *sequoialead.RolloutOrder, since time.Time, known bool)
	// Ordered returns the pools with an order, and Active whether one has not ended.
	Ordered() []string
	Active() bool
	// ApplyStatus applies the state of an order, and StatusRead records that all states
	// that were read have been applied.
	ApplyStatus(pool, target, state string)
	StatusRead()
	// StatusLost records that the store may have lost states. They are wanted again if they
	// are missing.
	StatusLost()
	// ApplyReport takes over the record of an entry, and ReportsRead records that all that
	// were read have been applied. The error says what is wrong with the record.
	ApplyReport(entry string, raw []byte) error
	ReportsRead()
	// Record returns this entry's record; empty if there is nothing to tell.
	Record() ([]byte, error)
	// Changed returns a channel that has a value after Record has changed in a way that the
	// others should know at once.
	Changed() <-chan struct{}
	// Wanted returns the target and the state that this entry should write now, by pool.
	Wanted() map[string][2]string
}

// Options configures a watcher.
type Options struct {
	// Self is this entry.
	Self    membership.Member
	Store   sequoialead.Store
	Relay   Relay
	Decoder Decoder
	// Evidence is nil if there is none to be shared.
	Evidence Evidence
	// Rollouts is nil if orders of roll-outs are ignored. Otherwise RolloutDecoder and
	// Revisions are set, and Rollback is the time within which the entries must know of a
	// bad version.
	Rollouts       Rollouts
	RolloutDecoder RolloutDecoder
	Revisions      sequoialead.RevisionStore
	Rollback       time.Duration
	Log            klog.Logger
	// Metrics receives counters of reads.
	Metrics *metrics.Set
	// Now is a clock that goes on while the machine is suspended.
	Now func() time.Time
	// Apply is the time within which a new configuration must be in force.
	// Revoke is the time within which a revoked key must stop working. Drain is
	// the time within which a backend server that leaves must get no more
	// requests.
	Apply  time.Duration
	Revoke time.Duration
	Drain  time.Duration
	// Spread is the time within which the entries must know of each other's evidence.
	Spread time.Duration
	// AssumedEntries is the number of entries to assume until the records have been
	// read.
	AssumedEntries int
	// OnChange is called after each change. No locks are held.
	OnChange func()
}

// Watcher polls the store.
type Watcher struct {
	opts  Options
	tomb  tomb.Tomb
	lease *lease.Lease
	// serversLease counts from the last read of the backend servers' records.
	serversLease *lease.Lease

	mu      sync.Mutex
	config  *proxyconfig.Config
	servers *serverset.Set
	members *membership.Set
	// operator maps the operator's keys to the last applied record. keptUntil is when those of
	// an earlier era of the store end; zero if there are none.
	operator  map[string]operatorRecord
	keptUntil time.Time
	// followers maps each topic to the follower that reads it.
	followers map[sequoialead.Topic]*follower
	// gate limits the calls to the store while it fails. recovered is closed, and
	// replaced, once it can be read again.
	gate      *storegate.Gate
	recovered chan struct{}
	// era is the newest era of the store that is known. eraRaised is closed, and replaced,
	// when it rises.
	era       sequoialead.Era
	eraRaised chan struct{}
}

var _ sequoialead.Service = (*Watcher)(nil)

// New returns a watcher without any records. Start begins to read.
func New(opts Options) *Watcher {
	w := &Watcher{
		opts:         opts,
		lease:        lease.New(),
		serversLease: lease.New(),
		servers:      serverset.New(),
		members:      membership.New(membership.Options{Self: opts.Self, AssumedEntries: opts.AssumedEntries, TTL: 4 * entriesInterval}),
		operator:     map[string]operatorRecord{},
		followers:    map[sequoialead.Topic]*follower{},
		recovered:    make(chan struct{}),
		eraRaised:    make(chan struct{}),
	}
	opts.Metrics.GetOrCreateGauge("sequoialead_store_era", func() float64 { return float64(w.storeEra()) })
	w.gate = storegate.New(storegate.Options{Min: retryMin, Max: retryMax, Limit: max(w.operatorInterval(), retryMax)})
	return w
}

// Start begins to read in the background. It does not wait for the store.
func (w *Watcher) Start(context.Context) error {
	w.follow(&follower{
		topic: sequoialead.TopicOperator, interval: w.operatorInterval(), apply: w.applyOperator, restart: w.restartOperator, confirm: w.askForKept, lease: w.lease,
	})
	w.follow(&follower{
		topic: sequoialead.TopicServers, interval: time.Duration(serversShare * float64(w.opts.Drain)), apply: w.applyServers, restart: w.servers.Restart, lease: w.serversLease,
	})
	w.follow(&follower{
		topic: sequoialead.TopicEntries, interval: entriesInterval, firstInterval: entriesFirstInterval, apply: w.applyEntries, lease: lease.New(),
	})
	w.tomb.Go(w.announce)
	if w.opts.Evidence != nil {
		w.follow(&follower{
			topic: sequoialead.TopicCrashes, interval: time.Duration(crashesShare * float64(w.opts.Spread)), apply: w.applyCrashes, lease: lease.New(), applied: map[string]bool{},
		})
		w.tomb.Go(w.publish)
	}
	if w.opts.Rollouts != nil {
		w.startRollouts()
	}
	return nil
}

// timeout returns the timeout of one read.
func (w *Watcher) timeout() time.Duration {
	return min(readTimeout, time.Duration(timeoutShare*float64(w.opts.Revoke)))
}

func (w *Watcher) operatorInterval() time.Duration {
	return time.Duration(min(applyShare*float64(w.opts.Apply), revokeShare*float64(w.opts.Revoke)))
}

// allowStoreRead reports whether the store may be read now, for an entry of the given
// rank among the topic's readers.
func (w *Watcher) allowStoreRead(rank int) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.gate.Allow(w.opts.Now(), rank)
}

// storeWait returns the time until the store may be read again.
func (w *Watcher) storeWait() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.gate.Wait(w.opts.Now())
}

// recordStoreRead records whether a read of the store succeeded.
func (w *Watcher) recordStoreRead(ok bool, rank int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !ok {
		w.gate.Failed(w.opts.Now(), rank)
	} else if w.gate.Succeeded() {
		close(w.recovered)
		w.recovered = make(chan struct{})
	}
}

// storeRecovered returns a channel that is closed once the store can be read again
// after a failure.
func (w *Watcher) storeRecovered() <-chan struct{} {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.recovered
}

// Close stops reading and waits until all reads have ended.
func (w *Watcher) Close() error {
	w.tomb.Kill(nil)
	return w.tomb.Wait()
}

// Config returns the newest known version of the configuration, or nil if there
// is none yet.
func (w *Watcher) Config() *proxyconfig.Config {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.config
}

// Lease returns the lease of the operator's records: it tells how old the last
// read of them is.
func (w *Watcher) Lease() *lease.Lease { return w.lease }

// ServersLease returns the lease of the backend servers' records.
func (w *Watcher) ServersLease() *lease.Lease { return w.serversLease }

// NextRead returns the time until the next read of the operator's records; zero if one is under
// way or due.
func (w *Watcher) NextRead() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	f := w.followers[sequoialead.TopicOperator]
	if f == nil {
		return 0
	}
	return max(f.nextRead.Sub(w.opts.Now()), 0)
}

// Usable returns the backend servers that may get new requests.
func (w *Watcher) Usable(now time.Time) []serverset.Member {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.servers.Usable(now)
}

// EntryCount returns the number of entries that share retry budgets and the limits
// of pools.
func (w *Watcher) EntryCount(now time.Time) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.members.Count(now)
}

// Members returns the entries sorted by name, this one included.
func (w *Watcher) Members(now time.Time) []membership.Member {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.members.All(now)
}

// RecordsSince answers another entry's request for a topic's records. The
// response's Complete is false if this entry lacks some of them, or has read them in another
// era of the store than the other entry.
func (w *Watcher) RecordsSince(request protocol.RecordsRequest) protocol.RecordsResponse {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.noteEraLocked(request.Era)
	response := protocol.RecordsResponse{Era: w.era}
	if request.Topic == sequoialead.TopicOperator && request.Era == w.era {
		response.Kept = w.kept(request.Version)
	}
	f := w.followers[request.Topic]
	if f == nil || !f.synced || f.era != w.era || request.Era != w.era || request.From > f.next {
		return response
	}
	age, read := f.lease.Age(w.opts.Now())
	items, ok := f.recordCache.Since(request.From)
	response.Complete, response.Items, response.Next, response.Age = read && ok, items, f.next, age
	return response
}
