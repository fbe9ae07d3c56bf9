// Package placement predicts the time to the first token of a request at each model engine of
// a pool, and what the choice of an engine costs later requests.
//
// The load pattern: many prompts share beginnings that engines keep, demand for these is
// skewed and bursty, engines differ in speed by a factor of two, and the prompts' own parts
// are long (6,600 tokens on average). A held beginning saves the time to read it, which weighs
// against the wait for what the engine has to read before. All quantities are passed in; the
// package reads no clock and draws no random numbers.
package placement

// Model holds what is known of all engines of a pool together. Times are in seconds.
type Model struct {
	// TokenTime is how long a typical engine takes to read a prompt token.
	TokenTime float64
	// BaseTime is the time to the first token of a prompt that an idle engine holds.
	BaseTime float64
	// Duration is how long a request is in a slot, on average.
	Duration float64
	// Utilization is the part of the engines' time that is spent on reading, from 0 to 1.
	Utilization float64
	// Reuse is the probability that a part which is evicted for a copy is asked for again,
	// and so is read once more.
	Reuse float64
	// Uses is the expected number of further requests for the shared parts while an engine
	// keeps them.
	Uses float64
	// Loss is the probability that a copy at another engine than the home means that the
	// shared parts are read once more: the home holds them, or later requests go there.
	Loss float64
	// Left is the time within which the first token is on time; 0 if unknown.
	Left float64
}

// Candidate describes one engine for one request. Tokens are expected values.
type Candidate struct {
	// Pending is the number of tokens that the engine reads before this request's.
	Pending float64
	// Read is the number of the request's tokens that the engine doesn't hold. Kept are those
	// of them that later requests will look for here, because the parts are assigned to the
	// engine. Copied are those that are assigned to another one.
	Read   float64
	Kept   float64
	Copied float64
	// Fallback is set if the engine is one that all entries choose for the shared parts if
	// not the home, so that a copy there is of use to them.
	Fallback bool
	// InFlight is the number of requests of all entries there, of Slots at once.
	InFlight float64
	Slots    float64
	// Pace is how long the engine takes, relative to a typical one.
	Pace float64
	// Failures is the share of recent requests that failed, from 0 to 1.
	Failures float64
	// Distant is set if the engine is in another failure domain.
	Distant bool
}

const (
	// distantTime is the additional time of a message to another failure domain and back.
	distantTime = 0.001
	// runningTime is by how much a running request delays the first token of another, if at
	// least half of the slots are in use: both take part in the same steps.
	runningTime = 0.002
	// failureTime is the cost of an engine that always fails. It exceeds the time to read
	// the longest prompts.
	failureTime = 1.0
	// copyWeight is the cost of a copy that other entries don't know of, as a multiple of the
	// time to read it, and fallbackWeight that of a copy where they look for one if the home
	// is late. With 4 and 4, as much is read again as without placement; with 16, requests
	// wait longer for their home than a copy takes to read.
	copyWeight     = 8.0
	fallbackWeight = 4.0
	// lateTime is the cost of a late first token.
	lateTime = 0.25
	// safeShare and lateShare are the parts of the time left up to which a first token is
	// predicted to be surely on time, and from which on to be surely late. Half of the
	// predictions are off by a factor of 1.5 or more.
	safeShare = 0.6
	lateShare = 1.4
)

// FirstToken predicts the time to the first token.
func (m *Model) FirstToken(c *Candidate) float64 {
	t := m.BaseTime + (c.Pending+c.Read)*m.TokenTime*c.Pace
	t += runningTime * min(2*c.InFlight/c.Slots, 1) * min(c.InFlight, c.Slots) * c.Pace
	if excess := c.InFlight + 1 - c.Slots; excess > 0 {
		t += excess / c.Slots * m.Duration * c.Pace
	}
	if c.Distant {
		t += distantTime
	}
	return t
}

// Cost returns the time to the first token and what the choice costs other requests, in
// seconds: reading delays those that arrive meanwhile, a copy of a part is read once more than
// necessary and evicts others that may have to be read again, and the reading of a part that
// is kept is shared with its later uses.
func (m *Model) Cost(c *Candidate) float64 {
	copies := copyWeight
	if c.Fallback {
		copies = fallbackWeight
	}
	first := m.FirstToken(c)
	late := 0.0
	if m.Left > 0 {
		late = min(max((first/m.Left-safeShare)/(lateShare-safeShare), 0), 1)
	}
	others := m.Utilization*c.Read - c.Kept*m.Uses/(1+m.Uses)
	return first + lateTime*late + others*m.TokenTime*c.Pace + (m.Loss*copies+m.Reuse)*c.Copied*m.TokenTime + failureTime*c.Failures
}
