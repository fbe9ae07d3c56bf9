package testscripts

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"sequoialead/fake/backend"
	"sequoialead/fake/proxy"
	"sequoialead/fake/store"
)

// gateways is a site of the users' platform: stand-ins, and real processes.
type gateways struct {
	t     *testing.T
	dir   string
	store *store.Server
	addr  netip.AddrPort
	procs []*gatewayProcess
	// backends holds the stand-ins by ID.
	backends map[string]*backend.Server
	// registered holds what their records say.
	registered map[string]backend.Options
	// proxied puts a proxy before each backend server, and on each entry's way to
	// the store and the others' way to it.
	proxied bool
	proxies []*proxy.Proxy
	revoke  time.Duration
}

type gatewayProcess struct {
	// ending is set from a signal that ends the process to its next start.
	ending bool
	number int
	addrs  []netip.AddrPort
	cmd    *exec.Cmd
	front  netip.AddrPort
	ready  netip.AddrPort
	config string
	log    string
	done   chan error
}

const routes = `{"version":%d,"routes":[
 {"name":"check","host":"h","path_prefix":"/check/","kind":"safe","timeout_ms":2000,"slo_ms":500,"service":"desk","max_attempts":2},
 {"name":"hold","host":"h","path_prefix":"/hold/","kind":"unsafe","timeout_ms":2000,"slo_ms":500,"service":"desk","max_attempts":1},
 {"name":"draft","host":"h","path_prefix":"/draft/","kind":"streaming","timeout_ms":9000,"slo_ms":%d,"gap_aim_ms":300,"service":"model","max_attempts":2,"resumable":true,
  "stages":[{"service":"encode","after":[],"bytes":10},{"service":"encode","after":[0],"bytes":10}]}],
 "services":[{"name":"desk","max_conns":50},{"name":"model","max_conns":50,"engine":{"slots":8,"kv_tokens":10000}},
  {"name":"encode","max_conns":50,"pieces":{"slots":1,"queue":2,"batch":8,"call_ms":20,"item_ms":1,"room_mb":1,"handle_s":4}}],
 "limits":{"max_header_bytes":16384,"max_body_bytes":1000000,"header_timeout_ms":3000,"idle_timeout_ms":15000},
 "tenants":[{"name":"mere","api_keys":["k1"%s]}]}`

func listen(t *testing.T, handler http.Handler) netip.AddrPort {
	t.Helper()
	s := httptest.NewServer(handler)
	t.Cleanup(func() {
		s.CloseClientConnections() // a silenced one would be waited for
		s.Close()
	})
	return netip.MustParseAddrPort(strings.TrimPrefix(s.URL, "http://"))
}

// newGateways starts stand-ins and a number of entries.
func newGateways(t *testing.T, entries int) *gateways {
	t.Helper()
	return startGateways(t, &gateways{revoke: 5 * time.Second}, entries)
}

func startGateways(t *testing.T, g *gateways, entries int) *gateways {
	t.Helper()
	g.t, g.dir, g.store, g.backends, g.registered = t, t.TempDir(), store.New(), map[string]*backend.Server{}, map[string]backend.Options{}
	g.addr = listen(t, g.store)
	g.configure(1, 500, "")
	for _, s := range []struct {
		id, pool string
		opts     backend.Options
	}{
		{"desk-1", "desk", backend.Options{Slots: 4}},
		{"desk-2", "desk", backend.Options{Slots: 4}},
		{"model-1", "model", backend.Options{Slots: 8, Events: 5, Work: 200 * time.Millisecond, Pause: time.Millisecond}},
		{"model-2", "model", backend.Options{Slots: 8, Events: 5, Work: 200 * time.Millisecond, Pause: time.Millisecond}},
		{"encode-1", "encode", backend.Options{Slots: 1, Room: 100, Work: 20 * time.Millisecond}},
	} {
		g.backend(s.id, s.pool, s.opts)
	}
	for i := range entries {
		g.start(i)
	}
	t.Cleanup(func() {
		for _, p := range g.procs {
			_ = p.cmd.Process.Kill()
			<-p.done
		}
	})
	return g
}

