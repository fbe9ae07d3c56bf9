package testscripts

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"golang.org/x/sys/unix"

	"sequoialead/fake/backend"
)

// The machine of a flooded gateway, and the crowd. They stay as they are: the bounds of the
// tests are the machine's.
const (
	floodMemory = 96  // in MB
	floodFiles  = 600 // descriptors
	// floodSockets is what remains for connections: 200 descriptors are kept for files.
	floodSockets = floodFiles - 200
	floodCrowd   = 500
	// floodTime is how long members of the crowd whose connections are closed connect again.
	floodTime = 4 * time.Second
	// floodRetry is the pause before a member of the crowd connects again.
	floodRetry = 50 * time.Millisecond
	// floodPatience is the time within which an ordinary request is answered after the flood,
	// while the crowd keeps its connections.
	floodPatience = 60 * time.Second
	// floodBodyBytes is the largest body that the gateway accepts.
	floodBodyBytes = 1_000_000
)

// member is one client of a crowd. Run sends what it sends on a new connection; the connection
// then stays open until the gateway closes it or the test ends. Random numbers are the same for
// the same seed and member.
type member func(conn net.Conn, n int, random *rand.Rand) error

// floodConfig returns a configuration with routes to servers whose answers have no end.
func floodConfig() string {
	text := strings.Replace(wideConfig(), `"routes":[`, `"routes":[
 {"name":"bulk","host":"h","path_prefix":"/bulk/","kind":"safe","timeout_ms":4000,"slo_ms":500,"service":"bulk","max_attempts":1},`, 1)
	return strings.Replace(text, `"services":[`, `"services":[{"name":"bulk","max_conns":280},`, 1)
}

// floodHead returns the head of a request without the headers that tell its body's length.
func floodHead(method, path, id string) string {
	return method + " " + path + " HTTP/1.1\r\nHost: h\r\nRequest-Id: " + id + "\r\nDeadline: 2000\r\nAuthorization: Token k1\r\n"
}

// flood plays a crowd against one gateway and checks that the process lives, that its memory and
// its descriptors stay under the machine's, and that an ordinary request is answered after it.
// Which of the crowd's requests are answered, and when, is not checked.
func flood(t *testing.T, seed uint64, run member) {
	c := qt.New(t)
	g := startGateways(t, &gatewaySite{revocationTimeout: 5 * time.Second, memory: floodMemory, files: floodFiles}, 1)
	p := g.procs[0]
	g.store.Put("keyed.op", "config", []byte(floodConfig()))
	const head = "HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nResponse-Stamp: s.ID\r\n"
	long := strings.Repeat("x", 64<<10)
	bulk := newEndlessServer(t, head+"\r\n", func(int) string { return long })
	events := newEndlessServer(t, head+"Content-Type: text/event-stream\r\n\r\n", func(n int) string {
		return fmt.Sprintf("id: %d\ndata: %s\n\n", n+1, long[:4<<10])
	})
	g.removeBackends("model")
	for n := range 4 {
		g.putBackendRecord(fmt.Sprintf("bulk-%d", n), "bulk", backend.Options{Slots: 64, Addr: bulk.String()}, "ready")
		g.putBackendRecord(fmt.Sprintf("model-endless-%d", n), "model", backend.Options{Slots: 64, Addr: events.String()}, "ready")
	}
	time.Sleep(serversRead)

	var crowd sync.WaitGroup
	var connected, closed, sockets atomic.Int64
	done := make(chan struct{})
	end := time.Now().Add(floodTime)
	for n := range floodCrowd {
		crowd.Go(func() {
			random := rand.New(rand.NewPCG(seed, uint64(n)))
			for time.Now().Before(end) {
				if conn, err := net.DialTimeout("tcp", p.callerAddr.String(), 2*time.Second); err == nil {
					connected.Add(1)
					stay(conn, done, func() error { return run(conn, n, random) })
					closed.Add(1)
				}
				select {
				case <-time.After(floodRetry):
				case <-done:
					return
				}
			}
		})
	}
	crowd.Go(func() {
		for {
			sockets.Store(max(sockets.Load(), int64(openSockets(p))))
			select {
			case <-time.After(5 * time.Millisecond):
			case <-done:
				return
			}
		}
	})
	time.Sleep(time.Until(end))
	kept := connected.Load() - closed.Load()
	status, started := 0, time.Now()
	for n := 0; status != http.StatusOK && time.Since(started) < floodPatience && running(p); n++ {
		status, _ = ordinary(p, fmt.Sprintf("ordinary%d", n))
		time.Sleep(10 * time.Millisecond)
	}
	t.Logf("peak %d MB, %d sockets; %d connections, %d kept; ordinary request: %d after %s", peakOf(t, p), sockets.Load(), connected.Load(), kept, status, time.Since(started))
	close(done)
	crowd.Wait()
	c.Assert(running(p), qt.IsTrue, qt.Commentf("the gateway has ended"))
	c.Check(status, qt.Equals, http.StatusOK)
	c.Check(peakMemory(t, p) < floodMemory, qt.IsTrue, qt.Commentf("%d MB", peakMemory(t, p)))
	c.Check(sockets.Load() <= floodSockets, qt.IsTrue, qt.Commentf("%d sockets", sockets.Load()))
}

