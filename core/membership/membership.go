// Package membership tracks the entries, which are the daemons that accept
// callers' requests, from the records that each entry writes to the platform's
// store. The entries share retry budgets and backend servers.
package membership

import (
	"net/netip"
	"slices"
	"strings"
	"time"
)

// Options configures the set.
type Options struct {
	// Self is this entry.
	Self Member
	// AssumedEntries is the number of entries to assume until the records have been
	// read.
	AssumedEntries int
	// TTL is how long an entry counts as alive after its latest record was
	// read.
	TTL time.Duration
}

// Member is one entry of the system, as it is stored in its record.
type Member struct {
	Name   string `cbor:"1,keyasint"`
	Domain string `cbor:"2,keyasint"`
	// Addr is where the entry accepts connections from other entries.
	Addr netip.AddrPort `cbor:"3,keyasint"`
	// CPU is the processor time that the entry's machine provides, in cores; zero if
	// the record doesn't tell.
	CPU float64 `cbor:"4,keyasint,omitempty"`
}

// strongShare is the smallest processor time of a strong entry, as a part of that of
// the strongest one.
const strongShare = 0.5

// Strong returns the entries that should take on work for others: those with at least
// half of the processor time of the strongest of them.
func Strong(entries []Member) []Member {
	most := 0.0
	for _, e := range entries {
		most = max(most, e.CPU)
	}
	var strong []Member
	for _, e := range entries {
		if e.CPU >= strongShare*most {
			strong = append(strong, e)
		}
	}
	if len(strong) == 0 {
		return entries // their records hold no usable number
	}
	return strong
}

type observation struct {
	Member
	readAt time.Time
}

// Set is the set of entries that are alive. It is not safe for concurrent
// use.
type Set struct {
	opts     Options
	observed map[string]observation
	// synced is set once all records have been read.
	synced bool
}

// New returns a set that contains only this entry.
func New(opts Options) *Set {
	return &Set{opts: opts, observed: map[string]observation{}}
}

// Update adds an entry whose record was read, or restarts its TTL. An entry that
// ended without deleting its record counts as alive until TTL has passed.
func (set *Set) Update(m Member, now time.Time) {
	set.observed[m.Name] = observation{Member: m, readAt: now}
}

// SetSynced must be called after all records have been read for the first time.
func (set *Set) SetSynced() { set.synced = true }

// Synced reports whether all records have been read for the first time.
func (set *Set) Synced() bool { return set.synced }

// Remove removes an entry whose record was deleted.
func (set *Set) Remove(name string) { delete(set.observed, name) }

// All returns the entries sorted by name, this one included. It prunes entries
// whose last record was read more than TTL ago.
func (set *Set) All(now time.Time) []Member {
	all := []Member{set.opts.Self}
	for name, s := range set.observed {
		if now.Sub(s.readAt) > set.opts.TTL {
			delete(set.observed, name)
			continue
		}
		if name != set.opts.Self.Name {
			all = append(all, s.Member)
		}
	}
	slices.SortFunc(all, func(a, b Member) int { return strings.Compare(a.Name, b.Name) })
	return all
}

// Count returns the number of entries that shared limits are divided by: at
// least AssumedEntries until all records have been read.
func (set *Set) Count(now time.Time) int {
	n := len(set.All(now))
	if !set.synced {
		n = max(n, set.opts.AssumedEntries)
	}
	return n
}
