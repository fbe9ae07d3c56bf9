package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() {
	cases["heads"] = heads
	cases["slow-uploads"] = slowUploads
}

const (
	engines = "purr-model"
	// memory is the setting of the gateways, that of a front machine of the site.
	memory = 284
)

// Engine is a stand-in for a model runner that streams for four seconds.
type Engine struct {
	*Runner
	running atomic.Int64
}

func (e *Engine) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	_, _ = io.Copy(io.Discard, q.Body)
	if expect := q.Header.Get("Expect-Instance"); expect != "" && expect != e.id {
		w.Header().Set("Instance-Id", e.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	id := q.Header.Get("Request-Id")
	w.Header().Set("Request-Id", id)
	if e.running.Add(1) > 64 {
		e.running.Add(-1)
		w.Header().Set("Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer e.running.Add(-1)
	w.Header().Set("Response-Stamp", "stamp."+e.id+"."+id)
	w.Header().Set("Content-Type", "text/event-stream")
	control := http.NewResponseController(w)
	for n := 1; n <= 20; n++ {
		if _, err := fmt.Fprintf(w, "id: %d\ndata: token %d\n\n", n, n); err != nil || control.Flush() != nil {
			return
		}
		time.Sleep(200 * time.Millisecond)
	}
}

// crowdSettings returns a configuration with a route to model runners and one to a plain service.
func crowdSettings() []byte {
	raw, _ := json.Marshal(map[string]any{
		"version": 3,
		"routes": []any{
			map[string]any{"name": "r-draft", "host": host, "path_prefix": "/draft/", "kind": "streaming", "timeout_ms": 12000, "slo_ms": 1200, "priority": 1, "service": engines, "max_attempts": 2, "stages": []any{}, "public": false, "sticky": true, "resumable": true, "gap_aim_ms": 300},
			map[string]any{"name": "r-check", "host": host, "path_prefix": "/check/", "kind": "safe", "timeout_ms": 10000, "slo_ms": 300, "priority": 2, "service": service, "max_attempts": 2, "stages": []any{}, "public": false, "sticky": false, "resumable": false},
		},
		"services": []any{
			map[string]any{"name": engines, "health_path": "/healthz", "max_conns": 280, "protocol": "h1", "tls": false, "cold_start_s": 3.0, "cold_per_s": 23.0, "engine": map[string]any{"slots": 64, "kv_tokens": 444000}},
			map[string]any{"name": service, "health_path": "/healthz", "max_conns": 51, "protocol": "h1", "tls": false, "cold_start_s": 0.0, "cold_per_s": 0.0},
		},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 5000, "idle_timeout_ms": 10000},
		"tenants": []any{map[string]any{"name": "guests", "api_keys": []string{"guests-key"}}},
	})
	return raw
}

// beginCrowd starts one gateway, with four plain runners and nine model runners.
func (w *World) beginCrowd() (*Gateway, error) {
	w.operator("config", crowdSettings(), "version 3")
	zones := []string{"akl-a", "akl-b", "ham-a", "wlg-a"}
	for i := range 13 {
		id, name := fmt.Sprintf("i-%d", i+1), service
		if i >= 4 {
			name = engines
		}
		r, err := w.addRunner(id, name, zones[i%4], 15*time.Millisecond)
		if err != nil {
			return nil, err
		}
		r.slots = 6
		if i >= 4 {
			r.slots = 64
			r.server.Handler = &Engine{Runner: r}
		}
		r.list(w.store)
		go r.heartbeat(w.store, time.Duration(i+1)*90*time.Millisecond, 1200*time.Millisecond)
	}
	if err := w.addGateways("akl-a"); err != nil {
		return nil, err
	}
	return w.gateways[0], w.awaitReady()
}

// memoryOf returns the present and the highest resident memory of a process in MB of 1,024 KB.
func memoryOf(pid int) (now, highest int) {
	raw, err := os.ReadFile("/proc/" + strconv.Itoa(pid) + "/status")
	if err != nil {
		return 0, 0
	}
	for _, line := range strings.Split(string(raw), "\n") {
		fields := strings.Fields(line)
		if len(fields) < 2 {
			continue
		}
		n, _ := strconv.Atoi(fields[1])
		switch fields[0] {
		case "VmRSS:":
			now = n / 1024
		case "VmHWM:":
			highest = n / 1024
		}
	}
	return now, highest
}

// heads: 1,360 channels, each with one request at a time whose head is within the limits.
func heads(w *World) (bool, error) {
	g, err := w.beginCrowd()
	if err != nil {
		return false, err
	}
	time.Sleep(6 * time.Second) // the model runners are no longer taken for cold
	head := func(n int64) string {
		var b strings.Builder
		fmt.Fprintf(&b, "POST /draft/now HTTP/1.1\r\nHost: %s\r\nRequest-Id: h%07d\r\nDeadline: 12000\r\nAuthorization: Token guests-key\r\nModel: m\r\nToken-Count: 1400,20\r\nContent-Length: 4\r\n", host, n)
		if !w.trouble {
			fmt.Fprintf(&b, "Prompt-Prefix: %x:1000,%x:400\r\n\r\nbody", n%50, n+1000)
			return b.String()
		}
		for i := range 720 {
			fmt.Fprintf(&b, "%c%c:\r\n", 'a'+i/26%26, 'a'+i%26)
			if i >= 26*26-1 {
				fmt.Fprintf(&b, "%c%d:\r\n", 'a'+i%26, i%10)
			}
		}
		b.WriteString("Prompt-Prefix: ")
		for i := 0; b.Len() < 14960; i++ {
			fmt.Fprintf(&b, "%x:1,", n*2000+int64(i))
		}
		b.WriteString("1:1\r\n\r\nbody")
		return b.String()
	}
	w.record("a head has %d bytes of max_header_bytes 16384, and %d lines", len(head(1000))-4, strings.Count(head(1000), "\r\n"))
	var served, refused, other, next atomic.Int64
	stop := time.Now().Add(25 * time.Second)
	var all sync.WaitGroup
	for range 1360 {
		all.Add(1)
		go func() {
			defer all.Done()
			for time.Now().Before(stop) {
				conn, err := net.DialTimeout("tcp", g.addr, time.Second)
				if err != nil {
					other.Add(1)
					time.Sleep(300 * time.Millisecond)
					continue
				}
				reader := bufio.NewReader(conn)
				for time.Now().Before(stop) {
					_ = conn.SetDeadline(time.Now().Add(13 * time.Second))
					if _, err = io.WriteString(conn, head(next.Add(1))); err != nil {
						break
					}
					var response *http.Response
					if response, err = http.ReadResponse(reader, nil); err != nil {
						break
					}
					_, err = io.Copy(io.Discard, response.Body)
					switch {
					case err == nil && response.StatusCode == http.StatusOK:
						served.Add(1)
					case response.StatusCode == http.StatusServiceUnavailable:
						refused.Add(1)
						time.Sleep(300 * time.Millisecond)
					default:
						other.Add(1)
					}
					if err != nil || response.Close {
						break
					}
				}
				conn.Close()
				if err != nil {
					other.Add(1)
					time.Sleep(300 * time.Millisecond)
				}
			}
		}()
	}
	highest := 0
	for time.Now().Before(stop) {
		var now int
		now, highest = memoryOf(g.cmd.Process.Pid)
		w.record("memory %d MB, highest %d MB; served %d, refused %d (503), other %d", now, highest, served.Load(), refused.Load(), other.Load())
		time.Sleep(time.Second)
	}
	all.Wait()
	w.recordLogs("callers-bounded")
	if !g.alive() {
		w.record("the gateway has ended: %v", g.err)
		return true, nil
	}
	if served.Load() < 100 {
		return false, fmt.Errorf("only %d requests were served", served.Load())
	}
	w.record("highest memory %d MB of %d MB; served %d, refused %d, other %d", highest, memory, served.Load(), refused.Load(), other.Load())
	return highest > memory, nil
}

// slowUploads: 1,500 callers each send a body of 600 bytes at a byte in 400 ms, for 8 s.
func slowUploads(w *World) (bool, error) {
	g, err := w.beginCrowd()
	if err != nil {
		return false, err
	}
	var mu sync.Mutex
	var answered []time.Time
	tries, codes := 0, map[string]int{}
	var notReady atomic.Int64
	begin := time.Now()
	stop := begin.Add(16 * time.Second)
	var all sync.WaitGroup
	for i := range 10 {
		all.Add(1)
		go func() {
			defer all.Done()
			time.Sleep(time.Duration(i) * 30 * time.Millisecond)
			for time.Now().Before(stop) {
				r := w.send(g, "GET", host, "/check/now", "guests-key", time.Second)
				mu.Lock()
				tries++
				codes[fmt.Sprintf("%d s: %d", int(r.Sent.Sub(begin).Seconds()), r.Status)]++
				if r.Status != 0 {
					answered = append(answered, r.Ended)
				}
				mu.Unlock()
				time.Sleep(300 * time.Millisecond)
			}
		}()
	}
	all.Add(1)
	go func() {
		defer all.Done()
		for time.Now().Before(stop) {
			if !g.isReady() {
				notReady.Add(1)
			}
			time.Sleep(time.Second)
		}
	}()
	time.Sleep(3 * time.Second)
	w.record("1500 callers connect, from five addresses")
	crowdEnd := time.Now().Add(8 * time.Second)
	for i := range 1500 {
		from := net.TCPAddr{IP: net.IPv4(127, 0, 0, byte(2+i%5))} // no source has half of them
		all.Add(1)
		go func() {
			defer all.Done()
			for ; time.Now().Before(crowdEnd); time.Sleep(100 * time.Millisecond) {
				w.uploadSlowly(g, &from, i, crowdEnd)
			}
		}()
	}
	all.Wait()
	w.recordLogs("callers-bounded")
	longest, last, at := time.Duration(0), begin.Add(time.Second), begin
	mu.Lock()
	defer mu.Unlock()
	for _, t := range append(answered, stop) {
		if gap := t.Sub(last); gap > longest {
			longest, at = gap, last
		}
		if t.After(last) {
			last = t
		}
	}
	for s := range 17 {
		line := ""
		for code, n := range codes {
			if strings.HasPrefix(code, fmt.Sprintf("%d s:", s)) {
				line += fmt.Sprintf(" status%s x %d;", strings.TrimPrefix(code, fmt.Sprintf("%d s:", s)), n)
			}
		}
		w.record("ordinary requests sent in second %d:%s", s, line)
	}
	if !g.alive() {
		w.record("the gateway has ended: %v", g.err)
		return true, nil
	}
	if len(answered) < 50 {
		return false, fmt.Errorf("only %d of %d ordinary requests were answered", len(answered), tries)
	}
	w.record("longest time in which none of ten ordinary requesters got an answer on a new channel: %.1f s, from second %.1f on; not ready in %d checks", longest.Seconds(), at.Sub(begin).Seconds(), notReady.Load())
	return longest > 3*time.Second && notReady.Load() == 0, nil
}

// uploadSlowly sends one request whose body comes slowly, or at once without the trouble, and keeps
// its connection until it ends, or the given time.
func (w *World) uploadSlowly(g *Gateway, from *net.TCPAddr, i int, end time.Time) {
	dialer := net.Dialer{Timeout: 2 * time.Second, LocalAddr: from}
	conn, err := dialer.Dial("tcp", g.addr)
	if err != nil {
		return
	}
	defer conn.Close()
	body := "x"
	if !w.trouble {
		body = strings.Repeat("x", 600)
	}
	_, err = fmt.Fprintf(conn, "POST /check/now HTTP/1.1\r\nHost: %s\r\nRequest-Id: u%07d-%d\r\nDeadline: 9000\r\nAuthorization: Token guests-key\r\nContent-Length: 600\r\n\r\n%s", host, i, time.Now().UnixNano(), body)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_, _ = io.Copy(io.Discard, conn) // returns when the gateway closes
	}()
	for err == nil && time.Now().Before(end) {
		select {
		case <-ended:
			return
		case <-time.After(400 * time.Millisecond):
		}
		if w.trouble {
			_, err = io.WriteString(conn, "x")
		}
	}
}
