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
