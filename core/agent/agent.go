// Package agent guards one backend server. It decides which calls are admitted
// and when each is sent, starts no call more than once, and keeps the answers
// until the entries have received them.
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
	"sequoialead/core/limit"
	"sequoialead/core/protocol"
	"sequoialead/core/quota"
)

// Intervals, timeouts and bounds of an agent.
const (
	sweepInterval = 100 * time.Millisecond
	probeInterval = 500 * time.Millisecond
	probeTimeout  = 400 * time.Millisecond
	probeBackoff  = 50 * time.Millisecond
	// orphanTimeout is how long a queued call, or a running idempotent one, is
	// kept after the connection to the entry that waits for its answer was lost.
	orphanTimeout = 2 * time.Second
	// leavingHintTTL is how long the agent refuses calls after HintLeaving.
	leavingHintTTL = 5 * time.Second
	// EndedCallGrace is how long an ended call is kept past its deadline for an
	// entry that reconnects.
	EndedCallGrace = 5 * time.Second
	// tombstoneTTL is how long the ID of a call that must not start is
	// remembered. It exceeds the time that a message can be in transit, which
	// is bounded by the read timeout after which a silent connection is closed.
	tombstoneTTL = 15 * time.Second
	// tombstonesPerCall is the ratio of MaxTombstones to MaxCalls. Each
	// acknowledged call becomes a tombstone for tombstoneTTL, so the ratio also
	// bounds the rate of calls.
	tombstonesPerCall = 16
	// ackTimeout is how long a draining agent waits for the acknowledgement of
	// an ended call.
	ackTimeout = 2 * time.Second
	// abandonedCallTimeout is how long a call that the agent has given up, at
	// its deadline or because no entry waits for it, may still run at a backend
	// server that is warming up; see abandon.
	abandonedCallTimeout = 10 * time.Second
)

// Configuration provides the configuration currently in force.
type Configuration interface {
	// Current returns the newest configuration known to the process, and its
	// version. The version is 0 if there is none yet.
	Current() (*config.Config, sequoialead.Version)
}

// Sender sends messages to one entry.
type Sender interface {
	// Peer returns the name of the entry.
	Peer() string
	// Send enqueues a message. It blocks while the connection's queue is full,
	// and returns an error if the connection is closed.
	Send(f protocol.Frame) error
	// Done returns a channel that is closed once the connection is closed.
	Done() <-chan struct{}
}

// Options configures an agent.
type Options struct {
	Name          string
	Pool          string
	Domain        string
	Region        string
	Backend       sequoialead.Backend
	Configuration Configuration
	// MaxCalls is the maximum number of calls that the agent keeps, tombstones not
	// counted.
	MaxCalls int
	// MaxBytes is the maximum total size of call bodies and answers, in bytes.
	MaxBytes int
}

// Agent runs the calls for one backend server. Its methods are safe for
// concurrent use.
type Agent struct {
	opts          Options
	incarnation   uuid.UUID
	tomb          tomb.Tomb
	probeRequests chan struct{}

	mu      sync.Mutex
	table   *calls.Table
	limit   *limit.Limit
	divider *quota.Divider
	jobs    map[sequoialead.CallID]*job
	// queue holds the admitted calls that are not started, in order of arrival.
	queue []*job
	// leaving is set by Drain and never reset.
	leaving bool
	// leavingHintTime is when an entry last reported that the instance list
	// shows this agent as leaving.
	leavingHintTime time.Time
	stats           Stats
}

// Stats holds the counts of an agent's calls and of restarts of its backend server.
type Stats struct {
	Started uint64
	Refused uint64
	// Duplicates counts copies of calls that were already known.
	Duplicates uint64
	Done       uint64
	Failed     uint64
	// Lost counts calls whose outcome at the backend server is not known.
	Lost uint64
	// Restarts counts how often a new identity of the backend server was
	// recorded: at the start, after a restart, and after a suspected restart.
	Restarts uint64
}

