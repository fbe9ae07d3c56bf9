// Package http1 is an HTTP/1.1 client with persistent connections and one
// request at a time on each. Unlike net/http it never sends a request twice,
// its errors tell whether a request can have reached the peer, it closes
// a connection after any response or data that was not expected, and it takes
// neither a malformed head for a response nor a broken connection for the end of
// a body. Clients that use net/http get the last two from NewTransport.
package http1

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
	"gopkg.in/tomb.v2"

	"sequoialead"
)

// Options configures a client.
type Options struct {
	// ConnectTimeout is the timeout of opening a connection.
	ConnectTimeout time.Duration
	// AckTimeout is how long sent bytes may stay unacknowledged before the
	// connection is closed, and about how long an idle connection may go without
	// an answer to TCP keep-alive probes.
	AckTimeout time.Duration
	// IdleTimeout is how long a connection may stay idle if the peer sends no timeout
	// in a Keep-Alive header.
	IdleTimeout time.Duration
	// MaxIdle is the maximum number of idle connections to all peers; 0 for no limit.
	MaxIdle int
}

const (
	readBufferBytes = 4 << 10
	// keepMargin is subtracted from the peer's Keep-Alive timeout, so that no
	// request is sent while the peer is closing the connection.
	keepMargin = 500 * time.Millisecond
	// maxHeadBytes and maxHeadLines are the maximum size and number of lines of a
	// response's status line and headers, interim responses included. Each line takes far
	// more memory than its bytes.
	maxHeadBytes = 32 << 10
	maxHeadLines = 256
	// maxDiscardBytes is the maximum size of a response to another request that is
	// discarded. A larger one ends the connection.
	maxDiscardBytes = 64 << 10
	// maxMismatched is the number of responses to other requests at which a
	// request fails. If it gets fewer, they are discarded.
	maxMismatched = 3
	sweepInterval = time.Second
	// keepAliveProbes is the number of TCP keep-alive probes within AckTimeout.
	keepAliveProbes = 2
)

// Request is a request to send.
type Request struct {
	Method string
	// Target is the request target, sent unchanged.
	Target string
	Host   string
	// Header must not contain Host or Content-Length, which are added.
	Header http.Header
	Body   []byte
	// MaxIdle is the maximum time that a reused connection may have been idle; 0
	// to open a new connection.
	MaxIdle time.Duration
	// Matches reports whether a response belongs to the request; nil if all do.
	Matches func(status int, header http.Header) bool
	// Hold keeps the connection from being reused until Response.Keep is called, for
	// requests whose responses can be told from others by their bodies alone.
	Hold bool
}

// Client sends requests to any number of peers and pools their idle
// connections.
type Client struct {
	opts Options
	tomb tomb.Tomb

	mu sync.Mutex
	// idle holds the idle connections by peer, the most recently used last.
	idle map[netip.AddrPort][]*conn
	// idleCount is the number of connections in idle.
	idleCount int
	closed    bool
	opened    uint64
}

type conn struct {
	*checkedConn
	// number counts the connections of the client.
	number uint64
	addr   netip.AddrPort
	r      *bufio.Reader
	// headLimit limits the size of a response's head; r reads through it.
	headLimit *headLimiter
	// idleSince is when the connection became idle, and idleTimeout how long it
	// may stay idle.
	idleSince   time.Time
	idleTimeout time.Duration
	used        bool
}

// New returns a client without connections.
func New(opts Options) *Client {
	return &Client{opts: opts, idle: map[netip.AddrPort][]*conn{}}
}

var _ sequoialead.Service = (*Client)(nil)

// Start starts the periodic closing of connections whose idle timeout has
// passed.
func (c *Client) Start(context.Context) error {
	c.tomb.Go(func() error {
		ticker := time.NewTicker(sweepInterval)
		defer ticker.Stop()
		for {
			select {
			case now := <-ticker.C:
				c.closeExpired(now)
			case <-c.tomb.Dying():
				return nil
			}
		}
	})
	return nil
}

