package testscripts

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestLastKeyRevokedLocksCallersOut guards against routes that are open to everyone once the
// last key has been revoked.
func TestLastKeyRevokedLocksCallersOut(t *testing.T) {
	for _, tenants := range []string{`[{"name":"mere","api_keys":[]}]`, `[{"name":"mere"}]`, `[]`} {
		t.Run(tenants, func(t *testing.T) {
			c := qt.New(t)
			g := newGateways(t, 2)
			text := fmt.Sprintf(configTemplate, 2, 500, "")
			start := strings.Index(text, `"tenants":`)
			g.store.Put("keyed.op", "config", []byte(text[:start]+`"tenants":`+tenants+`}`))
			for _, p := range g.procs {
				g.waitFor("the key is refused", func() bool {
					status, _, _ := g.sendRequest(p, "GET", "/check/", "revoked", "k1")
					return status == 401
				})
				for _, key := range []string{"k1", "k9", ""} {
					for n := range 5 {
						status, _, _ := g.sendRequest(p, "POST", "/hold/x", fmt.Sprintf("after%d", n), key)
						c.Check(status, qt.Equals, 401, qt.Commentf("key %q", key))
					}
				}
			}
			for _, id := range []string{"desk-1", "desk-2"} {
				for _, arrival := range g.backends[id].Arrivals() {
					c.Check(strings.HasPrefix(arrival.ID, "after"), qt.IsFalse, qt.Commentf("%s ran", arrival.ID))
				}
			}
		})
	}
}

// TestManyLargeVersionsRevokeInTime guards against a key that is accepted for seconds after
// it was revoked, because a gateway takes the part of the versions that fits into one answer
// of the store for all of them.
func TestManyLargeVersionsRevokeInTime(t *testing.T) {
	const versions, routes, gap = 25, 1200, 40 * time.Millisecond
	c := qt.New(t)
	g := newGateways(t, 3)
	var extra strings.Builder
	for n := range routes {
		fmt.Fprintf(&extra, `{"name":"extra-%04d","host":"x","path_prefix":"/p%04d/","kind":"safe","timeout_ms":2000,"slo_ms":500,"service":"desk","max_attempts":2,"public":false},`, n, n)
	}
	put := func(version int, keys string) {
		text := fmt.Sprintf(configTemplate, version, 500, keys)
		g.store.Put("keyed.op", "config", []byte(strings.Replace(text, `"routes":[`, `"routes":[`+extra.String(), 1)))
	}
	put(2, `,"k2"`)
	for _, p := range g.procs {
		g.waitFor("the second key is accepted", func() bool {
			status, _, _ := g.sendRequest(p, "GET", "/check/", "first", "k2")
			return status == 200
		})
	}
	for n := range versions - 1 {
		put(3+n, `,"k2"`)
		time.Sleep(gap)
	}
	put(2+versions, "")
	revoked := time.Now()
	var mu sync.Mutex
	accepted := map[int]time.Duration{}
	var callers sync.WaitGroup
	for _, p := range g.procs {
		callers.Go(func() {
			for n := 0; time.Since(revoked) < 8*time.Second; n++ {
				sentAt := time.Since(revoked)
				if status, _, _ := g.sendRequest(p, "GET", "/check/", fmt.Sprintf("g%d-%d", p.index, n), "k2"); status == 200 {
					mu.Lock()
					accepted[p.index] = sentAt
					mu.Unlock()
				}
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
	callers.Wait()
	for index, last := range accepted {
		c.Check(last < 2*time.Second, qt.IsTrue, qt.Commentf("gateway %d accepted the key %s after it was revoked", index, last))
	}
	for _, p := range g.procs {
		status, body, _ := g.sendRequest(p, "GET", "/check/", "last", "k1")
		c.Check(status, qt.Equals, 200, qt.Commentf("%s", body))
	}
}
