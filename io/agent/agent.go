// Package agent is the entry's side of the connections to an agent: it keeps
// them open, sends calls over them, and resumes calls whose connection was
// lost.
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

// Intervals, timeouts and limits of the connections to an agent.
const (
	// DialTimeout bounds the opening of a connection.
	DialTimeout = time.Second
	// RedialMin and RedialMax bound the backoff between attempts to connect.
	RedialMin = 50 * time.Millisecond
	RedialMax = time.Second
	// HeartbeatBusy is the time without received messages after which a ping is
	// sent while calls are in flight. The need for one is checked at this
	// interval.
	HeartbeatBusy = 200 * time.Millisecond
	// HeartbeatIdle is the time after a ping when the next one is sent in any
	// case.
	HeartbeatIdle = time.Second
	// ReadTimeoutBusy is the time without received messages after which a
	// connection is closed while calls are in flight.
	ReadTimeoutBusy = 700 * time.Millisecond
	// CancelTimeout is how long a cancelled call waits for the agent's End.
	CancelTimeout = 300 * time.Millisecond
	// ReconnectGrace is how long after the loss of the last connection the agent
	// is expected to reconnect.
	ReconnectGrace = 2 * time.Second
	// ResumeTimeout bounds the attempts to send or resume an idempotent call.
	ResumeTimeout = time.Second
	// WindowBytes is the number of bytes of a call's answer that the agent may
	// send before it gets more credit. It is also the size of the buffer for
	// chunks that arrive out of order.
	WindowBytes = 64 << 10
	// DefaultLinks is the default number of connections to an agent.
	DefaultLinks = 2
	// minCreditBytes is the number of consumed bytes from which on credit is
	// given back.
	minCreditBytes = WindowBytes / 4
)

// Configuration is the configuration in force at this entry.
type Configuration interface {
	Version() sequoialead.Version
	// UpdateSince returns the versions after the given one. It reports false if there
	// are none.
	UpdateSince(have sequoialead.Version) (frame.ConfigUpdate, bool)
	// ApplyUpdate applies versions received from another process. An error means that
	// they cannot be applied.
	ApplyUpdate(r frame.ConfigUpdate) error
}

// Options configures a peer.
type Options struct {
	// Name is the name of this entry.
	Name string
	// Addr is the address of the agent.
	Addr netip.AddrPort
	// Links is the number of connections; 0 for DefaultLinks.
	Links         int
	Signer        *seal.Signer
	Configuration Configuration
	// OnChange is called when the agent's load or connection state, or the number
	// of calls in flight to it, may have changed.
	OnChange func()
}

var _ sequoialead.AgentClient = (*Peer)(nil)

// Peer is an agent as seen by this entry.
type Peer struct {
	opts Options
	tomb tomb.Tomb
	// leaving is set while the instance list shows the agent as leaving.
	leaving atomic.Bool
	// unmatched counts frames that belong to no call in flight.
	unmatched atomic.Uint64

	mu sync.Mutex
	// links holds the open connections on which the agent's Hello has arrived.
	links []*link.Link
	// nextLink is a counter that selects links for calls round-robin.
	nextLink int
	// hello is the agent's latest description of itself.
	hello sequoialead.Hello
	// load is the latest load that the agent reported, and loadedAt when it came.
	load     sequoialead.Load
	loadedAt time.Time
	// closedReceived and closedSent count the bytes of closed connections.
	closedReceived uint64
	closedSent     uint64
	// disconnectedAt is when a connection was last lost; zero before that.
	disconnectedAt time.Time
	// calls holds the calls in flight.
	calls map[sequoialead.CallID]*pendingCall
	// linkAdded is closed and replaced when a link is added.
	linkAdded chan struct{}
}

