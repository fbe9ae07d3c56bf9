package testscripts

import (
	"fmt"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"sequoialead/fake/backend"
)

// TestStageLargerThanTheRoomEndsNoGateway guards against a route whose stage makes results
// larger than the room of the backend servers: each request on it ended the process of the
// leader, then of the next ones, and cut all other requests there.
func TestStageLargerThanTheRoomEndsNoGateway(t *testing.T) {
	c := qt.New(t)
	g := newGateways(t, 3)
	for _, p := range g.procs {
		status, body, _ := g.sendRequest(p, "POST", "/draft/x", fmt.Sprintf("before%d", p.index), "k1")
		c.Assert(status, qt.Equals, 200, qt.Commentf("%s", body))
	}
	g.addBackend("encode-2", "encode", backend.Options{Slots: 1, Room: 0, ServiceTime: 20 * time.Millisecond})
	g.store.Put("keyed.servers", "encode-1", nil)
	large := fmt.Sprintf(configTemplate, 2, 500, "")
	large = strings.Replace(large, `"bytes":10`, `"bytes":2000000`, 1) // of 1 MB
	g.store.Put("keyed.op", "config", []byte(large))
	g.waitFor("a request is refused for its size", func() bool {
		status, body, _ := g.sendRequest(g.procs[0], "POST", "/draft/x", "b1", "k1")
		return status == 503 && strings.HasPrefix(body, "room")
	})
	for n := range 12 {
		p := g.procs[n%len(g.procs)]
		status, body, _ := g.sendRequest(p, "POST", "/draft/x", fmt.Sprintf("large%d", n), "k1")
		c.Assert(status, qt.Equals, 503, qt.Commentf("%s", body))
		status, body, _ = g.sendRequest(p, "GET", "/check/", fmt.Sprintf("check%d", n), "k1")
		c.Assert(status, qt.Equals, 200, qt.Commentf("%s", body))
	}
	for _, p := range g.procs {
		select {
		case err := <-p.exited:
			p.exited <- err // the cleanup receives it again
			t.Errorf("gateway %d has ended: %v", p.index, err)
		default:
		}
	}
}
