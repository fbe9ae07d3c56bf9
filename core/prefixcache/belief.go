package prefixcache

import (
	"github.com/hashicorp/golang-lru/v2/simplelru"

	"sequoialead"
)

// Belief estimates which parts of prompts an engine holds, although other entries send to it
// too. Time is measured in tokens that the engine has read, of all entries: a part is evicted
// once the engine has read as much as its memory holds since the part was last used. A Belief
// is not safe for concurrent use.
type Belief struct {
	// parts maps the ID of a part to the clock at its last use by this entry.
	parts *simplelru.LRU[uint64, float64]
}

// NewBelief returns a belief that an engine holds nothing.
func NewBelief() *Belief {
	parts, err := simplelru.NewLRU[uint64, float64](maxParts, nil)
	if err != nil {
		panic(err) // fails only for a size below one
	}
	return &Belief{parts: parts}
}

// Forget records that the engine holds nothing: it has restarted, or may have.
func (b *Belief) Forget() { b.parts.Purge() }

// Empty reports whether nothing is known to be held.
func (b *Belief) Empty() bool { return b.parts.Len() == 0 }

// Record records that a prompt was sent to the engine at the given clock. Parts that are too
// old to be held with the given capacity are dropped.
func (b *Belief) Record(prompt sequoialead.Prompt, clock, capacity float64) {
	for _, part := range prompt.Parts {
		b.parts.Add(part.ID, clock)
	}
	for {
		_, at, ok := b.parts.GetOldest()
		if !ok || certainty(clock-at, capacity) > 0 {
			return
		}
		b.parts.RemoveOldest()
	}
}

// Held returns the expected number of the prompt's tokens that the engine holds. A part counts
// only if all parts before it are held too. Asked is the probability that the shared parts,
// which are all but the last, were sent there by another entry recently.
func (b *Belief) Held(prompt sequoialead.Prompt, clock, capacity, asked float64) float64 {
	held, certain := 0.0, 1.0
	for i, part := range prompt.Parts {
		belief := 0.0
		if at, ok := b.parts.Peek(part.ID); ok {
			belief = certainty(clock-at, capacity)
		}
		if i < len(prompt.Parts)-1 {
			belief = max(belief, asked)
		}
		if belief <= 0 {
			break
		}
		certain = min(certain, belief)
		held += certain * float64(part.Tokens)
	}
	return held
}

const (
	// certainAge and forgottenAge are the ages, in capacities, up to which a part is surely
	// held and from which on it surely is not. What others send is an estimate that may be
	// wrong by half.
	certainAge   = 0.5
	forgottenAge = 1.5
)

// certainty returns the probability that a part is held whose last use is the given number of
// tokens ago.
func certainty(age, capacity float64) float64 {
	if capacity <= 0 {
		return 0
	}
	return min(max((forgottenAge-age/capacity)/(forgottenAge-certainAge), 0), 1)
}
