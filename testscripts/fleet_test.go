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

// fleet is a set of real processes with a proxy on each link.
type fleet struct {
	ports *ports
	// full is set where the site is in the form of core/site.
	full bool
	// bare leaves out the proxies.
	bare    bool
	dir     string
	binary  string
	site    *site.Site
	procs   map[string]*process
	proxies map[string]*proxy.Proxy
	lines   []list.Line

	mu     sync.Mutex
	calls  []*call
	groups map[string]*group
	last   *group
	marked map[string]int
	// stalls holds the callers that do not read their answers.
	stalls []stalled
	// answered tells the answer to the latest request.
	answered string
	// gone holds what backend servers recorded before they were killed.
	gone []fakeengine.Stats
}

// read reads a site and gives out addresses.
func (f *fleet) read(text []byte) error {
	var err error
	if f.full {
		f.site, err = site.Parse("site.ini", text)
	} else {
		err = f.parse(text)
	}
	if err != nil {
		return err
	}
	addrs := []*netip.AddrPort{&f.site.Log, &f.site.List}
	for i := range f.site.Entries {
		addrs = append(addrs, &f.site.Entries[i].Addr)
	}
	for i := range f.site.Backends {
		addrs = append(addrs, &f.site.Backends[i].Addr, &f.site.Backends[i].Server)
	}
	for _, a := range addrs {
		if *a, err = f.ports.take(); err != nil {
			return err
		}
	}
	return nil
}

// parse reads the short form of a site.
func (f *fleet) parse(text []byte) error {
	file, err := ini.Load(text)
	if err != nil {
		return err
	}
	head := file.Section("site")
	domains := strings.Fields(head.Key("domains").String())
	f.site = &site.Site{Region: "test", Fleet: "a fleet key for tests", Operator: "mere", Key: operatorKey}
	for i := range head.Key("entries").MustInt(1) {
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
				Name:   fmt.Sprint(pool, "-", i+1),
				Pool:   pool,
				Domain: domains[n%len(domains)],
				Full:   section.Key("full").MustInt(8),
				Cold:   section.Key("cold").MustInt(2),
				Work:   section.Key("work").MustDuration(5 * time.Millisecond),
				Token:  section.Key("token").MustDuration(time.Millisecond),
			})
			n++
		}
	}
	return nil
}

// start starts all processes and waits until they listen.
func (f *fleet) start(dir string, text []byte) error {
	f.dir = dir
	f.procs = map[string]*process{}
	f.proxies = map[string]*proxy.Proxy{}
	f.groups = map[string]*group{}
	binary, err := exec.LookPath("sequoialead")
	if err != nil {
		return err
	}
	f.binary = binary
	if err := f.read(text); err != nil {
		return err
	}
	if err := f.prepare(); err != nil {
		return err
	}
	for name := range f.procs {
		if err := f.run(name); err != nil {
			return err
		}
	}
	addrs := []netip.AddrPort{f.site.Log, f.site.List}
	for _, e := range f.site.Entries {
		addrs = append(addrs, e.Addr)
	}
	for _, b := range f.site.Backends {
		addrs = append(addrs, b.Addr, b.Server)
	}
	for _, a := range addrs {
		if err := listening(a); err != nil {
			return err
		}
	}
	return nil
}

// connected waits until every entry is connected to every agent.
func (f *fleet) connected() error {
	var addrs []netip.AddrPort
	for _, e := range f.site.Entries {
		addrs = append(addrs, e.Addr)
	}
	client, err := console.New(console.Options{Entries: addrs, Key: f.site.Key})
	if err != nil {
		return err
	}
	defer func() { _ = client.Close() }()
	for _, addr := range addrs {
		if err := f.connectedTo(client, addr); err != nil {
			return err
		}
	}
	return nil
}

func (f *fleet) connectedTo(client *console.Console, addr netip.AddrPort) error {
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
	return fmt.Errorf("entry %s is connected to %d agents", addr, n)
}

func listening(addr netip.AddrPort) error {
	for end := time.Now().Add(startTimeout); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		conn, err := net.Dial("tcp", addr.String())
		if err == nil {
			return conn.Close()
		}
	}
	return fmt.Errorf("nothing listens on %s", addr)
}

