// Package pool chooses a backend server of a pool for each request, and limits the
// concurrency and rate of this entry's requests to each server.
package pool

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"sequoialead"
	"sequoialead/core/availability"
	"sequoialead/core/enginememory"
	"sequoialead/core/outlier"
	"sequoialead/core/pace"
	"sequoialead/core/prefixcache"
	"sequoialead/core/proxyconfig"
	"sequoialead/core/retries"
	"sequoialead/core/serverset"
)

// Options configures a pool.
type Options struct {
	Name string
	// Domain is the failure domain of this entry.
	Domain string
	Random *rand.Rand
	Limits Limits
	// OnEjected is called when a backend server is ejected; it may be nil.
	OnEjected func(outlier.Event)
	// Entry is the name of this entry.
	Entry string
	// Placement selects model engines by the predicted time to the first token.
	Placement bool
	// Versions is nil if servers of all versions get requests alike.
	Versions Versions
}

// Limits holds the limits that apply to all entries together and may change while
// they run.
type Limits struct {
	Retries retries.Options
	// ColdFactor and ColdSlack relax the rate limit of cold backend servers. All
	// entries together may send ColdRate*ColdFactor+ColdSlack requests per second.
	ColdFactor float64
	ColdSlack  float64
	// MaxHold is the longest time for which a backend server that wants nothing gets
	// nothing.
	MaxHold time.Duration
	// Outlier makes the pool eject backend servers that fail everything.
	Outlier bool
}

// Request describes a request to be placed.
type Request struct {
	Prompt sequoialead.Prompt
	// Exclude holds the IDs of the backend servers that must not be chosen, because
	// they were already tried.
	Exclude map[string]bool
	// Domain is the preferred failure domain; empty for that of the entry.
	Domain string
	// Left is the time within which the first event of the answer is on time; 0 if unknown.
	Left time.Duration
	// Route is the name of the request's route; empty for a call that serves several.
	Route string
	// HasCapacity reports whether a backend server has capacity for the request; nil
	// if no such check is needed. The argument led is set if this entry leads the
	// server.
	HasCapacity func(server sequoialead.Server, led bool) bool
}

// Place is the permission to send one request to one backend server. It has to be
// released with Release.
type Place struct {
	Server sequoialead.Server
	// Led is set if this entry leads the backend server.
	Led bool
	// PendingTokens is the number of prompt tokens of this entry's earlier requests
	// that the server has yet to prefill; with Options.Placement, also of others'. AtHome tells whether the request's shared
	// parts are assigned to the server.
	PendingTokens int
	AtHome        bool
	// Source identifies who sent the request; zero if it is not known. It tells failures
	// that a caller causes from those of the server.
	Source uint64
	// Failing is set before RecordFirstByte if the answer reports a failure of the server.
	Failing bool
	// probe is set if the request probes an ejected server.
	probe bool
	// Reported is the load that came with the head of the answer, and is set before
	// RecordFirstByte; nil if there was none.
	Reported *sequoialead.ServerLoad
	// pace is the factor of the server's machine when the place was acquired; zero if it was
	// not known.
	pace float64
	// prompt is set if the request counts in the memory of a model engine, as inMemory tells.
	prompt   sequoialead.Prompt
	inMemory bool
	// Predicted is the predicted time to the first token, and Took the actual one once it
	// is known; zero without Options.Placement.
	Predicted time.Duration
	Took      time.Duration
	// ownPending is the part of PendingTokens that this entry's own requests are.
	ownPending int
	// size is the number of tokens of the request and its answer. predictedRead is the time
	// in seconds that a typical engine takes to read, and otherTime the rest of Predicted.
	size          float64
	predictedRead float64
	// machine is the factor of the engine's machine when the request was sent.
	machine      float64
	otherTime    float64
	loadRecorded bool
	// Units is the number of pieces that a call is for; 0 counts as one. FailedUnits is the
	// number of those that an answered call did not make because the server failed.
	Units             int
	FailedUnits       int
	route             string
	member            *member
	tokens            int
	start             time.Time
	firstByteRecorded bool
	released          bool
}

