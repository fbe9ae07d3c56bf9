// Package relay asks other entries for the store's records, so that one entry
// reads them for all, and an entry that the store turns away still knows them.
// Besides the relay it exports its options and what it needs of other entries.
package relay

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	rendezvous "github.com/dgryski/go-rendezvous"

	"sequoialead"
	"sequoialead/core/frame"
	"sequoialead/core/members"
)

// Peers are the connections to other entries.
type Peers interface {
	// Reach reports whether an entry can be asked now. It begins to connect to
	// one that was not asked before.
	Reach(name string) bool
	// Ask asks an entry for records. It reports false if there was no answer.
	Ask(ctx context.Context, name string, ask frame.Ask) (frame.News, bool)
}

// Options configures a relay.
type Options struct {
	// Self is this entry.
	Self  members.Entry
	Peers Peers
	Now   func() time.Time
}

const (
	// mostEntries is the number of entries that one reader serves: at some asks
	// a second from each, about a hundredth of a core. Where there are more,
	// each failure domain has readers of its own.
	mostEntries = 64
	// candidates is the number of entries that are asked in turn.
	candidates = 2
	// askTimeout bounds an ask: several times the way there and back, and little
	// of the time within which a change must be in force.
	askTimeout = 150 * time.Millisecond
	// stalePause is how long an entry that knew nothing recent is passed over.
	stalePause = 2 * time.Second
)

// Relay chooses whom to ask. It is safe for concurrent use.
type Relay struct {
	opts Options

	mu sync.Mutex
	// stale holds until when entries are passed over.
	stale map[string]time.Time
}

// New returns a relay.
func New(opts Options) *Relay { return &Relay{opts: opts, stale: map[string]time.Time{}} }

// Reader reports whether this entry is to read a topic for others.
func (r *Relay) Reader(topic sequoialead.Topic, entries []members.Entry) bool {
	names := r.order(topic, entries, 1)
	return len(entries) > 1 && len(names) > 0 && names[0] == r.opts.Self.Name
}

// Read asks for the records of a topic from an offset on, as read no longer ago
// than an age. The answer's age counts from before the ask. It reports false if
// this entry is to read them itself.
func (r *Relay) Read(ctx context.Context, ask frame.Ask, entries []members.Entry, age time.Duration) (news frame.News, from string, ok bool) {
	for _, name := range r.order(ask.Topic, entries, candidates) {
		if name == r.opts.Self.Name {
			return frame.News{}, "", false
		}
		if news, ok := r.ask(ctx, name, ask, age); ok {
			return news, name, true
		}
	}
	return frame.News{}, "", false
}

// Rescue asks the others after this entry could not read the store.
func (r *Relay) Rescue(ctx context.Context, ask frame.Ask, entries []members.Entry, age time.Duration) (news frame.News, from string, ok bool) {
	others := slices.DeleteFunc(slices.Clone(entries), func(e members.Entry) bool { return e.Name == r.opts.Self.Name })
	return r.Read(ctx, ask, others, age)
}

func (r *Relay) ask(ctx context.Context, name string, ask frame.Ask, age time.Duration) (frame.News, bool) {
	if !r.opts.Peers.Reach(name) {
		return frame.News{}, false
	}
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	news, ok := r.opts.Peers.Ask(ctx, name, ask)
	if !ok || news.Known && news.Age > age {
		r.mu.Lock()
		r.stale[name] = r.opts.Now().Add(stalePause)
		r.mu.Unlock()
		return frame.News{}, false
	}
	return news, news.Known
}

// order returns the entries to ask for a topic, best first. All entries come to
// the same order, but for those that one of them found stale.
func (r *Relay) order(topic sequoialead.Topic, entries []members.Entry, most int) []string {
	now := r.opts.Now()
	var names []string
	r.mu.Lock()
	for _, e := range entries {
		if len(entries) > mostEntries && e.Domain != r.opts.Self.Domain {
			continue
		}
		if now.After(r.stale[e.Name]) {
			delete(r.stale, e.Name)
			names = append(names, e.Name)
		}
	}
	r.mu.Unlock()
	var first []string
	for len(first) < most && len(names) > 0 {
		best := rendezvous.New(names, xxhash.Sum64String).Lookup(string(topic))
		first = append(first, best)
		names = slices.DeleteFunc(names, func(name string) bool { return name == best })
	}
	return first
}
