package forward

import (
	"context"
	"time"

	"sequoialead"
	"sequoialead/core/pool"
	"sequoialead/core/proxyconfig"
	"sequoialead/core/waitqueue"
)

// waiter wakes a request that waits for a place in a pool.
type waiter chan struct{}

const (
	// maxWaitShare is the part of the route's objective that a request may wait for
	// a place. After a refusal within an eighth of the objective, the caller still
	// has time for another attempt.
	maxWaitShare = 0.125
	// maxWaitShareCommitted replaces maxWaitShare once the stages have run, or once a
	// backend server may have run the request. In the latter case the request can no
	// longer be refused as not run.
	maxWaitShareCommitted = 1.0
	// placePollInterval is how often waiters check for a place without being woken.
	// Some places become available by the passing of time alone, such as those
	// limited by a rate.
	placePollInterval = 20 * time.Millisecond
)

// acquirePlace acquires a place for a request: the permission to send it to one
// backend server. It waits for a place if necessary.
func (f *Forwarder) acquirePlace(ctx context.Context, j *job) (*pool.Place, sequoialead.Reason) {
	share := maxWaitShare
	if j.mayHaveRun || len(j.inputs) > 0 {
		share = maxWaitShareCommitted
	}
	until := f.opts.Now().Add(time.Duration(share * float64(j.route.Objective)))
	if f.opts.Admission {
		until = earlier(until, f.lastSendAt(j))
	}
	request := pool.Request{Prompt: j.request.Prompt, Exclude: j.tried, Route: j.route.Name}
	var w *waitqueue.Ticket[waiter]
	recorded := false
	defer func() { f.removeWaiter(w) }()
	for {
		now := f.opts.Now()
		f.mu.Lock()
		p := f.pool(j.pool)
		request.Left = j.objectiveLeft(now)
		reason := sequoialead.ReasonFull
		if w == nil && !f.waiting.MustWait(j.pool, j.urgency, j.returning) || w != nil && (f.waiting.First(j.pool) == w || len(j.tried) > 0) {
			var place *pool.Place
			if place, reason = p.Acquire(request, now); place != nil {
				f.waiting.Granted(j.pool, j.urgency, j.returning)
				f.mu.Unlock()
				return place, ""
			}
		}
		if w == nil {
			w = f.waiting.Push(j.pool, j.urgency, j.returning, make(waiter, 1))
		}
		f.mu.Unlock()
		if !recorded {
			f.metrics.placeWait(j.pool, reason)
			j.trail.Add("wait", "pool", j.pool, "reason", reason, "until", until.Sub(now))
			recorded = true
		}
		if reason == sequoialead.ReasonHeld && j.heldPast(f.readyAt(j, request), until) {
			return nil, reason
		}
		exhausted := reason == sequoialead.ReasonNone && len(j.tried) > 0
		if exhausted || !now.Before(until) {
			return nil, reason
		}
		if !w.Value.wait(ctx, until.Sub(now)) {
			return nil, sequoialead.ReasonTimeout
		}
	}
}

// readyAt returns when the first backend server that wants nothing now may be sent to.
func (f *Forwarder) readyAt(j *job, request pool.Request) time.Time {
	now := f.opts.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.pool(j.pool).ReadyAt(request, now)
}

// heldPast reports whether no backend server is ready by the time until which the request
// may wait, and keeps when the first one is for the caller.
func (j *job) heldPast(ready, until time.Time) bool {
	if ready.IsZero() || ready.Before(until) {
		return false
	}
	j.readyAt = ready
	return true
}

func (w waiter) wait(ctx context.Context, timeout time.Duration) bool {
	timer := time.NewTimer(min(timeout, placePollInterval))
	defer timer.Stop()
	select {
	case <-w:
	case <-timer.C:
	case <-ctx.Done():
		return false
	}
	return true
}

