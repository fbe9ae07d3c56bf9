// Package agent is the entry's side of the connections to one agent. Besides
// the peer it exports its options and the interface that it needs.
package agent

import (
	"context"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/gorilla/websocket"
	"gopkg.in/tomb.v2"

	"sequoialead"
	"sequoialead/core/frame"
	"sequoialead/core/seal"
	"sequoialead/io/entry"
	"sequoialead/io/link"
)

// Periods and bounds of the connections to an agent.
const (
	DialTimeout   = time.Second
	RedialFirst   = 50 * time.Millisecond
	RedialMost    = time.Second
	BeatBusy      = 200 * time.Millisecond
	BeatIdle      = time.Second
	SilenceBusy   = 700 * time.Millisecond
	CancelWait    = 300 * time.Millisecond
	ReconnectWait = 2 * time.Second
	ResumeWait    = time.Second
	WindowBytes   = 64 << 10
	DefaultLinks  = 2
	creditQuantum = WindowBytes / 4
)

// Configuration is the configuration in force at the entry.
type Configuration interface {
	Version() sequoialead.Version
	Relay(have sequoialead.Version) (frame.Relay, bool)
	Learn(r frame.Relay) error
}

// Options configures a peer.
type Options struct {
	// Name is that of this entry.
	Name          string
	Addr          netip.AddrPort
	Links         int
	Sealer        *seal.Sealer
	Configuration Configuration
	// Changed is called when the agent's load or state has changed.
	Changed func()
}

var _ sequoialead.Peer = (*Peer)(nil)

// Peer is one agent as an entry sees it.
type Peer struct {
	opts Options
	tomb tomb.Tomb
	// leaving is set while the instance list shows the agent as leaving.
	leaving atomic.Bool
	// stray counts frames that belong to no open call.
	stray atomic.Uint64

	mu    sync.Mutex
	links []*link.Link
	// turn selects the next link for a new call.
	turn  int
	hello sequoialead.Hello
	load  sequoialead.Load
	at    time.Time
	// received and sent count the bytes of connections that are closed.
	received uint64
	sent     uint64
	// lost is when the last connection was lost; zero before the first.
	lost  time.Time
	calls map[sequoialead.CallID]*pending
	// linked is closed and replaced when a link is added.
	linked chan struct{}
}

// New starts to connect to an agent.
func New(opts Options) *Peer {
	if opts.Links == 0 {
		opts.Links = DefaultLinks
	}
	p := &Peer{
		opts:   opts,
		calls:  map[sequoialead.CallID]*pending{},
		linked: make(chan struct{}),
	}
	for range opts.Links {
		p.tomb.Go(p.maintain)
	}
	return p
}

// Close closes the connections and waits.
func (p *Peer) Close() error {
	p.tomb.Kill(nil)
	return p.tomb.Wait()
}

// SetLeaving takes the instance list's word on the agent.
func (p *Peer) SetLeaving(leaving bool) { p.leaving.Store(leaving) }

// Stray returns the number of frames that belonged to no open call.
func (p *Peer) Stray() uint64 { return p.stray.Load() }

// Bytes returns the bytes received and sent over all connections so far.
func (p *Peer) Bytes() (received, sent uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	received, sent = p.received, p.sent
	for _, l := range p.links {
		r, s := l.Bytes()
		received += r
		sent += s
	}
	return received, sent
}

// Hello returns what the agent last said of itself. It reports false while
// there is no connection.
func (p *Peer) Hello() (sequoialead.Hello, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.hello, len(p.links) > 0
}

// Reconnecting reports whether the last connection was lost just now.
func (p *Peer) Reconnecting() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.links) == 0 && time.Since(p.lost) < ReconnectWait
}

// Candidate returns the agent for routing. It reports false while there is no
// connection or the agent is leaving.
func (p *Peer) Candidate() (sequoialead.Candidate, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := sequoialead.Candidate{
		Name:   p.hello.Name,
		Domain: p.hello.Domain,
		Region: p.hello.Region,
		Load:   p.load,
		At:     p.at,
		Open:   len(p.calls),
	}
	usable := len(p.links) > 0 && !p.load.Leaving && !p.leaving.Load()
	return c, usable
}

// maintain keeps one connection open.
func (p *Peer) maintain() error {
	wait := backoff.NewExponentialBackOff()
	wait.InitialInterval = RedialFirst
	wait.MaxInterval = RedialMost
	for p.tomb.Alive() {
		began := time.Now()
		p.connect()
		if time.Since(began) > RedialMost {
			wait.Reset()
		}
		select {
		case <-p.tomb.Dying():
		case <-time.After(wait.NextBackOff()):
		}
	}
	return nil
}

