// Package roundrobin is round-robin routing, without regard to load. It serves as the
// baseline for other policies.
package roundrobin

import "sequoialead"

// Router implements the policy.
type Router struct {
	last int
}

var _ sequoialead.Router = (*Router)(nil)

// New returns a router.
func New() *Router { return &Router{} }

// Pick returns the index of the chosen candidate.
func (r *Router) Pick(candidates []sequoialead.Candidate, _ string) int {
	r.last++
	return r.last % len(candidates)
}
