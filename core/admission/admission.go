// Package admission decides whether a request can still be answered in time, from one
// prediction for its whole path: stages, wait for a place, first event.
//
// It answers the load pattern of a demand above what the backend servers can do for some
// seconds, in which requests that will miss their end take the room of those that would not,
// and are told so only at their deadline. The prediction is corrected by what recent requests
// took compared with their predictions. Because a pool that gets no requests shows nothing
// new, a few of the requests that would be refused go through.
package admission

import (
	"math"
	"math/rand/v2"
	"time"
)

const (
	// objectiveFactor is the predicted time above which a request is refused, as a multiple
	// of its objective. It is above one because stages make late orders last, so that they
	// delay no others, and some of them are in time: with 1.0, 5% fewer of the more urgent
	// requests were in time in the replay of core/forward.
	objectiveFactor = 1.3
	// returningFactor replaces it for callers that were refused before: they have less
	// time left, and turning them away again in favour of a new request is worse than an
	// answer that is somewhat late.
	returningFactor = 2.0
	// replyShare is the part of a request's time that is kept for a refusal to reach the
	// caller, within minReply and maxReply: a few round trips between domains and the
	// scheduling delay of a busy small machine.
	replyShare = 0.05
	minReply   = 20 * time.Millisecond
	maxReply   = 200 * time.Millisecond
	// probesPerSecond is how many requests per second and key all entries together let
	// through although they would be refused. The estimates of call times are moving
	// averages of five values, so they are renewed within about two seconds.
	probesPerSecond = 3.0
	// maxProbeShare is the largest part of the requests to be refused that go through, so
	// that a small load is not let through as a whole.
	maxProbeShare = 0.25
	// maxProbeGap is the longest time without refusals that counts for the next one.
	// Otherwise the first refusals of a burst would go through at all entries.
	maxProbeGap = time.Second
	// minFactor and maxFactor bound the correction of a prediction. What is served has taken
	// less time than what is not, so a factor far below one lets too much in: with 0.5
	// instead of 1, twice as many requests waited in vain in the replay of core/forward.
	minFactor = 0.8
	maxFactor = 2.0
	// maxObservations is the number of observations from which on older ones give way, and
	// priorObservations the weight, in observations, of predictions that need no correction:
	// an entry with few requests learns from them nearly at once.
	maxObservations   = 20.0
	priorObservations = 1.0
	// ratioHalfLife is the time after which an observation has half of its weight, and the
	// time without any after which half of the correction is left: load patterns last some
	// seconds.
	ratioHalfLife = 5 * time.Second
)

// Key names what predictions are corrected by. Requests of one route are alike in their
// stages and urgency.
type Key struct {
	Pool  string
	Route string
}

// Request is a request to be decided on.
type Request struct {
	Key  Key
	Path Path
	// Elapsed is the time since the request arrived, and Left the time until its deadline.
	Elapsed time.Duration
	Left    time.Duration
	// Objective is zero if there is none.
	Objective time.Duration
	// Returning is set if the caller was refused before.
	Returning bool
	// Entries is the number of entries that decide apart.
	Entries int
}

// Decision is the result for one request.
type Decision struct {
	Admit bool
	// Probe is set if the request is admitted although it would be refused, to renew the
	// estimates. The same estimates must not end it later.
	Probe bool
	// Predicted is the corrected time from now to the first event.
	Predicted time.Duration
	// Excess is the time by which the prediction exceeds what the request allows.
	Excess time.Duration
}

// state is what is known for one key.
type state struct {
	// logRatios is the weighted sum of the logarithms of actual to predicted times,
	// observations the sum of the weights, and observedAt the time of the newest one.
	logRatios    float64
	observations float64
	observedAt   time.Time
	// refusedAt is when a request was last to be refused.
	refusedAt time.Time
}

// Controller holds the corrections and probes of one entry. It is not safe for concurrent
// use.
type Controller struct {
	random *rand.Rand
	states map[Key]*state
}

// New returns a controller without observations.
func New(random *rand.Rand) *Controller {
	return &Controller{random: random, states: map[Key]*state{}}
}

