// Package pool decides which backend server of a pool gets a request, and how
// much each may get from this entry. Besides the pool it exports its options, what
// is known of it, what a request wants, and the places that it gives out.
package pool

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"sequoialead"
	"sequoialead/core/cold"
	"sequoialead/core/plan"
	"sequoialead/core/prompts"
	"sequoialead/core/retries"
	"sequoialead/core/roster"
)

// Options configures a pool.
type Options struct {
	Name string
	// Domain is that of this entry.
	Domain string
	Random *rand.Rand
	Bounds Bounds
}

// Bounds are shared by all entries, and may change while they run.
type Bounds struct {
	Retries retries.Options
	// ColdOver and ColdSlack are the factor on the rate that a cold backend
	// server bears and the number of requests beside it, for all entries.
	ColdOver  float64
	ColdSlack float64
}

// Want describes a request to be placed.
type Want struct {
	Prompt sequoialead.Prompt
	// Tried holds the backend servers that the request was sent to already.
	Tried map[string]bool
	// Domain is preferred; empty for that of the entry.
	Domain string
	// Fits reports whether a backend server has room; nil if all do.
	Fits func(server sequoialead.Server, own bool) bool
}

// Place is room for one request at one backend server. It is given back once.
type Place struct {
	Server sequoialead.Server
	// Own is set where this entry leads the backend server.
	Own bool
	// Pending is the number of prompt tokens before the request there, and Home
	// whether its shared parts belong there.
	Pending int
	Home    bool
	member  *member
	tokens  int
	began   time.Time
	first   bool
	back    bool
}

// member is one life of one backend server as this entry sees it.
type member struct {
	roster.Entry
	open int
	// pending is the number of prompt tokens sent that no event has followed.
	pending int
	cold    *cold.Rate
	// coldUntil is until when the backend server is taken to be cold: it is new,
	// said so, or showed a sign of a restart.
	coldUntil time.Time
	cache     *prompts.Cache
	// failing is the recent share of failures, from 0 to 1.
	failing float64
	// latency is the recent time to the first byte, in seconds; 0 if unknown.
	latency float64
	// downUntil is when a backend server that cannot be reached is tried again.
	downUntil time.Time
	pause     time.Duration
	// load is what it last said, at a time.
	load   sequoialead.Occupancy
	loadAt time.Time
	// since counts the requests sent after load.
	since int
	// hash places prompts among backend servers.
	hash uint64
}

// Pool is the state for one pool. It is not safe for concurrent use.
type Pool struct {
	opts    Options
	conf    *plan.Pool
	members []*member
	entries int
	// read is when the records of the backend servers were last read.
	read time.Time
	// own holds the backend servers that this entry leads.
	own    map[string]bool
	budget *retries.Budget
	// first predicts the time to the first byte.
	first line
}

// Weights and bounds of the choice.
const (
	// newWeight is the share of the newest observation in an average.
	newWeight = 0.2
	// pauseFirst and pauseMost bound how long a backend server that cannot be
	// reached is left out.
	pauseFirst = 500 * time.Millisecond
	pauseMost  = 4 * time.Second
	// loadLife is how long a reading of the load counts.
	loadLife = time.Second
	// failingWeight is the number of typical answers that a backend server
	// which always fails counts as being behind.
	failingWeight = 8.0
	// domainCost is what another failure domain adds, in typical answers.
	domainCost = 0.2
	// foreignCost is what a backend server that another entry leads adds,
	// in typical answers.
	foreignCost = 1.0
	// usualLatency stands in for an unknown time to the first byte.
	usualLatency = 0.02
	// runTokens is the number of prompt tokens whose reading delays a new
	// request as much as one more running request does where half of the places
	// are taken; below that it delays less.
	runTokens = 150.0
	// strayShare is the part of a prompt's shared tokens that count as read once
	// more elsewhere: other entries do not know of that copy.
	strayShare = 0.5
	// domainTokens is what another failure domain adds: less than the parts that
	// small prompts share, since a message there takes a millisecond or two.
	domainTokens = 50.0
)

// New returns a pool without backend servers.
func New(opts Options) *Pool {
	return &Pool{opts: opts, conf: &plan.Pool{Name: opts.Name}, entries: 1, budget: retries.New(opts.Bounds.Retries)}
}

