// Package room decides how much of a backend server's memory for results is used, and when
// the inputs of a call may be freed before its results are there.
//
// It answers two load patterns. Results take more room than configured, or others hold some
// of it, so that servers refuse pieces although the account says that there is room: each
// such piece costs another call. And inputs that are freed before they were read, to make
// room, fail their request.
package room

import "time"

const (
	// refusedShare is the part of the room in use at a refusal that is used afterwards.
	refusedShare = 0.95
	// minShare is the smallest part of the configured room that is used. Results that
	// somebody else left there are freed by the server after their retention time, and
	// the rest must not stay unused for as long.
	minShare = 0.25
	// growth is the part of the configured room by which the used part grows back in a
	// second: 4 s, the retention time of results that nobody frees, bring back a fifth.
	growth = 0.05
)

// Usable learns the usable room of backend servers from their refusals. The zero value uses
// all of it. It is not safe for concurrent use.
type Usable struct {
	servers map[string]limit
}

type limit struct {
	share float64
	at    time.Time
}

// RecordRefusal records that a server refused a result for lack of room while this entry had
// a number of bytes there, of the configured number.
func (u *Usable) RecordRefusal(server string, held, configured int, now time.Time) {
	if configured <= 0 {
		return
	}
	if u.servers == nil {
		u.servers = map[string]limit{}
	}
	share := max(refusedShare*float64(held)/float64(configured), minShare)
	u.servers[server] = limit{share: min(share, u.share(server, now)), at: now}
}

// Bytes returns the usable room of a server, of the configured number of bytes.
func (u *Usable) Bytes(server string, configured int, now time.Time) int {
	return int(u.share(server, now) * float64(configured))
}

// share returns the usable part of a server's room.
func (u *Usable) share(server string, now time.Time) float64 {
	l, ok := u.servers[server]
	if !ok {
		return 1
	}
	share := l.share + growth*now.Sub(l.at).Seconds()
	if share >= 1 {
		delete(u.servers, server)
		return 1
	}
	return share
}

// Call describes a call whose inputs may be freed before its results are there.
type Call struct {
	// Alone is set if no other entry may have calls at the server, so that the call is
	// not behind others.
	Alone bool
	// CallTime is the estimated duration of the call.
	CallTime time.Duration
	// FailedAt is when a call for the same pool last failed; zero if never.
	FailedAt time.Time
	Now      time.Time
}

const (
	// readShare is the part of a call after which its inputs are certainly read: servers
	// read them first, and one that runs slowly reads slowly.
	readShare = 0.5
	// failurePeriod is how long inputs are kept until the results are there after a call
	// failed, since pieces that fail are made again from the same inputs.
	failurePeriod = 10 * time.Second
)

// FreeInputsAfter returns the time after the start of a call from which its inputs may be
// freed early. It reports false if they are to be kept until the results are there.
func FreeInputsAfter(c Call) (time.Duration, bool) {
	if !c.Alone || !c.FailedAt.IsZero() && c.Now.Sub(c.FailedAt) < failurePeriod {
		return 0, false
	}
	return time.Duration(readShare * float64(c.CallTime)), true
}
