package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

func init() { cases["room"] = playRoom }

const (
	// roomMB is the room for results of a runner of guest-mail, and bigResult the size of a
	// result of the first stage of adoption-dossier.
	roomMB      = 0.5
	bigResult   = 800000
	smallResult = 6000
	// restartDelay is the time after which the platform starts a process again.
	restartDelay = 500 * time.Millisecond
)

func roomConfig(version, added int) map[string]any {
	stage := func(bytes int) []any {
		return []any{map[string]any{"service": "mail", "after": []int{}, "bytes": bytes}}
	}
	route := func(name, prefix string, bytes int) map[string]any {
		return map[string]any{
			"name": name, "host": "draft.example", "path_prefix": prefix, "kind": "streaming", "timeout_ms": 12000, "slo_ms": 1900, "priority": 0,
			"service": "llm", "max_attempts": 1, "public": true, "sticky": true, "resumable": false, "gap_aim_ms": 300, "stages": stage(bytes),
		}
	}
	routes := []any{
		map[string]any{
			"name": "r-hold", "host": "desk.example", "path_prefix": "/hold/", "kind": "unsafe", "timeout_ms": 1500, "slo_ms": 300, "priority": 2,
			"service": "desk", "max_attempts": 1, "public": true, "sticky": false, "resumable": false,
		},
		route("r-notes", "/notes/", smallResult),
	}
	if added > 0 {
		routes = append(routes, route("r-new", "/new/", added))
	}
	return map[string]any{
		"version": version, "routes": routes,
		"services": []any{
			map[string]any{"name": "desk", "health_path": "/healthz", "max_conns": 130, "protocol": "h1", "tls": false, "cold_start_s": 0, "cold_per_s": 0},
			map[string]any{"name": "llm", "health_path": "/healthz", "max_conns": 280, "protocol": "h1", "tls": false, "cold_start_s": 0, "cold_per_s": 0, "engine": map[string]any{"slots": 64, "kv_tokens": 444000}},
			map[string]any{"name": "mail", "health_path": "/healthz", "max_conns": 280, "protocol": "h1", "tls": false, "cold_start_s": 0, "cold_per_s": 0,
				"pieces": map[string]any{"slots": 1, "queue": 2, "batch": 46, "call_ms": 240.0, "item_ms": 4.5, "room_mb": roomMB, "handle_s": 4.0, "link_mbps": 10000}},
		},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	}
}

// keep sends requests on one channel after the other, each kept as long as it lasts, until
// stop is closed. It reports what became of each request.
func keep(g *gate, name string, stop <-chan struct{}, report func(s sent)) {
	for n := 0; ; {
		select {
		case <-stop:
			return
		default:
		}
		conn, err := net.DialTimeout("tcp", g.front(), time.Second)
		if err != nil {
			time.Sleep(100 * time.Millisecond)
			continue
		}
		r := bufio.NewReader(conn)
		for open := true; open; n++ {
			s := sent{id: fmt.Sprintf("%s-%04d", name, n), gate: g.name, at: time.Now()}
			_ = conn.SetDeadline(time.Now().Add(3 * time.Second))
			_, err := fmt.Fprintf(conn, "POST /hold/a HTTP/1.1\r\nHost: desk.example\r\nRequest-Id: %s\r\nDeadline: 1500\r\nContent-Length: 4\r\n\r\nslot", s.id)
			if err == nil {
				s.written = time.Now()
				var response *http.Response
				if response, err = http.ReadResponse(r, &http.Request{Method: http.MethodPost}); err == nil {
					_, err = io.Copy(io.Discard, response.Body)
					if err == nil {
						s.status = response.StatusCode
					}
					open = !response.Close
				}
			}
			s.err, s.ended = err, time.Now()
			open = open && err == nil
			report(s)
			select {
			case <-stop:
				open = false
			default:
			}
		}
		_ = conn.Close()
	}
}

