package agent

import (
	"context"
	"time"

	"sequoialead"
	"sequoialead/core/calls"
	"sequoialead/core/frame"
)

// job is a call of the table with what serves it.
type job struct {
	item *calls.Item
	// entry is the one that the call came from first.
	entry string
	// cancel stops the call at the backend server; nil while it waits.
	cancel context.CancelFunc
	// began is when the call was sent to the backend server.
	began time.Time
	// reason is why the call was cancelled.
	reason sequoialead.Reason
	// attached is the delivery of the answer, if an entry is connected.
	attached *delivery
	// resends is that of the latest copy of the call.
	resends uint32
	// detached is when the last connection was lost; zero while one is there.
	detached time.Time
	ended    time.Time
}

// orphaned reports whether nobody has waited for the answer for a while.
func (j *job) orphaned(now time.Time) bool {
	return !j.detached.IsZero() && now.Sub(j.detached) > OrphanTimeout
}

// over reports whether the call has ended or never will start.
func (j *job) over() bool {
	return j.item.State == calls.Ended || j.item.State == calls.Barred
}

func (j *job) wake() {
	if j.attached != nil {
		j.attached.wake()
	}
}

// delivery sends a call's answer over one connection.
type delivery struct {
	to Sender
	// next is the sequence number of the next chunk to send.
	next uint32
	// credit is the number of bytes that may still be sent.
	credit int
	woken  chan struct{}
	// replaced is closed once another delivery has taken over.
	replaced chan struct{}
}

func (d *delivery) wake() {
	select {
	case d.woken <- struct{}{}:
	default:
	}
}

// attach starts to deliver a job's answer to where a copy of its call came
// from, in place of any earlier one. A copy that was sent before the latest
// changes nothing: its connection was given up by the entry.
func (a *Agent) attach(j *job, call sequoialead.Call, to Sender) {
	if call.Resends < j.resends {
		return
	}
	j.resends = call.Resends
	if j.attached != nil {
		close(j.attached.replaced)
	}
	d := &delivery{
		to:       to,
		next:     call.From,
		credit:   call.Credit,
		woken:    make(chan struct{}, 1),
		replaced: make(chan struct{}),
	}
	j.attached = d
	j.detached = time.Time{}
	a.tomb.Go(func() error {
		a.deliver(j, d)
		return nil
	})
}

func (a *Agent) deliver(j *job, d *delivery) {
	for {
		batch, last := a.take(j, d)
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
		case <-d.woken:
		case <-d.replaced:
			return
		case <-d.to.Gone():
			a.detach(j, d)
			return
		case <-a.tomb.Dying():
			return
		}
	}
}

// take returns the messages that may be sent now, and whether the end is among
// them.
func (a *Agent) take(j *job, d *delivery) ([]frame.Frame, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if j.attached != d {
		return nil, true
	}
	id := j.item.Call.ID
	var batch []frame.Frame
	first := d.next
	for int(d.next) < len(j.item.Chunks) && d.credit > 0 {
		d.credit -= len(j.item.Chunks[d.next])
		d.next++
	}
	if d.next > first {
		pieces := j.item.Chunks[first:d.next:d.next]
		batch = append(batch, frame.Frame{Chunk: &frame.Chunk{ID: id, Seq: first, Pieces: pieces}})
	}
	if !j.over() || int(d.next) < len(j.item.Chunks) {
		return batch, false
	}
	return append(batch, a.end(id, j.item.End, d.to)), true
}

func (a *Agent) detach(j *job, d *delivery) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if j.attached == d {
		j.attached = nil
		j.detached = time.Now()
	}
}
