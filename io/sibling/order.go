package sibling

import (
	"context"
	"net/http"

	"github.com/gorilla/websocket"
	"goji.io"
	"goji.io/pat"

	"sequoialead/core/frame"
	"sequoialead/io/link"
)

// peer is an entry that takes orders.
type peer struct {
	name string
	// link is nil while there is no connection.
	link    *link.Link
	leaving bool
	// failed is set once the entry was not reached or was lost.
	failed bool
	last   uint64
	// pending holds the orders that were not answered.
	pending map[uint64]*asked
	// asks holds the asks for records that were not answered. Their channels are
	// closed if the connection is lost.
	asks map[uint64]chan frame.News
}

// asked is an order that was sent.
type asked struct {
	// done is closed if the connection is lost.
	done chan frame.Made
	read func()
}

// usable returns an entry that can be asked now; nil if it cannot. The caller
// holds mu.
func (s *Siblings) usable(name string) *peer {
	p := s.peers[name]
	if p == nil || p.link == nil || p.leaving {
		return nil
	}
	return p
}

// Order has an order made by an entry, and calls the function once its inputs
// were read, if that is known. It reports false if the entry could not
// be reached, or was lost before it answered.
func (s *Siblings) Order(ctx context.Context, name string, order frame.Order, read func()) (frame.Made, bool) {
	s.mu.Lock()
	p := s.usable(name)
	if p == nil {
		s.mu.Unlock()
		return frame.Made{}, false
	}
	p.last++
	order.ID = p.last
	done := make(chan frame.Made, 1)
	p.pending[order.ID] = &asked{done: done, read: read}
	l := p.link
	s.mu.Unlock()
	if l.Send(frame.Frame{Order: &order}) != nil {
		s.forget(p, order.ID)
		return frame.Made{}, false
	}
	select {
	case made, ok := <-done:
		return made, ok
	case <-ctx.Done():
		if s.forget(p, order.ID) {
			_ = l.Send(frame.Frame{Drop: &frame.Drop{Orders: []uint64{order.ID}}}) // a lost link drops it as well
		}
		return frame.Made{}, false
	}
}

// forget drops an order that nobody waits for. It reports false if the order
// was answered.
func (s *Siblings) forget(p *peer, id uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, ok := p.pending[id]
	delete(p.pending, id)
	return ok
}

// Drop gives up results that an entry had made.
func (s *Siblings) Drop(name string, results []frame.Result) bool {
	s.mu.Lock()
	var l *link.Link
	if p := s.peers[name]; p != nil {
		l = p.link
	}
	s.mu.Unlock()
	return l != nil && l.Send(frame.Frame{Drop: &frame.Drop{Results: results}}) == nil
}

// Mount adds the path for other entries.
func (s *Siblings) Mount(mux *goji.Mux) { mux.HandleFunc(pat.Get(Path), s.accept) }

func (s *Siblings) accept(w http.ResponseWriter, r *http.Request) {
	upgrader := websocket.Upgrader{HandshakeTimeout: dialTimeout, ReadBufferSize: bufferSize, WriteBufferSize: bufferSize}
	conn, err := upgrader.Upgrade(w, r, nil)
	if err != nil {
		return // Upgrade has answered
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.tomb.Alive() {
		_ = conn.Close() // this end closes
		return
	}
	c := &served{s: s, cancels: map[uint64]context.CancelFunc{}}
	c.ctx, c.stop = context.WithCancel(s.ctx)
	l := link.New(link.Options{Conn: conn, Peer: r.Header.Get(headerName), Silence: silence, Handle: c.handle})
	s.links[l] = struct{}{}
	s.tomb.Go(func() error {
		<-l.Gone()
		c.stop()
		_ = l.Close() // always nil
		s.mu.Lock()
		delete(s.links, l)
		s.mu.Unlock()
		return nil
	})
}

// served is a connection from another entry.
type served struct {
	s    *Siblings
	ctx  context.Context
	stop context.CancelFunc
	// cancels holds the orders under way. It is guarded by s.mu.
	cancels map[uint64]context.CancelFunc
}

func (c *served) handle(l *link.Link, f frame.Frame) {
	switch {
	case f.Order != nil:
		c.order(l, *f.Order)
	case f.Drop != nil:
		c.s.mu.Lock()
		for _, id := range f.Drop.Orders {
			if cancel := c.cancels[id]; cancel != nil {
				cancel()
			}
		}
		c.s.mu.Unlock()
		if len(f.Drop.Results) > 0 {
			c.s.opts.Handler.Dropped(f.Drop.Results)
		}
	case f.Ask != nil:
		news := c.s.opts.Handler.Tell(*f.Ask)
		news.ID = f.Ask.ID
		l.Post(frame.Frame{News: &news})
	case f.Beat != nil:
		c.s.mu.Lock()
		leaving := c.s.leaving
		c.s.mu.Unlock()
		l.Post(frame.Frame{Beat: &frame.Beat{Leaving: leaving, Backlogs: c.s.opts.Handler.Backlogs()}})
	}
}

func (c *served) order(l *link.Link, order frame.Order) {
	ctx, cancel := context.WithCancel(c.ctx)
	c.s.mu.Lock()
	defer c.s.mu.Unlock()
	if !c.s.tomb.Alive() {
		cancel()
		return
	}
	c.cancels[order.ID] = cancel
	c.s.tomb.Go(func() error {
		made := c.s.opts.Handler.Serve(ctx, order, func() { l.Post(frame.Frame{Read: &frame.Read{ID: order.ID}}) })
		gone := ctx.Err() != nil
		cancel()
		c.s.mu.Lock()
		delete(c.cancels, order.ID)
		c.s.mu.Unlock()
		if gone || l.Send(frame.Frame{Made: &made}) != nil {
			c.s.opts.Handler.Dropped(made.Results)
		}
		return nil
	})
}
