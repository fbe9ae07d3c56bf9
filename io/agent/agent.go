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
	"sequoialead/core/mac"
	"sequoialead/core/protocol"
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
	// sent while calls are in flight. It is also the interval at which each
	// connection is checked for whether a ping is due.
	HeartbeatBusy = 200 * time.Millisecond
	// HeartbeatIdle is the time after a ping when the next one is due even if
	// messages are being received or no call is in flight.
	HeartbeatIdle = time.Second
	// ReadTimeoutBusy is the time without received messages after which a
	// connection is closed while calls are in flight.
	ReadTimeoutBusy = 700 * time.Millisecond
	// CancelTimeout is how long a cancelled call waits for the agent's End.
	CancelTimeout = 300 * time.Millisecond
	// ReconnectGrace is how long after the loss of its last connection an agent
	// counts as reconnecting. Until then requests for its pool are not refused for
	// lack of agents.
	ReconnectGrace = 2 * time.Second
	// ResumeTimeout bounds the attempts to send or resume an idempotent call.
	ResumeTimeout = time.Second
	// WindowBytes is the number of bytes of a call's answer that the agent may
	// send before it gets more credit. It is also the size of the buffer for
	// chunks that arrive out of order.
	WindowBytes = 64 << 10
	// DefaultConnections is the default number of connections to an agent.
	DefaultConnections = 2
	// minCreditBytes is the number of consumed bytes at which the agent gets
	// new credit for them.
	minCreditBytes = WindowBytes / 4
)

// Configuration is the configuration in force at this entry.
type Configuration interface {
	Version() sequoialead.Version
	// UpdateSince returns the versions after the given one. It reports false if there
	// are none.
	UpdateSince(have sequoialead.Version) (protocol.ConfigUpdate, bool)
	// ApplyUpdate applies versions received from another process. An error means that
	// they cannot be applied.
	ApplyUpdate(update protocol.ConfigUpdate) error
}

// Options configures a client.
type Options struct {
	// Name is the name of this entry.
	Name string
	// Addr is the address of the agent.
	Addr netip.AddrPort
	// Connections is the number of connections; 0 for DefaultConnections.
	Connections   int
	Signer        *mac.Signer
	Configuration Configuration
	// OnChange is called when the agent's load or connection state, or the number
	// of calls in flight to it, may have changed.
	OnChange func()
}

var _ sequoialead.AgentClient = (*Client)(nil)

// Client holds the connections to one agent.
type Client struct {
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

// New returns a client of an agent and starts to connect to it.
func New(opts Options) *Client {
	if opts.Connections == 0 {
		opts.Connections = DefaultConnections
	}
	a := &Client{
		opts:      opts,
		calls:     map[sequoialead.CallID]*pendingCall{},
		linkAdded: make(chan struct{}),
	}
	for range opts.Connections {
		a.tomb.Go(a.keepConnected)
	}
	return a
}

// Close closes the connections and waits for their goroutines to end.
func (a *Client) Close() error {
	a.tomb.Kill(nil)
	return a.tomb.Wait()
}

// SetLeaving records whether the instance list shows the agent as leaving.
func (a *Client) SetLeaving(leaving bool) { a.leaving.Store(leaving) }

// UnmatchedFrames returns the number of received frames that belonged to no
// call in flight.
func (a *Client) UnmatchedFrames() uint64 { return a.unmatched.Load() }

// Bytes returns the number of bytes received and sent over all connections so
// far.
func (a *Client) Bytes() (received, sent uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	received, sent = a.closedReceived, a.closedSent
	for _, l := range a.links {
		r, s := l.Bytes()
		received += r
		sent += s
	}
	return received, sent
}

// Hello returns the agent's latest description of itself. It reports false
// while there is no connection.
func (a *Client) Hello() (sequoialead.Hello, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.hello, len(a.links) > 0
}

// Reconnecting reports whether there is no connection and the last one was
// lost less than ReconnectGrace ago.
func (a *Client) Reconnecting() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.links) == 0 && time.Since(a.disconnectedAt) < ReconnectGrace
}

// Candidate returns the agent's state for routing. It reports false while
// there is no connection or the agent is leaving.
func (a *Client) Candidate() (sequoialead.Candidate, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	c := sequoialead.Candidate{
		Name:     a.hello.Name,
		Domain:   a.hello.Domain,
		Region:   a.hello.Region,
		Load:     a.load,
		LoadTime: a.loadedAt,
		InFlight: len(a.calls),
	}
	usable := len(a.links) > 0 && !a.load.Leaving && !a.leaving.Load()
	return c, usable
}

// keepConnected keeps one connection open until Close, with a backoff between
// attempts. The backoff is reset if an attempt to connect and the connection
// together lasted longer than RedialMax.
func (a *Client) keepConnected() error {
	retry := backoff.NewExponentialBackOff()
	retry.InitialInterval = RedialMin
	retry.MaxInterval = RedialMax
	for a.tomb.Alive() {
		started := time.Now()
		a.runConnection()
		if time.Since(started) > RedialMax {
			retry.Reset()
		}
		select {
		case <-a.tomb.Dying():
		case <-time.After(retry.NextBackOff()):
		}
	}
	return nil
}

