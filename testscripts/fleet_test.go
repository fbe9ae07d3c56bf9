package testscripts

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"gopkg.in/ini.v1"

	"sequoialead/core/site"
	fakeengine "sequoialead/fake/engine"
	fakelog "sequoialead/fake/log"
	"sequoialead/fake/proxy"
	"sequoialead/io/console"
	"sequoialead/io/list"
)

const (
	operatorKey  = "operator-key"
	customerKey  = "customer-key"
	startTimeout = 10 * time.Second
	stopTimeout  = 40 * time.Second
)

type fleetKey struct{}

// fleet is a set of real processes. A proxy on each link between them injects
// network faults.
type fleet struct {
	ports *portAllocator
	// fullForm is set if the site is in the format that core/site parses.
	fullForm bool
	// noProxies connects the processes directly, for benchmarks.
	noProxies bool
	dir       string
	binary    string
	site      *site.Site
	procs     map[string]*process
	proxies   map[string]*proxy.Proxy
	instances []list.Instance

	mu          sync.Mutex
	calls       []*call
	groups      map[string]*callGroup
	lastGroup   *callGroup
	markedCalls map[string]int
	// stalledCallers holds the callers that have stopped reading their answers.
	stalledCallers []stalledCaller
	// lastAnswer is the status, outcome and reason of the latest cmdRequest.
	lastAnswer string
	// stoppedStats holds the records of backend servers that were stopped, read just
	// before.
	stoppedStats []fakeengine.Stats
}

// loadSite parses a site and allocates the addresses of its processes.
func (f *fleet) loadSite(text []byte) error {
	var err error
	if f.fullForm {
		f.site, err = site.Parse("site.ini", text)
	} else {
		err = f.parseShortForm(text)
	}
	if err != nil {
		return err
	}
	addrs := []*netip.AddrPort{&f.site.LogAddr, &f.site.ListAddr}
	for i := range f.site.Entries {
		addrs = append(addrs, &f.site.Entries[i].Addr)
	}
	for i := range f.site.Backends {
		addrs = append(addrs, &f.site.Backends[i].AgentAddr, &f.site.Backends[i].ServerAddr)
	}
	for _, a := range addrs {
		if *a, err = f.ports.allocate(); err != nil {
			return err
		}
	}
	return nil
}

// parseShortForm parses the short form of a site, which names the domains, the number
// of entries, and the number and options of the backend servers per pool. Domains are
// assigned round-robin.
func (f *fleet) parseShortForm(text []byte) error {
	file, err := ini.Load(text)
	if err != nil {
		return err
	}
	siteSection := file.Section("site")
	domains := strings.Fields(siteSection.Key("domains").String())
	f.site = &site.Site{Region: "test", FleetKey: "a fleet key for tests", Operator: "mere", OperatorKey: operatorKey}
	for i := range siteSection.Key("entries").MustInt(1) {
		f.site.Entries = append(f.site.Entries, site.Entry{Name: fmt.Sprint("e", i+1), Domain: domains[i%len(domains)]})
	}
	n := 0
	for _, section := range file.Sections() {
		pool, ok := strings.CutPrefix(section.Name(), "pool.")
		if !ok {
			continue
		}
		for i := range section.Key("count").MustInt(1) {
			f.site.Backends = append(f.site.Backends, site.Backend{
				Name:          fmt.Sprint(pool, "-", i+1),
				Pool:          pool,
				Domain:        domains[n%len(domains)],
				WarmLimit:     section.Key("full").MustInt(8),
				ColdLimit:     section.Key("cold").MustInt(2),
				ServiceTime:   section.Key("work").MustDuration(5 * time.Millisecond),
				TokenInterval: section.Key("token").MustDuration(time.Millisecond),
			})
			n++
		}
	}
	return nil
}