// through returns the address of a proxy before another address, if there is one.
func (g *gateways) through(addr netip.AddrPort) netip.AddrPort {
	if !g.proxied {
		return addr
	}
	p, err := proxy.New(addr)
	qt.Assert(g.t, err, qt.IsNil)
	qt.Assert(g.t, p.Start(context.Background()), qt.IsNil)
	g.t.Cleanup(func() { _ = p.Close() })
	g.proxies = append(g.proxies, p)
	return p.Addr()
}

func (g *gateways) configure(version, aim int, keys string) {
	g.store.Put("keyed.op", "config", fmt.Appendf(nil, routes, version, aim, keys))
}

// backend adds a backend server. Its address is known once it listens.
func (g *gateways) backend(id, pool string, opts backend.Options) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(g.t, err, qt.IsNil)
	opts.ID, opts.Addr = id, g.through(netip.MustParseAddrPort(l.Addr().String())).String()
	s := backend.New(opts)
	server := &httptest.Server{Listener: l, Config: &http.Server{Handler: s}}
	server.Start()
	g.t.Cleanup(func() {
		server.CloseClientConnections() // a silenced one would be waited for
		server.Close()
	})
	g.backends[id], g.registered[id] = s, opts
	g.register(id, pool, opts, "ready")
}

func (g *gateways) register(id, pool string, opts backend.Options, state string) {
	record, err := json.Marshal(map[string]any{"service": pool, "addr": opts.Addr, "zone": "a", "slots": opts.Slots, "state": state, "cold_left_ms": 0, "seq": 1, "born": 1700000000000})
	qt.Assert(g.t, err, qt.IsNil)
	g.store.Put("keyed.servers", id, record)
}

// start runs one entry as the platform would.
func (g *gateways) start(i int) {
	given := &ports{}
	given.next.Store(int32(20000 + 10*i))
	var addrs []netip.AddrPort
	for range 3 {
		addr, err := given.take()
		qt.Assert(g.t, err, qt.IsNil)
		addrs = append(addrs, addr)
	}
	p := &gatewayProcess{number: i, addrs: addrs, front: addrs[0], ready: addrs[1]}
	p.config = filepath.Join(g.dir, fmt.Sprintf("gateway-%d.ini", i))
	p.log = filepath.Join(g.dir, fmt.Sprintf("gateway-%d.log", i))
	text := fmt.Sprintf("name = e%d\ndomain = a\naddr = %s\nready = %s\npeers = %s\nreach = %s\nstore = %s\ngrace = 5s\nextra = 50\nrevoke = %s\n",
		i, addrs[0], addrs[1], addrs[2], g.through(addrs[2]), g.through(g.addr), g.revoke)
	qt.Assert(g.t, os.WriteFile(p.config, []byte(text), 0o600), qt.IsNil)
	g.run(p)
	g.procs = append(g.procs, p)
	g.wait("the entry is ready", func() bool { return g.isReady(p) })
}

// run starts the process of an entry.
func (g *gateways) run(p *gatewayProcess) {
	binary, err := exec.LookPath("sequoialead")
	qt.Assert(g.t, err, qt.IsNil)
	log, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	qt.Assert(g.t, err, qt.IsNil)
	p.cmd = exec.Command(binary, "gateway", "--config", p.config)
	p.cmd.Stdout, p.cmd.Stderr = log, log
	qt.Assert(g.t, p.cmd.Start(), qt.IsNil)
	p.done = make(chan error, 1)
	go func(cmd *exec.Cmd, done chan error) {
		done <- cmd.Wait()
		_ = log.Close()
	}(p.cmd, p.done)
}

