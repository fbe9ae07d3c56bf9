package http1_test

import (
	"bufio"
	"context"
	"errors"
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

// peer answers each connection by a script and counts connections.
type peer struct {
	listener net.Listener
	addr     netip.AddrPort
	mu       sync.Mutex
	conns    int
	done     sync.WaitGroup
}

// newPeer serves connections. The function gets the number of the connection.
func newPeer(t *testing.T, serve func(n int, conn net.Conn, r *bufio.Reader)) *peer {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	p := &peer{listener: l, addr: l.Addr().(*net.TCPAddr).AddrPort()}
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

func (p *peer) count() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.conns
}

func newClient(t *testing.T) *http1.Client {
	c := http1.New(http1.Options{Connect: time.Second, Silence: 2 * time.Second, Idle: time.Minute})
	t.Cleanup(func() { _ = c.Close() })
	return c
}

func request(body string) http1.Request {
	return http1.Request{
		Method: http.MethodPost, Target: "/a/%2f?q=1", Host: "h.example", Header: http.Header{"X-Id": {"mine"}}, Body: []byte(body),
		Within: time.Minute,
		Mine:   func(_ int, h http.Header) bool { return h.Get("X-Id") == "mine" },
	}
}

// take reads one request and its body.
func take(r *bufio.Reader) (*http.Request, string, error) {
	req, err := http.ReadRequest(r)
	if err != nil {
		return nil, "", err
	}
	body, err := io.ReadAll(req.Body)
	return req, string(body), err
}

func answer(conn net.Conn, text string) { _, _ = io.WriteString(conn, text) }

const whole = "HTTP/1.1 200 OK\r\nX-Id: mine\r\nContent-Length: 2\r\n\r\nok"

func TestConnectionsAreKept(t *testing.T) {
	c := qt.New(t)
	targets := make(chan string, 10)
	p := newPeer(t, func(_ int, conn net.Conn, r *bufio.Reader) {
		for {
			req, _, err := take(r)
			if err != nil {
				return
			}
			targets <- req.RequestURI
			answer(conn, whole)
		}
	})
	client := newClient(t)
	for range 3 {
		response, err := client.Do(context.Background(), p.addr, request("body"))
		c.Assert(err, qt.IsNil)
		raw, err := response.Whole(10)
		c.Assert(err, qt.IsNil)
		c.Assert(string(raw), qt.Equals, "ok")
		c.Assert(<-targets, qt.Equals, "/a/%2f?q=1")
	}
	c.Assert(p.count(), qt.Equals, 1)
}

func TestAnswersThatDoNotFit(t *testing.T) {
	tests := []struct {
		desc string
		// first is what the first connection brings.
		first string
		// want is the first answer's body; empty if it must fail.
		want string
		// conns is the number of connections after a second request.
		conns int
	}{
		{"a whole answer", whole, "ok", 1},
		{"an answer to another request comes first", "HTTP/1.1 200 OK\r\nX-Id: other\r\nContent-Length: 5\r\n\r\nwrong" + whole, "ok", 1},
		{"bytes follow the answer", whole + "junk", "ok", 2},
		{"a second answer follows", whole + whole, "ok", 2},
		{"the peer closes", strings.Replace(whole, "X-Id", "Connection: close\r\nX-Id", 1), "ok", 2},
		{"the answer has no length", "HTTP/1.1 200 OK\r\nX-Id: mine\r\n\r\nok", "ok", 2},
		{"the answer is chunked", "HTTP/1.1 200 OK\r\nX-Id: mine\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", "ok", 1},
		{"a body is cut", "HTTP/1.1 200 OK\r\nX-Id: mine\r\nContent-Length: 9\r\n\r\nok", "", 2},
		{"a chunked body is cut", "HTTP/1.1 200 OK\r\nX-Id: mine\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n", "", 2},
		{"it is no answer", "\x00\x01\x02 what\r\n\r\n", "", 2},
		{"the head has no end", "HTTP/1.1 200 OK\r\nX: " + strings.Repeat("x", 200<<10), "", 2},
		{"only answers to others come", strings.Repeat("HTTP/1.1 200 OK\r\nX-Id: other\r\nContent-Length: 0\r\n\r\n", 5), "", 2},
		{"the connection just ends", "", "", 2},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			c := qt.New(t)
			p := newPeer(t, func(n int, conn net.Conn, r *bufio.Reader) {
				if _, _, err := take(r); err != nil {
					return
				}
				if n == 1 {
					answer(conn, test.first)
					if test.conns == 2 && !strings.Contains(test.first, "junk") && strings.Count(test.first, "mine") < 2 {
						return
					}
					if _, _, err := take(r); err != nil {
						return
					}
				}
				answer(conn, whole)
			})
			client := newClient(t)
			got, err := try(client, p.addr)
			if test.want == "" {
				c.Assert(errorx.IsOfType(err, sequoialead.ErrLost), qt.IsTrue, qt.Commentf("%v", err))
			} else {
				c.Assert(err, qt.IsNil)
				c.Assert(got, qt.Equals, test.want)
			}
			got, err = try(client, p.addr)
			c.Assert(err, qt.IsNil)
			c.Assert(got, qt.Equals, "ok")
			c.Assert(p.count(), qt.Equals, test.conns)
		})
	}
}

