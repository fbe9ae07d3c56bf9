package forward

import (
	"context"
	"maps"
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
	// exclude holds the servers that the request was sent to, this one included.
	exclude map[string]bool

	mu    sync.Mutex
	timer *time.Timer
	// listening is set while bytes of the answer are waited for.
	listening bool
	stopped   bool
	lost      bool
}

// guardAttempt returns the context for an attempt, and its guard. Without Options.Admission the
// guard does nothing.
func (f *Forwarder) guardAttempt(ctx context.Context, j *job, place *pool.Place) (context.Context, *guard) {
	ctx, cancel := context.WithCancel(ctx)
	g := &guard{f: f, j: j, place: place, cancel: cancel, exclude: maps.Clone(j.tried)}
	g.exclude[place.Server.ID] = true
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
		g.listening = true
		g.timer = time.AfterFunc(limit, g.silent)
		g.mu.Unlock()
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.guards[g] = true
	return ctx, g
}

// silent is called after a time without a byte. Without a retry, or without a place elsewhere, the
// request stays where it is: an answer may still come.
func (g *guard) silent() {
	f, now := g.f, g.f.opts.Now()
	f.mu.Lock()
	p := f.pool(g.j.pool)
	elsewhere := p.Retries().Allow(now, f.entries) && p.HasPlace(pool.Request{Prompt: g.j.request.Prompt, Exclude: g.exclude}, now)
	f.mu.Unlock()
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case !g.listening:
	case elsewhere:
		g.lose("silent")
	default:
		g.timer.Reset(g.limit)
	}
}

// lose ends the attempt because its server is lost. g.mu must be held.
func (g *guard) lose(cause string) {
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
		g.listening = true
		g.timer.Reset(g.limit)
	}
}

// pause stops waiting for bytes of the answer.
func (g *guard) pause() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.listening = false
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
		g.mu.Lock()
		g.lose("replaced")
		g.mu.Unlock()
	}
}
