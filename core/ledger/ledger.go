// Package ledger derives from the items of a claims stream which request holds
// each idempotency key, and how that request ended. It is deterministic: all
// readers of the same items reach the same state.
package ledger

import (
	"time"

	"github.com/google/uuid"

	"sequoialead"
)

// Kind is the kind of an item.
type Kind uint8

// The kinds of items.
const (
	// KindClaim claims a key. The first claim in the log's order gets it.
	KindClaim Kind = iota + 1
	// KindRelease releases the key of a request that was not run and never will be.
	KindRelease
	// KindEnd records the outcome of the request that holds the key.
	KindEnd
)

// Digest is a SHA-256 hash that identifies a key or the content of a request.
type Digest [32]byte

// Item is one entry of a claims stream.
type Item struct {
	Kind    Kind      `cbor:"1,keyasint"`
	Key     Digest    `cbor:"2,keyasint"`
	Attempt uuid.UUID `cbor:"3,keyasint"`
	// Print identifies the content of the request, so that a different request
	// with the same key is detected.
	Print Digest `cbor:"4,keyasint,omitempty"`
	// Window is how long the claim is valid, by the log's clock.
	Window  time.Duration       `cbor:"5,keyasint,omitempty"`
	Outcome sequoialead.Outcome `cbor:"6,keyasint,omitempty"`
	// Answer is the encoded answer; empty if it was too large.
	Answer []byte `cbor:"7,keyasint,omitempty"`
}

// Holding is the state of a claimed key.
type Holding struct {
	Attempt uuid.UUID
	Print   Digest
	// Ended is set once the outcome was recorded.
	Ended   bool
	Outcome sequoialead.Outcome
	// Answer is the encoded answer; empty if it was too large or the ledger had
	// no room for it.
	Answer []byte
	expiry time.Time
}

// Ledger is the state after a prefix of a stream's items. It is not safe for
// concurrent use.
type Ledger struct {
	holdings map[Digest]*Holding
	// released holds the attempts that were released and until when they are
	// remembered, so that a late copy of their claim has no effect.
	released map[uuid.UUID]time.Time
	// bytes is the total size of the recorded answers; at most max.
	bytes int
	max   int
	// lastSweep is when expired holdings and released attempts were last dropped.
	lastSweep time.Time
}

// sweepInterval is the minimum time between two sweeps.
const sweepInterval = 10 * time.Second

// releasedTTL is how long a released attempt is remembered.
const releasedTTL = time.Hour

// New returns an empty ledger that records answers up to the given total size.
func New(maxBytes int) *Ledger {
	return &Ledger{holdings: map[Digest]*Holding{}, released: map[uuid.UUID]time.Time{}, max: maxBytes}
}

// Len returns the number of holdings, including expired ones not yet dropped.
func (l *Ledger) Len() int { return len(l.holdings) }

// Add applies an item that was appended at the given time, by the log's clock.
// Items must be added in the log's order.
func (l *Ledger) Add(item Item, at time.Time) {
	l.sweep(at)
	h := l.unexpired(item.Key, at)
	switch item.Kind {
	case KindClaim:
		if _, void := l.released[item.Attempt]; h == nil && !void {
			l.drop(item.Key) // a holding that has expired but was not swept yet
			l.holdings[item.Key] = &Holding{Attempt: item.Attempt, Print: item.Print, expiry: at.Add(item.Window)}
		}
	case KindRelease:
		l.released[item.Attempt] = at.Add(releasedTTL)
		if h != nil && h.Attempt == item.Attempt && !h.Ended {
			l.drop(item.Key)
		}
	case KindEnd:
		if h != nil && h.Attempt == item.Attempt && !h.Ended {
			l.recordEnd(h, item)
		}
	}
}

func (l *Ledger) recordEnd(h *Holding, item Item) {
	h.Ended = true
	h.Outcome = item.Outcome
	if l.bytes+len(item.Answer) <= l.max {
		h.Answer = item.Answer
		l.bytes += len(item.Answer)
	}
}

// Find returns the holding of a key at a time by the log's clock, or nil if
// nobody holds it.
func (l *Ledger) Find(key Digest, at time.Time) *Holding { return l.unexpired(key, at) }

func (l *Ledger) unexpired(key Digest, at time.Time) *Holding {
	h := l.holdings[key]
	if h == nil || at.After(h.expiry) {
		return nil
	}
	return h
}

// drop removes a holding with its recorded answer.
func (l *Ledger) drop(key Digest) {
	if h := l.holdings[key]; h != nil {
		l.bytes -= len(h.Answer)
		delete(l.holdings, key)
	}
}

func (l *Ledger) sweep(at time.Time) {
	if at.Sub(l.lastSweep) < sweepInterval {
		return
	}
	l.lastSweep = at
	for key, h := range l.holdings {
		if at.After(h.expiry) {
			l.drop(key)
		}
	}
	for attempt, until := range l.released {
		if at.After(until) {
			delete(l.released, attempt)
		}
	}
}
