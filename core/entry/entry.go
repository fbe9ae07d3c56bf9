// Package entry runs callers' requests: it admits them, sends each stage to an
// agent, and says truthfully what became of them. Besides the entry it exports
// its options, what it counts, and the interfaces that it needs of others.
package entry

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"sequoialead"
	"sequoialead/common/trail"
	"sequoialead/core/admit"
	"sequoialead/core/budget"
	"sequoialead/core/config"
	"sequoialead/core/eject"
	"sequoialead/core/estimate"
	"sequoialead/core/shares"
)

// Configuration is the configuration in force.
type Configuration interface {
	Current() (*config.Config, sequoialead.Version)
}

// Members finds the agents of a pool.
type Members interface {
	Peers(pool string) []sequoialead.Peer
}

// Claims decides which of several requests with one idempotency key may run.
type Claims interface {
	// Claim returns nil if this request may run. Otherwise the answer tells
	// the caller what is known of the request that holds the key.
	Claim(ctx context.Context, request sequoialead.Request) (Held, *sequoialead.Answer)
}

// Held is a claim that was won.
type Held interface {
	// Sending reports whether the claim still allows a call to be sent.
	Sending() bool
	// End records what became of the request, and frees the key if it was
	// not run.
	End(answer sequoialead.Answer)
}

// Options configures an entry.
type Options struct {
	Name          string
	Domain        string
	Configuration Configuration
	Members       Members
	// Claims is nil where keyed requests are refused.
	Claims Claims
	Log    klog.Logger
	Random *rand.Rand
	// AnswerBytes is the largest answer.
	AnswerBytes int
}

// Entry runs requests.
type Entry struct {
	opts   Options
	trails *trail.Keeper

	mu    sync.Mutex
	pools map[string]*pool
	book  *admit.Book
	// times holds the service times by stage.
	times map[string]*estimate.Estimate
	open  int
	// leaving is never unset.
	leaving bool
	tally   Tally
}

// pool is what an entry knows of one pool.
type pool struct {
	name    string
	queue   *shares.Queue
	router  sequoialead.Router
	policy  string
	ejector *eject.Ejector
	budget  *budget.Budget
	// service is the mean time of the pool's calls, renewed from times now and
	// then.
	service  time.Duration
	serviced time.Time
	times    *estimate.Estimate
	// open counts this entry's calls by agent, from choice to end.
	open map[string]int
	// since counts the calls sent to an agent since the reading at the time
	// in read.
	since map[string]int
	read  map[string]time.Time
}

// New returns an entry that is ready to run requests.
func New(opts Options) *Entry {
	return &Entry{
		opts:   opts,
		trails: trail.NewKeeper(opts.Log, time.Now),
		pools:  map[string]*pool{},
		book:   admit.New(),
		times:  map[string]*estimate.Estimate{},
		tally:  newTally(),
	}
}

// pool returns what is known of a pool. The caller holds mu.
func (e *Entry) pool(name string) *pool {
	p := e.pools[name]
	if p == nil {
		p = &pool{
			name:    name,
			queue:   shares.New(),
			ejector: eject.New(),
			budget:  budget.New(),
			times:   estimate.New(),
			open:    map[string]int{},
			since:   map[string]int{},
			read:    map[string]time.Time{},
		}
		e.pools[name] = p
	}
	return p
}

// serviceTime returns the mean time of a pool's calls.
func (p *pool) serviceTime(now time.Time) time.Duration {
	if now.Sub(p.serviced) > servicePeriod {
		p.service = p.times.Mean()
		p.serviced = now
	}
	return p.service
}

// servicePeriod is the time between two looks at a pool's mean service time.
const servicePeriod = 100 * time.Millisecond

func (e *Entry) time(stage string) *estimate.Estimate {
	t := e.times[stage]
	if t == nil {
		t = estimate.New()
		e.times[stage] = t
	}
	return t
}

// Leave makes Ready report false from now on. Requests are still served.
func (e *Entry) Leave() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving = true
}

// Ready returns why the balancer should send no requests, or an empty reason.
func (e *Entry) Ready() sequoialead.Reason {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.leaving {
		return sequoialead.ReasonLeaving
	}
	if _, version := e.opts.Configuration.Current(); version == 0 {
		return sequoialead.ReasonUnready
	}
	return ""
}

// Open returns the number of requests that run.
func (e *Entry) Open() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.open
}

// Waiting returns the number of stages that wait for an agent with room.
func (e *Entry) Waiting() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	sum := 0
	for _, p := range e.pools {
		sum += p.queue.Len()
	}
	return sum
}

// Tally returns the counts so far.
func (e *Entry) Tally() Tally {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.tally.clone()
}

// Changed looks again at what waits, after an agent's load or state changed.
func (e *Entry) Changed() {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	for _, p := range e.pools {
		e.forget(p)
		e.pump(p, now)
	}
}

// forgetFactor is how many times more agents may be known than are present
// before those that are gone are forgotten.
const forgetFactor = 2

// forget drops what is known of agents that are gone. The caller holds mu.
func (e *Entry) forget(p *pool) {
	peers := e.opts.Members.Peers(p.name)
	if len(p.read) <= forgetFactor*len(peers) {
		return
	}
	present := map[string]bool{}
	for _, peer := range peers {
		hello, _ := peer.Hello()
		present[hello.Name] = true
	}
	for name := range p.read {
		if !present[name] {
			delete(p.read, name)
			delete(p.since, name)
		}
	}
	p.ejector.Forget(present)
}
