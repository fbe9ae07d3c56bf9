// Package retries limits the retries at a pool. Each entry uses its part of a retry
// budget that all entries share.
package retries

import "time"

// Options configures a budget that all entries share.
type Options struct {
	// Ratio is the number of retries allowed per request of the window.
	Ratio float64
	// Extra is the number of further retries allowed per window, for all entries
	// together.
	Extra float64
	// Window is the length of the sliding window in which retries are counted.
	Window time.Duration
}

// buckets is the number of parts of the window in which events are counted.
const buckets = 20

// safetyFactor leaves a part of the budget unused, because entries and backend
// servers do not see the same events in the same window.
const safetyFactor = 0.8

// Budget is this entry's part of the retry budget of one pool. It is not safe for
// concurrent use.
type Budget struct {
	opts     Options
	requests counter
	retries  counter
}

// New returns a budget from which no retry was taken.
func New(opts Options) *Budget { return &Budget{opts: opts} }

// Configure applies new options. If the length of the window changes, all counts are
// reset.
func (b *Budget) Configure(opts Options) {
	if opts.Window != b.opts.Window {
		b.requests, b.retries = counter{}, counter{}
	}
	b.opts = opts
}

// RecordRequest counts a new request for the pool, which adds to the budget.
func (b *Budget) RecordRequest(now time.Time) { b.requests.add(b.bucket(now)) }

// Allow reports whether this entry may make one more retry, given the number of
// entries that share the budget.
func (b *Budget) Allow(now time.Time, entries int) bool {
	return b.Remaining(now, entries) >= 1
}

// Remaining returns the number of retries that this entry may still make.
func (b *Budget) Remaining(now time.Time, entries int) float64 {
	bucket := b.bucket(now)
	limit := safetyFactor * (b.opts.Ratio*b.requests.sum(bucket) + b.opts.Extra/float64(max(entries, 1)))
	return limit - b.retries.sum(bucket)
}

// RecordRetry counts a retry that was made.
func (b *Budget) RecordRetry(now time.Time) { b.retries.add(b.bucket(now)) }

func (b *Budget) bucket(now time.Time) int64 {
	return now.UnixNano() / max(int64(b.opts.Window)/buckets, 1)
}

// counter counts events per bucket. It keeps one bucket more than a window has, so
// that a sum never covers less than a window.
type counter struct {
	counts [buckets + 1]float64
	latest int64
}

func (s *counter) advance(bucket int64) {
	if bucket-s.latest > buckets {
		s.counts = [buckets + 1]float64{}
		s.latest = bucket
		return
	}
	for s.latest < bucket {
		s.latest++
		s.counts[s.latest%(buckets+1)] = 0
	}
}

func (s *counter) add(bucket int64) {
	s.advance(bucket)
	s.counts[s.latest%(buckets+1)]++
}

func (s *counter) sum(bucket int64) float64 {
	s.advance(bucket)
	total := 0.0
	for _, n := range s.counts {
		total += n
	}
	return total
}
