// Package entry runs callers' requests: it admits or rejects them, sends the
// call of each stage to an agent, retries where this is safe, and reports the
// outcome to the caller.
package entry

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"sequoialead"
	"sequoialead/common/requestlog"
	"sequoialead/core/admit"
	"sequoialead/core/config"
	"sequoialead/core/eject"
	"sequoialead/core/fairqueue"
	"sequoialead/core/latency"
	"sequoialead/core/retrybudget"
)

// Configuration provides the configuration currently in force.
type Configuration interface {
	Current() (*config.Config, sequoialead.Version)
}

// Members lists the agents of a pool.
type Members interface {
	Agents(pool string) []sequoialead.AgentClient
}

// Claimer decides which of several requests with the same idempotency key may run.
type Claimer interface {
	// Claim returns a claim and a nil answer if this request may run.
	// Otherwise the answer is what the caller is told: the recorded outcome of
	// the request that holds the key, or why the key could not be claimed.
	Claim(ctx context.Context, request sequoialead.Request) (Claim, *sequoialead.Answer)
}

// Claim gives its request the right to run.
type Claim interface {
	// Valid reports whether calls may still be sent under the claim.
	Valid() bool
	// Finish records the outcome of the request, and releases the key if the
	// request was not run.
	Finish(answer sequoialead.Answer)
}

// Options configures an entry.
type Options struct {
	Name          string
	Domain        string
	Configuration Configuration
	Members       Members
	// Claimer may be nil. Requests with an idempotency key for a pipeline that
	// is not idempotent are then refused.
	Claimer Claimer
	Log     klog.Logger
	Random  *rand.Rand
	// MaxAnswerBytes is the maximum size of an answer, in bytes.
	MaxAnswerBytes int
}

// Entry runs requests.
type Entry struct {
	opts   Options
	trails *requestlog.Recorder

	mu        sync.Mutex
	pools     map[string]*pool
	admission *admit.Tracker
	// stageTimes holds the service times by stage name.
	stageTimes map[string]*latency.Tracker
	inFlight   int
	// leaving is set by Drain and never reset.
	leaving bool
	stats   Stats
}

// pool is the state that an entry keeps for one pool.
type pool struct {
	name    string
	queue   *fairqueue.Queue
	router  sequoialead.Router
	policy  string
	ejector *eject.Ejector
	budget  *retrybudget.Budget
	// meanService is the mean service time of the pool's calls. It is
	// recomputed from serviceTimes at most once per meanRefreshInterval;
	// meanUpdated is when that was last done.
	meanService  time.Duration
	meanUpdated  time.Time
	serviceTimes *latency.Tracker
	// inFlight counts this entry's calls by agent, from the choice of the agent
	// to the end of the call.
	inFlight map[string]int
	// sentSince counts, by agent, the calls that this entry has sent since the
	// agent's latest load report. loadTimes holds the time of that report, and
	// the count is reset when a report with another time is seen.
	sentSince map[string]int
	loadTimes map[string]time.Time
}

// New returns an entry that is ready to run requests.
func New(opts Options) *Entry {
	return &Entry{
		opts:       opts,
		trails:     requestlog.NewRecorder(opts.Log, time.Now),
		pools:      map[string]*pool{},
		admission:  admit.New(),
		stageTimes: map[string]*latency.Tracker{},
		stats:      newStats(),
	}
}

// pool returns the state of a pool and creates it on first use. The caller
// holds mu.
func (e *Entry) pool(name string) *pool {
	p := e.pools[name]
	if p == nil {
		p = &pool{
			name:         name,
			queue:        fairqueue.New(),
			ejector:      eject.New(),
			budget:       retrybudget.New(),
			serviceTimes: latency.New(),
			inFlight:     map[string]int{},
			sentSince:    map[string]int{},
			loadTimes:    map[string]time.Time{},
		}
		e.pools[name] = p
	}
	return p
}

// serviceTime returns the mean service time of the pool's calls, which may be
// out of date by up to meanRefreshInterval.
func (p *pool) serviceTime(now time.Time) time.Duration {
	if now.Sub(p.meanUpdated) > meanRefreshInterval {
		p.meanService = p.serviceTimes.Mean()
		p.meanUpdated = now
	}
	return p.meanService
}

// meanRefreshInterval is the minimum time between two computations of a pool's
// mean service time.
const meanRefreshInterval = 100 * time.Millisecond

func (e *Entry) serviceTimes(stage string) *latency.Tracker {
	t := e.stageTimes[stage]
	if t == nil {
		t = latency.New()
		e.stageTimes[stage] = t
	}
	return t
}

// Drain makes Ready return ReasonLeaving from now on. Requests are still served.
func (e *Entry) Drain() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving = true
}

// Ready returns why a load balancer should not send requests to this entry, or
// an empty reason if it may.
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

// InFlight returns the number of admitted requests in flight.
func (e *Entry) InFlight() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.inFlight
}

// Queued returns the number of stages queued for an agent with free capacity.
func (e *Entry) Queued() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	sum := 0
	for _, p := range e.pools {
		sum += p.queue.Len()
	}
	return sum
}

// Stats returns a copy of the counts since the start of the entry.
func (e *Entry) Stats() Stats {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.stats.clone()
}

// Dispatch dispatches queued stages after an agent's load or state has changed.
func (e *Entry) Dispatch() {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	for _, p := range e.pools {
		e.pruneAgents(p)
		e.dispatch(p, now)
	}
}

// pruneFactor bounds the memory used for agents that have left: their state is
// pruned once a pool holds state for more than this many times its present
// agents.
const pruneFactor = 2

// pruneAgents drops the state of agents that have left the pool. The caller
// holds mu.
func (e *Entry) pruneAgents(p *pool) {
	agents := e.opts.Members.Agents(p.name)
	if len(p.loadTimes) <= pruneFactor*len(agents) {
		return
	}
	present := map[string]bool{}
	for _, agent := range agents {
		hello, _ := agent.Hello()
		present[hello.Name] = true
	}
	for name := range p.loadTimes {
		if !present[name] {
			delete(p.loadTimes, name)
			delete(p.sentSince, name)
		}
	}
	p.ejector.Prune(present)
}
