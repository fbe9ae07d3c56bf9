// Package engine is a stand-in for backend servers: a model engine with
// continuous batching, a prefix cache and a cold phase, and the encoders,
// retrievers, rerankers and plain services beside it. Its exported types are
// the server, its settings, its faults and its records.
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

// Options describes a backend server.
type Options struct {
	// Full is the number of calls that it runs at once when warm without
	// slowing down.
	Full int
	// Cold is the number of calls that it bears just after its start.
	Cold int
	// Work is how long a call takes, or a generation's first token.
	Work time.Duration
	// Token is the time between tokens of a single stream.
	Token time.Duration
	// Fence makes it refuse orders that name an earlier life.
	Fence bool
	// Blocks is the number of prompt blocks that the prefix cache holds.
	Blocks int
	// Record keeps count of the runs of each piece of work.
	Record bool
}

// Fault is what is wrong with the server at the moment.
type Fault struct {
	// Cold turns the server cold at once, as a restart would.
	Cold bool `json:"cold"`
	// Slow multiplies all times, if above 1.
	Slow float64 `json:"slow"`
	// Fail answers every call with an error.
	Fail bool `json:"fail"`
	// Cut ends every stream after that many tokens, if above 0.
	Cut int `json:"cut"`
}

// Stats is what the server recorded.
type Stats struct {
	Boots int `json:"boots"`
	// Over counts the calls beyond what the server could bear while cold.
	Over int `json:"over"`
	// Peak is the most calls that ran at once while the server bore only Cold.
	Peak     int `json:"peak"`
	Calls    int `json:"calls"`
	Done     int `json:"done"`
	Tokens   int `json:"tokens"`
	Hits     int `json:"hits"`
	Lookups  int `json:"lookups"`
	Canceled int `json:"canceled"`
	// Runs counts the runs by operation and work.
	Runs map[string]int `json:"runs"`
}

const (
	blockBytes  = 64
	fallOver    = 500 * time.Millisecond
	defaultSlow = 1.0
)

// Engine is the stand-in. It serves HTTP.
type Engine struct {
	opts  Options
	mux   *goji.Mux
	cache *lru.Cache[uint64, struct{}]

	mu      sync.Mutex
	boot    string
	running int
	// bears is the number of calls that the server bears; it grows from Cold
	// to Full as calls succeed.
	bears int
	round int
	fault Fault
	stats Stats
	// fallen is closed when the server falls over, and replaced.
	fallen chan struct{}
	// downUntil is when a server that fell over takes calls again.
	downUntil time.Time
}

// New returns a server that has just started.
func New(opts Options) (*Engine, error) {
	cache, err := lru.New[uint64, struct{}](max(opts.Blocks, 1))
	if err != nil {
		return nil, err
	}
	e := &Engine{opts: opts, mux: goji.NewMux(), cache: cache, fallen: make(chan struct{})}
	e.stats.Runs = map[string]int{}
	e.start()
	e.mux.HandleFunc(pat.Get(ioengine.HealthPath), e.health)
	e.mux.HandleFunc(pat.Get("/stats"), e.serveStats)
	e.mux.HandleFunc(pat.Post("/fault"), e.setFault)
	e.mux.HandleFunc(pat.Post("/v1/embeddings"), e.embed)
	e.mux.HandleFunc(pat.Post("/v1/search"), e.search)
	e.mux.HandleFunc(pat.Post("/v1/rerank"), e.rerank)
	e.mux.HandleFunc(pat.Post("/v1/completions"), e.complete)
	e.mux.HandleFunc(pat.Post("/*"), e.invoke)
	return e, nil
}

var _ http.Handler = (*Engine)(nil)

// ServeHTTP serves calls and those that set faults.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) { e.mux.ServeHTTP(w, r) }

// start begins a new life. The caller holds mu, or is New.
func (e *Engine) start() {
	e.boot = uuid.NewString()
	e.bears = e.opts.Cold
	e.round = 0
	e.stats.Boots++
	e.cache.Purge()
}

// Fail sets what is wrong.
func (e *Engine) Fail(f Fault) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.fault = f
	if f.Cold {
		e.fall(0)
	}
}

// fall drops all running calls and begins a new life after a while. The
// caller holds mu.
func (e *Engine) fall(down time.Duration) {
	close(e.fallen)
	e.fallen = make(chan struct{})
	e.running = 0
	e.downUntil = time.Now().Add(down)
	e.start()
}

// Stats returns what the server recorded.
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
	answer(w, ioengine.Health{Boot: boot, Model: "stand-in"})
}

func (e *Engine) serveStats(w http.ResponseWriter, _ *http.Request) { answer(w, e.Stats()) }

func (e *Engine) setFault(w http.ResponseWriter, r *http.Request) {
	var f Fault
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.Fail(f)
}

func answer(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value) // client gone
}

// visit is one call inside the server.
type visit struct {
	boot   string
	fallen <-chan struct{}
}

// enter admits a call. It answers and reports false if the call is refused.
func (e *Engine) enter(w http.ResponseWriter, r *http.Request) (visit, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	fence := r.Header.Get(ioengine.HeaderFence)
	if e.opts.Fence && fence != "" && fence != e.boot {
		http.Error(w, "order for an earlier life", http.StatusPreconditionFailed)
		return visit{}, false
	}
	if time.Now().Before(e.downUntil) {
		http.Error(w, "starting", http.StatusServiceUnavailable)
		return visit{}, false
	}
	if e.fault.Fail {
		http.Error(w, "broken", http.StatusInternalServerError)
		return visit{}, false
	}
	e.stats.Calls++
	if e.bears < e.opts.Full && e.running >= e.bears {
		e.stats.Over++
		e.fall(fallOver)
		http.Error(w, "fell over", http.StatusInternalServerError)
		return visit{}, false
	}
	e.running++
	if e.bears == e.opts.Cold && e.bears < e.opts.Full {
		e.stats.Peak = max(e.stats.Peak, e.running)
	}
	return visit{boot: e.boot, fallen: e.fallen}, true
}

// ran records that a piece of work was begun.
func (e *Engine) ran(op sequoialead.Op, work string) {
	if !e.opts.Record {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stats.Runs[string(op)+":"+work]++
}

// leave ends a call.
func (e *Engine) leave(v visit, done bool) {
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
	e.round++
	if e.round >= e.bears {
		e.bears = min(2*e.bears, e.opts.Full)
		e.round = 0
	}
}

// pass lets time go by. It reports false if the caller went away or the
// server fell over.
func (e *Engine) pass(r *http.Request, v visit, d time.Duration) bool {
	e.mu.Lock()
	slow := max(e.fault.Slow, defaultSlow)
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
	case <-v.fallen:
	}
	return false
}
