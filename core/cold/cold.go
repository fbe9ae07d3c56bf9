// Package cold limits the rate of requests to a backend server that may be cold: for
// some time after its start it has a reduced capacity. Each entry uses its part of a
// limit that all entries share.
package cold

import "time"

// window is the length of the sliding window to which the shared limit applies.
const window = time.Second

// jitter widens the window, since requests may arrive at a backend server closer
// together than they were sent.
const jitter = 100 * time.Millisecond

// Limiter is a sliding-window rate limiter for the requests of one backend
// server. It is not safe for concurrent use.
type Limiter struct {
	// sent holds the times of recent requests, oldest first.
	sent []time.Time
}

// New returns a limiter without recorded requests.
func New() *Limiter { return &Limiter{} }

// Allow reports whether one more request may be sent at the given rate, in requests
// per second, which may be below one. A burst of several requests may be sent at
// once; if it exceeds the rate, the window is widened until the rate covers it.
func (l *Limiter) Allow(now time.Time, rate float64, burst int) bool {
	if rate <= 0 {
		return false
	}
	limit := max(int(rate), burst, 1)
	span := max(time.Duration(float64(limit)/rate*float64(window)), window) + jitter
	count := 0
	for i := len(l.sent) - 1; i >= 0 && now.Sub(l.sent[i]) < span; i-- {
		count++
	}
	return count < limit
}

// historyAge is how long requests are kept in the history: longer than the widest
// window, which is that of a burst of three requests at a rate of one request in
// twenty seconds.
const historyAge = 61 * time.Second

// maxHistory is the maximum number of requests kept for one server, to limit memory.
const maxHistory = 4096

// Record records a request.
func (l *Limiter) Record(now time.Time) {
	drop := 0
	for drop < len(l.sent) && (now.Sub(l.sent[drop]) > historyAge || len(l.sent)-drop >= maxHistory) {
		drop++
	}
	l.sent = append(l.sent[drop:], now)
}