// Configure takes new bounds.
func (p *Pool) Configure(b Bounds) {
	p.opts.Bounds = b
	p.budget.Configure(b.Retries)
}

// Retries returns the pool's budget.
func (p *Pool) Retries() *retries.Budget { return p.budget }

// Has reports whether a failure domain has backend servers of the pool, of those
// that this entry leads if it leads any.
func (p *Pool) Has(domain string) bool {
	return slices.ContainsFunc(p.members, func(m *member) bool {
		return m.Server.Domain == domain && (len(p.own) == 0 || p.own[m.Server.ID])
	})
}

// Home returns the failure domain where a prompt's shared parts belong; empty
// if there is none.
func (p *Pool) Home(prompt sequoialead.Prompt) string {
	home := p.home(prompt)
	for _, m := range p.members {
		if home != 0 && m.hash == home {
			return m.Server.Domain
		}
	}
	return ""
}

// Own returns the number of backend servers that this entry leads.
func (p *Pool) Own() int { return len(p.own) }

// View is what is known of a pool.
type View struct {
	// Conf is nil if it is not known any more; the last one known stays in force.
	Conf *plan.Pool
	// Usable are the backend servers that may get work, as read at a time.
	Usable []roster.Entry
	Read   time.Time
	// Own holds those of them that this entry leads, by ID.
	Own map[string]bool
	// Entries is the number of entries that share bounds.
	Entries int
}

// Update takes what is known now.
func (p *Pool) Update(view View, now time.Time) {
	if view.Conf != nil {
		p.conf = view.Conf
	}
	p.entries = max(view.Entries, 1)
	p.own = view.Own
	p.read = view.Read
	old := make(map[string]*member, len(p.members))
	for _, m := range p.members {
		old[m.Server.ID] = m
	}
	p.members = p.members[:0]
	for _, e := range view.Usable {
		m := old[e.Server.ID]
		if m == nil || !m.Server.Born.Equal(e.Server.Born) || m.Server.Addr != e.Server.Addr {
			fresh := &member{
				cold: cold.New(), coldUntil: now.Add(coldTime), cache: prompts.New(p.conf.Memory), hash: xxhash.Sum64String(e.Server.ID),
			}
			if m != nil {
				fresh.cold = m.cold // the bound holds for an address and both lives
			}
			m = fresh
		}
		m.Entry = e
		m.suspect(e.Read.Add(e.Server.Cold))
		p.members = append(p.members, m)
	}
	slices.SortFunc(p.members, func(a, b *member) int { return cmp.Compare(a.Server.ID, b.Server.ID) })
}

// Take returns a place for a request, or why there is none now.
func (p *Pool) Take(want Want, now time.Time) (*Place, sequoialead.Reason) {
	home := p.home(want.Prompt)
	best, reason := p.choose(want, home, now)
	if best == nil {
		return nil, reason
	}
	place := &Place{Server: best.Server, Own: p.own[best.Server.ID], Pending: best.pending, Home: best.hash == home, member: best, began: now}
	if p.conf.Slots > 0 {
		place.tokens = max(want.Prompt.Input-best.cache.Cached(want.Prompt), 0)
		best.pending += place.tokens
		best.cache.Sent(want.Prompt)
	}
	best.open++
	best.since++
	best.cold.Sent(now)
	if !best.downUntil.IsZero() {
		best.downUntil = now.Add(best.pause) // one request tries it at a time
	}
	return place, ""
}

// choose returns the backend server with the lowest cost.
func (p *Pool) choose(want Want, home uint64, now time.Time) (*member, sequoialead.Reason) {
	reason := sequoialead.ReasonNone
	var best *member
	bestCost := 0.0
	domain := cmp.Or(want.Domain, p.opts.Domain)
	down := p.mostDown(now)
	for _, m := range p.members {
		if want.Tried[m.Server.ID] || want.Fits != nil && !want.Fits(m.Server, p.own[m.Server.ID]) {
			continue
		}
		if now.Before(m.downUntil) && !down {
			continue
		}
		if m.open >= p.share(m) {
			reason = sequoialead.ReasonFull
			continue
		}
		if !p.bears(m, now) {
			reason = sequoialead.ReasonCold
			continue
		}
		cost := p.cost(m, want, home, domain, now)
		if best == nil || cost < bestCost {
			best, bestCost = m, cost
		}
	}
	return best, reason
}

