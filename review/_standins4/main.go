// Command standins4 plays the cases of the third review that need a script. It starts
// gateways as processes of their own, and holds the stand-ins for the platform's store, the
// operator, the runners and the requesters. It exits with 1 if the rule of the case was
// broken, 0 if it held, and 2 if the case couldn't run.
package main

import (
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

// World is what a case plays with.
type World struct {
	bin     string
	dir     string // temporary files
	trouble bool
	start   time.Time
	store   *Store

	mu       sync.Mutex
	out      *os.File
	gateways []*Gateway
	runners  []*Runner
	requests []*Request
	next     int
}

// Request is one attempt of a requester.
type Request struct {
	ID      string
	Key     string
	Gateway string
	Sent    time.Time
	Ended   time.Time
	Status  int // 0 for none
	Body    string
	Stamp   string
	Err     string
}

func (w *World) since(t time.Time) float64 { return t.Sub(w.start).Seconds() }

// record writes a line of record.txt.
func (w *World) record(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(w.out, "%7.3f "+format+"\n", append([]any{time.Since(w.start).Seconds()}, args...)...)
}

func (w *World) addGateways(zones ...string) error {
	for i, zone := range zones {
		name := fmt.Sprintf("front-%s-%d", zone, i+1)
		g, err := startGateway(w.bin, w.dir, name, zone, w.store.addr)
		for try := 1; err == nil && try < 4; try++ {
			time.Sleep(100 * time.Millisecond)
			if g.alive() {
				break
			}
			g, err = startGateway(w.bin, w.dir, name, zone, w.store.addr) // a port was taken meanwhile
		}
		if err != nil {
			return err
		}
		w.gateways = append(w.gateways, g)
	}
	return nil
}

func (w *World) awaitReady() error {
	for _, g := range w.gateways {
		if err := g.awaitReady(10 * time.Second); err != nil {
			return err
		}
	}
	return nil
}

func (w *World) addRunner(id, service, zone string, work time.Duration) (*Runner, error) {
	r, err := startRunner(id, service, zone, work)
	if err == nil {
		w.runners = append(w.runners, r)
	}
	return r, err
}

// send sends one request over a connection of its own and waits for its answer.
func (w *World) send(g *Gateway, method, host, path, key string, deadline time.Duration) *Request {
	w.mu.Lock()
	w.next++
	r := &Request{ID: fmt.Sprintf("q%06d", w.next), Key: key, Gateway: g.name, Sent: time.Now()}
	w.requests = append(w.requests, r)
	w.mu.Unlock()
	q, err := http.NewRequest(method, "http://"+g.addr+path, strings.NewReader(""))
	if err != nil {
		panic(err)
	}
	q.Host = host
	q.Close = true
	q.Header.Set("Request-Id", r.ID)
	q.Header.Set("Deadline", fmt.Sprint(deadline.Milliseconds()))
	if key != "" {
		q.Header.Set("Authorization", "Token "+key)
	}
	client := http.Client{Timeout: deadline, Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	response, err := client.Do(q)
	status, body, stamp, text := 0, "", "", ""
	if err == nil {
		raw, readErr := io.ReadAll(response.Body)
		response.Body.Close()
		status, body, stamp = response.StatusCode, string(raw), response.Header.Get("Response-Stamp")
		err = readErr
	}
	if err != nil {
		text = err.Error()
	}
	w.mu.Lock()
	r.Ended, r.Status, r.Body, r.Stamp, r.Err = time.Now(), status, body, stamp, text
	w.mu.Unlock()
	return r
}

// traffic sends a request to each gateway in turn, every interval, until stop is closed.
func (w *World) traffic(stop <-chan struct{}, all *sync.WaitGroup, interval time.Duration, one func(g *Gateway)) {
	all.Add(1)
	go func() {
		defer all.Done()
		ticker := time.NewTicker(interval)
		defer ticker.Stop()
		for i := 0; ; i++ {
			select {
			case <-ticker.C:
			case <-stop:
				return
			}
			g := w.gateways[i%len(w.gateways)]
			all.Add(1)
			go func() {
				defer all.Done()
				one(g)
			}()
		}
	}()
}

// ran returns the runs of all runners by request.
func (w *World) ran() map[string][]Run {
	runs := map[string][]Run{}
	for _, r := range w.runners {
		for _, run := range r.ran() {
			runs[run.ID] = append(runs[run.ID], run)
		}
	}
	return runs
}

// recordRequests writes all requests, with their answers and runs.
func (w *World) recordRequests() {
	runs := w.ran()
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintln(w.out, "# requests: id, gateway, key, sent at, answered at, status, error; runs: runner, tenant, at")
	for _, r := range w.requests {
		fmt.Fprintf(w.out, "%s %s key=%s sent=%.3f ended=%.3f status=%d %s", r.ID, r.Gateway, r.Key, w.since(r.Sent), w.since(r.Ended), r.Status, r.Err)
		for _, run := range runs[r.ID] {
			fmt.Fprintf(w.out, " run=%s,%s,%.3f", run.Runner, run.Tenant, w.since(run.At))
		}
		fmt.Fprintln(w.out)
	}
}

// recordLogs writes the lines of the gateways' logs that contain one of the words.
func (w *World) recordLogs(words ...string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, g := range w.gateways {
		raw, _ := os.ReadFile(filepath.Join(w.dir, g.name+".log"))
		for _, line := range strings.Split(string(raw), "\n") {
			for _, word := range words {
				if strings.Contains(line, word) {
					fmt.Fprintf(w.out, "# %s: %s\n", g.name, line)
					break
				}
			}
		}
	}
}

func (w *World) close() {
	for _, g := range w.gateways {
		g.kill()
	}
	for _, r := range w.runners {
		r.close()
	}
	if w.store != nil {
		_ = w.store.server.Close()
	}
}

var cases = map[string]func(w *World) (broken bool, err error){}

func main() {
	name := flag.String("case", "", "the case to play")
	bin := flag.String("bin", "target/sequoialead", "the project's program")
	out := flag.String("record", "record.txt", "the file for what was sent, answered and run")
	flag.Parse()
	os.Exit(play(*name, *bin, *out))
}

func play(name, bin, out string) int {
	run := cases[name]
	if run == nil {
		fmt.Println("unknown case:", name)
		return 2
	}
	dir, err := os.MkdirTemp("", "review3-")
	if err != nil {
		fmt.Println(err)
		return 2
	}
	defer os.RemoveAll(dir)
	file, err := os.Create(out)
	if err != nil {
		fmt.Println(err)
		return 2
	}
	defer file.Close()
	w := &World{bin: bin, dir: dir, trouble: os.Getenv("TROUBLE") != "0", start: time.Now(), out: file}
	defer w.close()
	if w.store, err = newStore(); err != nil {
		fmt.Println(err)
		return 2
	}
	broken, err := run(w)
	switch {
	case err != nil:
		w.record("the case couldn't run: %v", err)
		fmt.Println("the case couldn't run:", err)
		return 2
	case broken:
		fmt.Println("the rule was broken")
		return 1
	}
	fmt.Println("the rule held")
	return 0
}
