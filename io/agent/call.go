package agent

import (
	"context"
	"sync"
	"time"

	"sequoialead"
	"sequoialead/core/assemble"
	"sequoialead/core/frame"
	"sequoialead/io/link"
)

// pending is a call whose answer is awaited.
type pending struct {
	call   sequoialead.Call
	woken  chan struct{}
	reply  sequoialead.Reply
	linked *link.Link
	// sends counts how often the call was sent; more than one means that it
	// was resumed.
	sends uint32
	// owed is the number of bytes taken whose credit was not given back.
	owed int

	mu     sync.Mutex
	buffer *assemble.Buffer
	// inbox holds data in order that was not handed out yet.
	inbox [][]byte
	end   *sequoialead.End
}

func (c *pending) wake() {
	select {
	case c.woken <- struct{}{}:
	default:
	}
}

// take returns what has arrived since the last time.
func (c *pending) take() (data [][]byte, end *sequoialead.End) {
	c.mu.Lock()
	defer c.mu.Unlock()
	data = c.inbox
	c.inbox = nil
	if c.end != nil && (c.end.Ending != sequoialead.EndDone || c.buffer.Whole(c.end.Count)) {
		end = c.end
	}
	return data, end
}

func (p *Peer) find(id sequoialead.CallID) *pending {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := p.calls[id]
	if c == nil {
		p.stray.Add(1)
	}
	return c
}

func (p *Peer) chunk(_ *link.Link, f frame.Chunk) {
	c := p.find(f.ID)
	if c == nil {
		return
	}
	c.mu.Lock()
	for i, piece := range f.Pieces {
		ready := c.buffer.Add(sequoialead.Chunk{Seq: f.Seq + uint32(i), Data: piece})
		c.inbox = append(c.inbox, ready...)
	}
	c.mu.Unlock()
	c.wake()
}

func (p *Peer) end(l *link.Link, f frame.End) {
	p.reading(l, f.End.Load)
	c := p.find(f.ID)
	if c == nil {
		return
	}
	c.mu.Lock()
	c.end = &f.End
	c.mu.Unlock()
	c.wake()
}

// Call sends a call and hands its answer to the reply until the end. Chunks
// come in order and once each. An End tells what the agent knows; ErrUnsent
// means that the call was not sent, ErrLost that its end was not seen.
//
// The call goes on over a new connection when its own falls silent. When the
// context ends the call is cancelled, and the End tells whether it was started.
func (p *Peer) Call(ctx context.Context, call sequoialead.Call, reply sequoialead.Reply) (sequoialead.End, error) {
	c := &pending{
		call:   call,
		reply:  reply,
		woken:  make(chan struct{}, 1),
		buffer: assemble.New(WindowBytes),
	}
	p.mu.Lock()
	c.call.Incarnation = p.hello.Incarnation
	p.calls[call.ID] = c
	p.mu.Unlock()
	defer p.drop(call.ID)
	if err := p.send(ctx, c); err != nil {
		return sequoialead.End{}, err
	}
	for {
		data, end := c.take()
		if err := p.deliver(c, data); err != nil {
			return p.cancel(c, err)
		}
		if end != nil {
			return p.finish(c, *end)
		}
		select {
		case <-c.woken:
		case <-c.linked.Gone():
			if err := p.send(ctx, c); err != nil {
				return sequoialead.End{}, err
			}
		case <-ctx.Done():
			return p.cancel(c, ctx.Err())
		}
	}
}

func (p *Peer) drop(id sequoialead.CallID) {
	p.mu.Lock()
	delete(p.calls, id)
	p.mu.Unlock()
	p.opts.Changed()
}

// send sends the call, or resumes it where it was sent before.
//
// A call that may be repeated is given up before its deadline, so that there is
// time to run it elsewhere; of any other only this agent can tell the end.
func (p *Peer) send(ctx context.Context, c *pending) error {
	if c.call.Idempotent {
		limited, cancel := context.WithTimeout(ctx, ResumeWait)
		defer cancel()
		return p.sendWithin(ctx, limited, c)
	}
	return p.sendWithin(ctx, ctx, c)
}

