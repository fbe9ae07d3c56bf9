package agent

import (
	"context"
	"time"

	"sequoialead"
	"sequoialead/core/calls"
	"sequoialead/core/protocol"
)

// job is the agent's state for an admitted call. It is dropped when the answer is
// acknowledged or the call expires from the table.
type job struct {
	item *calls.Item
	// entry is the name of the entry that first sent the call.
	entry string
	// cancel stops the call at the backend server; nil while the call is queued.
	cancel context.CancelFunc
	// startTime is when the call was sent to the backend server.
	startTime time.Time
	// failureReason is why the agent cancelled the call, or ReasonMemory if its
	// answer would have exceeded MaxBytes; empty otherwise.
	failureReason sequoialead.Reason
	// delivery is the current delivery of the answer; nil if the connection of
	// the entry was lost.
	delivery *delivery
	// resends is the highest value of Resends in the received copies of the call.
	resends uint32
	// detachedTime is when the connection of the delivery was lost; zero while
	// there is a delivery.
	detachedTime time.Time
	endTime      time.Time
}

// orphaned reports whether the answer has had no delivery for orphanTimeout.
func (j *job) orphaned(now time.Time) bool {
	return !j.detachedTime.IsZero() && now.Sub(j.detachedTime) > orphanTimeout
}

// finished reports whether the call has ended or will never be started.
func (j *job) finished() bool {
	return j.item.State == calls.Ended || j.item.State == calls.Tombstone
}

func (j *job) wake() {
	if j.delivery != nil {
		j.delivery.wake()
	}
}

// delivery sends a call's answer over one connection.
type delivery struct {
	to Sender
	// next is the sequence number of the next chunk to send.
	next uint32
	// credit is the number of bytes that may still be sent. It can drop below
	// zero, since a chunk is sent while any credit is left.
	credit  int
	wakeups chan struct{}
	// replaced is closed once another delivery has taken over.
	replaced chan struct{}
}

func (d *delivery) wake() {
	select {
	case d.wakeups <- struct{}{}:
	default:
	}
}

// attach starts to deliver a job's answer over the connection that a copy of its
// call arrived on, and replaces any earlier delivery. A copy that was sent before
// the latest one is ignored, because the entry no longer uses its connection. The
// caller holds mu.
func (a *Agent) attach(j *job, call sequoialead.Call, to Sender) {
	if call.Resends < j.resends {
		return
	}
	j.resends = call.Resends
	if j.delivery != nil {
		close(j.delivery.replaced)
	}
	d := &delivery{
		to:       to,
		next:     call.FirstSeq,
		credit:   call.Credit,
		wakeups:  make(chan struct{}, 1),
		replaced: make(chan struct{}),
	}
	j.delivery = d
	j.detachedTime = time.Time{}
	a.tomb.Go(func() error {
		a.deliver(j, d)
		return nil
	})
}

func (a *Agent) deliver(j *job, d *delivery) {
	for {
		batch, last := a.nextFrames(j, d)
		for _, f := range batch {
			if d.to.Send(f) != nil {
				a.detach(j, d)
				return
			}
		}
		if last {
			return
		}
		if len(batch) > 0 {
			continue
		}
		select {
		case <-d.wakeups:
		case <-d.replaced:
			return
		case <-d.to.Done():
			a.detach(j, d)
			return
		case <-a.tomb.Dying():
			return
		}
	}
}

// nextFrames returns the messages that may be sent now, and whether the delivery
// ends with them: they include the call's end, or the delivery was replaced.
func (a *Agent) nextFrames(j *job, d *delivery) ([]protocol.Frame, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if j.delivery != d {
		return nil, true
	}
	id := j.item.Call.ID
	var batch []protocol.Frame
	first := d.next
	for int(d.next) < len(j.item.Chunks) && d.credit > 0 {
		d.credit -= len(j.item.Chunks[d.next])
		d.next++
	}
	if d.next > first {
		chunks := j.item.Chunks[first:d.next:d.next]
		batch = append(batch, protocol.Frame{Chunk: &protocol.Chunk{ID: id, Seq: first, Data: chunks}})
	}
	if !j.finished() || int(d.next) < len(j.item.Chunks) {
		return batch, false
	}
	return append(batch, a.endFrame(id, j.item.End, d.to)), true
}

func (a *Agent) detach(j *job, d *delivery) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if j.delivery == d {
		j.delivery = nil
		j.detachedTime = time.Now()
	}
}
