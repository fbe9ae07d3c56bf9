// Package subset selects the agents that an entry connects to, so that not every
// entry needs a connection to every agent.
package subset

import (
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"sequoialead"
)

// Options configures Select.
type Options struct {
	// Entry is the name of the entry that the agents are selected for.
	Entry string
	// MaxFullPool is the maximum number of agents of a pool for which the entry
	// connects to all of them.
	MaxFullPool int
	// EntriesPerAgent is the number of entries that connect to each agent of a
	// larger pool. Some agents get more of them, since each entry connects to at
	// least one agent of each pool in each failure domain.
	EntriesPerAgent int
}

// Select returns the agents that an entry connects to, sorted by name: all agents
// of pools of up to MaxFullPool agents, the agents of other pools for which the
// entry is among the EntriesPerAgent entries that rank highest by rendezvous
// hashing, and at least one agent of each pool in each failure domain. With no
// more than EntriesPerAgent entries, each connects to all agents. When an entry
// joins or leaves, the selection changes only for the agents that it connects
// to.
func Select(opts Options, instances []sequoialead.Instance) []sequoialead.Instance {
	var entryNames []string
	groups := map[[2]string][]sequoialead.Instance{}
	poolSizes := map[string]int{}
	for _, i := range instances {
		switch i.Role {
		case sequoialead.RoleEntry:
			entryNames = append(entryNames, i.Name)
		case sequoialead.RoleAgent:
			key := [2]string{i.Pool, i.Domain}
			groups[key] = append(groups[key], i)
			poolSizes[i.Pool]++
		}
	}
	if !slices.Contains(entryNames, opts.Entry) {
		entryNames = append(entryNames, opts.Entry)
	}
	var selected []sequoialead.Instance
	for key, group := range groups {
		if poolSizes[key[0]] <= opts.MaxFullPool || opts.EntriesPerAgent >= len(entryNames) {
			selected = append(selected, group...)
			continue
		}
		selected = append(selected, selectGroup(opts, entryNames, group)...)
	}
	slices.SortFunc(selected, func(a, b sequoialead.Instance) int { return strings.Compare(a.Name, b.Name) })
	return selected
}

// selectGroup returns the agents of one pool in one failure domain for which the
// entry is among the opts.EntriesPerAgent highest-ranked entries. If there is
// none, it returns the agent with the highest score.
func selectGroup(opts Options, entries []string, group []sequoialead.Instance) []sequoialead.Instance {
	var selected []sequoialead.Instance
	best, bestScore := 0, uint64(0)
	for i, agent := range group {
		entryScore := score(opts.Entry, agent.Name)
		if entryScore >= bestScore {
			best, bestScore = i, entryScore
		}
		if rank(entryScore, entries, agent.Name) < opts.EntriesPerAgent {
			selected = append(selected, agent)
		}
	}
	if len(selected) == 0 {
		selected = append(selected, group[best])
	}
	return selected
}

// score returns the rendezvous hash of an entry and an agent. The zero byte
// separates the names, so that different pairs do not hash the same bytes.
func score(entry, agent string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(entry) // never fails
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(agent)
	return d.Sum64()
}

// rank returns the number of entries whose score for an agent is higher than the
// given one.
func rank(entryScore uint64, entries []string, agent string) int {
	higher := 0
	for _, entry := range entries {
		if score(entry, agent) > entryScore {
			higher++
		}
	}
	return higher
}