// sendWithin sends the call while a second context lasts.
func (p *Peer) sendWithin(ctx, limited context.Context, c *pending) error {
	for {
		l, incarnation, linked := p.pick()
		if l == nil && c.sends == 0 {
			return sequoialead.ErrUnsent.New("agent %s is not connected; another is tried", p.opts.Addr)
		}
		if l != nil && incarnation != c.call.Incarnation {
			return p.replaced(c)
		}
		if l != nil {
			c.linked = l
			c.sends++
			c.owed = 0
			if l.Send(frame.Frame{Call: c.message(ctx, p.opts.Configuration.Version())}) == nil {
				return nil
			}
		}
		select {
		case <-linked:
		case <-time.After(RedialFirst):
		case <-limited.Done():
			return sequoialead.ErrLost.Wrap(limited.Err(), "agent %s is out of reach after the call was sent; check the work's effect before sending it again", p.opts.Addr)
		}
	}
}

func (p *Peer) replaced(c *pending) error {
	if c.sends == 0 {
		return sequoialead.ErrUnsent.New("agent %s was replaced; another is tried", p.opts.Addr)
	}
	return sequoialead.ErrLost.New("agent %s was replaced after the call was sent; check the work's effect before sending it again", p.opts.Addr)
}

// message returns the call as it stands now.
func (c *pending) message(ctx context.Context, version sequoialead.Version) *sequoialead.Call {
	call := c.call
	if deadline, ok := ctx.Deadline(); ok {
		call.Left = max(time.Until(deadline), 0)
	}
	c.mu.Lock()
	call.From = c.buffer.Next()
	c.mu.Unlock()
	call.Credit = WindowBytes
	call.Version = version
	call.Resends = c.sends - 1
	return &call
}

func (p *Peer) pick() (*link.Link, [16]byte, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.links) == 0 {
		return nil, p.hello.Incarnation, p.linked
	}
	p.turn++
	return p.links[p.turn%len(p.links)], p.hello.Incarnation, p.linked
}

// deliver hands data to the reply and lets the agent send as much again.
func (p *Peer) deliver(c *pending, data [][]byte) error {
	for _, d := range data {
		if err := c.reply.Chunk(d); err != nil {
			return err
		}
		c.owed += len(d)
	}
	if len(data) > 0 {
		if err := c.reply.Flush(); err != nil {
			return err
		}
	}
	if c.owed < creditQuantum {
		return nil
	}
	credit := frame.Credit{ID: c.call.ID, Bytes: c.owed}
	c.owed = 0
	_ = c.linked.Send(frame.Frame{Credit: &credit}) // resumed with fresh credit if the link is lost
	return nil
}

func (p *Peer) finish(c *pending, end sequoialead.End) (sequoialead.End, error) {
	_ = c.linked.Send(frame.Frame{Ack: &frame.Ack{ID: c.call.ID}}) // the agent forgets by itself later
	if end.Reason == sequoialead.ReasonIncarnation && c.sends > 1 {
		return sequoialead.End{}, p.replaced(c)
	}
	return end, nil
}

// cancel stops the call and waits a little for the agent's word on it.
func (p *Peer) cancel(c *pending, cause error) (sequoialead.End, error) {
	_ = c.linked.Send(frame.Frame{Cancel: &frame.Cancel{ID: c.call.ID}}) // no answer means that the end is lost
	timer := time.NewTimer(CancelWait)
	defer timer.Stop()
	for {
		c.mu.Lock()
		end := c.end
		c.mu.Unlock()
		if end != nil && end.Ending == sequoialead.EndDone {
			return *end, sequoialead.ErrFailed.Wrap(cause, "the answer came too late or could not be delivered; ask for a longer deadline")
		}
		if end != nil {
			return p.finish(c, *end)
		}
		select {
		case <-c.woken:
		case <-timer.C:
			return sequoialead.End{}, sequoialead.ErrLost.Wrap(cause, "agent %s did not tell the end of the call; check the work's effect before sending it again", p.opts.Addr)
		}
	}
}
