package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

// stageRunner is a stand-in for a runner of a stage: one call at a time, two wait.
type stageRunner struct {
	id, service, addr  string
	callTime, itemTime time.Duration
	// turn holds the call that is worked on.
	turn          chan struct{}
	waiting, made atomic.Int64
}

// startStageRunner starts a runner of a stage.
func (s *site) startStageRunner(id, service string, callTime, itemTime time.Duration) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	check(err)
	r := &stageRunner{id: id, service: service, callTime: callTime, itemTime: itemTime, turn: make(chan struct{}, 1)}
	r.addr = s.serve(l, r)
	raw, err := json.Marshal(map[string]any{"service": service, "addr": r.addr, "zone": "a", "version": "1", "slots": 1, "state": "ready", "cold_left_ms": 0, "seq": 1, "born": time.Now().UnixMilli()})
	check(err)
	s.store.Put("keyed.servers", id, raw)
}

// ServeHTTP makes pieces or frees results.
func (r *stageRunner) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	body, err := io.ReadAll(q.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	if q.URL.Path == "/sequoialead/stage-free" {
		_, _ = io.WriteString(w, "{}")
		return
	}
	if r.waiting.Add(1) > 3 {
		r.waiting.Add(-1)
		w.Header().Set("Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer r.waiting.Add(-1)
	select {
	case r.turn <- struct{}{}:
	case <-q.Context().Done():
		return
	}
	defer func() { <-r.turn }()
	var call struct {
		Items []json.RawMessage `json:"items"`
	}
	if json.Unmarshal(body, &call) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	time.Sleep(r.callTime + time.Duration(len(call.Items))*r.itemTime)
	items := make([]string, len(call.Items))
	for i := range items {
		items[i] = fmt.Sprintf(`{"handle":"%s/%x"}`, r.addr, 0x91bd3f06000+r.made.Add(1))
	}
	w.Header().Set("Instance-Load", fmt.Sprintf("1,%d,1", r.waiting.Load()-1))
	_, _ = io.WriteString(w, `{"items":[`+strings.Join(items, ",")+`]}`)
}

// modelRunner is a stand-in for a model runner, on a machine of its own.
type modelRunner struct {
	site *site
	id   string
	ran  atomic.Int64
	// started is when the runner started, and slowFirst its time to the first token in the first
	// slowFor after a start during traffic; 0 if it is not slow then.
	started   time.Time
	slowFirst time.Duration
	server    *http.Server
}

const (
	// firstToken is the usual time to the first token, and stepTime that to the next event.
	firstToken = 100 * time.Millisecond
	stepTime   = 20 * time.Millisecond
	events     = 10
)

// startModelRunner starts a model runner. It is cold for a time, and slow if slowFirst is set.
func (s *site) startModelRunner(id string, cold, slowFirst time.Duration) *modelRunner {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	check(err)
	m := &modelRunner{site: s, id: id, started: time.Now(), slowFirst: slowFirst}
	m.server = &http.Server{Handler: m}
	go func() { _ = m.server.Serve(l) }() // ends with stop
	go func() {
		for time.Since(m.started) < 2*time.Minute {
			left := max(cold-time.Since(m.started), 0)
			raw, err := json.Marshal(map[string]any{"service": "purr-model", "addr": l.Addr().String(), "zone": "a", "version": "1", "slots": 64, "state": "ready", "cold_left_ms": left.Milliseconds(), "seq": 1, "born": m.started.UnixMilli()})
			if err != nil {
				return
			}
			s.store.Put("keyed.servers", id, raw)
			if left == 0 {
				return // only seq would change
			}
			time.Sleep(heartbeat)
		}
	}()
	return m
}

// stop ends the runner as a loss of power does.
func (m *modelRunner) stop() { _ = m.server.Close() }

// ServeHTTP runs a request.
func (m *modelRunner) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	if _, err := io.Copy(io.Discard, q.Body); err != nil {
		panic(http.ErrAbortHandler)
	}
	id := q.Header.Get("Request-Id")
	w.Header().Set("Request-Id", id)
	if q.Header.Get("Inputs") == "" {
		w.Header().Set("Not-Run", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	m.ran.Add(1)
	w.Header().Set("Response-Stamp", m.id+"."+id)
	w.Header().Set("Content-Type", "text/event-stream")
	if m.slowFirst > 0 && time.Since(m.started) < slowFor {
		time.Sleep(m.slowFirst)
	} else {
		time.Sleep(firstToken)
	}
	for n := range events {
		if _, err := fmt.Fprintf(w, "id: %d\ndata: token\n\n", n); err != nil {
			return
		}
		_ = http.NewResponseController(w).Flush() // the gateway may have left
		time.Sleep(stepTime)
	}
}
