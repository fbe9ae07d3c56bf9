// Package estimate keeps quantiles of recent service times.
package estimate

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	window   = 5 * time.Second
	refresh  = 100 * time.Millisecond
	longest  = 10 * time.Minute
	digits   = 2
	leastOld = 20
)

// Estimate describes the service times of one stage. It is not safe for
// concurrent use.
type Estimate struct {
	// current takes new values, previous is that of the window before.
	current  *hdrhistogram.Histogram
	previous *hdrhistogram.Histogram
	turned   time.Time
	// cached is the quantile that was asked for last, taken at the time read.
	cached time.Duration
	asked  float64
	read   time.Time
}

// New returns an estimate without values.
func New() *Estimate {
	return &Estimate{current: histogram(), previous: histogram()}
}

func histogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, longest.Microseconds(), digits)
}

// Add takes a service time.
func (e *Estimate) Add(d time.Duration, now time.Time) {
	e.turn(now)
	_ = e.current.RecordValue(min(d, longest).Microseconds()) // within the range by min
}

func (e *Estimate) turn(now time.Time) {
	if now.Sub(e.turned) < window {
		return
	}
	e.turned = now
	e.current, e.previous = e.previous, e.current
	e.current.Reset()
}

// Mean returns the mean of the values of the last seconds, or zero if there
// are none.
func (e *Estimate) Mean() time.Duration {
	h := e.recent()
	return time.Duration(h.Mean() * float64(time.Microsecond))
}

// recent returns the histogram that tells most of the last seconds.
func (e *Estimate) recent() *hdrhistogram.Histogram {
	if e.current.TotalCount() >= leastOld || e.previous.TotalCount() == 0 {
		return e.current
	}
	return e.previous
}

// Quantile returns a quantile of the values of the last seconds, or zero if
// there are none. The quantile is between 0 and 100.
func (e *Estimate) Quantile(q float64, now time.Time) time.Duration {
	if q == e.asked && now.Sub(e.read) < refresh {
		return e.cached
	}
	e.asked, e.read = q, now
	e.cached = time.Duration(e.recent().ValueAtQuantile(q)) * time.Microsecond
	return e.cached
}
