package testscripts

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

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