// stay runs send and keeps a connection until its peer closes it or done is closed.
func stay(conn net.Conn, done <-chan struct{}, send func() error) {
	gone := make(chan struct{})
	go func() {
		defer close(gone)
		if send() == nil {
			closedByPeer(conn, done)
		}
	}()
	select {
	case <-gone:
	case <-done:
	}
	_ = conn.Close()
	<-gone
}

// closedByPeer returns once the peer has closed the connection. It reads nothing, so that unread
// answers stay unread: the connection's state in the kernel tells of its end.
func closedByPeer(conn net.Conn, done <-chan struct{}) {
	for !hasEnded(conn) {
		select {
		case <-time.After(20 * time.Millisecond):
		case <-done:
			return
		}
	}
}

// hasEnded reports whether a connection's peer has closed it, or it was reset.
func hasEnded(conn net.Conn) bool {
	raw, err := conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		return true
	}
	ended := true
	_ = raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		ended = err != nil || info.State != tcpEstablished
	}) // fails once the connection is closed
	return ended
}

// tcpEstablished is the state of a connection that neither side has closed, TCP_ESTABLISHED in
// Linux.
const tcpEstablished = 1

// running reports whether a gateway's process runs.
func running(p *gatewayProcess) bool {
	select {
	case err := <-p.exited:
		p.exited <- err // the cleanup receives it again
		return false
	default:
		return true
	}
}

// peakOf returns the peak memory of a process in MB; 0 if it has ended.
func peakOf(t *testing.T, p *gatewayProcess) int {
	if !running(p) {
		return 0
	}
	return peakMemory(t, p)
}

// openSockets returns the number of sockets that a process has open.
func openSockets(p *gatewayProcess) int {
	dir := fmt.Sprintf("/proc/%d/fd", p.cmd.Process.Pid)
	list, err := os.ReadDir(dir)
	if err != nil {
		return 0 // the process has ended, which the test finds
	}
	count := 0
	for _, entry := range list {
		if target, err := os.Readlink(filepath.Join(dir, entry.Name())); err == nil && strings.HasPrefix(target, "socket:") {
			count++
		}
	}
	return count
}

// ordinary sends a request within the limits on a connection of its own and returns the status
// of the answer; 0 if there is none.
func ordinary(p *gatewayProcess, id string) (int, error) {
	client := &http.Transport{DisableKeepAlives: true}
	r, err := http.NewRequest(http.MethodPost, "http://"+p.callerAddr.String()+"/check/x", strings.NewReader("body"))
	if err != nil {
		return 0, err
	}
	r.Host = "h"
	for name, value := range map[string]string{"Request-Id": id, "Deadline": "2000", "Authorization": "Token k1"} {
		r.Header.Set(name, value)
	}
	response, err := (&http.Client{Transport: client, Timeout: 3 * time.Second}).Do(r)
	if err != nil {
		return 0, err
	}
	defer func() { _ = response.Body.Close() }()
	_, err = io.Copy(io.Discard, response.Body)
	return response.StatusCode, err
}

// chunks returns a body of the given size in chunks, without its end.
func chunks(size, chunk int) []byte {
	var b bytes.Buffer
	for sent := 0; sent < size; sent += chunk {
		n := min(chunk, size-sent)
		fmt.Fprintf(&b, "%x\r\n%s\r\n", n, strings.Repeat("x", n))
	}
	return b.Bytes()
}

// sendAll writes parts one after the other.
func sendAll(conn net.Conn, parts ...[]byte) error {
	for _, part := range parts {
		if _, err := conn.Write(part); err != nil {
			return err
		}
	}
	return nil
}

const chunkedHeader = "Transfer-Encoding: chunked\r\n\r\n"

func openChunked(body []byte) member {
	return func(conn net.Conn, n int, _ *rand.Rand) error {
		return sendAll(conn, []byte(floodHead("POST", "/check/x", fmt.Sprintf("f%d", n))+chunkedHeader), body)
	}
}

