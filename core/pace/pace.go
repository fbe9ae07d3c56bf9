// Package pace estimates how long work takes at a backend server now, in relation to the usual.
//
// The load: backend servers share their machines with other work, so the time for the same work
// changes by several times within seconds. Servers report a figure for this that jumps many
// times a second, and an entry sees it only with its own answers, so that with many entries
// most figures are seconds old.
package pace

import (
	"math"
	"time"
)

// minFactor and maxFactor bound what one observation and the estimate can be. A server that is
// eight times slower than others gets almost nothing anyway, and one whose figure is wrong must
// still get something, so that its real times are observed.
const (
	minFactor = 0.25
	maxFactor = 8.0
)

// Options configures a tracker.
type Options struct {
	// Smoothing is the time over which observations are averaged.
	Smoothing time.Duration
	// Memory is the time after which an observation has lost most of its weight.
	Memory time.Duration
	// Level is the time over which the estimate's level is averaged, to which it returns as the
	// observations age. Zero for a level of one.
	Level time.Duration
}

// Tracker estimates a factor on a server's usual times from noisy observations. It is not safe
// for concurrent use.
type Tracker struct {
	opts Options
	// mean and level are averages of the logarithms of the observed factors.
	mean, level float64
	last        time.Time
}

// New returns a tracker whose estimate is one.
func New(opts Options) *Tracker { return &Tracker{opts: opts} }

// Record records an observed factor, such as 1.5 for times half as long again as usual. Factors
// that are not positive numbers are ignored.
func (t *Tracker) Record(factor float64, now time.Time) {
	if !(factor > 0) || math.IsInf(factor, 0) { // not a number compares as false
		return
	}
	observed := math.Log(min(max(factor, minFactor), maxFactor))
	since := now.Sub(t.last)
	switch {
	case t.last.IsZero():
		t.mean = observed
		if t.opts.Level > 0 {
			t.level = observed
		}
	case since <= 0:
		return // an observation of the same moment
	default:
		t.mean += weight(since, t.opts.Smoothing) * (observed - t.mean)
		if t.opts.Level > 0 {
			t.level += weight(since, t.opts.Level) * (observed - t.level)
		}
	}
	t.last = now
}

// weight returns the weight of an observation that comes some time after the last one.
func weight(since, smoothing time.Duration) float64 {
	return -math.Expm1(-float64(since) / float64(smoothing))
}

// At returns the estimated factor at a time, between 0.25 and 8; one if nothing is known.
func (t *Tracker) At(now time.Time) float64 {
	if t.mean == 0 && t.level == 0 {
		return 1
	}
	age := max(now.Sub(t.last), 0)
	fresh := math.Exp(-float64(age) / float64(t.opts.Memory))
	level := 0.0
	if t.opts.Level > 0 {
		level = t.level * math.Exp(-float64(age)/float64(t.opts.Level))
	}
	return math.Exp(level + fresh*(t.mean-level))
}

// Known reports whether an observation is recent enough to tell more than the level.
func (t *Tracker) Known(now time.Time) bool {
	return !t.last.IsZero() && now.Sub(t.last) < t.opts.Memory
}
