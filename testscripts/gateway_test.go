package testscripts

import (
	"bytes"
	"cmp"
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
	"sync"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"sequoialead/fake/backend"
	"sequoialead/fake/proxy"
	"sequoialead/fake/store"
)

// gatewaySite is a site on the users' platform: real gateway processes, and stand-ins
// for the store and the backend servers.
type gatewaySite struct {
	t         *testing.T
	dir       string
	store     *store.Server
	storeAddr netip.AddrPort
	procs     []*gatewayProcess
	// backends holds the stand-ins for backend servers by ID.
	backends map[string]*backend.Server
	// backendOptions holds the options of the backend servers by ID, to write their
	// records in the store again.
	backendOptions map[string]backend.Options
	// proxied puts a proxy in front of each backend server, between each gateway and
	// the store, and in front of each gateway's address for its peers.
	proxied bool
	proxies []*proxy.Proxy
	// revocationTimeout is the time within which a removed API key must be refused.
	revocationTimeout time.Duration
	// memory is the maximum memory of a gateway in MB; 0 for gatewayMemory.
	memory int
	// files is the maximum number of descriptors of a gateway's process; 0 for the test's own.
	files int
	// settings is added to each gateway's settings.
	settings string
}

// gatewayMemory is the maximum memory of a gateway in MB unless a test sets another.
const gatewayMemory = 256

type gatewayProcess struct {
	// stopping is set from the signal that ends the process until its next start.
	stopping   bool
	index      int
	addrs      []netip.AddrPort
	cmd        *exec.Cmd
	callerAddr netip.AddrPort
	readyAddr  netip.AddrPort
	configPath string
	logPath    string
	exited     chan error
}

const configTemplate = `{"version":%d,"routes":[
 {"name":"check","host":"h","path_prefix":"/check/","kind":"safe","timeout_ms":2000,"slo_ms":500,"service":"desk","max_attempts":2},
 {"name":"hold","host":"h","path_prefix":"/hold/","kind":"unsafe","timeout_ms":2000,"slo_ms":500,"service":"desk","max_attempts":1},
 {"name":"draft","host":"h","path_prefix":"/draft/","kind":"streaming","timeout_ms":9000,"slo_ms":%d,"gap_aim_ms":300,"service":"model","max_attempts":2,"resumable":true,
  "stages":[{"service":"encode","after":[],"bytes":10},{"service":"encode","after":[0],"bytes":10}]}],
 "services":[{"name":"desk","max_conns":50},{"name":"model","max_conns":50,"engine":{"slots":8,"kv_tokens":10000}},
  {"name":"encode","max_conns":50,"pieces":{"slots":1,"queue":2,"batch":8,"call_ms":20,"item_ms":1,"room_mb":1,"handle_s":4}}],
 "limits":{"max_header_bytes":16384,"max_body_bytes":1000000,"header_timeout_ms":3000,"idle_timeout_ms":15000},
 "tenants":[{"name":"mere","api_keys":["k1"%s]}]}`

func serve(t *testing.T, handler http.Handler) netip.AddrPort {
	t.Helper()
	s := httptest.NewServer(handler)
	t.Cleanup(func() {
		s.CloseClientConnections() // Close would wait for connections that a fault has stalled
		s.Close()
	})
	return netip.MustParseAddrPort(strings.TrimPrefix(s.URL, "http://"))
}

// newGateways starts the stand-ins and a number of gateways, without proxies.
func newGateways(t *testing.T, entries int) *gatewaySite {
	t.Helper()
	return startGateways(t, &gatewaySite{revocationTimeout: 5 * time.Second}, entries)
}

