// Command standins2 plays the cases of the second review: it starts gateways as separate
// processes, and is the platform's store, the runners and the requesters.
package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"sequoialead/fake/store"
)

// rig is one small deployment.
type rig struct {
	dir     string
	record  *os.File
	mu      sync.Mutex
	start   time.Time
	store   *store.Server
	addr    string
	runners []*runner
	procs   []*gateway
}

// gateway is one process of the system.
type gateway struct {
	name, zone                string
	front, ready, peers, meta string
	cmd                       *exec.Cmd
	exited                    chan struct{}
	log                       string
	config                    string
}

// runner is a stand-in for one runner of the platform.
type runner struct {
	rig      *rig
	id       string
	service  string
	zone     string
	slots    int
	addr     string
	listener net.Listener
	handle   func(r *runner, w http.ResponseWriter, q *http.Request)
	seq      atomic.Int64
}

// current is the rig that runs; nil before it is made.
var current *rig

// fatal ends the case because it can't run.
func fatal(format string, args ...any) {
	fmt.Fprintf(os.Stderr, format+"\n", args...)
	if current != nil {
		current.note(format, args...)
		current.end(2)
	}
	os.Exit(2)
}

// used holds the ports that were given out.
var used = map[int]bool{}

// newRig starts the store. The record of the case is written to record.txt in its folder.
func newRig(caseDir string) *rig {
	dir, err := os.MkdirTemp("", "review2-")
	if err != nil {
		fatal("no temporary folder: %v", err)
	}
	f, err := os.Create(filepath.Join(caseDir, "record.txt"))
	if err != nil {
		fatal("no record: %v", err)
	}
	r := &rig{dir: dir, record: f, start: time.Now(), store: store.New()}
	current = r
	l := listen()
	r.addr = l.Addr().String()
	go func() { _ = http.Serve(l, r.store) }()
	return r
}

func listen() net.Listener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fatal("cannot listen: %v", err)
	}
	return l
}

// note writes a line to the record.
func (r *rig) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.record, "%8.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// end stops all processes and exits with the given code.
func (r *rig) end(code int) {
	for _, g := range r.procs {
		select {
		case <-g.exited:
		default:
			_ = g.cmd.Process.Signal(syscall.SIGCONT)
			_ = g.cmd.Process.Kill()
			<-g.exited
		}
	}
	if keep := os.Getenv("KEEP_LOGS"); keep != "" {
		for _, g := range r.procs {
			raw, _ := os.ReadFile(g.log)
			_ = os.WriteFile(filepath.Join(keep, g.name+".log"), raw, 0o600)
		}
	}
	_ = os.RemoveAll(r.dir)
	r.note("exit %d", code)
	_ = r.record.Close()
	os.Exit(code)
}

// freePort returns an address that was free a moment ago. Its port is below those that the system
// gives to outgoing connections.
func freePort() string {
	for range 1000 {
		port := 12000 + rand.IntN(18000)
		if used[port] {
			continue
		}
		used[port] = true
		addr := fmt.Sprintf("127.0.0.1:%d", port)
		if l, err := net.Listen("tcp", addr); err == nil {
			_ = l.Close()
			return addr
		}
	}
	fatal("no free port")
	return ""
}

// startGateway starts a gateway with the command of the deploy file and settings like those that
// the platform renders from its template on whiskerlane-nz.
func (r *rig) startGateway(name, zone string) *gateway {
	g := &gateway{name: name, zone: zone, front: freePort(), ready: freePort(), peers: freePort(), meta: freePort()}
	g.config = filepath.Join(r.dir, name+".ini")
	g.log = filepath.Join(r.dir, fmt.Sprintf("%s-%d.log", name, len(r.procs)))
	text := fmt.Sprintf("name = %s\ndomain = %s\naddr = %s\nready = %s\npeers = %s\nmetrics = %s\nstore = %s\n", name, zone, g.front, g.ready, g.peers, g.meta, r.addr) +
		"memory = 284\ncpu = 0.304\nfiles = 4100\ngrace = 8s\napply = 2000ms\ndrain = 2000ms\nrevoke = 5000ms\nspread = 3000ms\nratio = 0.2\nextra = 56\nwindow = 10s\nover = 1.5\nslack = 5\noutlier = true\nbalance = true\nexpose = \nexposeslack = \nrollback = ms\n"
	if level := os.Getenv("LEVEL"); level != "" {
		text += "level = " + level + "\n"
	}
	if err := os.WriteFile(g.config, []byte(text), 0o600); err != nil {
		fatal("cannot write settings: %v", err)
	}
	r.procs = append(r.procs, g)
	r.run(g)
	return g
}

