package serverset_test

import (
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"sequoialead"
	"sequoialead/core/serverset"
)

func server(id string) *sequoialead.Server {
	return &sequoialead.Server{ID: id, Pool: "draft", Domain: "a", Slots: 1}
}

func usable(s *serverset.Set, now time.Time) []string {
	ids := []string{}
	for _, e := range s.Usable(now) {
		ids = append(ids, e.Server.ID)
	}
	slices.Sort(ids)
	return ids
}

func TestUsable(t *testing.T) {
	start := time.Unix(100, 0)
	leaving := server("s")
	leaving.Leaving = true
	tests := []struct {
		desc string
		do   func(s *serverset.Set)
		at   time.Duration
		want []string
	}{
		{"a listed server is usable", func(s *serverset.Set) {}, 0, []string{"s"}},
		{"a leaving server is not usable", func(s *serverset.Set) {
			s.Apply(serverset.Record{ID: "s", Offset: 2, Server: leaving}, start)
		}, 0, []string{}},
		{"a server whose record is deleted is not usable", func(s *serverset.Set) {
			s.Apply(serverset.Record{ID: "s", Offset: 2}, start)
		}, 0, []string{}},
		{"an older record that is read late changes nothing", func(s *serverset.Set) {
			s.Apply(serverset.Record{ID: "s", Offset: 3}, start)
			s.Apply(serverset.Record{ID: "s", Offset: 2, Server: server("s")}, start)
		}, 0, []string{}},
		{"an unreadable record changes nothing", func(s *serverset.Set) {
			s.Apply(serverset.Record{ID: "s", Offset: 2, Unreadable: true}, start)
		}, 0, []string{"s"}},
		{"an unreadable record in a complete read keeps the server", func(s *serverset.Set) {
			s.Replace([]serverset.Record{{ID: "s", Offset: 2, Unreadable: true}}, start)
		}, 0, []string{"s"}},
		{"a server missing from a complete read is gone", func(s *serverset.Set) { s.Replace(nil, start) }, 0, []string{}},
		{"a server missing from a stale complete read comes back with the same record", func(s *serverset.Set) {
			s.Replace(nil, start)
			s.Replace([]serverset.Record{{ID: "s", Offset: 1, Server: server("s")}}, start)
		}, 0, []string{"s"}},
		{"a server that lapsed while the store was unavailable stays usable at first", func(s *serverset.Set) {
			s.StoreFailed()
			s.StoreRead(start)
			s.Apply(serverset.Record{ID: "s", Offset: 2}, start)
		}, 1900 * time.Millisecond, []string{"s"}},
		{"a lapsed server that does not come back is gone", func(s *serverset.Set) {
			s.StoreFailed()
			s.StoreRead(start)
			s.Apply(serverset.Record{ID: "s", Offset: 2}, start)
		}, 2100 * time.Millisecond, []string{}},
		{"a server that was leaving when the store became unavailable is not usable", func(s *serverset.Set) {
			s.Apply(serverset.Record{ID: "s", Offset: 2, Server: leaving}, start)
			s.StoreFailed()
			s.StoreRead(start)
			s.Apply(serverset.Record{ID: "s", Offset: 3}, start)
		}, 0, []string{}},
		{"a server in an evacuated domain is not usable", func(s *serverset.Set) { s.Evacuate("a", true, 7) }, 0, []string{}},
		{"a server is usable after the evacuation of its domain", func(s *serverset.Set) {
			s.Evacuate("a", true, 7)
			s.Evacuate("a", false, 8)
		}, 0, []string{"s"}},
		{"an older evacuation record changes nothing", func(s *serverset.Set) {
			s.Evacuate("a", false, 8)
			s.Evacuate("a", true, 7)
		}, 0, []string{"s"}},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			c := qt.New(t)
			s := serverset.New()
			s.Apply(serverset.Record{ID: "s", Offset: 1, Server: server("s")}, start)
			test.do(s)
			c.Assert(usable(s, start.Add(test.at)), qt.DeepEquals, test.want)
		})
	}
}

