package main

import (
	"bufio"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { cases["room"] = room }

// callsOf returns the number of calls for pieces that a gateway has made, by its own metrics.
func callsOf(g *gateway) int {
	response, err := http.Get("http://" + g.meta + "/metrics")
	if err != nil {
		return 0
	}
	defer func() { _ = response.Body.Close() }()
	scanner := bufio.NewScanner(response.Body)
	for scanner.Scan() {
		if rest, ok := strings.CutPrefix(scanner.Text(), `sequoialead_call_seconds_count{pool="roster"} `); ok {
			n, _ := strconv.Atoi(rest)
			return n
		}
	}
	return 0
}

const (
	roomGateways = 5
	// roomFreeze is how long the machine stands still: node_freeze on whiskerlane-nz, 4 s.
	roomFreeze = 4 * time.Second
	// roomRecover is recover_s of whiskerlane-nz.
	roomRecover = 12 * time.Second
)

// room freezes the gateway that makes the calls for pieces, for four seconds at a time.
func room(dir string, trouble bool) {
	r := newRig(dir)
	config := strings.Replace(fmt.Sprintf(configText, 7), `"bytes":8000}`, `"bytes":800000}`, 1)
	r.store.Put("keyed.op", "config", []byte(config))
	zones := []string{"akl-a", "akl-b", "akl-b", "ham-a", "wlg-a"}
	for i := range 9 {
		r.addRunner(fmt.Sprintf("i-purr%d", i), "purr", zones[i%5], 64, stream(800*time.Millisecond, 8, 50*time.Millisecond))
	}
	for i := range 5 {
		r.addRunner(fmt.Sprintf("i-roster%d", i), "roster", zones[i], 1, pieces(240*time.Millisecond, 21*time.Millisecond, nil))
	}
	var gs []*gateway
	for i := range roomGateways {
		gs = append(gs, r.startGateway(fmt.Sprintf("front-%d", i+1), zones[i]))
	}
	r.waitAllReady(gs)
	time.Sleep(4 * time.Second)
	var n atomic.Int64
	// load sends requests at all gateways for a time and returns the share that was served.
	load := func(name string, d time.Duration) float64 {
		var sent, ok [roomGateways]atomic.Int64
		end := time.Now().Add(d)
		var w sync.WaitGroup
		for g := range gs {
			w.Go(func() {
				for time.Now().Before(end) {
					w.Go(func() {
						id := fmt.Sprintf("%08x", n.Add(1))
						a := ask(gs[g].front, head("POST", "a.example", "/dossier/x", id, 12000, "Model: m", "Token-Count: 2000,10", "Prompt-Prefix: ab1:100,"+id+":100", "Pieces: 3", "Piece-Key: k"+id, "Content-Length: 4")+"\r\nbody", 12*time.Second)
						sent[g].Add(1)
						if a.status == 200 && a.whole && strings.Contains(a.body, "id: 8") {
							ok[g].Add(1)
							r.note("%s: %s at front-%d: served in %.1f s", name, id, g+1, a.took.Seconds())
						} else {
							r.note("%s: %s at front-%d: %d %v %s", name, id, g+1, a.status, a.err, strings.TrimSpace(a.body))
						}
					})
					time.Sleep(500 * time.Millisecond)
				}
			})
		}
		w.Wait()
		served, all := int64(0), int64(0)
		for g := range gs {
			r.note("%s: front-%d served %d of %d", name, g+1, ok[g].Load(), sent[g].Load())
			served, all = served+ok[g].Load(), all+sent[g].Load()
		}
		fmt.Printf("%s: %d of %d served\n", name, served, all)
		return float64(served) / float64(all)
	}
	before := load("before", 6*time.Second)
	done := make(chan struct{})
	go func() {
		defer close(done)
		load("during", 55*time.Second)
	}()
	leader := 0
	for range 6 {
		calls := make([]int, len(gs))
		for i, g := range gs {
			calls[i] = callsOf(g)
		}
		time.Sleep(2500 * time.Millisecond)
		most := 0
		for i, g := range gs {
			calls[i] = callsOf(g) - calls[i]
			if calls[i] > most {
				leader, most = i, calls[i] // else it is still the one of before, which has stopped making calls
			}
		}
		r.note("calls for pieces by gateway: %v", calls)
		if trouble {
			r.note("front-%d is frozen", leader+1)
			_ = gs[leader].cmd.Process.Signal(syscall.SIGSTOP)
		}
		time.Sleep(roomFreeze)
		if trouble {
			_ = gs[leader].cmd.Process.Signal(syscall.SIGCONT)
			r.note("front-%d goes on", leader+1)
		}
		time.Sleep(2500 * time.Millisecond)
	}
	<-done
	time.Sleep(roomRecover)
	for _, g := range gs {
		if a := ask(g.ready, "GET /sequoialead/readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n", time.Second); a.status != 200 {
			fatal("%s is not ready again: %d %v", g.name, a.status, a.err)
		}
	}
	r.note("all gateways are ready")
	after := load("after", 15*time.Second)
	if os.Getenv("LONGER") != "" { // beyond the case: does it get better by itself, or by a restart?
		time.Sleep(60 * time.Second)
		load("a minute later", 15*time.Second)
		r.note("front-%d is killed", leader+1)
		_ = gs[leader].cmd.Process.Signal(syscall.SIGKILL)
		<-gs[leader].exited
		r.run(gs[leader])
		time.Sleep(roomRecover)
		load("after a restart of the leader", 15*time.Second)
	}
	r.note("before %.2f, after %.2f", before, after)
	if before >= 0.25 && after < 0.25 {
		r.end(1)
	}
	r.end(0)
}