// waitAllReady waits until all gateways are ready. One that has ended, because another process
// took one of its ports, is started with others.
func (r *rig) waitAllReady(gs []*gateway) {
	for i := range gs {
		for !r.waitReady(gs[i]) {
			raw, _ := os.ReadFile(gs[i].log)
			r.note("%s has not started: %s", gs[i].name, strings.TrimSpace(string(raw)))
			if len(r.procs) > len(gs)+3 {
				fatal("%s does not start", gs[i].name)
			}
			gs[i] = r.startGateway(gs[i].name, gs[i].zone)
		}
	}
}

// run starts the process of a gateway.
func (r *rig) run(g *gateway) {
	out, err := os.OpenFile(g.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		fatal("no log: %v", err)
	}
	g.cmd = exec.Command(os.Getenv("SEQUOIALEAD"), "gateway", "--config", g.config)
	g.cmd.Stdout, g.cmd.Stderr = out, out
	if err := g.cmd.Start(); err != nil {
		fatal("the gateway does not start: %v", err)
	}
	exited := make(chan struct{})
	g.exited = exited
	cmd := g.cmd
	go func() {
		_ = cmd.Wait()
		_ = out.Close()
		close(exited)
	}()
	r.note("%s is started (pid %d)", g.name, g.cmd.Process.Pid)
}

// waitReady waits until a gateway says that it is ready. It reports false if its process has ended.
func (r *rig) waitReady(g *gateway) bool {
	for range 1000 {
		select {
		case <-g.exited:
			return false
		default:
		}
		response, err := http.Get("http://" + g.ready + "/sequoialead/readyz")
		if err == nil {
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				r.note("%s is ready", g.name)
				return true
			}
		}
		time.Sleep(10 * time.Millisecond)
	}
	fatal("%s is not ready", g.name)
	return false
}

// addRunner starts a runner and registers it.
func (r *rig) addRunner(id, service, zone string, slots int, handle func(r *runner, w http.ResponseWriter, q *http.Request)) *runner {
	l := listen()
	s := &runner{rig: r, id: id, service: service, zone: zone, slots: slots, addr: l.Addr().String(), listener: l, handle: handle}
	go func() { _ = http.Serve(l, s) }()
	s.register("ready")
	go func() {
		for range time.Tick(heartbeat) {
			s.register("ready")
		}
	}()
	r.runners = append(r.runners, s)
	return s
}

// heartbeat is heartbeat_ms of the settings.
const heartbeat = 1200 * time.Millisecond

// register writes the entry of the runner, as it does at each heartbeat.
func (s *runner) register(state string) {
	raw, _ := json.Marshal(map[string]any{"service": s.service, "addr": s.addr, "zone": s.zone, "version": "v1", "slots": s.slots, "state": state, "cold_left_ms": 0, "seq": s.seq.Add(1), "born": s.rig.start.UnixMilli()})
	s.rig.store.Put("keyed.servers", s.id, raw)
}

func (s *runner) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	if expected := q.Header.Get("Expect-Instance"); expected != "" && expected != s.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	s.handle(s, w, q)
}

// answer runs a plain request.
func answer(work time.Duration) func(s *runner, w http.ResponseWriter, q *http.Request) {
	return func(s *runner, w http.ResponseWriter, q *http.Request) {
		body, _ := io.ReadAll(q.Body)
		time.Sleep(work)
		w.Header().Set("Request-Id", q.Header.Get("Request-Id"))
		w.Header().Set("Response-Stamp", fmt.Sprintf("%s.%d", s.id, len(body)))
		w.Header().Set("Instance-Load", fmt.Sprintf("1,0,%d", s.slots))
		_, _ = fmt.Fprintf(w, "done by %s\n", s.id)
	}
}

