// Package web is an HTTP server on one address, with an idle timeout that may
// change while it runs, and a graceful shutdown.
package web

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"gopkg.in/tomb.v2"

	"sequoialead"
)

const (
	headerTimeout = 10 * time.Second
	// idleTimeout is used unless Options.IdleTimeout is set.
	idleTimeout   = 2 * time.Minute
	sweepInterval = 200 * time.Millisecond
	// drainGrace is how long the usual idle timeout stays in force after Drain,
	// so that clients' requests on idle connections are still served. After that
	// the idle timeout is leavingIdleTimeout.
	drainGrace         = time.Second
	leavingIdleTimeout = 300 * time.Millisecond
	// sendBufferBytes is the size of the kernel's send buffer of a connection. It
	// limits the memory used for a client that does not read.
	sendBufferBytes = 256 << 10
)

// Options configures a server.
type Options struct {
	Addr    netip.AddrPort
	Handler http.Handler
	// Grace is how long Close waits for requests to end; 0 to not wait.
	Grace time.Duration
	// IdleTimeout returns how long a connection may stay idle; no limit if it is
	// not above 0. The result may change between calls. If IdleTimeout is nil, a
	// fixed limit applies.
	IdleTimeout func() time.Duration
}

// Server is an HTTP server.
type Server struct {
	opts     Options
	tomb     tomb.Tomb
	listener net.Listener
	http     *http.Server
	// leavingSince is when Drain was called; nil before.
	leavingSince atomic.Pointer[time.Time]
	// closing is set once Close was called. No further requests are served then.
	closing atomic.Bool

	mu sync.Mutex
	// idleSince holds the idle connections and since when they are idle; nil if
	// Options.IdleTimeout is nil.
	idleSince map[net.Conn]time.Time
	// closedIdle holds the connections that were closed as idle. A request that
	// was read at that moment is not served, because its answer could not be
	// sent.
	closedIdle map[net.Conn]bool
}

// connKey is the context key of a request's net.Conn.
type connKey struct{}

var _ sequoialead.Service = (*Server)(nil)

// New returns a server, which listens from Start on.
func New(opts Options) *Server {
	s := &Server{opts: opts}
	s.http = &http.Server{
		Handler:           http.HandlerFunc(s.serveRequest),
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		ConnContext:       limitSendBuffer,
	}
	if opts.IdleTimeout != nil {
		s.idleSince, s.closedIdle = map[net.Conn]time.Time{}, map[net.Conn]bool{}
		s.http.IdleTimeout = -1
		s.http.ConnState = s.trackState
	}
	return s
}

// trackState keeps idleSince and closedIdle up to date. It is the server's
// ConnState callback.
func (s *Server) trackState(conn net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if state == http.StateIdle {
		s.idleSince[conn] = time.Now()
		return
	}
	delete(s.idleSince, conn)
	if state == http.StateClosed {
		delete(s.closedIdle, conn)
	}
}

// closeExpired closes connections that are idle for too long, every
// sweepInterval.
func (s *Server) closeExpired() error {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-s.tomb.Dying():
			return nil
		}
		now := time.Now()
		maxIdle := s.opts.IdleTimeout()
		if since := s.leavingSince.Load(); since != nil && now.Sub(*since) > drainGrace {
			maxIdle = leavingIdleTimeout
		}
		s.mu.Lock()
		for conn, since := range s.idleSince {
			if maxIdle > 0 && now.Sub(since) > maxIdle {
				s.closedIdle[conn] = true
				_ = conn.Close() // net/http then reports StateClosed
			}
		}
		s.mu.Unlock()
	}
}

// limitSendBuffer sets the send buffer of a new connection, and stores the
// connection in the context of its requests.
func limitSendBuffer(ctx context.Context, conn net.Conn) context.Context {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetWriteBuffer(sendBufferBytes) // if this fails, the system's default applies
	}
	return context.WithValue(ctx, connKey{}, conn)
}

func (s *Server) serveRequest(w http.ResponseWriter, r *http.Request) {
	if s.closedAsIdle(r) {
		panic(http.ErrAbortHandler)
	}
	if s.leavingSince.Load() != nil {
		w.Header().Set("Connection", "close")
	}
	s.opts.Handler.ServeHTTP(w, r)
}

// closedAsIdle reports whether the connection of a request was closed as
// idle, or may have been because the server is closing.
func (s *Server) closedAsIdle(r *http.Request) bool {
	if s.closing.Load() {
		return true
	}
	conn, ok := r.Context().Value(connKey{}).(net.Conn)
	s.mu.Lock()
	defer s.mu.Unlock()
	return ok && s.closedIdle[conn]
}

// Start listens and starts to serve. The error is ErrSettings if the address
// cannot be listened on.
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
	if s.idleSince != nil {
		s.tomb.Go(s.closeExpired)
	}
	return nil
}

// Addr returns the address that the server listens on. It must not be called
// before Start.
func (s *Server) Addr() netip.AddrPort {
	return s.listener.Addr().(*net.TCPAddr).AddrPort()
}

// Drain makes the server close each connection after its next answer, and
// idle ones after drainGrace if Options.IdleTimeout is set, so that clients connect
// elsewhere. It still accepts connections.
func (s *Server) Drain() {
	now := time.Now()
	s.leavingSince.CompareAndSwap(nil, &now)
}

// Close stops listening, waits up to Grace for requests to end, and closes the
// remaining connections.
func (s *Server) Close() error {
	ctx, cancel := context.WithTimeout(context.Background(), s.opts.Grace)
	defer cancel()
	s.closing.Store(true)
	if s.http.Shutdown(ctx) != nil {
		_ = s.http.Close() // the grace period has passed
	}
	s.tomb.Kill(nil)
	return s.tomb.Wait()
}
