package placement

import (
	"math"
	"time"
)

const (
	// defaultTokenTime and defaultBaseTime apply until enough was observed. Engines read 68
	// to 85 tokens per millisecond, and a step takes 2.8 to 3.8 ms.
	defaultTokenTime = 1.0 / 75000
	defaultBaseTime  = 0.01
	// minTokenTime and maxTokenTime bound the learnt value, so that a few odd answers don't
	// make reading seem free or endless.
	minTokenTime = 1.0 / 500000
	maxTokenTime = 1.0 / 2000
	// minBaseTime is below the duration of one step.
	minBaseTime = 0.002
	// decay is the factor on the weight of older observations with each new one: about the
	// last two hundred count.
	decay = 0.995
	// minWeight is the total weight below which the defaults apply.
	minWeight = 20.0
	// maxRatio bounds how far an observation may differ from the prediction. A request that
	// stood behind another one's long prompt counts as late, but not fully.
	maxRatio = 3.0
)

// Speed learns the time per token of a typical engine from the times to the first token, by
// a linear regression in which outliers are bounded. The zero value applies defaults.
type Speed struct {
	n, x, y, xx, xy float64
}

// Observe records that the first token came after the given time, when the engine had to read
// the given number of tokens, scaled by its pace.
func (s *Speed) Observe(tokens, seconds float64) {
	if s.n >= minWeight {
		base, perToken := s.Times()
		predicted := base + tokens*perToken
		seconds = min(max(seconds, predicted/maxRatio), predicted*maxRatio)
	}
	s.n = s.n*decay + 1
	s.x = s.x*decay + tokens
	s.y = s.y*decay + seconds
	s.xx = s.xx*decay + tokens*tokens
	s.xy = s.xy*decay + tokens*seconds
}

// Times returns the time to the first token of an empty prompt, and the time per token.
func (s *Speed) Times() (base, perToken float64) {
	if s.n < minWeight {
		return defaultBaseTime, defaultTokenTime
	}
	denominator := s.n*s.xx - s.x*s.x
	perToken = defaultTokenTime
	// Observations of about equal size don't tell the slope.
	if denominator > 0.01*s.x*s.x {
		perToken = min(max((s.n*s.xy-s.x*s.y)/denominator, minTokenTime), maxTokenTime)
	}
	return max((s.y-perToken*s.x)/s.n, minBaseTime), perToken
}

const (
	// paceWeight is the weight of a new observation of an engine's pace.
	paceWeight = 0.2
	// paceTokens is the number of tokens to read above which an observation counts half or
	// more. Those of fewer tokens tell little about the time per token.
	paceTokens = 2000.0
	// minPace and maxPace bound the pace. Engines differ by a factor of two, and those in
	// trouble are up to eight times slower.
	minPace = 0.3
	maxPace = 8.0
	// paceAge is the time without an observation after which a pace is forgotten, so that an
	// engine that was slow is tried again.
	paceAge = 60 * time.Second
)

// Pace learns how long an engine takes, relative to a typical one: 2 is twice as long. The
// zero value stands for a typical one.
type Pace struct {
	log    float64
	factor float64
	at     time.Time
}

// Observe records that an engine took the given time to read a number of tokens, for which a
// typical engine was predicted to take another.
func (p *Pace) Observe(tokens, seconds, typical float64, now time.Time) {
	if typical <= 0 || !(tokens > 0) {
		return
	}
	weight := paceWeight * tokens / (tokens + paceTokens)
	ratio := min(max(seconds/typical, minPace), maxPace)
	current := math.Log(p.Factor(now))
	step := min(max(math.Log(ratio)-current, -math.Ln2), math.Ln2)
	p.log = current + weight*step
	p.factor, p.at = math.Exp(p.log), now
}

// Factor returns the pace. It returns to 1 with the time since the last observation.
func (p *Pace) Factor(now time.Time) float64 {
	if p.factor == 0 {
		return 1
	}
	age := now.Sub(p.at)
	if age >= paceAge {
		return 1
	}
	return 1 + (p.factor-1)*(1-float64(age)/float64(paceAge))
}