// New returns an agent and starts to connect to it.
func New(opts Options) *Peer {
	if opts.Links == 0 {
		opts.Links = DefaultLinks
	}
	p := &Peer{
		opts:      opts,
		calls:     map[sequoialead.CallID]*pendingCall{},
		linkAdded: make(chan struct{}),
	}
	for range opts.Links {
		p.tomb.Go(p.keepConnected)
	}
	return p
}

// Close closes the connections and waits for their goroutines to end.
func (p *Peer) Close() error {
	p.tomb.Kill(nil)
	return p.tomb.Wait()
}

// SetLeaving records whether the instance list shows the agent as leaving.
func (p *Peer) SetLeaving(leaving bool) { p.leaving.Store(leaving) }

// UnmatchedFrames returns the number of received frames that belonged to no
// call in flight.
func (p *Peer) UnmatchedFrames() uint64 { return p.unmatched.Load() }

// Bytes returns the number of bytes received and sent over all connections so
// far.
func (p *Peer) Bytes() (received, sent uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	received, sent = p.closedReceived, p.closedSent
	for _, l := range p.links {
		r, s := l.Bytes()
		received += r
		sent += s
	}
	return received, sent
}

// Hello returns the agent's latest description of itself. It reports false
// while there is no connection.
func (p *Peer) Hello() (sequoialead.Hello, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.hello, len(p.links) > 0
}

// Reconnecting reports whether there is no connection and the last one was
// lost less than ReconnectGrace ago.
func (p *Peer) Reconnecting() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.links) == 0 && time.Since(p.disconnectedAt) < ReconnectGrace
}

// Candidate returns the agent's state for routing. It reports false while
// there is no connection or the agent is leaving.
func (p *Peer) Candidate() (sequoialead.Candidate, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := sequoialead.Candidate{
		Name:     p.hello.Name,
		Domain:   p.hello.Domain,
		Region:   p.hello.Region,
		Load:     p.load,
		LoadTime: p.loadedAt,
		InFlight: len(p.calls),
	}
	usable := len(p.links) > 0 && !p.load.Leaving && !p.leaving.Load()
	return c, usable
}

// keepConnected keeps one connection open until Close, with a backoff between
// attempts that is reset after a connection has lasted for RedialMax.
func (p *Peer) keepConnected() error {
	retry := backoff.NewExponentialBackOff()
	retry.InitialInterval = RedialMin
	retry.MaxInterval = RedialMax
	for p.tomb.Alive() {
		started := time.Now()
		p.runConnection()
		if time.Since(started) > RedialMax {
			retry.Reset()
		}
		select {
		case <-p.tomb.Dying():
		case <-time.After(retry.NextBackOff()):
		}
	}
	return nil
}

// runConnection opens a connection and returns once it is closed or the
// attempt has failed.
func (p *Peer) runConnection() {
	ctx, cancel := context.WithTimeout(p.tomb.Context(context.Background()), DialTimeout)
	defer cancel()
	dialer := websocket.Dialer{HandshakeTimeout: DialTimeout, ReadBufferSize: link.MaxBatchBytes, WriteBufferSize: link.MaxBatchBytes}
	header := http.Header{}
	header.Set(entry.HeaderProof, entry.Proof(p.opts.Signer.Sign(entry.SignPurpose, nil)))
	header.Set(entry.HeaderName, p.opts.Name)
	conn, response, err := dialer.DialContext(ctx, "ws://"+p.opts.Addr.String()+entry.Path, header)
	if err != nil {
		return // keepConnected tries again
	}
	_ = response.Body.Close() // the body of a handshake response is not used
	l := link.New(link.Options{Conn: conn, Handle: p.handleFrame})
	defer p.closeLink(l)
	p.heartbeat(l)
}

