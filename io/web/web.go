// Package web serves HTTP on one address. Besides the server it exports its
// options.
package web

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"gopkg.in/tomb.v2"

	"sequoialead"
)

const (
	headerTimeout = 10 * time.Second
	idleTimeout   = 2 * time.Minute
	// sendBytes is the most that the system holds of what a client does not read.
	sendBytes = 256 << 10
)

// Options configures a server.
type Options struct {
	Addr    netip.AddrPort
	Handler http.Handler
	// Grace is how long Close waits for requests to end; 0 for not at all.
	Grace time.Duration
}

// Server serves HTTP.
type Server struct {
	opts     Options
	tomb     tomb.Tomb
	listener net.Listener
	http     *http.Server
	leaving  atomic.Bool
}

var _ sequoialead.Service = (*Server)(nil)

// New returns a server that does not listen yet.
func New(opts Options) *Server {
	s := &Server{opts: opts}
	s.http = &http.Server{
		Handler:           http.HandlerFunc(s.serve),
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		ConnContext:       bound,
	}
	return s
}

// bound bounds what the system holds for a new connection.
func bound(ctx context.Context, conn net.Conn) context.Context {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetWriteBuffer(sendBytes) // the system's own bound stays in force
	}
	return ctx
}

func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	if s.leaving.Load() {
		w.Header().Set("Connection", "close")
	}
	s.opts.Handler.ServeHTTP(w, r)
}

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

// Leave asks clients to use other connections from now on.
func (s *Server) Leave() { s.leaving.Store(true) }

// Close stops listening, waits for requests to end, and closes what is left.
func (s *Server) Close() error {
	ctx, cancel := context.WithTimeout(context.Background(), s.opts.Grace)
	defer cancel()
	if s.http.Shutdown(ctx) != nil {
		_ = s.http.Close() // the requests had their time
	}
	return s.tomb.Wait()
}
