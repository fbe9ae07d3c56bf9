package forward

import (
	"context"
	"sync"
	"time"

	"sequoialead/core/admission"
	"sequoialead/core/pool"
)

// guard ends an attempt whose backend server is lost: it has been silent for too long, or another
// process has taken its place.
type guard struct {
	f     *Forwarder
	j     *job
	place *pool.Place
	// limit is the time without a byte after which the server counts as lost; zero for none.
	limit  time.Duration
	cancel context.CancelFunc

	mu      sync.Mutex
	timer   *time.Timer
	stopped bool
	lost    bool
}

// guardAttempt returns the context for an attempt, and its guard. Without Options.Admission the
// guard does nothing.
func (f *Forwarder) guardAttempt(ctx context.Context, j *job, place *pool.Place) (context.Context, *guard) {
	ctx, cancel := context.WithCancel(ctx)
	g := &guard{f: f, j: j, place: place, cancel: cancel}
	if !f.opts.Admission {
		return ctx, g
	}
	now := f.opts.Now()
	left, untilObjective := j.deadline.Sub(now), j.request.ArrivedAt.Add(j.route.Objective).Sub(now)
	if j.headSent {
		untilObjective = 0 // the objective is for the first event
	}
	if limit, ok := admission.Silence(f.firstEventEstimate(j), left, untilObjective); ok && j.route.Repeatable() && j.attempts < j.route.MaxAttempts {
		g.limit = limit
		g.mu.Lock()
		g.timer = time.AfterFunc(limit, g.silent)
		g.mu.Unlock()
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.guards[g] = true
	return ctx, g
}

// silent is called after a time without a byte. Without a retry the request stays where it is: an
// answer may still come.
func (g *guard) silent() {
	now := g.f.opts.Now()
	g.f.mu.Lock()
	allowed := g.f.pool(g.j.pool).Retries().Allow(now, g.f.entries)
	g.f.mu.Unlock()
	if allowed {
		g.lose("silent")
	}
}

// lose ends the attempt because its server is lost.
func (g *guard) lose(cause string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.stopped || g.lost {
		return
	}
	g.lost = true
	g.j.trail.Add("server-lost", "server", g.place.Server.ID, "cause", cause, "limit", g.limit)
	g.cancel()
}

// listen begins to wait for bytes of the answer.
func (g *guard) listen() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.timer != nil && !g.lost && !g.stopped {
		g.timer.Reset(g.limit)
	}
}

// pause stops waiting for bytes of the answer.
func (g *guard) pause() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.timer != nil {
		g.timer.Stop()
	}
}

// isLost reports whether the attempt was ended because its server is lost.
func (g *guard) isLost() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.lost
}

// stop is called at the end of the attempt.
func (g *guard) stop() {
	g.pause()
	g.mu.Lock()
	g.stopped = true
	g.mu.Unlock()
	g.cancel()
	g.f.mu.Lock()
	defer g.f.mu.Unlock()
	delete(g.f.guards, g)
}

// endReplaced ends the attempts at backend servers whose place another process has taken.
func (f *Forwarder) endReplaced() {
	var replaced []*guard
	f.mu.Lock()
	for g := range f.guards {
		if f.pool(g.j.pool).Replaced(g.place) {
			replaced = append(replaced, g)
		}
	}
	f.mu.Unlock()
	for _, g := range replaced {
		g.lose("replaced")
	}
}
