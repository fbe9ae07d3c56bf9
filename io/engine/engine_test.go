package engine_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"sequoialead"
	"sequoialead/io/engine"
)

// newRawServer starts a server that reads each request and lets answer write to its
// connection, which it then closes.
func newRawServer(t *testing.T, answer func(conn net.Conn)) netip.AddrPort {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				request, err := http.ReadRequest(bufio.NewReader(conn))
				if err != nil {
					return
				}
				_, _ = io.Copy(io.Discard, request.Body)
				answer(conn)
			}()
		}
	}()
	return netip.MustParseAddrPort(l.Addr().String())
}

// reply collects an answer.
type reply struct{ text strings.Builder }

func (r *reply) Chunk(p []byte) error { r.text.Write(p); return nil }
func (r *reply) Flush() error         { return nil }

func do(t *testing.T, addr netip.AddrPort, op sequoialead.Op, idempotent bool) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	client := engine.New(addr)
	defer func() { _ = client.Close() }()
	var r reply
	_, err := client.Do(ctx, sequoialead.Call{Op: op, Path: "/x", Idempotent: idempotent, Body: []byte("{}")}, sequoialead.Boot{ID: "b"}, &r)
	if ctx.Err() != nil {
		t.Errorf("the call took 10 s")
	}
	return r.text.String(), err
}

// Bytes without end are no answer, and are not kept.
func TestBytesWithoutEnd(t *testing.T) {
	long := strings.Repeat("x", 16<<10)
	tests := []struct {
		desc  string
		op    sequoialead.Op
		first string
		again string
	}{
		{"no answer", sequoialead.OpInvoke, "", long},
		{"headers", sequoialead.OpInvoke, "HTTP/1.1 200 OK\r\n", "X-A: b\r\n"},
		{"a header", sequoialead.OpInvoke, "HTTP/1.1 200 OK\r\nX-A: ", long},
		{"an event", sequoialead.OpGenerate, "HTTP/1.1 200 OK\r\n\r\ndata: ", long},
		{"a failure", sequoialead.OpInvoke, "HTTP/1.1 500 Failed\r\n\r\n", long},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			c := qt.New(t)
			sent := make(chan int, 1)
			addr := newRawServer(t, func(conn net.Conn) {
				n, _ := io.WriteString(conn, test.first)
				for {
					m, err := io.WriteString(conn, test.again)
					if n += m; err != nil {
						sent <- n
						return
					}
				}
			})
			_, err := do(t, addr, test.op, false)
			c.Assert(err, qt.IsNotNil)
			c.Assert(len(err.Error()) < 1000, qt.IsTrue)
			// What the kernel buffers counts as sent.
			n := <-sent
			c.Assert(n < 8<<20, qt.IsTrue, qt.Commentf("%d bytes were sent", n))
		})
	}
}
