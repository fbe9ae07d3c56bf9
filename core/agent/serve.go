package agent

import (
	"time"

	"sequoialead"
	"sequoialead/core/calls"
	"sequoialead/core/protocol"
)

// Call admits or refuses a call from an entry. A copy of a call that is already
// known is not run; the answer of the first copy is delivered instead.
func (a *Agent) Call(call sequoialead.Call, from Sender) {
	now := time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	if call.Incarnation != a.incarnation {
		a.sendRefusal(call.ID, from, sequoialead.ReasonIncarnation)
		return
	}
	if item := a.table.Find(call.ID); item != nil {
		a.handleDuplicate(item, call, from)
		return
	}
	if reason := a.refusalReason(call, now); reason != "" {
		a.refuseCall(call.ID, from, reason, now)
		return
	}
	if reason := a.admissionRefusalReason(from.Peer()); reason != "" {
		a.refuseCall(call.ID, from, reason, now)
		return
	}
	item := a.table.Add(call, now)
	if item == nil {
		a.refuseCall(call.ID, from, sequoialead.ReasonMemory, now)
		return
	}
	j := &job{item: item, entry: from.Peer()}
	a.divider.Admit(j.entry)
	a.jobs[call.ID] = j
	a.queue = append(a.queue, j)
	a.attach(j, call, from)
	a.dispatch(now)
}

// admissionRefusalReason returns ReasonFull if the queue has no capacity for one
// more call of an entry, otherwise an empty reason.
func (a *Agent) admissionRefusalReason(entry string) sequoialead.Reason {
	conf, _ := a.opts.Configuration.Current()
	if conf.Policy.FairShare && a.divider.WithinQuota(entry, a.limit.Limit()) {
		return ""
	}
	free := max(a.limit.Limit()-a.limit.Running(), 0)
	if len(a.queue) >= free+conf.Pools[a.opts.Pool].QueueLimit {
		return sequoialead.ReasonFull
	}
	return ""
}

// handleDuplicate answers a copy of a call that is in the table.
func (a *Agent) handleDuplicate(item *calls.Item, call sequoialead.Call, from Sender) {
	a.stats.Duplicates++
	if j := a.jobs[call.ID]; j != nil {
		a.attach(j, call, from)
		return
	}
	a.sendEnd(call.ID, item.End, from)
}

// notifyEnd sends the end of a finished job over a connection, unless the job's
// answer is delivered over the same one: the delivery includes the end.
func (a *Agent) notifyEnd(j *job, to Sender) {
	if !j.finished() || j.delivery != nil && j.delivery.to == to {
		return
	}
	a.sendEnd(j.item.Call.ID, j.item.End, to)
}

// refuseCall refuses a call and leaves a tombstone, so that no later copy of it
// runs.
func (a *Agent) refuseCall(id sequoialead.CallID, from Sender, reason sequoialead.Reason, now time.Time) {
	if _, ok := a.table.Block(id, reason, now); !ok {
		reason = sequoialead.ReasonMemory
	}
	a.sendRefusal(id, from, reason)
}

// sendRefusal tells an entry that a call was not started.
func (a *Agent) sendRefusal(id sequoialead.CallID, from Sender, reason sequoialead.Reason) {
	a.stats.Refused++
	a.sendEnd(id, sequoialead.End{Ending: sequoialead.EndRefused, Reason: reason}, from)
}

// endFrame returns the message with a call's end and the load for the entry. The
// caller holds mu.
func (a *Agent) endFrame(id sequoialead.CallID, end sequoialead.End, to Sender) protocol.Frame {
	end.Load = a.loadLocked(to.Peer())
	return protocol.Frame{End: &protocol.End{ID: id, End: end}}
}

// sendEnd sends a call's end without blocking the caller, which holds mu.
func (a *Agent) sendEnd(id sequoialead.CallID, end sequoialead.End, to Sender) {
	f := a.endFrame(id, end, to)
	a.tomb.Go(func() error {
		_ = to.Send(f) // the connection's read loop detects the loss
		return nil
	})
}

// Cancel stops a call and tells the entry whether it was started. A call that has
// not arrived yet is refused when it does.
func (a *Agent) Cancel(id sequoialead.CallID, from Sender) {
	now := time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	if j := a.jobs[id]; j != nil {
		a.cancel(j, sequoialead.ReasonCancelled, now)
		a.notifyEnd(j, from)
		return
	}
	item, blocked := a.table.Block(id, sequoialead.ReasonCancelled, now)
	if blocked {
		a.sendRefusal(id, from, item.End.Reason)
		return
	}
	a.sendEnd(id, sequoialead.End{Ending: sequoialead.EndLost, Reason: sequoialead.ReasonMemory}, from)
}

// Ack drops the answer of a call after the entry has received all of it.
func (a *Agent) Ack(id sequoialead.CallID) {
	a.mu.Lock()
	defer a.mu.Unlock()
	j := a.jobs[id]
	if j == nil || !j.finished() {
		return
	}
	delete(a.jobs, id)
	a.table.Acknowledge(id, time.Now())
}

// Credit allows the given number of further bytes of a call's answer to be sent.
// It is ignored unless it arrives over the connection that the answer is
// delivered over.
func (a *Agent) Credit(id sequoialead.CallID, bytes int, from Sender) {
	a.mu.Lock()
	defer a.mu.Unlock()
	j := a.jobs[id]
	if j == nil || j.delivery == nil || j.delivery.to != from {
		return
	}
	j.delivery.credit += bytes
	j.delivery.wake()
}
