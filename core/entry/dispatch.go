package entry

import (
	"context"
	"time"

	"sequoialead"
	"sequoialead/core/config"
	"sequoialead/core/route"
	"sequoialead/core/shares"
)

// absentPeriod is the time between two checks for whether waiting makes sense.
const absentPeriod = 250 * time.Millisecond

// waiter is a stage that waits for an agent with room.
type waiter struct {
	prefix string
	// given is sent the chosen peer, once.
	given chan sequoialead.Peer
	// avoid holds the agents that refused or failed this stage already.
	avoid map[string]bool
}

// seat is a place at an agent that a stage holds until its attempt ends.
type seat struct {
	peer   sequoialead.Peer
	name   string
	domain string
}

// acquire waits for an agent of the pool with room. It returns an empty seat
// and the reason if there is none in time.
func (e *Entry) acquire(ctx context.Context, t task, avoid map[string]bool) (seat, sequoialead.Reason) {
	w := &waiter{prefix: t.prefix, given: make(chan sequoialead.Peer, 1), avoid: avoid}
	e.mu.Lock()
	p := e.pool(t.stage.Pool)
	now := time.Now()
	cost := e.time(t.stage.Name).Quantile(earlyQuantile, now)
	ticket := p.queue.Push(t.customer.Name, e.weight(t.customer), cost, t.index > 0, w)
	e.pump(p, now)
	e.mu.Unlock()
	ticker := time.NewTicker(absentPeriod)
	defer ticker.Stop()
	for {
		select {
		case peer := <-w.given:
			return e.seated(peer), ""
		case <-ticker.C:
			if reason := e.checkAbsent(p, t.index); reason != "" {
				e.abandon(p, ticket, w)
				return seat{}, reason
			}
		case <-ctx.Done():
			e.abandon(p, ticket, w)
			return seat{}, sequoialead.ReasonDeadline
		}
	}
}