func (g *gateways) isReady(p *gatewayProcess) bool {
	response, err := http.Get("http://" + p.ready.String() + "/sequoialead/readyz")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

func (g *gateways) wait(what string, done func() bool) {
	g.t.Helper()
	for range 1000 {
		if done() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	g.t.Fatalf("%s: does not happen", what)
}

// ask sends a request and returns its status, body and whether it was whole.
func (g *gateways) ask(p *gatewayProcess, method, path, id, key string) (status int, body string, whole bool) {
	g.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+p.front.String()+path, strings.NewReader("body"))
	qt.Assert(g.t, err, qt.IsNil)
	r.Host = "h"
	r.Header.Set("Request-Id", id)
	r.Header.Set("Deadline", "2000")
	r.Header.Set("Authorization", "Token "+key)
	if strings.HasPrefix(path, "/draft/") {
		r.Header.Set("Pieces", "1,2")
		r.Header.Set("Piece-Key", "pk")
		r.Header.Set("Prompt-Prefix", "a1:10,"+id+":20")
		r.Header.Set("Token-Count", "30,10")
	}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, "", false
	}
	defer func() { _ = response.Body.Close() }()
	raw, err := io.ReadAll(response.Body)
	return response.StatusCode, string(raw), err == nil
}

func (g *gateways) explain(id string) string {
	binary, err := exec.LookPath("sequoialead")
	qt.Assert(g.t, err, qt.IsNil)
	args := []string{"explain", id}
	for _, p := range g.procs {
		args = append(args, p.log)
	}
	var out bytes.Buffer
	g.wait("the log has "+id, func() bool {
		out.Reset()
		cmd := exec.Command(binary, args...)
		cmd.Stdout = &out
		return cmd.Run() == nil && !strings.Contains(out.String(), "do not tell its end")
	})
	return out.String()
}

func TestGatewayServesEachKind(t *testing.T) {
	c := qt.New(t)
	g := newGateways(t, 2)
	status, body, _ := g.ask(g.procs[0], "GET", "/check/a%2fb?x=1", "c1", "k1")
	c.Assert(status, qt.Equals, 200)
	c.Assert(strings.HasSuffix(body, "answers c1"), qt.IsTrue)
	status, _, _ = g.ask(g.procs[1], "POST", "/hold/x", "c2", "k1")
	c.Assert(status, qt.Equals, 200)
	for i, p := range g.procs {
		status, body, whole := g.ask(p, "POST", "/draft/x", fmt.Sprintf("d%d", i), "k1")
		c.Assert(status, qt.Equals, 200, qt.Commentf("%s", body))
		c.Assert(whole && strings.Count(body, "id: ") == 5, qt.IsTrue)
	}
	seen := append(g.backends["desk-1"].Seen(), g.backends["desk-2"].Seen()...)
	c.Assert(seen, qt.HasLen, 2)
	for _, s := range seen {
		c.Assert(s.Header.Get("Tenant"), qt.Equals, "mere")
		c.Assert(s.Header.Get("Authorization"), qt.Equals, "")
	}
	g.wait("results are given up", func() bool { return g.backends["encode-1"].Held() == 0 })
	status, _, _ = g.ask(g.procs[0], "GET", "/none/", "c3", "k1")
	c.Assert(status, qt.Equals, 404)
	status, _, _ = g.ask(g.procs[0], "GET", "/check/", "c4", "k9")
	c.Assert(status, qt.Equals, 401)
}

// Each of three failed requests leads from its ID to its cause by the logs alone.
func TestExplainNamesTheCause(t *testing.T) {
	c := qt.New(t)
	g := newGateways(t, 1)
	p := g.procs[0]

	for _, id := range []string{"desk-1", "desk-2"} {
		g.backends[id].Fail(backend.FaultLose)
	}
	status, _, _ := g.ask(p, "POST", "/hold/x", "lost1", "k1")
	c.Assert(status, qt.Equals, 502)
	ran := len(g.backends["desk-1"].Seen()) + len(g.backends["desk-2"].Seen())
	c.Assert(ran, qt.Equals, 1)
	c.Assert(g.explain("lost1"), qt.Matches, `(?s).*is sent to desk-.*cause: the answer of desk-\d is lost; it may have run.*must not be sent again\n`)

	g.configure(2, 10, "")
	g.wait("version 2", func() bool {
		status, _, _ = g.ask(p, "POST", "/draft/x", "burst1", "k1")
		return status == 503
	})
	c.Assert(g.explain("burst1"), qt.Matches, `(?s).*cause: too much waited for its stages.*refused truthfully, not run\n`)

	g.configure(3, 130, "")
	g.wait("version 3", func() bool {
		status, _, _ = g.ask(p, "POST", "/draft/x", "late1", "k1")
		return status == 200
	})
	c.Assert(g.explain("late1"), qt.Matches, `(?s).*stage 0 .*stage 1 .*cause: the first byte came after .*, the objective is 130ms; the longest wait, .*\n`)
}

