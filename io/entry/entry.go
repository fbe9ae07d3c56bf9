// Package entry is the agent's side of the connections from entries.
package entry

import (
	"context"
	"net"
	"net/http"
	"net/netip"
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
	Addr    netip.AddrPort
	Agent   *agent.Agent
	Relayer Relayer
	Sealer  *seal.Sealer
	Silence time.Duration
	// Extra serves further paths, such as metrics.
	Extra map[string]http.Handler
}

// Server takes connections from entries.
type Server struct {
	opts     Options
	tomb     tomb.Tomb
	listener net.Listener
	http     *http.Server

	mu    sync.Mutex
	links map[*link.Link]struct{}
}

// New returns a server that does not listen yet.
func New(opts Options) *Server {
	s := &Server{opts: opts, links: map[*link.Link]struct{}{}}
	mux := goji.NewMux()
	mux.HandleFunc(pat.Get(Path), s.accept)
	for path, handler := range opts.Extra {
		mux.Handle(pat.Get(path), handler)
	}
	s.http = &http.Server{Handler: mux, ReadHeaderTimeout: handshakeTimeout}
	return s
}

var _ sequoialead.Service = (*Server)(nil)

// Start listens and serves.
func (s *Server) Start(ctx context.Context) error {
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", s.opts.Addr.String())
	if err != nil {
		return sequoialead.ErrSettings.Wrap(err, "cannot listen on %s; choose another 'addr'", s.opts.Addr)
	}
	s.listener = listener
	s.tomb.Go(func() error {
		if err := s.http.Serve(listener); err != http.ErrServerClosed {
			return err
		}
		return nil
	})
	return nil
}

// Addr returns the address that the server listens on.
func (s *Server) Addr() netip.AddrPort {
	return s.listener.Addr().(*net.TCPAddr).AddrPort()
}

// Close closes all connections and waits for their work to stop.
func (s *Server) Close() error {
	err := s.http.Close()
	s.mu.Lock()
	links := s.links
	s.links = nil
	s.mu.Unlock()
	for l := range links {
		_ = l.Close() // always nil
	}
	s.tomb.Kill(nil)
	if werr := s.tomb.Wait(); werr != nil {
		return werr
	}
	return err
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
	s.serve(conn)
}

func (s *Server) serve(conn *websocket.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.links == nil {
		_ = conn.Close() // the server is closing
		return
	}
	l := link.New(link.Options{Conn: conn, Handle: s.handle, Silence: s.opts.Silence})
	s.links[l] = struct{}{}
	s.tomb.Go(func() error {
		hello := frame.Hello{Protocol: frame.Protocol, Agent: s.opts.Agent.Hello()}
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
		s.send(l, frame.Frame{Pong: &frame.Pong{Load: s.opts.Agent.Load()}})
	}
}

func (s *Server) ping(l *link.Link, p frame.Ping) {
	if p.Leaving {
		s.opts.Agent.Hint()
	}
	load := s.opts.Agent.Load()
	s.send(l, frame.Frame{Pong: &frame.Pong{Load: load}})
	s.compare(l, p.Version, load.Version)
}

// compare asks for what the entry has newer.
func (s *Server) compare(l *link.Link, theirs, mine sequoialead.Version) {
	if theirs > mine {
		s.send(l, frame.Frame{Pull: &frame.Pull{Have: mine}})
	}
}

func (s *Server) relay(l *link.Link, have sequoialead.Version) {
	if r, ok := s.opts.Relayer.Relay(have); ok {
		s.send(l, frame.Frame{Relay: &r})
	}
}

// send queues a frame without blocking the reader for good: a link whose queue
// stays full is closed by its write timeout.
func (s *Server) send(l *link.Link, f frame.Frame) {
	_ = l.Send(f) // a lost link is noticed by its reader
}
