package placement_test

import (
	"math"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"sequoialead/core/placement"
)

func start() time.Time { return time.Unix(1000, 0) }

func model() placement.Model {
	return placement.Model{TokenTime: 1.0 / 75000, BaseTime: 0.01, Duration: 1, Utilization: 0.3, Uses: 2, Loss: 1, Left: 2}
}

// The choice between a home that holds 4,900 tokens and an idle server that doesn't. It guards
// against a home that is left for a short wait, and against one that is kept for a long one.
func TestChoiceBetweenHomeAndOther(t *testing.T) {
	tests := []struct {
		desc   string
		change func(m *placement.Model, home, other *placement.Candidate)
		home   bool
	}{
		{"idle", func(*placement.Model, *placement.Candidate, *placement.Candidate) {}, true},
		{"a short wait", func(_ *placement.Model, home, _ *placement.Candidate) { home.Pending = 10000 }, true},
		{"half a second, with time left", func(_ *placement.Model, home, _ *placement.Candidate) { home.Pending = 36000 }, true},
		{"a long wait", func(_ *placement.Model, home, _ *placement.Candidate) { home.Pending = 60000 }, false},
		{"a wait that makes it late", func(m *placement.Model, home, _ *placement.Candidate) { m.Left, home.Pending = 0.4, 36000 }, false},
		{"too late anywhere", func(m *placement.Model, home, other *placement.Candidate) {
			m.Left, home.Pending = 0.05, 10000
			other.Read = 30000
		}, true},
		{"home is three times slower", func(_ *placement.Model, home, _ *placement.Candidate) { home.Pace, home.Read = 3, 6600 }, true},
		{"home is eight times slower", func(_ *placement.Model, home, other *placement.Candidate) {
			home.Pace, home.Read, other.Read = 8, 6600, 11500
		}, false},
		{"all slots are taken", func(_ *placement.Model, home, _ *placement.Candidate) { home.InFlight = 128 }, false},
		{"home fails", func(_ *placement.Model, home, _ *placement.Candidate) { home.Failures = 1 }, false},
		{"home has restarted", func(_ *placement.Model, home, _ *placement.Candidate) { home.Read, home.Kept = 4900, 4900 }, true},
		{"home has restarted, and nobody asks again", func(m *placement.Model, home, other *placement.Candidate) {
			m.Uses, m.Loss = 0, 0
			home.Read, home.Kept, home.Distant, other.Read = 4900, 4900, true, 4900
		}, false},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			m := model()
			home := placement.Candidate{Slots: 64, Pace: 1}
			other := placement.Candidate{Slots: 64, Pace: 1, Read: 4900, Copied: 4900}
			test.change(&m, &home, &other)
			qt.Assert(t, m.Cost(&home) < m.Cost(&other), qt.Equals, test.home, qt.Commentf("home %.3f, other %.3f", m.Cost(&home), m.Cost(&other)))
		})
	}
}

// No observation makes a prediction negative, infinite or not a number.
func TestLearntValuesStayBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var speed placement.Speed
		var pace placement.Pace
		now := start()
		for range rapid.IntRange(0, 200).Draw(t, "observations") {
			tokens, seconds := rapid.Float64Range(0, 1e6).Draw(t, "tokens"), rapid.Float64Range(-1, 1e4).Draw(t, "seconds")
			speed.Observe(tokens, seconds)
			pace.Observe(tokens, seconds, rapid.Float64Range(-1, 10).Draw(t, "typical"), now)
			now = now.Add(time.Duration(rapid.IntRange(0, 90000).Draw(t, "pause")) * time.Millisecond)
			base, perToken := speed.Times()
			factor := pace.Factor(now)
			if !(base >= 0.002) || base > 1e5 || !(perToken >= 1.0/500000) || perToken > 1.0/2000 || !(factor >= 0.3) || factor > 8.001 {
				t.Fatalf("base %g, per token %g, pace %g", base, perToken, factor)
			}
		}
	})
}

func TestSpeedIsLearnt(t *testing.T) {
	c := qt.New(t)
	var speed placement.Speed
	for i := range 400 {
		tokens := float64(i%20) * 1000
		seconds := 0.02 + tokens/50000
		if i%25 == 0 {
			seconds += 5 // stood behind another request
		}
		speed.Observe(tokens, seconds)
	}
	_, perToken := speed.Times()
	c.Assert(perToken > 0.85/50000 && perToken < 1.15/50000, qt.IsTrue, qt.Commentf("%g", 1/perToken))
}

// A pace follows what is observed, and is forgotten, so that an engine that was slow is tried
// again.
func TestPaceIsLearntAndForgotten(t *testing.T) {
	c := qt.New(t)
	var pace placement.Pace
	now := start()
	c.Assert(pace.Factor(now), qt.Equals, 1.0)
	for range 40 {
		now = now.Add(time.Second)
		pace.Observe(8000, 0.6, 0.1, now)
	}
	c.Assert(math.Abs(pace.Factor(now)-6) < 0.5, qt.IsTrue)
	c.Assert(pace.Factor(now.Add(time.Hour)), qt.Equals, 1.0)
	short := placement.Pace{}
	short.Observe(20, 0.6, 0.1, now) // little to read tells little
	c.Assert(short.Factor(now) < 1.01, qt.IsTrue)
}

// A part that many ask for gets more homes, by the demand at all entries, and loses them when
// demand falls. Each of 26 and of 100 entries sees only its part of the demand.
func TestHomesFollowDemand(t *testing.T) {
	for _, entries := range []int{26, 100} {
		c := qt.New(t)
		d := placement.NewDemand()
		now := start()
		play := func(rate float64, seconds int) int {
			pause := time.Duration(float64(entries) / rate * float64(time.Second))
			for until := now.Add(time.Duration(seconds) * time.Second); now.Before(until); now = now.Add(pause) {
				d.Record(1, 0.05, now)
			}
			return d.Homes(1, entries, 8, now)
		}
		c.Assert(d.Homes(1, entries, 8, now), qt.Equals, 1)
		c.Assert(play(2, 30), qt.Equals, 1)
		c.Assert(play(60, 30), qt.Equals, placement.MaxHomes)
		c.Assert(play(2, 60), qt.Equals, 1)
	}
}

// Few requests that come to one entry together are no demand at all entries.
func TestFewRequestsMakeNoHome(t *testing.T) {
	d := placement.NewDemand()
	d.Record(1, 0.05, start())
	d.Record(1, 0.05, start())
	qt.Assert(t, d.Homes(1, 26, 8, start()), qt.Equals, 1)
}

func TestUses(t *testing.T) {
	c := qt.New(t)
	d := placement.NewDemand()
	c.Assert(d.Uses(1, 0, time.Minute, start()), qt.Equals, 0.0) // no other entries
	few := d.Uses(1, 25, time.Minute, start())
	for range 20 {
		d.Record(1, 0.05, start())
	}
	c.Assert(d.Uses(1, 25, time.Minute, start()) > 10*few, qt.IsTrue)
}
