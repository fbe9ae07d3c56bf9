package pool

import (
	"cmp"
	"slices"
	"time"

	"sequoialead"
	"sequoialead/core/availability"
)

// ReadyAt returns when the first of the backend servers that want nothing now may be sent to
// again; zero if there is none.
func (p *Pool) ReadyAt(request Request, now time.Time) time.Time {
	var first time.Time
	for _, m := range p.members {
		until := m.state.HeldUntil()
		if m.state.Leaving() || !now.Before(until) || request.Exclude[m.Server.ID] {
			continue
		}
		if first.IsZero() || until.Before(first) {
			first = until
		}
	}
	return first
}

// RecordNotice records what a backend server said of itself in an answer to the request at
// a place. It reports whether this entry did not know.
func (p *Pool) RecordNotice(place *Place, notice sequoialead.ServerNotice, now time.Time) bool {
	return place.member.state.RecordNotice(notice, p.opts.Limits.MaxHold, now)
}

// Find returns what counts against the present process of a backend server; nil if it is
// not listed.
func (p *Pool) Find(id string) *availability.Server {
	i, ok := slices.BinarySearchFunc(p.members, id, func(m *member, id string) int { return cmp.Compare(m.Server.ID, id) })
	if !ok {
		return nil
	}
	return p.members[i].state
}

// MaxHold returns the longest time for which a backend server may be held off.
func (p *Pool) MaxHold() time.Duration { return p.opts.Limits.MaxHold }

// Held returns the number of backend servers that nothing may be sent to because of what they
// said, by cause.
func (p *Pool) Held(now time.Time) map[availability.Cause]int {
	counts := map[availability.Cause]int{availability.CauseLeaving: 0, availability.CauseHeld: 0}
	for _, m := range p.members {
		switch {
		case m.state.Leaving():
			counts[availability.CauseLeaving]++
		case now.Before(m.state.HeldUntil()):
			counts[availability.CauseHeld]++
		}
	}
	return counts
}
