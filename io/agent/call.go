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

// pendingCall is a call in flight.
type pendingCall struct {
	call sequoialead.Call
	// notified receives a value when chunks or the End have arrived.
	notified chan struct{}
	reply    sequoialead.Reply
	// link is the connection that the call was last sent over.
	link *link.Link
	// sends counts how often the call was sent; more than 1 means that it was
	// resumed.
	sends uint32
	// uncredited is the number of bytes consumed for which no credit was given
	// back.
	uncredited int

	mu     sync.Mutex
	buffer *assemble.Buffer
	// undelivered holds chunks that are in order and not yet handed to reply.
	undelivered [][]byte
	end         *sequoialead.End
}

func (c *pendingCall) notify() {
	select {
	case c.notified <- struct{}{}:
	default:
	}
}

// takeReceived returns the chunks that have arrived since the last call. The
// end is nil until it has arrived and, if it is EndDone, all chunks before
// it.
func (c *pendingCall) takeReceived() (data [][]byte, end *sequoialead.End) {
	c.mu.Lock()
	defer c.mu.Unlock()
	data = c.undelivered
	c.undelivered = nil
	if c.end != nil && (c.end.Ending != sequoialead.EndDone || c.buffer.Complete(c.end.Count)) {
		end = c.end
	}
	return data, end
}

func (p *Peer) findCall(id sequoialead.CallID) *pendingCall {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := p.calls[id]
	if c == nil {
		p.unmatched.Add(1)
	}
	return c
}

func (p *Peer) handleChunk(_ *link.Link, f frame.Chunk) {
	c := p.findCall(f.ID)
	if c == nil {
		return
	}
	c.mu.Lock()
	for i, data := range f.Data {
		ready := c.buffer.Add(sequoialead.Chunk{Seq: f.Seq + uint32(i), Data: data})
		c.undelivered = append(c.undelivered, ready...)
	}
	c.mu.Unlock()
	c.notify()
}

func (p *Peer) handleEnd(l *link.Link, f frame.End) {
	p.updateLoad(l, f.End.Load)
	c := p.findCall(f.ID)
	if c == nil {
		return
	}
	c.mu.Lock()
	c.end = &f.End
	c.mu.Unlock()
	c.notify()
}

// Call sends a call and passes its answer to reply, each chunk once and in
// order, until the End. The End is the agent's report of how the call ended.
// The error is ErrUnsent if the call was not sent, ErrLost if its end was not
// seen, and ErrFailed if the call was completed but its answer came too late
// or could not be delivered.
//
// If the connection is lost, the call is resumed over another one. If the
// context ends, or reply returns an error, the call is cancelled, and the End
// tells whether it was started.
func (p *Peer) Call(ctx context.Context, call sequoialead.Call, reply sequoialead.Reply) (sequoialead.End, error) {
	c := &pendingCall{
		call:     call,
		reply:    reply,
		notified: make(chan struct{}, 1),
		buffer:   assemble.New(WindowBytes),
	}
	p.mu.Lock()
	c.call.Incarnation = p.hello.Incarnation
	p.calls[call.ID] = c
	p.mu.Unlock()
	defer p.removeCall(call.ID)
	if err := p.send(ctx, c); err != nil {
		return sequoialead.End{}, err
	}
	for {
		data, end := c.takeReceived()
		if err := p.deliver(c, data); err != nil {
			return p.cancelCall(c, err)
		}
		if end != nil {
			return p.finishCall(c, *end)
		}
		select {
		case <-c.notified:
		case <-c.link.Done():
			if err := p.send(ctx, c); err != nil {
				return sequoialead.End{}, err
			}
		case <-ctx.Done():
			return p.cancelCall(c, ctx.Err())
		}
	}
}

func (p *Peer) removeCall(id sequoialead.CallID) {
	p.mu.Lock()
	delete(p.calls, id)
	p.mu.Unlock()
	p.opts.OnChange()
}

// send sends the call, or resumes it if it was sent before.
//
// For an idempotent call the attempts end after ResumeTimeout, to leave time
// to run it on another agent. For any other call they last until its
// deadline, because only this agent can report how it ended.
func (p *Peer) send(ctx context.Context, c *pendingCall) error {
	if c.call.Idempotent {
		retryCtx, cancel := context.WithTimeout(ctx, ResumeTimeout)
		defer cancel()
		return p.sendWithin(ctx, retryCtx, c)
	}
	return p.sendWithin(ctx, ctx, c)
}

