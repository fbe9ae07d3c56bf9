package main

import (
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"time"
)

func init() {
	cases["older-copy-key"] = olderCopyKey
	cases["older-copy-drain"] = olderCopyDrain
	cases["older-copy-route"] = olderCopyRoute
}

const (
	host    = "desk.example"
	service = "slot-desk"
	// otherService is where a later version of older-copy-route leads.
	otherService = "slot-desk-two"
)

// settings returns a version of the configuration.
func settings(version, timeout int, keys ...string) []byte {
	return settingsTo(service, version, timeout, keys...)
}

// settingsTo returns a version whose route leads to the given service.
func settingsTo(target string, version, timeout int, keys ...string) []byte {
	raw, _ := json.Marshal(map[string]any{
		"version": version,
		"routes": []any{map[string]any{
			"name": "r-check", "host": host, "path_prefix": "/check/", "kind": "safe", "timeout_ms": timeout, "slo_ms": 300, "priority": 2,
			"service": target, "max_attempts": 2, "stages": []any{}, "public": false, "sticky": false, "resumable": false,
		}},
		"services": []any{
			map[string]any{"name": service, "health_path": "/healthz", "max_conns": 51, "protocol": "h1", "tls": false, "cold_start_s": 0.0, "cold_per_s": 0.0},
			map[string]any{"name": otherService, "health_path": "/healthz", "max_conns": 51, "protocol": "h1", "tls": false, "cold_start_s": 0.0, "cold_per_s": 0.0},
		},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 5000, "idle_timeout_ms": 10000},
		"tenants": []any{
			map[string]any{"name": "guests", "api_keys": []string{"guests-key"}},
			map[string]any{"name": "partners", "api_keys": keys},
		},
	})
	return raw
}

// operator writes an operator's record, again until the store takes it.
func (w *World) operator(key string, value []byte, what string) time.Time {
	for {
		offset, acked, ok := w.store.put("keyed.op", key, value)
		if ok {
			w.record("operator: %s acknowledged, op/%s at offset %d", what, key, offset)
			return acked
		}
		time.Sleep(20 * time.Millisecond)
	}
}

func (w *World) sleepUntil(seconds float64) {
	time.Sleep(time.Until(w.start.Add(time.Duration(seconds * float64(time.Second)))))
}

// begin starts four runners and three gateways, and returns once all are ready.
func (w *World) begin() error {
	w.operator("config", settings(3, 1000, "partners-key"), "version 3")
	for i, zone := range []string{"akl-a", "akl-b", "ham-a", "wlg-a"} {
		r, err := w.addRunner(fmt.Sprintf("i-%d", i+1), service, zone, 15*time.Millisecond)
		if err != nil {
			return err
		}
		r.list(w.store)
		go r.heartbeat(w.store, time.Duration(i+1)*300*time.Millisecond, 1200*time.Millisecond)
	}
	if err := w.addGateways("akl-a", "akl-b", "ham-a"); err != nil {
		return err
	}
	return w.awaitReady()
}

// checkServed returns an error unless the requests sent before a time were served.
func (w *World) checkServed(before time.Time) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	sent, served := 0, 0
	for _, r := range w.requests {
		if r.Sent.Before(before) {
			sent++
			if r.Status == 200 {
				served++
			}
		}
	}
	if sent < 20 || served < sent*9/10 {
		return fmt.Errorf("only %d of %d requests were served before the trouble", served, sent)
	}
	return nil
}

// olderCopyKey: the store comes back from a copy that lacks the latest two versions of the
// configuration, the operator writes the newest one again, and takes a key away later.
func olderCopyKey(w *World) (bool, error) {
	if err := w.begin(); err != nil {
		return false, err
	}
	stop, all := make(chan struct{}), &sync.WaitGroup{}
	w.traffic(stop, all, 50*time.Millisecond, func(g *Gateway) { w.send(g, "GET", host, "/check/now", "partners-key", time.Second) })
	w.traffic(stop, all, 50*time.Millisecond, func(g *Gateway) { w.send(g, "GET", host, "/check/now", "guests-key", time.Second) })
	w.sleepUntil(5)
	older := w.store.copyNow()
	w.record("store: a copy is made, op ends at %d", w.store.end("keyed.op"))
	w.sleepUntil(6)
	w.operator("config", settings(5, 1100, "partners-key"), "version 5 (another timeout_ms)")
	w.sleepUntil(7.5)
	newest := settings(8, 1200, "partners-key")
	w.operator("config", newest, "version 8 (another timeout_ms)")
	w.sleepUntil(9)
	before := time.Now()
	if w.trouble {
		w.store.setAway()
		w.record("store: away")
		w.sleepUntil(9.5)
		w.store.comeBack(older)
		w.record("store: back from the copy, op ends at %d", w.store.end("keyed.op"))
		w.operator("config", newest, "version 8, written again,")
	}
	w.sleepUntil(14)
	acked := w.operator("config", settings(9, 1200), "version 9, which takes partners-key away,")
	w.sleepUntil(27)
	close(stop)
	all.Wait()
	w.recordLogs("event=version", "history-gone", "stale-read", "store-lost", "store-back")
	w.recordRequests()
	if err := w.checkServed(before); err != nil {
		return false, err
	}
	const revoke = 5 * time.Second
	runs, late, ran, last := w.ran(), 0, 0, 0.0
	for _, r := range w.requests {
		if r.Key != "partners-key" || !r.Sent.After(acked.Add(revoke)) {
			continue
		}
		late++
		if len(runs[r.ID]) > 0 {
			ran++
			last = w.since(r.Sent)
		}
	}
	w.record("%d requests with the key were sent later than revoke_ms (5 s) after the acknowledgement at %.3f; %d of them ran, the last one sent at %.3f", late, w.since(acked), ran, last)
	return ran > 0, nil
}

