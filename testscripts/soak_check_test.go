package testscripts

import (
	"fmt"
	"net/http"
	"regexp"
	"strings"
	"time"

	qt "github.com/frankban/quicktest"
)

// checkPropagation checks, once the faults have ended, that each gateway applies changes
// in time: it refuses a removed API key and sends nothing to a draining backend server.
func (s *soak) checkPropagation() {
	s.configure(4, 2000, "")
	s.putBackendRecordBorn("desk-1", "desk", s.backendOptions["desk-1"], "draining", 1800000000000)
	time.Sleep(soakApplyTimeout)
	before := len(s.backends["desk-1"].Arrivals())
	for i, p := range s.procs {
		for n := range 4 {
			if status, _, _ := s.sendRequest(p, "GET", "/check/", fmt.Sprintf("settled%d-%d", i, n), "k1"); status != http.StatusOK {
				s.t.Errorf("gateway %d answers with status %d after the faults have ended", i, status)
			}
		}
		if status, _, _ := s.sendRequest(p, "GET", "/check/", fmt.Sprintf("settled%d-k2", i), "k2"); status != http.StatusUnauthorized {
			s.t.Errorf("gateway %d answers a removed key with status %d", i, status)
		}
	}
	if after := len(s.backends["desk-1"].Arrivals()); after != before {
		s.t.Errorf("a draining backend server received %d requests", after-before)
	}
}

// checkHolds checks, once the faults have ended, that each gateway sends nothing to backend
// servers that have told it that they want nothing for a while.
func (s *soak) checkHolds() {
	const hold = time.Second
	desks := []string{"desk-1", "desk-2"}
	for i, p := range s.procs {
		for _, id := range desks {
			s.backends[id].Say(map[string]string{"Retry-After": "1"})
			s.backends[id].Refuse(true)
		}
		told := time.Now()
		s.sendRequest(p, "GET", "/check/", fmt.Sprintf("told%d", i), "k1")
		before := s.arrived(desks)
		for n := 0; n < 10 && time.Since(told) < hold-soakClockTolerance; n++ {
			if status, _, _ := s.sendRequest(p, "GET", "/check/", fmt.Sprintf("held%d-%d", i, n), "k1"); status != http.StatusServiceUnavailable {
				s.t.Errorf("gateway %d answers with status %d while no backend server wants anything", i, status)
			}
		}
		if after := s.arrived(desks); after != before {
			s.t.Errorf("backend servers that want nothing received %d requests from gateway %d", after-before, i)
		}
		for _, id := range desks {
			s.backends[id].Say(nil)
			s.backends[id].Refuse(false)
		}
	}
}

// checkLeaving checks, once the faults have ended, that each gateway sends nothing to backend
// servers that have told it that they are leaving, and uses them once they have restarted.
func (s *soak) checkLeaving() {
	desks := []string{"desk-1", "desk-2"}
	for i, p := range s.procs {
		n := 0
		s.waitFor("the gateway serves requests again after the hold", func() bool {
			n++
			status, _, _ := s.sendRequest(p, "GET", "/check/", fmt.Sprintf("free%d-%d", i, n), "k1")
			return status == http.StatusOK
		})
		for _, id := range desks {
			s.backends[id].Say(map[string]string{"Server-Leaving": "1"})
		}
		s.waitFor("the gateway sends nothing to servers that are leaving", func() bool {
			n++
			status, _, _ := s.sendRequest(p, "GET", "/check/", fmt.Sprintf("leaving%d-%d", i, n), "k1")
			return status == http.StatusServiceUnavailable
		})
		before := s.arrived(desks)
		for range 5 {
			n++
			s.sendRequest(p, "GET", "/check/", fmt.Sprintf("left%d-%d", i, n), "k1")
		}
		if after := s.arrived(desks); after != before {
			s.t.Errorf("backend servers that are leaving received %d requests from gateway %d", after-before, i)
		}
		for _, id := range desks {
			s.backends[id].Say(nil)
		}
	}
	for _, id := range desks {
		s.putBackendRecordBorn(id, "desk", s.backendOptions[id], "ready", 1800000000000)
	}
	for i, p := range s.procs {
		n := 0
		s.waitFor("the gateway serves requests again after a restart of the servers", func() bool {
			n++
			status, _, _ := s.sendRequest(p, "GET", "/check/", fmt.Sprintf("restarted%d-%d", i, n), "k1")
			return status == http.StatusOK
		})
	}
}

// arrived returns the number of requests that have reached the given backend servers.
func (s *soak) arrived(ids []string) int {
	n := 0
	for _, id := range ids {
		n += len(s.backends[id].Arrivals())
	}
	return n
}

// checkRequests compares the answers that callers got with the requests that the
// backend servers recorded.
func (s *soak) checkRequests() {
	ran := map[string]int{}
	for id, b := range s.backends {
		for _, violation := range b.WrongInputs() {
			s.t.Errorf("%s got inputs of another request: %s", id, violation)
		}
		for _, arrival := range b.Arrivals() {
			if !arrival.Ran {
				continue
			}
			ran[arrival.ID]++
			if arrival.Header.Get("Tenant") != "mere" || arrival.Header.Get("Authorization") != "" {
				s.t.Errorf("%s ran %s with tenant %q or with the caller's credentials", id, arrival.ID, arrival.Header.Get("Tenant"))
			}
			if strings.Count(arrival.ID, "-") == 2 && arrival.Body != "body of "+arrival.ID {
				s.t.Errorf("%s got body %q for request %s", id, arrival.Body, arrival.ID)
			}
		}
	}
	served := 0
	for _, a := range s.requests {
		s.checkRequest(a, ran[a.id])
		if a.status == http.StatusOK && a.complete {
			served++
		}
	}
	s.t.Logf("%d of %d requests were served", served, len(s.requests))
	qt.Check(s.t, served > 0, qt.IsTrue)
}

// checkRequest checks one answer, given how often backend servers ran the request.
func (s *soak) checkRequest(a soakRequest, ran int) {
	if a.kind == "hold" && ran > 1 {
		s.t.Errorf("%s ran %d times", a.id, ran)
	}
	if a.kind == "hold" && ran > 0 && a.status == http.StatusServiceUnavailable {
		s.t.Errorf("%s was refused as not run, but ran", a.id)
	}
	if a.key == "k2" && !s.keyRemoved.IsZero() && a.sent.Sub(s.keyRemoved) > soakRevocationTimeout+soakClockTolerance && ran > 0 {
		s.t.Errorf("%s ran although it was sent %s after its key was removed", a.id, a.sent.Sub(s.keyRemoved))
	}
	if a.status != http.StatusOK {
		return
	}
	if !strings.HasSuffix(a.stamp, "."+a.id) {
		s.t.Errorf("%s got an answer with stamp %q", a.id, a.stamp)
	}
	if a.kind != "draft" {
		if a.complete && !regexp.MustCompile(`^desk-\d answers `+a.id+`$`).MatchString(a.body) {
			s.t.Errorf("%s got answer %q", a.id, a.body)
		}
		return
	}
	want := ""
	for n := 1; n <= 5; n++ {
		want += fmt.Sprintf("id: %d\ndata: token %d\n\n", n, n)
	}
	if a.complete && a.body != want || !strings.HasPrefix(want, a.body) {
		s.t.Errorf("%s got stream %q (complete: %t)", a.id, a.body, a.complete)
	}
}
