// Package proxy is a TCP proxy that injects faults between two processes.
// Besides the proxy it exports its faults.
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

// Fault is what is wrong with the network at the moment.
type Fault struct {
	// Cut lets nothing pass, neither on open connections nor on new ones.
	Cut bool
	// Mute and Deaf let nothing pass from the client to the server, and nothing
	// from the server to the client: the other way works.
	Mute bool
	Deaf bool
	// Refuse resets all connections and refuses new ones.
	Refuse bool
	// Delay holds up all data.
	Delay time.Duration
	// Odd lets the delay concern every other connection only, so that messages
	// overtake each other.
	Odd bool
}

const (
	bufferBytes = 32 << 10
	dialTimeout = time.Second
	cutPoll     = 5 * time.Millisecond
)

// Proxy forwards connections to one address.
type Proxy struct {
	target   netip.AddrPort
	listener net.Listener
	tomb     tomb.Tomb

	mu    sync.Mutex
	fault Fault
	conns map[*pair]struct{}
	count int
}

// pair is a connection with its continuation.
type pair struct {
	client, server net.Conn
	odd            bool

	mu sync.Mutex
	// silent connections forward nothing for good, and stay open.
	silent bool
	// late is added to the delay of what the client sends. It is delivered
	// also after the client has closed the connection.
	late time.Duration
}

var _ sequoialead.Service = (*Proxy)(nil)

// New returns a proxy that listens on a loopback address of its own.
func New(target netip.AddrPort) (*Proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, sequoialead.ErrSettings.Wrap(err, "the proxy cannot listen; free some ports")
	}
	return &Proxy{target: target, listener: listener, conns: map[*pair]struct{}{}}, nil
}

// Addr returns the address that the proxy listens on.
func (p *Proxy) Addr() netip.AddrPort { return p.listener.Addr().(*net.TCPAddr).AddrPort() }

// Start begins to forward.
func (p *Proxy) Start(context.Context) error {
	p.tomb.Go(p.accept)
	return nil
}

// Close closes all connections.
func (p *Proxy) Close() error {
	p.tomb.Kill(nil)
	err := p.listener.Close()
	p.reset()
	_ = p.tomb.Wait() // ends with the listener's error
	return err
}

// Fail sets what is wrong.
func (p *Proxy) Fail(f Fault) {
	p.mu.Lock()
	p.fault = f
	p.mu.Unlock()
	if f.Refuse {
		p.reset()
	}
}

// Silence makes the open connections silent for good, while new ones work.
func (p *Proxy) Silence() {
	p.each(func(c *pair) { c.silent = true })
}

// Late holds up what clients send on the connections that are open now, and
// delivers it also after they were closed. New connections are not concerned.
func (p *Proxy) Late(by time.Duration) {
	p.each(func(c *pair) { c.late = by })
}

// each changes every connection that is open now.
func (p *Proxy) each(change func(*pair)) {
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
			return nil // closed
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
		_ = client.Close() // refused
		return
	}
	done := make(chan struct{}, 2)
	for _, way := range [][2]net.Conn{{c.client, c.server}, {c.server, c.client}} {
		p.tomb.Go(func() error {
			p.forward(c, way[0], way[1])
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

func (p *Proxy) open(client net.Conn) (*pair, bool) {
	if !p.pass(nil, client) {
		return nil, false
	}
	server, err := net.DialTimeout("tcp", p.target.String(), dialTimeout)
	if err != nil {
		return nil, false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.fault.Refuse || !p.tomb.Alive() {
		_ = server.Close() // refused
		return nil, false
	}
	p.count++
	c := &pair{client: client, server: server, odd: p.count%2 == 1}
	p.conns[c] = struct{}{}
	return c, true
}

// lateness returns by how much what a side sends is late.
func (c *pair) lateness(side net.Conn) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if side != c.client {
		return 0
	}
	return c.late
}

func (c *pair) close() {
	for _, conn := range []net.Conn{c.client, c.server} {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // a reset, as from a process that died
		}
		_ = conn.Close() // may be closed already
	}
}

// pass waits while the network is cut for what a side sends. It reports false if
// the connection must end.
func (p *Proxy) pass(c *pair, side net.Conn) bool {
	for p.tomb.Alive() {
		p.mu.Lock()
		f := p.fault
		p.mu.Unlock()
		silent := false
		if c != nil {
			c.mu.Lock()
			silent = c.silent
			c.mu.Unlock()
		}
		if f.Refuse {
			return false
		}
		cut := f.Cut || f.Mute && (c == nil || side == c.client) || f.Deaf && (c == nil || side == c.server)
		if !cut && !silent {
			return true
		}
		time.Sleep(cutPoll)
	}
	return false
}

func (p *Proxy) delay(c *pair) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.fault.Odd && !c.odd {
		return 0
	}
	return p.fault.Delay
}

// piece is data on its way.
type piece struct {
	data []byte
	due  time.Time
}

func (p *Proxy) forward(c *pair, from, to net.Conn) {
	pieces := make(chan piece, 1024)
	p.tomb.Go(func() error {
		defer close(pieces)
		buffer := make([]byte, bufferBytes)
		for {
			n, err := from.Read(buffer)
			if n > 0 {
				wait := p.delay(c) + c.lateness(from)
				pieces <- piece{data: append([]byte(nil), buffer[:n]...), due: time.Now().Add(wait)}
			}
			if err != nil {
				return nil // told by the closed channel
			}
		}
	})
	for d := range pieces {
		time.Sleep(time.Until(d.due))
		if !p.pass(c, from) {
			break
		}
		if _, err := to.Write(d.data); err != nil {
			break
		}
	}
	if c.lateness(to) == 0 {
		c.close()
	}
	drain(pieces)
}

// drain lets the reader of a closed connection end.
func drain(pieces <-chan piece) {
	for {
		if _, ok := <-pieces; !ok {
			return
		}
	}
}
