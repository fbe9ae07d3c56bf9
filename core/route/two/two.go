// Package two routes to the less busy of two random candidates, of the own
// failure domain while that has room.
package two

import (
	"math/rand/v2"

	"sequoialead"
)

// LocalMost is how busy the own failure domain's candidates may be before
// those of others are considered.
const LocalMost = 0.8

// Router is the policy.
type Router struct {
	domain string
	random *rand.Rand
}

var _ sequoialead.Router = (*Router)(nil)

// New returns the policy for an entry in the given failure domain.
func New(domain string, random *rand.Rand) *Router {
	return &Router{domain: domain, random: random}
}

// Pick returns the index of the chosen candidate.
func (r *Router) Pick(candidates []sequoialead.Candidate, _ string) int {
	local := make([]int, 0, len(candidates))
	for i, c := range candidates {
		if c.Domain == r.domain && c.Busy() < LocalMost {
			local = append(local, i)
		}
	}
	if len(local) == 0 {
		for i := range candidates {
			local = append(local, i)
		}
	}
	a := local[r.random.IntN(len(local))]
	b := local[r.random.IntN(len(local))]
	if candidates[b].Busy() < candidates[a].Busy() {
		return b
	}
	return a
}