// sendWithin makes attempts to send the call until retryCtx ends. The
// deadline sent with the call is that of ctx.
func (p *Peer) sendWithin(ctx, retryCtx context.Context, c *pendingCall) error {
	for {
		l, incarnation, linkAdded := p.pickLink()
		if l == nil && c.sends == 0 {
			return sequoialead.ErrUnsent.New("agent %s is not connected; trying another", p.opts.Addr)
		}
		if l != nil && incarnation != c.call.Incarnation {
			return p.replacedError(c)
		}
		if l != nil {
			c.link = l
			c.sends++
			c.uncredited = 0
			if l.Send(frame.Frame{Call: c.nextCopy(ctx, p.opts.Configuration.Version())}) == nil {
				return nil
			}
		}
		select {
		case <-linkAdded:
		case <-time.After(RedialMin):
		case <-retryCtx.Done():
			return sequoialead.ErrLost.Wrap(retryCtx.Err(), "agent %s became unreachable after the call was sent; check whether the work was done before sending it again", p.opts.Addr)
		}
	}
}

func (p *Peer) replacedError(c *pendingCall) error {
	if c.sends == 0 {
		return sequoialead.ErrUnsent.New("agent %s was replaced by another process; trying another agent", p.opts.Addr)
	}
	return sequoialead.ErrLost.New("agent %s was replaced by another process after the call was sent; check whether the work was done before sending it again", p.opts.Addr)
}

// nextCopy returns the call to be sent now, with the time left, the first
// missing chunk, and fresh credit.
func (c *pendingCall) nextCopy(ctx context.Context, version sequoialead.Version) *sequoialead.Call {
	call := c.call
	if deadline, ok := ctx.Deadline(); ok {
		call.TimeLeft = max(time.Until(deadline), 0)
	}
	c.mu.Lock()
	call.FirstSeq = c.buffer.Next()
	c.mu.Unlock()
	call.Credit = WindowBytes
	call.Version = version
	call.Resends = c.sends - 1
	return &call
}

func (p *Peer) pickLink() (*link.Link, [16]byte, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.links) == 0 {
		return nil, p.hello.Incarnation, p.linkAdded
	}
	p.nextLink++
	return p.links[p.nextLink%len(p.links)], p.hello.Incarnation, p.linkAdded
}

// deliver passes chunks to reply, and gives the agent credit for the consumed
// bytes once they reach minCreditBytes.
func (p *Peer) deliver(c *pendingCall, data [][]byte) error {
	for _, d := range data {
		if err := c.reply.Chunk(d); err != nil {
			return err
		}
		c.uncredited += len(d)
	}
	if len(data) > 0 {
		if err := c.reply.Flush(); err != nil {
			return err
		}
	}
	if c.uncredited < minCreditBytes {
		return nil
	}
	credit := frame.Credit{ID: c.call.ID, Bytes: c.uncredited}
	c.uncredited = 0
	_ = c.link.Send(frame.Frame{Credit: &credit}) // if the link is lost, the call is resumed with full credit
	return nil
}

func (p *Peer) finishCall(c *pendingCall, end sequoialead.End) (sequoialead.End, error) {
	_ = c.link.Send(frame.Frame{Ack: &frame.Ack{ID: c.call.ID}}) // without the Ack the agent drops the call later by itself
	if end.Reason == sequoialead.ReasonIncarnation && c.sends > 1 {
		return sequoialead.End{}, p.replacedError(c)
	}
	return end, nil
}

// cancelCall cancels the call and waits up to CancelTimeout for the agent's
// End.
func (p *Peer) cancelCall(c *pendingCall, cause error) (sequoialead.End, error) {
	_ = c.link.Send(frame.Frame{Cancel: &frame.Cancel{ID: c.call.ID}}) // if this is lost, no End arrives and the timer ends the wait
	timer := time.NewTimer(CancelTimeout)
	defer timer.Stop()
	for {
		c.mu.Lock()
		end := c.end
		c.mu.Unlock()
		if end != nil && end.Ending == sequoialead.EndDone {
			return *end, sequoialead.ErrFailed.Wrap(cause, "the answer came too late or could not be delivered; use a longer deadline")
		}
		if end != nil {
			return p.finishCall(c, *end)
		}
		select {
		case <-c.notified:
		case <-timer.C:
			return sequoialead.End{}, sequoialead.ErrLost.Wrap(cause, "agent %s did not report the end of the call; check whether the work was done before sending it again", p.opts.Addr)
		}
	}
}
