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

// newEraWatcher returns a watcher named name that has read version 1 from a store.
func newEraWatcher(t *testing.T, name string, s sequoialead.Store, m watch.Relay) *watch.Watcher {
	t.Helper()
	w := watch.New(watch.Options{
		Self: membership.Member{Name: name}, Store: s, Relay: m, Decoder: decoder{}, Log: logfmt.New(io.Discard, 0, time.Now), Metrics: metrics.NewSet(),
		Now: time.Now, Apply: eraApply, Revoke: eraRevoke, Drain: eraDrain, AssumedEntries: 1, OnChange: func() {},
	})
	qt.Assert(t, w.Start(context.Background()), qt.IsNil)
	t.Cleanup(func() { qt.Assert(t, w.Close(), qt.IsNil) })
	waitFor(t, "the first version", func() bool { return version(w) > 0 && len(w.Usable(time.Now())) > 0 })
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
