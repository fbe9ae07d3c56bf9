package availability_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"sequoialead"
	"sequoialead/core/availability"
)

const maxHold = time.Minute

func start() time.Time { return time.Unix(1000, 0) }

func TestCheck(t *testing.T) {
	leaving, hold := sequoialead.ServerNotice{Leaving: true}, sequoialead.ServerNotice{HoldOff: 5 * time.Second}
	tests := []struct {
		desc string
		play func(s *availability.Server)
		want availability.Cause
		// later is the cause six seconds after.
		later availability.Cause
	}{
		{"nothing is known", func(*availability.Server) {}, "", ""},
		{"leaving", func(s *availability.Server) { s.RecordNotice(leaving, maxHold, start()) }, availability.CauseLeaving, availability.CauseLeaving},
		{"leaving, and a later answer doesn't say so", func(s *availability.Server) {
			s.RecordNotice(leaving, maxHold, start())
			s.RecordNotice(sequoialead.ServerNotice{}, maxHold, start())
		}, availability.CauseLeaving, availability.CauseLeaving},
		{"wants nothing", func(s *availability.Server) { s.RecordNotice(hold, maxHold, start()) }, availability.CauseHeld, ""},
		{"a shorter time doesn't end a longer one", func(s *availability.Server) {
			s.RecordNotice(hold, maxHold, start())
			s.RecordNotice(sequoialead.ServerNotice{HoldOff: time.Second}, maxHold, start())
		}, availability.CauseHeld, ""},
		{"wants nothing for longer than the bound", func(s *availability.Server) {
			s.RecordNotice(sequoialead.ServerNotice{HoldOff: math.MaxInt64}, 5*time.Second, start())
		}, availability.CauseHeld, ""},
		{"wants nothing for a negative time", func(s *availability.Server) {
			s.RecordNotice(sequoialead.ServerNotice{HoldOff: -time.Second}, maxHold, start())
		}, "", ""},
		{"leaving and wants nothing", func(s *availability.Server) {
			s.RecordNotice(sequoialead.ServerNotice{Leaving: true, HoldOff: time.Second}, maxHold, start())
		}, availability.CauseLeaving, availability.CauseLeaving},
		{"not reached", func(s *availability.Server) { s.RecordUnreachable(start()) }, availability.CauseUnreachable, ""},
		{"not reached, then answered", func(s *availability.Server) {
			s.RecordUnreachable(start())
			s.RecordReached()
		}, "", ""},
		{"over the rate of a cold server", func(s *availability.Server) {
			for range 20 {
				s.RecordSent(start())
			}
		}, availability.CauseCold, ""},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			c := qt.New(t)
			s := availability.New().Get(sequoialead.Server{ID: "s"}, start())
			test.play(s)
			limits := availability.Limits{ColdRate: 10, Current: true}
			c.Assert(s.Check(start().Add(time.Millisecond), limits), qt.Equals, test.want)
			c.Assert(s.Check(start().Add(6*time.Second), limits), qt.Equals, test.later)
		})
	}
}

func TestUnreachableServersAreTriedIfAllAre(t *testing.T) {
	c := qt.New(t)
	s := availability.New().Get(sequoialead.Server{ID: "s"}, start())
	s.RecordUnreachable(start())
	c.Assert(s.Check(start(), availability.Limits{IgnoreUnreachable: true}), qt.Equals, availability.CauseNone)
	s.RecordNotice(sequoialead.ServerNotice{Leaving: true}, maxHold, start())
	c.Assert(s.Check(start(), availability.Limits{IgnoreUnreachable: true}), qt.Equals, availability.CauseLeaving)
}

func TestRecordNoticeTellsNews(t *testing.T) {
	c := qt.New(t)
	s := availability.New().Get(sequoialead.Server{ID: "s"}, start())
	record := func(n sequoialead.ServerNotice, at time.Duration) bool {
		return s.RecordNotice(n, maxHold, start().Add(at))
	}
	c.Assert(record(sequoialead.ServerNotice{}, 0), qt.IsFalse)
	c.Assert(record(sequoialead.ServerNotice{HoldOff: time.Second}, 0), qt.IsTrue)
	c.Assert(record(sequoialead.ServerNotice{HoldOff: time.Second}, 500*time.Millisecond), qt.IsFalse)
	c.Assert(record(sequoialead.ServerNotice{HoldOff: time.Second}, 2*time.Second), qt.IsTrue)
	c.Assert(record(sequoialead.ServerNotice{Leaving: true}, 2*time.Second), qt.IsTrue)
	c.Assert(record(sequoialead.ServerNotice{Leaving: true}, 2*time.Second), qt.IsFalse)
}

