package engine_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/joomcode/errorx"

	"sequoialead"
	"sequoialead/io/engine"
)

// newRawServer starts a server that reads each request and lets answer write to its
// connection, which it then closes.
func newRawServer(t *testing.T, answer func(conn net.Conn)) netip.AddrPort {
	return newEarlyServer(t, func(conn *net.TCPConn, request *http.Request) {
		_, _ = io.Copy(io.Discard, request.Body)
		answer(conn)
	})
}

// newEarlyServer starts a server that reads the head of each request and lets answer write to its
// connection, which it then closes.
func newEarlyServer(t *testing.T, answer func(conn *net.TCPConn, request *http.Request)) netip.AddrPort {
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
				if request, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
					answer(conn.(*net.TCPConn), request)
				}
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
	return send(t, addr, sequoialead.Call{Op: op, Path: "/x", Idempotent: idempotent, Body: []byte("{}")})
}

func send(t *testing.T, addr netip.AddrPort, call sequoialead.Call) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	client := engine.New(addr)
	defer func() { _ = client.Close() }()
	var r reply
	_, err := client.Do(ctx, call, sequoialead.Boot{ID: "b"}, &r)
	if ctx.Err() != nil {
		t.Errorf("the call took 10 s")
	}
	return r.text.String(), err
}

// A backend server that closes its connection before the end of an answer has not answered,
// wherever that is: a part of an answer must not pass for all of it.
func TestAnswerCutAnywhereIsLost(t *testing.T) {
	const event = "data: {\"choices\":[{\"text\":\"x\"}]}\n\n"
	const streamHead = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
	tests := []struct {
		desc   string
		op     sequoialead.Op
		answer string
		want   string
	}{
		{"a body with its length", sequoialead.OpInvoke, "HTTP/1.1 200 OK\r\nX-A: b\r\nContent-Length: 12\r\n\r\nwhole answer", "whole answer"},
		{"a body of chunks", sequoialead.OpInvoke, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n6\r\nwhole \r\n6\r\nanswer\r\n0\r\n\r\n", "whole answer"},
		{"events", sequoialead.OpGenerate, streamHead + fmt.Sprintf("%x\r\n%s\r\n", len(event), event) + "e\r\ndata: [DONE]\n\n\r\n0\r\n\r\n", "x"},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			for _, idempotent := range []bool{false, true} {
				for length := range len(test.answer) + 1 {
					c := qt.New(t)
					addr := newRawServer(t, func(conn net.Conn) { _, _ = io.WriteString(conn, test.answer[:length]) })
					text, err := do(t, addr, test.op, idempotent)
					if err == nil {
						// All events were there before the end of the framing.
						whole := length == len(test.answer) || test.op == sequoialead.OpGenerate && strings.Contains(test.answer[:length], "[DONE]")
						c.Assert(whole && text == test.want, qt.IsTrue, qt.Commentf("%q passed for an answer after %q", text, test.answer[:length]))
						continue
					}
					c.Assert(length < len(test.answer), qt.IsTrue, qt.Commentf("%v", err))
					c.Assert(errorx.IsOfType(err, sequoialead.ErrLost), qt.IsTrue, qt.Commentf("%v", err))
				}
			}
		})
	}
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

// A server that answers during an upload, without a length, and resets the connection has not
// answered; one that ends its side in order has.
func TestEarlyAnswer(t *testing.T) {
	const tries = 50
	upload := []byte(strings.Repeat("y", 16<<20)) // more than the kernel's buffers hold
	part := strings.Repeat("x", 24<<10)
	reset := func(conn *net.TCPConn) { _ = conn.SetLinger(0) }
	tests := []struct {
		desc  string
		end   func(conn *net.TCPConn, body io.Reader)
		whole bool
	}{
		{"reset at once", func(conn *net.TCPConn, _ io.Reader) { reset(conn) }, false},
		{"reset once it was read", func(conn *net.TCPConn, _ io.Reader) {
			time.Sleep(10 * time.Millisecond)
			reset(conn)
		}, false},
		{"reset while the server reads", func(conn *net.TCPConn, body io.Reader) {
			_, _ = io.CopyN(io.Discard, body, 8<<20)
			reset(conn)
		}, false},
		{"in order", func(conn *net.TCPConn, body io.Reader) {
			_ = conn.CloseWrite()
			_, _ = io.Copy(io.Discard, body)
		}, true},
	}
	for _, test := range tests {
		for _, idempotent := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, idempotent %t", test.desc, idempotent), func(t *testing.T) {
				c := qt.New(t)
				whole := 0
				for range tries {
					addr := newEarlyServer(t, func(conn *net.TCPConn, request *http.Request) {
						_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\n"+part)
						test.end(conn, request.Body)
					})
					text, err := send(t, addr, sequoialead.Call{Op: sequoialead.OpInvoke, Path: "/x", Idempotent: idempotent, Body: upload})
					if err == nil {
						c.Check(text, qt.Equals, part)
						whole++
						continue
					}
					c.Check(errorx.IsOfType(err, sequoialead.ErrLost), qt.IsTrue, qt.Commentf("%v", err))
				}
				c.Check(whole, qt.Equals, map[bool]int{true: tries}[test.whole], qt.Commentf("of %d answers", tries))
			})
		}
	}
}

