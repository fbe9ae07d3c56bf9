package watch_test

import (
	"context"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	qt "github.com/frankban/quicktest"

	"sequoialead"
	"sequoialead/common/logfmt"
	"sequoialead/core/membership"
	"sequoialead/core/watch"
)

// newFleetWatcher returns a watcher with the bounds of a large fleet that has read all
// records, and its store.
func newFleetWatcher(t *testing.T, m *siblings) (*watch.Watcher, *store) {
	t.Helper()
	s := &store{records: map[sequoialead.Topic][]sequoialead.Item{}}
	s.put(sequoialead.TopicOperator, "config", "1")
	s.put(sequoialead.TopicServers, "s", "draft")
	w := watch.New(watch.Options{
		Self: membership.Member{Name: "e"}, Store: s, Relay: m, Decoder: decoder{}, Log: logfmt.New(io.Discard, 0, time.Now), Metrics: metrics.NewSet(),
		Now: time.Now, Apply: 4 * time.Second, Revoke: 5 * time.Second, Drain: 4 * time.Second, AssumedEntries: 100, OnChange: func() {},
	})
	qt.Assert(t, w.Start(context.Background()), qt.IsNil)
	t.Cleanup(func() { qt.Assert(t, w.Close(), qt.IsNil) })
	waitFor(t, "all records", func() bool { return version(w) == 1 && len(w.Usable(time.Now())) == 1 })
	return w, s
}

// A hundred entries that each retry every topic through an outage make thousands of
// calls that the store refuses.
func TestEntriesWithReaderRarelyTryFailingStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		w, s := newFleetWatcher(t, &siblings{rank: 4})
		s.set(func() { s.down, s.reads = true, 0 })
		time.Sleep(9 * time.Second)
		// With four entries ahead the delays are five times the backoff of at most 0.4 s,
		// of which its random part leaves half: one call a second, six more until the
		// backoff has grown, and the first failure of the second topic.
		s.set(func() { c.Check(s.reads <= 9+6+1, qt.IsTrue, qt.Commentf("%d reads", s.reads)) })
		s.set(func() { s.down = false })
		time.Sleep(1500*time.Millisecond + 100*time.Millisecond)
		c.Check(w.Lease().Valid(time.Now(), 1700*time.Millisecond), qt.IsTrue)
		c.Check(w.ServersLease().Valid(time.Now(), 1700*time.Millisecond), qt.IsTrue) // one topic's success ends the delay of the others
	})
}

// The entry that reads for others finds the store soon after its return.
func TestReaderTriesFailingStoreOften(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		w, s := newFleetWatcher(t, &siblings{isReader: true})
		s.set(func() { s.down = true })
		time.Sleep(9 * time.Second)
		s.set(func() { s.down = false })
		time.Sleep(600 * time.Millisecond) // the longest delay, 400 ms, and its random part
		c.Check(w.Lease().Valid(time.Now(), 600*time.Millisecond), qt.IsTrue)
		c.Check(w.ServersLease().Valid(time.Now(), 600*time.Millisecond), qt.IsTrue)
	})
}

// An entry whose reader is lost for a moment doesn't read the store in its place, but
// does so before its records are too old.
func TestRecordsWaitForNextReader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		reader, _ := newFleetWatcher(t, &siblings{isReader: true})
		m := &siblings{reader: reader, rank: 1}
		// Neither entry reads at the instant at which the other reads or the reader is lost.
		time.Sleep(100 * time.Millisecond)
		w, own := newFleetWatcher(t, m)
		time.Sleep(3100 * time.Millisecond)
		own.set(func() { own.reads = 0 })
		m.lose(true)
		time.Sleep(700 * time.Millisecond)
		m.lose(false)
		time.Sleep(3 * time.Second)
		own.set(func() { c.Check(own.reads, qt.Equals, 0) })
		m.lose(true)
		for range 100 {
			time.Sleep(100 * time.Millisecond)
			age, _ := w.Lease().Age(time.Now())
			// 1.25 intervals of 1.5 s, and the shortest delay between two attempts.
			c.Assert(age <= 1925*time.Millisecond, qt.IsTrue, qt.Commentf("%s", age))
		}
	})
}
