package entry

import (
	"context"
	"time"

	"sequoialead"
	"sequoialead/core/config"
	"sequoialead/core/fairqueue"
	"sequoialead/core/route"
)

// availabilityCheckInterval is the interval between checks of whether the pool of
// a queued stage still has an available agent.
const availabilityCheckInterval = 250 * time.Millisecond

// waiter is a stage queued for an agent with free capacity.
type waiter struct {
	// prefix is the prompt of a generation; see task.prefix.
	prefix string
	// assigned receives the chosen agent, at most once.
	assigned chan sequoialead.AgentClient
	// excluded holds the names of the agents that have refused or failed this
	// stage. They are chosen again only if no other agent has capacity.
	excluded map[string]bool
}

// slot is one call's share of an agent's capacity, held until the attempt ends.
type slot struct {
	agent  sequoialead.AgentClient
	name   string
	domain string
}

// acquire waits for an agent of the stage's pool with free capacity. It returns
// a reason if no agent is available or none has capacity before the context
// ends.
func (e *Entry) acquire(ctx context.Context, t task, excluded map[string]bool) (slot, sequoialead.Reason) {
	w := &waiter{prefix: t.prefix, assigned: make(chan sequoialead.AgentClient, 1), excluded: excluded}
	e.mu.Lock()
	p := e.pool(t.stage.Pool)
	now := time.Now()
	cost := e.serviceTimes(t.stage.Name).Quantile(admissionQuantile, now)
	ticket := p.queue.Push(t.customer.Name, e.weight(t.customer), cost, t.index > 0, w)
	e.dispatch(p, now)
	e.mu.Unlock()
	ticker := time.NewTicker(availabilityCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case agent := <-w.assigned:
			return e.newSlot(agent), ""
		case <-ticker.C:
			if reason := e.giveUpReason(p, t.index); reason != "" {
				e.cancelWait(p, ticket, w)
				return slot{}, reason
			}
		case <-ctx.Done():
			e.cancelWait(p, ticket, w)
			return slot{}, sequoialead.ReasonDeadline
		}
	}
}