// Close closes the idle connections. Those in use are closed after their
// response.
func (c *Client) Close() error {
	c.tomb.Kill(nil)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	for addr := range c.idle {
		c.closeIdle(addr)
	}
	return nil
}

// Opened returns the number of connections opened so far.
func (c *Client) Opened() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.opened
}

// closeExpired closes the connections whose idle timeout has passed.
func (c *Client) closeExpired(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for addr, list := range c.idle {
		kept := list[:0]
		for _, k := range list {
			if now.Sub(k.idleSince) < k.idleTimeout {
				kept = append(kept, k)
				continue
			}
			_ = k.Close() // no request is in flight on it
		}
		c.idleCount -= len(list) - len(kept)
		if len(kept) == 0 {
			delete(c.idle, addr)
			continue
		}
		c.idle[addr] = kept
	}
}

func (c *Client) closeIdle(addr netip.AddrPort) {
	c.idleCount -= len(c.idle[addr])
	for _, k := range c.idle[addr] {
		_ = k.Close() // no request is in flight on it
	}
	delete(c.idle, addr)
}

// takeIdle removes and returns the most recently used idle connection to a
// peer that can be reused; nil if there is none. It closes the connections
// that it finds unusable before.
func (c *Client) takeIdle(addr netip.AddrPort, maxIdle time.Duration, now time.Time) *conn {
	for {
		c.mu.Lock()
		list := c.idle[addr]
		if len(list) == 0 {
			c.mu.Unlock()
			return nil
		}
		k := list[len(list)-1]
		c.idle[addr] = list[:len(list)-1]
		c.idleCount--
		c.mu.Unlock()
		if age := now.Sub(k.idleSince); age < maxIdle && age < k.idleTimeout && k.reusable() {
			return k
		}
		_ = k.Close() // idle for too long, closed by the peer, or with unexpected data
	}
}

// putIdle adds a connection to the pool of idle ones. It closes the connection
// instead if the client is closed, there are too many, or the idle timeout is not above 0.
func (c *Client) putIdle(k *conn, now time.Time) {
	k.idleSince = now
	k.used = true
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || k.idleTimeout <= 0 || c.opts.MaxIdle > 0 && c.idleCount >= c.opts.MaxIdle {
		_ = k.Close() // no request is in flight on it
		return
	}
	c.idle[k.addr] = append(c.idle[k.addr], k)
	c.idleCount++
}

// reusable reports whether the peer has neither closed the idle connection
// nor sent data on it: a non-blocking read of one byte must fail with EAGAIN.
func (k *conn) reusable() bool {
	if k.r.Buffered() > 0 {
		return false
	}
	raw, err := k.SyscallConn()
	if err != nil {
		return false
	}
	idle := false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, err := syscall.Read(int(fd), one[:])
		idle = err == syscall.EAGAIN
		return true
	})
	return err == nil && idle
}

func (c *Client) dial(ctx context.Context, addr netip.AddrPort) (*conn, error) {
	ctx, cancel := context.WithTimeout(ctx, c.opts.ConnectTimeout)
	defer cancel()
	interval := max(c.opts.AckTimeout/keepAliveProbes, time.Second)
	dialer := net.Dialer{
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: interval, Interval: interval, Count: keepAliveProbes},
		Control: func(_, _ string, raw syscall.RawConn) error {
			var opt error
			err := raw.Control(func(fd uintptr) {
				opt = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(c.opts.AckTimeout/time.Millisecond))
			})
			if err != nil {
				return err
			}
			return opt
		},
	}
	raw, err := dialer.DialContext(ctx, "tcp4", addr.String())
	if err != nil {
		return nil, sequoialead.ErrUnsent.Wrap(err, "cannot connect to %s; try another", addr)
	}
	c.mu.Lock()
	c.opened++
	number := c.opened
	c.mu.Unlock()
	checked := &checkedConn{Conn: raw}
	limit := &headLimiter{r: checked}
	return &conn{checkedConn: checked, number: number, addr: addr, headLimit: limit, r: bufio.NewReaderSize(limit, readBufferBytes), idleTimeout: c.opts.IdleTimeout}, nil
}
