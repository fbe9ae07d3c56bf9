package subset_test

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"sequoialead"
	"sequoialead/core/subset"
)

// makeInstances returns an instance list whose agents are spread evenly over the
// failure domains.
func makeInstances(entries, agents, domains int) []sequoialead.Instance {
	var all []sequoialead.Instance
	for i := range entries {
		all = append(all, sequoialead.Instance{Name: fmt.Sprint("e", i), Role: sequoialead.RoleEntry})
	}
	for i := range agents {
		all = append(all, sequoialead.Instance{Name: fmt.Sprint("a", i), Role: sequoialead.RoleAgent, Pool: "p", Domain: fmt.Sprint("d", i%domains)})
	}
	return all
}

func TestSmallPoolIsSelectedWhole(t *testing.T) {
	c := qt.New(t)
	got := subset.Select(subset.Options{Entry: "e0", MaxFullPool: 32, EntriesPerAgent: 8}, makeInstances(4, 30, 4))
	c.Assert(got, qt.HasLen, 30)
}

// Every agent is selected by at least EntriesPerAgent entries, and every entry
// selects agents in each failure domain, about as many as the other entries.
func TestEntriesPerAgentIsEven(t *testing.T) {
	c := qt.New(t)
	const entries, agents, domains, entriesPerAgent = 40, 700, 5, 4
	all := makeInstances(entries, agents, domains)
	entryCounts := map[string]int{}
	for i := range entries {
		reached := map[string]bool{}
		chosen := subset.Select(subset.Options{Entry: fmt.Sprint("e", i), MaxFullPool: 32, EntriesPerAgent: entriesPerAgent}, all)
		for _, a := range chosen {
			entryCounts[a.Name]++
			reached[a.Domain] = true
		}
		c.Assert(reached, qt.HasLen, domains)
		mean := agents * entriesPerAgent / entries
		c.Assert(len(chosen) > mean/2 && len(chosen) < 2*mean, qt.IsTrue, qt.Commentf("%d agents", len(chosen)))
	}
	for _, n := range entryCounts {
		c.Assert(n >= entriesPerAgent, qt.IsTrue)
	}
	c.Assert(entryCounts, qt.HasLen, agents)
}

// When an entry leaves the list, the others keep their agents and only add some
// of those that it was connected to.
func TestLostEntryMovesFewAgents(t *testing.T) {
	c := qt.New(t)
	opts := subset.Options{Entry: "e0", MaxFullPool: 32, EntriesPerAgent: 4}
	all := makeInstances(40, 700, 5)
	before := map[string]bool{}
	for _, a := range subset.Select(opts, all) {
		before[a.Name] = true
	}
	after := subset.Select(opts, append(all[:39:39], all[40:]...))
	kept := 0
	for _, a := range after {
		if before[a.Name] {
			kept++
		}
	}
	c.Assert(kept, qt.Equals, len(before))
	c.Assert(len(after)-kept < 20, qt.IsTrue)
}

func BenchmarkSelect(b *testing.B) {
	for _, agents := range []int{400, 1600, 3200, 6100} {
		b.Run(fmt.Sprint(agents), func(b *testing.B) {
			all := makeInstances(340, agents, 17)
			for b.Loop() {
				subset.Select(subset.Options{Entry: "e0", MaxFullPool: 32, EntriesPerAgent: 8}, all)
			}
		})
	}
}
