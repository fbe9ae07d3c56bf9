// Package site describes a whole system on one machine: the stand-ins, the
// entries and the agents. Its exported types are the parts of a site.
package site

import (
	"net/netip"
	"strings"
	"time"

	"gopkg.in/ini.v1"

	"sequoialead"
	"sequoialead/common/section"
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
	r := section.New(name)
	s := &Site{}
	for _, part := range file.Sections() {
		r.Enter(part)
		switch {
		case part.Name() == ini.DefaultSection:
		case part.Name() == sectionSite:
			s.Region = r.Text("region")
			s.Fleet = r.Text("fleet")
			s.Operator = r.Text("operator")
			s.Key = r.Text("key")
			s.Log = r.Addr("log")
			s.List = r.Addr("list")
		case strings.HasPrefix(part.Name(), prefixEntry):
			s.Entries = append(s.Entries, Entry{Name: part.Name()[len(prefixEntry):], Domain: r.Text("domain"), Addr: r.Addr("addr")})
		case strings.HasPrefix(part.Name(), prefixBackend):
			s.Backends = append(s.Backends, backend(r, part.Name()[len(prefixBackend):]))
		default:
			r.Fault("section", "is not known; use site, entry.NAME or backend.NAME")
		}
	}
	return s, r.Err()
}

func backend(r *section.Reader, name string) Backend {
	return Backend{
		Name:   name,
		Pool:   r.Text("pool"),
		Domain: r.Text("domain"),
		Addr:   r.Addr("addr"),
		Server: r.Addr("server"),
		Full:   r.Count("full"),
		Cold:   r.Count("cold"),
		Work:   r.Time("work"),
		Token:  r.Time("token"),
	}
}
