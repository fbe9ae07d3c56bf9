package web

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"

	"sequoialead/core/callerbudget"
)

const (
	// headMargin is added to the configured maximum size of a head. A read may hold up to 4 KB
	// of the body besides.
	headMargin = 8 << 10
	// headTimeMargin is added to the configured time for a head, so that only a head that no
	// caller inside the limits sends meets it.
	headTimeMargin = time.Second
	// headByteCost and headLineCost are the bytes of memory counted for a byte and a line of a
	// head: its copies, and the entry of a line in the map of headers.
	headByteCost = 2
	headLineCost = 256
	// unreadPatience is the time without progress after which a client counts as not reading for
	// AbortUnread. It covers the loss of a packet or two.
	unreadPatience = time.Second
	// lingerTime and lingerBytes bound what is read of a request that was refused before it was
	// read, so that the caller sees the refusal and not a reset.
	lingerTime  = 500 * time.Millisecond
	lingerBytes = 1 << 20
)

const headTooLarge = "HTTP/1.1 431 Request Header Fields Too Large\r\nContent-Type: text/plain; charset=utf-8\r\nConnection: close\r\n\r\nsize: the header is larger than allowed\n"

// Conn is a connection of a client. Its methods for bodies may be called on nil, which holds
// nothing and is not bounded.
type Conn struct {
	net.Conn
	server  *Server
	holding *callerbudget.Holding[*Conn] // guarded by server.mu
	// ended is set, with server.mu held, once the server closes the connection by itself. A
	// request that was read at that moment is not served, because its answer could not be sent.
	ended atomic.Bool
	// bodyEnded is set once the body that is read now has exceeded a time limit; guarded by
	// server.mu.
	bodyEnded bool
	// inHead is set while net/http reads the head of a request. headBytes is the number of its
	// bytes so far, and headHeld what is counted for them. Only net/http's goroutine for the
	// connection uses these two.
	inHead    atomic.Bool
	headBytes int
	headHeld  int64
	// writes counts the writes, and writing is the number of the one under way; 0 if there is
	// none. Only the goroutine that writes uses writes.
	writes  uint64
	writing atomic.Uint64
	// outWrite is the write under way when the server last looked, outBytes the bytes that were
	// sent and not acknowledged, or not sent, and outSince when either changed. They are guarded
	// by server.mu.
	outWrite uint64
	outBytes int
	outSince time.Duration
	closed   atomic.Bool
}

// connKey is the context key of a request's *Conn.
type connKey struct{}

// ConnOf returns the connection of a request with the given context; nil if it came by another
// server than one of this package.
func ConnOf(ctx context.Context) *Conn {
	c, _ := ctx.Value(connKey{}).(*Conn)
	return c
}

// Read reads from the connection and bounds the head of a request.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 && c.inHead.Load() && !c.countHead(p, n) {
		return 0, io.EOF
	}
	return n, err
}

// countHead counts the first n bytes of p, which belong to a request's head. It reports false if
// the connection has ended.
func (c *Conn) countHead(p []byte, n int) bool {
	if c.headBytes == 0 && !bytes.Contains(p[:n], []byte("\r\n\r\n")) { // else it is whole
		c.server.enter(c, callerbudget.StateHead)
	}
	c.headBytes += n
	if c.headBytes <= callerbudget.FreeHeadBytes {
		return true
	}
	maxBytes, _ := c.server.opts.Bounds.header()
	if c.headBytes > maxBytes+headMargin {
		c.server.count(&c.server.counts.LargeHeads)
		c.refuseHead(p)
		return false
	}
	cost := int64(n*headByteCost + bytes.Count(p[:n], []byte("\n"))*headLineCost)
	if !c.Grow(cost) {
		return false
	}
	c.headHeld += cost
	return true
}

// refuseHead answers that the head is too large. It reads on for a moment, into p.
func (c *Conn) refuseHead(p []byte) {
	now := time.Now()
	_ = c.SetDeadline(now.Add(lingerTime)) // fails if the connection has ended, like all that follows
	_, _ = io.WriteString(c.Conn, headTooLarge)
	_ = c.CloseWrite()
	for rest := lingerBytes; rest > 0; {
		n, err := c.Conn.Read(p)
		if err != nil {
			return
		}
		rest -= n
	}
}

// Write writes to the connection.
func (c *Conn) Write(p []byte) (int, error) {
	c.writes++
	c.writing.Store(c.writes)
	defer c.writing.Store(0)
	return c.Conn.Write(p)
}

