package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Run is one request that a runner began to work on.
type Run struct {
	ID     string
	Runner string
	Tenant string
	At     time.Time
}

// Runner is a stand-in for a runner of a plain service. It lists itself in the store.
type Runner struct {
	id, service, zone, addr string
	born                    int64
	work                    time.Duration
	slots                   int
	server                  *http.Server

	mu    sync.Mutex
	state string
	seq   int
	runs  []Run
	stop  chan struct{}
}

func startRunner(id, service, zone string, work time.Duration) (*Runner, error) {
	listener, err := net.Listen("tcp", loopback()+":0")
	if err != nil {
		return nil, err
	}
	r := &Runner{id: id, service: service, zone: zone, addr: listener.Addr().String(), born: time.Now().UnixMilli(), work: work, state: "ready", slots: 6, stop: make(chan struct{})}
	r.server = &http.Server{Handler: r}
	go func() { _ = r.server.Serve(listener) }()
	return r, nil
}

func (r *Runner) close() { _ = r.server.Close() }

func (r *Runner) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	if _, err := io.ReadAll(q.Body); err != nil {
		panic(http.ErrAbortHandler)
	}
	if expect := q.Header.Get("Expect-Instance"); expect != "" && expect != r.id {
		w.Header().Set("Instance-Id", r.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	id := q.Header.Get("Request-Id")
	r.mu.Lock()
	r.runs = append(r.runs, Run{ID: id, Runner: r.id, Tenant: q.Header.Get("Tenant"), At: time.Now()})
	r.mu.Unlock()
	time.Sleep(r.work)
	body := r.id + " answers " + id
	w.Header().Set("Request-Id", id)
	w.Header().Set("Response-Stamp", fmt.Sprintf("stamp.%s.%s", r.id, id))
	w.Header().Set("Instance-Load", "1,0,6")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = io.WriteString(w, body)
}

// entry returns the runner's record.
func (r *Runner) entry() []byte {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.seq++
	raw, _ := json.Marshal(map[string]any{
		"service": r.service, "addr": r.addr, "zone": r.zone, "version": "v1", "slots": r.slots, "state": r.state, "cold_left_ms": 0, "seq": r.seq, "born": r.born,
	})
	return raw
}

func (r *Runner) setState(state string) {
	r.mu.Lock()
	r.state = state
	r.mu.Unlock()
}

// list writes the runner's record, again until the store takes it, and returns the moment of
// the acknowledgement.
func (r *Runner) list(s *Store) time.Time {
	for {
		if _, acked, ok := s.put("keyed.servers", r.id, r.entry()); ok {
			return acked
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// heartbeat lists the runner each interval, from after on.
func (r *Runner) heartbeat(s *Store, after, interval time.Duration) {
	timer := time.NewTimer(after)
	for {
		select {
		case <-timer.C:
			r.list(s)
			timer.Reset(interval)
		case <-r.stop:
			return
		}
	}
}

func (r *Runner) ran() []Run {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Run(nil), r.runs...)
}
