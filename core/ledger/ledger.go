// Package ledger folds the records of a claims stream: which request holds an
// idempotency key, and how it ended. All readers of the same records agree.
// Its exported types are the ledger and what it is made of.
package ledger

import (
	"time"

	"github.com/google/uuid"

	"sequoialead"
)

// Kind is what an item does.
type Kind uint8

// The kinds of items.
const (
	// KindClaim asks for a key. The first in the log's order gets it.
	KindClaim Kind = iota + 1
	// KindRelease gives a key back whose request was not run and never will be.
	KindRelease
	// KindEnd records how the request ended.
	KindEnd
)

// Digest identifies a key or a request.
type Digest [32]byte

// Item is one entry of a claims stream.
type Item struct {
	Kind    Kind      `cbor:"1,keyasint"`
	Key     Digest    `cbor:"2,keyasint"`
	Attempt uuid.UUID `cbor:"3,keyasint"`
	// Print identifies the request, so that a key is not taken for another.
	Print Digest `cbor:"4,keyasint,omitempty"`
	// Window is how long the claim is valid, by the log's clock.
	Window  time.Duration       `cbor:"5,keyasint,omitempty"`
	Outcome sequoialead.Outcome `cbor:"6,keyasint,omitempty"`
	// Answer is the recorded answer; empty if it was too large.
	Answer []byte `cbor:"7,keyasint,omitempty"`
}

// Holding is what is known of a key.
type Holding struct {
	Attempt uuid.UUID
	Print   Digest
	// Ended is set once the end was recorded.
	Ended   bool
	Outcome sequoialead.Outcome
	Answer  []byte
	until   time.Time
}

// Ledger is the state reached by a prefix of a stream. It is not safe for
// concurrent use.
type Ledger struct {
	held map[Digest]*Holding
	// void holds attempts that were released, so that a late copy of their
	// claim takes nothing.
	void map[uuid.UUID]time.Time
	// bytes is the size of all recorded answers; at most max.
	bytes int
	max   int
	// swept is when expired holdings were last dropped.
	swept time.Time
}

// sweepPeriod is the time between two searches for what has expired.
const sweepPeriod = 10 * time.Second

// voidWindow is how long a released attempt is remembered where its claim is
// not known.
const voidWindow = time.Hour

// New returns an empty ledger that holds at most the given bytes of answers.
func New(maxBytes int) *Ledger {
	return &Ledger{held: map[Digest]*Holding{}, void: map[uuid.UUID]time.Time{}, max: maxBytes}
}

// Len returns the number of keys held.
func (l *Ledger) Len() int { return len(l.held) }

// Add folds an item that the log took at the given time.
func (l *Ledger) Add(item Item, at time.Time) {
	l.sweep(at)
	h := l.valid(item.Key, at)
	switch item.Kind {
	case KindClaim:
		if _, void := l.void[item.Attempt]; h == nil && !void {
			l.drop(item.Key) // one that has expired and was not swept yet
			l.held[item.Key] = &Holding{Attempt: item.Attempt, Print: item.Print, until: at.Add(item.Window)}
		}
	case KindRelease:
		l.void[item.Attempt] = at.Add(voidWindow)
		if h != nil && h.Attempt == item.Attempt && !h.Ended {
			l.drop(item.Key)
		}
	case KindEnd:
		if h != nil && h.Attempt == item.Attempt && !h.Ended {
			l.end(h, item)
		}
	}
}

func (l *Ledger) end(h *Holding, item Item) {
	h.Ended = true
	h.Outcome = item.Outcome
	if l.bytes+len(item.Answer) <= l.max {
		h.Answer = item.Answer
		l.bytes += len(item.Answer)
	}
}

// Find returns who holds a key at a time by the log's clock, or nil.
func (l *Ledger) Find(key Digest, at time.Time) *Holding { return l.valid(key, at) }

func (l *Ledger) valid(key Digest, at time.Time) *Holding {
	h := l.held[key]
	if h == nil || at.After(h.until) {
		return nil
	}
	return h
}

// drop forgets a key with its recorded answer.
func (l *Ledger) drop(key Digest) {
	if h := l.held[key]; h != nil {
		l.bytes -= len(h.Answer)
		delete(l.held, key)
	}
}

func (l *Ledger) sweep(at time.Time) {
	if at.Sub(l.swept) < sweepPeriod {
		return
	}
	l.swept = at
	for key, h := range l.held {
		if at.After(h.until) {
			l.drop(key)
		}
	}
	for attempt, until := range l.void {
		if at.After(until) {
			delete(l.void, attempt)
		}
	}
}