// Guards against records that are left out because their offsets are below those from before
// the store came back from an older copy, and against records of the copy that undo what is
// known.
func TestUsableAfterRestart(t *testing.T) {
	start := time.Unix(100, 0)
	record := func(offset uint64, change func(s *sequoialead.Server)) serverset.Record {
		s := server("s")
		s.StartedAt = time.Unix(50, 0)
		change(s)
		return serverset.Record{ID: "s", Offset: offset, Server: s}
	}
	ready := func(*sequoialead.Server) {}
	leaving := func(s *sequoialead.Server) { s.Leaving = true }
	startedAt := func(seconds int64) func(*sequoialead.Server) {
		return func(s *sequoialead.Server) { s.StartedAt = time.Unix(seconds, 0) }
	}
	gone := serverset.Record{ID: "s", Offset: 9}
	tests := []struct {
		desc string
		// known is applied before the return, copied is read after it, and later holds the
		// records that follow.
		known  []serverset.Record
		copied []serverset.Record
		later  []serverset.Record
		at     time.Duration
		want   []string
	}{
		{"a server is used through the return", nil, []serverset.Record{record(2, ready)}, nil, 0, []string{"s"}},
		{"leaving at a lower offset", nil, []serverset.Record{record(2, ready)}, []serverset.Record{record(3, leaving)}, 0, []string{}},
		{"deleted at a lower offset", nil, []serverset.Record{record(2, ready)}, []serverset.Record{{ID: "s", Offset: 3}}, settled, []string{}},
		{"leaving in the copy", nil, []serverset.Record{record(2, leaving)}, nil, 0, []string{}},
		{"unreadable in the copy", nil, []serverset.Record{{ID: "s", Offset: 2, Unreadable: true}}, nil, 0, []string{"s"}},
		{"leaving at offset 0", nil, nil, []serverset.Record{record(0, leaving)}, 0, []string{}},
		{"not in the copy yet", nil, nil, nil, settled - 200*time.Millisecond, []string{"s"}},
		{"not in the copy and not written again", nil, nil, nil, settled, []string{}},
		{"not in the copy and written again", nil, nil, []serverset.Record{record(2, ready)}, settled, []string{"s"}},
		{"the copy doesn't know that it leaves", []serverset.Record{record(9, leaving)}, []serverset.Record{record(2, ready)}, nil, time.Minute, []string{}},
		{"not in the copy and leaving", []serverset.Record{record(9, leaving)}, nil, nil, 0, []string{}},
		{"the copy lists a server that is gone", []serverset.Record{gone}, []serverset.Record{record(2, ready)}, nil, settled, []string{}},
		{"a server that was gone writes its record again", []serverset.Record{gone}, []serverset.Record{record(2, ready)}, []serverset.Record{record(3, ready)}, 0, []string{"s"}},
		{"a server that was gone has written once, before the read", []serverset.Record{gone}, []serverset.Record{record(2, ready)}, nil, 11 * time.Second, []string{"s"}},
		{"a server that was gone expires in the copy", []serverset.Record{gone}, []serverset.Record{record(2, ready)}, []serverset.Record{{ID: "s", Offset: 3}}, 11 * time.Second, []string{}},
		{"the copy lists a server that left", []serverset.Record{record(9, leaving), {ID: "s", Offset: 10}}, []serverset.Record{record(2, ready)}, nil, 11 * time.Second, []string{}},
		{"the copy lists an earlier process", []serverset.Record{record(9, startedAt(60))}, []serverset.Record{record(2, leaving)}, nil, 0, []string{"s"}},
		{"the copy lists an earlier process of a server that left", []serverset.Record{record(9, startedAt(60)), record(10, func(s *sequoialead.Server) { s.StartedAt, s.Leaving = time.Unix(60, 0), true })}, []serverset.Record{record(2, ready)}, nil, time.Minute, []string{}},
		{"started again since", []serverset.Record{gone}, []serverset.Record{record(2, startedAt(60))}, nil, 0, []string{"s"}},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			c := qt.New(t)
			s := serverset.New()
			s.Apply(record(8, ready), start)
			for _, rec := range test.known {
				s.Apply(rec, start)
			}
			for range 2 { // the store comes back twice
				s.Restart(start)
				s.Replace(test.copied, start)
			}
			for _, rec := range test.later {
				s.Apply(rec, start)
			}
			c.Assert(usable(s, start.Add(test.at)), qt.DeepEquals, test.want)
		})
	}
}

// settled is after the time in which running servers are listed again.
const settled = 2100 * time.Millisecond

// A server that has deleted its record is remembered from then on, also if it wrote it long
// before.
func TestGoneServerIsRemembered(t *testing.T) {
	c := qt.New(t)
	start := time.Unix(1000, 0)
	s := serverset.New()
	s.Apply(serverset.Record{ID: "s", Offset: 1, Server: server("s")}, start.Add(-10*time.Minute))
	s.Apply(serverset.Record{ID: "s", Offset: 2}, start)
	c.Assert(usable(s, start), qt.DeepEquals, []string{})
	s.Restart(start.Add(time.Second))
	s.Replace([]serverset.Record{{ID: "s", Offset: 1, Server: server("s")}}, start.Add(time.Second))
	c.Assert(usable(s, start.Add(time.Second)), qt.DeepEquals, []string{})
}

// The time that a server stays cold doesn't begin again with a record of an older copy.
func TestColdTimeAfterRestart(t *testing.T) {
	c := qt.New(t)
	start := time.Unix(100, 0)
	cold := server("s")
	cold.ColdLeft = 5 * time.Second
	s := serverset.New()
	s.Apply(serverset.Record{ID: "s", Offset: 1, Server: cold}, start)
	now := start.Add(3 * time.Second)
	s.Restart(now)
	s.Replace([]serverset.Record{{ID: "s", Offset: 1, Server: cold}}, now)
	members := s.Usable(now)
	c.Assert(members, qt.HasLen, 1)
	c.Assert(members[0].ReadAt.Add(members[0].Server.ColdLeft), qt.Equals, start.Add(5*time.Second))
}
