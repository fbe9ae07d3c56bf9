package watch_test

import (
	"context"
	"errors"
	"io"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	qt "github.com/frankban/quicktest"
	"go.uber.org/goleak"

	"sequoialead"
	"sequoialead/common/logfmt"
	"sequoialead/core/membership"
	"sequoialead/core/protocol"
	"sequoialead/core/proxyconfig"
	"sequoialead/core/watch"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// store is an in-memory store of the records of three topics.
type store struct {
	mu          sync.Mutex
	records     map[sequoialead.Topic][]sequoialead.Item
	firstOffset uint64
	// era is that of the answers; 0 if they don't tell.
	era sequoialead.Era
	// down makes reads fail.
	down bool
	// stale makes reads from an offset return a smaller next offset.
	stale bool
	// reads counts the reads from an offset, and newestReads those of the newest records.
	reads       int
	newestReads int
	// puts counts the writes.
	puts int
	// pageLimit is the maximum number of records of one read from an offset; 0 for any.
	// Below 0 such a read returns none, although there are some.
	pageLimit int
	// delay is the time that each read takes.
	delay time.Duration
	// maxTimeout is the longest timeout that a read was given.
	maxTimeout time.Duration
}

func (s *store) put(topic sequoialead.Topic, key, value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := s.records[topic]
	s.records[topic] = append(list, sequoialead.Item{Key: key, Value: []byte(value), Offset: uint64(len(list))})
}

// snapshot copies all records.
func (s *store) snapshot() map[sequoialead.Topic][]sequoialead.Item {
	s.mu.Lock()
	defer s.mu.Unlock()
	copied := map[sequoialead.Topic][]sequoialead.Item{}
	for topic, list := range s.records {
		copied[topic] = slices.Clone(list)
	}
	return copied
}

// restore replaces all records by those of a snapshot and begins a new era.
func (s *store) restore(snapshot map[sequoialead.Topic][]sequoialead.Item) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.records = map[sequoialead.Topic][]sequoialead.Item{}
	for topic, list := range snapshot {
		s.records[topic] = slices.Clone(list)
	}
	s.era++
}

func (s *store) set(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
}

func (s *store) wait() {
	s.mu.Lock()
	delay := s.delay
	s.mu.Unlock()
	if delay > 0 {
		time.Sleep(delay)
	}
}

func (s *store) Newest(_ context.Context, topic sequoialead.Topic) (sequoialead.Page, error) {
	s.wait()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.newestReads++
	if s.down {
		return sequoialead.Page{Era: s.era}, sequoialead.ErrPlatform.New("down")
	}
	newest := map[string]sequoialead.Item{}
	for _, item := range s.records[topic] {
		newest[item.Key] = item
	}
	page := sequoialead.Page{Era: s.era, Next: uint64(len(s.records[topic]))}
	for _, item := range newest {
		if len(item.Value) > 0 {
			page.Items = append(page.Items, item)
		}
	}
	return page, nil
}

func (s *store) Since(ctx context.Context, topic sequoialead.Topic, from uint64) (sequoialead.Page, error) {
	s.wait()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads++
	if until, ok := ctx.Deadline(); ok {
		s.maxTimeout = max(s.maxTimeout, time.Until(until))
	}
	switch {
	case s.down:
		return sequoialead.Page{Era: s.era}, sequoialead.ErrPlatform.New("down")
	case from < s.firstOffset && topic == sequoialead.TopicOperator, from > uint64(len(s.records[topic])):
		return sequoialead.Page{Era: s.era}, sequoialead.ErrGone.New("gone")
	case s.stale && from > 0:
		return sequoialead.Page{Era: s.era, Next: from - 1}, nil
	}
	list := s.records[topic]
	page := sequoialead.Page{Era: s.era, Next: uint64(len(list)), End: uint64(len(list))}
	if s.pageLimit != 0 {
		page.Next = min(page.Next, from+uint64(max(s.pageLimit, 0)))
	}
	if from < page.Next {
		page.Items = list[from:page.Next]
	}
	return page, nil
}

func (s *store) Put(_ context.Context, topic sequoialead.Topic, key string, value []byte) (sequoialead.Era, error) {
	down, era := false, sequoialead.Era(0)
	s.set(func() { s.puts, down, era = s.puts+1, s.down, s.era })
	if down {
		return era, sequoialead.ErrPlatform.New("down")
	}
	s.put(topic, key, string(value))
	return era, nil
}

// decoder decodes text that starts with a digit as the configuration of that
// version, and any text but "bad" as a backend server in the pool of that name.
type decoder struct{}

func (decoder) Config(raw []byte) (*proxyconfig.Config, error) {
	if raw[0] < '0' || raw[0] > '9' {
		return nil, errors.New("no version")
	}
	return &proxyconfig.Config{Version: sequoialead.Version(raw[0] - '0')}, nil
}