// connect opens a connection and returns once it is closed.
func (p *Peer) connect() {
	ctx, cancel := context.WithTimeout(p.tomb.Context(context.Background()), DialTimeout)
	defer cancel()
	dialer := websocket.Dialer{HandshakeTimeout: DialTimeout, ReadBufferSize: link.BatchBytes, WriteBufferSize: link.BatchBytes}
	header := http.Header{}
	header.Set(entry.HeaderKey, entry.Proof(p.opts.Sealer.Seal(entry.Purpose, nil)))
	header.Set(entry.HeaderName, p.opts.Name)
	conn, response, err := dialer.DialContext(ctx, "ws://"+p.opts.Addr.String()+entry.Path, header)
	if err != nil {
		return // tried again by maintain
	}
	_ = response.Body.Close() // empty after the upgrade
	l := link.New(link.Options{Conn: conn, Handle: p.handle})
	defer p.remove(l)
	p.beat(l)
}

func (p *Peer) beat(l *link.Link) {
	last := time.Now()
	ticker := time.NewTicker(BeatBusy)
	defer ticker.Stop()
	for {
		select {
		case <-p.tomb.Dying():
			return
		case <-l.Gone():
			return
		case <-ticker.C:
		}
		busy := p.busy()
		if busy && l.Quiet() > SilenceBusy {
			return
		}
		if quiet := l.Quiet() > BeatBusy; busy && quiet || time.Since(last) > BeatIdle {
			last = time.Now()
			ping := frame.Ping{Version: p.opts.Configuration.Version(), Leaving: p.leaving.Load()}
			if l.Send(frame.Frame{Ping: &ping}) != nil {
				return
			}
		}
	}
}

func (p *Peer) busy() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.calls) > 0
}

func (p *Peer) remove(l *link.Link) {
	_ = l.Close() // always nil
	p.mu.Lock()
	for i, other := range p.links {
		if other == l {
			p.links = append(p.links[:i:i], p.links[i+1:]...)
			p.lost = time.Now()
			received, sent := l.Bytes()
			p.received += received
			p.sent += sent
			break
		}
	}
	p.mu.Unlock()
	p.opts.Changed()
}

func (p *Peer) handle(l *link.Link, f frame.Frame) {
	switch {
	case f.Hello != nil:
		p.greet(l, *f.Hello)
	case f.Chunk != nil:
		p.chunk(l, *f.Chunk)
	case f.End != nil:
		p.end(l, *f.End)
	case f.Pong != nil:
		p.reading(l, f.Pong.Load)
		p.opts.Changed()
	case f.Pull != nil:
		if r, ok := p.opts.Configuration.Relay(f.Pull.Have); ok {
			l.Post(frame.Frame{Relay: &r})
		}
	case f.Relay != nil:
		if err := p.opts.Configuration.Learn(*f.Relay); err != nil {
			l.Drop(err)
		}
	}
}

func (p *Peer) greet(l *link.Link, h frame.Hello) {
	if h.Protocol != frame.Protocol {
		l.Drop(sequoialead.ErrProtocol.New("agent %s speaks protocol %d, not %d; update the older of the two", h.Agent.Name, h.Protocol, frame.Protocol))
		return
	}
	p.mu.Lock()
	p.hello = h.Agent
	p.links = append(p.links, l)
	close(p.linked)
	p.linked = make(chan struct{})
	p.mu.Unlock()
	p.reading(l, h.Agent.Load)
	if r, ok := p.opts.Configuration.Relay(h.Agent.Load.Version); ok {
		l.Post(frame.Frame{Relay: &r})
	}
	p.opts.Changed()
}

// reading takes a load that the agent reported, and fetches or offers the
// configuration if one side is behind.
func (p *Peer) reading(l *link.Link, load sequoialead.Load) {
	p.mu.Lock()
	p.load = load
	p.at = time.Now()
	p.mu.Unlock()
	mine := p.opts.Configuration.Version()
	if load.Version > mine {
		l.Post(frame.Frame{Pull: &frame.Pull{Have: mine}})
	}
}

// Announce tells the agent at once of a new version.
func (p *Peer) Announce() {
	p.mu.Lock()
	var l *link.Link
	if len(p.links) > 0 {
		l = p.links[0]
	}
	p.mu.Unlock()
	if l != nil {
		ping := frame.Ping{Version: p.opts.Configuration.Version(), Leaving: p.leaving.Load()}
		_ = l.Send(frame.Frame{Ping: &ping}) // a lost link is noticed by its reader
	}
}
