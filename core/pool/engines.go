package pool

import (
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"sequoialead"
	"sequoialead/core/placement"
	"sequoialead/core/prefixcache"
)

const (
	// assumedUptime is how long engines that are there when this entry starts are assumed to
	// have held parts.
	assumedUptime = 20 * time.Second
	// maxTurnover bounds the time in which an engine's memory is read anew, since demand
	// changes meanwhile.
	maxTurnover = time.Minute
	// minMemoryShare is the part of an engine's memory that is assumed to hold parts even if
	// the running requests seem to need all.
	minMemoryShare = 0.1
	// usagePeriod is the time over which the number of tokens read per second is averaged.
	usagePeriod = 10 * time.Second
	// othersKnown is the part of what other entries send to an engine that is taken to be as
	// much as this entry sends there; the rest as much as it sends to engines on average.
	// With hundreds of engines an entry sends too little to each to tell the demand there.
	othersKnown = 0.5
	// evictedReuse is the probability, relative to that of all parts, that the least
	// recently used parts are asked for again.
	evictedReuse = 0.5
	// reportAge is the age up to which a load report tells whether an engine is busy, for the
	// burst that it may get.
	reportAge = 4 * time.Second
	// blindBurst is the number of requests that this entry may send at once to an engine known
	// to be warm whose load is not known. It is less than the default: when a part gets in
	// demand, all entries send to its home before any knows that it is busy.
	blindBurst = 2
	// largeBurst is the number of requests with large shared parts that this entry may send
	// at once to their home, if it is known to be warm and not busy.
	largeBurst = 6
	// largeTokens is the number of shared tokens from which a request counts as large there:
	// reading them takes longer than a message to another domain by far.
	largeTokens = 1000.0
	// calmShare and busyShare are the parts of the rate limit of cold servers. All entries
	// together send less than the first if an engine is calm, and more than the second if it
	// is busy.
	calmShare = 0.3
	busyShare = 0.4
	// homeRateShare is the part of the rate limit of cold servers that one part's requests
	// may take at one home.
	homeRateShare = 0.3
	// meanWeight is the weight of a new observation in the means of sizes and durations.
	meanWeight = 0.05
	// defaultDuration and defaultSize apply before any request has ended: seconds in a slot
	// and tokens of a request.
	defaultDuration = 1.0
	defaultSize     = 4000.0
)

// engineState is what placement knows of one model engine.
type engineState struct {
	belief *prefixcache.Belief
	// read is the number of tokens that this entry had the engine read, scaled to all
	// entries. The part of others that is the same for all engines is in engines.background.
	read float64
	pace placement.Pace
	// heldSince is when the engine last held nothing.
	heldSince time.Time
	// running is the number of tokens of this entry's requests in flight, and unread the
	// number of those requests whose answers have not started.
	running float64
	unread  int
	// rank is one more than the engine's place among plan.homes; 0 if it has none.
	rank int
}

// engines is what placement knows of a pool of model engines, and of the request that is being
// placed.
type engines struct {
	entry  uint64
	speed  placement.Speed
	demand *placement.Demand
	// background is the number of tokens that other entries are assumed to have had each
	// engine read, beside what engineState.read counts.
	background float64
	// usage is the number of tokens that this entry had engines read, decayed over
	// usagePeriod, and usageAt when it was updated.
	usage   float64
	usageAt time.Time
	// inFlight is the number of this entry's requests in flight, and pending and running
	// their tokens: those to be read, and all.
	inFlight int
	pending  float64
	running  float64
	// duration, size and unread are means of recent requests: seconds in a slot, tokens, and
	// tokens to be read.
	duration float64
	size     float64
	unread   float64
	// updated is set once the engines were listed.
	updated bool
	plan    plan
	// candidate is the result of Pool.candidate.
	candidate placement.Candidate
}

// plan is what is the same for all engines, for the request that is being placed.
type plan struct {
	model  placement.Model
	prompt sequoialead.Prompt
	domain string
	now    time.Time
	// shared is the number of the prompt's tokens that other prompts may share, and part the
	// ID of the last part of them; zero if there is none.
	shared float64
	part   uint64
	// homes holds the servers that the shared parts are assigned to, which are the first
	// assigned ones, and the fallbacks. Of several homes, this entry prefers the one at
	// preferred.
	homes     []*member
	assigned  int
	preferred int
	// uses is the expected number of requests of other entries for the shared parts at each
	// home while an engine keeps a part, which is the turnover.
	uses     float64
	turnover time.Duration
	// others and pending are the number of requests of other entries at an engine, and of
	// their tokens to be read, if its load is not known.
	others  float64
	pending float64
	// perEngine is the number of other entries for each engine.
	perEngine float64
	limit     float64
}

func newEngines(entry string) *engines {
	return &engines{
		entry: xxhash.Sum64String(entry), demand: placement.NewDemand(), duration: defaultDuration, size: defaultSize, unread: defaultSize,
	}
}

// newEngineState returns the state of an engine that was first listed now. Those that this
// entry finds when it starts have been running.
func (e *engines) newEngineState(now time.Time) engineState {
	since := now
	if !e.updated {
		since = now.Add(-assumedUptime)
	}
	return engineState{belief: prefixcache.NewBelief(), heldSince: since}
}

