// Package web is an HTTP server on one address, with an idle timeout that may
// change while it runs, bounds for what it holds for clients, and a graceful shutdown.
package web

import (
	"cmp"
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"gopkg.in/tomb.v2"
	"k8s.io/klog/v2"

	"sequoialead"
	"sequoialead/core/callerbudget"
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
	// defaultMaxConns is the maximum number of connections unless Bounds sets one. It is above
	// what a fleet of daemons opens to one of them.
	defaultMaxConns = 4096
	// defaultHeaderBytes is the maximum size of a request's head unless Bounds sets one.
	defaultHeaderBytes = 64 << 10
	// logInterval is the least time between two log lines on what was refused or ended.
	logInterval = 5 * time.Second
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
	// Bounds bounds what is held for clients.
	Bounds Bounds
	// Timeout bounds the reading of a request and the writing of its answer, for servers whose
	// answers are short; 0 for no limit. It doesn't apply to connections taken over by a handler.
	Timeout time.Duration
	Log     klog.Logger
}

// Bounds bounds what a server holds for its clients.
type Bounds struct {
	callerbudget.Limits
	// Header returns the maximum size of a request's head and the time in which it must arrive,
	// from its first byte. The result may change between calls; 0 is not known yet. If Header
	// is nil, fixed limits apply.
	Header func() (bytes int, timeout time.Duration)
	// BodyStall, BodyGrace and BodyRate are those of callerbudget.TimeLimits. AnswerStall is
	// how long a client may read nothing of an answer that waits. 0 is no limit.
	BodyStall   time.Duration
	BodyGrace   time.Duration
	BodyRate    int64
	AnswerStall time.Duration
}

// header returns the maximum size of a head and the time for it.
func (b Bounds) header() (bytes int, timeout time.Duration) {
	if b.Header != nil {
		bytes, timeout = b.Header()
	}
	return cmp.Or(bytes, defaultHeaderBytes), cmp.Or(timeout, headerTimeout)
}

// Counts holds how often connections were refused or ended by the server itself.
type Counts struct {
	// RefusedConns counts connections for which there was no room, and RefusedMemory heads
	// and bodies.
	RefusedConns  uint64
	RefusedMemory uint64
	// EndedForConns and EndedForMemory count connections that ended for others.
	EndedForConns  uint64
	EndedForMemory uint64
	// The others count connections that exceeded a limit of their own.
	LargeHeads    uint64
	SlowHeads     uint64
	StalledBodies uint64
	UnreadAnswers uint64
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

	// clock is the time since the start, in nanoseconds, without the times in which the process
	// didn't run. It moves with each sweep, so that requests needn't read the time.
	clock atomic.Int64

	mu     sync.Mutex
	budget *callerbudget.Budget[*Conn]
	conns  map[*Conn]struct{}
	counts Counts
}

var _ sequoialead.Service = (*Server)(nil)

// New returns a server, which listens from Start on.
func New(opts Options) *Server {
	opts.Bounds.Conns = cmp.Or(opts.Bounds.Conns, defaultMaxConns)
	s := &Server{opts: opts, budget: callerbudget.New[*Conn](opts.Bounds.Limits), conns: map[*Conn]struct{}{}}
	s.http = &http.Server{
		Handler:           http.HandlerFunc(s.serveRequest),
		ReadHeaderTimeout: headerTimeout,
		MaxHeaderBytes:    defaultHeaderBytes,
		ReadTimeout:       opts.Timeout,
		WriteTimeout:      opts.Timeout,
		IdleTimeout:       idleTimeout,
		ConnState:         s.trackState,
		ConnContext: func(ctx context.Context, conn net.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, conn)
		},
	}
	if opts.IdleTimeout != nil {
		s.http.IdleTimeout = -1
	}
	if opts.Bounds.Header != nil { // both may change, so Conn and bound apply them
		s.http.ReadHeaderTimeout, s.http.MaxHeaderBytes = 0, http.DefaultMaxHeaderBytes
	}
	return s
}

// now returns the server's clock. It is behind by up to sweepInterval.
func (s *Server) now() time.Duration { return time.Duration(s.clock.Load()) }

// count adds to one of the counts.
func (s *Server) count(n *uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	*n++
}

// Held returns what is held for clients now, and what was refused or ended so far.
func (s *Server) Held() (callerbudget.Stats, Counts) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.budget.Stats(), s.counts
}

