package watch_test

import (
	"context"
	"errors"
	"io"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	qt "github.com/frankban/quicktest"
	"go.uber.org/goleak"

	"sequoialead"
	"sequoialead/common/line"
	"sequoialead/core/frame"
	"sequoialead/core/members"
	"sequoialead/core/plan"
	"sequoialead/core/watch"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// store holds the records of three topics.
type store struct {
	mu      sync.Mutex
	records map[sequoialead.Topic][]sequoialead.Item
	first   uint64
	// down and gone are what reads meet.
	down bool
	// stale makes reads from an offset answer with an earlier end.
	stale bool
	// reads counts the reads from an offset.
	reads int
	// longest is the most time that a read was given.
	longest time.Duration
}

func (s *store) put(topic sequoialead.Topic, key, value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := s.records[topic]
	s.records[topic] = append(list, sequoialead.Item{Key: key, Value: []byte(value), Offset: uint64(len(list))})
}

func (s *store) set(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
}

func (s *store) Newest(_ context.Context, topic sequoialead.Topic) (sequoialead.Page, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return sequoialead.Page{}, sequoialead.ErrPlatform.New("down")
	}
	newest := map[string]sequoialead.Item{}
	for _, item := range s.records[topic] {
		newest[item.Key] = item
	}
	page := sequoialead.Page{Next: uint64(len(s.records[topic]))}
	for _, item := range newest {
		if len(item.Value) > 0 {
			page.Items = append(page.Items, item)
		}
	}
	return page, nil
}

func (s *store) Since(ctx context.Context, topic sequoialead.Topic, from uint64) (sequoialead.Page, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads++
	if until, ok := ctx.Deadline(); ok {
		s.longest = max(s.longest, time.Until(until))
	}
	switch {
	case s.down:
		return sequoialead.Page{}, sequoialead.ErrPlatform.New("down")
	case from < s.first && topic == sequoialead.TopicOperator:
		return sequoialead.Page{}, sequoialead.ErrGone.New("gone")
	case s.stale && from > 0:
		return sequoialead.Page{Next: from - 1}, nil
	}
	list := s.records[topic]
	page := sequoialead.Page{Next: uint64(len(list))}
	if from < page.Next {
		page.Items = list[from:]
		return page, nil
	}
	return page, nil
}

func (s *store) Put(_ context.Context, topic sequoialead.Topic, key string, value []byte) error {
	s.put(topic, key, string(value))
	return nil
}

// decoder reads "VERSION" as a plan and "POOL" as a backend server.
type decoder struct{}

