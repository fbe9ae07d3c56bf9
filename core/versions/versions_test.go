package versions_test

import (
	"io"
	"slices"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	qt "github.com/frankban/quicktest"

	"sequoialead"
	"sequoialead/common/logfmt"
	"sequoialead/core/membership"
	"sequoialead/core/rollout"
	"sequoialead/core/serverset"
	"sequoialead/core/versions"
)

// site is one entry with the servers of one pool.
type site struct {
	v       *versions.Versions
	now     time.Time
	servers []serverset.Member
	readAt  time.Time
}

func newSite(entry string) *site {
	s := &site{now: time.Unix(1000, 0)}
	s.v = versions.New(versions.Options{
		Entry: entry, Bounds: rollout.Bounds{Share: 0.1, Slack: 50}, Log: logfmt.New(io.Discard, 0, time.Now), Metrics: metrics.NewSet(),
		Now: func() time.Time { return s.now }, Wall: func() time.Time { return s.now }, Random: func() float64 { return 0.5 },
	})
	return s
}

func server(id, version string) sequoialead.Server {
	return sequoialead.Server{ID: id, Pool: "desk", Domain: "a", Version: version}
}

func (s *site) add(id, version string) {
	s.servers = append(s.servers, serverset.Member{Server: server(id, version)})
}

func (s *site) update(after time.Duration) {
	s.now = s.now.Add(after)
	s.v.Update(versions.View{Servers: map[string][]serverset.Member{"desk": s.servers}, Members: []membership.Member{{Name: "e"}}, OperatorReadAt: s.readAt})
}

// served returns the versions that the next request may go to, in the order of preference.
func (s *site) served() []string {
	var all []string
	filters := s.v.Preference("desk", false)
	if len(filters) == 0 {
		filters = []func(string) bool{func(string) bool { return true }}
	}
	for _, filter := range filters {
		for _, version := range []string{"", "v1", "v2", "v3"} {
			if filter(version) && !slices.Contains(all, version) {
				all = append(all, version)
			}
		}
	}
	return all
}

// TestNewVersionWaitsForTheOrder guards against requests to servers that appear a moment
// before their order is read, and against versions that are left out without an order.
func TestNewVersionWaitsForTheOrder(t *testing.T) {
	c := qt.New(t)
	s := newSite("e")
	s.add("s1", "v1")
	s.add("s0", "")
	s.readAt = s.now
	s.update(0)
	c.Assert(s.v.Preference("desk", false), qt.HasLen, 0)
	s.add("s2", "v2")
	s.update(time.Second)
	c.Assert(s.served(), qt.DeepEquals, []string{"", "v1", "v3"})
	s.readAt = s.now.Add(time.Millisecond)
	s.update(time.Second)
	c.Assert(s.v.Preference("desk", false), qt.HasLen, 0) // no order came: all versions are served
}

// TestFinalStateBinds guards against requests to a version that was rolled back: from an
// entry that starts afterwards, and during the next order.
func TestFinalStateBinds(t *testing.T) {
	c := qt.New(t)
	s := newSite("e")
	s.add("s1", "v1")
	s.add("s2", "v2")
	s.update(0)
	order := sequoialead.RolloutOrder{Pool: "desk", Target: "v2", Duration: 12 * time.Second}
	s.v.ApplyOrder("desk", &order, s.now, false)
	c.Assert(s.served(), qt.DeepEquals, []string{"", "v1", "v3"}) // the status was not read yet
	c.Assert(s.v.Active(), qt.IsTrue)
	s.v.ApplyStatus("desk", "v2", "rolled_back")
	s.v.StatusRead()
	c.Assert(s.v.Active(), qt.IsFalse)
	s.v.ApplyStatus("desk", "v2", "completed") // never changes
	s.v.StatusRead()
	s.v.ApplyOrder("desk", &order, s.now, true) // the same order
	c.Assert(s.served(), qt.DeepEquals, []string{"", "v1", "v3"})
	c.Assert(s.v.Wanted(), qt.HasLen, 0)

	order.Target = "v3"
	s.v.ApplyOrder("desk", &order, s.now, true)
	s.v.StatusRead()
	s.update(time.Second)
	c.Assert(s.v.Active(), qt.IsTrue)
	c.Assert(s.served(), qt.DeepEquals, []string{"", "v1"}) // v2 may be there for some seconds
	s.v.ApplyStatus("desk", "v3", "completed")
	s.v.StatusRead()
	c.Assert(s.served(), qt.DeepEquals, []string{"v3", "", "v1"})
	s.v.ApplyOrder("desk", nil, time.Time{}, true)
	c.Assert(s.v.Preference("desk", false), qt.HasLen, 0)
}

