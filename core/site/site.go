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
	"sequoialead/common/section"
)

// Site describes the processes of a system and their addresses.
type Site struct {
	Region string
	// Fleet is the fleet's shared key.
	Fleet string
	// Operator is the name of an operator of the site, and Key is the operator's key.
	Operator string
	Key      string
	// Log and List are the addresses of the stand-ins for the platform's log and
	// instance list.
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

// Backend is a stand-in for a backend server, with its agent.
type Backend struct {
	// Name is the name of the agent.
	Name   string
	Pool   string
	Domain string
	// Addr is the agent's address, and Server is the backend server's.
	Addr   netip.AddrPort
	Server netip.AddrPort
	// Full is the number of calls that the stand-in runs concurrently when warm
	// without slowing down, and Cold is the number right after a start.
	Full int
	Cold int
	// Work is the duration of a call or, for generations, the time to the first
	// token. Token is the time between the tokens of one stream.
	Work  time.Duration
	Token time.Duration
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
	r := section.New(name)
	s := &Site{}
	for _, iniSection := range file.Sections() {
		r.SetSection(iniSection)
		switch {
		case iniSection.Name() == ini.DefaultSection:
		case iniSection.Name() == siteSection:
			s.Region = r.Required("region")
			s.Fleet = r.Required("fleet")
			s.Operator = r.Required("operator")
			s.Key = r.Required("key")
			s.Log = r.Addr("log")
			s.List = r.Addr("list")
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

func parseBackend(r *section.Reader, name string) Backend {
	return Backend{
		Name:   name,
		Pool:   r.Required("pool"),
		Domain: r.Required("domain"),
		Addr:   r.Addr("addr"),
		Server: r.Addr("server"),
		Full:   r.PositiveInt("full"),
		Cold:   r.PositiveInt("cold"),
		Work:   r.Duration("work"),
		Token:  r.Duration("token"),
	}
}
