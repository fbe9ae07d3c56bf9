package testscripts

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"sequoialead/fake/backend"
)

// newEndlessServer starts a backend server that answers each request with bytes that have no
// end, until its peer closes the connection: first, in which the request's ID replaces ID, and
// then what again returns for 0, 1 and so on.
func newEndlessServer(t *testing.T, first string, again func(n int) string) netip.AddrPort {
	return newRawServer(t, func(conn net.Conn, request *http.Request) {
		go func() { _, _ = io.Copy(io.Discard, request.Body) }() // ends with the connection
		data := strings.ReplaceAll(first, "ID", request.Header.Get("Request-Id"))
		for n := 0; ; n++ {
			if _, err := io.WriteString(conn, data); err != nil {
				return
			}
			data = again(n)
		}
	})
}

// peakMemory returns the most memory that a process has had, in MB.
func peakMemory(t *testing.T, p *gatewayProcess) int {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	qt.Assert(t, err, qt.IsNil)
	_, rest, _ := strings.Cut(string(raw), "VmHWM:")
	kb, err := strconv.Atoi(strings.Fields(rest)[0])
	qt.Assert(t, err, qt.IsNil)
	return kb / 1000
}

const (
	// smallMemory is the memory of the smallest machine that gateways run on, in MB.
	smallMemory = 184
	// serversRead is the time after which a gateway has read the records of backend servers.
	serversRead = 1200 * time.Millisecond
	// loadTime is longer than the deadline of a request.
	loadTime = 1600 * time.Millisecond
)

// endlessAnswer is a kind of answer without end, and the pools whose servers send it.
type endlessAnswer struct {
	desc  string
	pools []string
	first string
	again func(n int) string
}

func endlessAnswers() []endlessAnswer {
	const head = "HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nResponse-Stamp: s.ID\r\n"
	constant := func(text string) func(int) string { return func(int) string { return text } }
	long := strings.Repeat("x", 64<<10)
	numbered := func(format string) func(int) string { // many at once, as each needs a few bytes
		return func(n int) string {
			var b strings.Builder
			for i := range 2000 {
				fmt.Fprintf(&b, format, 2000*n+i)
			}
			return b.String()
		}
	}
	every := []string{"desk", "encode"}
	models := []string{"desk", "model"}
	slowly := func(next func(n int) string) func(int) string { // as many answers as possible are under way at once
		return func(n int) string {
			time.Sleep(10 * time.Millisecond)
			return next(n)
		}
	}
	some := func(format string) func(int) string {
		return func(n int) string {
			var b strings.Builder
			for i := range 120 {
				fmt.Fprintf(&b, format, 120*n+i)
			}
			return b.String()
		}
	}
	return []endlessAnswer{
		{"from a model: many headers, slowly", models, head, slowly(some("X%d:\r\n"))},
		{"from a model: an event, slowly", models, head + "Content-Type: text/event-stream\r\n\r\ndata: ", slowly(constant(long[:16<<10]))},
		{"from a model: a body of chunks, slowly", models, head + "Transfer-Encoding: chunked\r\n\r\n", slowly(constant("1000\r\n" + long[:4<<10] + "\r\n"))},
		{"from a model: many headers", models, head, numbered("X%d:\r\n")},
		{"from a model: a body of chunks", models, head + "Transfer-Encoding: chunked\r\n\r\n", constant("10000\r\n" + long + "\r\n")},
		{"from a model: small chunks", models, head + "Transfer-Encoding: chunked\r\n\r\n", constant(strings.Repeat("1\r\nx\r\n", 10000))},
		{"from a model: an event", models, head + "Content-Type: text/event-stream\r\n\r\ndata: ", constant(long)},
		{"from a model: lines of an event", models, head + "Content-Type: text/event-stream\r\n\r\n", constant(strings.Repeat("data: x\n", 5000))},
		{"many headers, slowly", every, head, slowly(some("X%d:\r\n"))},
		{"a body of chunks, slowly", every, head + "Transfer-Encoding: chunked\r\n\r\n", slowly(constant("1000\r\n" + long[:4<<10] + "\r\n"))},
		{"no answer", every, long, constant(long)},
		{"a status line", every, "HTTP/1.1 200 ", constant(long)},
		{"a header", every, head + "X-More: ", constant(long)},
		{"many headers", every, head, numbered("X%d:\r\n")},
		{"many values of a header", every, head, numbered("X:%d\r\n")},
		{"interim heads", every, "", numbered("HTTP/1.1 103 Early Hints\r\nX-%d: x\r\n\r\n")},
		{"a body without length", every, head + "\r\n", constant(long)},
		{"a body of chunks", every, head + "Transfer-Encoding: chunked\r\n\r\n", constant("10000\r\n" + long + "\r\n")},
		{"small chunks", every, head + "Transfer-Encoding: chunked\r\n\r\n", constant(strings.Repeat("1\r\nx\r\n", 10000))},
		{"a chunk's extension", every, head + "Transfer-Encoding: chunked\r\n\r\n5;x=", constant(long)},
		{"a trailer", every, head + "Transfer-Encoding: chunked\r\n\r\n0\r\n", numbered("X%d:\r\n")},
		{"events without end", every, head + "Content-Type: text/event-stream\r\n\r\ndata: ", constant(long)},
		{"an answer to another request", every, "HTTP/1.1 200 OK\r\nRequest-Id: other\r\nTransfer-Encoding: chunked\r\n\r\n", constant("10000\r\n" + long + "\r\n")},
		{"a refusal", every, "HTTP/1.1 503 Full\r\nRequest-Id: ID\r\nNot-Run: 1\r\nTransfer-Encoding: chunked\r\n\r\n", constant("10000\r\n" + long + "\r\n")},
		{"a failure", every, "HTTP/1.1 500 Failed\r\nRequest-Id: ID\r\nResponse-Stamp: s.ID\r\n\r\n", constant(long)},
		{"a list of items", every, "HTTP/1.1 200 OK\r\n\r\n{\"items\":[", constant(strings.Repeat("{},", 20000))},
	}
}

