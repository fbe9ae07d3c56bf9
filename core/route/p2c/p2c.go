// Package p2c routes to the less busy of two random candidates ("power of two
// choices"). It prefers candidates in the entry's own failure domain while their
// utilization is below a limit.
package p2c

import (
	"math/rand/v2"

	"sequoialead"
)

// maxLocalUtilization is the utilization from which a candidate in the entry's own
// failure domain is no longer preferred. If none is below it, all candidates are considered.
const maxLocalUtilization = 0.8

// Router implements the policy.
type Router struct {
	domain string
	random *rand.Rand
}

var _ sequoialead.Router = (*Router)(nil)

// New returns a router for an entry in the given failure domain.
func New(domain string, random *rand.Rand) *Router {
	return &Router{domain: domain, random: random}
}

// Pick returns the index of the chosen candidate.
func (r *Router) Pick(candidates []sequoialead.Candidate, _ string) int {
	eligible := make([]int, 0, len(candidates))
	for i, c := range candidates {
		if c.Domain == r.domain && c.Utilization() < maxLocalUtilization {
			eligible = append(eligible, i)
		}
	}
	if len(eligible) == 0 {
		for i := range candidates {
			eligible = append(eligible, i)
		}
	}
	a := eligible[r.random.IntN(len(eligible))]
	b := eligible[r.random.IntN(len(eligible))]
	if candidates[b].Utilization() < candidates[a].Utilization() {
		return b
	}
	return a
}
