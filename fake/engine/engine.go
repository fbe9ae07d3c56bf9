// Package engine is a fake of backend servers: a model engine with continuous batching,
// a prefix cache and a cold phase after its start, as well as encoders, retrievers,
// rerankers and plain services.
package engine

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/google/uuid"
	lru "github.com/hashicorp/golang-lru/v2"
	"goji.io"
	"goji.io/pat"

	"sequoialead"
	ioengine "sequoialead/io/engine"
)

// Options configures an engine.
type Options struct {
	// WarmLimit is the capacity, in concurrent calls, at which the engine is warm.
	// An engine whose capacity is still below it crashes when a call exceeds the
	// capacity. A warm engine accepts any number of calls.
	WarmLimit int
	// ColdLimit is the number of concurrent calls that an engine can run just
	// after its start.
	ColdLimit int
	// ServiceTime is the duration of a call, or the time to a generation's first
	// token if the prefix cache holds no part of the prompt.
	ServiceTime time.Duration
	// TokenInterval is the time between the tokens of a stream on an idle engine.
	TokenInterval time.Duration
	// Fence makes the engine refuse calls that name an earlier boot ID.
	Fence bool
	// CacheBlocks is the number of prompt blocks that the prefix cache holds.
	CacheBlocks int
	// Record enables Stats.Runs.
	Record bool
}

// Fault is the set of faults currently injected.
type Fault struct {
	// Cold restarts the engine immediately, which makes it cold.
	Cold bool `json:"cold"`
	// Slow is a factor on all durations; values below 1 have no effect.
	Slow float64 `json:"slow"`
	// Fail answers every call with an error.
	Fail bool `json:"fail"`
	// Cut breaks off every stream after that many tokens, if above 0.
	Cut int `json:"cut"`
}

// Stats holds the counters of an engine.
type Stats struct {
	Boots int `json:"boots"`
	// Overloads counts the calls that exceeded the capacity of an engine that
	// was not yet warm. Each of them made it crash.
	Overloads int `json:"over"`
	// PeakCold is the maximum number of concurrent calls while the capacity was
	// ColdLimit.
	PeakCold int `json:"peak"`
	Calls    int `json:"calls"`
	Done     int `json:"done"`
	Tokens   int `json:"tokens"`
	Hits     int `json:"hits"`
	Lookups  int `json:"lookups"`
	Canceled int `json:"canceled"`
	// Runs counts how often each unit of work was started, by "operation:work".
	Runs map[string]int `json:"runs"`
}

const (
	blockBytes    = 64
	crashDowntime = 500 * time.Millisecond
	minSlowFactor = 1.0
)

// Engine is the fake engine, served over HTTP.
type Engine struct {
	opts  Options
	mux   *goji.Mux
	cache *lru.Cache[uint64, struct{}]

	mu      sync.Mutex
	boot    string
	running int
	// capacity is the number of concurrent calls that the engine can run. It grows
	// from ColdLimit to WarmLimit as calls succeed.
	capacity int
	// succeeded counts the successful calls since the capacity last changed.
	succeeded int
	fault     Fault
	stats     Stats
	// crashed is closed and replaced when the engine crashes.
	crashed chan struct{}
	// downUntil is when the engine accepts calls again after a crash.
	downUntil time.Time
}

// New returns an engine that has just started, and is therefore cold.
func New(opts Options) (*Engine, error) {
	cache, err := lru.New[uint64, struct{}](max(opts.CacheBlocks, 1))
	if err != nil {
		return nil, err
	}
	e := &Engine{opts: opts, mux: goji.NewMux(), cache: cache, crashed: make(chan struct{})}
	e.stats.Runs = map[string]int{}
	e.newBoot()
	e.mux.HandleFunc(pat.Get(ioengine.HealthPath), e.health)
	e.mux.HandleFunc(pat.Get("/stats"), e.serveStats)
	e.mux.HandleFunc(pat.Post("/fault"), e.serveFault)
	e.mux.HandleFunc(pat.Post("/v1/embeddings"), e.embed)
	e.mux.HandleFunc(pat.Post("/v1/search"), e.search)
	e.mux.HandleFunc(pat.Post("/v1/rerank"), e.rerank)
	e.mux.HandleFunc(pat.Post("/v1/completions"), e.complete)
	e.mux.HandleFunc(pat.Post("/*"), e.invoke)
	return e, nil
}

