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
	"sequoialead/core/protocol"
	"sequoialead/core/watch"
)

// partialApply is Options.Apply of the watchers of these tests, half of which is the interval
// between reads of the operator's records.
const partialApply = 2 * time.Second

// newPartialWatcher returns a watcher, which has read version 1, and its store, whose reads
// take 10 ms and return at most pageLimit records.
func newPartialWatcher(t *testing.T, pageLimit int) (*watch.Watcher, *store) {
	s := &store{records: map[sequoialead.Topic][]sequoialead.Item{}, pageLimit: pageLimit, delay: 10 * time.Millisecond}
	s.put(sequoialead.TopicOperator, "config", "1")
	w := watch.New(watch.Options{
		Self: membership.Member{Name: "e"}, Store: s, Relay: &siblings{}, Decoder: decoder{}, Log: logfmt.New(io.Discard, 0, time.Now), Metrics: metrics.NewSet(),
		Now: time.Now, Apply: partialApply, Revoke: 5 * time.Second, Drain: 2 * time.Second, AssumedEntries: 1, OnChange: func() {},
	})
	qt.Assert(t, w.Start(context.Background()), qt.IsNil)
	t.Cleanup(func() { qt.Assert(t, w.Close(), qt.IsNil) })
	waitFor(t, "version 1", func() bool { return version(w) == 1 })
	return w, s
}

// Versions in quick succession don't fit into one answer of the store. An entry that took the
// first part of them for all accepted a revoked key for seconds, since its lease said that it
// knew everything.
func TestPartialReadDoesNotRenewLease(t *testing.T) {
	for _, pageLimit := range []int{1, 2, 3, 5} {
		t.Run(fmt.Sprint(pageLimit), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				w, s := newPartialWatcher(t, pageLimit)
				time.Sleep(1300 * time.Millisecond)
				for v := range 8 {
					s.put(sequoialead.TopicOperator, "config", fmt.Sprint(v+2))
					time.Sleep(time.Millisecond)
				}
				written := time.Now()
				for version(w) != 9 {
					c.Assert(time.Since(written) < partialApply, qt.IsTrue)
					age, _ := w.Lease().Age(time.Now())
					c.Assert(age >= time.Since(written), qt.IsTrue, qt.Commentf("version %d is in force, and the lease is %s old", version(w), age))
					response := w.RecordsSince(protocol.RecordsRequest{Topic: sequoialead.TopicOperator, From: 1})
					c.Assert(!response.Complete || response.Age >= time.Since(written), qt.IsTrue)
					time.Sleep(time.Millisecond)
				}
				c.Assert(time.Since(written) <= partialApply/2+4*s.delay, qt.IsTrue, qt.Commentf("%s", time.Since(written)))
				time.Sleep(2 * s.delay)
				c.Assert(w.Lease().Valid(time.Now(), partialApply/2), qt.IsTrue)
			})
		})
	}
}

// An entry that is behind reads on without a pause. It reads the newest record of each key
// where more records remain than there are keys.
func TestEntryThatIsBehindReadsOn(t *testing.T) {
	tests := []struct {
		desc    string
		keys    int
		records int
		newest  int
	}{
		{"many records of few keys", 2, 40, 1},
		{"few records of each key", 40, 40, 0},
		{"one answer", 3, 5, 0},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				w, s := newPartialWatcher(t, 30)
				time.Sleep(1300 * time.Millisecond)
				var before int
				s.set(func() { before = s.newestReads })
				for n := range test.records {
					s.put(sequoialead.TopicServers, fmt.Sprintf("s%d", n%test.keys), "draft")
				}
				written := time.Now()
				waitFor(t, "all servers", func() bool { return len(w.Usable(time.Now())) == test.keys })
				// Servers are read each 0.7 s.
				c.Assert(time.Since(written) <= 700*time.Millisecond+3*s.delay, qt.IsTrue, qt.Commentf("%s", time.Since(written)))
				time.Sleep(time.Second)
				s.set(func() { c.Check(s.newestReads-before, qt.Equals, test.newest) })
				c.Assert(w.ServersLease().Valid(time.Now(), time.Second), qt.IsTrue)
			})
		})
	}
}

// A store that tells of records, but returns none, is not asked without a pause, and its
// answers prove nothing.
func TestReadWithoutProgress(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		w, s := newPartialWatcher(t, 3)
		s.set(func() { s.pageLimit, s.reads = -1, 0 })
		s.put(sequoialead.TopicOperator, "config", "2")
		written := time.Now()
		time.Sleep(10 * time.Second)
		age, _ := w.Lease().Age(time.Now())
		c.Assert(age >= time.Since(written), qt.IsTrue, qt.Commentf("%s", age))
		s.set(func() { c.Check(s.reads < 100, qt.IsTrue, qt.Commentf("%d reads in 10 s", s.reads)) })
		s.set(func() { s.pageLimit = 3 })
		time.Sleep(partialApply)
		c.Assert(version(w), qt.Equals, sequoialead.Version(2))
		c.Assert(w.Lease().Valid(time.Now(), partialApply), qt.IsTrue)
	})
}