// member is this entry's state for one backend server. It is replaced when the
// server restarts.
type member struct {
	serverset.Member
	// inFlight is the number of this entry's requests in flight.
	inFlight int
	// pendingTokens is the number of prompt tokens of the requests in flight whose
	// answers have not started.
	pendingTokens int
	// state is what counts against the server's process. It outlives the member.
	state *availability.Server
	cache *prefixcache.Cache
	// failureRate is a moving average of failures, from 0 to 1.
	failureRate float64
	// latency is a moving average of the time to the first byte at the usual pace, in
	// seconds; 0 if unknown.
	latency float64
	// pace is that of the server's machine as it reports it, and own that of the server itself,
	// in relation to the pool.
	pace, own *pace.Tracker
	// memory is that of a model engine.
	memory *enginememory.Engine
	// load is the load that the backend server last reported, and loadAt when.
	load   sequoialead.ServerLoad
	loadAt time.Time
	// sentSince counts the requests sent after that report.
	sentSince int
	// hash is the hash of the server's ID, for the rendezvous hashing of prompts.
	hash   uint64
	engine engineState
}

// Pool is this entry's state for one pool. It is not safe for concurrent use.
type Pool struct {
	opts    Options
	conf    *proxyconfig.Pool
	members []*member
	// register holds what counts against the backend servers' processes.
	register *availability.Register
	outliers *outlier.Detector
	entries  int
	// recordsRead is when the records of the backend servers were last read.
	recordsRead time.Time
	// updatedAt is when Update was called last.
	updatedAt time.Time
	// led holds the IDs of the backend servers that this entry leads.
	led    map[string]bool
	budget *retries.Budget
	// sharesMachines is set once a server has reported a pace: only those that share their
	// machines do.
	sharesMachines bool
	// meanNeed is the mean number of tokens that a request takes in an engine's memory, and
	// needVariance its variance, over the number needs.
	meanNeed, needVariance float64
	needs                  int
	// version is the filter of the versions that the current request may go to; nil for
	// all.
	version func(version string) bool
	// firstByte predicts the time to the first byte of an answer.
	firstByte regression
	// engines is nil without Options.Placement.
	engines *engines
}

// Weights and limits for choosing a backend server. Penalties are multiples of the
// server's latency, or prompt tokens in pools of model engines, which have
// proxyconfig.Pool.Slots > 0.
const (
	// smoothing is the weight of the newest observation in a moving average.
	smoothing = 0.2
	// loadMaxAge is the age up to which a load report is used.
	loadMaxAge = time.Second
	// failurePenalty is the cost of a backend server that always fails, as a multiple
	// of its latency, or of the cost of ten running requests in pools of model engines.
	failurePenalty = 8.0
	// crossDomainPenalty is the cost of another failure domain, as a multiple of the
	// server's latency.
	crossDomainPenalty = 0.2
	// notLedPenalty is the cost of a backend server that this entry does not lead, as
	// a multiple of its latency.
	notLedPenalty = 1.0
	// defaultLatency replaces an unknown time to the first byte, in seconds.
	defaultLatency = 0.02
	// tokensPerRunning is the cost of a running request, in prompt tokens, if at least
	// half of the slots are in use. With fewer in use, a running request delays
	// another less.
	tokensPerRunning = 150.0
	// duplicateShare is the part of a prompt's shared tokens that is added to the cost
	// of servers other than the prompt's home. A request sent to such a server caches
	// a second copy of the shared parts there, which other entries do not know of.
	duplicateShare = 0.5
	// crossDomainTokens is the cost of another failure domain, in prompt tokens. It is
	// less than the shared parts of small prompts, since a message to another domain
	// takes only a millisecond or two.
	crossDomainTokens = 50.0
)

// New returns a pool without backend servers.
func New(opts Options) *Pool {
	p := &Pool{opts: opts, conf: &proxyconfig.Pool{Name: opts.Name}, register: availability.New(), outliers: outlier.New(), entries: 1, budget: retries.New(opts.Limits.Retries)}
	if opts.Placement {
		p.engines = newEngines(opts.Entry)
	}
	return p
}

