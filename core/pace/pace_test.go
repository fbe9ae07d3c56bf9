package pace_test

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"sequoialead/core/pace"
)

func start() time.Time { return time.Unix(1000, 0) }

func at(ms int) time.Time { return start().Add(time.Duration(ms) * time.Millisecond) }

// machine returns a tracker of a machine's figure, and engine one of a server's own times.
func machine() *pace.Tracker {
	return pace.New(pace.Options{Smoothing: 200 * time.Millisecond, Memory: 6 * time.Second, Level: time.Minute})
}

func engine() *pace.Tracker {
	return pace.New(pace.Options{Smoothing: 2 * time.Second, Memory: 15 * time.Second})
}

func near(c *qt.C, got, want float64) {
	c.Helper()
	c.Assert(math.Abs(got-want) < 0.05*want, qt.IsTrue, qt.Commentf("got %v, want %v", got, want))
}

func TestUnknownIsUsual(t *testing.T) {
	c := qt.New(t)
	c.Assert(machine().At(start()), qt.Equals, 1.0)
	c.Assert(machine().Known(start()), qt.IsFalse)
}

// Values that can't be factors change nothing, and extreme ones are bounded.
func TestBadObservations(t *testing.T) {
	c := qt.New(t)
	for _, bad := range []float64{0, -1, math.NaN(), math.Inf(1), math.Inf(-1)} {
		tracker := machine()
		tracker.Record(bad, at(0))
		c.Assert(tracker.At(at(1)), qt.Equals, 1.0, qt.Commentf("%v", bad))
		tracker.Record(2, at(100))
		tracker.Record(bad, at(200))
		near(c, tracker.At(at(200)), 2)
	}
	for value, want := range map[float64]float64{1e9: 8, 1e-9: 0.25} {
		tracker := machine()
		tracker.Record(value, at(0))
		near(c, tracker.At(at(0)), want)
	}
}

// The mean of a noisy figure is estimated, and a new level within a second.
func TestNoisyFigure(t *testing.T) {
	c := qt.New(t)
	random := rand.New(rand.NewPCG(1, 1))
	tracker := machine()
	worst := 0.0
	for ms := 0; ms < 20_000; ms += 20 {
		level := 1.0
		if ms >= 10_000 {
			level = 3
		}
		tracker.Record(level*math.Exp(0.4*random.NormFloat64()), at(ms))
		if ms > 2_000 && (ms < 10_000 || ms > 11_000) {
			worst = max(worst, math.Abs(math.Log(tracker.At(at(ms))/level)))
		}
	}
	c.Assert(worst < math.Log(1.6), qt.IsTrue, qt.Commentf("off by a factor of %.2f", math.Exp(worst)))
}

// Without new observations, the estimate of a machine returns to its level, and that of a
// server's own times to one, so that a server is not avoided for long for one of them.
func TestObservationsAge(t *testing.T) {
	c := qt.New(t)
	busy := machine()
	for ms := 0; ms < 300_000; ms += 500 {
		busy.Record(2, at(ms))
	}
	busy.Record(8, at(300_400))
	c.Assert(busy.At(at(300_400)) > 5, qt.IsTrue)
	near(c, busy.At(at(320_400)), busy.At(at(321_400)))
	c.Assert(busy.At(at(325_400)) < 2.1, qt.IsTrue)
	c.Assert(busy.Known(at(325_400)), qt.IsFalse)
	c.Assert(busy.At(at(900_000)) < 1.05, qt.IsTrue)
	slow := engine()
	slow.Record(8, at(0))
	near(c, slow.At(at(0)), 8)
	c.Assert(slow.At(at(60_000)) < 1.05, qt.IsTrue)
}

// Observations of one moment, such as those of answers that come together, count once.
func TestObservationsOfOneMoment(t *testing.T) {
	c := qt.New(t)
	tracker := machine()
	tracker.Record(1.5, at(0))
	for range 100 {
		tracker.Record(8, at(0))
	}
	near(c, tracker.At(at(0)), 1.5)
}

// Whatever is recorded, the estimate is within its bounds, and a server is not avoided for good.
func TestEstimateIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tracker := machine()
		if rapid.Bool().Draw(t, "engine") {
			tracker = engine()
		}
		now := 0
		for range rapid.IntRange(1, 100).Draw(t, "steps") {
			now += rapid.IntRange(-100, 60_000).Draw(t, "pause")
			if rapid.Bool().Draw(t, "record") {
				tracker.Record(rapid.Float64().Draw(t, "factor"), at(now))
			}
			if f := tracker.At(at(now)); !(f >= 0.2499 && f <= 8.001) {
				t.Fatalf("the estimate is %v", f)
			}
		}
		if f := tracker.At(at(now + 20*60_000)); !(f > 0.95 && f < 1.05) {
			t.Fatalf("the estimate is %v after 20 minutes without observations", f)
		}
	})
}
