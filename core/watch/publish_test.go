package watch_test

import (
	"context"
	"fmt"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	qt "github.com/frankban/quicktest"

	"sequoialead"
	"sequoialead/common/logfmt"
	"sequoialead/core/membership"
	"sequoialead/core/quarantine"
	"sequoialead/core/watch"
)

// newSharingWatcher returns a watcher that shares the evidence of a new quarantine.
func newSharingWatcher(t *testing.T, s *store, name string) (*watch.Watcher, *quarantine.Quarantine) {
	t.Helper()
	log := logfmt.New(io.Discard, 0, time.Now)
	q := quarantine.New(quarantine.Options{Entry: name, Log: log, Metrics: metrics.NewSet(), Now: time.Now, Wall: time.Now, Spread: 100 * time.Millisecond})
	w := watch.New(watch.Options{
		Self: membership.Member{Name: name}, Store: s, Relay: &siblings{}, Decoder: decoder{}, Evidence: q, Log: log, Metrics: metrics.NewSet(),
		Now: time.Now, Apply: 40 * time.Millisecond, Revoke: 2 * time.Second, Drain: time.Second, Spread: 100 * time.Millisecond, AssumedEntries: 16, OnChange: func() {},
	})
	qt.Assert(t, w.Start(context.Background()), qt.IsNil)
	return w, q
}

// Each entry sees a part of the crashes. The store is away when they happen, and an entry
// that starts later, also one that had reported them, has to know as well.
func TestEvidenceReachesAllEntries(t *testing.T) {
	s := &store{records: map[sequoialead.Topic][]sequoialead.Item{}}
	prompt := []sequoialead.PromptPart{{ID: 1}, {ID: 0xdead}, {ID: 3}}
	held := func(q *quarantine.Quarantine) func() bool {
		return func() bool {
			q.Refresh() // as the forwarder does
			return !q.Check(prompt).IsZero()
		}
	}
	var first *watch.Watcher
	var entries []*quarantine.Quarantine
	for i := range 3 {
		w, q := newSharingWatcher(t, s, fmt.Sprintf("e%d", i))
		entries = append(entries, q)
		if i == 0 {
			first = w
			continue
		}
		t.Cleanup(func() { qt.Assert(t, w.Close(), qt.IsNil) })
	}
	s.set(func() { s.down = true })
	for i := range 3 {
		entries[i%2].RecordCrash(sequoialead.Server{ID: fmt.Sprintf("s%d", i)}, prompt, true)
		time.Sleep(320 * time.Millisecond) // crashes at one moment count as one
	}
	s.set(func() { s.down = false })
	for i, q := range entries {
		waitFor(t, fmt.Sprintf("entry %d to hold requests back", i), held(q))
	}
	qt.Assert(t, first.Close(), qt.IsNil)
	for _, name := range []string{"e0", "e3"} {
		w, q := newSharingWatcher(t, s, name)
		waitFor(t, name+" to hold requests back", held(q))
		qt.Assert(t, w.Close(), qt.IsNil)
	}
}

// newestOf returns the newest value of a key; empty if there is none.
func (s *store) newestOf(topic sequoialead.Topic, key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	var value []byte
	for _, item := range s.records[topic] {
		if item.Key == key {
			value = item.Value
		}
	}
	return value
}

// Guards against an entry that others forget, and against evidence that entries which start
// later never get, because the store lost the records when it came back from an older copy.
func TestRecordsAreWrittenAgainAfterReturn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s := newEraStore()
		older := s.snapshot()
		w, q := newSharingWatcher(t, s, "e0")
		t.Cleanup(func() { qt.Assert(t, w.Close(), qt.IsNil) })
		time.Sleep(time.Second)
		prompt := []sequoialead.PromptPart{{ID: 1}, {ID: 0xdead}, {ID: 3}}
		q.RecordCrash(sequoialead.Server{ID: "s0"}, prompt, true)
		time.Sleep(time.Second)
		for range 3 {
			entry, crashes := s.newestOf(sequoialead.TopicEntries, "e0"), s.newestOf(sequoialead.TopicCrashes, "e0")
			c.Assert(len(entry) > 0 && len(crashes) > 0, qt.IsTrue)
			s.restore(older)
			c.Assert(s.newestOf(sequoialead.TopicCrashes, "e0"), qt.HasLen, 0)
			time.Sleep(time.Second)
			c.Assert(s.newestOf(sequoialead.TopicEntries, "e0"), qt.DeepEquals, entry)
			c.Assert(len(s.newestOf(sequoialead.TopicCrashes, "e0")) > 0, qt.IsTrue)
		}
		// While the store is away, the writes are tried again, but not without a pause.
		s.set(func() { s.down, s.puts = true, 0 })
		s.restore(older)
		time.Sleep(10 * time.Second)
		s.set(func() { c.Check(s.puts <= 20, qt.IsTrue, qt.Commentf("%d writes in 10 s", s.puts)) })
		s.set(func() { s.down = false })
		time.Sleep(9 * time.Second)
		c.Check(len(s.newestOf(sequoialead.TopicEntries, "e0")) > 0, qt.IsTrue)
		c.Check(len(s.newestOf(sequoialead.TopicCrashes, "e0")) > 0, qt.IsTrue)
	})
}

// Guards against evidence of a copy that replaces newer evidence of the same entry until that
// entry has written again.
func TestOlderCopyDoesNotUndoEvidence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s := newEraStore()
		w, q := newSharingWatcher(t, s, "e0")
		t.Cleanup(func() { qt.Assert(t, w.Close(), qt.IsNil) })
		other, teller := newSharingWatcher(t, s, "e1")
		prompt := []sequoialead.PromptPart{{ID: 1}, {ID: 0xdead}, {ID: 3}}
		held := func() bool {
			q.Refresh()
			return !q.Check(prompt).IsZero()
		}
		time.Sleep(time.Second)
		teller.RecordCrash(sequoialead.Server{ID: "s0"}, prompt, true)
		time.Sleep(time.Second)
		older := s.snapshot()
		teller.RecordCrash(sequoialead.Server{ID: "s1"}, prompt, true)
		time.Sleep(time.Second)
		c.Assert(other.Close(), qt.IsNil)
		c.Assert(held(), qt.IsFalse) // two of three crashes
		s.restore(older)
		time.Sleep(time.Second)
		q.RecordCrash(sequoialead.Server{ID: "s2"}, prompt, true)
		c.Assert(held(), qt.IsTrue)
	})
}
