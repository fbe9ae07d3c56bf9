// Package affinity routes prompts with the same start to the same candidate,
// whose prefix cache then holds it, while that candidate's load is bounded.
package affinity

import (
	"github.com/cespare/xxhash/v2"
	rendezvous "github.com/dgryski/go-rendezvous"

	"sequoialead"
)

// Bound is the most load of a candidate, as a multiple of the mean.
const Bound = 1.25

// PrefixBytes is the length of the start of a prompt that is looked at.
const PrefixBytes = 256

// Router is the policy.
type Router struct {
	// other chooses where there is no prefix.
	other sequoialead.Router
}

var _ sequoialead.Router = (*Router)(nil)

// New returns the policy. The other one is used where there is no prefix.
func New(other sequoialead.Router) *Router { return &Router{other: other} }

// Pick returns the index of the chosen candidate.
func (r *Router) Pick(candidates []sequoialead.Candidate, prefix string) int {
	if prefix == "" {
		return r.other.Pick(candidates, prefix)
	}
	if len(prefix) > PrefixBytes {
		prefix = prefix[:PrefixBytes]
	}
	bound := Bound * (meanUse(candidates) + 1/float64(meanLimit(candidates)))
	index := make(map[string]int, len(candidates))
	var names []string
	for i, c := range candidates {
		if c.Busy() <= bound {
			index[c.Name] = i
			names = append(names, c.Name)
		}
	}
	if len(names) == 0 {
		return r.other.Pick(candidates, prefix)
	}
	return index[rendezvous.New(names, xxhash.Sum64String).Lookup(prefix)]
}

func meanUse(candidates []sequoialead.Candidate) float64 {
	sum := 0.0
	for _, c := range candidates {
		sum += c.Busy()
	}
	return sum / float64(len(candidates))
}

func meanLimit(candidates []sequoialead.Candidate) int {
	sum := 0
	for _, c := range candidates {
		sum += max(c.Load.Limit, 1)
	}
	return max(sum/len(candidates), 1)
}