func (decoder) Plan(raw []byte) (*plan.Plan, error) {
	if raw[0] < '0' || raw[0] > '9' {
		return nil, errors.New("no version")
	}
	return &plan.Plan{Version: sequoialead.Version(raw[0] - '0')}, nil
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

// mates are the other entries as one entry sees them.
type mates struct {
	// reader is asked in place of the store, and rescuer once the store fails.
	reader  *watch.Watcher
	rescuer *watch.Watcher
	reads   bool
	// late is how much older than they are the answers say to be.
	late time.Duration
}

func (m *mates) Reader(sequoialead.Topic, []members.Entry) bool { return m.reads }

func (m *mates) Read(_ context.Context, ask frame.Ask, _ []members.Entry, age time.Duration) (frame.News, string, bool) {
	return m.tell(m.reader, ask, age)
}

func (m *mates) Rescue(_ context.Context, ask frame.Ask, _ []members.Entry, age time.Duration) (frame.News, string, bool) {
	return m.tell(m.rescuer, ask, age)
}

func (m *mates) tell(w *watch.Watcher, ask frame.Ask, age time.Duration) (frame.News, string, bool) {
	if w == nil {
		return frame.News{}, "", false
	}
	news := w.Tell(ask)
	news.Age += m.late
	return news, "mate", news.Known && news.Age <= age
}

func begin(t *testing.T, s *store) *watch.Watcher { return beginWith(t, s, &mates{}) }

func beginWith(t *testing.T, s *store, m *mates) *watch.Watcher {
	t.Helper()
	w := watch.New(watch.Options{
		Self: members.Entry{Name: "e"}, Store: s, Relay: m, Decoder: decoder{}, Log: line.New(io.Discard, 0, time.Now), Metrics: metrics.NewSet(),
		Now: time.Now, Apply: 40 * time.Millisecond, Revoke: 2 * time.Second, Drain: time.Second, Assumed: 16, Changed: func() {},
	})
	qt.Assert(t, w.Start(context.Background()), qt.IsNil)
	t.Cleanup(func() { qt.Assert(t, w.Close(), qt.IsNil) })
	return w
}

func wait(t *testing.T, what string, done func() bool) {
	t.Helper()
	for range 2500 {
		if done() {
			return
		}
		time.Sleep(4 * time.Millisecond)
	}
	t.Fatalf("%s does not happen", what)
}

func version(w *watch.Watcher) sequoialead.Version {
	if p := w.Plan(); p != nil {
		return p.Version
	}
	return 0
}

func TestVersionsOnlyRise(t *testing.T) {
	s := &store{records: map[sequoialead.Topic][]sequoialead.Item{}}
	s.put(sequoialead.TopicOperator, "config", "3")
	w := begin(t, s)
	wait(t, "version 3", func() bool { return version(w) == 3 })
	s.put(sequoialead.TopicOperator, "config", "2")
	s.put(sequoialead.TopicOperator, "config", "nonsense")
	s.put(sequoialead.TopicOperator, "out/a", "{}")
	s.put(sequoialead.TopicServers, "s", "draft")
	wait(t, "the records of before", func() bool { return w.Tell(frame.Ask{Topic: sequoialead.TopicOperator, From: 4}).Known })
	qt.Assert(t, version(w), qt.Equals, sequoialead.Version(3))
	s.put(sequoialead.TopicOperator, "config", "4")
	wait(t, "version 4", func() bool { return version(w) == 4 })
	qt.Assert(t, w.Usable(time.Now()), qt.HasLen, 0) // its domain is out
	s.put(sequoialead.TopicOperator, "out/a", "")
	wait(t, "the domain's return", func() bool { return len(w.Usable(time.Now())) == 1 })
}

func TestLostHistoryIsReadAnew(t *testing.T) {
	s := &store{records: map[sequoialead.Topic][]sequoialead.Item{}}
	s.put(sequoialead.TopicOperator, "config", "1")
	s.put(sequoialead.TopicOperator, "out/a", "{}")
	s.put(sequoialead.TopicServers, "s", "draft")
	w := begin(t, s)
	wait(t, "version 1", func() bool { return version(w) == 1 })
	s.set(func() {
		s.records[sequoialead.TopicOperator] = append(s.records[sequoialead.TopicOperator],
			sequoialead.Item{Key: "out/a", Offset: 2}, sequoialead.Item{Key: "config", Value: []byte("2"), Offset: 3})
		s.first = 4
	})
	wait(t, "version 2", func() bool { return version(w) == 2 })
	wait(t, "the domain's return", func() bool { return len(w.Usable(time.Now())) == 1 })
}

func TestLeaseRunsOutWhileTheStoreIsAway(t *testing.T) {
	c := qt.New(t)
	s := &store{records: map[sequoialead.Topic][]sequoialead.Item{}}
	s.put(sequoialead.TopicOperator, "config", "1")
	w := begin(t, s)
	wait(t, "version 1", func() bool { return version(w) == 1 })
	s.set(func() { s.down = true })
	wait(t, "the lease's end", func() bool { return !w.Lease().Holds(time.Now(), 100*time.Millisecond) })
	c.Assert(version(w), qt.Equals, sequoialead.Version(1)) // what is known stays known
	s.set(func() { s.down = false })
	wait(t, "the lease's return", func() bool { return w.Lease().Holds(time.Now(), 100*time.Millisecond) })
}

// A read over a connection that has gone silent ends early enough for another one
// while keys are still trusted.
func TestSilentReadLeavesTimeForAnother(t *testing.T) {
	c := qt.New(t)
	s := &store{records: map[sequoialead.Topic][]sequoialead.Item{}}
	s.put(sequoialead.TopicOperator, "config", "1")
	begin(t, s)
	wait(t, "a read", func() (done bool) {
		s.set(func() { done = s.reads > 0 })
		return done
	})
	s.set(func() {
		c.Check(s.longest > 0 && s.longest <= 500*time.Millisecond, qt.IsTrue, qt.Commentf("%s", s.longest))
	}) // of 2 s
}

// A read that ends before what was read already proves nothing.
func TestStaleReadDoesNotRenewTheLease(t *testing.T) {
	s := &store{records: map[sequoialead.Topic][]sequoialead.Item{}}
	s.put(sequoialead.TopicOperator, "config", "1")
	w := begin(t, s)
	wait(t, "version 1", func() bool { return version(w) == 1 })
	s.set(func() { s.stale = true })
	wait(t, "the lease's end", func() bool { return !w.Lease().Holds(time.Now(), 100*time.Millisecond) })
}

func TestEntriesCountEachOther(t *testing.T) {
	s := &store{records: map[sequoialead.Topic][]sequoialead.Item{}}
	w := begin(t, s)
	wait(t, "its own record", func() bool { return w.Entries(time.Now()) == 1 })
	s.put(sequoialead.TopicEntries, "broken", "not CBOR")
	qt.Assert(t, w.Members(time.Now()), qt.HasLen, 1)
}

// entry returns an entry whose store holds a configuration and a backend server,
// and its store.
func entry(t *testing.T, m *mates) (*watch.Watcher, *store) {
	t.Helper()
	s := &store{records: map[sequoialead.Topic][]sequoialead.Item{}}
	s.put(sequoialead.TopicOperator, "config", "1")
	s.put(sequoialead.TopicServers, "s", "draft")
	w := beginWith(t, s, m)
	wait(t, "version 1", func() bool { return version(w) == 1 && len(w.Usable(time.Now())) == 1 })
	return w, s
}

// An entry whose records another one reads leaves the store alone.
func TestRecordsComeFromTheReader(t *testing.T) {
	c := qt.New(t)
	reader, store := entry(t, &mates{reads: true})
	w, own := entry(t, &mates{reader: reader})
	wait(t, "the lease", func() bool { return w.Lease().Holds(time.Now(), 100*time.Millisecond) })
	own.set(func() { own.reads = 0 })
	store.put(sequoialead.TopicOperator, "config", "2")
	store.put(sequoialead.TopicOperator, "out/a", "{}")
	wait(t, "version 2", func() bool { return version(w) == 2 && len(w.Usable(time.Now())) == 0 })
	own.set(func() { c.Check(own.reads, qt.Equals, 0) })
}

// An entry that the store turns away goes by what another one reads.
func TestEntryThatIsTurnedAwayIsTold(t *testing.T) {
	other, store := entry(t, &mates{})
	w, own := entry(t, &mates{rescuer: other})
	own.set(func() { own.down = true })
	store.put(sequoialead.TopicOperator, "config", "2")
	store.put(sequoialead.TopicServers, "s", "")
	wait(t, "version 2", func() bool { return version(w) == 2 && len(w.Usable(time.Now())) == 0 })
	wait(t, "the lease", func() bool { return w.Lease().Holds(time.Now(), 100*time.Millisecond) })
	store.set(func() { store.down = true })
	wait(t, "the lease's end", func() bool { return !w.Lease().Holds(time.Now(), 100*time.Millisecond) })
}

// What is told is as old as the read that it comes from: the ages add up.
func TestAgesOfWhatIsToldAddUp(t *testing.T) {
	c := qt.New(t)
	other, store := entry(t, &mates{})
	const late = 15 * time.Millisecond // of the 40 ms that the rescue allows
	w, own := entry(t, &mates{rescuer: other, late: late})
	own.set(func() { own.down = true })
	store.put(sequoialead.TopicOperator, "config", "2")
	wait(t, "version 2", func() bool { return version(w) == 2 })
	for range 20 {
		age, _ := w.Lease().Age(time.Now())
		c.Assert(age >= late, qt.IsTrue, qt.Commentf("%s", age))
		time.Sleep(3 * time.Millisecond)
	}
}

// An entry that does not hold what was asked for says so.
func TestTellSaysWhatItDoesNotKnow(t *testing.T) {
	c := qt.New(t)
	w, s := entry(t, &mates{})
	c.Assert(w.Tell(frame.Ask{Topic: "other"}).Known, qt.IsFalse)
	c.Assert(w.Tell(frame.Ask{Topic: sequoialead.TopicOperator, From: 0}).Known, qt.IsFalse) // read as the newest of each key
	c.Assert(w.Tell(frame.Ask{Topic: sequoialead.TopicOperator, From: 9}).Known, qt.IsFalse)
	s.put(sequoialead.TopicOperator, "config", "2")
	wait(t, "version 2", func() bool { return version(w) == 2 })
	news := w.Tell(frame.Ask{Topic: sequoialead.TopicOperator, From: 1})
	c.Assert(news.Known, qt.IsTrue)
	c.Assert(news.Next, qt.Equals, uint64(2))
	c.Assert(news.Items, qt.DeepEquals, []sequoialead.Item{{Key: "config", Value: []byte("2"), Offset: 1}})
}
