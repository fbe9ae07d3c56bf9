package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() { cases["storm"] = playStorm }

const (
	// stormGap and stormVersions are those of a storm of 2 s with gap_s = 0.08.
	stormGap      = 80 * time.Millisecond
	stormVersions = 25
	// calmGap is the time between the same versions without the disruption.
	calmGap = 1500 * time.Millisecond
	// bigCount is the number of routes that big_config adds.
	bigCount = 1400
)

// bigConfig returns a configuration with many routes on one service.
func bigConfig(version, routes int, keys []string) map[string]any {
	conf := keysConfig(version, keys)
	list := conf["routes"].([]any)
	for i := range routes {
		list = append(list, map[string]any{
			"name": fmt.Sprintf("r-%04d", i), "host": "x.example", "path_prefix": fmt.Sprintf("/p%04d/", i), "kind": "safe", "timeout_ms": 600, "slo_ms": 100,
			"priority": 2, "service": "desk", "max_attempts": 2, "public": false,
		})
	}
	conf["routes"] = list
	return conf
}

// playStorm lets the configuration grow, and then writes versions in quick succession, of
// which the first takes a key away.
func playStorm(p *played) error {
	const keyA, keyB = "9dnn2ctnfzs989anu6ws", "jnbanfqasnmgkcuyj8pj"
	both, one := []string{keyA, keyB}, []string{keyB}
	p.store.putJSON("keyed.op", "config", keysConfig(1, both))
	r := &runner{id: "i-desk-1", service: "desk", zone: "akl-a", slots: 6, work: 15 * time.Millisecond}
	if err := p.startRunner(r); err != nil {
		return err
	}
	if err := p.startGates("akl-a", "akl-b", "ham-a"); err != nil {
		return err
	}
	var mu sync.Mutex
	var all []sent
	keyOf := map[string]string{}
	stop := make(chan struct{})
	var requesters sync.WaitGroup
	for i, g := range p.gates {
		requesters.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(50 * time.Millisecond):
				}
				key, id := []string{keyA, keyB}[n%2], fmt.Sprintf("s%d-%04d", i, n)
				s := send(g.name, g.front(), request{id: id, method: http.MethodGet, path: "/check/a", host: "desk.example", key: key, deadline: 600 * time.Millisecond})
				mu.Lock()
				all = append(all, s)
				keyOf[id] = key
				mu.Unlock()
			}
		})
	}
	time.Sleep(6 * time.Second)
	raw, err := json.Marshal(bigConfig(2, bigCount, both))
	if err != nil {
		return err
	}
	grown := p.store.putJSON("keyed.op", "config", bigConfig(2, bigCount, both))
	p.note("version 2 with %d routes (%d bytes) acknowledged at %d", bigCount+1, len(raw), p.ms(grown))
	time.Sleep(4 * time.Second)
	var taken time.Time
	gap := stormGap
	if !p.trouble {
		gap = calmGap
	}
	for i := range stormVersions {
		next := time.Now().Add(gap)
		keys := both
		if i == stormVersions-1 {
			keys = one
		}
		taken = p.store.putJSON("keyed.op", "config", bigConfig(3+i, bigCount, keys))
		p.note("version %d acknowledged at %d, %d keys", 3+i, p.ms(taken), len(keys))
		time.Sleep(time.Until(next))
	}
	time.Sleep(time.Until(taken.Add(revokeLimit + 10*time.Second)))
	close(stop)
	requesters.Wait()
	ran := map[string]bool{}
	for _, x := range r.seen() {
		ran[x.id] = true
	}
	served, beyondRevoke, beyondApply := 0, 0, 0
	var last time.Time
	for _, s := range all {
		p.note("%s sent at %d to %s with key %s, answered %d at %d, ran %v", s.id, p.ms(s.at), s.gate, keyOf[s.id][:4], s.status, p.ms(s.ended), ran[s.id])
		if s.status == http.StatusOK {
			served++
		}
		if !ran[s.id] || keyOf[s.id] != keyA {
			continue
		}
		if s.at.After(last) {
			last = s.at
		}
		switch since := s.at.Sub(taken); {
		case since > revokeLimit:
			beyondRevoke++
			p.breach("CONFIG: %s ran at %s, sent %d ms after its key was taken away (revoke_ms)", s.id, s.gate, since.Milliseconds())
		case since > applyLimit:
			beyondApply++
			p.breach("CONFIG: %s ran at %s, sent %d ms after a version that doesn't allow it (config_apply_ms)", s.id, s.gate, since.Milliseconds())
		}
	}
	p.note("the last request with the key ran %d ms after the key was taken away; %d ran beyond revoke_ms, %d more beyond config_apply_ms",
		last.Sub(taken).Milliseconds(), beyondRevoke, beyondApply)
	if served < len(all)/3 {
		return fmt.Errorf("only %d of %d requests were served", served, len(all))
	}
	return nil
}
