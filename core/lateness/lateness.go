// Package lateness decides what becomes of orders for pieces that will miss the time by which
// they are due.
//
// It answers the load pattern of a pool with more demand than it can serve for a while. Late
// orders stood behind all others, so that those of one kind of request waited until they
// expired at the deadline of their callers, who then had no time left for another attempt.
// An order that can't be made while it is of use is withdrawn; the others get a small share
// of the calls.
package lateness

import "time"

const (
	// lateShare is the share of the pieces that late orders get while others wait: an
	// answer that is late is worth less than one in time, but more than none. With
	// 0.1, 3% fewer orders were in time in the replay of core/batch at a load of 1.1.
	lateShare = 0.05
	// hopelessCalls is the time for which an order is hopeless before it is withdrawn, in
	// calls.
	hopelessCalls = 1.0
	// lastCalls is the time before its end of use, in calls, from which a late order takes
	// its turn. Until then there may be less demand, and it costs others nothing.
	lastCalls = 3
)

// Load is the state of a queue.
type Load struct {
	Now time.Time
	// CallTime is the duration of a call, and PerCallTime the number of pieces that the
	// group makes in it.
	CallTime    time.Duration
	PerCallTime float64
	// InTime is the number of waiting pieces of orders that are not late.
	InTime int
}

// Hopeless reports whether a late order can't be made while it is of use, given the number of
// pieces of late orders before it.
func Hopeless(l Load, usefulUntil time.Time, lateAhead int) bool {
	// Late orders are made after the others. While more of those come than the group can
	// make, late orders get their share alone.
	ahead := float64(l.InTime + lateAhead)
	if ahead > l.PerCallTime {
		ahead = float64(lateAhead) / lateShare
	}
	wait := ahead / max(l.PerCallTime, 1) * float64(l.CallTime)
	return l.Now.Add(l.CallTime + time.Duration(wait)).After(usefulUntil)
}

// Withdraw reports whether an order that is hopeless since a time, zero if it isn't, is to be
// withdrawn: when it can't be made even without a wait, or has been hopeless for a call's
// time. Demand varies, and predictions with it.
func Withdraw(l Load, usefulUntil, hopelessSince time.Time) bool {
	if l.Now.Add(l.CallTime).After(usefulUntil) {
		return true
	}
	return !hopelessSince.IsZero() && l.Now.Sub(hopelessSince) >= time.Duration(hopelessCalls*float64(l.CallTime))
}

// Turns counts the pieces that late orders may have before others. The zero value allows none.
type Turns struct{ credit float64 }

// Record records the pieces of a call. The credit is bounded by those of one full call, so
// that a phase without late orders is not made up for.
func (t *Turns) Record(late, inTime, full int) {
	t.credit = min(t.credit+lateShare*float64(inTime)-(1-lateShare)*float64(late), float64(full))
	t.credit = max(t.credit, -float64(full))
}

// Due reports whether it is the turn of a late order with a number of pieces, which is of use
// until a time.
func (t *Turns) Due(l Load, usefulUntil time.Time, pieces, full int) bool {
	lastChance := l.Now.Add(lastCalls * l.CallTime).After(usefulUntil)
	return lastChance && t.credit >= float64(min(pieces, full))
}