// TestBytesWithoutEndDoNotFillMemory guards against a faulty backend server that sends bytes
// which are no answer until its peer closes: a gateway that keeps them all runs out of memory,
// and the other callers' requests end with it.
func TestBytesWithoutEndDoNotFillMemory(t *testing.T) {
	for _, test := range endlessAnswers() {
		t.Run(test.desc, func(t *testing.T) {
			c := qt.New(t)
			g := startGateways(t, &gatewaySite{revocationTimeout: 5 * time.Second, memory: smallMemory}, 1)
			p := g.procs[0]
			g.store.Put("keyed.op", "config", []byte(wideConfig()))
			for _, pool := range test.pools {
				g.removeBackends(pool)
				addr := newEndlessServer(t, test.first, test.again)
				for n := range 4 { // one server under several IDs gets as many requests as there are
					g.putBackendRecord(fmt.Sprintf("%s-endless-%d", pool, n), pool, backend.Options{Slots: 64, Addr: addr.String()}, "ready")
				}
			}
			time.Sleep(serversRead)
			var callers sync.WaitGroup
			var statuses [600]atomic.Int64
			start := time.Now()
			for n := range 300 {
				callers.Go(func() {
					for k := 0; time.Since(start) < loadTime; k++ {
						id := fmt.Sprintf("r%d-%d", n, k)
						status := 0
						switch n % 3 {
						case 0:
							status, _ = g.sendDiscarding(p, "GET", "/check/x", id)
						case 1:
							status, _ = g.sendDiscarding(p, "POST", "/tale/x", id)
						default:
							status, _ = g.sendDiscarding(p, "POST", "/draft/x", id)
						}
						statuses[status].Add(1)
					}
				})
			}
			callers.Wait()
			seen := ""
			for status := range statuses {
				if count := statuses[status].Load(); count > 0 {
					seen += fmt.Sprintf(" %d:%d", status, count)
				}
			}
			t.Logf("peak %d MB; statuses%s", peakMemory(t, p), seen)
			select {
			case err := <-p.exited:
				p.exited <- err // the cleanup receives it again
				t.Errorf("the gateway has ended: %v", err)
			default:
			}
			c.Check(peakMemory(t, p) < smallMemory, qt.IsTrue, qt.Commentf("%d MB", peakMemory(t, p)))
		})
	}
}

// wideConfig returns a configuration with a route for streams without stages, and backend
// servers that take as many requests as those of a large deployment.
func wideConfig() string {
	text := fmt.Sprintf(configTemplate, 2, 500, "")
	text = strings.Replace(text, `"routes":[`, `"routes":[
 {"name":"tale","host":"h","path_prefix":"/tale/","kind":"streaming","timeout_ms":9000,"slo_ms":500,"gap_aim_ms":300,"service":"model","max_attempts":2,"resumable":true},`, 1)
	return strings.NewReplacer(`"max_conns":50`, `"max_conns":280`, `"slots":8,"kv_tokens":10000`, `"slots":64,"kv_tokens":444000`).Replace(text)
}

// removeBackends removes the records of a pool's backend servers.
func (g *gatewaySite) removeBackends(pool string) {
	for id := range g.backends {
		if strings.HasPrefix(id, pool+"-") {
			g.store.Put("keyed.servers", id, nil)
		}
	}
}

// sendDiscarding sends a request and returns the status of the answer and the length of its
// body, which it doesn't keep.
func (g *gatewaySite) sendDiscarding(p *gatewayProcess, method, path, id string) (status int, length int64) {
	r, err := http.NewRequest(method, "http://"+p.callerAddr.String()+path, strings.NewReader("body"))
	if err != nil {
		g.t.Error(err)
		return 0, 0
	}
	r.Host = "h"
	for name, value := range map[string]string{"Request-Id": id, "Deadline": "1500", "Authorization": "Token k1"} {
		r.Header.Set(name, value)
	}
	if strings.HasPrefix(path, "/draft/") {
		for name, value := range map[string]string{"Pieces": "1,2", "Piece-Key": "pk", "Prompt-Prefix": "a1:10," + strconv.Itoa(len(id)) + ":20", "Token-Count": "30,10"} {
			r.Header.Set(name, value)
		}
	}
	response, err := http.DefaultTransport.RoundTrip(r)
	if err != nil {
		return 0, 0
	}
	defer func() { _ = response.Body.Close() }()
	length, _ = io.Copy(io.Discard, response.Body) // cut on purpose
	return response.StatusCode, length
}
