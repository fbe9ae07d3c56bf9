package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"sync"
	"syscall"
	"time"
)

func init() { cases["stop"] = playStop }

const (
	graceLimit = 8 * time.Second
	// lateSend is the time after a SIGTERM up to which a request may be sent that a runner is
	// still working on near the end of the grace period.
	lateSend = 3 * time.Second
	stopGap  = 1300 * time.Millisecond
)

// balancer is the platform's entry for one zone.
type balancer struct {
	p      *played
	mu     sync.Mutex
	misses map[string]int
	// next counts the channels, which are spread by a hash of the requester.
	next int
}

// probe asks each gateway once per second whether it is ready.
func (b *balancer) probe(stop <-chan struct{}) {
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-stop:
			return
		}
		for _, g := range b.p.gates {
			go func() {
				ready := g.ready()
				b.mu.Lock()
				defer b.mu.Unlock()
				if ready {
					b.misses[g.name] = 0
				} else if b.misses[g.name]++; b.misses[g.name] == 2 {
					b.p.note("%s is out of rotation", g.name)
				}
			}()
		}
	}
}

// pick returns the gateway for a new channel: one in rotation, or any of the zone's if fewer
// than half are in rotation.
func (b *balancer) pick() *gate {
	b.mu.Lock()
	defer b.mu.Unlock()
	var in []*gate
	for _, g := range b.p.gates {
		if b.misses[g.name] < 2 {
			in = append(in, g)
		}
	}
	if 2*len(in) < len(b.p.gates) && len(in) > 0 {
		in = b.p.gates
	}
	if len(in) == 0 {
		return nil
	}
	b.next++
	return in[(b.next*7919+rand.IntN(2))%len(in)]
}

// queued is a runner that works on some requests and queues a few more.
type queued struct {
	id    string
	slots chan struct{}
	work  time.Duration
	queue int

	mu       sync.Mutex
	arrived  map[string]time.Time
	answered map[string]time.Time
	dropped  map[string]time.Time
}

