// Package comeback decides when a caller that is refused should come back.
//
// It answers the load pattern of a burst above what can be served: callers that are all told
// to come back after the same time, whatever waits before them, form the next burst and are
// refused again. Each caller gets a turn of its own instead, after the work that is queued has
// drained, and at the rate at which this entry's requests have been served.
package comeback

import (
	"math"
	"math/rand/v2"
	"time"
)

const (
	// honoredShare is the part of its time left up to which a caller honors a hint.
	honoredShare = 1.0 / 3
	// firstAttemptShare is the part of its route's timeout below which the time that a
	// caller waits shows an earlier attempt. Callers give a first attempt at least 0.85
	// of the timeout.
	firstAttemptShare = 0.84
	// returnShare is the part of the served rate that is expected to be left for callers
	// that come back. The rest goes to new ones.
	returnShare = 0.5
	// rateWindow is the time over which the served rate is averaged.
	rateWindow = 2 * time.Second
	// minRate is the lowest rate of turns per second: a pool without served requests is
	// tried again.
	minRate = 1.0
	// minHint is the lowest hint; a caller needs as long for another connection anyway.
	minHint = 20 * time.Millisecond
	// againShare is the lowest hint to a caller that was refused before, as a part of its time
	// left. Without it, callers whose time is nearly over came back 20 times each.
	againShare = 0.15
)

// Refusal describes a refused request.
type Refusal struct {
	// Pool is the pool that the request is for.
	Pool string
	// Left is the time that the caller still waits, and Need the least time that it takes
	// to serve it.
	Left time.Duration
	Need time.Duration
	// Drain is the time until there is likely to be a place, as far as is known.
	Drain time.Duration
	// Returning is set if the caller was refused before. It needs no turn behind those
	// that were refused meanwhile.
	Returning bool
}

// pool is what is known of one pool.
type pool struct {
	// served counts served requests, with weights that fall over rateWindow, at countedAt.
	served    float64
	countedAt time.Time
	// next is the next turn that was given to no one.
	next time.Time
}

// Schedule holds the turns that one entry has given. It is not safe for concurrent use.
type Schedule struct {
	random *rand.Rand
	pools  map[string]*pool
}

// New returns a schedule without turns.
func New(random *rand.Rand) *Schedule {
	return &Schedule{random: random, pools: map[string]*pool{}}
}

func (s *Schedule) pool(name string, now time.Time) *pool {
	p := s.pools[name]
	if p == nil {
		p = &pool{countedAt: now}
		s.pools[name] = p
	}
	p.served *= math.Exp(-now.Sub(p.countedAt).Seconds() / rateWindow.Seconds())
	p.countedAt = now
	return p
}

// RecordServed records that a request for a pool was served.
func (s *Schedule) RecordServed(name string, now time.Time) { s.pool(name, now).served++ }

// Rate returns the served requests of a pool per second.
func (s *Schedule) Rate(name string, now time.Time) float64 {
	return s.pool(name, now).served / rateWindow.Seconds()
}

// Hint returns the time after which a refused caller should come back.
func (s *Schedule) Hint(r Refusal, now time.Time) time.Duration {
	limit := bound(r.Left, r.Need)
	if r.Returning {
		return min(max(r.Drain, time.Duration(againShare*float64(r.Left))), limit)
	}
	p := s.pool(r.Pool, now)
	interval := time.Duration(float64(time.Second) / max(returnShare*p.served/rateWindow.Seconds(), minRate))
	turn := now.Add(r.Drain)
	if p.next.After(turn) {
		turn = p.next
	}
	if hint := turn.Sub(now) + time.Duration(s.random.Float64()*float64(interval)); hint <= limit {
		p.next = turn.Add(interval)
		return max(hint, min(minHint, limit))
	}
	// There is no turn within the time that the caller honors. The later it comes back,
	// the more have been served; but not all at one moment.
	return limit - time.Duration(s.random.Float64()*float64(limit)/2)
}

// Spread returns a hint for a refusal that has nothing to do with load: after a known time, at
// a moment within a span, so that callers don't come back all at once.
func (s *Schedule) Spread(left, after, span time.Duration) time.Duration {
	return min(max(after, minHint)+time.Duration(s.random.Float64()*float64(span)), bound(left, 0))
}

// bound returns the longest hint that a caller honors and that leaves it the time that it needs.
// If there is next to none, coming back is of no use, and the caller should do so late.
func bound(left, need time.Duration) time.Duration {
	honored := max(time.Duration(honoredShare*float64(left)), 0)
	if useful := left - need; useful > time.Duration(againShare*float64(left)) {
		return min(honored, useful)
	}
	return honored
}

// Returning reports whether the time that a caller waits, compared with its route's timeout,
// shows that it was refused before.
func Returning(wait, timeout time.Duration) bool {
	return wait > 0 && timeout > 0 && float64(wait) < firstAttemptShare*float64(timeout)
}