// TestRestartKeepsCounts guards against an entry that forgets what a bad version got before
// the entry restarted, and when the order was given.
func TestRestartKeepsCounts(t *testing.T) {
	c := qt.New(t)
	s := newSite("e")
	order := sequoialead.RolloutOrder{Pool: "desk", Target: "v2", Duration: 12 * time.Second}
	s.v.ApplyOrder("desk", &order, s.now, true)
	s.v.StatusRead()
	for i := range 20 {
		target := server("s2", "v2")
		if i%2 == 0 {
			target = server("s3", "v2")
		}
		s.v.Sent("desk", target)
		s.v.Ended("desk", "check", target, 1, 1, 1)
	}
	record, err := s.v.Record()
	c.Assert(err, qt.IsNil)

	restarted := newSite("e")
	restarted.now = s.now.Add(9 * time.Second)
	restarted.add("s1", "v1")
	restarted.add("s2", "v2")
	restarted.add("s3", "v2")
	restarted.v.ApplyOrder("desk", &order, restarted.now, false)
	c.Assert(restarted.v.ApplyReport("e", record), qt.IsNil)
	restarted.v.ReportsRead()
	restarted.v.StatusRead()
	restarted.update(0)
	c.Assert(restarted.v.Wanted(), qt.DeepEquals, map[string][2]string{"desk": {"v2", "rolled_back"}})
	c.Assert(restarted.served(), qt.DeepEquals, []string{"", "v1", "v3"})
}

// TestOddReportsAreRefused guards against records of other writers that would crash an entry.
func TestOddReportsAreRefused(t *testing.T) {
	c := qt.New(t)
	s := newSite("e")
	c.Assert(s.v.ApplyReport("other", []byte("nonsense")), qt.IsNotNil)
	c.Assert(s.v.ApplyReport("other", []byte{0xa1, 0x61, 'a', 0xf6}), qt.IsNotNil) // {"a": null}
	c.Assert(s.v.ApplyReport("other", nil), qt.IsNil)
}

// Guards against the state of an order that the operator never reads again, because the store
// lost it after it was written.
func TestLostStateIsWrittenAgain(t *testing.T) {
	tests := []struct {
		desc string
		// known is the state before the store lost it, and copied what is read afterwards.
		known, copiedTarget, copied string
		want                        string
	}{
		{"completed, nothing in the copy", "completed", "", "", "completed"},
		{"completed, running in the copy", "completed", "v2", "running", "completed"},
		{"rolled back, an earlier order in the copy", "rolled_back", "v1", "completed", "rolled_back"},
		{"completed in the copy", "completed", "v2", "completed", ""},
		{"running, nothing in the copy", "running", "", "", "running"},
		{"running in the copy", "running", "v2", "running", ""},
		{"completed by another entry", "running", "v2", "completed", ""},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			c := qt.New(t)
			s := newSite("e")
			s.add("s1", "v1")
			s.add("s2", "v2")
			order := &sequoialead.RolloutOrder{Pool: "desk", Target: "v2", Duration: time.Minute}
			s.v.ApplyOrder("desk", order, s.now, true)
			s.v.ApplyStatus("desk", "v2", test.known)
			s.v.StatusRead()
			s.update(time.Second)
			c.Assert(s.v.Wanted(), qt.HasLen, 0)

			s.v.StatusLost()
			s.update(10 * time.Millisecond)
			c.Assert(s.v.Wanted(), qt.HasLen, 0) // the status has to be read first
			c.Assert(s.v.Active(), qt.IsTrue)
			if test.copiedTarget != "" {
				s.v.ApplyStatus("desk", test.copiedTarget, test.copied)
			}
			s.v.StatusRead()
			s.update(time.Second)
			if test.want == "" {
				c.Assert(s.v.Wanted(), qt.HasLen, 0)
				return
			}
			c.Assert(s.v.Wanted(), qt.DeepEquals, map[string][2]string{"desk": {"v2", test.want}})
			s.v.ApplyStatus("desk", "v2", test.want)
			s.v.StatusRead()
			c.Assert(s.v.Wanted(), qt.HasLen, 0)
			c.Assert(s.v.Active(), qt.Equals, test.want == "running")
		})
	}
}
