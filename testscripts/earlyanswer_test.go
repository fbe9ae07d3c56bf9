package testscripts

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"sequoialead/fake/backend"
)

const (
	// earlyUploadBytes is more than the kernel's buffers of a connection hold.
	earlyUploadBytes = 12 << 20
	earlyTries       = 5
)

// uploadConfig returns a configuration with a route for streams, in which requests may have long
// bodies.
func uploadConfig() string {
	return strings.Replace(wideConfig(), `"max_body_bytes":1000000`, fmt.Sprintf(`"max_body_bytes":%d`, earlyUploadBytes), 1)
}

// sendUpload sends a request with a long body, and returns the status of the answer, the length
// of its body, and whether it came to its end. A slow caller pauses before each read.
func (g *gatewaySite) sendUpload(p *gatewayProcess, path, id string, slow bool) (status, length int, whole bool) {
	r, err := http.NewRequest(http.MethodPost, "http://"+p.callerAddr.String()+path, strings.NewReader(strings.Repeat("y", earlyUploadBytes)))
	qt.Assert(g.t, err, qt.IsNil)
	r.Host = "h"
	r.Header = http.Header{"Request-Id": {id}, "Deadline": {"2000"}, "Authorization": {"Token k1"}, "Prompt-Prefix": {"a1:10"}, "Token-Count": {"10,10"}}
	response, err := http.DefaultTransport.RoundTrip(r)
	if err != nil {
		return 0, 0, false
	}
	defer func() { _ = response.Body.Close() }()
	for buf := make([]byte, 64<<10); ; {
		if slow {
			time.Sleep(5 * time.Millisecond)
		}
		n, err := response.Body.Read(buf)
		length += n
		if err != nil {
			return response.StatusCode, length, err == io.EOF
		}
	}
}

// TestEarlyAnswerDuringAnUpload guards against a backend server that answers before it has read
// the request, without a length, and resets the connection: callers got the part of the body that
// had arrived as a whole answer. One that ends its answer in order is still passed on.
func TestEarlyAnswerDuringAnUpload(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nRequest-Id: IDENTITY\r\nResponse-Stamp: s.1\r\n"
	events := head + "Content-Type: text/event-stream\r\n\r\n" + strings.Repeat("id: 1\ndata: x\n\n", 1000)
	short := head + "\r\n" + strings.Repeat("x", 20<<10)
	long := head + "\r\n" + strings.Repeat("x", 1<<20) // more than a gateway holds back
	reset := func(conn *net.TCPConn) { _ = conn.SetLinger(0) }
	readAndReset := func(conn *net.TCPConn) {
		_, _ = io.CopyN(io.Discard, conn, earlyUploadBytes/4)
		reset(conn)
	}
	inOrder := func(conn *net.TCPConn) {
		_ = conn.CloseWrite()
		_, _ = io.Copy(io.Discard, conn) // closing before the answer was received would reset it
	}
	tests := []struct {
		desc   string
		pool   string
		path   string
		answer string
		slow   bool
		end    func(conn *net.TCPConn)
		whole  bool
	}{
		{"may be repeated", "desk", "/check/x", short, false, reset, false},
		{"may not be repeated", "desk", "/hold/x", short, false, readAndReset, false},
		{"a long answer, read slowly", "desk", "/hold/x", long, true, reset, false},
		{"a long answer, while the server reads", "desk", "/hold/x", long, true, readAndReset, false},
		{"events", "model", "/tale/x", events, false, reset, false},
		{"events, while the server reads", "model", "/tale/x", events, false, readAndReset, false},
		{"in order", "desk", "/hold/x", short, false, inOrder, true},
		{"a long answer, in order, read slowly", "desk", "/hold/x", long, true, inOrder, true},
		{"events, in order", "model", "/tale/x", events, false, inOrder, true},
	}
	g := newGateways(t, 1)
	p := g.procs[0]
	g.store.Put("keyed.op", "config", []byte(uploadConfig()))
	for i, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			c := qt.New(t)
			var answered atomic.Int64
			addr := newRawServer(t, func(conn net.Conn, request *http.Request) {
				answered.Add(1)
				_, _ = io.WriteString(conn, strings.ReplaceAll(test.answer, "IDENTITY", request.Header.Get("Request-Id")))
				test.end(conn.(*net.TCPConn))
			})
			g.removeBackends(test.pool)
			id := fmt.Sprintf("%s-early-%d", test.pool, i)
			g.putBackendRecord(id, test.pool, backend.Options{Slots: 64, Addr: addr.String()}, "ready")
			time.Sleep(serversRead)
			defer g.store.Put("keyed.servers", id, nil)
			whole := 0
			for try := range earlyTries {
				status, length, complete := g.sendUpload(p, test.path, fmt.Sprintf("r%07d", 100*i+try), test.slow)
				if status == http.StatusOK && complete {
					whole++
					_, body, _ := strings.Cut(test.answer, "\r\n\r\n")
					c.Check(length, qt.Equals, len(body))
				}
				time.Sleep(100 * time.Millisecond)
			}
			c.Check(answered.Load() >= earlyTries, qt.IsTrue, qt.Commentf("%d requests", answered.Load()))
			want := map[bool]int{true: earlyTries}[test.whole]
			c.Check(whole, qt.Equals, want, qt.Commentf("of %d answers", earlyTries))
		})
	}
}

// TestCutAnswerToHTTP10Caller guards against an answer that a backend server resets once a gateway
// has passed on its head. For callers of HTTP/1.0 an answer ends with its connection, so that the
// gateway must not close that in order.
func TestCutAnswerToHTTP10Caller(t *testing.T) {
	c := qt.New(t)
	g := newGateways(t, 1)
	p := g.procs[0]
	addr := newRawServer(t, func(conn net.Conn, request *http.Request) {
		_, _ = io.Copy(io.Discard, request.Body)
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nRequest-Id: "+request.Header.Get("Request-Id")+"\r\nResponse-Stamp: s.1\r\n\r\n"+strings.Repeat("x", 600<<10))
		time.Sleep(100 * time.Millisecond) // lets the gateway pass on what was sent
		_ = conn.(*net.TCPConn).SetLinger(0)
	})
	g.removeBackends("desk")
	g.putBackendRecord("desk-cut", "desk", backend.Options{Slots: 64, Addr: addr.String()}, "ready")
	time.Sleep(serversRead)
	for try := range earlyTries {
		conn, err := net.Dial("tcp", p.callerAddr.String())
		c.Assert(err, qt.IsNil)
		_, err = fmt.Fprintf(conn, "POST /hold/x HTTP/1.0\r\nHost: h\r\nRequest-Id: r%d\r\nDeadline: 2000\r\nAuthorization: Token k1\r\nContent-Length: 0\r\n\r\n", try)
		c.Assert(err, qt.IsNil)
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		c.Assert(err, qt.IsNil)
		n, err := io.Copy(io.Discard, response.Body)
		c.Check(err, qt.IsNotNil, qt.Commentf("%d bytes of a broken answer passed for whole", n))
		_ = response.Body.Close()
		_ = conn.Close()
		time.Sleep(200 * time.Millisecond)
	}
}
