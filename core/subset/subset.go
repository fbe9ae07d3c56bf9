// Package subset chooses the agents that an entry connects to, so that no
// entry needs a connection to all.
package subset

import (
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"sequoialead"
)

// Options sizes a subset.
type Options struct {
	// Entry is the name of the entry.
	Entry string
	// Least is the number of agents of each pool below which all are taken.
	Least int
	// Cover is the number of entries that each agent should have.
	Cover int
}

// Select returns the agents that an entry connects to: those for which it is
// among the first entries by rendezvous hash, and at least a few of each pool
// in each failure domain.
func Select(opts Options, instances []sequoialead.Instance) []sequoialead.Instance {
	var entries []string
	groups := map[[2]string][]sequoialead.Instance{}
	pools := map[string]int{}
	for _, i := range instances {
		switch i.Role {
		case sequoialead.RoleEntry:
			entries = append(entries, i.Name)
		case sequoialead.RoleAgent:
			key := [2]string{i.Pool, i.Domain}
			groups[key] = append(groups[key], i)
			pools[i.Pool]++
		}
	}
	if !slices.Contains(entries, opts.Entry) {
		entries = append(entries, opts.Entry)
	}
	var chosen []sequoialead.Instance
	for key, group := range groups {
		if pools[key[0]] <= opts.Least || opts.Cover >= len(entries) {
			chosen = append(chosen, group...)
			continue
		}
		chosen = append(chosen, covered(opts, entries, group)...)
	}
	slices.SortFunc(chosen, func(a, b sequoialead.Instance) int { return strings.Compare(a.Name, b.Name) })
	return chosen
}

// covered returns the agents of one pool and failure domain that the entry
// covers, and at least one.
func covered(opts Options, entries []string, group []sequoialead.Instance) []sequoialead.Instance {
	var chosen []sequoialead.Instance
	best, bestScore := 0, uint64(0)
	for i, agent := range group {
		own := score(opts.Entry, agent.Name)
		if own >= bestScore {
			best, bestScore = i, own
		}
		if rank(own, entries, agent.Name) < opts.Cover {
			chosen = append(chosen, agent)
		}
	}
	if len(chosen) == 0 {
		chosen = append(chosen, group[best])
	}
	return chosen
}

// score is the weight of a pair in the rendezvous hash.
func score(entry, agent string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(entry) // never fails
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(agent)
	return d.Sum64()
}

// rank returns how many entries have a higher score with an agent.
func rank(own uint64, entries []string, agent string) int {
	higher := 0
	for _, entry := range entries {
		if score(entry, agent) > own {
			higher++
		}
	}
	return higher
}