func (decoder) Server(id string, raw []byte) (sequoialead.Server, error) {
	if string(raw) == "bad" {
		return sequoialead.Server{}, errors.New("bad")
	}
	return sequoialead.Server{ID: id, Pool: string(raw), Domain: "a"}, nil
}

func (decoder) Operator(key string) (bool, string) {
	domain, ok := strings.CutPrefix(key, "out/")
	if ok {
		return false, domain
	}
	return key == "config", ""
}

// siblings is a relay that gets its responses from other watchers of the test.
type siblings struct {
	// reader is asked instead of the store. anyEntry is asked after a failed read
	// of the store.
	reader   *watch.Watcher
	anyEntry *watch.Watcher
	// others are the entries that can be asked by name.
	others   map[string]*watch.Watcher
	isReader bool
	rank     int
	// extraAge is added to the age in responses.
	extraAge time.Duration
	// lost makes all entries unreachable.
	lost atomic.Bool
}

func (m *siblings) lose(lost bool) { m.lost.Store(lost) }

func (m *siblings) IsReader(sequoialead.Topic, []membership.Member) bool { return m.isReader }

func (m *siblings) Rank(sequoialead.Topic, []membership.Member) int { return m.rank }

func (m *siblings) Read(_ context.Context, request protocol.RecordsRequest, _ []membership.Member, age time.Duration) (protocol.RecordsResponse, string, bool) {
	return m.answer(m.reader, request, age)
}

func (m *siblings) ReadAny(_ context.Context, request protocol.RecordsRequest, _ []membership.Member, age time.Duration) (protocol.RecordsResponse, string, bool) {
	return m.answer(m.anyEntry, request, age)
}

func (m *siblings) Ask(_ context.Context, name string, request protocol.RecordsRequest) (protocol.RecordsResponse, bool) {
	w := m.others[name]
	if w == nil || m.lost.Load() {
		return protocol.RecordsResponse{}, false
	}
	return w.RecordsSince(request), true
}

func (m *siblings) answer(w *watch.Watcher, request protocol.RecordsRequest, age time.Duration) (protocol.RecordsResponse, string, bool) {
	if w == nil || m.lost.Load() {
		return protocol.RecordsResponse{}, "", false
	}
	response := w.RecordsSince(request)
	response.Age += m.extraAge
	return response, "sibling", response.Complete && response.Age <= age && response.Era == request.Era
}

func newWatcher(t *testing.T, s *store) *watch.Watcher { return newWatcherWith(t, s, &siblings{}) }

func newWatcherWith(t *testing.T, s *store, m *siblings) *watch.Watcher {
	t.Helper()
	w := watch.New(watch.Options{
		Self: membership.Member{Name: "e"}, Store: s, Relay: m, Decoder: decoder{}, Log: logfmt.New(io.Discard, 0, time.Now), Metrics: metrics.NewSet(),
		Now: time.Now, Apply: 40 * time.Millisecond, Revoke: 2 * time.Second, Drain: time.Second, AssumedEntries: 16, OnChange: func() {},
	})
	qt.Assert(t, w.Start(context.Background()), qt.IsNil)
	t.Cleanup(func() { qt.Assert(t, w.Close(), qt.IsNil) })
	return w
}

func waitFor(t *testing.T, what string, done func() bool) {
	t.Helper()
	for range 2500 {
		if done() {
			return
		}
		time.Sleep(4 * time.Millisecond)
	}
	t.Fatalf("timed out after 10 s waiting for %s", what)
}

func version(w *watch.Watcher) sequoialead.Version {
	if config := w.Config(); config != nil {
		return config.Version
	}
	return 0
}

func TestVersionNeverDecreases(t *testing.T) {
	s := &store{records: map[sequoialead.Topic][]sequoialead.Item{}}
	s.put(sequoialead.TopicOperator, "config", "3")
	w := newWatcher(t, s)
	waitFor(t, "version 3", func() bool { return version(w) == 3 })
	s.put(sequoialead.TopicOperator, "config", "2")
	s.put(sequoialead.TopicOperator, "config", "nonsense")
	s.put(sequoialead.TopicOperator, "out/a", "{}")
	s.put(sequoialead.TopicServers, "s", "draft")
	waitFor(t, "the records written so far", func() bool {
		return w.RecordsSince(protocol.RecordsRequest{Topic: sequoialead.TopicOperator, From: 4}).Complete
	})
	qt.Assert(t, version(w), qt.Equals, sequoialead.Version(3))
	s.put(sequoialead.TopicOperator, "config", "4")
	waitFor(t, "version 4", func() bool { return version(w) == 4 })
	qt.Assert(t, w.Usable(time.Now()), qt.HasLen, 0) // its domain is evacuated
	s.put(sequoialead.TopicOperator, "out/a", "")
	waitFor(t, "the end of the evacuation", func() bool { return len(w.Usable(time.Now())) == 1 })
}

