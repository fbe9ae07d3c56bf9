// Package round routes to each candidate in turn, without regard to load. It
// is the baseline for other policies.
package round

import "sequoialead"

// Router is the policy.
type Router struct {
	turn int
}

var _ sequoialead.Router = (*Router)(nil)

// New returns the policy.
func New() *Router { return &Router{} }

// Pick returns the index of the chosen candidate.
func (r *Router) Pick(candidates []sequoialead.Candidate, _ string) int {
	r.turn++
	return r.turn % len(candidates)
}