// TestFloodOfLargeChunks guards against bodies of unknown length that are counted only at their
// end: clients that send most of a body and stay filled the memory, and the process ended.
func TestFloodOfLargeChunks(t *testing.T) {
	flood(t, 1, openChunked(chunks(floodBodyBytes*9/10, 64<<10)))
}

// TestFloodOfTinyChunks guards against many bodies in tiny chunks, which stay open.
func TestFloodOfTinyChunks(t *testing.T) {
	flood(t, 2, openChunked(chunks(60_000, 512)))
}

// TestFloodOfTinyChunksOfLargeBodies guards against large bodies in tiny chunks, which grow by
// little at a time and each time need a larger buffer.
func TestFloodOfTinyChunksOfLargeBodies(t *testing.T) {
	flood(t, 3, openChunked(chunks(floodBodyBytes*9/10, 100)))
}

// TestFloodOfSmallBodies guards against many small requests at a time, each of them whole.
func TestFloodOfSmallBodies(t *testing.T) {
	flood(t, 4, func(conn net.Conn, n int, _ *rand.Rand) error {
		answers := bufio.NewReader(conn)
		for k := range 200 {
			body := strings.Repeat("x", 16<<10)
			head := floodHead("POST", "/check/x", fmt.Sprintf("f%d-%d", n, k)) + fmt.Sprintf("Content-Length: %d\r\n\r\n", len(body))
			if err := sendAll(conn, []byte(head), []byte(body)); err != nil {
				return err
			}
			response, err := http.ReadResponse(answers, nil)
			if err != nil {
				return err
			}
			_, _ = io.Copy(io.Discard, response.Body)
			_ = response.Body.Close()
		}
		return nil
	})
}

// TestFloodOfBodiesShortOfTheirEnd guards against bodies of a known length that stop just before
// their end: each holds its buffer for as long as the client likes, and other bodies are refused.
func TestFloodOfBodiesShortOfTheirEnd(t *testing.T) {
	body := bytes.Repeat([]byte{'x'}, floodBodyBytes-10)
	flood(t, 5, func(conn net.Conn, n int, _ *rand.Rand) error {
		size := floodBodyBytes
		if n%2 == 0 {
			size = 20_000
		}
		head := floodHead("POST", "/check/x", fmt.Sprintf("f%d", n)) + fmt.Sprintf("Content-Length: %d\r\n\r\n", size)
		return sendAll(conn, []byte(head), body[:size-10])
	})
}

// TestFloodOfSlowHeaders guards against request headers that arrive byte by byte, and against
// connections on which none arrives.
func TestFloodOfSlowHeaders(t *testing.T) {
	flood(t, 6, func(conn net.Conn, n int, _ *rand.Rand) error {
		if n%4 == 0 {
			return nil
		}
		for _, b := range []byte(floodHead("POST", "/check/x", fmt.Sprintf("f%d", n))) {
			if err := sendAll(conn, []byte{b}); err != nil {
				return err
			}
			time.Sleep(200 * time.Millisecond)
		}
		return nil
	})
}

// TestFloodOfLargeHeaders guards against request headers far above the limit that have no end,
// which net/http holds in memory up to its own limit.
func TestFloodOfLargeHeaders(t *testing.T) {
	flood(t, 7, func(conn net.Conn, n int, _ *rand.Rand) error {
		if n%2 == 0 { // one long value
			return sendAll(conn, []byte(floodHead("POST", "/check/x", fmt.Sprintf("f%d", n))+"X-More: "), bytes.Repeat([]byte{'x'}, 900_000))
		}
		return sendAll(conn, []byte(floodHead("POST", "/check/x", fmt.Sprintf("f%d", n))), bytes.Repeat([]byte("X: y\r\n"), 150_000))
	})
}

// TestFloodOfUnreadAnswers guards against clients that don't read their answers: each holds
// what was read of its answer and its place at the backend server, beyond the deadline.
func TestFloodOfUnreadAnswers(t *testing.T) {
	flood(t, 8, func(conn net.Conn, n int, _ *rand.Rand) error {
		_ = conn.(*net.TCPConn).SetReadBuffer(4 << 10)
		path := "/bulk/x"
		if n%2 == 0 {
			path = "/tale/x"
		}
		return sendAll(conn, []byte(floodHead("POST", path, fmt.Sprintf("f%d", n))+"Content-Length: 4\r\n\r\nbody"))
	})
}

