// Package fleet keeps an entry's connections to its subset of agents in step
// with the platform's list of instances. Besides the fleet it exports its
// options.
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

// Periods and bounds of watching the list.
const (
	DefaultPeriod = time.Second
	listTimeout   = 2 * time.Second
	// goneAfter is how long an instance may be missing from the list before
	// its connections are closed.
	goneAfter = 10 * time.Second
)

// Options configures a fleet.
type Options struct {
	List   sequoialead.List
	Subset subset.Options
	// Dial returns the peer for an agent.
	Dial func(sequoialead.Instance) sequoialead.Peer
	// Period is the time between two looks at the list.
	Period time.Duration
}

type member struct {
	instance sequoialead.Instance
	peer     sequoialead.Peer
	// missing is when the instance was first not in the list; zero while it is.
	missing time.Time
}

// Fleet holds the agents that an entry may route to.
type Fleet struct {
	opts Options
	tomb tomb.Tomb

	mu sync.Mutex
	// members are found by address: an instance that is replaced under its old
	// name is another member.
	members map[string]*member
	// pools holds the peers of members by pool. Its slices are never changed.
	pools map[string][]sequoialead.Peer
	// listed is the list as last read; chosen and entries are made from it.
	listed  []sequoialead.Instance
	chosen  []sequoialead.Instance
	entries []sequoialead.Instance
	// read is when the list was last read.
	read time.Time
}

// New returns a fleet without members.
func New(opts Options) *Fleet {
	if opts.Period == 0 {
		opts.Period = DefaultPeriod
	}
	return &Fleet{opts: opts, members: map[string]*member{}}
}

var _ sequoialead.Service = (*Fleet)(nil)

// Start begins to watch the list.
func (f *Fleet) Start(context.Context) error {
	f.tomb.Go(f.run)
	return nil
}

// Close closes all connections.
func (f *Fleet) Close() error {
	f.tomb.Kill(nil)
	err := f.tomb.Wait()
	f.mu.Lock()
	members := f.members
	f.members = map[string]*member{}
	f.mu.Unlock()
	for _, m := range members {
		if cerr := m.peer.Close(); err == nil {
			err = cerr
		}
	}
	return err
}

// Peers returns the agents of a pool. The caller must not change the slice.
func (f *Fleet) Peers(pool string) []sequoialead.Peer {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.pools[pool]
}

// All returns the agents with what the list says of them.
func (f *Fleet) All() map[sequoialead.Instance]sequoialead.Peer {
	f.mu.Lock()
	defer f.mu.Unlock()
	all := make(map[sequoialead.Instance]sequoialead.Peer, len(f.members))
	for _, m := range f.members {
		all[m.instance] = m.peer
	}
	return all
}

// Entries returns the entries of the list.
func (f *Fleet) Entries() []sequoialead.Instance {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.entries)
}

// Read returns when the list was last read.
func (f *Fleet) Read() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.read
}

// Announce tells all agents of a new version.
func (f *Fleet) Announce() {
	for _, peer := range f.All() {
		peer.Announce()
	}
}

func (f *Fleet) run() error {
	ctx := f.tomb.Context(context.Background())
	ticker := time.NewTicker(f.opts.Period)
	defer ticker.Stop()
	for {
		f.look(ctx)
		select {
		case <-f.tomb.Dying():
			return nil
		case <-ticker.C:
		}
	}
}

func (f *Fleet) look(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	instances, err := f.opts.List.Instances(ctx)
	if err != nil {
		return // the last list stays in use
	}
	for _, peer := range f.update(instances, time.Now()) {
		_ = peer.Close() // nothing is left to do with it
	}
}

// update takes a list and returns the peers that are to be closed.
func (f *Fleet) update(instances []sequoialead.Instance, now time.Time) []sequoialead.Peer {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.read = now
	f.choose(instances)
	wanted := map[string]bool{}
	for _, i := range f.chosen {
		key := i.Addr.String()
		wanted[key] = true
		m := f.members[key]
		if m == nil {
			m = &member{peer: f.opts.Dial(i)}
			f.members[key] = m
		}
		m.instance = i
		m.missing = time.Time{}
		m.peer.SetLeaving(i.Leaving)
	}
	gone := f.prune(wanted, now)
	f.pools = map[string][]sequoialead.Peer{}
	for _, m := range f.members {
		f.pools[m.instance.Pool] = append(f.pools[m.instance.Pool], m.peer)
	}
	return gone
}

// choose selects the subset anew if the list has changed.
func (f *Fleet) choose(instances []sequoialead.Instance) {
	if slices.Equal(instances, f.listed) {
		return
	}
	f.listed = instances
	f.chosen = subset.Select(f.opts.Subset, instances)
	f.entries = nil
	for _, i := range instances {
		if i.Role == sequoialead.RoleEntry {
			f.entries = append(f.entries, i)
		}
	}
}

func (f *Fleet) prune(wanted map[string]bool, now time.Time) []sequoialead.Peer {
	var gone []sequoialead.Peer
	for key, m := range f.members {
		if wanted[key] {
			continue
		}
		if m.missing.IsZero() {
			m.missing = now
		}
		m.peer.SetLeaving(true)
		if now.Sub(m.missing) > goneAfter {
			delete(f.members, key)
			gone = append(gone, m.peer)
		}
	}
	return gone
}
