// Package site describes a whole system on one machine: the stand-ins, the
// entries and the agents. Its exported types are the parts of a site.
package site

import (
	"net/netip"
	"strings"
	"time"

	"gopkg.in/ini.v1"

	"sequoialead"
)

// Site is a system with its stand-ins.
type Site struct {
	Region string
	// Fleet is the fleet's key.
	Fleet string
	// Operator and Key name an operator of the site and its key.
	Operator string
	Key      string
	Log      netip.AddrPort
	List     netip.AddrPort
	Entries  []Entry
	Backends []Backend
}

// Entry is one entry of a site.
type Entry struct {
	Name   string
	Domain string
	Addr   netip.AddrPort
}

// Backend is one backend server of a site, with its agent.
type Backend struct {
	Name   string
	Pool   string
	Domain string
	// Addr is the agent's address, Server that of the backend server.
	Addr   netip.AddrPort
	Server netip.AddrPort
	// Full, Cold, Work and Token describe the stand-in.
	Full  int
	Cold  int
	Work  time.Duration
	Token time.Duration
}

const (
	sectionSite   = "site"
	prefixEntry   = "entry."
	prefixBackend = "backend."
)

// Parse reads a site in INI form. The name is used in errors.
func Parse(name string, text []byte) (*Site, error) {
	file, err := ini.Load(text)
	if err != nil {
		return nil, sequoialead.ErrSettings.Wrap(err, "%s is not in INI form; correct the line named", name)
	}
	p := &parser{name: name}
	s := &Site{}
	for _, section := range file.Sections() {
		p.section = section
		switch {
		case section.Name() == ini.DefaultSection:
		case section.Name() == sectionSite:
			s.Region = p.text("region")
			s.Fleet = p.text("fleet")
			s.Operator = p.text("operator")
			s.Key = p.text("key")
			s.Log = p.addr("log")
			s.List = p.addr("list")
		case strings.HasPrefix(section.Name(), prefixEntry):
			s.Entries = append(s.Entries, Entry{Name: section.Name()[len(prefixEntry):], Domain: p.text("domain"), Addr: p.addr("addr")})
		case strings.HasPrefix(section.Name(), prefixBackend):
			s.Backends = append(s.Backends, p.backend(section.Name()[len(prefixBackend):]))
		default:
			p.fault("section", "is not known; use site, entry.NAME or backend.NAME")
		}
	}
	return s, p.err
}

type parser struct {
	name    string
	section *ini.Section
	// err is the first fault.
	err error
}

func (p *parser) fault(key, remedy string) {
	if p.err == nil {
		p.err = sequoialead.ErrSettings.New("%s: [%s] %s %s", p.name, p.section.Name(), key, remedy)
	}
}

func (p *parser) text(key string) string {
	value := p.section.Key(key).String()
	if value == "" {
		p.fault(key, "is missing; add it")
	}
	return value
}

func (p *parser) addr(key string) netip.AddrPort {
	addr, err := netip.ParseAddrPort(p.section.Key(key).String())
	if err != nil {
		p.fault(key, "is not IP:PORT")
	}
	return addr
}

func (p *parser) count(key string) int {
	n, err := p.section.Key(key).Int()
	if err != nil || n < 1 {
		p.fault(key, "is not a whole number from 1")
	}
	return n
}

func (p *parser) time(key string) time.Duration {
	d, err := p.section.Key(key).Duration()
	if err != nil || d < 0 {
		p.fault(key, "is not a time such as 20ms")
	}
	return d
}

func (p *parser) backend(name string) Backend {
	return Backend{
		Name:   name,
		Pool:   p.text("pool"),
		Domain: p.text("domain"),
		Addr:   p.addr("addr"),
		Server: p.addr("server"),
		Full:   p.count("full"),
		Cold:   p.count("cold"),
		Work:   p.time("work"),
		Token:  p.time("token"),
	}
}