// TestFloodOfBodiesWithoutEndOnKeptConnections guards against connections that were used for a
// whole request before and then hold a body without end.
func TestFloodOfBodiesWithoutEndOnKeptConnections(t *testing.T) {
	body := chunks(300_000, 8<<10)
	flood(t, 9, func(conn net.Conn, n int, random *rand.Rand) error {
		head := floodHead("POST", "/check/x", fmt.Sprintf("k%d", n)) + "Content-Length: 4\r\n\r\nbody"
		if err := sendAll(conn, []byte(head)); err != nil {
			return err
		}
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil {
			return err
		}
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
		return openChunked(body)(conn, n, random)
	})
}

// TestFloodOfAllKinds guards against all kinds of clients outside the limits at once, while
// ordinary callers come.
func TestFloodOfAllKinds(t *testing.T) {
	flood(t, 10, func(conn net.Conn, n int, random *rand.Rand) error {
		if n%10 == 0 { // an ordinary caller
			answers := bufio.NewReader(conn)
			for k := range 50 {
				head := floodHead("POST", "/check/x", fmt.Sprintf("o%d-%d", n, k)) + "Content-Length: 4\r\n\r\nbody"
				if err := sendAll(conn, []byte(head)); err != nil {
					return err
				}
				response, err := http.ReadResponse(answers, nil)
				if err != nil {
					return err
				}
				_, _ = io.Copy(io.Discard, response.Body)
				_ = response.Body.Close()
				time.Sleep(50 * time.Millisecond)
			}
			return io.EOF
		}
		return fuzzedMember(conn, n, rand.New(rand.NewPCG(10, uint64(n%10)+uint64(random.IntN(20)))))
	})
}

// TestFloodOfFuzzedKinds guards against kinds of clients that nobody has thought of. Each member
// draws what it sends anew for each connection.
func TestFloodOfFuzzedKinds(t *testing.T) {
	for _, seed := range []uint64{101, 102, 103} {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) { flood(t, seed, fuzzedMember) })
	}
}

// fuzzedMember sends one to four requests on a connection, each drawn from kinds of methods,
// paths, headers, bodies, ends and paces, and reads none, some or all of the answers.
func fuzzedMember(conn net.Conn, n int, random *rand.Rand) error {
	if random.IntN(4) == 0 {
		_ = conn.(*net.TCPConn).SetReadBuffer(4 << 10)
	}
	if random.IntN(4) == 0 {
		go func() { _, _ = io.Copy(io.Discard, conn) }() // ends with the connection
	}
	for k := range 1 + random.IntN(4) {
		path := []string{"/check/x", "/hold/x", "/bulk/x", "/tale/x", "/none/x"}[random.IntN(5)]
		method := []string{"POST", "GET"}[random.IntN(2)]
		data := []byte(floodHead(method, path, fmt.Sprintf("z%d-%d-%d", n, k, random.IntN(1000))))
		switch random.IntN(8) {
		case 0:
			data = append(data, bytes.Repeat([]byte("X: y\r\n"), random.IntN(30_000))...)
		case 1:
			data = append(data, "X: "+strings.Repeat("x", random.IntN(300_000))+"\r\n"...)
		case 2:
			data = data[:random.IntN(len(data))]
		}
		size := []int{0, 4, 5000, 60_000, 300_000, floodBodyBytes, 3 * floodBodyBytes}[random.IntN(7)]
		short := min(size, []int{0, 1, size / 2}[random.IntN(3)])
		if random.IntN(2) == 0 {
			data = append(data, chunkedHeader...)
			chunk := []int{1, 100, 4 << 10, 100 << 10}[random.IntN(4)]
			data = append(data, chunks(size-short, max(chunk, size/20_000))...)
			if random.IntN(2) == 0 {
				data = append(data, "0\r\n\r\n"...)
			}
		} else {
			data = append(data, fmt.Sprintf("Content-Length: %d\r\n\r\n", size)...)
			data = append(data, bytes.Repeat([]byte{'x'}, size-short)...)
		}
		if err := sendPaced(conn, data, random); err != nil {
			return err
		}
	}
	if random.IntN(4) == 0 {
		return io.EOF // closes the connection and comes again
	}
	return nil
}

// sendPaced writes data at once, or a part of it in small writes.
func sendPaced(conn net.Conn, data []byte, random *rand.Rand) error {
	if random.IntN(3) > 0 {
		return sendAll(conn, data)
	}
	for range 20 {
		part := min(len(data), 1+random.IntN(2000))
		if err := sendAll(conn, data[:part]); err != nil {
			return err
		}
		data = data[part:]
		time.Sleep(time.Duration(random.IntN(100)) * time.Millisecond)
	}
	return nil
}
