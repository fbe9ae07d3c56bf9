// Package proxyconfig holds the configuration of gateways: routes, pools,
// customers and limits. A Config is one version of it.
package proxyconfig

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

// WeightedPool is a pool with its weight in a route.
type WeightedPool struct {
	Pool   string
	Weight int
}

// Stage is work that a pool must do before a request can run.
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
	// Objective is the latency objective of an answer, or of the first event of a
	// stream.
	Objective time.Duration
	// Priority is 0 for the most urgent requests.
	Priority int
	// Pools holds at least one pool.
	Pools []WeightedPool
	// MaxAttempts is the maximum number of backend servers that one request is sent
	// to.
	MaxAttempts int
	Stages      []Stage
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

// Pool returns the pool for the request with the given ID. The choice depends on
// the ID alone, and IDs are distributed in proportion to the weights.
func (r *Route) Pool(id string) string {
	total := 0
	for _, s := range r.Pools {
		total += s.Weight
	}
	if total <= 0 {
		return r.Pools[0].Pool
	}
	point := int(xxhash.Sum64String(id) % uint64(total))
	for _, s := range r.Pools {
		if point < s.Weight {
			return s.Pool
		}
		point -= s.Weight
	}
	return r.Pools[len(r.Pools)-1].Pool
}

// PieceLimits holds the settings of a pool that makes pieces, the units of work
// of a stage. All of them apply to each backend server.
type PieceLimits struct {
	// MaxBatch is the maximum number of pieces in one call.
	MaxBatch int
	// CallTime is the fixed time of a call. ItemTime is the time that each piece
	// adds.
	CallTime time.Duration
	ItemTime time.Duration
	// RoomBytes is the memory for results in bytes.
	RoomBytes int
}

// Pool is a set of backend servers that do the same work.
type Pool struct {
	Name string
	// MaxConns is the maximum number of connections that one backend server
	// accepts.
	MaxConns int
	// ColdRate is how many requests per second a cold backend server can take;
	// zero if it is never cold.
	ColdRate float64
	// Slots is the number of requests that a model engine runs at once, and
	// MemoryTokens the number of tokens that it holds; zero for other backend
	// servers.
	Slots        int
	MemoryTokens int
	// Pieces is nil for pools that don't make pieces.
	Pieces *PieceLimits
}

// Limits bounds what a caller may send. Header and Body are maximum sizes in
// bytes.
type Limits struct {
	Header int
	Body   int
	// HeaderTimeout is the time in which the header of a request must arrive.
	HeaderTimeout time.Duration
	// Idle is the idle timeout of connections.
	Idle time.Duration
}

// Customer is a sender of requests, identified by its keys.
type Customer struct {
	Name string
	// Priority overrides that of the route; negative for no override.
	Priority int
}

// Config is one version of the configuration.
type Config struct {
	Version sequoialead.Version
	// Routes maps a host to its routes, sorted by decreasing length of their
	// prefix.
	Routes map[string][]*Route
	Pools  map[string]*Pool
	// Customers maps keys to customers. It is nil if requests need no key, and empty if
	// they need one and none is valid.
	Customers map[string]*Customer
	Limits    Limits
}

// Match returns the route for a host and request target, or nil if there is
// none. The query and the case and port of the host are ignored.
func (c *Config) Match(host, target string) *Route {
	path, _, _ := strings.Cut(target, "?")
	for _, r := range c.Routes[Host(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// RequiresKey reports whether requests need a key, except on public routes. They also do
// where no key is valid, so that revoking the last one doesn't admit everybody.
func (c *Config) RequiresKey() bool { return c.Customers != nil }

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