// removeWaiter removes a waiter and wakes the next one of its pool.
func (f *Forwarder) removeWaiter(w *waitqueue.Ticket[waiter]) {
	if w == nil {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.waiting.Remove(w)
	f.wakeFirst(w.Pool())
}

// wakeFirst wakes the first waiter of a pool to check for a place. f.mu must be held.
func (f *Forwarder) wakeFirst(pool string) {
	if first := f.waiting.First(pool); first != nil {
		first.Value.wake()
	}
}

func (w waiter) wake() {
	select {
	case w <- struct{}{}:
	default:
	}
}

// recordNotice records what a backend server said of itself in the answer to a request.
func (f *Forwarder) recordNotice(j *job, place *pool.Place, notice sequoialead.ServerNotice) {
	if notice == (sequoialead.ServerNotice{}) {
		return
	}
	now := f.opts.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	changed := f.pool(j.pool).RecordNotice(place, notice, now)
	f.logNotice(place.Server.ID, j.request.ID, notice, changed)
}

// logNotice logs what a backend server said of itself if this entry did not know, and what
// it could not understand.
func (f *Forwarder) logNotice(server, request string, notice sequoialead.ServerNotice, changed bool) {
	if changed {
		f.opts.Log.Info("server-notice", "server", server, "leaving", notice.Leaving, "hold", notice.HoldOff, "id", request)
	}
	if notice.Invalid != "" {
		f.opts.Log.V(1).Info("server-notice-invalid", "server", server, "header", notice.Invalid, "id", request)
	}
}

// releasePlace releases a place and records how the attempt ended.
func (f *Forwarder) releasePlace(j *job, place *pool.Place, end pool.End, load *sequoialead.ServerLoad) {
	now := f.opts.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.metrics.attemptEnded(j.pool, end.String(), j.attempts > 1)
	f.pool(j.pool).Release(place, end, load, now)
	f.wakeFirst(j.pool)
}

// allowAttempt reports whether an attempt at a request may be made. The first attempt is always
// allowed and adds to the pool's retry budget; each further one takes a retry
// from it.
func (f *Forwarder) allowAttempt(j *job) bool {
	if j.attempts > 0 {
		return f.takeRetry(j.pool)
	}
	now := f.opts.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.pool(j.pool).Retries().RecordRequest(now)
	return true
}

// takeRetry takes one retry from a pool's budget. It reports false if the budget
// is used up.
func (f *Forwarder) takeRetry(name string) bool {
	now := f.opts.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	budget := f.pool(name).Retries()
	if !budget.Allow(now, f.entries) {
		return false
	}
	budget.RecordRetry(now)
	return true
}

// poolAccess implements batch.Pools under the forwarder's lock.
type poolAccess struct{ f *Forwarder }

// Conf returns a pool's configuration; nil if it is not known.
func (s poolAccess) Conf(name string) *proxyconfig.Pool {
	conf := s.f.opts.Knowledge.Config()
	if conf == nil {
		return nil
	}
	return conf.Pools[name]
}

// LedServers returns the number of backend servers of a pool that this entry leads.
func (s poolAccess) LedServers(name string) int {
	s.f.mu.Lock()
	defer s.f.mu.Unlock()
	return s.f.pool(name).LedServers()
}

// HasDomain reports whether a failure domain has backend servers of a pool. If
// this entry leads any servers of the pool, only those count.
func (s poolAccess) HasDomain(name, domain string) bool {
	s.f.mu.Lock()
	defer s.f.mu.Unlock()
	return s.f.pool(name).HasDomain(domain)
}

// Acquire acquires a place in a pool, or returns the reason why there is none.
func (s poolAccess) Acquire(name string, request pool.Request) (*pool.Place, sequoialead.Reason) {
	now := s.f.opts.Now()
	s.f.mu.Lock()
	defer s.f.mu.Unlock()
	return s.f.pool(name).Acquire(request, now)
}

// RecordFirstByte records that the answer has started to arrive.
func (s poolAccess) RecordFirstByte(name string, place *pool.Place) {
	now := s.f.opts.Now()
	s.f.mu.Lock()
	defer s.f.mu.Unlock()
	s.f.pool(name).RecordFirstByte(place, now)
}

// Release releases a place and records how the attempt ended.
func (s poolAccess) Release(name string, place *pool.Place, end pool.End, load *sequoialead.ServerLoad) {
	now := s.f.opts.Now()
	s.f.mu.Lock()
	defer s.f.mu.Unlock()
	s.f.pool(name).Release(place, end, load, now)
}

// RecordNotice records what a backend server said of itself.
func (s poolAccess) RecordNotice(server, request string, notice sequoialead.ServerNotice) {
	if notice == (sequoialead.ServerNotice{}) {
		return
	}
	now := s.f.opts.Now()
	s.f.mu.Lock()
	defer s.f.mu.Unlock()
	changed := false
	for _, p := range s.f.pools {
		if state := p.Find(server); state != nil {
			changed = state.RecordNotice(notice, p.MaxHold(), now) || changed
		}
	}
	s.f.logNotice(server, request, notice, changed)
}

// FreeDelay returns how long a call that frees results at a backend server has to wait. It
// reports false if no such call may be sent any more.
func (s poolAccess) FreeDelay(server string) (time.Duration, bool) {
	now := s.f.opts.Now()
	s.f.mu.Lock()
	defer s.f.mu.Unlock()
	for _, p := range s.f.pools {
		if state := p.Find(server); state != nil {
			return max(state.HeldUntil().Sub(now), 0), !state.Leaving()
		}
	}
	return 0, true
}

// CountOrder counts an order for a pool, which adds to its retry budget.
func (s poolAccess) CountOrder(name string) {
	now := s.f.opts.Now()
	s.f.mu.Lock()
	defer s.f.mu.Unlock()
	s.f.pool(name).Retries().RecordRequest(now)
}

// TakeRetry takes one retry from a pool's budget. It reports false if the budget is
// used up.
func (s poolAccess) TakeRetry(name string) bool { return s.f.takeRetry(name) }

// objectiveLeft returns the time within which the first event of the answer is on time; zero
// if the route has no objective. It is at least a millisecond.
func (j *job) objectiveLeft(now time.Time) time.Duration {
	if j.route.Objective <= 0 {
		return 0
	}
	return max(j.route.Objective-now.Sub(j.request.ArrivedAt), time.Millisecond)
}
