package http1_test

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"sequoialead/io/http1"
)

// net/http closes a connection when a write on it fails. An answer that had ended in order before
// that must still be read to its end; one that was reset must not pass for whole.
func TestTransportEarlyAnswer(t *testing.T) {
	tests := []struct {
		desc  string
		end   func(conn *net.TCPConn)
		whole bool
	}{
		{"reset", func(conn *net.TCPConn) {
			time.Sleep(10 * time.Millisecond) // lets the client read what was sent
			_ = conn.SetLinger(0)
		}, false},
		{"in order, and the server closes", func(conn *net.TCPConn) {
			_ = conn.CloseWrite()
			waitForDelivery(conn)
		}, true},
	}
	for _, test := range tests {
		for _, slow := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, read slowly %t", test.desc, slow), func(t *testing.T) {
				c := qt.New(t)
				p := newFakeServer(t, func(_ int, conn net.Conn, r *bufio.Reader) {
					if _, err := http.ReadRequest(r); err != nil {
						return
					}
					write(conn, earlyHead+strings.Repeat("x", earlyBodyBytes))
					test.end(conn.(*net.TCPConn))
				})
				client := http.Client{Transport: http1.NewTransport(&http.Transport{})}
				defer client.CloseIdleConnections()
				whole := 0
				for range earlyTries {
					response, err := postTo(p.addr, &client, strings.Repeat("y", uploadBytes))
					if err != nil {
						continue
					}
					n, err := readBody(response.Body, slow)
					_ = response.Body.Close()
					if err == nil {
						c.Check(n, qt.Equals, earlyBodyBytes)
						whole++
					}
				}
				c.Check(whole, qt.Equals, map[bool]int{true: earlyTries}[test.whole], qt.Commentf("of %d answers", earlyTries))
			})
		}
	}
}

func postTo(addr netip.AddrPort, client *http.Client, body string) (*http.Response, error) {
	request, err := http.NewRequestWithContext(context.Background(), http.MethodPost, "http://"+addr.String(), strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	return client.Do(request)
}

// A connection that has carried a malformed response must not carry another request, also if the
// response has no body.
func TestTransportClosesConnectionAfterMalformedResponse(t *testing.T) {
	tests := []struct {
		desc string
		head string
	}{
		{"a name with a blank, no body", "HTTP/1.1 200 OK\r\nX Note: y\r\nContent-Length: 0\r\n\r\n"},
		{"a name with a blank, a body", "HTTP/1.1 200 OK\r\nX Note: y\r\nContent-Length: 2\r\n\r\n"},
		{"status 000, no body", "HTTP/1.1 000 Trouble\r\nContent-Length: 0\r\n\r\n"},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			c := qt.New(t)
			p := newFakeServer(t, func(n int, conn net.Conn, r *bufio.Reader) {
				for {
					if _, _, err := readRequest(r); err != nil {
						return
					}
					if n == 1 {
						write(conn, test.head)
						continue
					}
					write(conn, completeResponse)
				}
			})
			client := http.Client{Transport: http1.NewTransport(&http.Transport{})}
			defer client.CloseIdleConnections()
			_, err := postTo(p.addr, &client, "body") //nolint:bodyclose // there is no response
			c.Assert(err, qt.IsNotNil)
			response, err := postTo(p.addr, &client, "body")
			c.Assert(err, qt.IsNil)
			c.Assert(response.Body.Close(), qt.IsNil)
			c.Assert(p.connCount(), qt.Equals, 2)
		})
	}
}

// A malformed response without a body must not leave its connection to another request, which would
// take what follows on it for its own response.
func TestTransportSharedAfterMalformedResponse(t *testing.T) {
	c := qt.New(t)
	p := newFakeServer(t, func(_ int, conn net.Conn, r *bufio.Reader) {
		for i := 0; ; i++ {
			if _, _, err := readRequest(r); err != nil {
				return
			}
			if i%3 != 1 {
				write(conn, completeResponse)
				continue
			}
			write(conn, "HTTP/1.1 200 OK\r\nX Note: y\r\nContent-Length: 0\r\n\r\n")
			time.Sleep(200 * time.Microsecond)
			write(conn, "HTTP/1.1 200 OK\r\nX-Id: other\r\nContent-Length: 0\r\n\r\n")
		}
	})
	client := http.Client{Transport: http1.NewTransport(&http.Transport{MaxIdleConnsPerHost: 64})}
	defer client.CloseIdleConnections()
	var foreign atomic.Int64
	var callers sync.WaitGroup
	for range 32 {
		callers.Go(func() {
			for range 500 {
				response, err := postTo(p.addr, &client, "body")
				if err != nil {
					continue
				}
				if response.Header.Get("X-Id") == "other" {
					foreign.Add(1)
				}
				_, _ = readBody(response.Body, false) // only then the connection is reused
				_ = response.Body.Close()
			}
		})
	}
	callers.Wait()
	c.Assert(foreign.Load(), qt.Equals, int64(0))
}
