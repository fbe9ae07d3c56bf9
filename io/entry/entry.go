// Package entry is the agent's side of the connections from entries. Besides
// the server it exports its options and the interface that it needs.
package entry

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/gorilla/websocket"
	"goji.io"
	"goji.io/pat"
	"gopkg.in/tomb.v2"

	"sequoialead"
	"sequoialead/core/agent"
	"sequoialead/core/frame"
	"sequoialead/core/seal"
	"sequoialead/io/link"
)

// Path is where agents take connections from entries.
const Path = "/link"

// HeaderKey carries the proof that the peer belongs to the fleet.
const HeaderKey = "Sequoialead-Fleet"

// HeaderName names the entry.
const HeaderName = "Sequoialead-Entry"

// Purpose is the purpose of the seal in HeaderKey.
const Purpose = "link"

// handshakeTimeout bounds the opening of a connection.
const handshakeTimeout = 2 * time.Second

// Relayer holds the configuration in force.
type Relayer interface {
	Relay(have sequoialead.Version) (frame.Relay, bool)
	Learn(r frame.Relay) error
}

// Options configures a server.
type Options struct {
	Agent   *agent.Agent
	Relayer Relayer
	Sealer  *seal.Sealer
	// Silence is how long a connection may bring nothing; 0 for the default.
	Silence time.Duration
}

// Server takes connections from entries.
type Server struct {
	opts Options
	tomb tomb.Tomb

	mu sync.Mutex
	// links is nil once the server is closed.
	links map[*link.Link]struct{}
}

// New returns a server without connections.
func New(opts Options) *Server {
	return &Server{opts: opts, links: map[*link.Link]struct{}{}}
}

var _ sequoialead.Service = (*Server)(nil)

// Mount adds the entries' path.
func (s *Server) Mount(mux *goji.Mux) { mux.HandleFunc(pat.Get(Path), s.accept) }

// Start keeps the server alive; connections come through the mounted path.
func (s *Server) Start(context.Context) error {
	s.tomb.Go(func() error {
		<-s.tomb.Dying()
		return nil
	})
	return nil
}

// Announce tells all entries the agent's load at once, as when it leaves.
func (s *Server) Announce() {
	s.mu.Lock()
	var links []*link.Link
	for l := range s.links {
		links = append(links, l)
	}
	s.mu.Unlock()
	for _, l := range links {
		_ = l.Send(frame.Frame{Pong: &frame.Pong{Load: s.opts.Agent.Load(l.Peer())}}) // a lost link is noticed by its reader
	}
}

// Close closes all connections and waits for their work to stop.
func (s *Server) Close() error {
	s.mu.Lock()
	links := s.links
	s.links = nil
	s.mu.Unlock()
	for l := range links {
		_ = l.Close() // always nil
	}
	s.tomb.Kill(nil)
	return s.tomb.Wait()
}

func (s *Server) accept(w http.ResponseWriter, r *http.Request) {
	proof := r.Header.Get(HeaderKey)
	if !s.opts.Sealer.Check(Purpose, nil, []byte(unhex(proof))) {
		http.Error(w, "wrong fleet key; give every process the same 'fleet'", http.StatusUnauthorized)
		return
	}
	upgrader := websocket.Upgrader{HandshakeTimeout: handshakeTimeout, ReadBufferSize: link.BatchBytes, WriteBufferSize: link.BatchBytes}
	conn, err := upgrader.Upgrade(w, r, nil)
	if err != nil {
		return // Upgrade has answered
	}
	s.serve(conn, r.Header.Get(HeaderName))
}

func (s *Server) serve(conn *websocket.Conn, entry string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.links == nil {
		_ = conn.Close() // the server is closing
		return
	}
	l := link.New(link.Options{Conn: conn, Peer: entry, Handle: s.handle, Silence: s.opts.Silence})
	s.links[l] = struct{}{}
	s.tomb.Go(func() error {
		hello := frame.Hello{Protocol: frame.Protocol, Agent: s.opts.Agent.Hello(entry)}
		if l.Send(frame.Frame{Hello: &hello}) == nil {
			<-l.Gone()
		}
		s.mu.Lock()
		delete(s.links, l)
		s.mu.Unlock()
		return nil
	})
}

func (s *Server) handle(l *link.Link, f frame.Frame) {
	a := s.opts.Agent
	switch {
	case f.Call != nil:
		a.Call(*f.Call, l)
		s.compare(l, f.Call.Version, a.Version())
	case f.Cancel != nil:
		a.Cancel(f.Cancel.ID, l)
	case f.Ack != nil:
		a.Ack(f.Ack.ID)
	case f.Credit != nil:
		a.Credit(f.Credit.ID, f.Credit.Bytes, l)
	case f.Ping != nil:
		s.ping(l, *f.Ping)
	case f.Pull != nil:
		s.relay(l, f.Pull.Have)
	case f.Relay != nil:
		if err := s.opts.Relayer.Learn(*f.Relay); err != nil {
			l.Drop(err)
			return
		}
		l.Post(frame.Frame{Pong: &frame.Pong{Load: s.opts.Agent.Load(l.Peer())}})
	}
}

func (s *Server) ping(l *link.Link, p frame.Ping) {
	if p.Leaving {
		s.opts.Agent.Hint()
	}
	load := s.opts.Agent.Load(l.Peer())
	l.Post(frame.Frame{Pong: &frame.Pong{Load: load}})
	s.compare(l, p.Version, load.Version)
}

// compare asks for what the entry has newer.
func (s *Server) compare(l *link.Link, theirs, mine sequoialead.Version) {
	if theirs > mine {
		l.Post(frame.Frame{Pull: &frame.Pull{Have: mine}})
	}
}

func (s *Server) relay(l *link.Link, have sequoialead.Version) {
	if r, ok := s.opts.Relayer.Relay(have); ok {
		l.Post(frame.Frame{Relay: &r})
	}
}