// Configure applies new limits.
func (p *Pool) Configure(limits Limits) {
	p.opts.Limits = limits
	p.budget.Configure(limits.Retries)
	if !limits.Outlier {
		p.outliers = outlier.New()
	}
}

// Retries returns the pool's retry budget.
func (p *Pool) Retries() *retries.Budget { return p.budget }

// HasDomain reports whether a failure domain has backend servers of the pool. If this
// entry leads any servers of the pool, only those count.
func (p *Pool) HasDomain(domain string) bool {
	return slices.ContainsFunc(p.members, func(m *member) bool {
		return m.Server.Domain == domain && (len(p.led) == 0 || p.led[m.Server.ID])
	})
}

// HomeDomain returns the failure domain of the backend server that a prompt's
// shared parts are assigned to; empty if there is none.
func (p *Pool) HomeDomain(prompt sequoialead.Prompt) string {
	if p.opts.Versions != nil {
		p.version = p.opts.Versions.Leading(p.opts.Name)
		defer func() { p.version = nil }()
	}
	home := p.home(prompt)
	for _, m := range p.members {
		if home != 0 && m.hash == home {
			return m.Server.Domain
		}
	}
	return ""
}

// LedServers returns the number of backend servers that this entry leads.
func (p *Pool) LedServers() int { return len(p.led) }

// View is the input of Update: the current configuration and backend servers.
type View struct {
	// Conf is nil if the pool is no longer configured; the pool then keeps its last
	// configuration.
	Conf *proxyconfig.Pool
	// Usable holds the backend servers that may get requests. ReadAt is when their
	// records were read.
	Usable []serverset.Member
	ReadAt time.Time
	// Led holds the IDs of the backend servers that this entry leads.
	Led map[string]bool
	// Entries is the number of entries that share the limits.
	Entries int
}

// Update replaces the configuration and the backend servers. The state of a server
// is kept unless the server restarted or its address changed.
func (p *Pool) Update(view View, now time.Time) {
	if view.Conf != nil {
		p.conf = view.Conf
	}
	p.entries = max(view.Entries, 1)
	p.led = view.Led
	p.recordsRead = view.ReadAt
	sinceUpdate := now.Sub(p.updatedAt)
	p.updatedAt = now
	old := make(map[string]*member, len(p.members))
	for _, m := range p.members {
		old[m.Server.ID] = m
	}
	p.members = p.members[:0]
	for _, e := range view.Usable {
		m := old[e.Server.ID]
		if m == nil || !m.Server.StartedAt.Equal(e.Server.StartedAt) || m.Server.Addr != e.Server.Addr {
			replacement := &member{
				state: p.register.Get(e.Server, now), cache: prefixcache.New(p.conf.MemoryTokens), hash: xxhash.Sum64String(e.Server.ID),
				memory: enginememory.New(),
			}
			replacement.pace, replacement.own = newPaceTrackers()
			if p.engines != nil {
				replacement.engine = p.engines.newEngineState(now)
			}
			replacement.state.MarkCold(now.Add(availability.ColdPeriod))
			m = replacement
		}
		m.Member = e
		if p.opts.Limits.Outlier {
			m.failureRate *= penaltyDecay(sinceUpdate)
		}
		p.register.Get(e.Server, now)
		m.state.MarkCold(e.ReadAt.Add(e.Server.ColdLeft))
		p.members = append(p.members, m)
	}
	if p.engines != nil && len(p.members) > 0 {
		p.engines.updated = true
	}
	p.register.Prune(now)
	if p.opts.Limits.Outlier {
		p.outliers.Update(p.candidates(), now)
	}
	slices.SortFunc(p.members, func(a, b *member) int { return cmp.Compare(a.Server.ID, b.Server.ID) })
}

