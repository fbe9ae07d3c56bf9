// Package latency estimates service times by the mean and quantiles of recent ones.
package latency

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// window is the minimum time for which values are collected in a histogram
	// before a new one is begun.
	window = 5 * time.Second
	// cacheTTL is how long a computed quantile is reused.
	cacheTTL = 100 * time.Millisecond
	// maxValue is the largest value recorded; larger ones count as this one.
	maxValue = 10 * time.Minute
	// significantDigits is the precision of the histograms in decimal digits.
	significantDigits = 2
	// minSamples is the number of values that a new histogram needs before it is
	// used instead of the previous one.
	minSamples = 20
)

// Tracker estimates service times, such as those of one stage, from a sliding
// window. It is not safe for concurrent use.
type Tracker struct {
	// current is the histogram that new values are added to; previous is that of
	// the preceding window. rotated is when current was begun.
	current  *hdrhistogram.Histogram
	previous *hdrhistogram.Histogram
	rotated  time.Time
	// cachedValue is the value of the quantile cachedQuantile, as computed at
	// cachedTime.
	cachedValue    time.Duration
	cachedQuantile float64
	cachedTime     time.Time
}

// New returns a tracker without any values.
func New() *Tracker {
	return &Tracker{current: newHistogram(), previous: newHistogram()}
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxValue.Microseconds(), significantDigits)
}

// Add adds a service time that was measured at the given time.
func (t *Tracker) Add(d time.Duration, now time.Time) {
	t.rotate(now)
	_ = t.current.RecordValue(min(d, maxValue).Microseconds()) // cannot fail: min keeps the value within the range
}

// rotate begins a new histogram if the current window is over.
func (t *Tracker) rotate(now time.Time) {
	if now.Sub(t.rotated) < window {
		return
	}
	t.rotated = now
	t.current, t.previous = t.previous, t.current
	t.current.Reset()
}

// Mean returns the mean of the recent values, or zero if there are none. Values
// stay in use until enough newer ones are added.
func (t *Tracker) Mean() time.Duration {
	h := t.recent()
	return time.Duration(h.Mean() * float64(time.Microsecond))
}

// recent returns the current histogram, or the previous one if that has values and
// the current one has fewer than minSamples.
func (t *Tracker) recent() *hdrhistogram.Histogram {
	if t.current.TotalCount() >= minSamples || t.previous.TotalCount() == 0 {
		return t.current
	}
	return t.previous
}

// Quantile returns a percentile of the recent values, or zero if there are none.
// The percentile q is between 0 and 100. Values stay in use until enough newer
// ones are added, and results are reused for cacheTTL.
func (t *Tracker) Quantile(q float64, now time.Time) time.Duration {
	if q == t.cachedQuantile && now.Sub(t.cachedTime) < cacheTTL {
		return t.cachedValue
	}
	t.cachedQuantile, t.cachedTime = q, now
	t.cachedValue = time.Duration(t.recent().ValueAtQuantile(q)) * time.Microsecond
	return t.cachedValue
}
