package testscripts

import (
	"fmt"
	"net/http"
	"regexp"
	"strings"
	"time"

	qt "github.com/frankban/quicktest"
)

// settled checks once the faults are over that each entry follows the operator
// and the backend servers in time: what leaves gets nothing more.
func (s *soak) settled() {
	s.configure(4, 2000, "")
	s.register("desk-1", "desk", s.registered["desk-1"], "draining")
	time.Sleep(soakInForce)
	before := len(s.backends["desk-1"].Seen())
	for i, p := range s.procs {
		for n := range 4 {
			if status, _, _ := s.ask(p, "GET", "/check/", fmt.Sprintf("settled%d-%d", i, n), "k1"); status != http.StatusOK {
				s.t.Errorf("entry %d answers with %d after the faults", i, status)
			}
		}
		if status, _, _ := s.ask(p, "GET", "/check/", fmt.Sprintf("settled%d-k2", i), "k2"); status != http.StatusUnauthorized {
			s.t.Errorf("entry %d answers a key that was taken away with %d", i, status)
		}
	}
	if after := len(s.backends["desk-1"].Seen()); after != before {
		s.t.Errorf("a backend server that leaves got %d requests", after-before)
	}
}

// check compares what callers were told with what backend servers saw.
func (s *soak) check() {
	ran := map[string]int{}
	for id, b := range s.backends {
		for _, wrong := range b.Wrong() {
			s.t.Errorf("%s is asked for %s", id, wrong)
		}
		for _, seen := range b.Seen() {
			if !seen.Ran {
				continue
			}
			ran[seen.ID]++
			if seen.Header.Get("Tenant") != "mere" || seen.Header.Get("Authorization") != "" {
				s.t.Errorf("%s runs %s for %q", id, seen.ID, seen.Header.Get("Tenant"))
			}
			if strings.Count(seen.ID, "-") == 2 && seen.Body != "body of "+seen.ID {
				s.t.Errorf("%s gets %q for %s", id, seen.Body, seen.ID)
			}
		}
	}
	served := 0
	for _, a := range s.asks {
		s.checkOne(a, ran[a.id])
		if a.status == http.StatusOK && a.whole {
			served++
		}
	}
	s.t.Logf("%d of %d requests were served", served, len(s.asks))
	qt.Check(s.t, served > 0, qt.IsTrue)
}

func (s *soak) checkOne(a soakAsk, ran int) {
	if a.kind == "hold" && ran > 1 {
		s.t.Errorf("%s ran %d times", a.id, ran)
	}
	if a.kind == "hold" && ran > 0 && a.status == http.StatusServiceUnavailable {
		s.t.Errorf("%s was told as not run, and ran", a.id)
	}
	if a.key == "k2" && !s.taken.IsZero() && a.sent.Sub(s.taken) > soakRevoke+soakSlack && ran > 0 {
		s.t.Errorf("%s ran %s after its key was taken away", a.id, a.sent.Sub(s.taken))
	}
	if a.status != http.StatusOK {
		return
	}
	if !strings.HasSuffix(a.stamp, "."+a.id) {
		s.t.Errorf("%s has the stamp %q", a.id, a.stamp)
	}
	if a.kind != "draft" {
		if a.whole && !regexp.MustCompile(`^desk-\d answers `+a.id+`$`).MatchString(a.body) {
			s.t.Errorf("%s is answered with %q", a.id, a.body)
		}
		return
	}
	want := ""
	for n := 1; n <= 5; n++ {
		want += fmt.Sprintf("id: %d\ndata: token %d\n\n", n, n)
	}
	if a.whole && a.body != want || !strings.HasPrefix(want, a.body) {
		s.t.Errorf("%s is answered with %q (whole: %t)", a.id, a.body, a.whole)
	}
}