// Acquire returns a place for a request, or the reason why there is none now.
func (p *Pool) Acquire(request Request, now time.Time) (*Place, sequoialead.Reason) {
	best, home, reason := p.chooseVersion(request, now)
	if best == nil {
		return nil, reason
	}
	place := &Place{route: request.Route, Server: best.Server, Led: p.led[best.Server.ID], PendingTokens: best.pendingTokens, ownPending: best.pendingTokens, AtHome: best.hash == home, pace: best.paceAtStart(now), member: best, start: now}
	switch {
	case p.placesByTime():
		p.recordEngineSend(place)
		best.pendingTokens += place.tokens
	case p.conf.Slots > 0:
		place.tokens = max(request.Prompt.Input-best.cache.Cached(request.Prompt), 0)
		best.pendingTokens += place.tokens
		best.cache.Record(request.Prompt)
	}
	if p.conf.Slots > 0 {
		p.addMemory(place, request.Prompt)
	}
	place.probe = p.opts.Limits.Outlier && p.outliers.Sent(best.Server, now)
	best.inFlight++
	best.sentSince++
	best.state.RecordSent(now)
	p.recordVersionSent(place)
	return place, ""
}

// choose returns the available backend server with the lowest cost, or nil and the
// reason. Unreachable servers are considered only if all are unreachable, and ejected
// ones only if all others are excluded, leaving or unreachable.
func (p *Pool) choose(request Request, home uint64, now time.Time) (*member, sequoialead.Reason) {
	best, reason, ejected, others := p.chooseAmong(request, home, now, false)
	if best == nil && ejected && !others {
		best, reason, _, _ = p.chooseAmong(request, home, now, true)
	}
	return best, reason
}

// chooseAmong returns the available backend server with the lowest cost, or nil and the
// reason, among those that are not ejected, or among all. Ejected tells whether any were left
// out for that, and others whether any other server may get the request now or later.
func (p *Pool) chooseAmong(request Request, home uint64, now time.Time, all bool) (best *member, reason sequoialead.Reason, ejected, others bool) {
	reason = sequoialead.ReasonNone
	bestCost := 0.0
	domain := cmp.Or(request.Domain, p.opts.Domain)
	limits, limitsMemory, meanOthers := p.limits(now), p.limitsMemory(), 0.0
	if limitsMemory {
		meanOthers = p.meanOthers(now)
	}
	byTime := p.placesByTime()
	for _, m := range p.members {
		if !p.mayServe(m) || request.Exclude[m.Server.ID] {
			continue
		}
		if p.opts.Limits.Outlier && !all {
			if !p.outliers.Available(m.Server, now) {
				ejected = true
				continue
			}
			others = others || p.isCandidate(m) && !m.state.Leaving() && !m.state.Unreachable(now)
		}
		if request.HasCapacity != nil && !request.HasCapacity(m.Server, p.led[m.Server.ID]) {
			continue
		}
		if byTime {
			limits.Burst = p.burst(m)
		}
		switch m.state.Check(now, limits) {
		case availability.CauseLeaving, availability.CauseUnreachable:
			continue
		case availability.CauseHeld:
			if reason == sequoialead.ReasonNone {
				reason = sequoialead.ReasonHeld
			}
			continue
		case availability.CauseCold:
			reason = sequoialead.ReasonCold
			continue
		case availability.CauseNone:
		}
		if m.inFlight >= p.maxInFlight(m, now) || limitsMemory && !p.fitsMemory(m, request.Prompt, meanOthers, now) {
			reason = sequoialead.ReasonFull
			continue
		}
		cost := 0.0
		if byTime {
			cost = p.engines.plan.model.Cost(p.candidate(m))
		} else {
			cost = p.cost(m, request, home, domain, now)
		}
		if best == nil || cost < bestCost {
			best, bestCost = m, cost
		}
	}
	return best, reason, ejected, others
}

// isCandidate reports whether this entry chooses a backend server of its own accord: one of
// those that it leads, or any if it leads none.
func (p *Pool) isCandidate(m *member) bool { return len(p.led) == 0 || p.led[m.Server.ID] }

// candidates returns the backend servers that this entry chooses from.
func (p *Pool) candidates() []sequoialead.Server {
	var list []sequoialead.Server
	for _, m := range p.members {
		if p.isCandidate(m) {
			list = append(list, m.Server)
		}
	}
	return list
}