func (c *Controller) state(key Key) *state {
	s := c.states[key]
	if s == nil {
		s = &state{}
		c.states[key] = s
	}
	return s
}

// Factor returns the correction of predictions for a key.
func (c *Controller) Factor(key Key, now time.Time) float64 {
	s := c.states[key]
	if s == nil {
		return 1
	}
	return min(max(math.Exp(s.current(now)), minFactor), maxFactor)
}

// current returns the logarithm of the ratio, less what it has lost with time.
func (s *state) current(now time.Time) float64 {
	return s.logRatios / (s.observations + priorObservations) * s.decay(now)
}

// decay returns what time has left of the weight of the observations.
func (s *state) decay(now time.Time) float64 {
	return math.Exp2(-max(now.Sub(s.observedAt), 0).Seconds() / ratioHalfLife.Seconds())
}

// Observe records what a request took that was predicted, without correction, to take
// another time.
func (c *Controller) Observe(key Key, predicted, actual time.Duration, now time.Time) {
	if predicted <= 0 || actual <= 0 {
		return
	}
	s := c.state(key)
	ratio := min(max(math.Log(float64(actual)/float64(predicted)), math.Log(minFactor)), math.Log(maxFactor))
	left := s.decay(now)
	if s.observations*left+1 > maxObservations {
		left *= (maxObservations - 1) / (s.observations * left)
	}
	s.logRatios = s.logRatios*left + ratio
	s.observations = s.observations*left + 1
	s.observedAt = now
}

// Predict returns the corrected time to the first event.
func (c *Controller) Predict(key Key, path Path, now time.Time) time.Duration {
	return time.Duration(c.Factor(key, now) * float64(path.Remaining()))
}

// Admit decides on a request that has just arrived. Where nothing has to be waited for, only
// the deadline counts: no other time would be better for the request.
func (c *Controller) Admit(r Request, now time.Time) Decision {
	d := Decision{Predicted: c.Predict(r.Key, r.Path, now)}
	allowed := r.allowed()
	d.Excess = max(d.Predicted-allowed, 0)
	if d.Admit = d.Excess == 0; !d.Admit && allowed > 0 {
		d.Probe = c.takeProbe(r, now)
		d.Admit = d.Probe
	}
	return d
}

// Excess returns the time by which the prediction for a request exceeds what it allows.
func (c *Controller) Excess(r Request, now time.Time) time.Duration {
	return max(c.Predict(r.Key, r.Path, now)-r.allowed(), 0)
}

// allowed returns the longest time that the request may still take to its first event.
func (r Request) allowed() time.Duration {
	allowed := r.Left - ReplyTime(r.Left)
	if r.Objective > 0 && r.Path.Queues() {
		factor := objectiveFactor
		if r.Returning {
			factor = returningFactor
		}
		allowed = min(allowed, time.Duration(factor*float64(r.Objective))-r.Elapsed)
	}
	return allowed
}

// takeProbe reports whether a request goes through to renew the estimates. It does with a
// probability that makes probesPerSecond of them over all entries.
func (c *Controller) takeProbe(r Request, now time.Time) bool {
	s := c.state(r.Key)
	gap := min(now.Sub(s.refusedAt), maxProbeGap)
	s.refusedAt = now
	probability := gap.Seconds() * probesPerSecond / float64(max(r.Entries, 1))
	return c.random.Float64() < min(probability, maxProbeShare)
}

// Hopeless reports whether a request that was admitted can no longer be answered in the time
// left. Once a stage is done, the prediction counts without its correction: what was done is
// thrown away only if that is certain.
func (c *Controller) Hopeless(r Request, now time.Time) bool {
	predicted := c.Predict(r.Key, r.Path, now)
	if r.Path.Worked() {
		predicted = min(predicted, r.Path.Remaining())
	}
	return predicted > r.Left-ReplyTime(r.Elapsed+r.Left)
}

// ReplyTime returns the part of a request's whole time that is kept for a refusal to reach the
// caller.
func ReplyTime(whole time.Duration) time.Duration {
	return min(max(time.Duration(replyShare*float64(whole)), minReply), maxReply)
}