// start starts all processes and waits until they accept connections.
func (f *fleet) start(dir string, text []byte) error {
	f.dir = dir
	f.procs = map[string]*process{}
	f.proxies = map[string]*proxy.Proxy{}
	f.groups = map[string]*callGroup{}
	binary, err := exec.LookPath("sequoialead")
	if err != nil {
		return err
	}
	f.binary = binary
	if err := f.loadSite(text); err != nil {
		return err
	}
	if err := f.prepareProcesses(); err != nil {
		return err
	}
	for name := range f.procs {
		if err := f.startProcess(name); err != nil {
			return err
		}
	}
	addrs := []netip.AddrPort{f.site.LogAddr, f.site.ListAddr}
	for _, e := range f.site.Entries {
		addrs = append(addrs, e.Addr)
	}
	for _, b := range f.site.Backends {
		addrs = append(addrs, b.AgentAddr, b.ServerAddr)
	}
	for _, a := range addrs {
		if err := awaitListening(a); err != nil {
			return err
		}
	}
	return nil
}

// awaitConnections waits until each entry is connected to all agents.
func (f *fleet) awaitConnections() error {
	var addrs []netip.AddrPort
	for _, e := range f.site.Entries {
		addrs = append(addrs, e.Addr)
	}
	client, err := console.New(console.Options{Entries: addrs, Key: f.site.OperatorKey})
	if err != nil {
		return err
	}
	defer func() { _ = client.Close() }()
	for _, addr := range addrs {
		if err := f.awaitAgents(client, addr); err != nil {
			return err
		}
	}
	return nil
}

func (f *fleet) awaitAgents(client *console.Client, addr netip.AddrPort) error {
	n := 0
	for end := time.Now().Add(startTimeout); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		status, err := client.StatusOf(context.Background(), addr)
		if err != nil {
			return err
		}
		n = 0
		for _, a := range status.Agents {
			if a.Connected {
				n++
			}
		}
		if n == len(f.site.Backends) {
			return nil
		}
	}
	return fmt.Errorf("entry %s is connected to only %d agents", addr, n)
}

func awaitListening(addr netip.AddrPort) error {
	for end := time.Now().Add(startTimeout); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		conn, err := net.Dial("tcp", addr.String())
		if err == nil {
			return conn.Close()
		}
	}
	return fmt.Errorf("no process listens on %s", addr)
}

// addLink starts a proxy in front of an address and returns the proxy's address. A
// fleet without proxies gets the address itself.
func (f *fleet) addLink(name string, to netip.AddrPort) (netip.AddrPort, error) {
	if f.noProxies {
		return to, nil
	}
	p, err := proxy.New(to)
	if err != nil {
		return netip.AddrPort{}, err
	}
	f.proxies[name] = p
	return p.Addr(), p.Start(context.Background())
}

// prepareProcesses starts the proxies and sets the command line of each process.
func (f *fleet) prepareProcesses() error {
	f.procs["log"] = &process{args: []string{"fake", "log", "--addr", f.site.LogAddr.String()}}
	path := filepath.Join(f.dir, "instances.json")
	f.procs["list"] = &process{args: []string{"fake", "list", "--addr", f.site.ListAddr.String(), "--file", path}}
	for _, b := range f.site.Backends {
		if err := f.prepareBackend(b); err != nil {
			return err
		}
	}
	for _, e := range f.site.Entries {
		if err := f.prepareEntry(e); err != nil {
			return err
		}
	}
	raw, err := json.Marshal(f.instances)
	if err != nil {
		return err
	}
	return os.WriteFile(path, raw, 0o600)
}

// prepareBackend prepares the processes of a backend server and its agent.
func (f *fleet) prepareBackend(b site.Backend) error {
	f.procs["backend:"+b.Name] = &process{args: []string{
		"fake", "engine", "--record", "--addr", b.ServerAddr.String(),
		"--full", fmt.Sprint(b.WarmLimit), "--cold", fmt.Sprint(b.ColdLimit),
		"--work", b.ServiceTime.String(), "--token", b.TokenInterval.String(),
	}}
	addr, err := f.addLink("agent:"+b.Name, b.AgentAddr)
	if err != nil {
		return err
	}
	f.instances = append(f.instances, list.Instance{Name: b.Name, Role: "agent", Addr: addr, Pool: b.Pool, Domain: b.Domain, Region: f.site.Region})
	if b.ServerAddr, err = f.addLink("backend:"+b.Name, b.ServerAddr); err != nil {
		return err
	}
	return f.prepareDaemon("agent:"+b.Name, "agent", f.site.AgentSettings(b)+"grace = 10s\n")
}