func TestGatewayFollowsTheOperator(t *testing.T) {
	c := qt.New(t)
	g := newGateways(t, 1)
	p := g.procs[0]
	status, _, _ := g.ask(p, "GET", "/check/", "a1", "k2")
	c.Assert(status, qt.Equals, 401)
	g.configure(2, 500, `,"k2"`)
	g.wait("the new key is in force", func() bool {
		status, _, _ = g.ask(p, "GET", "/check/", "a2", "k2")
		return status == 200
	})
	g.store.Put("keyed.op", "evacuate/a", []byte("{}"))
	g.wait("the domain gets nothing", func() bool {
		status, _, _ = g.ask(p, "GET", "/check/", "a3", "k1")
		return status == 503
	})
	g.store.Put("keyed.op", "evacuate/a", nil)
	g.wait("the domain is back", func() bool {
		status, _, _ = g.ask(p, "GET", "/check/", "a4", "k1")
		return status == 200
	})
}

// While the store is away keys are trusted for a bounded time, and the entry is
// ready again once it is back.
func TestGatewayWithoutTheStore(t *testing.T) {
	g := newGateways(t, 1)
	p := g.procs[0]
	g.store.SetFault(store.Fault{Down: true})
	g.wait("keys are not trusted any more", func() bool {
		status, _, _ := g.ask(p, "GET", "/check/", "s1", "k1")
		return status == 503
	})
	g.wait("the entry is not ready", func() bool { return !g.isReady(p) })
	g.store.SetFault(store.Fault{})
	g.wait("the entry is ready", func() bool { return g.isReady(p) })
	status, _, _ := g.ask(p, "GET", "/check/", "s2", "k1")
	qt.Assert(t, status, qt.Equals, 200)
}

// SIGHUP keeps the process and takes new bounds; SIGTERM lets a stream end.
func TestGatewaySignals(t *testing.T) {
	c := qt.New(t)
	g := newGateways(t, 1)
	p := g.procs[0]
	g.backend("model-3", "model", backend.Options{Slots: 8, Events: 20, Work: 5 * time.Millisecond, Pause: 50 * time.Millisecond})
	for _, id := range []string{"model-1", "model-2"} {
		g.store.Put("keyed.servers", id, nil)
	}
	g.wait("only the slow model is left", func() bool {
		_, _, _ = g.ask(p, "POST", "/draft/x", "b1", "k1")
		return len(g.backends["model-3"].Seen()) > 0
	})
	c.Assert(p.cmd.Process.Signal(syscall.SIGHUP), qt.IsNil)
	answered := make(chan bool, 1)
	go func() {
		status, body, whole := g.ask(p, "POST", "/draft/x", "b2", "k1")
		answered <- status == 200 && whole && strings.Count(body, "id: ") == 20
	}()
	g.wait("the stream has begun", func() bool { return len(g.backends["model-3"].Seen()) > 1 })
	c.Assert(p.cmd.Process.Signal(syscall.SIGTERM), qt.IsNil)
	g.wait("the entry is not ready", func() bool { return !g.isReady(p) })
	c.Assert(<-answered, qt.IsTrue)
	c.Assert(<-p.done, qt.IsNil)
	p.done <- nil // for the cleanup
	raw, err := os.ReadFile(p.log)
	c.Assert(err, qt.IsNil)
	for _, event := range []string{"event=started", "event=reload", "event=leaving", "event=stopped"} {
		c.Assert(strings.Contains(string(raw), event), qt.IsTrue, qt.Commentf("%s", event))
	}
}
