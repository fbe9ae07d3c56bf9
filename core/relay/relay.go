// Package relay asks other entries for the store's records, so that one entry
// reads the store for all, and an entry that can't read it still gets the
// records.
package relay

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	rendezvous "github.com/dgryski/go-rendezvous"

	"sequoialead"
	"sequoialead/core/membership"
	"sequoialead/core/protocol"
)

// Peers sends requests to other entries.
type Peers interface {
	// EnsureConnected reports whether an entry can be asked now. If there is no
	// connection to it yet, it starts to connect.
	EnsureConnected(name string) bool
	// QueryRecords asks an entry for records. It reports false if there was no
	// answer.
	QueryRecords(ctx context.Context, name string, request protocol.RecordsRequest) (protocol.RecordsResponse, bool)
}

// Options configures a relay.
type Options struct {
	// Self is this entry.
	Self  membership.Member
	Peers Peers
	Now   func() time.Time
}

const (
	// maxEntries is the number of entries that one reader serves. Each sends a
	// few requests a second, which takes about a hundredth of a core in all.
	// With more entries, each failure domain has a reader of its own.
	maxEntries = 64
	// maxCandidates is the maximum number of entries that one Read asks, one after
	// the other.
	maxCandidates = 2
	// queryTimeout is the timeout of a request. It allows several round trips, and
	// takes little of the time within which a change must be in force.
	queryTimeout = 150 * time.Millisecond
	// skipPeriod is how long an entry is skipped after it did not answer.
	skipPeriod = 2 * time.Second
	// stalePeriod is how long an entry is skipped after its records were too old. It
	// is shorter, because an entry that takes over from the reader of its failure
	// domain has current records soon.
	stalePeriod = 500 * time.Millisecond
	// maxRank bounds the result of Rank.
	maxRank = 4
)

// Relay chooses the entries to ask. It is safe for concurrent use.
type Relay struct {
	opts Options

	mu sync.Mutex
	// skipUntil and staleUntil hold the time until which an entry is skipped, by
	// name: because it did not answer, and because its records were too old.
	skipUntil  map[string]time.Time
	staleUntil map[string]time.Time
}

// New returns a relay.
func New(opts Options) *Relay {
	return &Relay{opts: opts, skipUntil: map[string]time.Time{}, staleUntil: map[string]time.Time{}}
}

// IsReader reports whether this entry should read a topic for the others.
func (r *Relay) IsReader(topic sequoialead.Topic, entries []membership.Member) bool {
	names := r.rank(topic, entries, 1, false)
	return len(entries) > 1 && len(names) > 0 && names[0] == r.opts.Self.Name
}

// Rank returns the number of entries that read a topic before this one does, at most
// maxRank. Entries whose records were too old count, since they may read again before
// this entry does.
func (r *Relay) Rank(topic sequoialead.Topic, entries []membership.Member) int {
	for i, name := range r.rank(topic, entries, maxRank, true) {
		if name == r.opts.Self.Name {
			return i
		}
	}
	return min(maxRank, max(len(entries)-1, 0))
}

// Read asks other entries for the records of a topic from an offset on, as read
// from the store at most age ago. It returns the name of the entry that
// answered, and reports false if this entry should read the store itself; the response then
// tells only the newest era of the store that an entry has told. The
// caller must take the age in the response as of the time the request was sent,
// so that the time in transit can't make records seem newer than they are.
func (r *Relay) Read(ctx context.Context, request protocol.RecordsRequest, entries []membership.Member, age time.Duration) (response protocol.RecordsResponse, from string, ok bool) {
	for _, name := range r.rank(request.Topic, entries, maxCandidates, false) {
		if name == r.opts.Self.Name {
			break
		}
		answer, ok := r.queryEntry(ctx, name, request, age)
		if ok {
			return answer, name, true
		}
		response.Era = max(response.Era, answer.Era)
	}
	return response, "", false
}

// ReadAny is like Read, but asks other entries even if this entry is the reader.
// It is for use after this entry could not read the store.
func (r *Relay) ReadAny(ctx context.Context, request protocol.RecordsRequest, entries []membership.Member, age time.Duration) (response protocol.RecordsResponse, from string, ok bool) {
	others := slices.DeleteFunc(slices.Clone(entries), func(e membership.Member) bool { return e.Name == r.opts.Self.Name })
	return r.Read(ctx, request, others, age)
}

// Ask asks one entry for the records of a topic, however old they are. It reports false if
// there is no answer, or no connection yet.
func (r *Relay) Ask(ctx context.Context, name string, request protocol.RecordsRequest) (protocol.RecordsResponse, bool) {
	if !r.opts.Peers.EnsureConnected(name) {
		return protocol.RecordsResponse{}, false
	}
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	return r.opts.Peers.QueryRecords(ctx, name, request)
}

func (r *Relay) queryEntry(ctx context.Context, name string, request protocol.RecordsRequest, age time.Duration) (protocol.RecordsResponse, bool) {
	if !r.opts.Peers.EnsureConnected(name) {
		return protocol.RecordsResponse{}, false
	}
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	response, ok := r.opts.Peers.QueryRecords(ctx, name, request)
	stale := response.Complete && response.Age > age || response.Era < request.Era
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.opts.Now()
	expired := func(_ string, until time.Time) bool { return now.After(until) }
	maps.DeleteFunc(r.skipUntil, expired)
	maps.DeleteFunc(r.staleUntil, expired)
	switch {
	case !ok:
		r.skipUntil[name] = now.Add(skipPeriod)
	case stale:
		r.staleUntil[name] = now.Add(stalePeriod)
	}
	return response, ok && !stale && response.Complete && response.Era == request.Era
}

// rank returns up to count entries to ask for a topic, in order of preference.
// Strong entries come first. Among them the order comes from rendezvous hashing: all
// entries get the same one, apart from the entries that they skip. Entries with old
// records are skipped unless withStale is set.
func (r *Relay) rank(topic sequoialead.Topic, entries []membership.Member, count int, withStale bool) []string {
	now := r.opts.Now()
	var candidates []membership.Member
	r.mu.Lock()
	for _, e := range entries {
		if len(entries) > maxEntries && e.Domain != r.opts.Self.Domain {
			continue
		}
		if now.After(r.skipUntil[e.Name]) && (withStale || now.After(r.staleUntil[e.Name])) {
			candidates = append(candidates, e)
		}
	}
	r.mu.Unlock()
	var ranked []string
	for len(ranked) < count && len(candidates) > 0 {
		var names []string
		for _, e := range membership.Strong(candidates) {
			names = append(names, e.Name)
		}
		best := rendezvous.New(names, xxhash.Sum64String).Lookup(string(topic))
		ranked = append(ranked, best)
		candidates = slices.DeleteFunc(candidates, func(e membership.Member) bool { return e.Name == best })
	}
	return ranked
}
