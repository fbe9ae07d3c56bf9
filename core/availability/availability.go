// Package availability decides whether this entry may send to a backend server now.
//
// Everything that counts against a server is held against one of its processes, named by
// the server's ID and its start: what it said itself (it is leaving, or wants nothing for a
// while), whether it was reached, and the rate that it bears while it may be cold. Servers
// that the platform lists as leaving, or whose failure domain is evacuated, are not asked
// for: they are not among the members of a pool.
//
// These ask before they send: core/pool for the attempts of requests (first ones, retries,
// streams that another server continues, and requests that waited) and for calls that make
// pieces of stages; core/batch for calls that free results. Nothing else is sent: this system
// makes no health checks, and moves no KV cache.
package availability

import (
	"cmp"
	"time"

	"sequoialead"
	"sequoialead/core/cold"
)

// Cause tells why a server may not be sent to.
type Cause string

// The causes. CauseNone means that it may be sent to.
const (
	CauseNone        Cause = ""
	CauseLeaving     Cause = "leaving"
	CauseHeld        Cause = "held"
	CauseUnreachable Cause = "unreachable"
	CauseCold        Cause = "cold"
)

const (
	// minBackoff and maxBackoff limit the delay after which an unreachable server is
	// tried again.
	minBackoff = 500 * time.Millisecond
	maxBackoff = 4 * time.Second
	// ColdPeriod is how long a server is assumed to be cold after it was first
	// seen or failed in a way that may mean a restart. It is longer than a heartbeat
	// interval, the write of the heartbeat to the store and the read of it together.
	ColdPeriod = 5 * time.Second
	// warmBurst is the number of requests that an entry may send at once to a server
	// known to be warm: prompts assigned to one server often arrive two or three at a
	// time, and it is rare that all entries send a burst at the same moment.
	warmBurst = 3
	// rampPeriod is the time after the end of a hold within which the number of
	// requests in flight rises to its limit, so that those that waited don't all go
	// at once.
	rampPeriod = time.Second
)

// Server is what counts against one process of a backend server. It is not safe for
// concurrent use.
type Server struct {
	// restricted is set if leaving, heldUntil or unreachableUntil is. Most servers are not,
	// and are checked for every request.
	restricted bool
	// leaving is set once the server has said so. It holds for the rest of the process.
	leaving bool
	// heldUntil is the time until which the server wants nothing; zero if it never said.
	heldUntil time.Time
	// unreachableUntil is when a server that could not be reached may be tried again;
	// zero if it can be reached. backoff is the current delay.
	unreachableUntil time.Time
	backoff          time.Duration
	// coldUntil is the time until which the server is assumed to be cold: it is new, its
	// record says so, or it failed in a way that may mean a restart.
	coldUntil time.Time
	limiter   *cold.Limiter
	// seenAt is when the server was last among the members of its pool.
	seenAt time.Time
}

// Limits are the limits in force when a server is checked.
type Limits struct {
	// ColdRate is this entry's part of the requests per second that a cold server bears;
	// 0 for no limit.
	ColdRate float64
	// Current is set if the servers' records are recent enough to tell that a server is
	// warm.
	Current bool
	// IgnoreUnreachable is set if no server can be reached, so that all are tried.
	IgnoreUnreachable bool
	// Burst is the number of requests that this entry may send at once to a server known to
	// be warm; 0 for the default.
	Burst int
}

// Check returns why nothing may be sent now; CauseNone if it may.
func (s *Server) Check(now time.Time, limits Limits) Cause {
	switch {
	case !s.restricted:
	case s.leaving:
		return CauseLeaving
	case now.Before(s.heldUntil):
		return CauseHeld
	case now.Before(s.unreachableUntil) && !limits.IgnoreUnreachable:
		return CauseUnreachable
	}
	if limits.ColdRate > 0 && !s.withinColdRate(now, limits) {
		return CauseCold
	}
	return CauseNone
}

// withinColdRate reports whether one more request keeps within the rate limit for servers
// that may be cold. The limit applies to warm servers too, because a server may restart
// unnoticed. A server known to be warm may get short bursts, since prompts that are assigned
// to one server arrive together. Over a longer time each entry keeps to its part of the
// limit.
func (s *Server) withinColdRate(now time.Time, limits Limits) bool {
	burst := 1
	if now.After(s.coldUntil) && limits.Current {
		burst = cmp.Or(limits.Burst, warmBurst)
	}
	return s.limiter.Allow(now, limits.ColdRate, burst)
}

// Unreachable reports whether the server is in its backoff delay.
func (s *Server) Unreachable(now time.Time) bool {
	return s.restricted && now.Before(s.unreachableUntil)
}

// Leaving reports whether the server has said that it is leaving.
func (s *Server) Leaving() bool { return s.leaving }

// HeldUntil returns the time until which the server wants nothing; zero if it never said.
func (s *Server) HeldUntil() time.Time { return s.heldUntil }

// Capacity returns how many requests may be in flight at the server, of a limit that holds
// for it otherwise.
func (s *Server) Capacity(limit int, now time.Time) int {
	if !s.restricted || s.heldUntil.IsZero() {
		return limit
	}
	if since := now.Sub(s.heldUntil); since < rampPeriod {
		return max(int(float64(limit)*float64(since)/float64(rampPeriod)), 1)
	}
	return limit
}

// RecordSent records that something is sent to the server. Only one request at a time tries
// a server that was not reached.
func (s *Server) RecordSent(now time.Time) {
	s.limiter.Record(now)
	if !s.unreachableUntil.IsZero() {
		s.unreachableUntil = now.Add(s.backoff)
	}
}

// RecordReached records that the server has answered.
func (s *Server) RecordReached() {
	s.unreachableUntil, s.backoff = time.Time{}, 0
	s.restricted = s.leaving || !s.heldUntil.IsZero()
}

// RecordUnreachable records that no connection to the server could be opened.
func (s *Server) RecordUnreachable(now time.Time) {
	s.backoff = min(max(2*s.backoff, minBackoff), maxBackoff)
	s.unreachableUntil = now.Add(s.backoff)
	s.restricted = true
	s.MarkCold(now.Add(ColdPeriod))
}

// MarkCold extends the time for which the server is assumed to be cold.
func (s *Server) MarkCold(until time.Time) {
	if until.After(s.coldUntil) {
		s.coldUntil = until
	}
}

// RecordNotice records what the server said of itself. The time for which it wants nothing
// is bounded by maxHold. It reports whether this entry did not know before that the server
// is leaving, or wants nothing now.
func (s *Server) RecordNotice(notice sequoialead.ServerNotice, maxHold time.Duration, now time.Time) bool {
	changed := notice.Leaving && !s.leaving
	s.leaving = s.leaving || notice.Leaving
	s.restricted = s.restricted || s.leaving
	if notice.HoldOff <= 0 {
		return changed
	}
	changed = changed || !now.Before(s.heldUntil)
	if until := now.Add(min(notice.HoldOff, maxHold)); until.After(s.heldUntil) {
		s.heldUntil, s.restricted = until, true
		s.MarkCold(until.Add(ColdPeriod))
	}
	return changed
}
