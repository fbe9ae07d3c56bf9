package main

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"time"
)

// run is what a runner saw of one request that it began to work on.
type run struct {
	id     string
	at     time.Time
	ended  time.Time
	path   string
	tenant string
	inputs string
	// closed is set if the channel was closed while the runner was at work.
	closed bool
}

// runner is a plain application runner.
type runner struct {
	p       *played
	id      string
	service string
	zone    string
	addr    string
	slots   int
	work    time.Duration

	mu   sync.Mutex
	runs []run
	busy int
}

func (p *played) startRunner(r *runner) error {
	r.p = p
	l, err := listen()
	if err != nil {
		return err
	}
	r.addr = l.Addr().String()
	server := &httptest.Server{Listener: l, Config: &http.Server{Handler: r}}
	server.Start()
	p.register(r.id, r.service, r.addr, r.zone, r.slots)
	return nil
}

// register writes the entry of a runner in the store.
func (p *played) register(id, service, addr, zone string, slots int) {
	p.store.putJSON("keyed.servers", id, map[string]any{
		"service": service, "addr": addr, "zone": zone, "version": "v1", "slots": slots, "state": "ready", "cold_left_ms": 0, "seq": 1,
		"born": p.start.Add(-time.Minute).UnixMilli(),
	})
}

func (r *runner) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	if expect := q.Header.Get("Expect-Instance"); expect != "" && expect != r.id {
		w.Header().Set("Instance-Id", r.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if _, err := io.Copy(io.Discard, q.Body); err != nil {
		return
	}
	id := q.Header.Get("Request-Id")
	w.Header().Set("Request-Id", id)
	r.mu.Lock()
	if r.busy >= r.slots {
		w.Header().Set("Instance-Load", fmt.Sprintf("%d,0,%d", r.busy, r.slots))
		r.mu.Unlock()
		w.Header().Set("Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	r.busy++
	n := len(r.runs)
	r.runs = append(r.runs, run{id: id, at: time.Now(), path: q.URL.Path, tenant: q.Header.Get("Tenant")})
	r.mu.Unlock()
	closed := false
	select {
	case <-time.After(r.work):
	case <-q.Context().Done():
		closed = true
	}
	r.mu.Lock()
	r.busy--
	r.runs[n].ended, r.runs[n].closed = time.Now(), closed
	busy := r.busy
	r.mu.Unlock()
	if closed {
		return
	}
	w.Header().Set("Response-Stamp", r.id+"."+id)
	w.Header().Set("Instance-Load", fmt.Sprintf("%d,0,%d", busy, r.slots))
	_, _ = io.WriteString(w, r.id+" answers "+id)
}

func (r *runner) seen() []run {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]run(nil), r.runs...)
}
