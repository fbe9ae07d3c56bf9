package groups_test

import (
	"fmt"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"sequoialead"
	"sequoialead/core/groups"
	"sequoialead/core/membership"
)

func entries(n int, domains ...string) []membership.Member {
	var list []membership.Member
	for i := range n {
		list = append(list, membership.Member{Name: fmt.Sprintf("e%d", i), Domain: domains[i%len(domains)]})
	}
	return list
}

func servers(n int, domains ...string) []sequoialead.Server {
	var list []sequoialead.Server
	for i := range n {
		list = append(list, sequoialead.Server{ID: fmt.Sprintf("s%d", i), Domain: domains[i%len(domains)]})
	}
	return list
}

func TestSmallPoolHasOneLeader(t *testing.T) {
	c := qt.New(t)
	g := groups.New("encode", entries(5, "a", "b"), servers(5, "a", "b"))
	c.Assert(g.Leader("a", "r"), qt.Equals, g.Leader("b", "r"))
	c.Assert(g.Servers(g.Leader("a", "r")), qt.HasLen, 5)
}

func TestLargePoolIsLedInEachDomain(t *testing.T) {
	c := qt.New(t)
	list := entries(8, "a", "b")
	g := groups.New("encode", list, servers(20, "a", "b"))
	for _, domain := range []string{"a", "b"} {
		leader := g.Leader(domain, "r")
		i := slices.IndexFunc(list, func(e membership.Member) bool { return e.Name == leader })
		c.Assert(list[i].Domain, qt.Equals, domain)
		c.Assert(g.Servers(leader), qt.HasLen, 10)
	}
	c.Assert(g.OverflowLeader("a", "r"), qt.Equals, g.Leader("b", "r"))
	c.Assert(g.Leaders(), qt.HasLen, 2)
}

// In a fleet of machines of different sizes, a small one that leads a group can't keep
// up with the orders of its failure domain.
func TestStrongEntriesLead(t *testing.T) {
	c := qt.New(t)
	list := entries(34, "a", "b")
	strong := map[string]bool{}
	for i := range list {
		list[i].CPU = 0.144
		if i >= 14 && i < 18 {
			list[i].CPU = 0.8
			strong[list[i].Name] = true
		}
	}
	for i := range 20 {
		for _, leader := range groups.New(fmt.Sprint("pool", i), list, servers(20, "a", "b")).Leaders() {
			c.Assert(strong[leader], qt.IsTrue, qt.Commentf("%s", leader))
		}
	}
}

// The requests of a failure domain without backend servers are spread over all groups.
func TestRequestsOfDomainWithoutServersAreSpread(t *testing.T) {
	c := qt.New(t)
	g := groups.New("encode", entries(8, "a", "b", "c", "d"), servers(20, "a", "b", "c"))
	n := map[string]int{}
	for i := range 300 {
		n[g.Leader("d", fmt.Sprint(i))]++
	}
	c.Assert(n, qt.HasLen, 3)
	for leader, count := range n {
		c.Assert(count > 60, qt.IsTrue, qt.Commentf("%s gets %d", leader, count))
	}
}

func TestNoLeaderWithoutEntriesOrServers(t *testing.T) {
	c := qt.New(t)
	c.Assert(groups.New("encode", nil, servers(3, "a")).Leader("a", "r"), qt.Equals, "")
	c.Assert(groups.New("encode", entries(2, "a"), nil).Leader("a", "r"), qt.Equals, "")
}

// The order of the lists does not matter, and each backend server has exactly one
// leader.
func TestAllEntriesAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		list := entries(rapid.IntRange(2, 9).Draw(t, "entries"), "a", "b", "c")
		pool := servers(rapid.IntRange(1, 20).Draw(t, "servers"), "a", "b", "c", "d")
		g := groups.New("encode", list, pool)
		shuffled := rapid.Permutation(list).Draw(t, "order")
		other := groups.New("encode", shuffled, rapid.Permutation(pool).Draw(t, "servers in order"))
		led := 0
		for _, e := range list {
			led += len(g.Servers(e.Name))
			if len(g.Servers(e.Name)) != len(other.Servers(e.Name)) {
				t.Fatalf("%s leads %d or %d", e.Name, len(g.Servers(e.Name)), len(other.Servers(e.Name)))
			}
		}
		if led != len(pool) {
			t.Fatalf("%d of %d backend servers are led", led, len(pool))
		}
	})
}
