package forward

import (
	"time"

	"sequoialead/core/admission"
	"sequoialead/core/latency"
)

// Quantiles are quantiles of recent times.
type Quantiles struct {
	P50, P90 time.Duration
}

// PredictionStats compares the predicted times to the first event with the actual ones.
type PredictionStats struct {
	Predicted Quantiles
	Actual    Quantiles
	// Factor is the correction in force.
	Factor float64
}

// prediction holds the recent times of one pool and route.
type prediction struct {
	predicted *latency.Tracker
	actual    *latency.Tracker
}

// recordActual records what a request took whose time was predicted. f.mu must be held.
func (f *Forwarder) recordActual(j *job, now time.Time) {
	key := j.admissionKey()
	p := f.predictions[key]
	if p == nil {
		p = &prediction{predicted: latency.New(), actual: latency.New()}
		f.predictions[key] = p
	}
	actual := now.Sub(j.predictedAt)
	p.predicted.Add(time.Duration(j.factor*float64(j.predicted)), now)
	p.actual.Add(actual, now)
	f.admission.Observe(key, j.predicted, actual, now)
}

// recordServed records that a request was served, as far as that tells when there are places.
// f.mu must be held.
func (f *Forwarder) recordServed(j *job, now time.Time) {
	f.comeback.RecordServed(j.pool, now)
	if j.predicted > 0 && j.attempts == 1 {
		f.recordActual(j, now)
	}
}

// recordUnfinished records that a request whose time was predicted ended without an answer.
// It would have taken longer still. If such requests did not count, only those that were served
// sooner than others would.
func (f *Forwarder) recordUnfinished(j *job) {
	now := f.opts.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.admission.Observe(j.admissionKey(), j.predicted, max(now.Sub(j.predictedAt), j.predicted), now)
}

func (j *job) admissionKey() admission.Key {
	return admission.Key{Pool: j.pool, Route: j.route.Name}
}

// Predictions returns the predicted and actual times by pool and route; empty unless
// Options.Admission is set.
func (f *Forwarder) Predictions() map[admission.Key]PredictionStats {
	now := f.opts.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	stats := make(map[admission.Key]PredictionStats, len(f.predictions))
	for key, p := range f.predictions {
		stats[key] = PredictionStats{Predicted: quantiles(p.predicted, now), Actual: quantiles(p.actual, now), Factor: f.admission.Factor(key, now)}
	}
	return stats
}

func quantiles(t *latency.Tracker, now time.Time) Quantiles {
	return Quantiles{P50: t.Quantile(50, now), P90: t.Quantile(90, now)}
}