func startGateways(t *testing.T, g *gatewaySite, entries int) *gatewaySite {
	t.Helper()
	g.t, g.dir, g.store, g.backends, g.backendOptions = t, t.TempDir(), store.New(), map[string]*backend.Server{}, map[string]backend.Options{}
	g.storeAddr = serve(t, g.store)
	g.configure(1, 500, "")
	for _, s := range []struct {
		id, pool string
		opts     backend.Options
	}{
		{"desk-1", "desk", backend.Options{Slots: 4}},
		{"desk-2", "desk", backend.Options{Slots: 4}},
		{"model-1", "model", backend.Options{Slots: 8, Events: 5, ServiceTime: 200 * time.Millisecond, EventInterval: time.Millisecond}},
		{"model-2", "model", backend.Options{Slots: 8, Events: 5, ServiceTime: 200 * time.Millisecond, EventInterval: time.Millisecond}},
		{"encode-1", "encode", backend.Options{Slots: 1, Room: 100, ServiceTime: 20 * time.Millisecond}},
	} {
		g.addBackend(s.id, s.pool, s.opts)
	}
	for i := range entries {
		g.startGateway(i)
	}
	t.Cleanup(func() {
		for _, p := range g.procs {
			_ = p.cmd.Process.Kill()
			<-p.exited
		}
	})
	return g
}

// addProxy starts a proxy in front of an address and returns the proxy's address. A
// site that is not proxied gets the address itself.
func (g *gatewaySite) addProxy(addr netip.AddrPort) netip.AddrPort {
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

func (g *gatewaySite) configure(version, sloMS int, extraKeys string) {
	g.store.Put("keyed.op", "config", fmt.Appendf(nil, configTemplate, version, sloMS, extraKeys))
}

// addBackend starts a backend server and registers it in the store. The record needs
// its address, so it listens first.
func (g *gatewaySite) addBackend(id, pool string, opts backend.Options) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(g.t, err, qt.IsNil)
	opts.ID, opts.Addr = id, g.addProxy(netip.MustParseAddrPort(l.Addr().String())).String()
	s := backend.New(opts)
	server := &httptest.Server{Listener: l, Config: &http.Server{Handler: s}}
	server.Start()
	g.t.Cleanup(func() {
		server.CloseClientConnections() // Close would wait for connections that a fault has stalled
		server.Close()
	})
	g.backends[id], g.backendOptions[id] = s, opts
	g.putBackendRecord(id, pool, opts, "ready")
}

func (g *gatewaySite) putBackendRecord(id, pool string, opts backend.Options, state string) {
	g.putBackendRecordBorn(id, pool, opts, state, 1700000000000)
}

// putBackendRecordBorn writes the record of a backend server that started at the given time
// in Unix milliseconds.
func (g *gatewaySite) putBackendRecordBorn(id, pool string, opts backend.Options, state string, born int64) {
	fields := map[string]any{"service": pool, "addr": opts.Addr, "zone": "a", "slots": opts.Slots, "state": state, "cold_left_ms": 0, "seq": 1, "born": born}
	if opts.Version != "" {
		fields["version"] = opts.Version
	}
	record, err := json.Marshal(fields)
	qt.Assert(g.t, err, qt.IsNil)
	g.store.Put("keyed.servers", id, record)
}

// startGateway starts a gateway with the settings that the platform would give it and
// waits until it is ready.
func (g *gatewaySite) startGateway(i int) {
	allocator := &portAllocator{}
	allocator.next.Store(int32(20000 + 10*i))
	var addrs []netip.AddrPort
	for range 3 {
		addr, err := allocator.allocate()
		qt.Assert(g.t, err, qt.IsNil)
		addrs = append(addrs, addr)
	}
	p := &gatewayProcess{index: i, addrs: addrs, callerAddr: addrs[0], readyAddr: addrs[1]}
	p.configPath = filepath.Join(g.dir, fmt.Sprintf("gateway-%d.ini", i))
	p.logPath = filepath.Join(g.dir, fmt.Sprintf("gateway-%d.log", i))
	text := fmt.Sprintf("name = e%d\ndomain = a\naddr = %s\nready = %s\npeers = %s\nreach = %s\nstore = %s\ngrace = 5s\nextra = 50\nrevoke = %s\nmemory = %d\n",
		i, addrs[0], addrs[1], addrs[2], g.addProxy(addrs[2]), g.addProxy(g.storeAddr), g.revocationTimeout, cmp.Or(g.memory, gatewayMemory)) + g.settings
	qt.Assert(g.t, os.WriteFile(p.configPath, []byte(text), 0o600), qt.IsNil)
	g.startProcess(p)
	g.procs = append(g.procs, p)
	g.waitFor("the gateway is ready", func() bool { return g.isReady(p) })
}

