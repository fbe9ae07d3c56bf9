// Package cold bounds the rate of requests to one backend server that may be
// cold, as this entry's part of a bound that all entries share.
package cold

import "time"

// window is the span that the shared bound is stated for.
const window = time.Second

// jitter widens the window by what messages between an entry and a backend
// server may be closer together on arrival than when they were sent.
const jitter = 100 * time.Millisecond

// Rate counts the requests sent to one backend server. It is not safe for
// concurrent use.
type Rate struct {
	// sent holds the times of the latest requests, oldest first.
	sent []time.Time
}

// New returns an empty count.
func New() *Rate { return &Rate{} }

// Allow reports whether one more request may be sent when the entry's part is
// a number of requests a second, which may be below one. Up to a burst of
// requests may be sent at once, of what the part allows over a longer time.
func (r *Rate) Allow(now time.Time, part float64, burst int) bool {
	if part <= 0 {
		return false
	}
	most := max(int(part), burst, 1)
	span := max(time.Duration(float64(most)/part*float64(window)), window) + jitter
	count := 0
	for i := len(r.sent) - 1; i >= 0 && now.Sub(r.sent[i]) < span; i-- {
		count++
	}
	return count < most
}

// keep is how long sent requests are remembered: longer than the widest window
// of a burst of three requests at a part of one in twenty seconds.
const keep = 61 * time.Second

// most bounds the memory of one server's count.
const most = 4096

// Sent counts a request.
func (r *Rate) Sent(now time.Time) {
	drop := 0
	for drop < len(r.sent) && (now.Sub(r.sent[drop]) > keep || len(r.sent)-drop >= most) {
		drop++
	}
	r.sent = append(r.sent[drop:], now)
}