// stream answers with events.
func stream(first time.Duration, events int, gap time.Duration) func(s *runner, w http.ResponseWriter, q *http.Request) {
	return func(s *runner, w http.ResponseWriter, q *http.Request) {
		_, _ = io.Copy(io.Discard, q.Body)
		select {
		case <-time.After(first):
		case <-q.Context().Done():
			return
		}
		w.Header().Set("Request-Id", q.Header.Get("Request-Id"))
		w.Header().Set("Response-Stamp", s.id+".s")
		w.Header().Set("Content-Type", "text/event-stream")
		w.Header().Set("Instance-Load", fmt.Sprintf("1,0,%d", s.slots))
		from, _ := strconv.Atoi(q.Header.Get("Last-Event-Id"))
		for n := from + 1; n <= events; n++ {
			_, _ = fmt.Fprintf(w, "id: %d\ndata: event %d of %s\n\n", n, n, q.Header.Get("Request-Id"))
			_ = http.NewResponseController(w).Flush()
			select {
			case <-time.After(gap):
			case <-q.Context().Done():
				return
			}
		}
	}
}

type pieceItem struct {
	ID     string   `json:"id"`
	Stage  int      `json:"stage"`
	Piece  int      `json:"piece"`
	Key    string   `json:"key"`
	Inputs []string `json:"inputs"`
}

// pieces makes pieces. Seen is called with each item.
func pieces(call, item time.Duration, seen func(s *runner, item pieceItem)) func(s *runner, w http.ResponseWriter, q *http.Request) {
	var handles atomic.Int64
	var slot sync.Mutex
	return func(s *runner, w http.ResponseWriter, q *http.Request) {
		raw, _ := io.ReadAll(q.Body)
		w.Header().Set("Content-Type", "application/json")
		w.Header().Set("Instance-Load", fmt.Sprintf("0,0,%d", s.slots))
		if strings.HasSuffix(q.URL.Path, "stage-free") {
			_, _ = io.WriteString(w, "{}")
			return
		}
		var ask struct {
			Items []pieceItem `json:"items"`
		}
		if json.Unmarshal(raw, &ask) != nil {
			w.Header().Set("Not-Run", "1")
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		slot.Lock()
		time.Sleep(call + time.Duration(len(ask.Items))*item)
		slot.Unlock()
		var out struct {
			Items []map[string]string `json:"items"`
		}
		for _, i := range ask.Items {
			if seen != nil {
				seen(s, i)
			}
			out.Items = append(out.Items, map[string]string{"handle": fmt.Sprintf("%s/%010x", s.addr, handles.Add(1))})
		}
		_ = json.NewEncoder(w).Encode(out)
	}
}

// reply is what a requester got.
type reply struct {
	status int
	header http.Header
	body   string
	whole  bool
	err    error
	took   time.Duration
}

// ask sends raw bytes on a new channel and reads one answer.
func ask(addr, raw string, timeout time.Duration) reply {
	conn, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return reply{err: err}
	}
	return askOn(conn, raw, timeout)
}

// askOn sends raw bytes on a new channel, reads one answer and closes the channel.
func askOn(conn net.Conn, raw string, timeout time.Duration) reply {
	started := time.Now()
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(started.Add(timeout))
	if _, err := io.WriteString(conn, raw); err != nil {
		return reply{err: err}
	}
	method, _, _ := strings.Cut(raw, " ")
	response, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: method})
	if err != nil {
		return reply{err: err, took: time.Since(started)}
	}
	var body bytes.Buffer
	_, err = body.ReadFrom(response.Body)
	return reply{status: response.StatusCode, header: response.Header, body: body.String(), whole: err == nil, err: err, took: time.Since(started)}
}

// head returns the head of a request without its last empty line.
func head(method, host, path, id string, deadline int, extra ...string) string {
	text := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline: %d\r\nAuthorization: Token key-1\r\n", method, path, host, id, deadline)
	for _, line := range extra {
		text += line + "\r\n"
	}
	return text
}

func main() {
	if len(os.Args) < 3 {
		fatal("usage: standins2 CASE FOLDER")
	}
	trouble := os.Getenv("TROUBLE") != "0"
	play, ok := cases[os.Args[1]]
	if !ok {
		fatal("no such case: %s", os.Args[1])
	}
	play(os.Args[2], trouble)
}
