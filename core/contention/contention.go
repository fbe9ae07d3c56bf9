// Package contention tracks which backend servers other entries may have calls at, how many
// calls this entry may then have in flight, and for how long a server that refused a call is
// left alone.
//
// It answers the load pattern of a simultaneous restart: for a second or two, until they know
// of each other, several entries lead the same backend servers. Each sends calls as if it
// were alone, and the servers refuse many of them as full. Retries at once would take the
// whole retry budget. So an entry that has just become the leader starts with few calls and
// adds one for each that did not wait, halves the number when one is refused, and leaves that
// server alone for a time that grows with each refusal in a row.
package contention

import (
	"time"

	"sequoialead"
)

const (
	// sharedPeriod is how long backend servers are assumed to serve other entries too,
	// after a change of the servers that this entry leads, a load report that shows other
	// calls, or a refusal. It outlasts the calls that a previous leader may have in flight
	// or may still start.
	sharedPeriod = 2 * time.Second
	// maxDoublings bounds the pause after refusals in a row. After the longest one a server
	// has run at least as many calls as it takes in, so it has room again.
	maxDoublings = 2
	// spread is the random part of a pause, so that entries that were refused at the same
	// moment don't return at the same moment.
	spread = 1.0
	// startShare is the number of calls in flight of an entry that has just become the
	// leader, as a part of its servers: five entries that all lead them, as many as
	// led one group after a restart, then have as many calls as there are servers.
	// minStart is the smallest such number.
	startShare = 0.2
	minStart   = 2
	// decrease is the factor on the calls in flight after a refusal.
	decrease = 0.5
	// maxSlowdown is the duration, as a multiple of the configured one, below which a call
	// has not waited at its server, so that one more may be sent.
	maxSlowdown = 1.5
)

// Tracker holds what is known of the backend servers of one pool. The zero value knows of no
// other entries. It is not safe for concurrent use.
type Tracker struct {
	// changedUntil is the time until which all servers count as shared.
	changedUntil time.Time
	servers      map[string]server
	// limit is the number of calls in flight at all servers, while limitedUntil is not
	// over.
	limit        float64
	limitedUntil time.Time
}

type server struct {
	sharedUntil time.Time
	pausedUntil time.Time
	// refusals is the number of refusals in a row.
	refusals int
}

// RecordChange records that the servers which this entry leads have changed: their previous
// leaders may still have calls there.
// If it led none before, others may lead them without knowing of it yet, so it starts with
// few calls.
func (t *Tracker) RecordChange(before, servers int, now time.Time) {
	t.changedUntil = now.Add(sharedPeriod)
	if before == 0 {
		t.limit, t.limitedUntil = max(startShare*float64(servers), minStart), t.changedUntil
	}
}

// Limit returns the number of calls that may be in flight at a number of servers.
func (t *Tracker) Limit(servers int, now time.Time) int {
	if !now.Before(t.limitedUntil) {
		return servers
	}
	return min(int(t.limit), servers)
}

// RecordAnswer records an answered call, its duration as a multiple of the configured one,
// and the load that the server reported; nil if it reported none.
func (t *Tracker) RecordAnswer(id string, slowdown float64, load *sequoialead.ServerLoad, now time.Time) {
	if slowdown < maxSlowdown {
		t.limit++
	}
	s := t.servers[id]
	s.refusals, s.pausedUntil = 0, time.Time{}
	if load != nil && load.Running+load.Queued > 0 {
		s.sharedUntil = now.Add(sharedPeriod)
	}
	t.set(id, s, now)
}

// RecordRefusal records that a server refused a call as full. The call time is that of the
// calls that it runs, calls the number of this entry's calls in flight, and random a number
// from 0 to 1.
func (t *Tracker) RecordRefusal(id string, callTime time.Duration, calls int, random float64, now time.Time) {
	if !now.Before(t.limitedUntil) {
		t.limit = float64(calls)
	}
	t.limit, t.limitedUntil = max(t.limit*decrease, 1), now.Add(sharedPeriod)
	s := t.servers[id]
	s.sharedUntil = now.Add(sharedPeriod)
	pause := float64(callTime) * float64(int(1)<<min(s.refusals, maxDoublings)) * (1 + spread*random)
	s.pausedUntil = now.Add(time.Duration(pause))
	s.refusals++
	t.set(id, s, now)
}

// Shared reports whether other entries may have calls at a server.
func (t *Tracker) Shared(id string, now time.Time) bool {
	return now.Before(t.changedUntil) || now.Before(t.servers[id].sharedUntil)
}

// AnyShared reports whether other entries may have calls at any server.
func (t *Tracker) AnyShared(now time.Time) bool {
	if now.Before(t.changedUntil) {
		return true
	}
	for _, s := range t.servers {
		if now.Before(s.sharedUntil) {
			return true
		}
	}
	return false
}

// Paused reports whether a server should get no calls now, because it refused one.
func (t *Tracker) Paused(id string, now time.Time) bool {
	return now.Before(t.servers[id].pausedUntil)
}

// set stores the state of a server, and removes those of which nothing holds any more.
func (t *Tracker) set(id string, s server, now time.Time) {
	if t.servers == nil {
		t.servers = map[string]server{}
	}
	t.servers[id] = s
	for other, o := range t.servers {
		if !now.Before(o.sharedUntil) && !now.Before(o.pausedUntil) {
			delete(t.servers, other)
		}
	}
}
