package testscripts

import (
	"fmt"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"sequoialead/fake/backend"
	"sequoialead/fake/store"
)

const (
	// restoreOutage is how long the store is away before it comes back from an older copy.
	restoreOutage = 300 * time.Millisecond
	// restoreSettle is the time after the return of the store until all processes are in
	// touch with it again.
	restoreSettle = 3 * time.Second
)

// restore lets the store be away for a moment and come back from a snapshot.
func (g *gatewaySite) restore(snapshot store.Snapshot) {
	g.store.SetFault(store.Fault{Down: true})
	time.Sleep(restoreOutage)
	g.store.Restore(snapshot)
	g.store.SetFault(store.Fault{})
}

// waitForStatus waits until a gateway answers a request with the given status.
func (g *gatewaySite) waitForStatus(p *gatewayProcess, key string, want int) {
	g.t.Helper()
	g.waitFor(fmt.Sprintf("gateway %d answers with %d", p.index, want), func() bool {
		status, _, _ := g.sendRequest(p, "GET", "/check/", "wait", key)
		return status == want
	})
}

// TestKeyRevokedAfterReturnOfStore guards against a key that is accepted for good, because the
// version that revokes it got an offset that an earlier version had before the store came back
// from an older copy.
func TestKeyRevokedAfterReturnOfStore(t *testing.T) {
	c := qt.New(t)
	g := newGateways(t, 2)
	g.configure(3, 500, `,"k2"`)
	for _, p := range g.procs {
		g.waitForStatus(p, "k2", 200)
	}
	older := g.store.Snapshot()
	g.configure(5, 501, `,"k2"`)
	time.Sleep(restoreSettle)
	g.configure(8, 502, `,"k2","k3"`)
	for _, p := range g.procs {
		g.waitForStatus(p, "k3", 200)
	}
	g.restore(older)
	g.configure(8, 502, `,"k2","k3"`)
	time.Sleep(restoreSettle)
	g.configure(9, 502, `,"k3"`)
	time.Sleep(g.revocationTimeout)
	for _, p := range g.procs {
		status, _, _ := g.sendRequest(p, "GET", "/check/", "revoked", "k2")
		c.Check(status, qt.Equals, 401)
		status, _, _ = g.sendRequest(p, "GET", "/check/", "kept", "k3")
		c.Check(status, qt.Equals, 200)
	}
}

// TestRouteMovedAfterReturnOfStore guards against a version that is never read, because the
// operator's topic had grown to its old end again before the next read, so that the store
// answered it without an error.
func TestRouteMovedAfterReturnOfStore(t *testing.T) {
	c := qt.New(t)
	g := newGateways(t, 2)
	g.addBackend("other-1", "other", backend.Options{Slots: 4})
	older := g.store.Snapshot()
	g.configure(5, 500, `,"k2"`)
	time.Sleep(restoreSettle)
	g.configure(8, 500, `,"k2","k3"`)
	for _, p := range g.procs {
		g.waitForStatus(p, "k3", 200)
	}
	g.store.Restore(older)
	g.configure(8, 500, `,"k2","k3"`)
	moved := strings.ReplaceAll(fmt.Sprintf(configTemplate, 9, 500, `,"k3"`), `"service":"desk"`, `"service":"other"`)
	g.store.Put("keyed.op", "config", []byte(strings.Replace(moved, `{"name":"desk",`, `{"name":"other","max_conns":50},{"name":"desk",`, 1)))
	time.Sleep(restoreSettle)
	before := len(g.backends["desk-1"].Arrivals()) + len(g.backends["desk-2"].Arrivals())
	for i, p := range g.procs {
		for n := range 20 {
			status, _, _ := g.sendRequest(p, "GET", "/check/", fmt.Sprintf("moved%d-%d", i, n), "k3")
			c.Check(status, qt.Equals, 200)
		}
	}
	c.Check(len(g.backends["desk-1"].Arrivals())+len(g.backends["desk-2"].Arrivals()), qt.Equals, before)
	c.Check(g.backends["other-1"].Arrivals(), qt.HasLen, 40)
}
