package testscripts

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"sequoialead/fake/backend"
)

// TestPlannedStopCutsNoRequest guards against a stopping gateway that passes requests on
// which cannot end before its process does, and cuts them without an answer. Callers open
// new connections until the process is gone, as a balancer does that has too few others, or go
// on with those that they have.
func TestPlannedStopCutsNoRequest(t *testing.T) {
	tests := []struct {
		desc   string
		method string
		path   string
		// work is the time that a backend server takes, and pause the time between requests.
		work  time.Duration
		pause time.Duration
		// kept is set if connections are used for as many requests as they bear.
		kept bool
	}{
		{"requests that may not be repeated", "POST", "/hold/x", 600 * time.Millisecond, 20 * time.Millisecond, false},
		{"requests that may be repeated", "GET", "/check/x", 600 * time.Millisecond, 20 * time.Millisecond, false},
		{"requests that take longer than the stop", "POST", "/hold/x", 1900 * time.Millisecond, 50 * time.Millisecond, false},
		{"requests with nothing in flight between them", "POST", "/hold/x", 250 * time.Millisecond, 260 * time.Millisecond, false},
		{"requests on kept connections", "POST", "/hold/x", 600 * time.Millisecond, 20 * time.Millisecond, true},
		{"requests that are rare, on kept connections", "POST", "/hold/x", 200 * time.Millisecond, 330 * time.Millisecond, true},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			c := qt.New(t)
			g := newGateways(t, 1)
			p := g.procs[0]
			g.addBackend("desk-3", "desk", backend.Options{Slots: 100, ServiceTime: test.work})
			for _, id := range []string{"desk-1", "desk-2"} {
				g.store.Put("keyed.servers", id, nil)
			}
			g.waitFor("requests reach the slow server", func() bool {
				_, _, _ = g.sendRequest(p, "GET", "/check/x", "b1", "k1")
				return len(g.backends["desk-3"].Arrivals()) > 0
			})
			var mu sync.Mutex
			unanswered := map[string]time.Duration{}
			statuses := map[int]int{}
			var callers sync.WaitGroup
			client := &http.Transport{DisableKeepAlives: !test.kept, MaxIdleConnsPerHost: 100}
			defer client.CloseIdleConnections()
			for n := range 20 { // opens the connections that are kept
				callers.Go(func() { _ = g.sendThrough(client, p, test.method, test.path, fmt.Sprintf("w%d", n)) })
			}
			callers.Wait()
			stopped := make(chan struct{})
			c.Assert(p.cmd.Process.Signal(syscall.SIGTERM), qt.IsNil)
			start := time.Now()
			callers.Go(func() {
				for n := 0; ; n++ {
					select {
					case <-stopped:
						return
					case <-time.After(test.pause):
					}
					callers.Go(func() {
						id, sentAt := fmt.Sprintf("s%d", n), time.Since(start)
						status := g.sendThrough(client, p, test.method, test.path, id)
						mu.Lock()
						defer mu.Unlock()
						statuses[status]++
						if status == 0 {
							unanswered[id] = sentAt
						}
					})
				}
			})
			c.Assert(<-p.exited, qt.IsNil)
			p.exited <- nil // the cleanup receives it again
			close(stopped)
			callers.Wait()
			for _, arrival := range g.backends["desk-3"].Arrivals() {
				sentAt, cut := unanswered[arrival.ID]
				c.Check(cut, qt.IsFalse, qt.Commentf("%s, sent %s after the signal, was passed on and got no answer", arrival.ID, sentAt))
			}
			c.Assert(statuses[http.StatusOK] > 0, qt.IsTrue, qt.Commentf("%v", statuses))
		})
	}
}

// sendThrough sends a request through a client, which doesn't send it again, and returns the
// status of the answer; 0 if there is none.
func (g *gatewaySite) sendThrough(client *http.Transport, p *gatewayProcess, method, path, id string) int {
	r, err := http.NewRequest(method, "http://"+p.callerAddr.String()+path, strings.NewReader("body"))
	if err != nil {
		g.t.Error(err)
		return 0
	}
	r.Host = "h"
	r.Header.Set("Request-Id", id)
	r.Header.Set("Deadline", "2000")
	r.Header.Set("Authorization", "Token k1")
	r.GetBody = nil
	response, err := client.RoundTrip(r)
	if err != nil {
		return 0
	}
	_, _ = io.Copy(io.Discard, response.Body) // the status alone is of interest
	_ = response.Body.Close()
	return response.StatusCode
}
