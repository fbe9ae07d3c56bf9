package watch_test

import (
	"context"
	"fmt"
	"io"
	"testing"
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
