package watch_test

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"sequoialead"
	"sequoialead/core/protocol"
	"sequoialead/core/watch"
)

// Guards against requests to an evacuated domain after the store came back from a copy that
// lacks the evacuation, until the operator has written it again. One that the operator doesn't
// write again ends.
func TestEvacuationOutlivesReturn(t *testing.T) {
	tests := []struct {
		desc string
		// after is done one second after the return.
		after func(s *store)
		// usable is set if the domain is in use three seconds, and later if it is in use two
		// minutes after the return.
		usable, later bool
	}{
		{"not written again", func(*store) {}, false, true},
		{"written again", func(s *store) { s.put(sequoialead.TopicOperator, "out/a", "{}") }, false, false},
		{"taken back", func(s *store) { s.put(sequoialead.TopicOperator, "out/a", "") }, true, true},
		{"written again and taken back", func(s *store) {
			s.put(sequoialead.TopicOperator, "out/a", "{}")
			s.put(sequoialead.TopicOperator, "out/a", "")
		}, true, true},
		{"another return", func(s *store) { s.restore(s.snapshot()) }, false, true},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				s := newEraStore()
				w := newEraWatcher(t, "e", s, &siblings{})
				older := s.snapshot()
				s.put(sequoialead.TopicOperator, "out/a", "{}")
				time.Sleep(eraApply)
				c.Assert(w.Usable(time.Now()), qt.HasLen, 0)
				s.restore(older)
				for range 100 {
					time.Sleep(10 * time.Millisecond)
					c.Assert(w.Usable(time.Now()), qt.HasLen, 0)
				}
				test.after(s)
				time.Sleep(eraApply)
				c.Check(len(w.Usable(time.Now())) == 1, qt.Equals, test.usable)
				time.Sleep(2 * time.Minute)
				c.Check(len(w.Usable(time.Now())) == 1, qt.Equals, test.later)
			})
		})
	}
}

// An evacuation that the copy still has is in force until the operator takes it back again.
func TestEvacuationInOlderCopy(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s := newEraStore()
		w := newEraWatcher(t, "e", s, &siblings{})
		s.put(sequoialead.TopicOperator, "out/a", "{}")
		older := s.snapshot()
		s.put(sequoialead.TopicOperator, "out/a", "")
		time.Sleep(eraApply)
		c.Assert(w.Usable(time.Now()), qt.HasLen, 1)
		s.restore(older)
		time.Sleep(eraApply)
		c.Check(w.Usable(time.Now()), qt.HasLen, 0)
		s.put(sequoialead.TopicOperator, "out/a", "")
		time.Sleep(eraApply)
		c.Check(w.Usable(time.Now()), qt.HasLen, 1)
	})
}

// A version that the copy lacks stays in force, also where an older one is read there.
func TestOlderCopyDoesNotUndoVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s := newEraStore()
		w := newEraWatcher(t, "e", s, &siblings{})
		older := s.snapshot()
		s.put(sequoialead.TopicOperator, "config", "3")
		time.Sleep(eraApply)
		s.restore(older)
		for range 300 {
			time.Sleep(10 * time.Millisecond)
			c.Assert(version(w), qt.Equals, sequoialead.Version(3))
			c.Assert(w.Lease().Valid(time.Now(), eraApply), qt.IsTrue)
		}
		s.put(sequoialead.TopicOperator, "config", "2") // the operator may write an older one, which isn't in force
		time.Sleep(eraApply)
		c.Check(version(w), qt.Equals, sequoialead.Version(3))
	})
}