// An answer with a status or the name of a field that HTTP doesn't have is none, nor is one that takes
// the connection over.
func TestMalformedAnswer(t *testing.T) {
	const events = "data: {\"choices\":[{\"text\":\"x\"}]}\n\ndata: [DONE]\n\n"
	const valid = "HTTP/1.1 200 OK\r\n\r\n" + events
	tests := []struct {
		desc   string
		answer string
	}{
		{"status 000", "HTTP/1.1 000 Trouble\r\n\r\n" + events},
		{"status 000 before an answer", "HTTP/1.1 000 Trouble\r\n\r\n" + valid},
		{"status 099", "HTTP/1.1 099 Trouble\r\n\r\n" + events},
		{"status 101", "HTTP/1.1 101 Switching Protocols\r\n\r\n" + events},
		{"a blank in a name", "HTTP/1.1 200 OK\r\nX Note: y\r\n\r\n" + events},
		{"a blank after a name", fmt.Sprintf("HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(events), events)},
		{"a control byte in a name", "HTTP/1.1 200 OK\r\nX\x01Note: y\r\n\r\n" + events},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			c := qt.New(t)
			addr := newRawServer(t, func(conn net.Conn) { _, _ = io.WriteString(conn, test.answer) })
			for _, op := range []sequoialead.Op{sequoialead.OpInvoke, sequoialead.OpGenerate} {
				for _, idempotent := range []bool{false, true} {
					text, err := do(t, addr, op, idempotent)
					c.Check(errorx.IsOfType(err, sequoialead.ErrLost), qt.IsTrue, qt.Commentf("%s: %q, %v", op, text, err))
				}
			}
			client := engine.New(addr)
			defer func() { _ = client.Close() }()
			_, err := client.Probe(context.Background())
			c.Check(err, qt.IsNotNil)
		})
	}
}

// A part of the answer to a health check tells nothing of the server, and must not pass for the
// answer of one that reports no run.
func TestCutHealthCheckIsLost(t *testing.T) {
	const health = `{"boot":"b1","model":"m"}`
	framings := []struct {
		desc   string
		answer string
	}{
		{"with its length", fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(health), health)},
		{"in chunks", fmt.Sprintf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(health), health)},
	}
	for _, framing := range framings {
		t.Run(framing.desc, func(t *testing.T) {
			for length := range len(framing.answer) + 1 {
				c := qt.New(t)
				addr := newRawServer(t, func(conn net.Conn) { _, _ = io.WriteString(conn, framing.answer[:length]) })
				client := engine.New(addr)
				boot, err := client.Probe(context.Background())
				c.Check(client.Close(), qt.IsNil)
				if length < len(framing.answer) {
					c.Check(errorx.IsOfType(err, sequoialead.ErrLost), qt.IsTrue, qt.Commentf("%v, %v after %q", boot, err, framing.answer[:length]))
					continue
				}
				c.Check(err, qt.IsNil)
				c.Check(boot, qt.Equals, sequoialead.Boot{ID: "b1", Model: "m"})
			}
		})
	}
}

// A health check's answer without a length may end inside its JSON.
func TestCutHealthCheckWithoutLength(t *testing.T) {
	addr := newRawServer(t, func(conn net.Conn) { _, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\n{\"boot\":\"b1") })
	client := engine.New(addr)
	defer func() { _ = client.Close() }()
	boot, err := client.Probe(context.Background())
	qt.Assert(t, errorx.IsOfType(err, sequoialead.ErrLost), qt.IsTrue, qt.Commentf("%v, %v", boot, err))
}
