// Package proxy is a TCP proxy that injects network faults between two processes.
package proxy

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"time"

	"gopkg.in/tomb.v2"

	"sequoialead"
)

// Fault is the set of faults currently injected.
type Fault struct {
	// Cut stops all data, on open and on new connections, without closing them.
	Cut bool
	// CutToServer stops the data from the client to the server, and CutToClient
	// that from the server to the client; the other direction works.
	CutToServer bool
	CutToClient bool
	// Refuse resets all connections and refuses new ones.
	Refuse bool
	// Delay is added to the transit time of all data.
	Delay time.Duration
	// DelayAlternate limits the delay to every other connection, so that messages are
	// reordered across connections.
	DelayAlternate bool
}

const (
	bufferBytes   = 32 << 10
	dialTimeout   = time.Second
	cutPollPeriod = 5 * time.Millisecond
)

// Proxy forwards connections to one address.
type Proxy struct {
	target   netip.AddrPort
	listener net.Listener
	tomb     tomb.Tomb

	mu    sync.Mutex
	fault Fault
	conns map[*connPair]struct{}
	count int
}

// connPair is a client's connection with the proxy's connection to the server.
type connPair struct {
	client, server net.Conn
	alternate      bool

	mu sync.Mutex
	// stalled connections never forward data again, and stay open.
	stalled bool
	// extraDelay is added to the delay of data from the client. The data is
	// delivered even if the client has closed the connection meanwhile.
	extraDelay time.Duration
}

var _ sequoialead.Service = (*Proxy)(nil)

// New returns a proxy that listens on a free port of the loopback address.
func New(target netip.AddrPort) (*Proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, sequoialead.ErrSettings.Wrap(err, "the proxy cannot listen; free some ports")
	}
	return &Proxy{target: target, listener: listener, conns: map[*connPair]struct{}{}}, nil
}

// Addr returns the address that the proxy listens on.
func (p *Proxy) Addr() netip.AddrPort { return p.listener.Addr().(*net.TCPAddr).AddrPort() }

// Start starts to accept connections.
func (p *Proxy) Start(context.Context) error {
	p.tomb.Go(p.accept)
	return nil
}

// Close closes all connections.
func (p *Proxy) Close() error {
	p.tomb.Kill(nil)
	err := p.listener.Close()
	p.reset()
	_ = p.tomb.Wait() // always nil, since no goroutine returns an error
	return err
}

// SetFault replaces the injected faults.
func (p *Proxy) SetFault(f Fault) {
	p.mu.Lock()
	p.fault = f
	p.mu.Unlock()
	if f.Refuse {
		p.reset()
	}
}

// StallOpen permanently stops all data on the open connections, without closing them.
// New connections work.
func (p *Proxy) StallOpen() {
	p.forEach(func(c *connPair) { c.stalled = true })
}

// DelayOpen delays what clients send on the currently open connections. The data is
// delivered even if the client has closed the connection meanwhile. New connections
// are not affected.
func (p *Proxy) DelayOpen(by time.Duration) {
	p.forEach(func(c *connPair) { c.extraDelay = by })
}

// forEach calls a function for each open connection, with the connection locked.
func (p *Proxy) forEach(change func(*connPair)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		c.mu.Lock()
		change(c)
		c.mu.Unlock()
	}
}

func (p *Proxy) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		c.close()
	}
}

func (p *Proxy) accept() error {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return nil // Close has closed the listener
		}
		p.tomb.Go(func() error {
			p.serve(client)
			return nil
		})
	}
}

func (p *Proxy) serve(client net.Conn) {
	c, ok := p.open(client)
	if !ok {
		_ = client.Close() // refused by a fault, server unreachable, or proxy stopping
		return
	}
	done := make(chan struct{}, 2)
	for _, direction := range [][2]net.Conn{{c.client, c.server}, {c.server, c.client}} {
		p.tomb.Go(func() error {
			p.forward(c, direction[0], direction[1])
			done <- struct{}{}
			return nil
		})
	}
	<-done
	<-done
	p.mu.Lock()
	delete(p.conns, c)
	p.mu.Unlock()
}

func (p *Proxy) open(client net.Conn) (*connPair, bool) {
	if !p.waitUntilOpen(nil, client) {
		return nil, false
	}
	server, err := net.DialTimeout("tcp", p.target.String(), dialTimeout)
	if err != nil {
		return nil, false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.fault.Refuse || !p.tomb.Alive() {
		_ = server.Close() // a fault or Close came during the dial
		return nil, false
	}
	p.count++
	c := &connPair{client: client, server: server, alternate: p.count%2 == 1}
	p.conns[c] = struct{}{}
	return c, true
}

// extraDelayFrom returns the extra delay of data from one side.
func (c *connPair) extraDelayFrom(side net.Conn) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if side != c.client {
		return 0
	}
	return c.extraDelay
}

func (c *connPair) close() {
	for _, conn := range []net.Conn{c.client, c.server} {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // close with a reset, as if the process had died
		}
		_ = conn.Close() // may be closed already
	}
}

// waitUntilOpen waits while a fault stops the data sent by one side. It reports false
// if the connection must be closed.
func (p *Proxy) waitUntilOpen(c *connPair, side net.Conn) bool {
	for p.tomb.Alive() {
		p.mu.Lock()
		f := p.fault
		p.mu.Unlock()
		stalled := false
		if c != nil {
			c.mu.Lock()
			stalled = c.stalled
			c.mu.Unlock()
		}
		if f.Refuse {
			return false
		}
		cut := f.Cut || f.CutToServer && (c == nil || side == c.client) || f.CutToClient && (c == nil || side == c.server)
		if !cut && !stalled {
			return true
		}
		time.Sleep(cutPollPeriod)
	}
	return false
}

func (p *Proxy) faultDelay(c *connPair) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.fault.DelayAlternate && !c.alternate {
		return 0
	}
	return p.fault.Delay
}

// chunk is data that waits to be delivered.
type chunk struct {
	data []byte
	due  time.Time
}

func (p *Proxy) forward(c *connPair, from, to net.Conn) {
	chunks := make(chan chunk, 1024)
	p.tomb.Go(func() error {
		defer close(chunks)
		buffer := make([]byte, bufferBytes)
		for {
			n, err := from.Read(buffer)
			if n > 0 {
				wait := p.faultDelay(c) + c.extraDelayFrom(from)
				chunks <- chunk{data: append([]byte(nil), buffer[:n]...), due: time.Now().Add(wait)}
			}
			if err != nil {
				return nil // the deferred close ends the loop over chunks below
			}
		}
	})
	for d := range chunks {
		time.Sleep(time.Until(d.due))
		if !p.waitUntilOpen(c, from) {
			break
		}
		if _, err := to.Write(d.data); err != nil {
			break
		}
	}
	if c.extraDelayFrom(to) == 0 {
		c.close()
	}
	drain(chunks)
}

// drain discards chunks until the reading goroutine ends, so that it is not blocked.
func drain(chunks <-chan chunk) {
	for {
		if _, ok := <-chunks; !ok {
			return
		}
	}
}
