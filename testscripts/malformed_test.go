package testscripts

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"sequoialead/fake/backend"
)

// TestMalformedAnswersAreNotPassedOn guards against a backend server that sends an answer which
// HTTP doesn't allow: callers got it, or bytes that followed it on its connection.
func TestMalformedAnswersAreNotPassedOn(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nRequest-Id: IDENTITY\r\nResponse-Stamp: s.1\r\n"
	const body = "id: 1\ndata: x\n\n"
	valid := head + fmt.Sprintf("Content-Type: text/event-stream\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	withStatus := func(status string) string { return strings.Replace(valid, "200 OK", status, 1) }
	const noBody = "HTTP/1.1 000 Trouble\r\nRequest-Id: IDENTITY\r\nResponse-Stamp: s.1\r\n"
	type malformed struct {
		desc   string
		answer string
		status int
	}
	tests := []malformed{
		{"a valid answer", valid, http.StatusOK},
		{"status 000", withStatus("000 Trouble"), http.StatusBadGateway},
		{"an answer after one with status 000", noBody + "\r\n" + valid, http.StatusBadGateway},
		{"an answer in the body of one with status 000", noBody + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(valid), valid), http.StatusBadGateway},
		{"an answer after one with status 101", "HTTP/1.1 101 Switching Protocols\r\n\r\n" + valid, http.StatusBadGateway},
	}
	chunked := fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(body), body)
	for _, name := range []string{"X Note", "X-Note ", "X\tNote", "X\x01Note", "X\x7fNote"} {
		answer := strings.Replace(valid, "Content-Type", name+": y\r\nContent-Type", 1)
		tests = append(tests, malformed{fmt.Sprintf("a field %q", name), answer, http.StatusBadGateway})
	}
	tests = append(tests,
		malformed{"a blank after the name of the length", strings.Replace(valid, "Length:", "Length :", 1) + "more", http.StatusBadGateway},
		malformed{"a blank after the name of the encoding", head + "Transfer-Encoding : chunked\r\n\r\n" + chunked, http.StatusBadGateway})
	routes := []struct{ pool, path string }{{"desk", "/check/x"}, {"desk", "/hold/x"}, {"model", "/tale/x"}}
	g := newGateways(t, 1)
	p := g.procs[0]
	g.store.Put("keyed.op", "config", []byte(wideConfig()))
	g.removeBackends("desk")
	g.removeBackends("model")
	for i, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			c := qt.New(t)
			addr := newRawServer(t, func(conn net.Conn, request *http.Request) {
				_, _ = io.Copy(io.Discard, request.Body)
				_, _ = io.WriteString(conn, strings.ReplaceAll(test.answer, "IDENTITY", request.Header.Get("Request-Id")))
			})
			for _, pool := range []string{"desk", "model"} {
				id := fmt.Sprintf("%s-malformed-%d", pool, i)
				g.putBackendRecord(id, pool, backend.Options{Slots: 64, Addr: addr.String()}, "ready")
				defer g.store.Put("keyed.servers", id, nil)
			}
			time.Sleep(serversRead)
			for n, route := range routes {
				status, got, _ := g.sendRequest(p, http.MethodPost, route.path, fmt.Sprintf("r%d%d00000", i, n), "k1")
				c.Check(status, qt.Equals, test.status, qt.Commentf("%s: %q", route.path, got))
				c.Check(got == body, qt.Equals, test.status == http.StatusOK, qt.Commentf("%s: %q", route.path, got))
			}
		})
	}
}
