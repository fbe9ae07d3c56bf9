// Package callstart decides when a call for pieces starts.
//
// It answers the load pattern of calls whose cost is mostly fixed: a call takes 240 ms
// whatever its content, and 5 to 21 ms for each piece. If each idle server gets what waits at
// that moment, calls start in bunches: the first order of a bunch gets a call of its own, and
// the next ones find no server until that call ends. So under load, calls start evenly
// spaced, unless one is full or an order has no time to wait. At low load they start at once.
package callstart

import "time"

const (
	// loadedShare is the part of the servers with calls from which on starts are spaced.
	// Below it, an idle server is found for the next order anyway.
	loadedShare = 1.0 / 3
	// maxSlowdown bounds the spacing, as a multiple of what the configured call time gives:
	// the mean call time also holds calls at servers that are much slower than others.
	maxSlowdown = 2
)

// Group is the state of a group of servers and its queue.
type Group struct {
	// Servers is the number of servers, Calls that of calls in flight, and StartedAt when
	// the last of them started.
	Servers   int
	Calls     int
	StartedAt time.Time
	// CallTime is the estimated duration of a call, and Configured that of a full call by
	// the configuration.
	CallTime   time.Duration
	Configured time.Duration
	// MaxBatch is the number of pieces in a full call.
	MaxBatch int
	// Orders is the number of waiting orders, Pieces that of their pieces, and Started is
	// set if some of an order's pieces were taken before.
	Orders  int
	Pieces  int
	Started bool
	// DueAt is the earliest time by which an order that can still be in time is due; zero
	// if there is none.
	DueAt time.Time
}

// StartAt returns when the next call may start. A time that is past means at once.
func StartAt(g Group) time.Time {
	servers := max(g.Servers, 1)
	if g.Orders == 0 || g.Started || float64(g.Calls) < loadedShare*float64(servers) {
		return time.Time{}
	}
	if g.Pieces+g.Pieces/g.Orders > g.MaxBatch {
		return time.Time{} // one more order would not fit
	}
	at := g.StartedAt.Add(min(g.CallTime, maxSlowdown*g.Configured) / time.Duration(servers))
	if latest := g.DueAt.Add(-g.CallTime); !g.DueAt.IsZero() && latest.Before(at) {
		return latest
	}
	return at
}
