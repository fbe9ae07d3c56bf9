// Package entry is the agent's side of the connections from entries: it
// accepts them and passes received frames to the agent.
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
	"sequoialead/core/mac"
	"sequoialead/core/protocol"
	"sequoialead/io/link"
)

// Path is the HTTP path where agents accept connections from entries.
const Path = "/link"

// HeaderProof is the header with the proof that the entry knows the fleet's
// key, as returned by Proof.
const HeaderProof = "Sequoialead-Fleet"

// HeaderName is the header with the entry's name.
const HeaderName = "Sequoialead-Entry"

// SignPurpose is the purpose for which the signature in HeaderProof is made, so that
// a signature made for something else is not accepted.
const SignPurpose = "link"

// handshakeTimeout bounds the opening of a connection.
const handshakeTimeout = 2 * time.Second

// Configuration is the configuration in force at this agent.
type Configuration interface {
	// UpdateSince returns the versions after the given one. It reports false if there
	// are none.
	UpdateSince(have sequoialead.Version) (protocol.ConfigUpdate, bool)
	// ApplyUpdate applies versions received from an entry. An error means that they
	// cannot be applied.
	ApplyUpdate(update protocol.ConfigUpdate) error
}

// Options configures a server.
type Options struct {
	Agent         *agent.Agent
	Configuration Configuration
	Signer        *mac.Signer
	// ReadTimeout is how long a connection may go without receiving a message before
	// it is closed; 0 for link.DefaultReadTimeout.
	ReadTimeout time.Duration
}

// Server accepts connections from entries.
type Server struct {
	opts Options
	tomb tomb.Tomb

	mu sync.Mutex
	// links holds the open connections; nil once the server is closed.
	links map[*link.Link]struct{}
}

// New returns a server without connections.
func New(opts Options) *Server {
	return &Server{opts: opts, links: map[*link.Link]struct{}{}}
}

var _ sequoialead.Service = (*Server)(nil)

// Mount registers the path that entries connect to.
func (s *Server) Mount(mux *goji.Mux) { mux.HandleFunc(pat.Get(Path), s.accept) }

// Start keeps the tomb alive while there are no connections, since it would
// end with its last goroutine. Connections are accepted on the mounted path.
func (s *Server) Start(context.Context) error {
	s.tomb.Go(func() error {
		<-s.tomb.Dying()
		return nil
	})
	return nil
}

// AnnounceLoad sends the agent's load to all connected entries at once, for
// example when the agent starts to leave.
func (s *Server) AnnounceLoad() {
	s.mu.Lock()
	var links []*link.Link
	for l := range s.links {
		links = append(links, l)
	}
	s.mu.Unlock()
	for _, l := range links {
		_ = l.Send(protocol.Frame{Pong: &protocol.Pong{Load: s.opts.Agent.Load(l.Peer())}}) // the link's reader detects a lost connection
	}
}

// Close closes all connections and waits for their goroutines to end.
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
	proof := r.Header.Get(HeaderProof)
	if !s.opts.Signer.Verify(SignPurpose, nil, []byte(decodeHex(proof))) {
		http.Error(w, "wrong fleet key; set the same 'fleet' for every process", http.StatusUnauthorized)
		return
	}
	upgrader := websocket.Upgrader{HandshakeTimeout: handshakeTimeout, ReadBufferSize: link.MaxBatchBytes, WriteBufferSize: link.MaxBatchBytes}
	conn, err := upgrader.Upgrade(w, r, nil)
	if err != nil {
		return // Upgrade has sent the error response
	}
	s.addLink(conn, r.Header.Get(HeaderName))
}

func (s *Server) addLink(conn *websocket.Conn, entry string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.links == nil {
		_ = conn.Close() // the server is closing
		return
	}
	l := link.New(link.Options{Conn: conn, Peer: entry, Handle: s.handleFrame, ReadTimeout: s.opts.ReadTimeout})
	s.links[l] = struct{}{}
	s.tomb.Go(func() error {
		hello := protocol.Hello{Protocol: protocol.Version, Agent: s.opts.Agent.Hello(entry)}
		if l.Send(protocol.Frame{Hello: &hello}) == nil {
			<-l.Done()
		}
		s.mu.Lock()
		delete(s.links, l)
		s.mu.Unlock()
		return nil
	})
}

func (s *Server) handleFrame(l *link.Link, f protocol.Frame) {
	a := s.opts.Agent
	switch {
	case f.Call != nil:
		a.Call(*f.Call, l)
		s.requestConfigIfNewer(l, f.Call.Version, a.Version())
	case f.Cancel != nil:
		a.Cancel(f.Cancel.ID, l)
	case f.Ack != nil:
		a.Ack(f.Ack.ID)
	case f.Credit != nil:
		a.Credit(f.Credit.ID, f.Credit.Bytes, l)
	case f.Ping != nil:
		s.handlePing(l, *f.Ping)
	case f.ConfigRequest != nil:
		s.sendConfigUpdate(l, f.ConfigRequest.Have)
	case f.ConfigUpdate != nil:
		if err := s.opts.Configuration.ApplyUpdate(*f.ConfigUpdate); err != nil {
			l.CloseWithError(err)
			return
		}
		l.SendAsync(protocol.Frame{Pong: &protocol.Pong{Load: s.opts.Agent.Load(l.Peer())}})
	}
}

func (s *Server) handlePing(l *link.Link, p protocol.Ping) {
	if p.Leaving {
		s.opts.Agent.HintLeaving()
	}
	load := s.opts.Agent.Load(l.Peer())
	l.SendAsync(protocol.Frame{Pong: &protocol.Pong{Load: load}})
	s.requestConfigIfNewer(l, p.Version, load.Version)
}

// requestConfigIfNewer requests the configuration versions after the local one
// if the entry has any.
func (s *Server) requestConfigIfNewer(l *link.Link, remote, local sequoialead.Version) {
	if remote > local {
		l.SendAsync(protocol.Frame{ConfigRequest: &protocol.ConfigRequest{Have: local}})
	}
}

func (s *Server) sendConfigUpdate(l *link.Link, have sequoialead.Version) {
	if update, ok := s.opts.Configuration.UpdateSince(have); ok {
		l.SendAsync(protocol.Frame{ConfigUpdate: &update})
	}
}