func TestExpiredHistoryIsReadAgainInFull(t *testing.T) {
	s := &store{records: map[sequoialead.Topic][]sequoialead.Item{}}
	s.put(sequoialead.TopicOperator, "config", "1")
	s.put(sequoialead.TopicOperator, "out/a", "{}")
	s.put(sequoialead.TopicServers, "s", "draft")
	w := newWatcher(t, s)
	waitFor(t, "version 1", func() bool { return version(w) == 1 })
	s.set(func() {
		s.records[sequoialead.TopicOperator] = append(s.records[sequoialead.TopicOperator],
			sequoialead.Item{Key: "out/a", Offset: 2}, sequoialead.Item{Key: "config", Value: []byte("2"), Offset: 3})
		s.firstOffset = 4
	})
	waitFor(t, "version 2", func() bool { return version(w) == 2 })
	waitFor(t, "the end of the evacuation", func() bool { return len(w.Usable(time.Now())) == 1 })
}

func TestLeaseExpiresWhileStoreIsDown(t *testing.T) {
	c := qt.New(t)
	s := &store{records: map[sequoialead.Topic][]sequoialead.Item{}}
	s.put(sequoialead.TopicOperator, "config", "1")
	w := newWatcher(t, s)
	waitFor(t, "version 1", func() bool { return version(w) == 1 })
	s.set(func() { s.down = true })
	waitFor(t, "the lease to expire", func() bool { return !w.Lease().Valid(time.Now(), 100*time.Millisecond) })
	c.Assert(version(w), qt.Equals, sequoialead.Version(1)) // the configuration stays in force
	s.set(func() { s.down = false })
	waitFor(t, "a valid lease", func() bool { return w.Lease().Valid(time.Now(), 100*time.Millisecond) })
}

// A read over a connection that has gone silent times out early enough for
// another read before the time limit of a revocation has passed.
func TestReadTimeoutLeavesTimeForRetry(t *testing.T) {
	c := qt.New(t)
	s := &store{records: map[sequoialead.Topic][]sequoialead.Item{}}
	s.put(sequoialead.TopicOperator, "config", "1")
	newWatcher(t, s)
	waitFor(t, "a read", func() (done bool) {
		s.set(func() { done = s.reads > 0 })
		return done
	})
	// The limit of 500 ms is a quarter of Options.Revoke, which newWatcher sets to 2 s.
	s.set(func() {
		c.Check(s.maxTimeout > 0 && s.maxTimeout <= 500*time.Millisecond, qt.IsTrue, qt.Commentf("%s", s.maxTimeout))
	})
}

// Callers that are refused for a stale configuration are told when it is read next. That has to be
// known while the store answers and while it fails.
func TestNextReadIsKnown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s := &store{records: map[sequoialead.Topic][]sequoialead.Item{}}
		s.put(sequoialead.TopicOperator, "config", "1")
		w := newWatcher(t, s)
		synctest.Wait()
		c.Check(w.NextRead(), qt.Equals, 20*time.Millisecond) // half of Options.Apply
		time.Sleep(5 * time.Millisecond)
		c.Check(w.NextRead(), qt.Equals, 15*time.Millisecond)
		s.set(func() { s.down = true })
		for range 50 {
			time.Sleep(50 * time.Millisecond)
			c.Check(w.NextRead() >= 0 && w.NextRead() <= 600*time.Millisecond, qt.IsTrue, qt.Commentf("%s", w.NextRead())) // 1.5 of the longest backoff
		}
	})
}

// A read that ends at a smaller offset than an earlier one doesn't renew the
// lease.
func TestStaleReadDoesNotRenewLease(t *testing.T) {
	s := &store{records: map[sequoialead.Topic][]sequoialead.Item{}}
	s.put(sequoialead.TopicOperator, "config", "1")
	w := newWatcher(t, s)
	waitFor(t, "version 1", func() bool { return version(w) == 1 })
	s.set(func() { s.stale = true })
	waitFor(t, "the lease to expire", func() bool { return !w.Lease().Valid(time.Now(), 100*time.Millisecond) })
}

func TestEntryCountsItself(t *testing.T) {
	s := &store{records: map[sequoialead.Topic][]sequoialead.Item{}}
	w := newWatcher(t, s)
	waitFor(t, "its own record", func() bool { return w.EntryCount(time.Now()) == 1 })
	s.put(sequoialead.TopicEntries, "broken", "not CBOR")
	qt.Assert(t, w.Members(time.Now()), qt.HasLen, 1)
}