// mostDown reports whether no backend server is left that can be reached.
func (p *Pool) mostDown(now time.Time) bool {
	for _, m := range p.members {
		if !now.Before(m.downUntil) {
			return false
		}
	}
	return true
}

// share is how many requests this entry may have open at one backend server.
func (p *Pool) share(m *member) int {
	most := max(m.Server.Slots, p.conf.Slots, 1)
	if p.conf.Conns > 0 {
		most = min(most, max(p.conf.Conns/p.entries, 1))
	}
	return most
}

// bears reports whether a backend server that may be cold bears one more. One
// that is known to be warm gets short bursts too, as prompts that belong there
// come together; the part of each entry still holds over a longer time, since it
// may turn cold without a sign.
func (p *Pool) bears(m *member, now time.Time) bool {
	if p.conf.ColdRate <= 0 {
		return true
	}
	part := (p.conf.ColdRate*p.opts.Bounds.ColdOver + p.opts.Bounds.ColdSlack) * coldMargin / float64(p.entries)
	burst := 1
	if now.After(m.coldUntil) && now.Sub(p.read) < coldTime {
		burst = warmBurst
	}
	return m.cold.Allow(now, part, burst)
}

// suspect takes a backend server to be cold until a time, if not longer.
func (m *member) suspect(until time.Time) {
	if until.After(m.coldUntil) {
		m.coldUntil = until
	}
}

// warmBurst is the number of requests that an entry may send at once to a backend
// server known to be warm: prompts that belong to one server come in twos and
// threes, and all entries rarely send one at the same moment.
const warmBurst = 3

// coldTime is how long a backend server is taken to be cold after it was first
// seen or showed a sign of a restart: longer than a heartbeat, its way through
// the store and a read of it take together.
const coldTime = 5 * time.Second

// coldMargin keeps a part of the shared bound unused for entries that have
// started and are not yet known to the others.
const coldMargin = 0.75

func (p *Pool) cost(m *member, want Want, home uint64, domain string, now time.Time) float64 {
	running, waiting := m.seen(now)
	if p.conf.Slots == 0 {
		typical := cmp.Or(m.latency, usualLatency)
		slots := float64(max(m.Server.Slots, 1))
		behind := 1 + max(float64(running+waiting+1)-slots, 0)/slots + 0.3*float64(running)/slots + failingWeight*m.failing
		if m.Server.Domain != domain {
			behind += domainCost
		}
		if p.conf.Pieces != nil && !p.own[m.Server.ID] {
			behind += foreignCost
		}
		return typical * behind * (1 + 0.05*p.opts.Random.Float64())
	}
	fresh := float64(max(want.Prompt.Input-m.cache.Cached(want.Prompt), 0))
	use := min(2*float64(running)/float64(p.conf.Slots), 1)
	cost := fresh + float64(m.pending) + runTokens*use*float64(running) + runTokens*float64(waiting)
	cost += failingWeight * runTokens * 10 * m.failing
	if home != 0 && home != m.hash {
		cost += strayShare * float64(shared(want.Prompt))
	} else if home != 0 {
		// Other entries send the same parts here.
		cost -= min(fresh, float64(max(shared(want.Prompt)-m.cache.Cached(want.Prompt), 0)))
	}
	if m.Server.Domain != domain {
		cost += domainTokens
	}
	return cost
}

// shared returns the number of tokens of a prompt that others may share.
func shared(prompt sequoialead.Prompt) int {
	n := 0
	for i := range len(prompt.Parts) - 1 {
		n += prompt.Parts[i].Tokens
	}
	return n
}

// seen returns the requests that run and wait, from what the backend server
// last said and what was sent since.
func (m *member) seen(now time.Time) (running, waiting int) {
	if now.Sub(m.loadAt) > loadLife {
		return m.open, 0
	}
	return max(m.load.Running+m.since, m.open), m.load.Waiting
}
