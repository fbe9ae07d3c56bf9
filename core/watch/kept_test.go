package watch_test

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"sequoialead"
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
