// Package agent takes the hard decisions beside one backend server: what it
// may be given, when, and never twice. Besides the agent it exports its
// options, what it counts, and the interfaces that it needs of others.
package agent

import (
	"context"
	"sync"
	"time"

	"github.com/google/uuid"
	"gopkg.in/tomb.v2"

	"sequoialead"
	"sequoialead/core/calls"
	"sequoialead/core/config"
	"sequoialead/core/frame"
	"sequoialead/core/limit"
	"sequoialead/core/parts"
)

// Periods and bounds of an agent's work.
const (
	TickPeriod    = 100 * time.Millisecond
	ProbePeriod   = 500 * time.Millisecond
	ProbeTimeout  = 400 * time.Millisecond
	ProbeBackoff  = 50 * time.Millisecond
	OrphanTimeout = 2 * time.Second
	HintLife      = 5 * time.Second
	EndGrace      = 5 * time.Second
	// BarLife exceeds the time that a message can stay on its way, which the
	// silence allowed to a connection bounds.
	BarLife     = 15 * time.Second
	BarsPerCall = 16
	UnackedWait = 2 * time.Second
	// HoldLife is how long a call that was given up may still run at a backend
	// server that warms up.
	HoldLife = 10 * time.Second
)

// Configuration is the configuration in force.
type Configuration interface {
	// Current returns the newest version known here.
	Current() (*config.Config, sequoialead.Version)
}

// Sender sends messages to one entry.
type Sender interface {
	// Peer names the entry.
	Peer() string
	// Send queues a message. It blocks while the connection's queue is full.
	Send(f frame.Frame) error
	// Gone is closed once the connection is.
	Gone() <-chan struct{}
}

// Options configures an agent.
type Options struct {
	Name          string
	Pool          string
	Domain        string
	Region        string
	Backend       sequoialead.Backend
	Configuration Configuration
	// Calls is the most calls that the agent remembers.
	Calls int
	// Bytes is the most memory for bodies and answers.
	Bytes int
}

// Agent guards one backend server.
type Agent struct {
	opts        Options
	incarnation uuid.UUID
	tomb        tomb.Tomb
	probeNow    chan struct{}

	mu    sync.Mutex
	table *calls.Table
	limit *limit.Limit
	parts *parts.Parts
	jobs  map[sequoialead.CallID]*job
	// waiting holds the admitted calls in the order of their arrival.
	waiting []*job
	// leaving is never unset.
	leaving bool
	// hinted is when an entry last said that the list shows this agent as leaving.
	hinted time.Time
	stats  Stats
}

// Stats counts what became of calls.
type Stats struct {
	Started  uint64
	Refused  uint64
	Attached uint64
	Done     uint64
	Failed   uint64
	Lost     uint64
	Restarts uint64
}

// New returns an agent that is not yet started.
func New(opts Options) (*Agent, error) {
	if opts.Name == "" || opts.Pool == "" || opts.Domain == "" {
		return nil, sequoialead.ErrSettings.New("an agent needs name, pool and domain; give all three in its settings")
	}
	a := &Agent{
		opts:        opts,
		incarnation: uuid.New(),
		probeNow:    make(chan struct{}, 1),
		parts:       parts.New(),
		jobs:        map[sequoialead.CallID]*job{},
		table: calls.New(calls.Options{
			Calls: opts.Calls,
			Bars:  BarsPerCall * opts.Calls,
			Bytes: opts.Bytes,
			Grace: EndGrace,
			Bar:   BarLife,
		}),
	}
	conf, _ := opts.Configuration.Current()
	a.limit = limit.New(limitOptions(conf, opts.Pool))
	return a, nil
}

var _ sequoialead.Service = (*Agent)(nil)

func limitOptions(conf *config.Config, pool string) limit.Options {
	p, ok := conf.Pools[pool]
	if !ok {
		p = config.Pool{Full: 1, Cold: 1}
	}
	return limit.Options{Full: p.Full, Cold: p.Cold, Warm: conf.Policy.Warm}
}

// Start begins to watch the backend server.
func (a *Agent) Start(context.Context) error {
	a.tomb.Go(a.tick)
	a.tomb.Go(a.probe)
	return nil
}

// Leave refuses all new work from now on.
func (a *Agent) Leave() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.leaving = true
	a.pump(time.Now())
}

// Drained waits until the admitted calls have ended and their answers were
// taken, or the context ends.
func (a *Agent) Drained(ctx context.Context) error {
	ticker := time.NewTicker(TickPeriod)
	defer ticker.Stop()
	for {
		if a.idle(time.Now()) {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
}

func (a *Agent) idle(now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, j := range a.jobs {
		if !j.over() || now.Sub(j.ended) < UnackedWait {
			return false
		}
	}
	return true
}

// Close cancels what still runs and waits until all has stopped.
func (a *Agent) Close() error {
	a.mu.Lock()
	a.leaving = true
	a.mu.Unlock()
	a.tomb.Kill(nil)
	if err := a.tomb.Wait(); err != nil {
		return err
	}
	return a.opts.Backend.Close()
}

// Hello returns what the agent says of itself to an entry.
func (a *Agent) Hello(entry string) sequoialead.Hello {
	a.mu.Lock()
	defer a.mu.Unlock()
	return sequoialead.Hello{
		Name:        a.opts.Name,
		Pool:        a.opts.Pool,
		Domain:      a.opts.Domain,
		Region:      a.opts.Region,
		Incarnation: a.incarnation,
		Load:        a.load(entry),
	}
}

// Load returns the latest load with an entry's part of the limit.
func (a *Agent) Load(entry string) sequoialead.Load {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.load(entry)
}

func (a *Agent) load(entry string) sequoialead.Load {
	conf, version := a.opts.Configuration.Current()
	part := 0
	if conf.Policy.Fair {
		part = a.parts.Part(entry, a.limit.Limit())
	}
	return sequoialead.Load{
		Part:    part,
		Limit:   a.limit.Limit(),
		Running: a.limit.Running(),
		Waiting: len(a.waiting),
		Leaving: a.leaving || time.Since(a.hinted) < HintLife,
		Version: version,
	}
}

// Version returns the configuration that the agent goes by.
func (a *Agent) Version() sequoialead.Version {
	_, version := a.opts.Configuration.Current()
	return version
}

// Stats returns the counts so far.
func (a *Agent) Stats() Stats {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.stats
}

// Hint takes an entry's word that the instance list shows the agent as leaving.
func (a *Agent) Hint() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.hinted = time.Now()
}

// gate returns why no new work may start, or an empty reason.
func (a *Agent) gate(call sequoialead.Call, now time.Time) sequoialead.Reason {
	conf, version := a.opts.Configuration.Current()
	switch {
	case version == 0:
		return sequoialead.ReasonUnready
	case a.leaving || now.Sub(a.hinted) < HintLife:
		return sequoialead.ReasonLeaving
	case conf.Out[a.opts.Domain]:
		return sequoialead.ReasonDomain
	case conf.Drained[a.opts.Name]:
		return sequoialead.ReasonDisabled
	case call.Pool != a.opts.Pool:
		return sequoialead.ReasonPool
	}
	return ""
}