// giveUpReason returns why a queued stage should stop waiting, or an empty
// reason. Stages after the first wait until the deadline, because giving up
// would waste the work of the stages before them.
func (e *Entry) giveUpReason(p *pool, index int) sequoialead.Reason {
	if index > 0 {
		return ""
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.unavailableReason(p, e.routable(p))
}

// cancelWait removes a waiter from the queue. If an agent was assigned to it
// concurrently, its slot is released.
func (e *Entry) cancelWait(p *pool, ticket *fairqueue.Ticket, w *waiter) {
	e.mu.Lock()
	p.queue.Remove(ticket)
	e.mu.Unlock()
	select {
	case agent := <-w.assigned:
		e.release(p.name, e.newSlot(agent))
	default:
	}
}

func (e *Entry) newSlot(agent sequoialead.AgentClient) slot {
	hello, _ := agent.Hello()
	return slot{agent: agent, name: hello.Name, domain: hello.Domain}
}

// weight returns a customer's weight, or 1 for every customer if fair
// queueing is off.
func (e *Entry) weight(c config.Customer) int {
	conf, _ := e.opts.Configuration.Current()
	if !conf.Policy.FairShare {
		return 1
	}
	return c.Weight
}

// release frees a slot and dispatches queued stages.
func (e *Entry) release(pool string, s slot) {
	e.mu.Lock()
	defer e.mu.Unlock()
	p := e.pool(pool)
	p.inFlight[s.name]--
	if p.inFlight[s.name] <= 0 {
		delete(p.inFlight, s.name)
	}
	e.dispatch(p, time.Now())
}

// unavailableReason returns an empty reason if the pool has an available agent, and
// otherwise ReasonNone, which tells that there is none. An agent that is
// reconnecting after its connection was just lost counts as available, unless
// operators have drained it or taken its failure domain out of service. The caller
// holds mu.
func (e *Entry) unavailableReason(p *pool, targets []target) sequoialead.Reason {
	if len(targets) > 0 {
		return ""
	}
	conf, _ := e.opts.Configuration.Current()
	for _, agent := range e.opts.Members.Agents(p.name) {
		hello, _ := agent.Hello()
		if agent.Reconnecting() && !conf.EvacuatedDomains[hello.Domain] && !conf.DrainedBackends[hello.Name] {
			return ""
		}
	}
	return sequoialead.ReasonNone
}

// target is an agent that a call may be routed to.
type target struct {
	agent     sequoialead.AgentClient
	candidate sequoialead.Candidate
}

// routable returns the agents that accept calls, without those that operators have
// drained or whose failure domain they have taken out of service. Full agents are
// included. The caller holds mu.
func (e *Entry) routable(p *pool) []target {
	conf, _ := e.opts.Configuration.Current()
	var targets []target
	for _, agent := range e.opts.Members.Agents(p.name) {
		c, ok := agent.Candidate()
		if !ok || conf.EvacuatedDomains[c.Domain] || conf.DrainedBackends[c.Name] {
			continue
		}
		targets = append(targets, target{agent: agent, candidate: e.withUnreported(p, c)})
	}
	return targets
}

// withUnreported adds to an agent's reported load the calls that this entry has
// sent since the report. The caller holds mu.
func (e *Entry) withUnreported(p *pool, c sequoialead.Candidate) sequoialead.Candidate {
	if !c.LoadTime.Equal(p.loadTimes[c.Name]) {
		p.loadTimes[c.Name] = c.LoadTime
		p.sentSince[c.Name] = 0
	}
	c.InFlight = p.inFlight[c.Name]
	c.Load.Queued += p.sentSince[c.Name]
	return c
}

// dispatch assigns queued stages to agents while there is free capacity. The
// caller holds mu.
func (e *Entry) dispatch(p *pool, now time.Time) {
	if p.queue.Len() == 0 {
		return
	}
	targets := e.eligible(p, now)
	for p.queue.Len() > 0 {
		free := withCapacity(targets)
		if len(free) == 0 {
			return
		}
		w := p.queue.Pop().Value.(*waiter)
		chosen := free[e.pick(p, free, w)]
		e.reserve(p, chosen)
		w.assigned <- chosen.agent
	}
}

// reserve counts a call that is about to be sent to a target. The caller holds
// mu.
func (e *Entry) reserve(p *pool, t *target) {
	c := &t.candidate
	p.inFlight[c.Name]++
	p.sentSince[c.Name]++
	p.ejector.Probe(c.Name)
	c.InFlight++
	c.Load.Queued++
}

// withCapacity returns the targets with free capacity or, if there are none,
// the full ones where this entry has fewer calls in flight than its quota.
func withCapacity(targets []*target) []*target {
	var free, withinQuota []*target
	for _, t := range targets {
		switch {
		case t.candidate.HasCapacity():
			free = append(free, t)
		case t.candidate.WithinQuota():
			withinQuota = append(withinQuota, t)
		}
	}
	if len(free) > 0 {
		return free
	}
	return withinQuota
}

// eligible returns the routable agents that are not ejected. The caller holds mu.
func (e *Entry) eligible(p *pool, now time.Time) []*target {
	conf, _ := e.opts.Configuration.Current()
	targets := e.routable(p)
	names := make([]string, 0, len(targets))
	for _, t := range targets {
		names = append(names, t.candidate.Name)
	}
	routable := p.ejector.Routable(names, now)
	var eligible []*target
	for i, t := range targets {
		if !conf.Policy.EjectOutliers || routable[t.candidate.Name] {
			eligible = append(eligible, &targets[i])
		}
	}
	return eligible
}

// pick returns the index of the target that the routing policy chooses for a
// queued stage. Excluded agents are considered only if there are no others. The
// caller holds mu.
func (e *Entry) pick(p *pool, targets []*target, w *waiter) int {
	conf, _ := e.opts.Configuration.Current()
	if p.router == nil || p.policy != conf.Policy.Router {
		p.policy = conf.Policy.Router
		p.router = route.New(p.policy, e.opts.Domain, e.opts.Random)
	}
	var index []int
	var candidates []sequoialead.Candidate
	for i, t := range targets {
		if !w.excluded[t.candidate.Name] {
			index = append(index, i)
			candidates = append(candidates, t.candidate)
		}
	}
	if len(candidates) == 0 {
		for i, t := range targets {
			index = append(index, i)
			candidates = append(candidates, t.candidate)
		}
	}
	return index[p.router.Pick(candidates, w.prefix)]
}

// capacity returns how many calls the targets can run at once for this entry:
// for each, its limit less the calls of other entries, but no less than this
// entry's quota.
func (p *pool) capacity(targets []target) int {
	sum := 0
	for _, t := range targets {
		c := t.candidate
		others := max(c.Load.Running+c.Load.Queued-p.sentSince[c.Name]-c.InFlight, 0)
		sum += max(c.Load.Limit-others, c.Load.Quota)
	}
	return sum
}
