package testscripts

import (
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"sequoialead/fake/backend"
)

// stopGrace is the setting grace of the gateways of this package's tests.
const stopGrace = 5 * time.Second

// TestStopWithCallersThatHoldConnections guards against a stopping gateway that still runs at the
// end of its grace, because callers keep connections, don't read their answers, or have sent a
// part of a body.
func TestStopWithCallersThatHoldConnections(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nResponse-Stamp: s.ID\r\n"
	long := strings.Repeat("x", 64<<10)
	unread := func(conn net.Conn, n int, _ *rand.Rand) error {
		_ = conn.(*net.TCPConn).SetReadBuffer(4 << 10)
		path := []string{"/bulk/x", "/tale/x"}[n%2]
		return sendAll(conn, []byte(floodHead("POST", path, fmt.Sprintf("f%d", n))+"Content-Length: 4\r\n\r\nbody"))
	}
	kept := func(conn net.Conn, n int, _ *rand.Rand) error {
		return sendAll(conn, []byte(floodHead("POST", "/check/x", fmt.Sprintf("f%d", n))+"Content-Length: 4\r\n\r\nbody"))
	}
	part := openChunked(chunks(100_000, 8<<10))
	tests := []struct {
		desc string
		run  member
	}{
		{"kept connections", kept},
		{"unread answers", unread},
		{"parts of bodies", part},
		{"parts of heads", func(conn net.Conn, n int, _ *rand.Rand) error {
			return sendAll(conn, []byte(floodHead("POST", "/check/x", "f1")))
		}},
		{"all", func(conn net.Conn, n int, random *rand.Rand) error {
			return []member{kept, unread, part}[n%3](conn, n/3, random)
		}},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			c := qt.New(t)
			g := startGateways(t, &gatewaySite{revocationTimeout: 5 * time.Second}, 1)
			p := g.procs[0]
			g.store.Put("keyed.op", "config", []byte(floodConfig()))
			bulk := newEndlessServer(t, head+"\r\n", func(int) string { return long })
			events := newEndlessServer(t, head+"Content-Type: text/event-stream\r\n\r\n", func(n int) string {
				return fmt.Sprintf("id: %d\ndata: %s\n\n", n+1, long[:4<<10])
			})
			g.removeBackends("model")
			g.putBackendRecord("bulk-1", "bulk", backend.Options{Slots: 64, Addr: bulk.String()}, "ready")
			g.putBackendRecord("model-endless", "model", backend.Options{Slots: 64, Addr: events.String()}, "ready")
			time.Sleep(serversRead)
			for n := range 60 {
				conn, err := net.Dial("tcp", p.callerAddr.String())
				c.Assert(err, qt.IsNil)
				defer func() { _ = conn.Close() }()
				go func() { _ = test.run(conn, n, nil) }() // fails once the gateway closes the connection
			}
			time.Sleep(time.Second)
			c.Assert(p.cmd.Process.Signal(syscall.SIGTERM), qt.IsNil)
			start := time.Now()
			err := <-p.exited
			took := time.Since(start)
			p.exited <- err // the cleanup receives it again
			t.Logf("ended after %s", took)
			c.Assert(err, qt.IsNil)
			c.Assert(took < stopGrace, qt.IsTrue, qt.Commentf("%s", took))
		})
	}
}
