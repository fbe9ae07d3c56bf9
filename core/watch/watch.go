// Package watch keeps the configuration, the backend servers and the other
// entries up to date from the platform's store. Besides the watcher it exports
// its options and the interface that decodes records.
package watch

import (
	"context"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"gopkg.in/tomb.v2"
	"k8s.io/klog/v2"

	"sequoialead"
	"sequoialead/core/frame"
	"sequoialead/core/lease"
	"sequoialead/core/members"
	"sequoialead/core/plan"
	"sequoialead/core/roster"
)

// Paces of the reads. Each read is priced, so none is made more often than the
// platform's bounds need.
const (
	// applyShare and revokeShare are the parts of the bounds on configurations
	// and on keys taken away between reads of the operator's records. The reads
	// do not wait for records: the lease counts from the start of a read that has
	// ended, and a waiting one that breaks would leave it twice as old.
	applyShare  = 0.5
	revokeShare = 0.3
	// serversShare is the part of the time within which a backend server that
	// leaves must get nothing more that lies between reads of the records: a
	// read may fail and be made again within that time.
	serversShare = 0.35
	// entriesPace is how often the entries are read and this one's record is
	// written, and entriesFirst how often at first, when all start at once.
	entriesPace  = 8 * time.Second
	entriesFirst = 1500 * time.Millisecond
	firstReads   = 4
	// sharedFactor is the part of the time between reads that is left where one
	// entry reads for others, since the pauses of both add up.
	sharedFactor = 0.5
	// askedAge is how old another entry's read may be, as a part of the time
	// between reads: the reader's own pause and a read that takes long.
	askedAge = 0.75
	// rescueAge is the same where the store turns this entry away.
	rescueAge = 2.0
	// readTimeout bounds a read, and timeoutShare is the part of the time that keys
	// are trusted for which bounds it too: a connection that has gone silent must
	// leave time for a read over another one.
	readTimeout  = 1200 * time.Millisecond
	timeoutShare = 0.25
	// retryFirst and retryMost bound the pause after a read that failed: long
	// enough not to use up the store's rate when all entries try.
	retryFirst = 50 * time.Millisecond
	retryMost  = 400 * time.Millisecond
)

// Decoder reads the operator's and the backend servers' records.
type Decoder interface {
	// Plan decodes a whole version.
	Plan(raw []byte) (*plan.Plan, error)
	// Server decodes a backend server's record.
	Server(id string, raw []byte) (sequoialead.Server, error)
	// Operator tells what an operator's key is about: the configuration, or a
	// failure domain that is evacuated.
	Operator(key string) (configuration bool, domain string)
}

// Relay knows what other entries have read. Ages count from before an ask.
type Relay interface {
	// Reader reports whether this entry is to read a topic for others.
	Reader(topic sequoialead.Topic, entries []members.Entry) bool
	// Read asks the entries that read for others, and Rescue any others. They
	// report false if this entry is to read the store itself.
	Read(ctx context.Context, ask frame.Ask, entries []members.Entry, age time.Duration) (news frame.News, from string, ok bool)
	Rescue(ctx context.Context, ask frame.Ask, entries []members.Entry, age time.Duration) (news frame.News, from string, ok bool)
}

// Options configures a watcher.
type Options struct {
	// Self is this entry.
	Self    members.Entry
	Store   sequoialead.Store
	Relay   Relay
	Decoder Decoder
	Log     klog.Logger
	// Metrics takes counters.
	Metrics *metrics.Set
	// Now is a clock that counts suspension.
	Now func() time.Time
	// Apply is the time within which a configuration must be in force, Revoke and
	// Drain those within which a key that was taken away, and a backend server
	// that leaves, must get nothing more.
	Apply  time.Duration
	Revoke time.Duration
	Drain  time.Duration
	// Assumed is the number of entries to go by until they are known.
	Assumed int
	// Changed is called after each change, without locks held.
	Changed func()
}

// Watcher reads the store.
type Watcher struct {
	opts  Options
	tomb  tomb.Tomb
	lease *lease.Lease
	// serversLease counts from the last read of the backend servers.
	serversLease *lease.Lease

	mu      sync.Mutex
	plan    *plan.Plan
	roster  *roster.Roster
	members *members.Members
	// offsets holds the newest offset applied of each key of the operator.
	offsets map[string]uint64
	// followers holds the state of each topic.
	followers map[sequoialead.Topic]*follower
}

var _ sequoialead.Service = (*Watcher)(nil)

// New returns a watcher that knows nothing yet.
func New(opts Options) *Watcher {
	return &Watcher{
		opts:         opts,
		lease:        lease.New(),
		serversLease: lease.New(),
		roster:       roster.New(),
		members:      members.New(members.Options{Self: opts.Self, Assumed: opts.Assumed, Life: 4 * entriesPace}),
		offsets:      map[string]uint64{},
		followers:    map[sequoialead.Topic]*follower{},
	}
}

// Start begins to read. It does not wait for the store.
func (w *Watcher) Start(context.Context) error {
	w.follow(&follower{
		topic: sequoialead.TopicOperator, pace: w.operatorPace(), apply: w.takeOperator, lease: w.lease,
	})
	w.follow(&follower{
		topic: sequoialead.TopicServers, pace: time.Duration(serversShare * float64(w.opts.Drain)), apply: w.takeServers, lease: w.serversLease,
	})
	w.follow(&follower{
		topic: sequoialead.TopicEntries, pace: entriesPace, first: entriesFirst, apply: w.takeEntries, lease: lease.New(),
	})
	w.tomb.Go(w.announce)
	return nil
}

// timeout returns how long one read may take.
func (w *Watcher) timeout() time.Duration {
	return min(readTimeout, time.Duration(timeoutShare*float64(w.opts.Revoke)))
}

func (w *Watcher) operatorPace() time.Duration {
	return time.Duration(min(applyShare*float64(w.opts.Apply), revokeShare*float64(w.opts.Revoke)))
}

// Close stops the reads and waits.
func (w *Watcher) Close() error {
	w.tomb.Kill(nil)
	return w.tomb.Wait()
}

// Plan returns the newest version known; nil if there is none.
func (w *Watcher) Plan() *plan.Plan {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.plan
}

// Lease returns how old the knowledge of the operator's records is.
func (w *Watcher) Lease() *lease.Lease { return w.lease }

// ServersLease returns how old the knowledge of the backend servers is.
func (w *Watcher) ServersLease() *lease.Lease { return w.serversLease }

// Usable returns the backend servers that may get new work.
func (w *Watcher) Usable(now time.Time) []roster.Entry {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.roster.Usable(now)
}

// Entries returns the number of entries that may share budgets.
func (w *Watcher) Entries(now time.Time) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.members.Count(now)
}

// Members returns the entries in order of their names.
func (w *Watcher) Members(now time.Time) []members.Entry {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.members.All(now)
}

// Tell returns what this entry knows of a topic's records, for another entry.
func (w *Watcher) Tell(ask frame.Ask) frame.News {
	w.mu.Lock()
	defer w.mu.Unlock()
	f := w.followers[ask.Topic]
	if f == nil || !f.known || ask.From > f.next {
		return frame.News{}
	}
	age, read := f.lease.Age(w.opts.Now())
	items, ok := f.tail.Since(ask.From)
	return frame.News{Known: read && ok, Items: items, Next: f.next, Age: age}
}