// tryTimeout bounds a request, so that a hang fails the test that caused it.
const tryTimeout = 10 * time.Second

func try(client *http1.Client, addr netip.AddrPort) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), tryTimeout)
	defer cancel()
	response, err := client.Do(ctx, addr, request("body"))
	if err != nil {
		return "", err
	}
	defer func() { _ = response.Close() }()
	raw, err := response.Whole(100)
	return string(raw), err
}

func TestNoConnectionMeansUnsent(t *testing.T) {
	c := qt.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	addr := l.Addr().(*net.TCPAddr).AddrPort()
	_ = l.Close()
	_, err = newClient(t).Do(context.Background(), addr, request("body"))
	c.Assert(errorx.IsOfType(err, sequoialead.ErrUnsent), qt.IsTrue)
}

// A kept connection that the peer has closed is not used again, so that a
// request that must not run twice does not get lost on it.
func TestClosedConnectionIsNotUsed(t *testing.T) {
	c := qt.New(t)
	closed := make(chan struct{}, 1)
	p := newPeer(t, func(n int, conn net.Conn, r *bufio.Reader) {
		if _, _, err := take(r); err != nil {
			return
		}
		answer(conn, whole)
		if n == 1 {
			_ = conn.Close()
			closed <- struct{}{}
			return
		}
		_, _, _ = take(r)
	})
	client := newClient(t)
	_, err := try(client, p.addr)
	c.Assert(err, qt.IsNil)
	<-closed
	for range 100 { // the close takes a moment to arrive
		if _, err = try(client, p.addr); err != nil || p.count() == 2 {
			break
		}
	}
	c.Assert(err, qt.IsNil)
	c.Assert(p.count(), qt.Equals, 2)
}

func TestIdleTimeOfThePeerIsKept(t *testing.T) {
	c := qt.New(t)
	p := newPeer(t, func(_ int, conn net.Conn, r *bufio.Reader) {
		for {
			if _, _, err := take(r); err != nil {
				return
			}
			answer(conn, strings.Replace(whole, "X-Id", "Keep-Alive: timeout=0\r\nX-Id", 1))
		}
	})
	client := newClient(t)
	for range 2 {
		_, err := try(client, p.addr)
		c.Assert(err, qt.IsNil)
	}
	c.Assert(p.count(), qt.Equals, 2)
}

// An answer that comes before a long body was read ends the connection, since
// the rest of the body would be read as the next request.
func TestEarlyAnswerEndsTheConnection(t *testing.T) {
	c := qt.New(t)
	// The peer reads on only once the client has read the answer. Otherwise it
	// may consume the whole body first, and the connection is rightly kept.
	answerRead, markAnswerRead := context.WithCancel(context.Background())
	defer markAnswerRead()
	p := newPeer(t, func(n int, conn net.Conn, r *bufio.Reader) {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if n == 2 {
			_, _ = io.Copy(io.Discard, req.Body)
		}
		answer(conn, whole)
		<-answerRead.Done()
		_, _ = io.Copy(io.Discard, r)
	})
	client := newClient(t)
	long := request(strings.Repeat("x", 32<<20))
	response, err := client.Do(context.Background(), p.addr, long)
	c.Assert(err, qt.IsNil)
	_, err = response.Whole(10)
	c.Assert(err, qt.IsNil)
	markAnswerRead()
	_, err = try(client, p.addr)
	c.Assert(err, qt.IsNil)
	c.Assert(p.count(), qt.Equals, 2)
}

func TestCancelClosesTheConnection(t *testing.T) {
	c := qt.New(t)
	gone := make(chan error, 1)
	p := newPeer(t, func(_ int, _ net.Conn, r *bufio.Reader) {
		if _, _, err := take(r); err != nil {
			return
		}
		_, err := r.ReadByte()
		gone <- err
	})
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(20*time.Millisecond, cancel)
	_, err := newClient(t).Do(ctx, p.addr, request("body"))
	c.Assert(errors.Is(err, context.Canceled), qt.IsTrue)
	c.Assert(<-gone, qt.IsNotNil)
}