// checkAbsent returns why a stage need not wait any longer. Later stages wait
// to the end, because work was done for them.
func (e *Entry) checkAbsent(p *pool, index int) sequoialead.Reason {
	if index > 0 {
		return ""
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.absent(p, e.routable(p))
}

// abandon ends a wait, and gives back a seat that was given at the last moment.
func (e *Entry) abandon(p *pool, ticket *shares.Ticket, w *waiter) {
	e.mu.Lock()
	p.queue.Remove(ticket)
	e.mu.Unlock()
	select {
	case peer := <-w.given:
		e.release(p.name, e.seated(peer))
	default:
	}
}

func (e *Entry) seated(peer sequoialead.Peer) seat {
	hello, _ := peer.Hello()
	return seat{peer: peer, name: hello.Name, domain: hello.Domain}
}

// weight returns a customer's share, or 1 for all where fairness is off.
func (e *Entry) weight(c config.Customer) int {
	conf, _ := e.opts.Configuration.Current()
	if !conf.Policy.Fair {
		return 1
	}
	return c.Share
}

// release gives a seat back.
func (e *Entry) release(pool string, s seat) {
	e.mu.Lock()
	defer e.mu.Unlock()
	p := e.pool(pool)
	p.open[s.name]--
	if p.open[s.name] <= 0 {
		delete(p.open, s.name)
	}
	e.pump(p, time.Now())
}

// absent returns why no agent of the pool can take a call as things stand, or
// an empty reason. Agents whose connection was lost just now count as present.
func (e *Entry) absent(p *pool, options []option) sequoialead.Reason {
	if len(options) > 0 {
		return ""
	}
	conf, _ := e.opts.Configuration.Current()
	for _, peer := range e.opts.Members.Peers(p.name) {
		hello, _ := peer.Hello()
		if peer.Reconnecting() && !conf.Out[hello.Domain] && !conf.Drained[hello.Name] {
			return ""
		}
	}
	return sequoialead.ReasonNone
}

// option is an agent that may be routed to.
type option struct {
	peer      sequoialead.Peer
	candidate sequoialead.Candidate
}

// routable returns the agents that operators and the agents themselves allow
// to be used, full ones included.
func (e *Entry) routable(p *pool) []option {
	conf, _ := e.opts.Configuration.Current()
	var options []option
	for _, peer := range e.opts.Members.Peers(p.name) {
		c, ok := peer.Candidate()
		if !ok || conf.Out[c.Domain] || conf.Drained[c.Name] {
			continue
		}
		options = append(options, option{peer: peer, candidate: e.account(p, c)})
	}
	return options
}

// account adds to a reading what was sent since it was taken.
func (e *Entry) account(p *pool, c sequoialead.Candidate) sequoialead.Candidate {
	if !c.At.Equal(p.read[c.Name]) {
		p.read[c.Name] = c.At
		p.since[c.Name] = 0
	}
	c.Open = p.open[c.Name]
	c.Load.Waiting += p.since[c.Name]
	return c
}

// pump gives waiting stages to agents while there is room. The caller holds mu.
func (e *Entry) pump(p *pool, now time.Time) {
	if p.queue.Len() == 0 {
		return
	}
	options := e.kept(p, now)
	for p.queue.Len() > 0 {
		open := roomy(options)
		if len(open) == 0 {
			return
		}
		w := p.queue.Pop().Value.(*waiter)
		chosen := open[e.choose(p, open, w)]
		e.take(p, chosen)
		w.given <- chosen.peer
	}
}

// take counts a call that is about to be sent to an option.
func (e *Entry) take(p *pool, o *option) {
	c := &o.candidate
	p.open[c.Name]++
	p.since[c.Name]++
	p.ejector.Probe(c.Name)
	c.Open++
	c.Load.Waiting++
}

// roomy returns the options with room or, if there are none, those where this
// entry holds less than its part.
func roomy(options []*option) []*option {
	var room, within []*option
	for _, o := range options {
		switch {
		case o.candidate.Room():
			room = append(room, o)
		case o.candidate.Within():
			within = append(within, o)
		}
	}
	if len(room) > 0 {
		return room
	}
	return within
}

// kept returns the routable agents less the ejected ones.
func (e *Entry) kept(p *pool, now time.Time) []*option {
	conf, _ := e.opts.Configuration.Current()
	options := e.routable(p)
	names := make([]string, 0, len(options))
	for _, o := range options {
		names = append(names, o.candidate.Name)
	}
	keep := p.ejector.Keep(names, now)
	var kept []*option
	for i, o := range options {
		if !conf.Policy.Eject || keep[o.candidate.Name] {
			kept = append(kept, &options[i])
		}
	}
	return kept
}

// choose returns the index of the option for a waiting stage.
func (e *Entry) choose(p *pool, options []*option, w *waiter) int {
	conf, _ := e.opts.Configuration.Current()
	if p.router == nil || p.policy != conf.Policy.Router {
		p.policy = conf.Policy.Router
		p.router = route.New(p.policy, e.opts.Domain, e.opts.Random)
	}
	var index []int
	var candidates []sequoialead.Candidate
	for i, o := range options {
		if !w.avoid[o.candidate.Name] {
			index = append(index, i)
			candidates = append(candidates, o.candidate)
		}
	}
	if len(candidates) == 0 {
		for i, o := range options {
			index = append(index, i)
			candidates = append(candidates, o.candidate)
		}
	}
	return index[p.router.Pick(candidates, w.prefix)]
}

// slots returns how many calls a pool's agents can run at once for this entry:
// their limits less what other entries use of them, and its parts at least.
func (p *pool) slots(options []option) int {
	sum := 0
	for _, o := range options {
		c := o.candidate
		others := max(c.Load.Running+c.Load.Waiting-p.since[c.Name]-c.Open, 0)
		sum += max(c.Load.Limit-others, c.Load.Part)
	}
	return sum
}
