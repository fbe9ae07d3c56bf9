package http1_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/joomcode/errorx"
	"go.uber.org/goleak"

	"sequoialead"
	"sequoialead/io/http1"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// fakeServer serves each connection with a function and counts connections.
type fakeServer struct {
	listener net.Listener
	addr     netip.AddrPort
	mu       sync.Mutex
	conns    int
	done     sync.WaitGroup
}

// newFakeServer starts a server. The function gets the number of the
// connection, from 1.
func newFakeServer(t *testing.T, serve func(n int, conn net.Conn, r *bufio.Reader)) *fakeServer {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	p := &fakeServer{listener: l, addr: l.Addr().(*net.TCPAddr).AddrPort()}
	p.done.Go(func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			p.mu.Lock()
			p.conns++
			n := p.conns
			p.mu.Unlock()
			p.done.Go(func() {
				defer func() { _ = conn.Close() }()
				serve(n, conn, bufio.NewReader(conn))
			})
		}
	})
	t.Cleanup(func() {
		_ = l.Close()
		p.done.Wait()
	})
	return p
}

func (p *fakeServer) connCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.conns
}

func newClient(t *testing.T) *http1.Client {
	c := http1.New(http1.Options{ConnectTimeout: time.Second, AckTimeout: 2 * time.Second, IdleTimeout: time.Minute})
	t.Cleanup(func() { _ = c.Close() })
	return c
}

func newRequest(body string) http1.Request {
	return http1.Request{
		Method: http.MethodPost, Target: "/a/%2f?q=1", Host: "h.example", Header: http.Header{"X-Id": {"mine"}}, Body: []byte(body),
		MaxIdle: time.Minute,
		Matches: func(_ int, h http.Header) bool { return h.Get("X-Id") == "mine" },
	}
}

// readRequest reads a request and its body.
func readRequest(r *bufio.Reader) (*http.Request, string, error) {
	req, err := http.ReadRequest(r)
	if err != nil {
		return nil, "", err
	}
	body, err := io.ReadAll(req.Body)
	return req, string(body), err
}

func write(conn net.Conn, text string) { _, _ = io.WriteString(conn, text) }

const completeResponse = "HTTP/1.1 200 OK\r\nX-Id: mine\r\nContent-Length: 2\r\n\r\nok"

func TestConnectionsAreReused(t *testing.T) {
	c := qt.New(t)
	targets := make(chan string, 10)
	p := newFakeServer(t, func(_ int, conn net.Conn, r *bufio.Reader) {
		for {
			req, _, err := readRequest(r)
			if err != nil {
				return
			}
			targets <- req.RequestURI
			write(conn, completeResponse)
		}
	})
	client := newClient(t)
	for range 3 {
		response, err := client.Do(context.Background(), p.addr, newRequest("body"))
		c.Assert(err, qt.IsNil)
		raw, err := response.ReadAll(10)
		c.Assert(err, qt.IsNil)
		c.Assert(string(raw), qt.Equals, "ok")
		c.Assert(<-targets, qt.Equals, "/a/%2f?q=1")
	}
	c.Assert(p.connCount(), qt.Equals, 1)
}

// A body without a length or chunks may have been broken off, which callers must be able to
// tell; one that is reset was.
func TestBodyThatEndsWithItsConnection(t *testing.T) {
	tests := []struct {
		desc           string
		head           string
		closeDelimited bool
		reset          bool
	}{
		{"neither length nor chunks", "HTTP/1.1 200 OK\r\nX-Id: mine\r\n\r\nok", true, false},
		{"neither, and reset", "HTTP/1.1 200 OK\r\nX-Id: mine\r\n\r\nok", true, true},
		{"a length", completeResponse, false, false},
		{"chunks", "HTTP/1.1 200 OK\r\nX-Id: mine\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", false, false},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			c := qt.New(t)
			p := newFakeServer(t, func(_ int, conn net.Conn, r *bufio.Reader) {
				if _, _, err := readRequest(r); err != nil {
					return
				}
				write(conn, test.head)
				if test.reset {
					time.Sleep(50 * time.Millisecond) // lets the client read what was sent
					_ = conn.(*net.TCPConn).SetLinger(0)
				}
			})
			client := newClient(t)
			response, err := client.Do(context.Background(), p.addr, newRequest("body"))
			c.Assert(err, qt.IsNil)
			c.Assert(response.CloseDelimited, qt.Equals, test.closeDelimited)
			body, err := response.ReadAll(100)
			c.Assert(string(body), qt.Equals, "ok")
			c.Assert(errorx.IsOfType(err, sequoialead.ErrBroken), qt.Equals, test.reset)
		})
	}
}

