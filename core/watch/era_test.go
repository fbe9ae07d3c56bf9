package watch_test

import (
	"context"
	"fmt"
	"io"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	qt "github.com/frankban/quicktest"

	"sequoialead"
	"sequoialead/common/logfmt"
	"sequoialead/core/membership"
	"sequoialead/core/protocol"
	"sequoialead/core/watch"
)

const (
	// eraApply, eraRevoke and eraDrain are the bounds of the watchers of these tests.
	eraApply  = 2 * time.Second
	eraRevoke = 5 * time.Second
	eraDrain  = 2 * time.Second
)

// newEraStore returns a store in its first era that holds version 1 and the server "s".
func newEraStore() *store {
	s := &store{records: map[sequoialead.Topic][]sequoialead.Item{}, era: 1}
	s.put(sequoialead.TopicOperator, "config", "1")
	s.put(sequoialead.TopicServers, "s", "draft")
	return s
}

// newEraWatcher returns a watcher named name that has read a version and a server from a store.
func newEraWatcher(t *testing.T, name string, s sequoialead.Store, m watch.Relay) *watch.Watcher {
	t.Helper()
	w := startEraWatcher(t, name, s, m)
	waitFor(t, "the first version", func() bool { return version(w) > 0 && len(w.Usable(time.Now())) > 0 })
	return w
}

func startEraWatcher(t *testing.T, name string, s sequoialead.Store, m watch.Relay) *watch.Watcher {
	t.Helper()
	w := watch.New(watch.Options{
		Self: membership.Member{Name: name}, Store: s, Relay: m, Decoder: decoder{}, Log: logfmt.New(io.Discard, 0, time.Now), Metrics: metrics.NewSet(),
		Now: time.Now, Apply: eraApply, Revoke: eraRevoke, Drain: eraDrain, AssumedEntries: 1, OnChange: func() {},
	})
	qt.Assert(t, w.Start(context.Background()), qt.IsNil)
	t.Cleanup(func() { qt.Assert(t, w.Close(), qt.IsNil) })
	return w
}

// Guards against operator's records that are left out for good after the store came back from
// an older copy, because they got offsets below those that had been applied before.
func TestOperatorRecordsAtReusedOffsets(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s := newEraStore()
		w := newEraWatcher(t, "e", s, &siblings{})
		older := s.snapshot()
		s.put(sequoialead.TopicOperator, "out/b", "{}")
		s.put(sequoialead.TopicOperator, "config", "2")
		s.put(sequoialead.TopicOperator, "config", "3")
		s.put(sequoialead.TopicOperator, "out/a", "{}")
		s.put(sequoialead.TopicOperator, "out/a", "")
		time.Sleep(eraApply)
		c.Assert(version(w), qt.Equals, sequoialead.Version(3))

		s.restore(older)
		s.put(sequoialead.TopicOperator, "config", "3")
		time.Sleep(eraApply)
		c.Assert(version(w), qt.Equals, sequoialead.Version(3))
		s.put(sequoialead.TopicOperator, "config", "4")
		s.put(sequoialead.TopicOperator, "out/a", "{}")
		time.Sleep(eraApply)
		c.Assert(version(w), qt.Equals, sequoialead.Version(4))
		c.Assert(w.Usable(time.Now()), qt.HasLen, 0)
		s.put(sequoialead.TopicOperator, "out/a", "")
		time.Sleep(eraApply)
		c.Assert(w.Usable(time.Now()), qt.HasLen, 1)
	})
}

// Guards against records that are never read after the store came back from an older copy,
// because the topic had grown to its old end again, or past it, before the next read: the
// store then answers that read without an error.
func TestTopicRegrownBeforeNextRead(t *testing.T) {
	for _, later := range []int{0, 1, 3} {
		t.Run(fmt.Sprint(later), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				s := newEraStore()
				w := newEraWatcher(t, "e", s, &siblings{})
				older := s.snapshot()
				s.put(sequoialead.TopicOperator, "config", "2")
				s.put(sequoialead.TopicOperator, "config", "3")
				s.put(sequoialead.TopicServers, "s", "draft")
				s.put(sequoialead.TopicServers, "s", "draft")
				time.Sleep(eraApply)
				c.Assert(version(w), qt.Equals, sequoialead.Version(3))

				s.restore(older)
				s.put(sequoialead.TopicOperator, "config", "3")
				s.put(sequoialead.TopicOperator, "config", "4")
				s.put(sequoialead.TopicServers, "s", "")
				s.put(sequoialead.TopicServers, "other", "draft")
				for range later {
					s.put(sequoialead.TopicOperator, "other", "x")
					s.put(sequoialead.TopicServers, "other", "draft")
				}
				time.Sleep(eraApply)
				c.Assert(version(w), qt.Equals, sequoialead.Version(4))
				time.Sleep(eraDrain)
				servers := w.Usable(time.Now())
				c.Assert(servers, qt.HasLen, 1)
				c.Assert(servers[0].Server.ID, qt.Equals, "other")
			})
		})
	}
}