// unreadFor returns how long the write under way has made no progress. The kernel wakes a writer
// only when a third of the send buffer is free, so a client that reads slowly shows in the bytes
// that wait there.
func (c *Conn) unreadFor(now time.Duration) time.Duration {
	write := c.writing.Load()
	if write == 0 {
		c.outWrite = 0
		return 0
	}
	waiting := c.queued(unix.TIOCOUTQ)
	if write != c.outWrite || waiting != c.outBytes {
		c.outWrite, c.outBytes, c.outSince = write, waiting, now
	}
	return now - c.outSince
}

// CloseWrite closes the sending side. net/http calls it before it closes a connection.
func (c *Conn) CloseWrite() error {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		return tcp.CloseWrite()
	}
	return nil
}

// Close closes the connection and ends its count.
func (c *Conn) Close() error {
	if !c.closed.CompareAndSwap(false, true) {
		return net.ErrClosed
	}
	s := c.server
	s.mu.Lock()
	s.budget.Close(c.holding)
	delete(s.conns, c)
	s.mu.Unlock()
	return c.Conn.Close()
}

// closeAll closes connections that the server has ended.
func closeAll(list []*Conn) {
	for _, c := range list {
		_ = c.Close() // net/http then reports StateClosed
	}
}

// queued returns a number of bytes in the kernel's buffers of the connection: those that were
// received and not read yet (unix.TIOCINQ), or sent and not acknowledged (unix.TIOCOUTQ).
func (c *Conn) queued(request uint) int {
	tcp, ok := c.Conn.(*net.TCPConn)
	if !ok {
		return 0
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return 0
	}
	n := 0
	_ = raw.Control(func(fd uintptr) { n, _ = unix.IoctlGetInt(int(fd), request) }) // fails if the connection is closed
	return n
}

// BeginBody records that the body of a request is read from now on, and counts the first bytes
// that it is allocated for. It reports false if there is no room.
func (c *Conn) BeginBody(n int64) bool {
	if c == nil {
		return true
	}
	c.server.enter(c, callerbudget.StateBody)
	return n == 0 || c.Grow(n)
}

// EndBody records that the body was read, or given up. It reports false if the connection has
// ended meanwhile, so that the request must not be served.
func (c *Conn) EndBody(whole bool) bool {
	if c == nil {
		return true
	}
	s := c.server
	s.mu.Lock()
	defer s.mu.Unlock()
	s.budget.Enter(c.holding, callerbudget.StateServing, s.now())
	if c.bodyEnded && whole { // it came in the end
		c.bodyEnded = false
		_ = c.SetReadDeadline(time.Time{}) // fails if the connection has ended, which net/http finds
	}
	return !c.ended.Load()
}

// LimitRest bounds the time in which net/http reads the rest of a body that was refused.
func (c *Conn) LimitRest() {
	if c != nil {
		_ = c.SetReadDeadline(time.Now().Add(lingerTime)) // fails if the connection has ended, which net/http finds
	}
}

// Grow counts bytes before they are allocated. It reports false if there is no room.
func (c *Conn) Grow(n int64) bool {
	if c == nil {
		return true
	}
	s := c.server
	s.mu.Lock()
	ok, victims := s.budget.Grow(c.holding, n, s.now())
	s.counts.EndedForMemory += uint64(len(victims))
	if !ok && !c.ended.Load() && c.holding.State() != callerbudget.StateServing {
		s.counts.RefusedMemory++
	}
	var ended []*Conn
	for _, victim := range victims {
		victim.Owner.ended.Store(true)
		ended = append(ended, victim.Owner)
	}
	s.mu.Unlock()
	closeAll(ended)
	return ok
}

// Release ends the count of bytes that were counted with BeginBody or Grow.
func (c *Conn) Release(n int64) {
	if c == nil || n == 0 {
		return
	}
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	c.server.budget.Release(c.holding, n)
}

// Progress records that n bytes of the body have arrived.
func (c *Conn) Progress(n int64) {
	if c == nil {
		return
	}
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	c.server.budget.Progress(c.holding, n, c.server.now())
}

// BodyEnded reports whether the reading of the body has failed because the body has exceeded a
// time limit.
func (c *Conn) BodyEnded(err error) bool {
	if c == nil {
		return false
	}
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	return c.bodyEnded && errors.Is(err, os.ErrDeadlineExceeded)
}

// endOverdue ends connections that have exceeded a time limit.
func (s *Server) endOverdue(maxNew, maxIdle time.Duration) {
	b := s.opts.Bounds
	_, headTimeout := b.header()
	limits := callerbudget.TimeLimits{New: maxNew, Idle: maxIdle, Head: headTimeout + headTimeMargin, BodyStall: b.BodyStall, BodyGrace: b.BodyGrace, BodyRate: b.BodyRate}
	s.mu.Lock()
	now := s.now()
	var ended []*Conn
	for _, h := range s.budget.Overdue(limits, now) {
		if s.endIfOverdue(h, now) {
			ended = append(ended, h.Owner)
		}
	}
	if b.AnswerStall > 0 {
		ended = append(ended, s.endUnread(b.AnswerStall, now)...)
	}
	s.mu.Unlock()
	closeAll(ended)
}

