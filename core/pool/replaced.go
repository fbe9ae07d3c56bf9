package pool

import (
	"cmp"
	"slices"
	"time"
)

// HasPlace reports whether Acquire would return a place now.
func (p *Pool) HasPlace(request Request, now time.Time) bool {
	best, _ := p.choose(request, p.home(request.Prompt), now)
	return best != nil
}

// Replaced reports whether another process has taken the place of the backend server's, so that
// no answer can come from that one any more.
func (p *Pool) Replaced(place *Place) bool {
	i, ok := slices.BinarySearchFunc(p.members, place.Server.ID, func(m *member, id string) int { return cmp.Compare(m.Server.ID, id) })
	return ok && p.members[i].Server.StartedAt.After(place.Server.StartedAt)
}
