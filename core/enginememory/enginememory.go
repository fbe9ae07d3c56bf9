// Package enginememory estimates the memory of a model engine that running requests take, in
// tokens, and whether one more fits.
//
// The load: many entries send requests of very different size to the same engines. An engine
// whose requests together exceed its memory crashes, with all requests that run there. An entry
// knows the size of its own requests, and of the others' only how many run, as of the engine's
// last answer.
package enginememory

import (
	"math"
	"time"

	"sequoialead"
)

const (
	// crashCost is what a crash loses, as a multiple of the requests that run at the engine: also
	// those that it would serve while it restarts, is cold, and reads the shared parts again,
	// several times as long as a request runs.
	crashCost = 10
	// minProbability is the probability that the others' requests are within the memory at all,
	// by the estimate, below which the engine is taken as full.
	minProbability = 1e-6
	// runTime is about the time for which a request runs: after it, the requests that were
	// reported have been replaced by others.
	runTime = 3 * time.Second
	// reportMemory is how long a report of the others' requests is used. It is about as long as
	// requests run, after which it tells nothing of those that run now.
	reportMemory = 5 * time.Second
	// maxTokens bounds the sizes that callers state, so that their sums can't overflow.
	maxTokens = 1 << 40
)

// part is a part of prompts that requests in flight share.
type part struct {
	tokens   int
	requests int
}

// Engine is what is known of the memory of one process of a model engine. It is not safe for
// concurrent use.
type Engine struct {
	// unshared is the number of tokens of this entry's requests in flight, without the parts of
	// their prompts that others may share; those are in parts.
	unshared int
	parts    map[uint64]part
	// partTokens is the sum of the tokens of parts.
	partTokens int
	inFlight   int
	// others is the number of requests of other entries at reportedAt.
	others     int
	reportedAt time.Time
}

// New returns an engine without requests.
func New() *Engine { return &Engine{parts: map[uint64]part{}} }

// Size returns the number of tokens of a request: its prompt and all that it may generate.
func Size(prompt sequoialead.Prompt) int {
	return bounded(prompt.Input) + bounded(prompt.Output)
}

func bounded(tokens int) int { return min(max(tokens, 0), maxTokens) }

// shared returns the parts of a prompt that other prompts may share: all but the last.
func shared(prompt sequoialead.Prompt) []sequoialead.PromptPart {
	return prompt.Parts[:max(len(prompt.Parts)-1, 0)]
}

// unsharedSize returns the number of tokens of a request without the shared parts.
func unsharedSize(prompt sequoialead.Prompt) int {
	n := Size(prompt)
	for _, s := range shared(prompt) {
		n -= bounded(s.Tokens)
	}
	return max(n, 0)
}

// Need returns the number of tokens that a request takes in addition to those in flight, whose
// shared parts it uses too.
func (e *Engine) Need(prompt sequoialead.Prompt) int {
	n := unsharedSize(prompt)
	for _, s := range shared(prompt) {
		n += max(bounded(s.Tokens)-e.parts[s.ID].tokens, 0)
	}
	return n
}

// Add records that a request is sent.
func (e *Engine) Add(prompt sequoialead.Prompt) {
	e.inFlight++
	e.unshared += unsharedSize(prompt)
	for _, s := range shared(prompt) {
		p := e.parts[s.ID]
		tokens := max(p.tokens, bounded(s.Tokens))
		e.partTokens += tokens - p.tokens
		e.parts[s.ID] = part{tokens: tokens, requests: p.requests + 1}
	}
}

// Remove records that a request has ended that was added.
func (e *Engine) Remove(prompt sequoialead.Prompt) {
	e.inFlight--
	e.unshared -= unsharedSize(prompt)
	for _, s := range shared(prompt) {
		p := e.parts[s.ID]
		if p.requests--; p.requests <= 0 {
			e.partTokens -= p.tokens
			delete(e.parts, s.ID)
			continue
		}
		e.parts[s.ID] = p
	}
}

// RecordLoad records the number of requests that the engine reports, running and waiting,
// while those that were added and not removed are among them.
func (e *Engine) RecordLoad(requests int, now time.Time) {
	e.others, e.reportedAt = max(requests-e.inFlight, 0), now
}

// Used returns the number of tokens of this entry's requests.
func (e *Engine) Used() int { return e.unshared + e.partTokens }

// Others returns the number of requests of other entries, and whether a recent report tells.
func (e *Engine) Others(now time.Time) (requests int, known bool) {
	if e.reportedAt.IsZero() || now.Sub(e.reportedAt) > reportMemory {
		return 0, false
	}
	return e.others, true
}

// Fits reports whether a request fits into the memory beside this entry's requests and an
// estimate of what others have there. Requests have the given mean size and variance. Usual is
// the number of others' requests at an engine that has not reported lately.
//
// The request fits if it would lose less, on average, than the one request that a refusal loses:
// the probability that it makes the engine crash, times what a crash loses.
func (e *Engine) Fits(prompt sequoialead.Prompt, memory int, mean, variance, usual float64, now time.Time) bool {
	own, need := e.Used(), e.Need(prompt)
	others, renewed := usual, 1.0
	if n, known := e.Others(now); known {
		others, renewed = float64(n), -math.Expm1(-float64(now.Sub(e.reportedAt))/float64(runTime))
	}
	// The number of requests that came since the report varies like that of random arrivals.
	deviation := math.Sqrt(others * (variance + renewed*mean*mean))
	if deviation == 0 {
		return float64(own+need)+others*mean <= float64(memory)
	}
	left := float64(memory-own) - others*mean
	// The engine runs, so what runs there is within the memory.
	alive := normal(left / deviation)
	if alive < minProbability {
		return false
	}
	crash := 1 - normal((left-float64(need))/deviation)/alive
	return crash*crashCost*(others+float64(e.inFlight)+1) <= 1
}

// normal returns the probability that a standard normal variable is below x.
func normal(x float64) float64 { return math.Erfc(-x/math.Sqrt2) / 2 }
