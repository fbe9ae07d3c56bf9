package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"sequoialead/fake/store"
)

// setupError says why a case could not run.
type setupError string

func check(err error) {
	if err != nil {
		panic(setupError(err.Error()))
	}
}

// site is a small deployment on loopback addresses.
type site struct {
	dir   string
	start time.Time
	store *store.Server
	addr  string // of the store
	procs []*gateway
	https []*http.Server

	mu  sync.Mutex
	log *os.File
	// started holds all processes that were started.
	started []startedProcess
}

type startedProcess struct {
	process *os.Process
	exited  chan struct{}
}

// gateway is a process of the system.
type gateway struct {
	name, front, ready, peers, file string
	cmd                             *exec.Cmd
	exited                          chan struct{}
}

func newSite(record string) (*site, error) {
	log, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review3-")
	if err != nil {
		return nil, err
	}
	s := &site{dir: dir, start: time.Now(), log: log, store: store.New()}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s.addr = s.serve(l, s.store)
	return s, nil
}

// record writes a line with the time since the start.
func (s *site) record(format string, args ...any) {
	line := fmt.Sprintf("%7.3f ", time.Since(s.start).Seconds()) + fmt.Sprintf(format, args...) + "\n"
	s.mu.Lock()
	defer s.mu.Unlock()
	_, _ = s.log.WriteString(line) // the exit status tells the verdict
	_, _ = os.Stdout.WriteString(line)
}

// detail writes a line to the record alone.
func (s *site) detail(format string, args ...any) {
	line := fmt.Sprintf("%7.3f ", time.Since(s.start).Seconds()) + fmt.Sprintf(format, args...) + "\n"
	s.mu.Lock()
	defer s.mu.Unlock()
	_, _ = s.log.WriteString(line) // the exit status tells the verdict
}

// serve starts an HTTP server and returns its address.
func (s *site) serve(l net.Listener, h http.Handler) string {
	server := &http.Server{Handler: h}
	s.https = append(s.https, server)
	go func() { _ = server.Serve(l) }() // ends with close
	return l.Addr().String()
}

// freePort returns a free address below the range that outgoing connections take their ports from.
func freePort() string {
	for range 1000 {
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", 11000+rand.IntN(20000)))
		if err == nil {
			defer func() { _ = l.Close() }()
			return l.Addr().String()
		}
	}
	panic(setupError("no free port was found"))
}

// settings are those of deploy/gateway.ini with the figures of the users' sheet for a small
// deployment.
const settings = `name = %s
domain = a
addr = %s
ready = %s
peers = %s
metrics = %s
store = %s
memory = 284
cpu = 0.304
files = 4100
grace = 8s
apply = 2000ms
drain = 2000ms
revoke = 5000ms
spread = 3000ms
ratio = 0.2
extra = 56
window = 10s
over = 1.5
slack = 5
outlier = true
balance = true
expose =
exposeslack =
rollback = ms
`

// newGateway returns a gateway on free ports and writes its settings.
func (s *site) newGateway(name string) *gateway {
	g := &gateway{name: name, front: freePort(), ready: freePort(), peers: freePort(), file: filepath.Join(s.dir, name+".ini")}
	check(os.WriteFile(g.file, fmt.Appendf(nil, settings, g.name, g.front, g.ready, g.peers, freePort(), s.addr), 0o600))
	return g
}

// launch starts the process of a gateway, also one that has ended.
func (s *site) launch(g *gateway) {
	out, err := os.OpenFile(filepath.Join(s.dir, g.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	check(err)
	cmd := exec.Command("target/sequoialead", "gateway", "--config", g.file)
	cmd.Stdout, cmd.Stderr = out, out
	check(cmd.Start())
	g.cmd, g.exited = cmd, make(chan struct{})
	s.mu.Lock()
	s.started = append(s.started, startedProcess{process: cmd.Process, exited: g.exited})
	s.mu.Unlock()
	go func(exited chan struct{}) {
		_ = cmd.Wait() // the cases look at exited
		_ = out.Close()
		close(exited)
	}(g.exited)
}

// startGateways starts a number of gateways and waits until they are ready.
func (s *site) startGateways(n int) {
	for i := range n {
		g := s.newGateway(fmt.Sprintf("front-%d", i+1))
		s.launch(g)
		s.procs = append(s.procs, g)
	}
	for _, g := range s.procs {
		s.waitFor(g.name+" is ready", func() bool { return g.isReady() })
	}
	s.record("%d gateways are ready", n)
}

// restart kills all gateways and starts them again a second later.
func (s *site) restart() {
	for _, g := range s.procs {
		check(g.cmd.Process.Signal(syscall.SIGKILL))
	}
	for _, g := range s.procs {
		<-g.exited
	}
	s.record("all gateways were killed")
	time.Sleep(time.Second)
	for _, g := range s.procs {
		s.launch(g)
	}
	for _, g := range s.procs {
		s.waitFor(g.name+" is ready", g.isReady)
	}
	s.record("all gateways are back")
}

// isReady asks as the balancer does.
func (g *gateway) isReady() bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + g.ready + "/sequoialead/readyz")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

func (s *site) waitFor(what string, done func() bool) {
	for range 500 {
		if done() {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	panic(setupError("timed out waiting until " + what))
}

// close ends all processes that were started.
func (s *site) close() {
	s.mu.Lock()
	started := s.started
	s.mu.Unlock()
	for _, p := range started {
		_ = p.process.Kill() // it may have ended
		<-p.exited
	}
	for _, h := range s.https {
		_ = h.Close()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(s.dir)
	}
	_ = s.log.Close()
}