// olderCopyDrain: the store comes back from a copy that is eight seconds old, and a runner
// reports draining once the store has been stable for stable_window_ms.
func olderCopyDrain(w *World) (bool, error) {
	if err := w.begin(); err != nil {
		return false, err
	}
	stop, all := make(chan struct{}), &sync.WaitGroup{}
	w.traffic(stop, all, 20*time.Millisecond, func(g *Gateway) { w.send(g, "GET", host, "/check/now", "guests-key", time.Second) })
	w.sleepUntil(5)
	older := w.store.copyNow()
	w.record("store: a copy is made, servers end at %d", w.store.end("keyed.servers"))
	w.sleepUntil(13)
	before := time.Now()
	if w.trouble {
		w.record("store: away, servers end at %d", w.store.end("keyed.servers"))
		w.store.setAway()
		w.sleepUntil(13.5)
		w.store.comeBack(older)
		w.record("store: back from the copy, servers end at %d", w.store.end("keyed.servers"))
	}
	w.sleepUntil(16.7)
	leaving := w.runners[1]
	leaving.setState("draining")
	acked := leaving.list(w.store)
	w.record("runner %s: draining acknowledged, servers end at %d", leaving.id, w.store.end("keyed.servers"))
	w.sleepUntil(25)
	w.record("servers end at %d", w.store.end("keyed.servers"))
	close(stop)
	all.Wait()
	w.recordLogs("event=server ", "history-gone", "stale-read", "store-lost", "store-back")
	w.recordRequests()
	if err := w.checkServed(before); err != nil {
		return false, err
	}
	const drain = 2 * time.Second
	sent := map[string]time.Time{}
	for _, r := range w.requests {
		sent[r.ID] = r.Sent
	}
	late, last := 0, 0.0
	for _, run := range leaving.ran() {
		if sent[run.ID].After(acked.Add(drain)) {
			late++
			last = w.since(sent[run.ID])
		}
	}
	w.record("%d requests that were sent later than drain_ms (2 s) after the acknowledgement at %.3f ran at %s, the last one sent at %.3f", late, w.since(acked), leaving.id, last)
	return late > 0, nil
}

// olderCopyRoute: while the store is away, the operator waits with a version that moves the route
// to another service. Once the store is back, it writes the newest version again and then that one.
func olderCopyRoute(w *World) (bool, error) {
	for i, zone := range []string{"akl-a", "ham-a"} {
		r, err := w.addRunner(fmt.Sprintf("i-two-%d", i+1), otherService, zone, 15*time.Millisecond)
		if err != nil {
			return false, err
		}
		r.list(w.store)
		go r.heartbeat(w.store, time.Duration(i+1)*500*time.Millisecond, 1200*time.Millisecond)
	}
	if err := w.begin(); err != nil {
		return false, err
	}
	stop, all := make(chan struct{}), &sync.WaitGroup{}
	w.traffic(stop, all, 25*time.Millisecond, func(g *Gateway) { w.send(g, "GET", host, "/check/now", "guests-key", time.Second) })
	w.sleepUntil(5)
	older := w.store.copyNow()
	w.record("store: a copy is made, op ends at %d", w.store.end("keyed.op"))
	w.sleepUntil(6)
	w.operator("config", settings(5, 1100), "version 5 (another timeout_ms)")
	w.sleepUntil(7.5)
	newest := settings(8, 1200)
	w.operator("config", newest, "version 8 (another timeout_ms)")
	w.sleepUntil(9)
	before := time.Now()
	if w.trouble {
		w.store.setAway()
		w.record("store: away")
		w.sleepUntil(9.5)
		w.store.comeBack(older)
		w.record("store: back from the copy, op ends at %d", w.store.end("keyed.op"))
		w.operator("config", newest, "version 8, written again,")
	} else {
		w.sleepUntil(9.5)
	}
	acked := w.operator("config", settingsTo(otherService, 9, 1200), "version 9, which moves the route to "+otherService+",")
	w.sleepUntil(25)
	close(stop)
	all.Wait()
	w.recordLogs("event=version", "history-gone", "stale-read", "store-lost", "store-back")
	w.recordRequests()
	if err := w.checkServed(before); err != nil {
		return false, err
	}
	// The machines are in touch from stable_window_ms after the drill on.
	from := acked.Add(3500 * time.Millisecond)
	runs, late, old, last := w.ran(), 0, 0, 0.0
	for _, r := range w.requests {
		if !r.Sent.After(from) {
			continue
		}
		late++
		for _, run := range runs[r.ID] {
			if !strings.HasPrefix(run.Runner, "i-two-") {
				old++
				last = w.since(r.Sent)
			}
		}
	}
	w.record("%d requests were sent later than 3.5 s after the acknowledgement at %.3f (config_apply_ms is 2 s, stable_window_ms 3 s); %d runs of them were at the old service, the last one sent at %.3f", late, w.since(acked), old, last)
	return old > 0, nil
}
