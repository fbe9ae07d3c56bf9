// Package sibling connects entries with each other, so that those that lead
// groups of backend servers take orders of the others. Besides the connections
// it exports its options and the interface that serves orders.
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
	"sequoialead/core/frame"
	"sequoialead/core/members"
	"sequoialead/io/link"
)

// Path is where entries take connections from entries.
const Path = "/sibling"

const (
	headerName = "Sequoialead-Entry"
	// dialTimeout bounds the opening of a connection.
	dialTimeout = 500 * time.Millisecond
	// redialPause is the time between tries to reach an entry: often enough to
	// share work again soon after a restart.
	redialPause = 400 * time.Millisecond
	// beatPeriod and silence bound how long an entry that is frozen or cut off
	// holds up orders: two beats may be lost.
	beatPeriod = 300 * time.Millisecond
	silence    = 900 * time.Millisecond
	bufferSize = 4 << 10
)

// Handler serves other entries.
type Handler interface {
	// Serve has an order made, and calls the function once its inputs were read.
	Serve(ctx context.Context, order frame.Order, read func()) frame.Made
	// Dropped gives up results.
	Dropped(results []frame.Result)
	// Backlogs returns what waits here for the backend servers that this entry
	// leads, by pool.
	Backlogs() map[string]frame.Backlog
	// Tell returns what this entry knows of the store's records.
	Tell(ask frame.Ask) frame.News
	// Heard takes what another entry says of what waits there.
	Heard(entry string, backlogs map[string]frame.Backlog)
}

// Options configures the connections.
type Options struct {
	Name    string
	Handler Handler
	Log     klog.Logger
	// Changed is called when an entry was reached or lost.
	Changed func()
}

// Siblings holds the connections to and from other entries.
type Siblings struct {
	opts Options
	tomb tomb.Tomb
	// stop ends the orders that are served for others.
	stop context.CancelFunc
	ctx  context.Context

	mu      sync.Mutex
	peers   map[string]*peer
	addrs   map[string]netip.AddrPort
	links   map[*link.Link]struct{}
	leaving bool
}

var _ sequoialead.Service = (*Siblings)(nil)

// New returns no connections.
func New(opts Options) *Siblings {
	s := &Siblings{opts: opts, peers: map[string]*peer{}, addrs: map[string]netip.AddrPort{}, links: map[*link.Link]struct{}{}}
	s.ctx, s.stop = context.WithCancel(context.Background())
	return s
}

// Start keeps the connections alive until Close.
func (s *Siblings) Start(context.Context) error {
	s.tomb.Go(s.beat)
	return nil
}

// Close closes all connections and waits.
func (s *Siblings) Close() error {
	s.stop()
	s.mu.Lock()
	s.tomb.Kill(nil) // under the lock that work is started with
	var links []*link.Link
	for l := range s.links {
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

// Leave tells the other entries to send no more orders.
func (s *Siblings) Leave() {
	s.mu.Lock()
	s.leaving = true
	links := make([]*link.Link, 0, len(s.links))
	for l := range s.links {
		links = append(links, l)
	}
	s.mu.Unlock()
	for _, l := range links {
		l.Post(frame.Frame{Beat: &frame.Beat{Leaving: true}})
	}
}

// Update takes the entries that there are.
func (s *Siblings) Update(entries []members.Entry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.addrs = make(map[string]netip.AddrPort, len(entries))
	for _, e := range entries {
		s.addrs[e.Name] = e.Addr
	}
}

// Reach reports whether an entry can be asked now. It begins to connect to one
// that was not asked before.
func (s *Siblings) Reach(name string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.peers[name] != nil {
		return s.usable(name) != nil
	}
	if !s.addrs[name].IsValid() || !s.tomb.Alive() {
		return false
	}
	p := &peer{name: name, pending: map[uint64]*asked{}, asks: map[uint64]chan frame.News{}}
	s.peers[name] = p
	s.tomb.Go(func() error {
		s.maintain(p)
		return nil
	})
	return false
}

// Lost reports whether an entry was asked and cannot be reached now.
func (s *Siblings) Lost(name string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.peers[name]
	return p != nil && (p.leaving || p.link == nil && p.failed)
}

// beat shows the entries that were asked that this one lives.
func (s *Siblings) beat() error {
	ticker := time.NewTicker(beatPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-s.tomb.Dying():
			return nil
		}
		s.mu.Lock()
		var links []*link.Link
		for _, p := range s.peers {
			if p.link != nil {
				links = append(links, p.link)
			}
		}
		s.mu.Unlock()
		for _, l := range links {
			l.Post(frame.Frame{Beat: &frame.Beat{}})
		}
	}
}

// maintain keeps a connection to an entry while there is one.
func (s *Siblings) maintain(p *peer) {
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
			s.serve(p, conn)
		} else {
			s.opts.Log.V(1).Info("sibling-unreached", "entry", p.name, "addr", addr, "err", err)
			s.mu.Lock()
			p.failed = true
			s.mu.Unlock()
		}
		timer := time.NewTimer(redialPause)
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
		_ = response.Body.Close() // a handshake has no body
	}
	return conn, err
}

// serve uses a connection until it is gone.
func (s *Siblings) serve(p *peer, conn *websocket.Conn) {
	l := link.New(link.Options{Conn: conn, Peer: p.name, Silence: silence, Handle: func(_ *link.Link, f frame.Frame) { s.answer(p, f) }})
	s.mu.Lock()
	p.link, p.leaving, p.failed = l, false, false
	s.mu.Unlock()
	s.opts.Log.Info("sibling-reached", "entry", p.name)
	s.opts.Changed()
	select {
	case <-l.Gone():
	case <-s.tomb.Dying():
	}
	_ = l.Close() // always nil
	s.mu.Lock()
	p.link, p.failed = nil, true
	for id, order := range p.pending {
		close(order.done)
		delete(p.pending, id)
	}
	for id, news := range p.asks {
		close(news)
		delete(p.asks, id)
	}
	s.mu.Unlock()
	s.opts.Log.Info("sibling-lost", "entry", p.name, "err", l.Err())
	s.opts.Changed()
}

// answer takes a message of an entry that was asked.
func (s *Siblings) answer(p *peer, f frame.Frame) {
	if f.Beat != nil && len(f.Beat.Backlogs) > 0 {
		s.opts.Handler.Heard(p.name, f.Beat.Backlogs)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case f.Read != nil:
		if order, ok := p.pending[f.Read.ID]; ok && order.read != nil {
			go order.read()
		}
	case f.Made != nil:
		if order, ok := p.pending[f.Made.ID]; ok {
			delete(p.pending, f.Made.ID)
			order.done <- *f.Made
			return
		}
		if len(f.Made.Results) > 0 && p.link != nil {
			p.link.Post(frame.Frame{Drop: &frame.Drop{Results: f.Made.Results}})
		}
	case f.News != nil:
		if news, ok := p.asks[f.News.ID]; ok {
			delete(p.asks, f.News.ID)
			news <- *f.News
		}
	case f.Beat != nil:
		if f.Beat.Leaving && !p.leaving {
			go s.opts.Changed() // it takes no more orders
		}
		p.leaving = f.Beat.Leaving
	}
}