func TestMalformedResponses(t *testing.T) {
	tests := []struct {
		desc string
		// first is what the server sends on the first connection.
		first string
		// want is the body of the first response; empty if the request must fail.
		want string
		// conns is the number of connections opened after a second request.
		conns int
	}{
		{"a complete response", completeResponse, "ok", 1},
		{"a response to another request comes first", "HTTP/1.1 200 OK\r\nX-Id: other\r\nContent-Length: 5\r\n\r\nwrong" + completeResponse, "ok", 1},
		{"extra bytes follow the response", completeResponse + "junk", "ok", 2},
		{"a second response follows", completeResponse + completeResponse, "ok", 2},
		{"the response has Connection: close", strings.Replace(completeResponse, "X-Id", "Connection: close\r\nX-Id", 1), "ok", 2},
		{"the response has no length", "HTTP/1.1 200 OK\r\nX-Id: mine\r\n\r\nok", "ok", 2},
		{"the response is chunked", "HTTP/1.1 200 OK\r\nX-Id: mine\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", "ok", 1},
		{"the body is truncated", "HTTP/1.1 200 OK\r\nX-Id: mine\r\nContent-Length: 9\r\n\r\nok", "", 2},
		{"the chunked body is truncated", "HTTP/1.1 200 OK\r\nX-Id: mine\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n", "", 2},
		{"the data is not HTTP", "\x00\x01\x02 what\r\n\r\n", "", 2},
		{"the headers are too long", "HTTP/1.1 200 OK\r\nX: " + strings.Repeat("x", 200<<10), "", 2},
		{"only responses to other requests come", strings.Repeat("HTTP/1.1 200 OK\r\nX-Id: other\r\nContent-Length: 0\r\n\r\n", 5), "", 2},
		{"the connection is closed without a response", "", "", 2},
		{"an interim response comes first", "HTTP/1.1 103 Early Hints\r\nX-Id: other\r\n\r\n" + completeResponse, "ok", 1},
		{"the status is 000", strings.Replace(completeResponse, "200", "000", 1), "", 2},
		{"a response follows one with the status 000", "HTTP/1.1 000 Trouble\r\nX-Id: mine\r\n\r\n" + completeResponse, "", 2},
		{"a response is in the body of one with the status 000", "HTTP/1.1 000 Trouble\r\nContent-Length: 48\r\n\r\n" + completeResponse, "", 2},
		{"a response follows one with the status 099", "HTTP/1.1 099 Trouble\r\n\r\n" + completeResponse, "", 2},
		{"a response follows one with the status -00", "HTTP/1.1 -00 Trouble\r\n\r\n" + completeResponse, "", 2},
		{"a name has a blank", strings.Replace(completeResponse, "X-Id", "X Note: y\r\nX-Id", 1), "", 2},
		{"a name ends with a blank", strings.Replace(completeResponse, "X-Id", "X-Note : y\r\nX-Id", 1), "", 2},
		{"the name of the length ends with a blank", strings.Replace(completeResponse, "Length:", "Length :", 1), "", 2},
		{"the name of the encoding ends with a blank", "HTTP/1.1 200 OK\r\nX-Id: mine\r\nTransfer-Encoding : chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", "", 2},
		{"a name has a blank in a response to another request", "HTTP/1.1 200 OK\r\nX-Id: other\r\nContent-Length : 59\r\nContent-Length: 0\r\n\r\n" + completeResponse, "", 2},
		{"a name has a control byte", strings.Replace(completeResponse, "X-Id", "X\x01Note: y\r\nX-Id", 1), "", 2},
		{"a name has a tab", strings.Replace(completeResponse, "X-Id", "X\tNote: y\r\nX-Id", 1), "", 2},
		{"a name has a byte of 0", strings.Replace(completeResponse, "X-Id", "X\x00Note: y\r\nX-Id", 1), "", 2},
		{"a response follows a switch to another protocol", "HTTP/1.1 101 Switching Protocols\r\n\r\n" + completeResponse, "", 2},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			c := qt.New(t)
			p := newFakeServer(t, func(n int, conn net.Conn, r *bufio.Reader) {
				if _, _, err := readRequest(r); err != nil {
					return
				}
				if n == 1 {
					write(conn, test.first)
					if test.conns == 2 && !strings.Contains(test.first, "junk") && strings.Count(test.first, "mine") < 2 {
						return
					}
					if _, _, err := readRequest(r); err != nil {
						return
					}
				}
				write(conn, completeResponse)
			})
			client := newClient(t)
			got, err := roundTrip(client, p.addr)
			if test.want == "" {
				c.Assert(errorx.IsOfType(err, sequoialead.ErrLost), qt.IsTrue, qt.Commentf("%v", err))
			} else {
				c.Assert(err, qt.IsNil)
				c.Assert(got, qt.Equals, test.want)
			}
			got, err = roundTrip(client, p.addr)
			c.Assert(err, qt.IsNil)
			c.Assert(got, qt.Equals, "ok")
			c.Assert(p.connCount(), qt.Equals, test.conns)
		})
	}
}

