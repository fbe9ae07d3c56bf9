package agent

import (
	"context"
	"sync"
	"time"

	"sequoialead"
	"sequoialead/core/protocol"
	"sequoialead/core/reorder"
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
	// uncredited is the number of consumed bytes for which the agent has not got
	// new credit yet.
	uncredited int

	mu     sync.Mutex
	buffer *reorder.Buffer
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

// takeReceived returns the chunks that have become available in order since
// it was last called, and the End, which is nil until it has arrived. An End
// with EndDone is held back until all chunks before it have arrived.
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

func (a *Client) findCall(id sequoialead.CallID) *pendingCall {
	a.mu.Lock()
	defer a.mu.Unlock()
	c := a.calls[id]
	if c == nil {
		a.unmatched.Add(1)
	}
	return c
}

func (a *Client) handleChunk(_ *link.Link, f protocol.Chunk) {
	c := a.findCall(f.ID)
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

func (a *Client) handleEnd(l *link.Link, f protocol.End) {
	a.updateLoad(l, f.End.Load)
	c := a.findCall(f.ID)
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
// The error is ErrUnsent if the call was not sent, ErrLost if it is unknown
// how the call ended, and ErrFailed if the call was completed but its answer
// came too late or could not be delivered.
//
// If the connection is lost, the call is resumed over another one. If the
// context ends, or reply returns an error, the call is cancelled, and the End
// tells whether it was started.
func (a *Client) Call(ctx context.Context, call sequoialead.Call, reply sequoialead.Reply) (sequoialead.End, error) {
	c := &pendingCall{
		call:     call,
		reply:    reply,
		notified: make(chan struct{}, 1),
		buffer:   reorder.New(WindowBytes),
	}
	a.mu.Lock()
	c.call.Incarnation = a.hello.Incarnation
	a.calls[call.ID] = c
	a.mu.Unlock()
	defer a.removeCall(call.ID)
	if err := a.send(ctx, c); err != nil {
		return sequoialead.End{}, err
	}
	for {
		data, end := c.takeReceived()
		if err := a.deliver(c, data); err != nil {
			return a.cancelCall(c, err)
		}
		if end != nil {
			return a.finishCall(c, *end)
		}
		select {
		case <-c.notified:
		case <-c.link.Done():
			if err := a.send(ctx, c); err != nil {
				return sequoialead.End{}, err
			}
		case <-ctx.Done():
			return a.cancelCall(c, ctx.Err())
		}
	}
}

func (a *Client) removeCall(id sequoialead.CallID) {
	a.mu.Lock()
	delete(a.calls, id)
	a.mu.Unlock()
	a.opts.OnChange()
}

// send sends the call, or resumes it if it was sent before.
//
// For an idempotent call the attempts end after ResumeTimeout, to leave time
// to run it on another agent. For any other call they last until its
// deadline, because only this agent can report how it ended.
func (a *Client) send(ctx context.Context, c *pendingCall) error {
	if c.call.Idempotent {
		retryCtx, cancel := context.WithTimeout(ctx, ResumeTimeout)
		defer cancel()
		return a.sendWithin(ctx, retryCtx, c)
	}
	return a.sendWithin(ctx, ctx, c)
}

// sendWithin makes attempts to send the call until retryCtx ends. The
// deadline sent with the call is that of ctx.
func (a *Client) sendWithin(ctx, retryCtx context.Context, c *pendingCall) error {
	for {
		l, incarnation, linkAdded := a.pickLink()
		if l == nil && c.sends == 0 {
			return sequoialead.ErrUnsent.New("agent %s is not connected; trying another", a.opts.Addr)
		}
		if l != nil && incarnation != c.call.Incarnation {
			return a.replacedError(c)
		}
		if l != nil {
			c.link = l
			c.sends++
			c.uncredited = 0
			if l.Send(protocol.Frame{Call: c.nextCopy(ctx, a.opts.Configuration.Version())}) == nil {
				return nil
			}
		}
		select {
		case <-linkAdded:
		case <-time.After(RedialMin):
		case <-retryCtx.Done():
			return sequoialead.ErrLost.Wrap(retryCtx.Err(), "agent %s became unreachable after the call was sent; check whether the work was done before sending it again", a.opts.Addr)
		}
	}
}

func (a *Client) replacedError(c *pendingCall) error {
	if c.sends == 0 {
		return sequoialead.ErrUnsent.New("agent %s was replaced by another process; trying another agent", a.opts.Addr)
	}
	return sequoialead.ErrLost.New("agent %s was replaced by another process after the call was sent; check whether the work was done before sending it again", a.opts.Addr)
}

// nextCopy returns the call to be sent now, with the time left, the sequence
// number of the first missing chunk, and full credit.
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

func (a *Client) pickLink() (*link.Link, [16]byte, <-chan struct{}) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.links) == 0 {
		return nil, a.hello.Incarnation, a.linkAdded
	}
	a.nextLink++
	return a.links[a.nextLink%len(a.links)], a.hello.Incarnation, a.linkAdded
}

// deliver passes chunks to reply, and gives the agent credit for the consumed
// bytes once they reach minCreditBytes.
func (a *Client) deliver(c *pendingCall, data [][]byte) error {
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
	credit := protocol.Credit{ID: c.call.ID, Bytes: c.uncredited}
	c.uncredited = 0
	_ = c.link.Send(protocol.Frame{Credit: &credit}) // if the link is lost, the call is resumed with full credit
	return nil
}

func (a *Client) finishCall(c *pendingCall, end sequoialead.End) (sequoialead.End, error) {
	_ = c.link.Send(protocol.Frame{Ack: &protocol.Ack{ID: c.call.ID}}) // if the Ack is lost, the agent drops the answer when it expires
	if end.Reason == sequoialead.ReasonIncarnation && c.sends > 1 {
		return sequoialead.End{}, a.replacedError(c)
	}
	return end, nil
}

// cancelCall cancels the call and waits up to CancelTimeout for the agent's
// End.
func (a *Client) cancelCall(c *pendingCall, cause error) (sequoialead.End, error) {
	_ = c.link.Send(protocol.Frame{Cancel: &protocol.Cancel{ID: c.call.ID}}) // if this is lost, no End arrives and the timer ends the wait
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
			return a.finishCall(c, *end)
		}
		select {
		case <-c.notified:
		case <-timer.C:
			return sequoialead.End{}, sequoialead.ErrLost.Wrap(cause, "agent %s did not report the end of the call; check whether the work was done before sending it again", a.opts.Addr)
		}
	}
}