// placesByTime reports whether placement decides: the pool is one of model engines, and the
// setting is on.
func (p *Pool) placesByTime() bool {
	return p.engines != nil && p.conf.Slots > 0 && p.conf.MemoryTokens > 0
}

// prepare plans the placement of a request.
func (p *Pool) prepare(request Request, domain string, now time.Time) {
	e := p.engines
	servers := float64(max(len(p.members), 1))
	base, perToken := e.speed.Times()
	e.decayUsage(now)
	rate := e.usage / usagePeriod.Seconds() * float64(p.entries) / servers
	for _, m := range e.plan.homes {
		m.engine.rank = 0
	}
	perEngine := float64(p.entries-1) / servers
	e.plan = plan{
		model:     placement.Model{TokenTime: perToken, BaseTime: base, Duration: e.duration, Utilization: min(rate*perToken, 1), Left: request.Left.Seconds()},
		prompt:    request.Prompt,
		domain:    domain,
		now:       now,
		homes:     e.plan.homes[:0],
		perEngine: perEngine,
		others:    perEngine * float64(e.inFlight),
		pending:   perEngine * e.pending,
		limit:     p.coldLimit(),
		turnover:  maxTurnover,
	}
	if len(request.Prompt.Parts) < 2 {
		return
	}
	id := request.Prompt.Parts[len(request.Prompt.Parts)-2].ID
	p.findHomes(id)
	if len(e.plan.homes) == 0 {
		return
	}
	e.plan.shared = float64(sharedTokens(request.Prompt))
	e.plan.assigned = min(e.demand.Homes(id, p.entries, homeRateShare*e.plan.limit, now), len(e.plan.homes))
	e.plan.preferred = int(e.entry % uint64(e.plan.assigned))
	if rate > 0 {
		capacity := p.partsCapacity(e.plan.perEngine * e.running)
		e.plan.turnover = time.Duration(min(capacity/rate, maxTurnover.Seconds()) * float64(time.Second))
	}
	e.plan.uses = e.demand.Uses(id, float64(p.entries-1)/float64(e.plan.assigned), e.plan.turnover, now)
	e.plan.model.Uses = e.plan.uses
	e.plan.model.Loss = 1 - (1-e.plan.homes[e.plan.preferred].engine.asked(&e.plan))*math.Exp(-e.plan.uses)
	if e.plan.turnover < maxTurnover {
		e.plan.model.Reuse = evictedReuse * asked(e.plan.uses)
	}
	e.plan.part = id
}

// asked returns the probability of at least one request if the given number is expected.
func asked(uses float64) float64 { return -math.Expm1(-uses) }

// findHomes finds the servers that a part is assigned to by rendezvous hashing, best first.
func (p *Pool) findHomes(part uint64) {
	const n = placement.MaxHomes
	homes := p.engines.plan.homes
	var scores [placement.MaxHomes]uint64
	for _, m := range p.members {
		if !p.mayServe(m) {
			continue
		}
		score := mix(m.hash ^ part)
		if len(homes) == n && score <= scores[n-1] {
			continue
		}
		if len(homes) < n {
			homes = append(homes, nil)
		}
		i := len(homes) - 1
		for ; i > 0 && score > scores[i-1]; i-- {
			homes[i], scores[i] = homes[i-1], scores[i-1]
		}
		homes[i], scores[i] = m, score
	}
	for i, m := range homes {
		m.engine.rank = i + 1
	}
	p.engines.plan.homes = homes
}

// partsCapacity returns how many tokens of parts an engine's memory holds beside the given
// number of tokens of running requests.
func (p *Pool) partsCapacity(running float64) float64 {
	memory := float64(p.conf.MemoryTokens)
	return max(memory-running, minMemoryShare*memory)
}

func (e *engines) decayUsage(now time.Time) {
	if elapsed := now.Sub(e.usageAt); elapsed > 0 {
		e.usage *= math.Exp(-float64(elapsed) / float64(usagePeriod))
		e.usageAt = now
	}
}

// candidate describes an engine for the request that is being placed. The result is valid
// until the next call.
func (p *Pool) candidate(m *member) *placement.Candidate {
	e, plan := p.engines, &p.engines.plan
	others, othersPending := plan.others, plan.pending
	if known := 1 - float64(plan.now.Sub(m.loadAt))/float64(loadMaxAge); known > 0 {
		reported := float64(max(m.load.Running+m.load.Queued+m.sentSince-m.inFlight, 0))
		waiting := float64(max(m.load.Queued-m.engine.unread, 0))
		others += known * (reported - others)
		othersPending += known * (waiting*e.unread - othersPending)
	}
	rank, held := m.engine.rank-1, 0.0
	if rank >= 0 || !m.engine.belief.Empty() {
		asked := 0.0
		if rank >= 0 && rank < plan.assigned {
			asked = m.engine.asked(plan)
		}
		capacity := p.partsCapacity(m.engine.running + others*e.size)
		held = m.engine.belief.Held(plan.prompt, m.engine.read+e.background, capacity, asked)
	}
	c := &e.candidate
	*c = placement.Candidate{
		Pending:  float64(m.pendingTokens) + othersPending,
		Read:     min(max(float64(plan.prompt.Input)-held, 0), float64(p.conf.MemoryTokens)),
		InFlight: float64(m.inFlight) + others,
		Slots:    float64(p.conf.Slots),
		Pace:     m.engine.pace.Factor(plan.now) * m.pace.At(plan.now),
		Failures: m.failureRate,
		Distant:  m.Server.Domain != plan.domain,
	}
	missing := min(max(plan.shared-held, 0), c.Read)
	switch {
	case rank >= 0 && rank == plan.preferred:
		c.Kept = missing
	case rank < 0 || rank >= plan.assigned:
		c.Copied, c.Fallback = missing, rank >= 0
	}
	return c
}

