package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { cases["keys"] = playKeys }

// revokeLimit and applyLimit are the bounds revoke_ms and config_apply_ms.
const (
	revokeLimit = 5 * time.Second
	applyLimit  = 2 * time.Second
)

func keysConfig(version int, keys []string) map[string]any {
	return map[string]any{
		"version": version,
		"routes": []any{map[string]any{
			"name": "r-check", "host": "desk.example", "path_prefix": "/check/", "kind": "safe", "timeout_ms": 600, "slo_ms": 100, "priority": 2,
			"service": "desk", "max_attempts": 2, "public": false, "sticky": false, "resumable": false,
		}},
		"services": []any{map[string]any{"name": "desk", "health_path": "/healthz", "max_conns": 51, "protocol": "h1", "tls": false, "cold_start_s": 0, "cold_per_s": 0}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants":  []any{map[string]any{"name": "mere", "api_keys": keys, "priority": 1}},
	}
}

// playKeys takes the keys of the only tenant away, one after the other, while a requester
// goes on with one of them.
func playKeys(p *played) error {
	const keyA, keyB, keyUnknown = "9dnn2ctnfzs989anu6ws", "jnbanfqasnmgkcuyj8pj", "zzzz2ctnfzs989anuzzz"
	p.store.putJSON("keyed.op", "config", keysConfig(1, []string{keyA, keyB}))
	var desks []*runner
	for _, zone := range []string{"akl-a", "akl-b"} {
		r := &runner{id: "i-desk-" + zone, service: "desk", zone: zone, slots: 6, work: 15 * time.Millisecond}
		if err := p.startRunner(r); err != nil {
			return err
		}
		desks = append(desks, r)
	}
	if err := p.startGates("akl-a", "akl-b"); err != nil {
		return err
	}
	var mu sync.Mutex
	var all []sent
	stop := make(chan struct{})
	var requesters sync.WaitGroup
	for i, g := range p.gates {
		requesters.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(100 * time.Millisecond):
				}
				// One in ten has a key that no configuration ever held.
				id, key := fmt.Sprintf("k%d-%04d", i, n), keyA
				if n%10 == 9 {
					id, key = fmt.Sprintf("u%d-%04d", i, n), keyUnknown
				}
				s := send(g.name, g.front(), request{id: id, method: http.MethodGet, path: "/check/a", host: "desk.example", key: key, deadline: 600 * time.Millisecond})
				mu.Lock()
				all = append(all, s)
				mu.Unlock()
			}
		})
	}
	time.Sleep(3 * time.Second)
	// Two changes in both runs; with the disruption each takes one key away.
	left := [][]string{{keyA}, {}}
	if !p.trouble {
		left = [][]string{{keyA, keyB}, {keyA, keyB}}
	}
	var taken time.Time
	for i, keys := range left {
		taken = p.store.putJSON("keyed.op", "config", keysConfig(2+i, keys))
		p.note("version %d acknowledged at %d, keys left: %v", 2+i, p.ms(taken), keys)
		time.Sleep(1500 * time.Millisecond)
	}
	time.Sleep(time.Until(taken.Add(revokeLimit + 4*time.Second)))
	close(stop)
	requesters.Wait()
	ran := map[string]run{}
	for _, d := range desks {
		for _, r := range d.seen() {
			ran[r.id] = r
		}
	}
	served := 0
	for _, s := range all {
		r, didRun := ran[s.id]
		p.note("%s sent at %d to %s, answered %d at %d, ran %v, tenant %q", s.id, p.ms(s.at), s.gate, s.status, p.ms(s.ended), didRun, r.tenant)
		if s.status == http.StatusOK {
			served++
		}
		if didRun && strings.HasPrefix(s.id, "u") {
			p.breach("ROUTE: %s ran, sent %d ms after version %d with a key that no configuration ever held", s.id, s.at.Sub(taken).Milliseconds(), 1+len(left))
			continue
		}
		if p.trouble && didRun && s.at.After(taken.Add(revokeLimit)) {
			p.breach("CONFIG: %s ran, sent %d ms after its key was taken away, tenant told to the runner %q", s.id, s.at.Sub(taken).Milliseconds(), r.tenant)
		}
	}
	if served < 20 {
		return fmt.Errorf("only %d requests were served", served)
	}
	if !p.trouble && served < len(all)*8/10 {
		return fmt.Errorf("only %d of %d requests were served", served, len(all))
	}
	return nil
}