// limits returns the limits by which backend servers are checked.
func (p *Pool) limits(now time.Time) availability.Limits {
	return availability.Limits{
		ColdRate:          p.coldRate(),
		Current:           now.Sub(p.recordsRead) < availability.ColdPeriod,
		IgnoreUnreachable: p.allUnreachable(now),
	}
}

// coldRate returns this entry's part of the request rate that a cold backend server bears;
// 0 for no limit.
func (p *Pool) coldRate() float64 {
	return p.coldLimit() * coldLimitShare / float64(p.entries)
}

// coldLimit returns the requests per second that all entries together may send to a cold
// backend server; 0 for no limit.
func (p *Pool) coldLimit() float64 {
	if p.conf.ColdRate <= 0 {
		return 0
	}
	return p.conf.ColdRate*p.opts.Limits.ColdFactor + p.opts.Limits.ColdSlack
}

// allUnreachable reports whether no backend server that may be sent to can be reached.
func (p *Pool) allUnreachable(now time.Time) bool {
	for _, m := range p.members {
		if !m.state.Leaving() && !now.Before(m.state.HeldUntil()) && !m.state.Unreachable(now) {
			return false
		}
	}
	return true
}

// maxInFlight returns how many requests this entry may have in flight at a backend
// server.
func (p *Pool) maxInFlight(m *member, now time.Time) int {
	limit := max(m.Server.Slots, p.conf.Slots, 1)
	if p.conf.MaxConns > 0 {
		limit = min(limit, max(p.conf.MaxConns/p.entries, 1))
	}
	return m.state.Capacity(limit, now)
}

// coldLimitShare is the part of the shared limit that the known entries use. The rest
// is reserved for entries that have started and are not yet known to the others.
const coldLimitShare = 0.75

// cost estimates how long a request would take at a backend server: in seconds, with
// a small random spread, or in prompt tokens to prefill in pools of model engines.
func (p *Pool) cost(m *member, request Request, home uint64, domain string, now time.Time) float64 {
	running, waiting := m.estimatedLoad(now)
	if p.conf.Slots == 0 {
		latency := cmp.Or(m.latency, defaultLatency) * m.speed(now)
		slots := float64(max(m.Server.Slots, 1))
		factor := 1 + max(float64(running+waiting+1)-slots, 0)/slots + 0.3*float64(running)/slots + failurePenalty*m.failureRate
		if m.Server.Domain != domain {
			factor += crossDomainPenalty
		}
		if p.conf.Pieces != nil && !p.led[m.Server.ID] {
			factor += notLedPenalty
		}
		return latency * factor * (1 + 0.05*p.opts.Random.Float64())
	}
	uncached := float64(max(request.Prompt.Input-m.cache.Cached(request.Prompt), 0))
	if home != 0 && home == m.hash {
		// Other entries send the same parts here, so they are probably cached.
		uncached -= min(uncached, float64(max(sharedTokens(request.Prompt)-m.cache.Cached(request.Prompt), 0)))
	}
	utilization := min(2*float64(running)/float64(p.conf.Slots), 1)
	cost := m.speed(now) * (uncached + float64(m.pendingTokens) + tokensPerRunning*utilization*float64(running) + tokensPerRunning*float64(waiting))
	cost += failurePenalty * tokensPerRunning * 10 * m.failureRate
	if home != 0 && home != m.hash {
		cost += duplicateShare * float64(sharedTokens(request.Prompt))
	}
	if m.Server.Domain != domain {
		cost += crossDomainTokens
	}
	return cost
}

// sharedTokens returns the number of tokens of a prompt that other prompts may share:
// all but those of the last part.
func sharedTokens(prompt sequoialead.Prompt) int {
	n := 0
	for i := range len(prompt.Parts) - 1 {
		n += prompt.Parts[i].Tokens
	}
	return n
}

// estimatedLoad returns the number of running and queued requests at the backend
// server, from its last load report and the requests sent since.
func (m *member) estimatedLoad(now time.Time) (running, queued int) {
	if now.Sub(m.loadAt) > loadMaxAge {
		return m.inFlight, 0
	}
	return max(m.load.Running+m.sentSince, m.inFlight), m.load.Queued
}
