package gateway_test

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"k8s.io/klog/v2"

	"sequoialead"
	"sequoialead/core/callerbudget"
	"sequoialead/core/proxyconfig"
	"sequoialead/io/gateway"
	"sequoialead/io/web"
)

const maxBody = 1_000_000

// countingCodec refuses each request with 400 and keeps the length of its body.
type countingCodec struct{ length atomic.Int64 }

func (d *countingCodec) Decode(_ *http.Request, body []byte, _ time.Time) (*sequoialead.ProxyRequest, error) {
	if strings.Trim(string(body), "x") != "" {
		return nil, errors.New("not the body that was sent")
	}
	d.length.Store(int64(len(body)))
	return nil, errors.New("refused")
}
func (d *countingCodec) Encode(http.Header, string, http.Header) {}

// newServer starts a server whose handler answers 400 once it has read a body.
func newServer(t testing.TB, bounds web.Bounds) (*web.Server, *countingCodec) {
	codec := &countingCodec{}
	conf := &proxyconfig.Config{Limits: proxyconfig.Limits{Header: 16384, Body: maxBody}}
	handler := gateway.New(gateway.Options{Codec: codec, Config: func() *proxyconfig.Config { return conf }, Now: time.Now, Log: klog.Logger{}})
	s := web.New(web.Options{Addr: netip.MustParseAddrPort("127.0.0.1:0"), Handler: handler, IdleTimeout: func() time.Duration { return time.Hour }, Bounds: bounds})
	qt.Assert(t, s.Start(context.Background()), qt.IsNil)
	t.Cleanup(func() { qt.Assert(t, s.Close(), qt.IsNil) })
	return s, codec
}

