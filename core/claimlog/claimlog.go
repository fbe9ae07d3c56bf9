// Package claimlog derives from the items of a claims stream which request holds
// each idempotency key, and how that request ended. It is deterministic: all
// readers of the same items reach the same state.
package claimlog

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
	// Fingerprint identifies the content of the request, so that a different request
	// with the same key is detected.
	Fingerprint Digest `cbor:"4,keyasint,omitempty"`
	// Window is how long the claim is valid, by the log's clock.
	Window  time.Duration       `cbor:"5,keyasint,omitempty"`
	Outcome sequoialead.Outcome `cbor:"6,keyasint,omitempty"`
	// Answer is the encoded answer; empty if it was too large.
	Answer []byte `cbor:"7,keyasint,omitempty"`
}

// Claim is the state of a claimed key.
type Claim struct {
	Attempt     uuid.UUID
	Fingerprint Digest
	// Ended is set once the outcome was recorded.
	Ended   bool
	Outcome sequoialead.Outcome
	// Answer is the encoded answer. It is empty if it was too large, or if the
	// recorded answers had reached their maximum total size.
	Answer []byte
	expiry time.Time
}

// State is the state after a prefix of a stream's items. It is not safe for
// concurrent use.
type State struct {
	claims map[Digest]*Claim
	// released holds the attempts that were released and until when they are
	// remembered, so that a late copy of their claim has no effect.
	released map[uuid.UUID]time.Time
	// bytes is the total size of the recorded answers; at most max.
	bytes int
	max   int
	// lastSweep is when expired claims and released attempts were last dropped.
	lastSweep time.Time
}

// sweepInterval is the minimum time between two sweeps.
const sweepInterval = 10 * time.Second

// releasedTTL is how long a released attempt is remembered.
const releasedTTL = time.Hour

// New returns an empty state that records answers up to the given total size.
func New(maxBytes int) *State {
	return &State{claims: map[Digest]*Claim{}, released: map[uuid.UUID]time.Time{}, max: maxBytes}
}

// Len returns the number of claims, including expired ones not yet dropped.
func (s *State) Len() int { return len(s.claims) }

// Add applies an item that was appended at the given time, by the log's clock.
// Items must be added in the log's order.
func (s *State) Add(item Item, at time.Time) {
	s.sweep(at)
	claim := s.unexpired(item.Key, at)
	switch item.Kind {
	case KindClaim:
		if _, released := s.released[item.Attempt]; claim == nil && !released {
			s.drop(item.Key) // a claim that has expired but was not swept yet
			s.claims[item.Key] = &Claim{Attempt: item.Attempt, Fingerprint: item.Fingerprint, expiry: at.Add(item.Window)}
		}
	case KindRelease:
		s.released[item.Attempt] = at.Add(releasedTTL)
		if claim != nil && claim.Attempt == item.Attempt && !claim.Ended {
			s.drop(item.Key)
		}
	case KindEnd:
		if claim != nil && claim.Attempt == item.Attempt && !claim.Ended {
			s.recordEnd(claim, item)
		}
	}
}

func (s *State) recordEnd(claim *Claim, item Item) {
	claim.Ended = true
	claim.Outcome = item.Outcome
	if s.bytes+len(item.Answer) <= s.max {
		claim.Answer = item.Answer
		s.bytes += len(item.Answer)
	}
}

// Find returns the claim that holds a key at the given time of the log's clock,
// or nil if there is none.
func (s *State) Find(key Digest, at time.Time) *Claim { return s.unexpired(key, at) }

func (s *State) unexpired(key Digest, at time.Time) *Claim {
	claim := s.claims[key]
	if claim == nil || at.After(claim.expiry) {
		return nil
	}
	return claim
}

// drop removes a claim with its recorded answer.
func (s *State) drop(key Digest) {
	if claim := s.claims[key]; claim != nil {
		s.bytes -= len(claim.Answer)
		delete(s.claims, key)
	}
}

func (s *State) sweep(at time.Time) {
	if at.Sub(s.lastSweep) < sweepInterval {
		return
	}
	s.lastSweep = at
	for key, claim := range s.claims {
		if at.After(claim.expiry) {
			s.drop(key)
		}
	}
	for attempt, until := range s.released {
		if at.After(until) {
			delete(s.released, attempt)
		}
	}
}