// startProcess starts the process of a gateway, also one that has exited. Its output
// is appended to the same log file.
func (g *gatewaySite) startProcess(p *gatewayProcess) {
	binary, err := exec.LookPath("sequoialead")
	qt.Assert(g.t, err, qt.IsNil)
	log, err := os.OpenFile(p.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	qt.Assert(g.t, err, qt.IsNil)
	p.cmd = exec.Command(binary, "gateway", "--config", p.configPath)
	if g.files > 0 {
		p.cmd = exec.Command("sh", "-c", fmt.Sprintf(`ulimit -n %d && exec "$0" gateway --config "$1"`, g.files), binary, p.configPath)
	}
	p.cmd.Stdout, p.cmd.Stderr = log, log
	qt.Assert(g.t, p.cmd.Start(), qt.IsNil)
	p.exited = make(chan error, 1)
	go func(cmd *exec.Cmd, done chan error) {
		done <- cmd.Wait()
		_ = log.Close()
	}(p.cmd, p.exited)
}

func (g *gatewaySite) isReady(p *gatewayProcess) bool {
	response, err := http.Get("http://" + p.readyAddr.String() + "/sequoialead/readyz")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

func (g *gatewaySite) waitFor(condition string, done func() bool) {
	g.t.Helper()
	for range 1000 {
		if done() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	g.t.Fatalf("timed out waiting until %s", condition)
}

// sendRequest sends a request and returns the status and body of the answer, and
// whether the body was complete.
func (g *gatewaySite) sendRequest(p *gatewayProcess, method, path, id, key string) (status int, body string, complete bool) {
	g.t.Helper()
	return g.sendWithPrompt(p, method, path, id, key, "a1:10,"+id+":20")
}

// sendDraft sends a request for a draft whose prompt has the given parts.
func (g *gatewaySite) sendDraft(p *gatewayProcess, id, parts string) (status int, body string, complete bool) {
	g.t.Helper()
	return g.sendWithPrompt(p, "POST", "/draft/x", id, "k1", parts)
}

func (g *gatewaySite) sendWithPrompt(p *gatewayProcess, method, path, id, key, parts string) (status int, body string, complete bool) {
	g.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+p.callerAddr.String()+path, strings.NewReader("body"))
	qt.Assert(g.t, err, qt.IsNil)
	r.Host = "h"
	r.Header.Set("Request-Id", id)
	r.Header.Set("Deadline", "2000")
	r.Header.Set("Authorization", "Token "+key)
	if strings.HasPrefix(path, "/draft/") {
		r.Header.Set("Pieces", "1,2")
		r.Header.Set("Piece-Key", "pk")
		r.Header.Set("Prompt-Prefix", parts)
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

// explain runs the explain command on the logs of all gateways until they contain the
// end of the request, and returns its output.
func (g *gatewaySite) explain(id string) string {
	binary, err := exec.LookPath("sequoialead")
	qt.Assert(g.t, err, qt.IsNil)
	args := []string{"explain", id}
	for _, p := range g.procs {
		args = append(args, p.logPath)
	}
	var out bytes.Buffer
	g.waitFor("the log tells the end of "+id, func() bool {
		out.Reset()
		cmd := exec.Command(binary, args...)
		cmd.Stdout = &out
		return cmd.Run() == nil && !strings.Contains(out.String(), "do not show how the request ended")
	})
	return out.String()
}

func TestGatewayServesEachKind(t *testing.T) {
	c := qt.New(t)
	g := newGateways(t, 2)
	status, body, _ := g.sendRequest(g.procs[0], "GET", "/check/a%2fb?x=1", "c1", "k1")
	c.Assert(status, qt.Equals, 200)
	c.Assert(strings.HasSuffix(body, "answers c1"), qt.IsTrue)
	status, _, _ = g.sendRequest(g.procs[1], "POST", "/hold/x", "c2", "k1")
	c.Assert(status, qt.Equals, 200)
	for i, p := range g.procs {
		status, body, complete := g.sendRequest(p, "POST", "/draft/x", fmt.Sprintf("d%d", i), "k1")
		c.Assert(status, qt.Equals, 200, qt.Commentf("%s", body))
		c.Assert(complete && strings.Count(body, "id: ") == 5, qt.IsTrue)
	}
	arrivals := append(g.backends["desk-1"].Arrivals(), g.backends["desk-2"].Arrivals()...)
	c.Assert(arrivals, qt.HasLen, 2)
	for _, arrival := range arrivals {
		c.Assert(arrival.Header.Get("Tenant"), qt.Equals, "mere")
		c.Assert(arrival.Header.Get("Authorization"), qt.Equals, "")
	}
	g.waitFor("the results of the pieces are released", func() bool { return g.backends["encode-1"].ResultCount() == 0 })
	status, _, _ = g.sendRequest(g.procs[0], "GET", "/none/", "c3", "k1")
	c.Assert(status, qt.Equals, 404)
	status, _, _ = g.sendRequest(g.procs[0], "GET", "/check/", "c4", "k9")
	c.Assert(status, qt.Equals, 401)
}

// TestExplainNamesTheCause checks that the explain command finds the cause of a failed
// or late request from its ID and the logs alone: a lost answer, too much work queued
// for its stages, and a first byte later than the objective.
func TestExplainNamesTheCause(t *testing.T) {
	c := qt.New(t)
	g := newGateways(t, 1)
	p := g.procs[0]

	for _, id := range []string{"desk-1", "desk-2"} {
		g.backends[id].Inject(backend.FaultLose)
	}
	status, _, _ := g.sendRequest(p, "POST", "/hold/x", "lost1", "k1")
	c.Assert(status, qt.Equals, 502)
	ran := len(g.backends["desk-1"].Arrivals()) + len(g.backends["desk-2"].Arrivals())
	c.Assert(ran, qt.Equals, 1)
	c.Assert(g.explain("lost1"), qt.Matches, `(?s).*is sent to desk-.*cause: the answer of desk-\d is lost; it may have run.*must not be sent again\n`)

	g.configure(2, 10, "")
	g.waitFor("version 2 is in force", func() bool {
		status, _, _ = g.sendRequest(p, "POST", "/draft/x", "burst1", "k1")
		return status == 503
	})
	c.Assert(g.explain("burst1"), qt.Matches, `(?s).*cause: too much waited for its stages.*refused truthfully, not run\n`)

	g.configure(3, 130, "")
	g.waitFor("version 3 is in force", func() bool {
		status, _, _ = g.sendRequest(p, "POST", "/draft/x", "late1", "k1")
		return status == 200
	})
	c.Assert(g.explain("late1"), qt.Matches, `(?s).*stage 0 .*stage 1 .*cause: the first byte came after .*, the objective is 130ms; the longest wait, .*\n`)
}

// TestGatewayHeedsServerNotices checks that a backend server that says that it is leaving, or
// that it wants nothing for a while, gets no requests from a gateway that has read it.
func TestGatewayHeedsServerNotices(t *testing.T) {
	c := qt.New(t)
	g := newGateways(t, 1)
	p := g.procs[0]
	send := func(prefix string, count int) {
		for i := range count {
			status, body, _ := g.sendRequest(p, "GET", "/check/", fmt.Sprintf("%s%d", prefix, i), "k1")
			c.Assert(status, qt.Equals, 200, qt.Commentf("%s", body))
		}
	}
	arrived := func(id string) int { return len(g.backends[id].Arrivals()) }

	send("first", 1)
	told, other := "desk-1", "desk-2"
	if arrived(told) == 0 {
		told, other = other, told
	}

	g.backends[told].Say(map[string]string{"Retry-After": "2"})
	g.backends[told].Refuse(true)
	g.waitFor("a request is refused", func() bool {
		send("refused", 1)
		return arrived(told) > 1
	})
	g.backends[told].Refuse(false)
	before, refusedAt := arrived(told), time.Now()
	for time.Since(refusedAt) < 1500*time.Millisecond {
		send("held", 5)
	}
	c.Assert(arrived(told), qt.Equals, before)

	g.backends[told].Say(map[string]string{"Server-Leaving": "1"})
	g.backends[other].Say(map[string]string{"Retry-After": "1"})
	time.Sleep(time.Until(refusedAt.Add(2100 * time.Millisecond)))
	g.backends[other].Refuse(true)
	g.waitFor("the server gets a request again, and says that it leaves", func() bool {
		send("again", 1)
		return arrived(told) > before
	})
	g.backends[other].Refuse(false)
	g.putBackendRecord(told, "desk", g.backendOptions[told], "ready") // the store doesn't know yet
	time.Sleep(1100 * time.Millisecond)
	g.backends[other].Say(nil)
	send("left", 50)
	c.Assert(arrived(told), qt.Equals, before+1)

	g.backends[other].Say(map[string]string{"Retry-After": "30"})
	g.backends[other].Refuse(true)
	status, _, _ := g.sendRequest(p, "GET", "/check/", "last1", "k1")
	c.Assert(status, qt.Equals, 503)
	status, body, _ := g.sendRequest(p, "GET", "/check/", "last2", "k1")
	c.Assert(status, qt.Equals, 503)
	c.Assert(body, qt.Matches, `(?s)held: .*`)
}

// TestGatewaysHoldBackDeadlyPrompts checks that no gateway sends on a prompt that has crashed
// backend servers behind the others, and that sound prompts beside it are served.
func TestGatewaysHoldBackDeadlyPrompts(t *testing.T) {
	c := qt.New(t)
	g := newGateways(t, 3)
	var mu sync.Mutex
	crashes := 0
	for _, id := range []string{"model-1", "model-2"} {
		g.backends[id].CrashOn("dead", func() {
			mu.Lock()
			defer mu.Unlock()
			crashes++
			g.putBackendRecordBorn(id, "model", g.backendOptions[id], "ready", 1700000000000+int64(crashes)) // it starts again
		})
	}
	count := func() int {
		mu.Lock()
		defer mu.Unlock()
		return crashes
	}
	send := func(p *gatewayProcess, id, prefix string) int {
		status, _, complete := g.sendDraft(p, id, prefix+","+id+":20")
		if status == 200 && !complete {
			return 0
		}
		return status
	}
	n := 0
	g.waitFor("all gateways hold the prompt back", func() bool {
		held := 0
		for i, p := range g.procs {
			n++
			if send(p, fmt.Sprintf("a%d", n), "a1:10,dead:10") == 503 {
				held++
			}
			c.Assert(send(g.procs[(i+1)%3], fmt.Sprintf("b%d", n), "a1:10,b2:10"), qt.Equals, 200)
		}
		time.Sleep(300 * time.Millisecond)
		return held == len(g.procs)
	})
	before := count()
	for i := range 30 {
		status := send(g.procs[i%3], fmt.Sprintf("c%d", i), "a1:10,dead:10")
		c.Assert(status, qt.Equals, 503)
		c.Assert(send(g.procs[i%3], fmt.Sprintf("d%d", i), "a1:10,b2:10"), qt.Equals, 200)
	}
	c.Assert(count(), qt.Equals, before)
	c.Assert(g.explain("c0"), qt.Matches, `(?s).*have crashed backend servers.*refused truthfully, not run\n`)
}

func TestGatewayFollowsTheOperator(t *testing.T) {
	c := qt.New(t)
	g := newGateways(t, 1)
	p := g.procs[0]
	status, _, _ := g.sendRequest(p, "GET", "/check/", "a1", "k2")
	c.Assert(status, qt.Equals, 401)
	g.configure(2, 500, `,"k2"`)
	g.waitFor("the new key is in force", func() bool {
		status, _, _ = g.sendRequest(p, "GET", "/check/", "a2", "k2")
		return status == 200
	})
	g.store.Put("keyed.op", "evacuate/a", []byte("{}"))
	g.waitFor("the evacuated domain gets no requests", func() bool {
		status, _, _ = g.sendRequest(p, "GET", "/check/", "a3", "k1")
		return status == 503
	})
	g.store.Put("keyed.op", "evacuate/a", nil)
	g.waitFor("the domain gets requests again", func() bool {
		status, _, _ = g.sendRequest(p, "GET", "/check/", "a4", "k1")
		return status == 200
	})
}

// TestGatewayWithoutTheStore checks that a gateway without the store accepts API keys
// for a limited time only, then is not ready, and recovers once the store is back.
func TestGatewayWithoutTheStore(t *testing.T) {
	g := newGateways(t, 1)
	p := g.procs[0]
	g.store.SetFault(store.Fault{Down: true})
	g.waitFor("API keys are no longer accepted", func() bool {
		status, _, _ := g.sendRequest(p, "GET", "/check/", "s1", "k1")
		return status == 503
	})
	g.waitFor("the gateway is not ready", func() bool { return !g.isReady(p) })
	g.store.SetFault(store.Fault{})
	g.waitFor("the gateway is ready", func() bool { return g.isReady(p) })
	status, _, _ := g.sendRequest(p, "GET", "/check/", "s2", "k1")
	qt.Assert(t, status, qt.Equals, 200)
}

// TestGatewaySignals checks that SIGHUP reloads the settings that may change at run
// time without ending the process, and that SIGTERM lets a stream in flight end before
// the process exits.
func TestGatewaySignals(t *testing.T) {
	c := qt.New(t)
	g := newGateways(t, 1)
	p := g.procs[0]
	g.addBackend("model-3", "model", backend.Options{Slots: 8, Events: 20, ServiceTime: 5 * time.Millisecond, EventInterval: 50 * time.Millisecond})
	for _, id := range []string{"model-1", "model-2"} {
		g.store.Put("keyed.servers", id, nil)
	}
	g.waitFor("requests reach the slow model", func() bool {
		_, _, _ = g.sendRequest(p, "POST", "/draft/x", "b1", "k1")
		return len(g.backends["model-3"].Arrivals()) > 0
	})
	c.Assert(p.cmd.Process.Signal(syscall.SIGHUP), qt.IsNil)
	answered := make(chan bool, 1)
	go func() {
		status, body, complete := g.sendRequest(p, "POST", "/draft/x", "b2", "k1")
		answered <- status == 200 && complete && strings.Count(body, "id: ") == 20
	}()
	g.waitFor("the stream has begun", func() bool { return len(g.backends["model-3"].Arrivals()) > 1 })
	c.Assert(p.cmd.Process.Signal(syscall.SIGTERM), qt.IsNil)
	g.waitFor("the gateway is not ready", func() bool { return !g.isReady(p) })
	c.Assert(<-answered, qt.IsTrue)
	c.Assert(<-p.exited, qt.IsNil)
	p.exited <- nil // the cleanup receives it again
	raw, err := os.ReadFile(p.logPath)
	c.Assert(err, qt.IsNil)
	for _, event := range []string{"event=started", "event=reload", "event=leaving", "event=stopped"} {
		c.Assert(strings.Contains(string(raw), event), qt.IsTrue, qt.Commentf("%s", event))
	}
}
