// Package fleet maintains an entry's connections to its subset of agents as the
// platform's instance list changes.
package fleet

import (
	"context"
	"slices"
	"sync"
	"time"

	"gopkg.in/tomb.v2"

	"sequoialead"
	"sequoialead/core/subset"
)

const (
	// DefaultRefreshInterval is the interval between reads of the instance list.
	DefaultRefreshInterval = time.Second
	// listTimeout is the timeout of one read of the instance list.
	listTimeout = 2 * time.Second
	// missingGrace is how long an instance may be missing from the selected
	// subset before its connections are closed.
	missingGrace = 10 * time.Second
)

// Options configures a fleet.
type Options struct {
	// List reads the platform's instance list.
	List sequoialead.List
	// Subset configures which agents the entry connects to.
	Subset subset.Options
	// Dial returns a new client that connects to an agent.
	Dial func(sequoialead.Instance) sequoialead.AgentClient
	// RefreshInterval is the interval between reads of the list;
	// DefaultRefreshInterval if zero.
	RefreshInterval time.Duration
}

type member struct {
	instance sequoialead.Instance
	agent    sequoialead.AgentClient
	// missingSince is when the instance was first found missing from the selected
	// subset; zero while the subset contains it.
	missingSince time.Time
}

// Fleet is the set of agents that an entry may route to. It is safe for
// concurrent use.
type Fleet struct {
	opts Options
	tomb tomb.Tomb

	mu sync.Mutex
	// members is keyed by the agent's address rather than its name, because an
	// instance that is replaced under the same name needs a new connection.
	members map[string]*member
	// pools holds the members' agents by pool name. It is replaced rather than
	// modified, so that Agents can return its slices without copying.
	pools map[string][]sequoialead.AgentClient
	// instances is the list as last read. selected holds the agents of the list
	// that this entry connects to; entries holds the instances whose role is entry.
	instances []sequoialead.Instance
	selected  []sequoialead.Instance
	entries   []sequoialead.Instance
	// lastRead is when the list was last read successfully.
	lastRead time.Time
}

// New returns a fleet without members. They are added once it is started.
func New(opts Options) *Fleet {
	if opts.RefreshInterval == 0 {
		opts.RefreshInterval = DefaultRefreshInterval
	}
	return &Fleet{opts: opts, members: map[string]*member{}}
}

var _ sequoialead.Service = (*Fleet)(nil)

// Start starts reading the instance list periodically.
func (f *Fleet) Start(context.Context) error {
	f.tomb.Go(f.run)
	return nil
}

// Close stops reading the list and closes all connections. It returns the first
// error.
func (f *Fleet) Close() error {
	f.tomb.Kill(nil)
	err := f.tomb.Wait()
	f.mu.Lock()
	members := f.members
	f.members = map[string]*member{}
	f.mu.Unlock()
	for _, m := range members {
		if cerr := m.agent.Close(); err == nil {
			err = cerr
		}
	}
	return err
}

// Agents returns the agents of a pool. The caller must not modify the slice.
func (f *Fleet) Agents(pool string) []sequoialead.AgentClient {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.pools[pool]
}

// All returns all agents, keyed by their instance as last listed.
func (f *Fleet) All() map[sequoialead.Instance]sequoialead.AgentClient {
	f.mu.Lock()
	defer f.mu.Unlock()
	all := make(map[sequoialead.Instance]sequoialead.AgentClient, len(f.members))
	for _, m := range f.members {
		all[m.instance] = m.agent
	}
	return all
}

// Entries returns the instances of the list whose role is entry.
func (f *Fleet) Entries() []sequoialead.Instance {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.entries)
}

// LastRead returns when the list was last read successfully; zero if never.
func (f *Fleet) LastRead() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.lastRead
}

// AnnounceVersion notifies all agents of a new configuration version.
func (f *Fleet) AnnounceVersion() {
	for _, agent := range f.All() {
		agent.AnnounceVersion()
	}
}

func (f *Fleet) run() error {
	ctx := f.tomb.Context(context.Background())
	ticker := time.NewTicker(f.opts.RefreshInterval)
	defer ticker.Stop()
	for {
		f.refresh(ctx)
		select {
		case <-f.tomb.Dying():
			return nil
		case <-ticker.C:
		}
	}
}

func (f *Fleet) refresh(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	instances, err := f.opts.List.Instances(ctx)
	if err != nil {
		return // the previous list stays in use
	}
	for _, agent := range f.update(instances, time.Now()) {
		_ = agent.Close() // the client is no longer used, so an error has no effect
	}
}

// update applies an instance list and returns the removed agents, which the caller
// closes.
func (f *Fleet) update(instances []sequoialead.Instance, now time.Time) []sequoialead.AgentClient {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lastRead = now
	f.selectSubset(instances)
	wanted := map[string]bool{}
	for _, i := range f.selected {
		key := i.Addr.String()
		wanted[key] = true
		m := f.members[key]
		if m == nil {
			m = &member{agent: f.opts.Dial(i)}
			f.members[key] = m
		}
		m.instance = i
		m.missingSince = time.Time{}
		m.agent.SetLeaving(i.Leaving)
	}
	pruned := f.prune(wanted, now)
	f.pools = map[string][]sequoialead.AgentClient{}
	for _, m := range f.members {
		f.pools[m.instance.Pool] = append(f.pools[m.instance.Pool], m.agent)
	}
	return pruned
}

// selectSubset selects the agents to connect to if the list has changed.
func (f *Fleet) selectSubset(instances []sequoialead.Instance) {
	if slices.Equal(instances, f.instances) {
		return
	}
	f.instances = instances
	f.selected = subset.Select(f.opts.Subset, instances)
	f.entries = nil
	for _, i := range instances {
		if i.Role == sequoialead.RoleEntry {
			f.entries = append(f.entries, i)
		}
	}
}

// prune stops the routing of new calls to members that are not in the selected
// subset. It removes those that have been missing from it for longer than
// missingGrace and returns their agents. The keys of wanted are the addresses of the
// selected agents.
func (f *Fleet) prune(wanted map[string]bool, now time.Time) []sequoialead.AgentClient {
	var pruned []sequoialead.AgentClient
	for key, m := range f.members {
		if wanted[key] {
			continue
		}
		if m.missingSince.IsZero() {
			m.missingSince = now
		}
		m.agent.SetLeaving(true)
		if now.Sub(m.missingSince) > missingGrace {
			delete(f.members, key)
			pruned = append(pruned, m.agent)
		}
	}
	return pruned
}
