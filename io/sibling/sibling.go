// Package sibling connects entries with each other. An entry sends its orders
// for pieces, the units of work of a stage, to the entry that leads a group of
// backend servers: the leader queues the orders for the whole group. An entry
// can also query another one for records of the platform's store.
package sibling

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/gorilla/websocket"
	"gopkg.in/tomb.v2"
	"k8s.io/klog/v2"

	"sequoialead"
	"sequoialead/core/membership"
	"sequoialead/core/protocol"
	"sequoialead/io/link"
)

// Path is the HTTP path where an entry accepts connections from other entries.
const Path = "/sibling"

const (
	headerName = "Sequoialead-Entry"
	// dialTimeout bounds the opening of a connection.
	dialTimeout = 500 * time.Millisecond
	// redialInterval is the pause between attempts to connect to an entry. It is
	// short so that orders are sent there again soon after a restart.
	redialInterval    = 400 * time.Millisecond
	heartbeatInterval = 300 * time.Millisecond
	// maxMissed is the number of heartbeats in a row that an entry may leave
	// unanswered before it gets no new orders. It may only be slow, and keeps the
	// orders that it has.
	maxMissed  = 3
	bufferSize = 4 << 10
)

// Handler serves the requests of other entries and receives their backlogs.
// Only Serve may block.
type Handler interface {
	// Serve executes an order and returns its result. It calls onRead once the
	// order's inputs were read. The context ends when the order is cancelled.
	Serve(ctx context.Context, order protocol.Order, onRead func()) protocol.OrderResult
	// ReleaseResults releases results that were produced here for another entry.
	ReleaseResults(results []protocol.Result)
	// Backlogs returns the work queued here for the backend servers that this
	// entry leads, by pool.
	Backlogs() map[string]protocol.Backlog
	// RecordsSince answers a query for records of the platform's store.
	RecordsSince(request protocol.RecordsRequest) protocol.RecordsResponse
	// UpdateBacklogs receives the backlogs that another entry reported, by pool.
	UpdateBacklogs(entry string, backlogs map[string]protocol.Backlog)
}

// Options configures the connections.
type Options struct {
	// Name is the name of this entry.
	Name    string
	Handler Handler
	Log     klog.Logger
	// OnChange is called when an entry was connected, was disconnected or
	// announced that it is leaving.
	OnChange func()
	// ReadTimeout is how long an entry that hangs or is cut off from the network delays
	// the orders that it has; 0 for DefaultReadTimeout. An entry that resumes after
	// longer drops its orders itself.
	ReadTimeout time.Duration
}

// DefaultReadTimeout is the default of Options.ReadTimeout.
const DefaultReadTimeout = 1800 * time.Millisecond

// Siblings holds the connections to and from other entries.
type Siblings struct {
	opts Options
	tomb tomb.Tomb
	// stop cancels ctx, and with it the orders served for other entries and
	// attempts to connect.
	stop context.CancelFunc
	ctx  context.Context

	mu sync.Mutex
	// peers holds the entries that this one connects to, by name.
	peers map[string]*peer
	// addrs holds the addresses of the known entries, by name.
	addrs map[string]netip.AddrPort
	// inboundLinks holds the connections that other entries opened.
	inboundLinks map[*link.Link]struct{}
	// leaving is set once this entry takes no more orders.
	leaving bool
}

var _ sequoialead.Service = (*Siblings)(nil)

// New returns a Siblings without connections.
func New(opts Options) *Siblings {
	if opts.ReadTimeout == 0 {
		opts.ReadTimeout = DefaultReadTimeout
	}
	s := &Siblings{opts: opts, peers: map[string]*peer{}, addrs: map[string]netip.AddrPort{}, inboundLinks: map[*link.Link]struct{}{}}
	s.ctx, s.stop = context.WithCancel(context.Background())
	return s
}

// Start starts the heartbeats on the connections to other entries, which go on
// until Close.
func (s *Siblings) Start(context.Context) error {
	s.tomb.Go(s.sendHeartbeats)
	return nil
}

// Close closes all connections, cancels the orders served for other entries,
// and waits for their goroutines to end.
func (s *Siblings) Close() error {
	s.stop()
	s.mu.Lock()
	s.tomb.Kill(nil) // with mu held, so that no goroutine is started afterwards
	var links []*link.Link
	for l := range s.inboundLinks {
		links = append(links, l)
	}
	for _, p := range s.peers {
		if p.link != nil {
			links = append(links, p.link)
		}
	}
	s.mu.Unlock()
	for _, l := range links {
		_ = l.Close() // always nil
	}
	return s.tomb.Wait()
}

// Drain tells the entries connected to this one to send no more orders.
func (s *Siblings) Drain() {
	s.mu.Lock()
	s.leaving = true
	links := make([]*link.Link, 0, len(s.inboundLinks))
	for l := range s.inboundLinks {
		links = append(links, l)
	}
	s.mu.Unlock()
	for _, l := range links {
		l.SendAsync(protocol.Frame{Heartbeat: &protocol.Heartbeat{Leaving: true}})
	}
}

// SetEntries sets the known entries and their addresses.
func (s *Siblings) SetEntries(entries []membership.Member) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.addrs = make(map[string]netip.AddrPort, len(entries))
	for _, e := range entries {
		s.addrs[e.Name] = e.Addr
	}
}

// EnsureConnected reports whether an entry is connected, and neither leaving nor silent. It starts to
// connect to an entry on the first call for it.
func (s *Siblings) EnsureConnected(name string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.peers[name] != nil {
		return s.availablePeer(name) != nil
	}
	if !s.addrs[name].IsValid() || !s.tomb.Alive() {
		return false
	}
	p := &peer{name: name, pendingOrders: map[uint64]*pendingOrder{}, pendingQueries: map[uint64]chan protocol.RecordsResponse{}}
	s.peers[name] = p
	s.tomb.Go(func() error {
		s.keepConnected(p)
		return nil
	})
	return false
}