// New returns an agent that is not yet started. It returns ErrSettings if name,
// pool or domain is missing.
func New(opts Options) (*Agent, error) {
	if opts.Name == "" || opts.Pool == "" || opts.Domain == "" {
		return nil, sequoialead.ErrSettings.New("an agent needs name, pool and domain; give all three in its settings")
	}
	a := &Agent{
		opts:          opts,
		incarnation:   uuid.New(),
		probeRequests: make(chan struct{}, 1),
		divider:       quota.New(),
		jobs:          map[sequoialead.CallID]*job{},
		table: calls.New(calls.Options{
			MaxCalls:      opts.MaxCalls,
			MaxTombstones: tombstonesPerCall * opts.MaxCalls,
			MaxBytes:      opts.MaxBytes,
			EndedGrace:    EndedCallGrace,
			TombstoneTTL:  tombstoneTTL,
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
		p = config.Pool{WarmLimit: 1, ColdLimit: 1}
	}
	return limit.Options{MaxLimit: p.WarmLimit, ColdLimit: p.ColdLimit, WarmUp: conf.Policy.WarmUp}
}

// Start starts the loops that probe the backend server and expire calls.
func (a *Agent) Start(context.Context) error {
	a.tomb.Go(a.sweepLoop)
	a.tomb.Go(a.probeLoop)
	return nil
}

// Drain makes the agent refuse new and queued calls from now on. Running calls
// go on.
func (a *Agent) Drain() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.leaving = true
	a.dispatch(time.Now())
}

// WaitDrained waits until every admitted call has ended and was either acknowledged
// or ended at least ackTimeout ago. It returns the context's error if the context is
// done before that.
func (a *Agent) WaitDrained(ctx context.Context) error {
	ticker := time.NewTicker(sweepInterval)
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
		if !j.finished() || now.Sub(j.endTime) < ackTimeout {
			return false
		}
	}
	return true
}

// Close cancels running calls, waits for all goroutines and closes the backend.
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

// Hello returns the agent's description of itself for an entry, with its load.
func (a *Agent) Hello(entry string) sequoialead.Hello {
	a.mu.Lock()
	defer a.mu.Unlock()
	return sequoialead.Hello{
		Name:        a.opts.Name,
		Pool:        a.opts.Pool,
		Domain:      a.opts.Domain,
		Region:      a.opts.Region,
		Incarnation: a.incarnation,
		Load:        a.loadLocked(entry),
	}
}

// Load returns the current load, with the given entry's quota.
func (a *Agent) Load(entry string) sequoialead.Load {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.loadLocked(entry)
}

func (a *Agent) loadLocked(entry string) sequoialead.Load {
	conf, version := a.opts.Configuration.Current()
	entryQuota := 0
	if conf.Policy.FairShare {
		entryQuota = a.divider.Quota(entry, a.limit.Limit())
	}
	return sequoialead.Load{
		Quota:   entryQuota,
		Limit:   a.limit.Limit(),
		Running: a.limit.Running(),
		Queued:  len(a.queue),
		Leaving: a.leaving || time.Since(a.leavingHintTime) < leavingHintTTL,
		Version: version,
	}
}

// Version returns the version of the configuration in force.
func (a *Agent) Version() sequoialead.Version {
	_, version := a.opts.Configuration.Current()
	return version
}

// Stats returns the counts since the start of the agent.
func (a *Agent) Stats() Stats {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.stats
}

// HintLeaving records an entry's report that the instance list shows this agent as
// leaving. New and queued calls are refused for leavingHintTTL.
func (a *Agent) HintLeaving() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.leavingHintTime = time.Now()
}

// refusalReason returns why a call must not be admitted or started, or an empty
// reason. Capacity and the deadline are not considered.
func (a *Agent) refusalReason(call sequoialead.Call, now time.Time) sequoialead.Reason {
	conf, version := a.opts.Configuration.Current()
	switch {
	case version == 0:
		return sequoialead.ReasonUnready
	case a.leaving || now.Sub(a.leavingHintTime) < leavingHintTTL:
		return sequoialead.ReasonLeaving
	case conf.EvacuatedDomains[a.opts.Domain]:
		return sequoialead.ReasonDomain
	case conf.DrainedBackends[a.opts.Name]:
		return sequoialead.ReasonDisabled
	case call.Pool != a.opts.Pool:
		return sequoialead.ReasonPool
	}
	return ""
}
