package testscripts

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"syscall"
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
	// drainTimeout is the time within which a server that leaves must get no more requests.
	drainTimeout = 2 * time.Second
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

// TestServersLeaveAfterReturnOfStore guards against requests to a server that leaves, or whose
// record is deleted, after the store came back from an older copy, because its record got an
// offset below that of its record from before.
func TestServersLeaveAfterReturnOfStore(t *testing.T) {
	c := qt.New(t)
	g := newGateways(t, 2)
	opts := backend.Options{Slots: 4, ServiceTime: 50 * time.Millisecond}
	for _, id := range []string{"desk-3", "desk-4"} {
		g.addBackend(id, "desk", opts)
	}
	write := func(id, state string) { g.putBackendRecord(id, "desk", g.backendOptions[id], state) }
	arrivals := func(id string) int { return len(g.backends[id].Arrivals()) }
	send := func(prefix string) {
		for round := range 10 {
			var sent sync.WaitGroup
			for i, p := range g.procs {
				for n := range 4 {
					sent.Go(func() {
						status, _, _ := g.sendRequest(p, "GET", "/check/", fmt.Sprintf("%s%d-%d-%d", prefix, round, i, n), "k1")
						c.Check(status, qt.Equals, 200)
					})
				}
			}
			sent.Wait()
		}
	}
	older := g.store.Snapshot()
	for range 5 {
		for _, id := range []string{"desk-1", "desk-2", "desk-3", "desk-4"} {
			write(id, "ready")
		}
	}
	g.addBackend("desk-5", "desk", opts) // its record isn't in the copy
	time.Sleep(restoreSettle)
	g.restore(older)
	send("live") // all servers are used through the return
	for _, id := range []string{"desk-1", "desk-2", "desk-3", "desk-4", "desk-5"} {
		c.Check(arrivals(id) > 0, qt.IsTrue, qt.Commentf("%s", id))
	}
	write("desk-5", "ready")
	time.Sleep(restoreSettle)
	write("desk-1", "draining")
	g.store.Put("keyed.servers", "desk-2", nil)
	time.Sleep(drainTimeout)
	before := []int{arrivals("desk-1"), arrivals("desk-2"), arrivals("desk-5")}
	send("left")
	c.Check(arrivals("desk-1"), qt.Equals, before[0])
	c.Check(arrivals("desk-2"), qt.Equals, before[1])
	c.Check(arrivals("desk-5") > before[2], qt.IsTrue)
}

// TestGatewayStartedAfterReturnOfStore guards against a key that a gateway accepts because the
// copy still has it, while the gateways that were there before the return know better.
func TestGatewayStartedAfterReturnOfStore(t *testing.T) {
	c := qt.New(t)
	g := newGateways(t, 2)
	g.configure(3, 500, `,"k2"`)
	for _, p := range g.procs {
		g.waitForStatus(p, "k2", 200)
	}
	older := g.store.Snapshot()
	g.configure(5, 500, "")
	for _, p := range g.procs {
		g.waitForStatus(p, "k2", 401)
	}
	g.restore(older)
	g.startGateway(2)
	started := g.procs[2]
	for n := range 100 {
		status, _, _ := g.sendRequest(started, "GET", "/check/", fmt.Sprintf("k2-%d", n), "k2")
		c.Assert(status, qt.Equals, 401)
		status, _, _ = g.sendRequest(started, "GET", "/check/", fmt.Sprintf("k1-%d", n), "k1")
		c.Assert(status, qt.Equals, 200)
		time.Sleep(10 * time.Millisecond)
	}
	for _, p := range g.procs {
		status, _, _ := g.sendRequest(p, "GET", "/check/", "old", "k2")
		c.Check(status, qt.Equals, 401)
	}
	g.configure(6, 500, `,"k2"`)
	for _, p := range g.procs {
		g.waitForStatus(p, "k2", 200)
	}
}

// TestReturnsOfStoreUnderTraffic guards against requests that are refused, and a revoked key
// that is accepted, while the store comes back from an older copy twice within seconds, and
// after one gateway was stopped in between.
func TestReturnsOfStoreUnderTraffic(t *testing.T) {
	c := qt.New(t)
	g := newGateways(t, 3)
	g.configure(3, 500, `,"k2"`)
	for _, p := range g.procs {
		g.waitForStatus(p, "k2", 200)
	}
	older := g.store.Snapshot()
	frozen := g.procs[2]
	c.Assert(frozen.cmd.Process.Signal(syscall.SIGSTOP), qt.IsNil)
	g.configure(5, 500, "")
	revokedBy := time.Now().Add(g.revocationTimeout)
	for _, p := range g.procs[:2] {
		g.waitForStatus(p, "k2", 401)
	}

	ctx, cancel := context.WithCancel(context.Background())
	var traffic sync.WaitGroup
	var mu sync.Mutex
	served := map[int]int{}
	for _, p := range g.procs[:2] {
		for _, key := range []string{"k1", "k2"} {
			traffic.Go(func() {
				for n := 0; ctx.Err() == nil; n++ {
					sentAt := time.Now()
					status, body, _ := g.sendRequest(p, "GET", "/check/", fmt.Sprintf("t%d-%s-%d", p.index, key, n), key)
					if key == "k1" {
						c.Check(status, qt.Equals, 200, qt.Commentf("%s", body))
					} else if sentAt.After(revokedBy) {
						c.Check(status, qt.Equals, 401)
					}
					mu.Lock()
					served[p.index]++
					mu.Unlock()
					time.Sleep(5 * time.Millisecond)
				}
			})
		}
	}
	g.restore(older)
	time.Sleep(time.Second)
	g.restore(older)
	time.Sleep(time.Until(revokedBy))
	c.Assert(frozen.cmd.Process.Signal(syscall.SIGCONT), qt.IsNil)
	for range 200 {
		status, _, _ := g.sendRequest(frozen, "GET", "/check/", "frozen", "k2")
		c.Assert(status != 200, qt.IsTrue)
		time.Sleep(10 * time.Millisecond)
	}
	g.waitForStatus(frozen, "k1", 200)
	cancel()
	traffic.Wait()
	for _, p := range g.procs[:2] {
		c.Check(served[p.index] > 100, qt.IsTrue, qt.Commentf("%d", served[p.index]))
	}
}