// runConnection opens a connection and returns once it is closed or the
// attempt has failed.
func (a *Client) runConnection() {
	ctx, cancel := context.WithTimeout(a.tomb.Context(context.Background()), DialTimeout)
	defer cancel()
	dialer := websocket.Dialer{HandshakeTimeout: DialTimeout, ReadBufferSize: link.MaxBatchBytes, WriteBufferSize: link.MaxBatchBytes}
	header := http.Header{}
	header.Set(entry.HeaderProof, entry.Proof(a.opts.Signer.Sign(entry.SignPurpose, nil)))
	header.Set(entry.HeaderName, a.opts.Name)
	conn, response, err := dialer.DialContext(ctx, "ws://"+a.opts.Addr.String()+entry.Path, header)
	if err != nil {
		return // keepConnected tries again
	}
	_ = response.Body.Close() // the body of a handshake response is not used
	l := link.New(link.Options{Conn: conn, Handle: a.handleFrame})
	defer a.closeLink(l)
	a.heartbeat(l)
}

// heartbeat sends pings on a link, and returns once the link is closed or has
// to be: Close was called, or nothing was received for ReadTimeoutBusy while
// calls are in flight.
func (a *Client) heartbeat(l *link.Link) {
	lastSent := time.Now()
	ticker := time.NewTicker(HeartbeatBusy)
	defer ticker.Stop()
	for {
		select {
		case <-a.tomb.Dying():
			return
		case <-l.Done():
			return
		case <-ticker.C:
		}
		busy := a.hasCalls()
		if busy && l.IdleTime() > ReadTimeoutBusy {
			return
		}
		if idle := l.IdleTime() > HeartbeatBusy; busy && idle || time.Since(lastSent) > HeartbeatIdle {
			lastSent = time.Now()
			ping := protocol.Ping{Version: a.opts.Configuration.Version(), Leaving: a.leaving.Load()}
			if l.Send(protocol.Frame{Ping: &ping}) != nil {
				return
			}
		}
	}
}

func (a *Client) hasCalls() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.calls) > 0
}

func (a *Client) closeLink(l *link.Link) {
	_ = l.Close() // always nil
	a.mu.Lock()
	for i, other := range a.links {
		if other == l {
			a.links = append(a.links[:i:i], a.links[i+1:]...)
			a.disconnectedAt = time.Now()
			received, sent := l.Bytes()
			a.closedReceived += received
			a.closedSent += sent
			break
		}
	}
	a.mu.Unlock()
	a.opts.OnChange()
}

func (a *Client) handleFrame(l *link.Link, f protocol.Frame) {
	switch {
	case f.Hello != nil:
		a.handleHello(l, *f.Hello)
	case f.Chunk != nil:
		a.handleChunk(l, *f.Chunk)
	case f.End != nil:
		a.handleEnd(l, *f.End)
	case f.Pong != nil:
		a.updateLoad(l, f.Pong.Load)
		a.opts.OnChange()
	case f.ConfigRequest != nil:
		if update, ok := a.opts.Configuration.UpdateSince(f.ConfigRequest.Have); ok {
			l.SendAsync(protocol.Frame{ConfigUpdate: &update})
		}
	case f.ConfigUpdate != nil:
		if err := a.opts.Configuration.ApplyUpdate(*f.ConfigUpdate); err != nil {
			l.CloseWithError(err)
		}
	}
}

func (a *Client) handleHello(l *link.Link, h protocol.Hello) {
	if h.Protocol != protocol.Version {
		l.CloseWithError(sequoialead.ErrProtocol.New("agent %s uses protocol version %d, this entry uses %d; update the older of the two", h.Agent.Name, h.Protocol, protocol.Version))
		return
	}
	a.mu.Lock()
	a.hello = h.Agent
	a.links = append(a.links, l)
	close(a.linkAdded)
	a.linkAdded = make(chan struct{})
	a.mu.Unlock()
	a.updateLoad(l, h.Agent.Load)
	if update, ok := a.opts.Configuration.UpdateSince(h.Agent.Load.Version); ok {
		l.SendAsync(protocol.Frame{ConfigUpdate: &update})
	}
	a.opts.OnChange()
}

// updateLoad stores the load that the agent reported, and requests the agent's
// configuration if it is newer.
func (a *Client) updateLoad(l *link.Link, load sequoialead.Load) {
	a.mu.Lock()
	a.load = load
	a.loadedAt = time.Now()
	a.mu.Unlock()
	current := a.opts.Configuration.Version()
	if load.Version > current {
		l.SendAsync(protocol.Frame{ConfigRequest: &protocol.ConfigRequest{Have: current}})
	}
}

// AnnounceVersion sends the agent the current configuration version at once, so that
// it can fetch a new one without waiting for the next ping.
func (a *Client) AnnounceVersion() {
	a.mu.Lock()
	var l *link.Link
	if len(a.links) > 0 {
		l = a.links[0]
	}
	a.mu.Unlock()
	if l != nil {
		ping := protocol.Ping{Version: a.opts.Configuration.Version(), Leaving: a.leaving.Load()}
		_ = l.Send(protocol.Frame{Ping: &ping}) // the link's reader detects a lost connection
	}
}