// closeExpired closes connections that are idle for too long or exceed a limit, every
// sweepInterval.
func (s *Server) closeExpired() error {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	swept := time.Now()
	var logged time.Time
	var known Counts
	for {
		select {
		case <-ticker.C:
		case <-s.tomb.Dying():
			return nil
		}
		now := time.Now()
		s.clock.Add(int64(min(now.Sub(swept), 2*sweepInterval))) // it is longer if the process was suspended, or had no processor time
		swept = now
		maxIdle := time.Duration(0) // net/http applies its own
		if s.opts.IdleTimeout != nil {
			maxIdle = s.opts.IdleTimeout()
		}
		maxNew := cmp.Or(max(maxIdle, 0), headerTimeout) // also while draining: the balancer still sends new clients
		if since := s.leavingSince.Load(); since != nil && s.opts.IdleTimeout != nil && now.Sub(*since) > drainGrace {
			maxIdle = leavingIdleTimeout + sweepInterval // the clock may be behind by one sweep
		}
		s.endOverdue(maxNew, maxIdle)
		if now.Sub(logged) > logInterval {
			known, logged = s.logChange(known), now
		}
	}
}

// logChange logs the counts if they have changed, with what is held, and returns them.
func (s *Server) logChange(known Counts) Counts {
	held, counts := s.Held()
	if counts == known {
		return known
	}
	s.opts.Log.Info("callers-bounded", "connections", held.Conns, "sources", held.Sources, "bytes", held.Bytes, "body-bytes", held.BodyBytes,
		"new", held.ByState[callerbudget.StateNew], "heads", held.ByState[callerbudget.StateHead], "idle", held.ByState[callerbudget.StateIdle],
		"bodies", held.ByState[callerbudget.StateBody], "serving", held.ByState[callerbudget.StateServing],
		"refused-connections", counts.RefusedConns-known.RefusedConns, "refused-memory", counts.RefusedMemory-known.RefusedMemory,
		"ended-for-connections", counts.EndedForConns-known.EndedForConns, "ended-for-memory", counts.EndedForMemory-known.EndedForMemory,
		"large-heads", counts.LargeHeads-known.LargeHeads, "slow-heads", counts.SlowHeads-known.SlowHeads,
		"stalled-bodies", counts.StalledBodies-known.StalledBodies, "unread-answers", counts.UnreadAnswers-known.UnreadAnswers)
	return counts
}

func (s *Server) serveRequest(w http.ResponseWriter, r *http.Request) {
	if s.endedBefore(r) {
		panic(http.ErrAbortHandler)
	}
	if s.leavingSince.Load() != nil {
		w.Header().Set("Connection", "close")
	}
	s.opts.Handler.ServeHTTP(w, r)
}

// endedBefore reports whether the server has ended the connection of a request, or may
// have because it is closing.
func (s *Server) endedBefore(r *http.Request) bool {
	c := ConnOf(r.Context())
	return s.closing.Load() || c != nil && c.ended.Load()
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
		if err := s.http.Serve(boundedListener{Listener: listener, server: s}); err != http.ErrServerClosed {
			return err
		}
		return nil
	})
	s.tomb.Go(s.closeExpired)
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

// Close stops listening, closes connections without a request, or with a part of one, waits up
// to Grace for requests to end, and closes the remaining connections.
func (s *Server) Close() error {
	ctx, cancel := context.WithTimeout(context.Background(), s.opts.Grace)
	defer cancel()
	s.closing.Store(true)
	s.endUnserved() // net/http would wait for new connections and for parts of bodies
	if s.http.Shutdown(ctx) != nil {
		_ = s.http.Close() // the grace period has passed
	}
	s.tomb.Kill(nil)
	return s.tomb.Wait()
}

// BodyTimeout is the time in which the body of a request must arrive after LimitBodyTime. It is for
// the product's own callers and operators, whose requests are small.
const BodyTimeout = 10 * time.Second

// LimitBodyTime bounds the time in which a handler reads the body of a request. The returned
// function ends the limit; it is to be called once the body was read.
func LimitBodyTime(w http.ResponseWriter) (end func()) {
	controller := http.NewResponseController(w)
	if controller.SetReadDeadline(time.Now().Add(BodyTimeout)) != nil {
		return func() {} // not a connection with deadlines, as in tests
	}
	return func() { _ = controller.SetReadDeadline(time.Time{}) } // fails if the connection has ended
}
