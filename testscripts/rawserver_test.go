package testscripts

import (
	"bufio"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"
)

// newRawServer starts a backend server that reads the head of a request on each connection,
// has answer write to the connection, and closes it. It returns the server's address.
func newRawServer(t *testing.T, answer func(conn net.Conn, request *http.Request)) netip.AddrPort {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	var serving sync.WaitGroup
	var mu sync.Mutex
	var open []net.Conn
	serving.Go(func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			mu.Lock()
			open = append(open, conn)
			mu.Unlock()
			serving.Go(func() {
				defer func() { _ = conn.Close() }()
				if request, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
					answer(conn, request)
				}
			})
		}
	})
	t.Cleanup(func() {
		_ = l.Close()
		mu.Lock()
		for _, conn := range open {
			_ = conn.Close() // ends an answer without end
		}
		mu.Unlock()
		serving.Wait()
	})
	return netip.MustParseAddrPort(l.Addr().String())
}
