package testscripts

import (
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

	"sequoialead/fake/backend"
)

// cuttingServer is a backend server that closes each connection after a number of bytes of its
// answer.
type cuttingServer struct {
	addr   netip.AddrPort
	length atomic.Int64
	// answered counts the requests.
	answered atomic.Int64
}

// newCuttingServer starts a server. The request's ID replaces IDENTITY in the answer, and has
// as many bytes.
func newCuttingServer(t *testing.T, answer string) *cuttingServer {
	s := &cuttingServer{}
	s.addr = newRawServer(t, func(conn net.Conn, request *http.Request) {
		_, _ = io.Copy(io.Discard, request.Body)
		text := strings.ReplaceAll(answer, "IDENTITY", request.Header.Get("Request-Id"))
		_, _ = io.WriteString(conn, text[:s.length.Load()])
		s.answered.Add(1)
	})
	return s
}

// TestAnswerCutInItsHeadIsNotPassedOn guards against a backend server that stops in the middle
// of its answer's head, or after it, and closes: callers got a 200 with an empty or short body
// that looked whole.
func TestAnswerCutInItsHeadIsNotPassedOn(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nRequest-Id: IDENTITY\r\nResponse-Stamp: s.1\r\nInstance-Load: 1,0,4\r\n"
	const events = "id: 1\ndata: x\n\nid: 2\ndata: y\n\n"
	tests := []struct {
		desc   string
		pool   string
		path   string
		answer string
		whole  string
	}{
		{"may be repeated, with its length", "desk", "/check/x", head + "Content-Length: 12\r\n\r\nwhole answer", "whole answer"},
		{"may not be repeated, in chunks", "desk", "/hold/x", head + "Transfer-Encoding: chunked\r\n\r\n6\r\nwhole \r\n6\r\nanswer\r\n0\r\n\r\n", "whole answer"},
		{"events in chunks", "model", "/tale/x", head + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n" + fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(events), events), events},
		{"events with their length", "model", "/tale/x", head + fmt.Sprintf("Content-Type: text/event-stream\r\nContent-Length: %d\r\n\r\n%s", len(events), events), events},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			c := qt.New(t)
			g := newGateways(t, 1)
			p := g.procs[0]
			g.store.Put("keyed.op", "config", []byte(wideConfig()))
			s := newCuttingServer(t, test.answer)
			g.removeBackends(test.pool)
			g.putBackendRecord(test.pool+"-cut", test.pool, backend.Options{Slots: 64, Addr: s.addr.String()}, "ready")
			time.Sleep(serversRead)
			count, whole := 0, 0
			send := func() {
				status, body, complete := g.sendWithPrompt(p, "POST", test.path, fmt.Sprintf("r%07d", count), "k1", fmt.Sprintf("%x:20", 1000+count))
				count++
				if status == http.StatusOK && complete {
					c.Check(body, qt.Equals, test.whole, qt.Commentf("after %q", test.answer[:s.length.Load()]))
					whole++
				}
				// A failure says that the request has not run only if it was not sent.
				c.Check(status == http.StatusServiceUnavailable && s.answered.Load() > 0, qt.IsFalse, qt.Commentf("after %q: %s", test.answer[:s.length.Load()], body))
			}
			for length := range len(test.answer) {
				s.length.Store(int64(length))
				s.answered.Store(0)
				g.waitFor("the server has answered", func() bool {
					send()
					return s.answered.Load() > 0
				})
			}
			c.Check(whole, qt.Equals, 0)
			s.length.Store(int64(len(test.answer)))
			g.waitFor("a whole answer", func() bool {
				s.answered.Store(0)
				send()
				return whole > 0
			})
		})
	}
}
