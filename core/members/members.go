// Package members tracks the entries that share budgets and backend servers,
// from the records that each entry writes to the platform's store.
package members

import (
	"net/netip"
	"slices"
	"strings"
	"time"
)

// Options configures the set.
type Options struct {
	// Self is this entry.
	Self Entry
	// Assumed is the number of entries to assume until the records have been
	// read.
	Assumed int
	// Life is how long an entry counts as alive after its latest record was
	// read.
	Life time.Duration
}

// Entry is one entry of the system, as it is stored in its record.
type Entry struct {
	Name   string `cbor:"1,keyasint"`
	Domain string `cbor:"2,keyasint"`
	// Addr is where the entry accepts connections from other entries.
	Addr netip.AddrPort `cbor:"3,keyasint"`
}

type observation struct {
	Entry
	readAt time.Time
}

// Members is the set of entries that are alive. It is not safe for concurrent
// use.
type Members struct {
	opts     Options
	observed map[string]observation
	// synced is set once all records have been read.
	synced bool
}

// New returns a set that contains only this entry.
func New(opts Options) *Members {
	return &Members{opts: opts, observed: map[string]observation{}}
}

// Heard records that an entry's record was read. An entry that ended without
// deleting its record counts until Life has passed.
func (m *Members) Heard(e Entry, now time.Time) {
	m.observed[e.Name] = observation{Entry: e, readAt: now}
}

// Read records that all records so far have been read.
func (m *Members) Read() { m.synced = true }

// Left removes an entry whose record was deleted.
func (m *Members) Left(name string) { delete(m.observed, name) }

// All returns the entries sorted by name, this one included. It prunes entries
// whose last record was read more than Life ago.
func (m *Members) All(now time.Time) []Entry {
	all := []Entry{m.opts.Self}
	for name, s := range m.observed {
		if now.Sub(s.readAt) > m.opts.Life {
			delete(m.observed, name)
			continue
		}
		if name != m.opts.Self.Name {
			all = append(all, s.Entry)
		}
	}
	slices.SortFunc(all, func(a, b Entry) int { return strings.Compare(a.Name, b.Name) })
	return all
}

// Count returns the number of entries that may use a budget now: at least
// Assumed until all records have been read.
func (m *Members) Count(now time.Time) int {
	n := len(m.All(now))
	if !m.synced {
		n = max(n, m.opts.Assumed)
	}
	return n
}