// link puts a proxy before an address, unless the fleet is to be measured.
func (f *fleet) link(name string, to netip.AddrPort) (netip.AddrPort, error) {
	if f.bare {
		return to, nil
	}
	p, err := proxy.New(to)
	if err != nil {
		return netip.AddrPort{}, err
	}
	f.proxies[name] = p
	return p.Addr(), p.Start(context.Background())
}

// prepare makes the proxies and the command line of each process.
func (f *fleet) prepare() error {
	f.procs["log"] = &process{args: []string{"fake", "log", "--addr", f.site.Log.String()}}
	path := filepath.Join(f.dir, "instances.json")
	f.procs["list"] = &process{args: []string{"fake", "list", "--addr", f.site.List.String(), "--file", path}}
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
	raw, err := json.Marshal(f.lines)
	if err != nil {
		return err
	}
	return os.WriteFile(path, raw, 0o600)
}

// prepareBackend prepares a backend server and its agent.
func (f *fleet) prepareBackend(b site.Backend) error {
	f.procs["backend:"+b.Name] = &process{args: []string{
		"fake", "engine", "--record", "--addr", b.Server.String(),
		"--full", fmt.Sprint(b.Full), "--cold", fmt.Sprint(b.Cold),
		"--work", b.Work.String(), "--token", b.Token.String(),
	}}
	addr, err := f.link("agent:"+b.Name, b.Addr)
	if err != nil {
		return err
	}
	f.lines = append(f.lines, list.Line{Name: b.Name, Role: "agent", Addr: addr, Pool: b.Pool, Domain: b.Domain, Region: f.site.Region})
	if b.Server, err = f.link("backend:"+b.Name, b.Server); err != nil {
		return err
	}
	return f.settings("agent:"+b.Name, "agent", f.site.AgentSettings(b)+"grace = 10s\n")
}

// prepareEntry prepares an entry, which reaches the platform through links of
// its own.
func (f *fleet) prepareEntry(e site.Entry) error {
	f.lines = append(f.lines, list.Line{Name: e.Name, Role: "entry", Addr: e.Addr, Domain: e.Domain, Region: f.site.Region})
	platform := *f.site
	var err error
	if platform.Log, err = f.link("log:"+e.Name, f.site.Log); err != nil {
		return err
	}
	if platform.List, err = f.link("list:"+e.Name, f.site.List); err != nil {
		return err
	}
	text := platform.EntrySettings(e) + "lag = 1s\ngrace = 20s\n"
	if !f.bare {
		text += "snapshot = 3s\n" // benchmarks keep the default
	}
	return f.settings("entry:"+e.Name, "entry", text)
}

func (f *fleet) settings(name, command, text string) error {
	path := filepath.Join(f.dir, strings.ReplaceAll(name, ":", "-")+".ini")
	f.procs[name] = &process{args: []string{command, "--config", path}}
	return os.WriteFile(path, []byte(text), 0o600)
}

// setList publishes the instance list, with the named instances leaving.
func (f *fleet) setList(leaving map[string]bool) error {
	lines := append([]list.Line(nil), f.lines...)
	for i := range lines {
		lines[i].Leaving = leaving[lines[i].Name]
	}
	return post(f.site.List, list.Path, lines)
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

func (f *fleet) logFault(fault fakelog.Fault) error { return post(f.site.Log, "/fault", fault) }

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

func (f *fleet) backendFault(name string, fault fakeengine.Fault) error {
	b, err := f.backend(name)
	if err != nil {
		return err
	}
	return post(b.Server, "/fault", fault)
}

func (f *fleet) stats(name string) (fakeengine.Stats, error) {
	var s fakeengine.Stats
	b, err := f.backend(name)
	if err != nil {
		return s, err
	}
	response, err := http.Get("http://" + b.Server.String() + "/stats")
	if err != nil {
		return s, err
	}
	defer func() { _ = response.Body.Close() }()
	return s, json.NewDecoder(response.Body).Decode(&s)
}

// selected returns the names of the backend servers that a word selects:
// domain:NAME, pool:NAME or a name.
func (f *fleet) selected(word string) []string {
	var names []string
	for _, b := range f.site.Backends {
		if word == b.Name || word == "domain:"+b.Domain || word == "pool:"+b.Pool || word == "all" {
			names = append(names, b.Name)
		}
	}
	return names
}