// Guards against a key that is accepted again, and servers of an evacuated domain that are
// used again, by an entry that hasn't read the operator's records before the store lost them:
// one that starts after the return, or one that was cut off before it. As long as another
// entry knows them, it must not take the copy for current.
func TestEntryThatKnowsOnlyTheCopy(t *testing.T) {
	tests := []struct {
		desc string
		// begin starts the entry before the return, or leaves that to later.
		begin func(t *testing.T, s *store, m *siblings) *watch.Watcher
	}{
		{"started after the return", func(*testing.T, *store, *siblings) *watch.Watcher { return nil }},
		{"cut off before the return", func(t *testing.T, s *store, m *siblings) *watch.Watcher {
			w := newEraWatcher(t, "f", s, m)
			time.Sleep(eraApply)
			s.set(func() { s.down = true })
			m.lose(true)
			return w
		}},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				stores := []*store{newEraStore(), newEraStore()}
				for _, s := range stores {
					s.put(sequoialead.TopicServers, "t", "other")
				}
				put := func(key, value string) {
					for _, s := range stores {
						s.put(sequoialead.TopicOperator, key, value)
					}
				}
				knows := newEraWatcher(t, "e", stores[0], &siblings{})
				for time.Sleep(time.Second); len(stores[1].snapshot()[sequoialead.TopicEntries]) == 0; {
					for _, item := range stores[0].snapshot()[sequoialead.TopicEntries] {
						stores[1].put(sequoialead.TopicEntries, item.Key, string(item.Value))
					}
				}
				m := &siblings{others: map[string]*watch.Watcher{"e": knows}}
				w := test.begin(t, stores[1], m)
				older := []map[sequoialead.Topic][]sequoialead.Item{stores[0].snapshot(), stores[1].snapshot()}
				put("config", "3")
				put("out/a", "{}")
				time.Sleep(eraApply)
				c.Assert(version(knows), qt.Equals, sequoialead.Version(3))
				for i, s := range stores {
					s.restore(older[i])
				}
				time.Sleep(eraApply)
				c.Assert(version(knows), qt.Equals, sequoialead.Version(3))

				if w == nil {
					w = startEraWatcher(t, "f", stores[1], m)
				}
				stores[1].set(func() { stores[1].down = false })
				m.lose(false)
				returned := time.Now()
				for time.Since(returned) < 3*time.Second {
					time.Sleep(time.Millisecond)
					if age, known := w.Lease().Age(time.Now()); known && age < time.Since(returned) {
						c.Assert(version(w), qt.Equals, sequoialead.Version(3))
						c.Assert(w.Usable(time.Now()), qt.HasLen, 0)
					}
				}
				c.Assert(w.Lease().Valid(time.Now(), eraApply), qt.IsTrue)

				// The entry that has asked can be asked in its turn.
				kept := w.RecordsSince(protocol.RecordsRequest{Topic: sequoialead.TopicOperator, Era: 2, Version: 1}).Kept
				c.Check(kept, qt.HasLen, 2)
				kept = w.RecordsSince(protocol.RecordsRequest{Topic: sequoialead.TopicOperator, Era: 2, Version: 3}).Kept
				c.Check(kept, qt.HasLen, 1)
				put("config", "3")
				put("out/a", "{}")
				time.Sleep(eraApply)
				kept = w.RecordsSince(protocol.RecordsRequest{Topic: sequoialead.TopicOperator, Era: 2, Version: 1}).Kept
				c.Check(kept, qt.HasLen, 0)
				put("out/a", "")
				put("config", "4")
				time.Sleep(eraApply)
				c.Check(version(w), qt.Equals, sequoialead.Version(4))
				c.Check(w.Usable(time.Now()), qt.HasLen, 2)
			})
		})
	}
}

// An entry whose neighbours don't answer waits for them only for a moment.
func TestSilentEntriesDelayStartForMoment(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s := newEraStore()
		first := newEraWatcher(t, "e", s, &siblings{})
		time.Sleep(time.Second)
		c.Assert(first.Close(), qt.IsNil)
		startedAt := time.Now()
		w := startEraWatcher(t, "f", s, &siblings{})
		waitFor(t, "a valid lease", func() bool { return w.Lease().Valid(time.Now(), eraApply) })
		c.Check(time.Since(startedAt) <= 600*time.Millisecond, qt.IsTrue, qt.Commentf("%s", time.Since(startedAt)))
	})
}

// An entry whose neighbours couldn't be asked at first learns of a newer version from the one
// that reads for the others. Records that it has read itself go before those of a neighbour.
func TestKeptRecordsComeWithOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		stores := []*store{newEraStore(), newEraStore()}
		put := func(key, value string) {
			for _, s := range stores {
				s.put(sequoialead.TopicOperator, key, value)
			}
		}
		knows := newEraWatcher(t, "e", stores[0], &siblings{isReader: true})
		m := &siblings{reader: knows}
		w := newEraWatcher(t, "f", stores[1], m)
		put("out/a", "{}")
		time.Sleep(eraApply)
		older := stores[0].snapshot()
		put("out/a", "")
		time.Sleep(eraApply)
		m.lose(true)
		stores[0].put(sequoialead.TopicOperator, "config", "4")
		for version(knows) != 4 {
			time.Sleep(time.Millisecond)
		}
		for _, s := range stores {
			s.restore(older)
		}
		m.lose(false)
		time.Sleep(2 * eraApply) // one read tells of the return, and the next one is relayed
		c.Check(version(w), qt.Equals, sequoialead.Version(4))
		put("out/a", "")
		time.Sleep(eraApply)
		c.Check(w.Usable(time.Now()), qt.HasLen, 1)
	})
}
