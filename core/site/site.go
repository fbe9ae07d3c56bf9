// Package site describes a complete system on one machine, for development and
// tests: entries, agents, and stand-ins for the backend servers, the platform's
// log and its instance list.
package site

import (
	"net/netip"
	"strings"
	"time"

	"gopkg.in/ini.v1"

	"sequoialead"
	"sequoialead/common/inisection"
)

// Site describes the processes of a system and their addresses.
type Site struct {
	Region string
	// FleetKey is the key, shared by all entries and agents, that authenticates the
	// messages between them.
	FleetKey string
	// Operator is the name of an operator of the site, and OperatorKey is the
	// operator's key.
	Operator    string
	OperatorKey string
	// LogAddr and ListAddr are the addresses of the stand-ins for the
	// platform's log and instance list.
	LogAddr  netip.AddrPort
	ListAddr netip.AddrPort
	Entries  []Entry
	Backends []Backend
}

// Entry is one entry of a site.
type Entry struct {
	Name   string
	Domain string
	Addr   netip.AddrPort
}

// Backend is a stand-in for a backend server, with its agent.
type Backend struct {
	// Name is the name of the agent.
	Name   string
	Pool   string
	Domain string
	// AgentAddr is the agent's address, and ServerAddr is the backend server's.
	AgentAddr  netip.AddrPort
	ServerAddr netip.AddrPort
	// WarmLimit is the capacity, in concurrent calls, at which the stand-in is warm,
	// and ColdLimit is its capacity right after a start.
	WarmLimit int
	ColdLimit int
	// ServiceTime is the duration of a call or, for generations, the time to
	// the first token. TokenInterval is the time between the tokens of one
	// stream.
	ServiceTime   time.Duration
	TokenInterval time.Duration
}

const (
	siteSection   = "site"
	entryPrefix   = "entry."
	backendPrefix = "backend."
)

// Parse reads a site in INI format. The name of the source appears in errors,
// which are of kind ErrSettings.
func Parse(name string, text []byte) (*Site, error) {
	file, err := ini.Load(text)
	if err != nil {
		return nil, sequoialead.ErrSettings.Wrap(err, "%s is not valid INI; correct the line named", name)
	}
	r := inisection.New(name)
	s := &Site{}
	for _, iniSection := range file.Sections() {
		r.SetSection(iniSection)
		switch {
		case iniSection.Name() == ini.DefaultSection:
		case iniSection.Name() == siteSection:
			s.Region = r.Required("region")
			s.FleetKey = r.Required("fleet")
			s.Operator = r.Required("operator")
			s.OperatorKey = r.Required("key")
			s.LogAddr = r.Addr("log")
			s.ListAddr = r.Addr("list")
		case strings.HasPrefix(iniSection.Name(), entryPrefix):
			s.Entries = append(s.Entries, Entry{Name: iniSection.Name()[len(entryPrefix):], Domain: r.Required("domain"), Addr: r.Addr("addr")})
		case strings.HasPrefix(iniSection.Name(), backendPrefix):
			s.Backends = append(s.Backends, parseBackend(r, iniSection.Name()[len(backendPrefix):]))
		default:
			r.Fail("section", "is not known; use site, entry.NAME or backend.NAME")
		}
	}
	return s, r.Err()
}

func parseBackend(r *inisection.Reader, name string) Backend {
	return Backend{
		Name:          name,
		Pool:          r.Required("pool"),
		Domain:        r.Required("domain"),
		AgentAddr:     r.Addr("addr"),
		ServerAddr:    r.Addr("server"),
		WarmLimit:     r.PositiveInt("full"),
		ColdLimit:     r.PositiveInt("cold"),
		ServiceTime:   r.Duration("work"),
		TokenInterval: r.Duration("token"),
	}
}