// lateStore holds back the answers to reads from an offset while hold is set, and then returns
// them as they were when they were asked for.
type lateStore struct {
	*store
	hold    atomic.Bool
	holding atomic.Int64
	release chan struct{}
}

func (s *lateStore) Since(ctx context.Context, topic sequoialead.Topic, from uint64) (sequoialead.Page, error) {
	page, err := s.store.Since(ctx, topic, from)
	if s.hold.Load() {
		s.holding.Add(1)
		<-s.release
	}
	return page, err
}

// Guards against an answer from before the return of the store that arrives after it: it must
// neither be applied nor renew the lease.
func TestLateAnswerOfOlderEra(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s := &lateStore{store: newEraStore(), release: make(chan struct{})}
		w := newEraWatcher(t, "e", s, &siblings{})
		time.Sleep(eraApply + 300*time.Millisecond) // no read begins then
		older := s.snapshot()
		s.put(sequoialead.TopicOperator, "out/a", "{}")
		s.hold.Store(true)
		waitFor(t, "reads of two topics", func() bool { return s.holding.Load() >= 2 })
		s.hold.Store(false)
		heldAt := time.Now()
		s.restore(older)
		s.put(sequoialead.TopicOperator, "config", "2")
		s.put(sequoialead.TopicServers, "s", "")

		// Another entry has read the new era already.
		c.Assert(w.RecordsSince(protocol.RecordsRequest{Topic: sequoialead.TopicOperator, From: 2, Era: 2}).Complete, qt.IsFalse)
		s.set(func() { s.down = true })
		close(s.release)
		synctest.Wait()
		age, _ := w.Lease().Age(time.Now())
		c.Assert(age >= time.Since(heldAt), qt.IsTrue)
		c.Assert(w.Usable(time.Now()), qt.HasLen, 1) // the evacuation is one of the older era
		c.Assert(version(w), qt.Equals, sequoialead.Version(1))
		s.set(func() { s.down = false })
		time.Sleep(time.Second)
		c.Assert(version(w), qt.Equals, sequoialead.Version(2))
		time.Sleep(eraDrain)
		c.Assert(w.Usable(time.Now()), qt.HasLen, 0)
		c.Assert(w.Lease().Valid(time.Now(), eraApply), qt.IsTrue)
	})
}

