package forward

import (
	"context"
	"slices"
	"time"

	"sequoialead"
	"sequoialead/core/plan"
	"sequoialead/core/pool"
)

// waiter is a request that waits for a place.
type waiter struct {
	urgency int
	pool    string
	woken   chan struct{}
}

const (
	// waitShare is the part of the aim that a request may wait for a place:
	// a refusal that comes within an eighth leaves the caller time for another.
	waitShare = 0.125
	// lateWaitShare is the same once a backend server may have run it, since no
	// truthful refusal is left.
	lateWaitShare = 1.0
	// wakePeriod looks for places that come with time alone.
	wakePeriod = 20 * time.Millisecond
)

// place waits for a place for a request.
func (f *Forwarder) place(ctx context.Context, j *job) (*pool.Place, sequoialead.Reason) {
	share := waitShare
	if j.ran || len(j.inputs) > 0 {
		share = lateWaitShare
	}
	until := f.opts.Now().Add(time.Duration(share * float64(j.route.Aim)))
	want := pool.Want{Prompt: j.passage.Prompt, Tried: j.tried}
	var w *waiter
	noted := false
	defer func() { f.leave(w) }()
	for {
		now := f.opts.Now()
		f.mu.Lock()
		p := f.pool(j.pool)
		reason := sequoialead.ReasonFull
		if w != nil || !f.waited(j) {
			var place *pool.Place
			if place, reason = p.Take(want, now); place != nil {
				f.mu.Unlock()
				return place, ""
			}
		}
		if w == nil {
			w = &waiter{urgency: j.urgency, pool: j.pool, woken: make(chan struct{}, 1)}
			f.waiters = append(f.waiters, w)
			slices.SortStableFunc(f.waiters, func(a, b *waiter) int { return a.urgency - b.urgency })
		}
		f.mu.Unlock()
		if !noted {
			f.counts.wait(j.pool, reason)
			j.steps.Add("wait", "pool", j.pool, "reason", reason, "until", until.Sub(now))
			noted = true
		}
		exhausted := reason == sequoialead.ReasonNone && len(j.tried) > 0
		if exhausted || !now.Before(until) {
			return nil, reason
		}
		if !w.wait(ctx, until.Sub(now)) {
			return nil, sequoialead.ReasonTimeout
		}
	}
}

// waited reports whether requests that are as urgent wait already.
func (f *Forwarder) waited(j *job) bool {
	return slices.ContainsFunc(f.waiters, func(w *waiter) bool { return w.pool == j.pool && w.urgency <= j.urgency })
}

func (w *waiter) wait(ctx context.Context, most time.Duration) bool {
	timer := time.NewTimer(min(most, wakePeriod))
	defer timer.Stop()
	select {
	case <-w.woken:
	case <-timer.C:
	case <-ctx.Done():
		return false
	}
	return true
}

// leave takes a waiter out, and lets the next one look.
func (f *Forwarder) leave(w *waiter) {
	if w == nil {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.waiters = slices.DeleteFunc(f.waiters, func(o *waiter) bool { return o == w })
	f.wake()
}

// wake lets the most urgent waiter look for a place.
func (f *Forwarder) wake() {
	if len(f.waiters) == 0 {
		return
	}
	select {
	case f.waiters[0].woken <- struct{}{}:
	default:
	}
}

// give returns a place.
func (f *Forwarder) give(j *job, place *pool.Place, end pool.End, load *sequoialead.Occupancy) {
	now := f.opts.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.counts.sent(j.pool, end.String(), j.sends > 1)
	f.pool(j.pool).Give(place, end, load, now)
	f.wake()
}

// repeat takes a retry from the pool's budget, unless the request has not
// been sent yet.
func (f *Forwarder) repeat(j *job) bool {
	if j.sends > 0 {
		return f.spend(j.pool)
	}
	now := f.opts.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.pool(j.pool).Retries().Request(now)
	return true
}

// spend takes one retry from a pool's budget, if there is any.
func (f *Forwarder) spend(name string) bool {
	now := f.opts.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	budget := f.pool(name).Retries()
	if !budget.Allow(now, f.entries) {
		return false
	}
	budget.Spend(now)
	return true
}

// shared gives the batcher access to pools.
type shared struct{ f *Forwarder }

// Conf returns a pool's configuration.
func (s shared) Conf(name string) *plan.Pool {
	conf := s.f.opts.Knowledge.Plan()
	if conf == nil {
		return nil
	}
	return conf.Pools[name]
}

// Own returns the number of backend servers that this entry leads.
func (s shared) Own(name string) int {
	s.f.mu.Lock()
	defer s.f.mu.Unlock()
	return s.f.pool(name).Own()
}

// Has reports whether a failure domain has backend servers of a pool.
func (s shared) Has(name, domain string) bool {
	s.f.mu.Lock()
	defer s.f.mu.Unlock()
	return s.f.pool(name).Has(domain)
}

// Take returns a place.
func (s shared) Take(name string, want pool.Want) (*pool.Place, sequoialead.Reason) {
	now := s.f.opts.Now()
	s.f.mu.Lock()
	defer s.f.mu.Unlock()
	return s.f.pool(name).Take(want, now)
}

// First notes that an answer has begun.
func (s shared) First(name string, place *pool.Place) {
	now := s.f.opts.Now()
	s.f.mu.Lock()
	defer s.f.mu.Unlock()
	s.f.pool(name).First(place, now)
}

// Give returns a place.
func (s shared) Give(name string, place *pool.Place, end pool.End, load *sequoialead.Occupancy) {
	now := s.f.opts.Now()
	s.f.mu.Lock()
	defer s.f.mu.Unlock()
	s.f.pool(name).Give(place, end, load, now)
}

// Request counts an order for a pool.
func (s shared) Request(name string) {
	now := s.f.opts.Now()
	s.f.mu.Lock()
	defer s.f.mu.Unlock()
	s.f.pool(name).Retries().Request(now)
}

// Repeat takes one retry from a pool's budget, if there is any.
func (s shared) Repeat(name string) bool { return s.f.spend(name) }
