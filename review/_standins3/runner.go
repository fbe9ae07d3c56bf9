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

// arrival is a request that reached a runner.
type arrival struct {
	id   string
	at   time.Time
	sent time.Time // by the requester, as far as the case tells
}

// runner is a stand-in for a sound backend server of a plain service.
type runner struct {
	site    *site
	id      string
	service string
	addr    string
	slots   int
	work    time.Duration
	born    int64

	mu       sync.Mutex
	arrivals []arrival
	running  int
	coldEnd  time.Time
	// crashRate is the number of requests in one second at which the runner crashes while it is
	// cold; 0 for never. downEnd is when it is back.
	crashRate int
	downEnd   time.Time
	lost      int
	stop      chan struct{}
}

// startRunner starts a runner that registers itself and renews its entry every heartbeat.
func (s *site) startRunner(id, service string, slots int, work time.Duration) *runner {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	check(err)
	r := &runner{site: s, id: id, service: service, slots: slots, work: work, born: time.Now().UnixMilli(), stop: make(chan struct{})}
	r.addr = s.serve(l, r)
	r.writeEntry()
	return r
}

// entry returns the fields of the runner's entry.
func (r *runner) entry() map[string]any {
	r.mu.Lock()
	defer r.mu.Unlock()
	return map[string]any{
		"service": r.service, "addr": r.addr, "zone": "a", "version": "1", "slots": r.slots, "state": "ready",
		"cold_left_ms": max(time.Until(r.coldEnd).Milliseconds(), 0), "seq": time.Now().UnixMilli() - r.born, "born": r.born,
	}
}

func (r *runner) writeEntry() {
	raw, err := json.Marshal(r.entry())
	check(err)
	r.site.store.Put("keyed.servers", r.id, raw)
}

// ServeHTTP runs a request.
func (r *runner) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	if expect := q.Header.Get("Expect-Instance"); expect != "" && expect != r.id {
		w.Header().Set("Request-Id", q.Header.Get("Request-Id"))
		w.Header().Set("Not-Run", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if _, err := io.Copy(io.Discard, q.Body); err != nil {
		panic(http.ErrAbortHandler)
	}
	id := q.Header.Get("Request-Id")
	ms, _ := strconv.ParseInt(q.Header.Get("Sent-Ms"), 10, 64) // a header of the requester of the case
	r.mu.Lock()
	r.arrivals = append(r.arrivals, arrival{id: id, at: time.Now(), sent: time.UnixMilli(ms)})
	r.running++
	r.crashIfOverrun()
	running := r.running
	r.mu.Unlock()
	time.Sleep(r.work)
	r.mu.Lock()
	r.running--
	down := time.Now().Before(r.downEnd)
	if down {
		r.lost++
	}
	r.mu.Unlock()
	if down {
		panic(http.ErrAbortHandler) // the crash has reset the connection
	}
	h := w.Header()
	h.Set("Request-Id", id)
	h.Set("Response-Stamp", r.id+"."+id)
	h.Set("Instance-Load", fmt.Sprintf("%d,0,%d", running, r.slots))
	_, _ = io.WriteString(w, r.id+" answers "+id) // the gateway may have left
}

// list returns the arrivals so far.
func (r *runner) list() []arrival {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]arrival(nil), r.arrivals...)
}

// crashIfOverrun crashes the runner if it is cold and has got far too much in the last second.
// r.mu must be held.
func (r *runner) crashIfOverrun() {
	now := time.Now()
	if r.crashRate == 0 || now.After(r.coldEnd) || now.Before(r.downEnd) {
		return
	}
	n := 0
	for i := len(r.arrivals) - 1; i >= 0 && now.Sub(r.arrivals[i].at) < time.Second; i-- {
		n++
	}
	if n > r.crashRate {
		r.downEnd = now.Add(2 * time.Second)
		r.site.record("%s has crashed: %d requests in a second while cold", r.id, n)
	}
}