// Entries hand on records only within one era of the store, whichever of the two has noticed
// its return first, and each learns of the return from the other.
func TestRecordsOfAnotherEntryAreOfOneEra(t *testing.T) {
	tests := []struct {
		desc string
		// cutOff is the entry that can't reach the store at first.
		cutOff func(reader, w *store)
	}{
		{"the reader hasn't noticed", func(reader, _ *store) { reader.set(func() { reader.down = true }) }},
		{"the other entry hasn't noticed", func(_, w *store) { w.set(func() { w.down = true }) }},
		{"both have noticed", func(_, _ *store) {}},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				stores := []*store{newEraStore(), newEraStore()}
				reader := newEraWatcher(t, "reader", stores[0], &siblings{isReader: true})
				w := newEraWatcher(t, "e", stores[1], &siblings{reader: reader, rank: 1})
				older := stores[0].snapshot()
				put := func(topic sequoialead.Topic, key, value string) {
					for _, s := range stores {
						s.put(topic, key, value)
					}
				}
				put(sequoialead.TopicOperator, "config", "2")
				put(sequoialead.TopicOperator, "config", "3")
				put(sequoialead.TopicServers, "s", "draft")
				time.Sleep(eraApply)
				c.Assert(version(w), qt.Equals, sequoialead.Version(3))

				for _, s := range stores {
					s.restore(older)
				}
				put(sequoialead.TopicOperator, "config", "3")
				put(sequoialead.TopicOperator, "config", "4")
				put(sequoialead.TopicServers, "s", "")
				test.cutOff(stores[0], stores[1])
				time.Sleep(eraApply)
				for _, s := range stores {
					s.set(func() { s.down = false })
				}
				time.Sleep(eraApply)
				c.Check(version(reader), qt.Equals, sequoialead.Version(4))
				c.Check(version(w), qt.Equals, sequoialead.Version(4))
				time.Sleep(eraDrain)
				c.Check(reader.Usable(time.Now()), qt.HasLen, 0)
				c.Check(w.Usable(time.Now()), qt.HasLen, 0)
				c.Check(w.Lease().Valid(time.Now(), eraApply), qt.IsTrue)

				reads := 0
				stores[1].set(func() { stores[1].reads, stores[1].newestReads = 0, 0 })
				put(sequoialead.TopicOperator, "config", "5")
				time.Sleep(eraApply)
				c.Check(version(w), qt.Equals, sequoialead.Version(5))
				stores[1].set(func() { reads = stores[1].newestReads })
				c.Check(reads, qt.Equals, 0) // records come from the reader again
			})
		})
	}
}

// An entry of a version that doesn't tell eras gets no records from one that knows them, and
// none of its records are used.
func TestRecordsOfUnknownEra(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		w := newEraWatcher(t, "e", newEraStore(), &siblings{})
		s := newEraStore()
		s.era = 0
		old := newEraWatcher(t, "old", s, &siblings{})
		time.Sleep(eraApply)
		request := protocol.RecordsRequest{Topic: sequoialead.TopicOperator, From: 1}
		c.Check(w.RecordsSince(request).Complete, qt.IsFalse)
		c.Check(old.RecordsSince(request).Complete, qt.IsTrue)
		request.Era = 1
		c.Check(w.RecordsSince(request).Complete, qt.IsTrue)
		c.Check(old.RecordsSince(request).Complete, qt.IsFalse)
	})
}

// Guards against a second return of the store that is taken for the first one, and against
// reads without a pause while its era rises.
func TestTwoReturnsWithinSeconds(t *testing.T) {
	for _, gap := range []time.Duration{0, 10 * time.Millisecond, 300 * time.Millisecond, time.Second, 2 * time.Second} {
		t.Run(gap.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				s := newEraStore()
				s.delay = 10 * time.Millisecond
				w := newEraWatcher(t, "e", s, &siblings{})
				older := s.snapshot()
				s.put(sequoialead.TopicOperator, "config", "2")
				s.put(sequoialead.TopicServers, "s", "draft")
				time.Sleep(eraApply)
				s.restore(older)
				s.put(sequoialead.TopicOperator, "config", "2")
				s.put(sequoialead.TopicServers, "s", "draft")
				time.Sleep(gap)
				s.restore(older)
				s.set(func() { s.newestReads = 0 })
				s.put(sequoialead.TopicOperator, "config", "3")
				s.put(sequoialead.TopicServers, "s", "")
				time.Sleep(eraApply)
				c.Check(version(w), qt.Equals, sequoialead.Version(3))
				time.Sleep(eraDrain)
				c.Check(w.Usable(time.Now()), qt.HasLen, 0)
				s.set(func() { c.Check(s.newestReads <= 6, qt.IsTrue, qt.Commentf("%d reads", s.newestReads)) })
			})
		})
	}
}

// An entry that learns of the return of the store from a request of another entry reads all its
// topics at once.
func TestTopicsAreReadAtOnceAfterReturn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s := newEraStore()
		w := newEraWatcher(t, "e", s, &siblings{})
		time.Sleep(eraApply)
		older := s.snapshot()
		s.restore(older)
		s.put(sequoialead.TopicOperator, "config", "2")
		s.put(sequoialead.TopicServers, "other", "draft")
		w.RecordsSince(protocol.RecordsRequest{Topic: sequoialead.TopicEntries, Era: 2})
		synctest.Wait()
		c.Check(version(w), qt.Equals, sequoialead.Version(2))
		c.Check(w.Usable(time.Now()), qt.HasLen, 2)
	})
}
