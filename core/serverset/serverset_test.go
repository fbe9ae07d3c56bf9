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
		{"a record makes it usable", func(s *serverset.Set) {}, 0, []string{"s"}},
		{"one that leaves gets nothing", func(s *serverset.Set) {
			s.Apply(serverset.Record{ID: "s", Offset: 2, Server: leaving}, start)
		}, 0, []string{}},
		{"one whose record is dropped gets nothing", func(s *serverset.Set) {
			s.Apply(serverset.Record{ID: "s", Offset: 2}, start)
		}, 0, []string{}},
		{"an older record read late changes nothing", func(s *serverset.Set) {
			s.Apply(serverset.Record{ID: "s", Offset: 3}, start)
			s.Apply(serverset.Record{ID: "s", Offset: 2, Server: server("s")}, start)
		}, 0, []string{}},
		{"a record of another writer changes nothing", func(s *serverset.Set) {
			s.Apply(serverset.Record{ID: "s", Offset: 2, Unreadable: true}, start)
		}, 0, []string{"s"}},
		{"an unreadable record in a whole read keeps what is known", func(s *serverset.Set) {
			s.Replace([]serverset.Record{{ID: "s", Offset: 2, Unreadable: true}}, start)
		}, 0, []string{"s"}},
		{"what a whole read lacks is gone", func(s *serverset.Set) { s.Replace(nil, start) }, 0, []string{}},
		{"what a stale whole read lacked comes back with the same record", func(s *serverset.Set) {
			s.Replace(nil, start)
			s.Replace([]serverset.Record{{ID: "s", Offset: 1, Server: server("s")}}, start)
		}, 0, []string{"s"}},
		{"one that lapsed while the store was unavailable stays usable at first", func(s *serverset.Set) {
			s.StoreFailed()
			s.StoreRead(start)
			s.Apply(serverset.Record{ID: "s", Offset: 2}, start)
		}, 1900 * time.Millisecond, []string{"s"}},
		{"one that lapsed and does not come back is gone", func(s *serverset.Set) {
			s.StoreFailed()
			s.StoreRead(start)
			s.Apply(serverset.Record{ID: "s", Offset: 2}, start)
		}, 2100 * time.Millisecond, []string{}},
		{"one that was leaving when the store became unavailable gets nothing", func(s *serverset.Set) {
			s.Apply(serverset.Record{ID: "s", Offset: 2, Server: leaving}, start)
			s.StoreFailed()
			s.StoreRead(start)
			s.Apply(serverset.Record{ID: "s", Offset: 3}, start)
		}, 0, []string{}},
		{"an evacuated domain gets nothing", func(s *serverset.Set) { s.Evacuate("a", true, 7) }, 0, []string{}},
		{"a domain that is restored gets work", func(s *serverset.Set) {
			s.Evacuate("a", true, 7)
			s.Evacuate("a", false, 8)
		}, 0, []string{"s"}},
		{"an older record of an evacuation changes nothing", func(s *serverset.Set) {
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