func (r *queued) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	if expect := q.Header.Get("Expect-Instance"); expect != "" && expect != r.id {
		w.Header().Set("Instance-Id", r.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	_, _ = io.Copy(io.Discard, q.Body)
	id := q.Header.Get("Request-Id")
	w.Header().Set("Request-Id", id)
	r.mu.Lock()
	r.arrived[id] = time.Now()
	pending := len(r.arrived) - len(r.answered) - len(r.dropped)
	full := pending > cap(r.slots)+r.queue
	if full {
		r.dropped[id] = time.Now()
	}
	r.mu.Unlock()
	if full {
		w.Header().Set("Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	select {
	case r.slots <- struct{}{}:
	case <-q.Context().Done():
		r.end(r.dropped, id)
		return
	}
	defer func() { <-r.slots }()
	select {
	case <-time.After(r.work):
	case <-q.Context().Done():
		r.end(r.dropped, id)
		return
	}
	r.end(r.answered, id)
	w.Header().Set("Response-Stamp", r.id+"."+id)
	_, _ = io.WriteString(w, r.id+" answers "+id)
}

func (r *queued) end(list map[string]time.Time, id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	list[id] = time.Now()
}

const notesRunner = "i-llm-1"

// serveNotes is a model runner whose streams last six seconds.
func serveNotes(w http.ResponseWriter, q *http.Request) {
	if expect := q.Header.Get("Expect-Instance"); expect != "" && expect != notesRunner {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	_, _ = io.Copy(io.Discard, q.Body)
	w.Header().Set("Request-Id", q.Header.Get("Request-Id"))
	w.Header().Set("Response-Stamp", "s."+q.Header.Get("Request-Id"))
	w.Header().Set("Content-Type", "text/event-stream")
	control := http.NewResponseController(w)
	for n := 1; n <= 60; n++ {
		if _, err := fmt.Fprintf(w, "id: %d\ndata: x\n\n", n); err != nil || control.Flush() != nil {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// playStop stops two of the three gateways of a zone in turn while requesters go on.
func playStop(p *played) error {
	const deadline = 1500 * time.Millisecond
	p.store.putJSON("keyed.op", "config", map[string]any{
		"version": 1,
		"routes": []any{map[string]any{
			"name": "r-hold", "host": "desk.example", "path_prefix": "/hold/", "kind": "unsafe", "timeout_ms": 1500, "slo_ms": 300, "priority": 2,
			"service": "desk", "max_attempts": 1, "public": true, "sticky": false, "resumable": false,
		}, map[string]any{
			"name": "r-notes", "host": "desk.example", "path_prefix": "/notes/", "kind": "streaming", "timeout_ms": 12000, "slo_ms": 1900, "priority": 0,
			"service": "llm", "max_attempts": 1, "public": true, "sticky": true, "resumable": false, "gap_aim_ms": 300,
		}},
		"services": []any{map[string]any{"name": "llm", "health_path": "/healthz", "max_conns": 280, "protocol": "h1", "tls": false, "cold_start_s": 0, "cold_per_s": 0, "engine": map[string]any{"slots": 64, "kv_tokens": 444000}},
			map[string]any{"name": "desk", "health_path": "/healthz", "max_conns": 130, "protocol": "h1", "tls": false, "cold_start_s": 0, "cold_per_s": 0}},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	var runners []*queued
	for i := range 2 {
		r := &queued{
			id: fmt.Sprintf("i-desk-%d", i+1), slots: make(chan struct{}, 3), work: 450 * time.Millisecond, queue: 12,
			arrived: map[string]time.Time{}, answered: map[string]time.Time{}, dropped: map[string]time.Time{},
		}
		l, err := listen()
		if err != nil {
			return err
		}
		server := &httptest.Server{Listener: l, Config: &http.Server{Handler: r}}
		server.Start()
		p.register(r.id, "desk", l.Addr().String(), "akl-a", 3)
		runners = append(runners, r)
	}
	l, err := listen()
	if err != nil {
		return err
	}
	llm := &httptest.Server{Listener: l, Config: &http.Server{Handler: http.HandlerFunc(serveNotes)}}
	llm.Start()
	p.register(notesRunner, "llm", l.Addr().String(), "akl-a", 64)
	if err := p.startGates("akl-a", "akl-a", "akl-a"); err != nil {
		return err
	}
	b := &balancer{p: p, misses: map[string]int{}}
	stop := make(chan struct{})
	go b.probe(stop)
	time.Sleep(3 * time.Second)

	var mu sync.Mutex
	var all []sent
	var requesters sync.WaitGroup
	ended := make(chan struct{})
	requesters.Go(func() {
		for n := 0; ; n++ {
			select {
			case <-ended:
				return
			case <-time.After(rand.N(140 * time.Millisecond)):
			}
			g := b.pick()
			if g == nil {
				continue
			}
			requesters.Go(func() {
				s := send(g.name, g.front(), request{id: fmt.Sprintf("c-%05d", n), method: http.MethodPost, path: "/hold/a", host: "desk.example", body: "slot", deadline: deadline})
				mu.Lock()
				defer mu.Unlock()
				all = append(all, s)
			})
		}
	})
	// Streams of some seconds go on beside the requests that are judged.
	requesters.Go(func() {
		for n := 0; ; n++ {
			select {
			case <-ended:
				return
			case <-time.After(250 * time.Millisecond):
			}
			if g := b.pick(); g != nil {
				requesters.Go(func() {
					send(g.name, g.front(), request{
						id: fmt.Sprintf("b-%05d", n), method: http.MethodPost, path: "/notes/a", host: "desk.example", body: "prompt", deadline: 12 * time.Second,
						header: map[string]string{"Model": "m", "Token-Count": "600,60", "Prompt-Prefix": fmt.Sprintf("5c1e07a2:100,%x:500", 0x10000+n)},
					})
				})
			}
		}
	})
	termAt := map[string]time.Time{}
	for round := range 3 {
		time.Sleep(4 * time.Second)
		var restarted sync.WaitGroup
		for i := range 2 {
			g := p.gates[(round+i)%len(p.gates)]
			if p.trouble {
				at := time.Now()
				if err := g.signal(syscall.SIGTERM); err != nil {
					return err
				}
				mu.Lock()
				termAt[fmt.Sprintf("%s#%d", g.name, round)] = at
				mu.Unlock()
				p.note("SIGTERM to %s at %d", g.name, p.ms(at))
				restarted.Go(func() {
					<-g.exited
					p.note("%s has ended %d ms after its SIGTERM", g.name, time.Since(at).Milliseconds())
					time.Sleep(500 * time.Millisecond)
					if err := g.start(); err != nil {
						p.note("%s can't be started again: %v", g.name, err)
					}
				})
			}
			time.Sleep(stopGap)
		}
		restarted.Wait()
		time.Sleep(4 * time.Second)
	}
	close(ended)
	requesters.Wait()
	close(stop)
	served := 0
	for _, s := range all {
		var arrived, answered, dropped time.Time
		for _, r := range runners {
			if at, ok := r.arrived[s.id]; ok {
				arrived, answered, dropped = at, r.answered[s.id], r.dropped[s.id]
			}
		}
		if s.status == http.StatusOK {
			served++
		}
		line := fmt.Sprintf("%s sent at %d to %s, ended at %d with %d (%v)", s.id, p.ms(s.at), s.gate, p.ms(s.ended), s.status, s.err)
		if !arrived.IsZero() {
			line += fmt.Sprintf("; at a runner at %d", p.ms(arrived))
		}
		if !answered.IsZero() {
			line += fmt.Sprintf(", done at %d", p.ms(answered))
		}
		if !dropped.IsZero() {
			line += fmt.Sprintf(", channel closed on the runner at %d", p.ms(dropped))
		}
		p.note("%s", line)
		if s.status != 0 || s.written.IsZero() || arrived.IsZero() || s.ended.Sub(s.at) >= deadline {
			continue
		}
		for key, at := range termAt {
			since := s.at.Sub(at)
			if key[:len(s.gate)] == s.gate && since > lateSend && s.ended.Sub(at) < graceLimit+time.Second {
				p.breach("LOST: %s, sent %d ms after the SIGTERM of %s, was passed on to a runner, and its channel ended without an answer %d ms after it was sent", s.id, since.Milliseconds(), s.gate, s.ended.Sub(s.at).Milliseconds())
			}
		}
	}
	p.note("%d requests, %d served", len(all), served)
	if served < len(all)/2 {
		return fmt.Errorf("only %d of %d requests were served", served, len(all))
	}
	return nil
}