// After a hold the requests that waited don't all go at once.
func TestCapacityRisesAfterAHold(t *testing.T) {
	c := qt.New(t)
	s := availability.New().Get(sequoialead.Server{ID: "s"}, start())
	c.Assert(s.Capacity(20, start()), qt.Equals, 20)
	s.RecordNotice(sequoialead.ServerNotice{HoldOff: time.Second}, maxHold, start())
	last := 0
	for at := time.Second; at <= 2*time.Second; at += 100 * time.Millisecond {
		now := s.Capacity(20, start().Add(at))
		c.Assert(now >= max(last, 1) && now <= 20, qt.IsTrue)
		last = now
	}
	c.Assert(s.Capacity(20, start().Add(time.Second)), qt.Equals, 1)
	c.Assert(last, qt.Equals, 20)
}

func TestRegister(t *testing.T) {
	c := qt.New(t)
	r := availability.New()
	first := sequoialead.Server{ID: "s", StartedAt: start()}
	again := sequoialead.Server{ID: "s", StartedAt: start().Add(time.Minute)}
	r.Get(first, start()).RecordNotice(sequoialead.ServerNotice{Leaving: true}, maxHold, start())
	for range 20 {
		r.Get(first, start()).RecordSent(start())
	}
	c.Assert(r.Get(sequoialead.Server{ID: "other", StartedAt: start()}, start()).Leaving(), qt.IsFalse)
	c.Assert(r.Get(again, start()).Leaving(), qt.IsFalse)
	c.Assert(r.Get(again, start()).Check(start(), availability.Limits{ColdRate: 10}), qt.Equals, availability.CauseCold) // the rate holds across a restart
	r.Prune(start().Add(10 * time.Minute))
	c.Assert(r.Get(first, start().Add(10*time.Minute)).Leaving(), qt.IsTrue)
	r.Prune(start().Add(time.Hour))
	c.Assert(r.Get(first, start().Add(time.Hour)).Leaving(), qt.IsFalse)
}

// Whatever a server says and however often, nothing is sent to it from its word on until the
// latest time that it gave, or ever if it is leaving.
func TestNothingIsSentAgainstANotice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := availability.New().Get(sequoialead.Server{ID: "s"}, start())
		now, until, leaving := start(), time.Time{}, false
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "pause")) * time.Millisecond)
			if s.Check(now, availability.Limits{IgnoreUnreachable: rapid.Bool().Draw(t, "all unreachable")}) == availability.CauseNone {
				if leaving || now.Before(until) {
					t.Fatalf("sent at %v: leaving %v, held until %v", now.Sub(start()), leaving, until.Sub(start()))
				}
				s.RecordSent(now)
			}
			switch rapid.SampledFrom([]string{"hold", "leave", "fail", "answer", "none", "none"}).Draw(t, "event") {
			case "hold":
				hold := time.Duration(rapid.IntRange(0, 9000).Draw(t, "hold")) * time.Millisecond
				s.RecordNotice(sequoialead.ServerNotice{HoldOff: hold}, maxHold, now)
				if hold > 0 && now.Add(hold).After(until) {
					until = now.Add(hold)
				}
			case "leave":
				leaving = leaving || rapid.IntRange(0, 9).Draw(t, "leaves") == 0
				s.RecordNotice(sequoialead.ServerNotice{Leaving: leaving}, maxHold, now)
			case "fail":
				s.RecordUnreachable(now)
			case "answer":
				s.RecordReached()
			}
		}
	})
}

func BenchmarkCheckOf180Servers(b *testing.B) {
	r := availability.New()
	var servers []*availability.Server
	for i := range 180 {
		s := r.Get(sequoialead.Server{ID: fmt.Sprint(i)}, start())
		if i%10 == 0 {
			s.RecordNotice(sequoialead.ServerNotice{HoldOff: time.Hour}, time.Hour, start())
		}
		servers = append(servers, s)
	}
	b.ReportAllocs()
	for b.Loop() {
		for _, s := range servers {
			s.Check(start(), availability.Limits{Current: true})
		}
	}
}