// asked returns the probability that other entries have sent the shared parts to this server
// since it last held nothing.
func (s *engineState) asked(plan *plan) float64 {
	part := min(float64(plan.now.Sub(s.heldSince))/float64(plan.turnover), 1)
	return asked(plan.uses * max(part, 0))
}

// burst returns the number of requests that this entry may send at once to an engine known to
// be warm; zero for the default. A busy engine gets one at a time, and a calm one that is the
// home of large shared parts gets more, each after the answer to the one before has begun. Over a longer time, the entry keeps to its part of the
// rate in any case.
func (p *Pool) burst(m *member) int {
	plan := &p.engines.plan
	if plan.limit == 0 {
		return 0
	}
	if plan.now.Sub(m.loadAt) > reportAge {
		return blindBurst
	}
	rate := float64(m.load.Running+m.load.Queued) / p.engines.duration
	switch {
	case rate > busyShare*plan.limit:
		return 1
	case rate < calmShare*plan.limit && m.sentSince == 0 && plan.shared >= largeTokens && slices.Contains(plan.homes[:plan.assigned], m):
		return largeBurst
	}
	return 0
}

// recordEngineSend records that the request that was planned is sent to an engine.
func (p *Pool) recordEngineSend(place *Place) {
	e, m := p.engines, place.member
	c := p.candidate(m)
	place.tokens = int(c.Read)
	place.Predicted = time.Duration(e.plan.model.FirstToken(c) * float64(time.Second))
	place.PendingTokens = int(c.Pending)
	place.AtHome = slices.Contains(e.plan.homes[:e.plan.assigned], m)
	place.size = min(max(float64(e.plan.prompt.Input)+float64(e.plan.prompt.Output), 1), float64(p.conf.MemoryTokens))
	place.machine = m.pace.At(e.plan.now)
	place.predictedRead = (c.Pending + c.Read) * e.plan.model.TokenTime * place.machine
	place.otherTime = place.Predicted.Seconds() - place.predictedRead*m.engine.pace.Factor(e.plan.now)
	if e.plan.part != 0 {
		own := max(float64(e.plan.prompt.Input)-e.plan.shared, 0)
		e.demand.Record(e.plan.part, own*e.plan.model.TokenTime, e.plan.now)
	}
	others := float64(p.entries - 1)
	m.engine.read += c.Read * (1 + othersKnown*others)
	e.background += c.Read * (1 - othersKnown) * e.plan.perEngine
	e.usage += c.Read
	clock := m.engine.read + e.background
	m.engine.belief.Record(e.plan.prompt, clock, p.partsCapacity(m.engine.running))
	m.engine.running += place.size
	m.engine.unread++
	e.running += place.size
	e.pending += float64(place.tokens)
	e.inFlight++
	e.size += meanWeight * (place.size - e.size)
	e.unread += meanWeight * (c.Read - e.unread)
}

// recordEngineRead records that an engine has read a request's prompt, or that it won't.
func (p *Pool) recordEngineRead(place *Place) {
	place.member.engine.unread--
	p.engines.pending -= float64(place.tokens)
}

// recordEngineTime learns from the time to the first token.
func (p *Pool) recordEngineTime(place *Place, now time.Time) {
	e, m := p.engines, place.member
	tokens := float64(place.tokens + place.PendingTokens)
	reading := place.Took.Seconds() - place.otherTime
	m.engine.pace.Observe(tokens, reading, place.predictedRead, now)
	e.speed.Observe(tokens*place.machine*m.engine.pace.Factor(now), place.Took.Seconds())
}

// recordEngineEnd records that a request has ended.
func (p *Pool) recordEngineEnd(place *Place, end End, now time.Time) {
	e, m := p.engines, place.member
	m.engine.running -= place.size
	e.running -= place.size
	e.inFlight--
	if e.inFlight == 0 {
		e.running, e.pending = 0, 0 // rounding errors don't add up
	}
	switch end {
	case EndDone:
		e.duration += meanWeight * (now.Sub(place.start).Seconds() - e.duration)
	case EndFailed, EndUnreachable:
		m.engine.belief.Forget() // the engine may have restarted
		m.engine.heldSince = now
	case EndRefused, EndAbandoned:
	}
}
