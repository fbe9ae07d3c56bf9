// Package plan holds the configuration of passed-through requests: routes,
// pools, customers and limits. A Plan is one version of it.
package plan

import (
	"net/netip"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"sequoialead"
)

// Kind tells whether requests may be repeated, and how they are answered.
type Kind string

// The kinds of routes.
const (
	// KindSafe requests may run more than once.
	KindSafe Kind = "safe"
	// KindUnsafe requests run at most once for each attempt of a caller.
	KindUnsafe Kind = "unsafe"
	// KindStream requests are answered by a stream of events.
	KindStream Kind = "stream"
)

// Share is a pool with its weight in a route.
type Share struct {
	Pool   string
	Weight int
}

// Stage is work that must be done before a request can run, by the pool of that
// name.
type Stage struct {
	Pool string
	// After lists the indexes of the stages whose results this one needs.
	After []int
	// Bytes is the approximate size of one result.
	Bytes int
}

// Route describes how requests for a host and path prefix are served.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Timeout is the maximum time that a caller is kept waiting.
	Timeout time.Duration
	// Aim is the latency objective of an answer, or of the first event of a
	// stream.
	Aim time.Duration
	// Priority is 0 for the most urgent requests.
	Priority int
	// Shares holds at least one pool.
	Shares []Share
	// Attempts is the maximum number of backend servers that one request is sent
	// to.
	Attempts int
	Stages   []Stage
	// Public routes need no key.
	Public bool
	// Resumable streams may be continued by another backend server.
	Resumable bool
}

// Repeatable reports whether a request may be sent again although it may have
// run before.
func (r *Route) Repeatable() bool {
	return r.Kind == KindSafe || r.Kind == KindStream && r.Resumable
}

// Pool returns the pool for the request with the given ID: always the same for
// an ID, and in proportion to the weights over all IDs.
func (r *Route) Pool(id string) string {
	total := 0
	for _, s := range r.Shares {
		total += s.Weight
	}
	if total <= 0 {
		return r.Shares[0].Pool
	}
	point := int(xxhash.Sum64String(id) % uint64(total))
	for _, s := range r.Shares {
		if point < s.Weight {
			return s.Pool
		}
		point -= s.Weight
	}
	return r.Shares[len(r.Shares)-1].Pool
}

// Pieces holds the settings of a pool that makes pieces of stages. All are per
// backend server.
type Pieces struct {
	// Batch is the maximum number of pieces of one call.
	Batch int
	// Call is the fixed time of a call. Item is the time that each piece adds.
	Call time.Duration
	Item time.Duration
	// Room is the capacity for results in bytes.
	Room int
}

// Pool is a set of backend servers that do the same work.
type Pool struct {
	Name string
	// Conns is the maximum number of connections that one backend server
	// accepts.
	Conns int
	// ColdRate is how many requests per second a cold backend server can take;
	// zero if it is never cold.
	ColdRate float64
	// Slots is the number of requests that a model engine runs at once, and
	// Memory the number of tokens that it holds; zero for other backend servers.
	Slots  int
	Memory int
	// Pieces is nil for pools that don't make pieces.
	Pieces *Pieces
}

// Limits bounds what a caller may send. Header and Body are in bytes.
type Limits struct {
	Header int
	Body   int
	// Idle is the idle timeout of connections.
	Idle time.Duration
}

// Customer is a sender of requests, identified by its keys.
type Customer struct {
	Name string
	// Priority overrides that of the route; negative for no override.
	Priority int
}

// Plan is one version of the configuration.
type Plan struct {
	Version sequoialead.Version
	// Routes maps a host to its routes, sorted by decreasing length of their
	// prefix.
	Routes map[string][]*Route
	Pools  map[string]*Pool
	// Customers maps keys to customers; empty if requests need no key.
	Customers map[string]*Customer
	Limits    Limits
}

// Match returns the route for a host and request target, or nil if there is
// none. The query and the case and port of the host are ignored.
func (p *Plan) Match(host, target string) *Route {
	path, _, _ := strings.Cut(target, "?")
	for _, r := range p.Routes[Host(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Keyed reports whether requests need a key.
func (p *Plan) Keyed() bool { return len(p.Customers) > 0 }

// Host returns a host's name in lower case and without its port.
func Host(host string) string {
	if addr, err := netip.ParseAddrPort(host); err == nil {
		return addr.Addr().String()
	}
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	return strings.ToLower(host)
}
