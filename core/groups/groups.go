// Package groups divides the backend servers of a pool into groups. Each group is led
// by one entry, which queues the work of all entries for it. All entries compute the
// same division from the same lists, without exchanging messages.
package groups

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
	rendezvous "github.com/dgryski/go-rendezvous"

	"sequoialead"
	"sequoialead/core/membership"
)

// MaxUndivided is the maximum number of backend servers of a pool that forms a
// single group. A pool with more servers has a group for each failure domain. Each
// group then has so many servers that the wait for an idle one is short.
const MaxUndivided = 8

// Groups is the division of one pool into groups.
type Groups struct {
	// leaders maps the name of a group to its leading entry.
	leaders map[string]string
	// servers maps a leader to the IDs of the backend servers that it leads.
	servers map[string]map[string]bool
	// names holds the sorted names of the groups. A group is named after its failure
	// domain, but in a pool of at most MaxUndivided backend servers the only group has
	// an empty name.
	names []string
}

// New divides the backend servers of a pool among entries.
func New(pool string, entries []membership.Member, servers []sequoialead.Server) *Groups {
	g := &Groups{leaders: map[string]string{}, servers: map[string]map[string]bool{}}
	if len(entries) == 0 {
		return g
	}
	for _, s := range servers {
		name := ""
		if len(servers) > MaxUndivided {
			name = s.Domain
		}
		leader, ok := g.leaders[name]
		if !ok {
			leader = chooseLeader(pool, name, entries)
			g.leaders[name] = leader
			g.names = append(g.names, name)
		}
		if g.servers[leader] == nil {
			g.servers[leader] = map[string]bool{}
		}
		g.servers[leader][s.ID] = true
	}
	slices.SortFunc(g.names, cmp.Compare[string])
	return g
}

// Leader returns the leader of the group for a failure domain. If the domain has no
// group, it chooses a leader by the request's ID, so that the requests of the domain
// are spread over all groups. It returns an empty string if there is no group.
func (g *Groups) Leader(domain, request string) string {
	if leader, ok := g.leaders[domain]; ok {
		return leader
	}
	return pickByRequest(g.Leaders(), request)
}

// OverflowLeader returns a leader that differs from the one that Leader returns for
// the same arguments. It is chosen by the request's ID; empty if there is none.
func (g *Groups) OverflowLeader(domain, request string) string {
	preferred := g.Leader(domain, request)
	return pickByRequest(slices.DeleteFunc(g.Leaders(), func(leader string) bool { return leader == preferred }), request)
}

func pickByRequest(leaders []string, request string) string {
	if len(leaders) == 0 {
		return ""
	}
	return leaders[xxhash.Sum64String(request)%uint64(len(leaders))]
}

// Leaders returns the leaders of all groups, in the order of the groups' names.
func (g *Groups) Leaders() []string {
	leaders := make([]string, 0, len(g.names))
	for _, name := range g.names {
		leaders = append(leaders, g.leaders[name])
	}
	return leaders
}

// Group is one group of a pool.
type Group struct {
	// Domain is the failure domain of its backend servers; empty for the only group of a
	// pool that is not divided.
	Domain string
	Leader string
}

// List returns all groups, in the order of their names.
func (g *Groups) List() []Group {
	list := make([]Group, len(g.names))
	for i, name := range g.names {
		list[i] = Group{Domain: name, Leader: g.leaders[name]}
	}
	return list
}

// Servers returns the IDs of the backend servers that an entry leads.
func (g *Groups) Servers(entry string) map[string]bool { return g.servers[entry] }

// chooseLeader chooses the leader of a group by rendezvous hashing, among the strong
// entries of the group's failure domain, or of all domains if that one has no entry.
func chooseLeader(pool, group string, entries []membership.Member) string {
	var local []membership.Member
	for _, e := range entries {
		if e.Domain == group {
			local = append(local, e)
		}
	}
	if len(local) == 0 {
		local = entries
	}
	var names []string
	for _, e := range membership.Strong(local) {
		names = append(names, e.Name)
	}
	return rendezvous.New(names, xxhash.Sum64String).Lookup(pool + "/" + group)
}