// Unavailable reports whether an entry that EnsureConnected was called for is
// leaving or silent, or could not be connected or has lost its connection.
func (s *Siblings) Unavailable(name string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.peers[name]
	return p != nil && (p.leaving || p.silent || p.link == nil && p.failed)
}

// sendHeartbeats sends heartbeats on the connections that this entry opened.
// The other end answers each.
func (s *Siblings) sendHeartbeats() error {
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-s.tomb.Dying():
			return nil
		}
		s.mu.Lock()
		var links []*link.Link
		changed := false
		for _, p := range s.peers {
			if p.link != nil {
				links = append(links, p.link)
				if !p.silent && p.link.Tick() > maxMissed {
					p.silent, changed = true, true
					s.opts.Log.Info("sibling-silent", "entry", p.name, "orders", len(p.pendingOrders))
				}
			}
		}
		s.mu.Unlock()
		for _, l := range links {
			l.SendAsync(protocol.Frame{Heartbeat: &protocol.Heartbeat{}})
		}
		if changed {
			s.opts.OnChange()
		}
	}
}

// keepConnected keeps a connection to an entry open until the entry is no
// longer among the known ones or Close is called. It waits redialInterval
// between attempts.
func (s *Siblings) keepConnected(p *peer) {
	for s.tomb.Alive() {
		s.mu.Lock()
		addr := s.addrs[p.name]
		if !addr.IsValid() {
			delete(s.peers, p.name)
			s.mu.Unlock()
			return
		}
		s.mu.Unlock()
		if conn, err := s.dial(addr); err == nil {
			s.runConnection(p, conn)
		} else {
			s.opts.Log.V(1).Info("sibling-unreached", "entry", p.name, "addr", addr, "err", err)
			s.mu.Lock()
			p.failed = true
			s.mu.Unlock()
		}
		timer := time.NewTimer(redialInterval)
		select {
		case <-timer.C:
		case <-s.tomb.Dying():
			timer.Stop()
		}
	}
}

func (s *Siblings) dial(addr netip.AddrPort) (*websocket.Conn, error) {
	ctx, cancel := context.WithTimeout(s.ctx, dialTimeout)
	defer cancel()
	dialer := websocket.Dialer{HandshakeTimeout: dialTimeout, ReadBufferSize: bufferSize, WriteBufferSize: bufferSize}
	conn, response, err := dialer.DialContext(ctx, "ws://"+addr.String()+Path, map[string][]string{headerName: {s.opts.Name}})
	if response != nil {
		_ = response.Body.Close() // the body of a handshake response is not used
	}
	return conn, err
}

// runConnection uses a connection to an entry until it is closed, and then
// fails the orders and queries in flight on it.
func (s *Siblings) runConnection(p *peer, conn *websocket.Conn) {
	l := link.New(link.Options{Conn: conn, Peer: p.name, ReadTimeout: s.opts.ReadTimeout, StaleAfter: s.opts.ReadTimeout, Handle: func(_ *link.Link, f protocol.Frame) { s.handleFrame(p, f) }})
	s.mu.Lock()
	p.link, p.leaving, p.failed, p.silent = l, false, false, false
	s.mu.Unlock()
	s.opts.Log.Info("sibling-reached", "entry", p.name)
	s.opts.OnChange()
	select {
	case <-l.Done():
	case <-s.tomb.Dying():
	}
	_ = l.Close() // always nil
	s.mu.Lock()
	p.link, p.failed, p.silent = nil, true, false
	for id, order := range p.pendingOrders {
		close(order.reply)
		delete(p.pendingOrders, id)
	}
	for id, reply := range p.pendingQueries {
		close(reply)
		delete(p.pendingQueries, id)
	}
	s.mu.Unlock()
	s.opts.Log.Info("sibling-lost", "entry", p.name, "err", l.Err())
	s.opts.OnChange()
}

// handleFrame handles a frame received from an entry that this one connected
// to.
func (s *Siblings) handleFrame(p *peer, f protocol.Frame) {
	if f.Heartbeat != nil && len(f.Heartbeat.Backlogs) > 0 {
		s.opts.Handler.UpdateBacklogs(p.name, f.Heartbeat.Backlogs)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if p.silent {
		p.silent = false
		s.opts.Log.Info("sibling-heard", "entry", p.name)
		go s.opts.OnChange() // mu is held here, so OnChange needs its own goroutine
	}
	switch {
	case f.InputsRead != nil:
		if order, ok := p.pendingOrders[f.InputsRead.ID]; ok && order.onRead != nil {
			go order.onRead()
		}
	case f.OrderResult != nil:
		if order, ok := p.pendingOrders[f.OrderResult.ID]; ok {
			delete(p.pendingOrders, f.OrderResult.ID)
			order.reply <- *f.OrderResult
			return
		}
		if len(f.OrderResult.Results) > 0 && p.link != nil {
			p.link.SendAsync(protocol.Frame{Release: &protocol.Release{Results: f.OrderResult.Results}})
		}
	case f.RecordsResponse != nil:
		if reply, ok := p.pendingQueries[f.RecordsResponse.ID]; ok {
			delete(p.pendingQueries, f.RecordsResponse.ID)
			reply <- *f.RecordsResponse
		}
	case f.Heartbeat != nil:
		if f.Heartbeat.Leaving && !p.leaving {
			go s.opts.OnChange() // the entry takes no more orders
		}
		p.leaving = f.Heartbeat.Leaving
	}
}
