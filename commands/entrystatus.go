package commands

import (
	"maps"
	"slices"
	"sort"

	coreentry "sequoialead/core/entry"
	"sequoialead/core/fleet"
	"sequoialead/core/follow"
	"sequoialead/io/operator"
)

// entryStatus returns an entry's status for operators: its view of the agents and
// entries, its configuration and its counters.
func entryStatus(s entrySettings, entry *coreentry.Entry, follower *follow.Follower, members *fleet.Fleet) operator.StatusResponse {
	stats := entry.Stats()
	conf, version := follower.Current()
	answer := operator.StatusResponse{
		Name:             s.name,
		Domain:           s.domain,
		Version:          version,
		LogRead:          follower.CaughtUp(),
		ListRead:         members.LastRead(),
		InFlight:         entry.InFlight(),
		Outcomes:         stats.Outcomes,
		Entries:          []operator.Entry{},
		EvacuatedDomains: slices.Sorted(maps.Keys(conf.EvacuatedDomains)),
	}
	for instance, agent := range members.All() {
		c, usable := agent.Candidate()
		_, connected := agent.Hello()
		answer.Agents = append(answer.Agents, operator.Agent{
			Name:      instance.Name,
			Pool:      instance.Pool,
			Domain:    instance.Domain,
			Addr:      instance.Addr,
			Connected: connected,
			Leaving:   connected && !usable,
			Limit:     c.Load.Limit,
			Running:   c.Load.Running,
			Queued:    c.Load.Queued,
			Version:   c.Load.Version,
		})
	}
	sort.Slice(answer.Agents, func(i, j int) bool { return answer.Agents[i].Name < answer.Agents[j].Name })
	for _, i := range members.Entries() {
		answer.Entries = append(answer.Entries, operator.Entry{Name: i.Name, Addr: i.Addr})
	}
	for key, c := range stats.Costs {
		answer.Costs = append(answer.Costs, operator.Cost{
			Pipeline:      key.Pipeline,
			Stage:         key.Stage,
			Customer:      key.Customer,
			Calls:         c.Calls,
			Service:       c.Service,
			Tokens:        c.Tokens,
			WastedService: c.WastedService,
			WastedTokens:  c.WastedTokens,
		})
	}
	return answer
}