// playRoom adds a route whose stage makes results that are larger than the room of the
// service that makes them, and sends a few requests on it.
func playRoom(p *played) error {
	p.store.putJSON("keyed.op", "config", roomConfig(1, 0))
	var desks []*runner
	for i := range 2 {
		r := &runner{id: fmt.Sprintf("i-desk-%d", i+1), service: "desk", zone: "akl-a", slots: 20, work: 100 * time.Millisecond}
		if err := p.startRunner(r); err != nil {
			return err
		}
		desks = append(desks, r)
	}
	shared := &results{pieces: map[string]*piece{}}
	for i := range 3 {
		s := &stageServer{id: fmt.Sprintf("i-mail-%d", i+1), results: shared}
		if err := s.start(p, "mail"); err != nil {
			return err
		}
	}
	models, err := startModels(p, shared, 2)
	if err != nil {
		return err
	}
	if err := p.startGates("akl-a", "akl-b", "ham-a"); err != nil {
		return err
	}
	stop := make(chan struct{})
	var running sync.WaitGroup
	var mu sync.Mutex
	ends := 0
	for _, g := range p.gates {
		// The platform starts a process again that has ended.
		running.Go(func() {
			for {
				select {
				case <-g.exited:
				case <-stop:
					return
				}
				mu.Lock()
				ends++
				mu.Unlock()
				p.note("%s has ended by itself: %v", g.name, g.cmd.ProcessState)
				time.Sleep(restartDelay)
				if err := g.start(); err != nil {
					p.note("%s can't be started again: %v", g.name, err)
					return
				}
			}
		})
	}
	time.Sleep(2 * time.Second)
	var kept []sent
	for i, g := range p.gates {
		for k := range 4 {
			running.Go(func() {
				keep(g, fmt.Sprintf("h%d%d", i, k), stop, func(s sent) {
					mu.Lock()
					defer mu.Unlock()
					kept = append(kept, s)
				})
			})
		}
	}
	draft := func(g *gate, id, path string) sent {
		return send(g.name, g.front(), request{
			id: id, method: http.MethodPost, path: path, host: "draft.example", body: "prompt", deadline: 12 * time.Second,
			header: map[string]string{"Model": "m", "Token-Count": "600,30", "Prompt-Prefix": "5c1e07a2:100," + id[1:] + ":500", "Pieces": "1", "Piece-Key": "7c1e07a291bd"},
		})
	}
	for n := range 6 {
		s := draft(p.gates[n%len(p.gates)], fmt.Sprintf("a%06x", n), "/notes/a")
		p.note("%s on the first route sent at %d to %s, answered %d", s.id, p.ms(s.at), s.gate, s.status)
	}
	added := bigResult
	if !p.trouble {
		added = smallResult
	}
	acked := p.store.putJSON("keyed.op", "config", roomConfig(2, added))
	p.note("version 2 with a route on stages of %d bytes acknowledged at %d", added, p.ms(acked))
	time.Sleep(2500 * time.Millisecond)
	answered := 0
	for n := range 3 {
		g := p.gates[n%len(p.gates)]
		s := draft(g, fmt.Sprintf("d%06x", n), "/new/a")
		p.note("%s on the new route sent at %d to %s, answered %d at %d (%v)", s.id, p.ms(s.at), s.gate, s.status, p.ms(s.ended), s.err)
		if s.status != 0 {
			answered++
		}
		time.Sleep(3 * time.Second)
	}
	close(stop)
	running.Wait()
	for _, m := range models {
		p.note("%s ran %d requests", m.id, len(m.ran))
	}
	ran := map[string]run{}
	for _, d := range desks {
		for _, r := range d.seen() {
			ran[r.id] = r
		}
	}
	served := 0
	var lost []sent
	for _, s := range kept {
		if s.status == http.StatusOK {
			served++
		}
		if _, ok := ran[s.id]; ok && s.status == 0 {
			lost = append(lost, s)
		}
	}
	p.note("%d requests on kept channels, %d served, %d passed on to a runner and their channels closed without an answer; %d processes ended by themselves", len(kept), served, len(lost), ends)
	if len(lost) > 3 {
		for _, s := range lost {
			p.breach("LOST: %s, sent at %d to %s, was passed on to a runner, and its kept channel ended at %d without an answer (%v)", s.id, p.ms(s.at), s.gate, p.ms(s.ended), s.err)
		}
	}
	if served < 100 || !p.trouble && answered < 3 {
		return fmt.Errorf("only %d requests on kept channels were served, and %d on the new route answered", served, answered)
	}
	return nil
}
