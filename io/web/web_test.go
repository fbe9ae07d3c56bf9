package web_test

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"sequoialead/io/web"
)

func start(t *testing.T, opts web.Options) *web.Server {
	t.Helper()
	opts.Addr = netip.MustParseAddrPort("127.0.0.1:0")
	s := web.New(opts)
	qt.Assert(t, s.Start(context.Background()), qt.IsNil)
	return s
}

// Connections that are idle for too long are closed. A request that arrives at
// that moment must be either answered or not reach the handler: otherwise work
// would be done without the caller's knowledge.
func TestRequestOnClosedIdleConnIsNotServed(t *testing.T) {
	c := qt.New(t)
	var handled, answered atomic.Int64
	s := start(t, web.Options{
		Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			handled.Add(1)
			w.WriteHeader(http.StatusNoContent)
		}),
		IdleTimeout: func() time.Duration { return time.Millisecond },
	})
	var callers sync.WaitGroup
	for range 200 {
		callers.Go(func() { answered.Add(sendUntilClosed(s.Addr())) })
	}
	callers.Wait()
	c.Assert(s.Close(), qt.IsNil)
	c.Assert(handled.Load(), qt.Equals, answered.Load())
}

// sendUntilClosed sends requests on one connection until it is closed, and
// returns the number of answers.
func sendUntilClosed(addr netip.AddrPort) int64 {
	conn, err := net.Dial("tcp", addr.String())
	if err != nil {
		return 0
	}
	defer func() { _ = conn.Close() }()
	r := bufio.NewReader(conn)
	for n := int64(0); ; n++ {
		_, _ = fmt.Fprint(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		response, err := http.ReadResponse(r, nil)
		if err != nil {
			return n
		}
		_ = response.Body.Close()
		time.Sleep(3 * time.Millisecond)
	}
}

func TestLeavingServerClosesConnections(t *testing.T) {
	c := qt.New(t)
	s := start(t, web.Options{
		Handler:     http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) }),
		IdleTimeout: func() time.Duration { return time.Hour },
	})
	s.Drain()
	response, err := http.Get("http://" + s.Addr().String())
	c.Assert(err, qt.IsNil)
	_ = response.Body.Close()
	c.Assert(response.Close, qt.IsTrue)
	c.Assert(s.Close(), qt.IsNil)
}