// newSyncedWatcher returns a watcher that has read a configuration and a
// backend server, and its store.
func newSyncedWatcher(t *testing.T, m *siblings) (*watch.Watcher, *store) {
	t.Helper()
	s := &store{records: map[sequoialead.Topic][]sequoialead.Item{}}
	s.put(sequoialead.TopicOperator, "config", "1")
	s.put(sequoialead.TopicServers, "s", "draft")
	w := newWatcherWith(t, s, m)
	waitFor(t, "version 1", func() bool { return version(w) == 1 && len(w.Usable(time.Now())) == 1 })
	return w, s
}

// An entry doesn't read the store while another entry reads it for all.
func TestRecordsComeFromReader(t *testing.T) {
	// The reader reads every 10 ms. Its records are of every age up to that, depending on
	// when this entry starts. Real time would let them become older while the machine is
	// busy, and this entry then has to read the store.
	for delay := time.Duration(0); delay < 20*time.Millisecond; delay += time.Millisecond {
		t.Run(delay.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				reader, store := newSyncedWatcher(t, &siblings{isReader: true})
				time.Sleep(delay)
				w, own := newSyncedWatcher(t, &siblings{reader: reader})
				waitFor(t, "a valid lease", func() bool { return w.Lease().Valid(time.Now(), 100*time.Millisecond) })
				own.set(func() { own.reads = 0 })
				store.put(sequoialead.TopicOperator, "config", "2")
				store.put(sequoialead.TopicOperator, "out/a", "{}")
				waitFor(t, "version 2", func() bool { return version(w) == 2 && len(w.Usable(time.Now())) == 0 })
				time.Sleep(200 * time.Millisecond)
				own.set(func() { c.Check(own.reads, qt.Equals, 0) })
			})
		})
	}
}

// An entry that can't read the store gets the records from another entry.
func TestReadAnyWhileStoreIsDown(t *testing.T) {
	other, store := newSyncedWatcher(t, &siblings{})
	w, own := newSyncedWatcher(t, &siblings{anyEntry: other})
	own.set(func() { own.down = true })
	store.put(sequoialead.TopicOperator, "config", "2")
	store.put(sequoialead.TopicServers, "s", "")
	waitFor(t, "version 2", func() bool { return version(w) == 2 && len(w.Usable(time.Now())) == 0 })
	waitFor(t, "a valid lease", func() bool { return w.Lease().Valid(time.Now(), 100*time.Millisecond) })
	store.set(func() { store.down = true })
	waitFor(t, "the lease to expire", func() bool { return !w.Lease().Valid(time.Now(), 100*time.Millisecond) })
}

// The age of relayed records includes the time since the read of the store that
// they come from.
func TestAgesOfRelayedRecordsAddUp(t *testing.T) {
	c := qt.New(t)
	other, store := newSyncedWatcher(t, &siblings{})
	// extraAge stays below 40 ms, the maximum age that the watcher passes to ReadAny:
	// older records would be rejected.
	const extraAge = 15 * time.Millisecond
	w, own := newSyncedWatcher(t, &siblings{anyEntry: other, extraAge: extraAge})
	own.set(func() { own.down = true })
	store.put(sequoialead.TopicOperator, "config", "2")
	waitFor(t, "version 2", func() bool { return version(w) == 2 })
	for range 20 {
		age, _ := w.Lease().Age(time.Now())
		c.Assert(age >= extraAge, qt.IsTrue, qt.Commentf("%s", age))
		time.Sleep(3 * time.Millisecond)
	}
}

// An entry that lacks some of the records asked for reports that.
func TestRecordsSinceReportsMissingRecords(t *testing.T) {
	c := qt.New(t)
	w, s := newSyncedWatcher(t, &siblings{})
	c.Assert(w.RecordsSince(protocol.RecordsRequest{Topic: "other"}).Complete, qt.IsFalse)
	c.Assert(w.RecordsSince(protocol.RecordsRequest{Topic: sequoialead.TopicOperator, From: 0}).Complete, qt.IsFalse) // the first read returned only the newest record of each key
	c.Assert(w.RecordsSince(protocol.RecordsRequest{Topic: sequoialead.TopicOperator, From: 9}).Complete, qt.IsFalse)
	s.put(sequoialead.TopicOperator, "config", "2")
	waitFor(t, "version 2", func() bool { return version(w) == 2 })
	response := w.RecordsSince(protocol.RecordsRequest{Topic: sequoialead.TopicOperator, From: 1})
	c.Assert(response.Complete, qt.IsTrue)
	c.Assert(response.Next, qt.Equals, uint64(2))
	c.Assert(response.Items, qt.DeepEquals, []sequoialead.Item{{Key: "config", Value: []byte("2"), Offset: 1}})
}