// heartbeat sends pings on a link, and returns once the link is closed or has
// to be: Close was called, or nothing was received for ReadTimeoutBusy while
// calls are in flight.
func (p *Peer) heartbeat(l *link.Link) {
	lastSent := time.Now()
	ticker := time.NewTicker(HeartbeatBusy)
	defer ticker.Stop()
	for {
		select {
		case <-p.tomb.Dying():
			return
		case <-l.Done():
			return
		case <-ticker.C:
		}
		busy := p.hasCalls()
		if busy && l.IdleTime() > ReadTimeoutBusy {
			return
		}
		if idle := l.IdleTime() > HeartbeatBusy; busy && idle || time.Since(lastSent) > HeartbeatIdle {
			lastSent = time.Now()
			ping := frame.Ping{Version: p.opts.Configuration.Version(), Leaving: p.leaving.Load()}
			if l.Send(frame.Frame{Ping: &ping}) != nil {
				return
			}
		}
	}
}

func (p *Peer) hasCalls() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.calls) > 0
}

func (p *Peer) closeLink(l *link.Link) {
	_ = l.Close() // always nil
	p.mu.Lock()
	for i, other := range p.links {
		if other == l {
			p.links = append(p.links[:i:i], p.links[i+1:]...)
			p.disconnectedAt = time.Now()
			received, sent := l.Bytes()
			p.closedReceived += received
			p.closedSent += sent
			break
		}
	}
	p.mu.Unlock()
	p.opts.OnChange()
}

func (p *Peer) handleFrame(l *link.Link, f frame.Frame) {
	switch {
	case f.Hello != nil:
		p.handleHello(l, *f.Hello)
	case f.Chunk != nil:
		p.handleChunk(l, *f.Chunk)
	case f.End != nil:
		p.handleEnd(l, *f.End)
	case f.Pong != nil:
		p.updateLoad(l, f.Pong.Load)
		p.opts.OnChange()
	case f.ConfigRequest != nil:
		if r, ok := p.opts.Configuration.UpdateSince(f.ConfigRequest.Have); ok {
			l.SendAsync(frame.Frame{ConfigUpdate: &r})
		}
	case f.ConfigUpdate != nil:
		if err := p.opts.Configuration.ApplyUpdate(*f.ConfigUpdate); err != nil {
			l.CloseWithError(err)
		}
	}
}

func (p *Peer) handleHello(l *link.Link, h frame.Hello) {
	if h.Protocol != frame.Version {
		l.CloseWithError(sequoialead.ErrProtocol.New("agent %s uses protocol version %d, this entry uses %d; update the older of the two", h.Agent.Name, h.Protocol, frame.Version))
		return
	}
	p.mu.Lock()
	p.hello = h.Agent
	p.links = append(p.links, l)
	close(p.linkAdded)
	p.linkAdded = make(chan struct{})
	p.mu.Unlock()
	p.updateLoad(l, h.Agent.Load)
	if r, ok := p.opts.Configuration.UpdateSince(h.Agent.Load.Version); ok {
		l.SendAsync(frame.Frame{ConfigUpdate: &r})
	}
	p.opts.OnChange()
}

// updateLoad stores the load that the agent reported, and requests the agent's
// configuration if it is newer.
func (p *Peer) updateLoad(l *link.Link, load sequoialead.Load) {
	p.mu.Lock()
	p.load = load
	p.loadedAt = time.Now()
	p.mu.Unlock()
	current := p.opts.Configuration.Version()
	if load.Version > current {
		l.SendAsync(frame.Frame{ConfigRequest: &frame.ConfigRequest{Have: current}})
	}
}

// AnnounceVersion sends the agent the current configuration version at once, so that
// it can fetch a new one without waiting for the next ping.
func (p *Peer) AnnounceVersion() {
	p.mu.Lock()
	var l *link.Link
	if len(p.links) > 0 {
		l = p.links[0]
	}
	p.mu.Unlock()
	if l != nil {
		ping := frame.Ping{Version: p.opts.Configuration.Version(), Leaving: p.leaving.Load()}
		_ = l.Send(frame.Frame{Ping: &ping}) // the link's reader detects a lost connection
	}
}