// endUnread ends the connections whose answer has made no progress for longer than the given time,
// and returns them to be closed. s.mu must be held.
func (s *Server) endUnread(stall, now time.Duration) []*Conn {
	var ended []*Conn
	for c := range s.conns {
		if c.unreadFor(now) > stall {
			s.counts.UnreadAnswers++
			c.ended.Store(true)
			ended = append(ended, c)
		}
	}
	return ended
}

// AbortUnread closes the connections of clients that don't read their answers now, so that a
// server that is about to close doesn't wait for them.
func (s *Server) AbortUnread() {
	s.mu.Lock()
	ended := s.endUnread(unreadPatience, s.now())
	s.mu.Unlock()
	closeAll(ended)
}

// endUnserved closes the connections without a request that is served.
func (s *Server) endUnserved() {
	s.mu.Lock()
	var ended []*Conn
	for c := range s.conns {
		if c.holding.State() != callerbudget.StateServing {
			c.ended.Store(true)
			ended = append(ended, c)
		}
	}
	s.mu.Unlock()
	closeAll(ended)
}

// endIfOverdue ends the connection of an overdue holding unless bytes wait that the process
// didn't get to. It reports whether the connection is to be closed; a body is ended by its
// deadline, so that the request is refused. s.mu must be held.
func (s *Server) endIfOverdue(h *callerbudget.Holding[*Conn], now time.Duration) bool {
	c := h.Owner
	state := h.State()
	if state == callerbudget.StateBody {
		switch {
		case c.bodyEnded:
		case now-h.Since() > s.opts.Bounds.BodyStall && c.queued(unix.TIOCINQ) > 0:
			s.budget.Progress(h, 0, now)
		default:
			s.counts.StalledBodies++
			c.bodyEnded = true
			_ = c.SetReadDeadline(time.Unix(1, 0)) // ends the read; fails if the connection has ended
		}
		return false
	}
	if c.queued(unix.TIOCINQ) > 0 {
		return false
	}
	if state == callerbudget.StateHead {
		s.counts.SlowHeads++
	}
	c.ended.Store(true)
	return true
}

// enter records a change of a connection's state.
func (s *Server) enter(c *Conn, state callerbudget.State) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.budget.Enter(c.holding, state, s.now())
	c.bodyEnded = false
}

// trackState keeps the states of connections up to date. It is the server's ConnState callback,
// called by the goroutine that serves the connection.
func (s *Server) trackState(conn net.Conn, state http.ConnState) {
	c, ok := conn.(*Conn)
	if !ok {
		return
	}
	switch state {
	case http.StateActive: // the head has been read
		c.inHead.Store(false)
		s.enter(c, callerbudget.StateServing)
	case http.StateIdle:
		c.Release(c.headHeld)
		c.headBytes, c.headHeld = 0, 0
		s.enter(c, callerbudget.StateIdle)
		c.inHead.Store(true)
	case http.StateHijacked:
		c.inHead.Store(false)
		s.enter(c, callerbudget.StateServing)
	case http.StateClosed:
		c.Release(c.headHeld)
		c.headHeld = 0
	}
}

// boundedListener accepts connections as far as the server's bounds allow.
type boundedListener struct {
	net.Listener
	server *Server
}

// Accept returns the next connection for which there is room. It closes others.
func (l boundedListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.server.open(conn); c != nil {
			return c, nil
		}
		_ = conn.Close() // nothing was read or written
	}
}

// open counts a new connection; the result is nil if there is no room for it, or the server is
// closing.
func (s *Server) open(conn net.Conn) *Conn {
	c := &Conn{Conn: conn, server: s}
	c.inHead.Store(true)
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetWriteBuffer(sendBufferBytes) // if this fails, the system's default applies
	}
	addr, _ := conn.RemoteAddr().(*net.TCPAddr)
	s.mu.Lock()
	if s.closing.Load() {
		s.mu.Unlock()
		return nil
	}
	opened, ended := s.budget.Open(c, addr.AddrPort().Addr(), s.now())
	if opened != nil {
		c.holding = opened
		s.conns[c] = struct{}{}
	} else {
		s.counts.RefusedConns++
	}
	if ended != nil {
		s.counts.EndedForConns++
		ended.Owner.ended.Store(true)
	}
	s.mu.Unlock()
	if ended != nil {
		closeAll([]*Conn{ended.Owner})
	}
	if opened == nil {
		return nil
	}
	return c
}
