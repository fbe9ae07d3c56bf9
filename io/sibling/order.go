package sibling

import (
	"context"
	"net/http"

	"github.com/gorilla/websocket"
	"goji.io"
	"goji.io/pat"

	"sequoialead/core/protocol"
	"sequoialead/io/link"
)

// peer is another entry that this one sends orders and queries to.
type peer struct {
	name string
	// link is nil while there is no connection.
	link *link.Link
	// leaving is set once the entry has announced that it takes no more orders.
	leaving bool
	// failed is set while there is no connection because dialing failed or the
	// connection was lost.
	failed bool
	// silent is set while the entry is connected but has not been heard for more than
	// maxMissed heartbeats.
	silent bool
	// lastID is the last ID given to an order or query.
	lastID uint64
	// pendingOrders holds the orders in flight, by ID.
	pendingOrders map[uint64]*pendingOrder
	// pendingQueries holds the reply channels of queries in flight, by ID. They
	// are closed if the connection is lost.
	pendingQueries map[uint64]chan protocol.RecordsResponse
}

// pendingOrder is an order that was sent and not yet answered.
type pendingOrder struct {
	// reply receives the answer. It is closed if the connection is lost.
	reply chan protocol.OrderResult
	// onRead is called when the other entry reports that it has read the order's
	// inputs. It may be nil.
	onRead func()
}

// availablePeer returns an entry if it is connected, and neither leaving nor silent;
// else nil. The caller holds mu.
func (s *Siblings) availablePeer(name string) *peer {
	p := s.peers[name]
	if p == nil || p.link == nil || p.leaving || p.silent {
		return nil
	}
	return p
}

// Order sends an order to another entry and waits for the result. It reports
// false if the entry could not be reached, the connection was lost before the
// result came, or the context ended. If the context ends, the order is also
// cancelled at the other entry.
//
// Unless it is nil, onRead is called on a goroutine of its own when the other
// entry reports that the order's inputs were read. The result may come without
// that report.
func (s *Siblings) Order(ctx context.Context, name string, order protocol.Order, onRead func()) (protocol.OrderResult, bool) {
	s.mu.Lock()
	p := s.availablePeer(name)
	if p == nil {
		s.mu.Unlock()
		return protocol.OrderResult{}, false
	}
	p.lastID++
	order.ID = p.lastID
	reply := make(chan protocol.OrderResult, 1)
	p.pendingOrders[order.ID] = &pendingOrder{reply: reply, onRead: onRead}
	l := p.link
	s.mu.Unlock()
	if l.Send(protocol.Frame{Order: &order}) != nil {
		s.removeOrder(p, order.ID)
		return protocol.OrderResult{}, false
	}
	select {
	case result, ok := <-reply:
		return result, ok
	case <-ctx.Done():
		if s.removeOrder(p, order.ID) {
			// If the link is lost, the other entry cancels the order by itself.
			_ = l.Send(protocol.Frame{Release: &protocol.Release{Orders: []uint64{order.ID}}})
		}
		return protocol.OrderResult{}, false
	}
}

// removeOrder removes an order whose result is no longer awaited. It reports
// false if the order is no longer pending: it was answered, or the connection
// was lost.
func (s *Siblings) removeOrder(p *peer, id uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, ok := p.pendingOrders[id]
	delete(p.pendingOrders, id)
	return ok
}

// ReleaseResults tells the entry that produced results to release them. It reports
// false if the message could not be sent.
func (s *Siblings) ReleaseResults(name string, results []protocol.Result) bool {
	s.mu.Lock()
	var l *link.Link
	if p := s.peers[name]; p != nil {
		l = p.link
	}
	s.mu.Unlock()
	return l != nil && l.Send(protocol.Frame{Release: &protocol.Release{Results: results}}) == nil
}

// Mount registers the path that other entries connect to.
func (s *Siblings) Mount(mux *goji.Mux) { mux.HandleFunc(pat.Get(Path), s.accept) }

func (s *Siblings) accept(w http.ResponseWriter, r *http.Request) {
	upgrader := websocket.Upgrader{HandshakeTimeout: dialTimeout, ReadBufferSize: bufferSize, WriteBufferSize: bufferSize}
	conn, err := upgrader.Upgrade(w, r, nil)
	if err != nil {
		return // Upgrade has sent the error response
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.tomb.Alive() {
		_ = conn.Close() // this entry is closing
		return
	}
	c := &inboundConn{siblings: s, cancels: map[uint64]context.CancelFunc{}}
	c.ctx, c.stop = context.WithCancel(s.ctx)
	l := link.New(link.Options{Conn: conn, Peer: r.Header.Get(headerName), ReadTimeout: s.opts.ReadTimeout, StaleAfter: s.opts.ReadTimeout, Handle: c.handleFrame})
	s.inboundLinks[l] = struct{}{}
	s.tomb.Go(func() error {
		<-l.Done()
		c.stop()
		_ = l.Close() // always nil
		s.mu.Lock()
		delete(s.inboundLinks, l)
		s.mu.Unlock()
		return nil
	})
}

// inboundConn is a connection that another entry opened to send orders here.
type inboundConn struct {
	siblings *Siblings
	// ctx ends with the connection.
	ctx  context.Context
	stop context.CancelFunc
	// cancels holds the cancel functions of the orders in flight, by ID. It is
	// guarded by siblings.mu.
	cancels map[uint64]context.CancelFunc
}

func (c *inboundConn) handleFrame(l *link.Link, f protocol.Frame) {
	switch {
	case f.Order != nil:
		c.startOrder(l, *f.Order)
	case f.Release != nil:
		c.siblings.mu.Lock()
		for _, id := range f.Release.Orders {
			if cancel := c.cancels[id]; cancel != nil {
				cancel()
			}
		}
		c.siblings.mu.Unlock()
		if len(f.Release.Results) > 0 {
			c.siblings.opts.Handler.ReleaseResults(f.Release.Results)
		}
	case f.RecordsRequest != nil:
		response := c.siblings.opts.Handler.RecordsSince(*f.RecordsRequest)
		response.ID = f.RecordsRequest.ID
		l.SendAsync(protocol.Frame{RecordsResponse: &response})
	case f.Heartbeat != nil:
		c.siblings.mu.Lock()
		leaving := c.siblings.leaving
		c.siblings.mu.Unlock()
		l.SendAsync(protocol.Frame{Heartbeat: &protocol.Heartbeat{Leaving: leaving, Backlogs: c.siblings.opts.Handler.Backlogs()}})
	}
}

func (c *inboundConn) startOrder(l *link.Link, order protocol.Order) {
	ctx, cancel := context.WithCancel(c.ctx)
	c.siblings.mu.Lock()
	defer c.siblings.mu.Unlock()
	if !c.siblings.tomb.Alive() {
		cancel()
		return
	}
	c.cancels[order.ID] = cancel
	c.siblings.tomb.Go(func() error {
		result := c.siblings.opts.Handler.Serve(ctx, order, func() { l.SendAsync(protocol.Frame{InputsRead: &protocol.InputsRead{ID: order.ID}}) })
		cancelled := ctx.Err() != nil
		cancel()
		c.siblings.mu.Lock()
		delete(c.cancels, order.ID)
		c.siblings.mu.Unlock()
		if cancelled || l.Send(protocol.Frame{OrderResult: &result}) != nil {
			c.siblings.opts.Handler.ReleaseResults(result.Results)
		}
		return nil
	})
}