// Bytes that are no answer may come until the client closes the connection. They must
// not hold the request until its deadline.
func TestBytesWithoutEnd(t *testing.T) {
	tests := []struct {
		desc  string
		first string
		again string
	}{
		{"in a head", "HTTP/1.1 200 OK\r\n", "X-More: " + strings.Repeat("x", 100) + "\r\n"},
		{"in a header", "HTTP/1.1 200 OK\r\nX-More: ", strings.Repeat("x", 100)},
		{"in a status line", "HTTP/1.1 ", strings.Repeat("2", 100)},
		{"in interim responses", "", "HTTP/1.1 103 Early Hints\r\n\r\n"},
		{"in the body of a response to another request", "HTTP/1.1 200 OK\r\nX-Id: other\r\nTransfer-Encoding: chunked\r\n\r\n", "5\r\nwrong\r\n"},
		{"in the trailer of a response to another request", "HTTP/1.1 200 OK\r\nX-Id: other\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "X-More: xxxx\r\n"},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			c := qt.New(t)
			p := newFakeServer(t, func(_ int, conn net.Conn, r *bufio.Reader) {
				if _, _, err := readRequest(r); err != nil {
					return
				}
				write(conn, test.first)
				for {
					if _, err := io.WriteString(conn, test.again); err != nil {
						return
					}
				}
			})
			ctx, cancel := context.WithTimeout(context.Background(), roundTripTimeout)
			defer cancel()
			_, err := newClient(t).Do(ctx, p.addr, newRequest("body"))
			c.Assert(errorx.IsOfType(err, sequoialead.ErrLost), qt.IsTrue, qt.Commentf("%v", err))
			c.Assert(ctx.Err(), qt.IsNil)
		})
	}
}

// The lines of a head count as well as its bytes, since each takes memory of its own. The
// body that comes with a head doesn't count.
func TestHeadLimits(t *testing.T) {
	lines := func(n int) string { return strings.Repeat("X: y\r\n", n) }
	tests := []struct {
		desc    string
		headers string
		body    string
		whole   bool
	}{
		{"many lines", lines(200), "body", true},
		{"too many lines", lines(1000), "body", false},
		{"many bytes", "X: " + strings.Repeat("y", 30<<10) + "\r\n", "body", true},
		{"too many bytes", "X: " + strings.Repeat("y", 40<<10) + "\r\n", "body", false},
		{"a body of many lines", "", strings.Repeat("\n", 50), true},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			c := qt.New(t)
			p := newFakeServer(t, func(_ int, conn net.Conn, r *bufio.Reader) {
				for {
					if _, _, err := readRequest(r); err != nil {
						return
					}
					write(conn, fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Id: mine\r\n%sContent-Length: %d\r\n\r\n%s", test.headers, len(test.body), test.body))
				}
			})
			client := newClient(t)
			for range 3 { // the limits start anew with each head of a connection
				body, err := roundTrip(client, p.addr)
				if test.whole {
					c.Assert(err, qt.IsNil)
					c.Assert(body, qt.Equals, test.body)
					continue
				}
				c.Assert(errorx.IsOfType(err, sequoialead.ErrLost), qt.IsTrue, qt.Commentf("%v", err))
			}
		})
	}
}