var _ http.Handler = (*Engine)(nil)

// ServeHTTP serves calls, and requests that read statistics or set faults.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) { e.mux.ServeHTTP(w, r) }

// newBoot sets the state of an engine that has just started. e.mu must be held, except
// in New.
func (e *Engine) newBoot() {
	e.boot = uuid.NewString()
	e.capacity = e.opts.ColdLimit
	e.succeeded = 0
	e.stats.Boots++
	e.cache.Purge()
}

// SetFault replaces the injected faults.
func (e *Engine) SetFault(f Fault) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.fault = f
	if f.Cold {
		e.crash(0)
	}
}

// crash aborts all running calls and restarts the engine, which refuses calls for the
// given time. e.mu must be held.
func (e *Engine) crash(down time.Duration) {
	close(e.crashed)
	e.crashed = make(chan struct{})
	e.running = 0
	e.downUntil = time.Now().Add(down)
	e.newBoot()
}

// Stats returns a copy of the engine's counters.
func (e *Engine) Stats() Stats {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.stats
	s.Runs = make(map[string]int, len(e.stats.Runs))
	for id, n := range e.stats.Runs {
		s.Runs[id] = n
	}
	return s
}

func (e *Engine) health(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	boot, down := e.boot, time.Now().Before(e.downUntil)
	e.mu.Unlock()
	if down {
		http.Error(w, "starting", http.StatusServiceUnavailable)
		return
	}
	writeJSON(w, ioengine.Health{Boot: boot, Model: "stand-in"})
}

func (e *Engine) serveStats(w http.ResponseWriter, _ *http.Request) { writeJSON(w, e.Stats()) }

func (e *Engine) serveFault(w http.ResponseWriter, r *http.Request) {
	var f Fault
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.SetFault(f)
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value) // the client may have disconnected
}

// call identifies a running call and the boot of the engine that it runs in.
type call struct {
	boot    string
	crashed <-chan struct{}
}

// admit starts a call. If it refuses the call, it sends the answer and reports false.
func (e *Engine) admit(w http.ResponseWriter, r *http.Request) (call, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	fence := r.Header.Get(ioengine.HeaderFence)
	if e.opts.Fence && fence != "" && fence != e.boot {
		http.Error(w, "order names an earlier boot of the engine", http.StatusPreconditionFailed)
		return call{}, false
	}
	if time.Now().Before(e.downUntil) {
		http.Error(w, "starting", http.StatusServiceUnavailable)
		return call{}, false
	}
	if e.fault.Fail {
		http.Error(w, "broken", http.StatusInternalServerError)
		return call{}, false
	}
	e.stats.Calls++
	if e.capacity < e.opts.WarmLimit && e.running >= e.capacity {
		e.stats.Overloads++
		e.crash(crashDowntime)
		http.Error(w, "engine crashed: too many calls while cold", http.StatusInternalServerError)
		return call{}, false
	}
	e.running++
	if e.capacity == e.opts.ColdLimit && e.capacity < e.opts.WarmLimit {
		e.stats.PeakCold = max(e.stats.PeakCold, e.running)
	}
	return call{boot: e.boot, crashed: e.crashed}, true
}

// recordRun counts the start of a unit of work.
func (e *Engine) recordRun(op sequoialead.Op, work string) {
	if !e.opts.Record {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stats.Runs[string(op)+":"+work]++
}

// finish ends a call. After a crash it does nothing.
func (e *Engine) finish(v call, done bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if v.boot != e.boot {
		return
	}
	e.running--
	if !done {
		e.stats.Canceled++
		return
	}
	e.stats.Done++
	e.succeeded++
	if e.succeeded >= e.capacity {
		e.capacity = min(2*e.capacity, e.opts.WarmLimit)
		e.succeeded = 0
	}
}

// wait simulates work of the given duration. It reports false if the caller
// disconnected or the engine crashed.
func (e *Engine) wait(r *http.Request, v call, d time.Duration) bool {
	e.mu.Lock()
	slow := max(e.fault.Slow, minSlowFactor)
	e.mu.Unlock()
	if d <= 0 {
		return r.Context().Err() == nil
	}
	timer := time.NewTimer(time.Duration(float64(d) * slow))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-r.Context().Done():
	case <-v.crashed:
	}
	return false
}