// prepareEntry prepares the process of an entry. It reaches the log and the instance
// list through its own links, so that a fault can be limited to one entry.
func (f *fleet) prepareEntry(e site.Entry) error {
	f.instances = append(f.instances, list.Instance{Name: e.Name, Role: "entry", Addr: e.Addr, Domain: e.Domain, Region: f.site.Region})
	linked := *f.site
	var err error
	if linked.LogAddr, err = f.addLink("log:"+e.Name, f.site.LogAddr); err != nil {
		return err
	}
	if linked.ListAddr, err = f.addLink("list:"+e.Name, f.site.ListAddr); err != nil {
		return err
	}
	text := linked.EntrySettings(e) + "lag = 1s\ngrace = 20s\n"
	if !f.noProxies {
		text += "snapshot = 3s\n" // benchmarks use the default
	}
	return f.prepareDaemon("entry:"+e.Name, "entry", text)
}

// prepareDaemon writes the settings file of a daemon and sets its command line.
func (f *fleet) prepareDaemon(name, command, text string) error {
	path := filepath.Join(f.dir, strings.ReplaceAll(name, ":", "-")+".ini")
	f.procs[name] = &process{args: []string{command, "--config", path}}
	return os.WriteFile(path, []byte(text), 0o600)
}

// publishList publishes the instance list with the named instances marked as leaving.
func (f *fleet) publishList(leaving map[string]bool) error {
	updated := append([]list.Instance(nil), f.instances...)
	for i := range updated {
		updated[i].Leaving = leaving[updated[i].Name]
	}
	return post(f.site.ListAddr, list.Path, updated)
}

func post(addr netip.AddrPort, path string, value any) error {
	raw, err := json.Marshal(value)
	if err != nil {
		return err
	}
	response, err := http.Post("http://"+addr.String()+path, "application/json", bytes.NewReader(raw))
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("%s%s answered %s", addr, path, response.Status)
	}
	return nil
}

func (f *fleet) setLogFault(fault fakelog.Fault) error { return post(f.site.LogAddr, "/fault", fault) }

func (f *fleet) entry(name string) (site.Entry, error) {
	for _, e := range f.site.Entries {
		if e.Name == name {
			return e, nil
		}
	}
	return site.Entry{}, fmt.Errorf("no entry %q", name)
}

func (f *fleet) backend(name string) (site.Backend, error) {
	for _, b := range f.site.Backends {
		if b.Name == name {
			return b, nil
		}
	}
	return site.Backend{}, fmt.Errorf("no backend server %q", name)
}

func (f *fleet) setBackendFault(name string, fault fakeengine.Fault) error {
	b, err := f.backend(name)
	if err != nil {
		return err
	}
	return post(b.ServerAddr, "/fault", fault)
}

func (f *fleet) backendStats(name string) (fakeengine.Stats, error) {
	var s fakeengine.Stats
	b, err := f.backend(name)
	if err != nil {
		return s, err
	}
	response, err := http.Get("http://" + b.ServerAddr.String() + "/stats")
	if err != nil {
		return s, err
	}
	defer func() { _ = response.Body.Close() }()
	return s, json.NewDecoder(response.Body).Decode(&s)
}

// selectBackends returns the names of the backend servers that match a selector:
// domain:NAME, pool:NAME, all or a name.
func (f *fleet) selectBackends(selector string) []string {
	var names []string
	for _, b := range f.site.Backends {
		if selector == b.Name || selector == "domain:"+b.Domain || selector == "pool:"+b.Pool || selector == "all" {
			names = append(names, b.Name)
		}
	}
	return names
}