// roundTripTimeout bounds a request, so that a hang fails the test that
// caused it.
const roundTripTimeout = 10 * time.Second

func roundTrip(client *http1.Client, addr netip.AddrPort) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), roundTripTimeout)
	defer cancel()
	response, err := client.Do(ctx, addr, newRequest("body"))
	if err != nil {
		return "", err
	}
	defer func() { _ = response.Close() }()
	raw, err := response.ReadAll(100)
	return string(raw), err
}

func TestRefusedConnectionIsUnsent(t *testing.T) {
	c := qt.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	addr := l.Addr().(*net.TCPAddr).AddrPort()
	_ = l.Close()
	_, err = newClient(t).Do(context.Background(), addr, newRequest("body"))
	c.Assert(errorx.IsOfType(err, sequoialead.ErrUnsent), qt.IsTrue)
}

// An idle connection that the peer has closed must not be reused: a request
// that must not run twice would be lost on it with an unknown outcome.
func TestClosedConnectionIsNotUsed(t *testing.T) {
	c := qt.New(t)
	closed := make(chan struct{}, 1)
	p := newFakeServer(t, func(n int, conn net.Conn, r *bufio.Reader) {
		if _, _, err := readRequest(r); err != nil {
			return
		}
		write(conn, completeResponse)
		if n == 1 {
			_ = conn.Close()
			closed <- struct{}{}
			return
		}
		_, _, _ = readRequest(r)
	})
	client := newClient(t)
	_, err := roundTrip(client, p.addr)
	c.Assert(err, qt.IsNil)
	<-closed
	for range 100 { // until the client detects that the server has closed the connection
		if _, err = roundTrip(client, p.addr); err != nil || p.connCount() == 2 {
			break
		}
	}
	c.Assert(err, qt.IsNil)
	c.Assert(p.connCount(), qt.Equals, 2)
}

func TestKeepAliveTimeoutIsRespected(t *testing.T) {
	c := qt.New(t)
	p := newFakeServer(t, func(_ int, conn net.Conn, r *bufio.Reader) {
		for {
			if _, _, err := readRequest(r); err != nil {
				return
			}
			write(conn, strings.Replace(completeResponse, "X-Id", "Keep-Alive: timeout=0\r\nX-Id", 1))
		}
	})
	client := newClient(t)
	for range 2 {
		_, err := roundTrip(client, p.addr)
		c.Assert(err, qt.IsNil)
	}
	c.Assert(p.connCount(), qt.Equals, 2)
}

// If the peer responds before it has read a long body, the connection must be
// closed: the peer would read the rest of the body as the next request.
func TestEarlyAnswerEndsTheConnection(t *testing.T) {
	c := qt.New(t)
	// The server reads on only once the client has read the response. Otherwise
	// it may consume the whole body first, and the connection is rightly kept.
	responseRead, markResponseRead := context.WithCancel(context.Background())
	defer markResponseRead()
	p := newFakeServer(t, func(n int, conn net.Conn, r *bufio.Reader) {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if n == 2 {
			_, _ = io.Copy(io.Discard, req.Body)
		}
		write(conn, completeResponse)
		<-responseRead.Done()
		_, _ = io.Copy(io.Discard, r)
	})
	client := newClient(t)
	long := newRequest(strings.Repeat("x", 32<<20))
	response, err := client.Do(context.Background(), p.addr, long)
	c.Assert(err, qt.IsNil)
	_, err = response.ReadAll(10)
	c.Assert(err, qt.IsNil)
	markResponseRead()
	_, err = roundTrip(client, p.addr)
	c.Assert(err, qt.IsNil)
	c.Assert(p.connCount(), qt.Equals, 2)
}

func TestCancelClosesTheConnection(t *testing.T) {
	c := qt.New(t)
	readErr := make(chan error, 1)
	p := newFakeServer(t, func(_ int, _ net.Conn, r *bufio.Reader) {
		if _, _, err := readRequest(r); err != nil {
			return
		}
		_, err := r.ReadByte()
		readErr <- err
	})
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(20*time.Millisecond, cancel)
	_, err := newClient(t).Do(ctx, p.addr, newRequest("body"))
	c.Assert(errors.Is(err, context.Canceled), qt.IsTrue)
	c.Assert(<-readErr, qt.IsNotNil)
}
