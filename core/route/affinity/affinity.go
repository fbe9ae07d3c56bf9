// Package affinity routes prompts with the same prefix to the same candidate, whose
// prefix cache then holds it, unless that candidate is overloaded: consistent hashing
// with bounded loads.
package affinity

import (
	"github.com/cespare/xxhash/v2"
	rendezvous "github.com/dgryski/go-rendezvous"

	"sequoialead"
)

// maxLoadFactor is the maximum load of a candidate, as a multiple of the mean load.
const maxLoadFactor = 1.25

// prefixBytes is the length of the prefix of a prompt that determines the candidate.
const prefixBytes = 256

// Router implements the policy.
type Router struct {
	// fallback chooses if the prefix is empty or all candidates are overloaded.
	fallback sequoialead.Router
}

var _ sequoialead.Router = (*Router)(nil)

// New returns a router. The fallback is used if the prefix is empty or all candidates
// are overloaded.
func New(fallback sequoialead.Router) *Router { return &Router{fallback: fallback} }

// Pick returns the index of the candidate that the first prefixBytes bytes of the
// prefix hash to, among those whose utilization is not above the maximum. It uses the
// fallback if the prefix is empty or there is no such candidate.
func (r *Router) Pick(candidates []sequoialead.Candidate, prefix string) int {
	if prefix == "" {
		return r.fallback.Pick(candidates, prefix)
	}
	if len(prefix) > prefixBytes {
		prefix = prefix[:prefixBytes]
	}
	maxUtilization := maxLoadFactor * (meanUtilization(candidates) + 1/float64(meanLimit(candidates)))
	indexByName := make(map[string]int, len(candidates))
	var names []string
	for i, c := range candidates {
		if c.Utilization() <= maxUtilization {
			indexByName[c.Name] = i
			names = append(names, c.Name)
		}
	}
	if len(names) == 0 {
		return r.fallback.Pick(candidates, prefix)
	}
	return indexByName[rendezvous.New(names, xxhash.Sum64String).Lookup(prefix)]
}

func meanUtilization(candidates []sequoialead.Candidate) float64 {
	sum := 0.0
	for _, c := range candidates {
		sum += c.Utilization()
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
