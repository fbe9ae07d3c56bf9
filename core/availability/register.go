package availability

import (
	"time"

	"sequoialead"
	"sequoialead/core/cold"
)

// retention is how long a server is remembered that is no longer listed. A server may be
// listed again that had only lapsed or whose failure domain was evacuated.
const retention = 15 * time.Minute

type process struct {
	id string
	// startedAt is the start of the process in Unix nanoseconds.
	startedAt int64
}

// Register holds the servers of one pool by their processes. It is not safe for concurrent
// use.
type Register struct {
	servers map[process]*Server
	// limiters holds the cold-rate limiters by server ID: the rate limit applies across a
	// restart.
	limiters map[string]*cold.Limiter
}

// New returns an empty register.
func New() *Register {
	return &Register{servers: map[process]*Server{}, limiters: map[string]*cold.Limiter{}}
}

// Get returns what counts against a server's process. A process that is not known yet is
// assumed to be cold.
func (r *Register) Get(server sequoialead.Server, now time.Time) *Server {
	key := process{id: server.ID, startedAt: server.StartedAt.UnixNano()}
	s := r.servers[key]
	if s == nil {
		limiter := r.limiters[server.ID]
		if limiter == nil {
			limiter = cold.New()
			r.limiters[server.ID] = limiter
		}
		s = &Server{coldUntil: now.Add(ColdPeriod), limiter: limiter}
		r.servers[key] = s
	}
	s.seenAt = now
	return s
}

// Find returns what counts against a server's process; nil if it is not known.
func (r *Register) Find(server sequoialead.Server) *Server {
	return r.servers[process{id: server.ID, startedAt: server.StartedAt.UnixNano()}]
}

// Prune forgets the servers that have not been listed for retention.
func (r *Register) Prune(now time.Time) {
	listed := map[string]bool{}
	for key, s := range r.servers {
		if now.Sub(s.seenAt) > retention {
			delete(r.servers, key)
			continue
		}
		listed[key.id] = true
	}
	for id := range r.limiters {
		if !listed[id] {
			delete(r.limiters, id)
		}
	}
}