func dial(t testing.TB, s *web.Server) net.Conn {
	conn, err := net.Dial("tcp", s.Addr().String())
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

// status reads an answer and returns its status; 0 if there is none.
func status(conn net.Conn) (code int, closes bool) {
	_ = conn.SetReadDeadline(time.Now().Add(10 * time.Second))
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, false
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	return response.StatusCode, response.Close
}

const head = "POST / HTTP/1.1\r\nHost: h\r\n"

func chunked(size, chunk int) string {
	var b strings.Builder
	for sent := 0; sent < size; sent += chunk {
		n := min(chunk, size-sent)
		fmt.Fprintf(&b, "%x\r\n%s\r\n", n, strings.Repeat("x", n))
	}
	return head + "Transfer-Encoding: chunked\r\n\r\n" + b.String()
}

func sized(size int) string {
	return head + fmt.Sprintf("Content-Length: %d\r\n\r\n", size) + strings.Repeat("x", size)
}

// TestBodiesAreReadAsTheyWereSent guards against losing or adding bytes while the buffer grows.
func TestBodiesAreReadAsTheyWereSent(t *testing.T) {
	c := qt.New(t)
	s, codec := newServer(t, web.Bounds{Limits: callerbudget.Limits{Bytes: 8 << 20, BodyBytes: 4 << 20}})
	conn := dial(t, s)
	for _, size := range []int{0, 1, 4095, 4096, 4097, 65535, 65536, 65537, 300_000, maxBody} {
		for kind, data := range map[string]string{"sized": sized(size), "chunked": chunked(size, 1000) + "0\r\n\r\n"} {
			codec.length.Store(-1)
			_, err := io.WriteString(conn, data)
			c.Assert(err, qt.IsNil)
			code, _ := status(conn)
			c.Assert(code, qt.Equals, http.StatusBadRequest, qt.Commentf("%s, %d", kind, size))
			c.Assert(codec.length.Load(), qt.Equals, int64(size), qt.Commentf("%s", kind))
		}
	}
	held, counts := s.Held()
	c.Assert(held.Bytes, qt.Equals, int64(callerbudget.ConnBytes)) // the connection alone
	c.Assert(held.BodyBytes, qt.Equals, int64(0))
	c.Assert(counts, qt.Equals, web.Counts{})
	for _, data := range []string{sized(maxBody + 1), chunked(maxBody+1, 1000) + "0\r\n\r\n"} {
		conn := dial(t, s)
		go func() { _, _ = io.WriteString(conn, data) }()
		code, _ := status(conn)
		c.Assert(code, qt.Equals, http.StatusRequestEntityTooLarge)
	}
}

// TestBodiesWithoutRoomAreRefused guards against bodies of unknown length that are counted only at
// their end, and against open bodies that keep others out.
func TestBodiesWithoutRoomAreRefused(t *testing.T) {
	c := qt.New(t)
	const room = 4 << 20
	s, _ := newServer(t, web.Bounds{Limits: callerbudget.Limits{BodyBytes: room}})
	data := chunked(maxBody*9/10, 8<<10)
	refused := 0
	for range 20 {
		conn := dial(t, s)
		go func() { _, _ = io.WriteString(conn, data) }()
		_ = conn.SetReadDeadline(time.Now().Add(100 * time.Millisecond))
		if response, err := http.ReadResponse(bufio.NewReader(conn), nil); err == nil {
			c.Assert(response.StatusCode, qt.Equals, http.StatusServiceUnavailable)
			c.Assert(response.Header.Get("Retry-After"), qt.Equals, "0.250")
			c.Assert(response.Close, qt.IsTrue)
			_ = response.Body.Close()
			refused++
		}
		held, _ := s.Held()
		c.Assert(held.BodyBytes <= room, qt.IsTrue, qt.Commentf("%d", held.BodyBytes))
	}
	c.Assert(refused > 0, qt.IsTrue)
	time.Sleep(1300 * time.Millisecond)
	conn := dial(t, s)
	_, err := io.WriteString(conn, sized(maxBody))
	c.Assert(err, qt.IsNil)
	code, _ := status(conn)
	c.Assert(code, qt.Equals, http.StatusBadRequest) // it was read
	_, counts := s.Held()
	c.Assert(counts.EndedForMemory > 0, qt.IsTrue)
	c.Assert(counts.RefusedMemory, qt.Equals, uint64(refused))
}

// TestStalledBodiesEnd guards against bodies that stop, which had no time limit. The refusal says
// that the request has not run.
func TestStalledBodiesEnd(t *testing.T) {
	c := qt.New(t)
	s, _ := newServer(t, web.Bounds{BodyStall: time.Second, BodyGrace: 1500 * time.Millisecond, BodyRate: 5000})
	stalled, trickling, steady := dial(t, s), dial(t, s), dial(t, s)
	_, err := io.WriteString(stalled, sized(1000)[:600])
	c.Assert(err, qt.IsNil)
	trickle := func(conn net.Conn, size, part int) {
		data := []byte(sized(size))
		start := len(data) - size
		_, _ = conn.Write(data[:start])
		for rest := data[start:]; len(rest) > 0; rest = rest[min(part, len(rest)):] {
			_, _ = conn.Write(rest[:min(part, len(rest))]) // fails once the gateway has ended the body
			time.Sleep(100 * time.Millisecond)
		}
	}
	go trickle(trickling, 5000, 100)
	go trickle(steady, 75_000, 3000)
	for conn, want := range map[net.Conn]int{stalled: http.StatusRequestTimeout, trickling: http.StatusRequestTimeout, steady: http.StatusBadRequest} {
		code, closes := status(conn)
		c.Assert(code, qt.Equals, want)
		c.Assert(closes, qt.Equals, want == http.StatusRequestTimeout)
	}
	_, counts := s.Held()
	c.Assert(counts, qt.Equals, web.Counts{StalledBodies: 2})
}

// TestRefusedBodiesDoNotHoldConnections guards against clients that are refused and never send the
// rest of their body, which net/http waits for.
func TestRefusedBodiesDoNotHoldConnections(t *testing.T) {
	c := qt.New(t)
	s, _ := newServer(t, web.Bounds{Limits: callerbudget.Limits{BodyBytes: 100}})
	large := head + "X: " + strings.Repeat("x", 16384) + "\r\nContent-Length: 1000\r\n\r\nx"
	for _, data := range []string{sized(10_000)[:200], chunked(9000, 100), large} {
		conn := dial(t, s)
		_, err := io.WriteString(conn, data)
		c.Assert(err, qt.IsNil)
		_ = conn.SetReadDeadline(time.Now().Add(10 * time.Second))
		_, err = io.ReadAll(conn)
		c.Assert(err, qt.IsNil) // the server has closed the connection
	}
}

// BenchmarkSmallBody measures a request with a small body on a kept connection, up to its refusal.
func BenchmarkSmallBody(b *testing.B) {
	s, _ := newServer(b, web.Bounds{Limits: callerbudget.Limits{Bytes: 8 << 20, BodyBytes: 4 << 20}, AnswerStall: time.Second, BodyStall: time.Second})
	conn := dial(b, s)
	r := bufio.NewReader(conn)
	data := []byte(sized(500))
	buf := make([]byte, 4096)
	for b.Loop() {
		if _, err := conn.Write(data); err != nil {
			b.Fatal(err)
		}
		for total := 0; !bytes.HasSuffix(buf[:total], []byte("shows\n")); {
			n, err := r.Read(buf[total:])
			if err != nil {
				b.Fatal(err)
			}
			total += n
		}
	}
}
