package agent

import (
	"time"

	"sequoialead"
	"sequoialead/core/calls"
	"sequoialead/core/frame"
)

// Call takes a call from an entry. The same call again attaches to the first.
func (a *Agent) Call(call sequoialead.Call, from Sender) {
	now := time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	if call.Incarnation != a.incarnation {
		a.answer(call.ID, from, sequoialead.ReasonIncarnation)
		return
	}
	if item := a.table.Find(call.ID); item != nil {
		a.again(item, call, from)
		return
	}
	if reason := a.gate(call, now); reason != "" {
		a.bar(call.ID, from, reason, now)
		return
	}
	if reason := a.room(from.Peer()); reason != "" {
		a.bar(call.ID, from, reason, now)
		return
	}
	item := a.table.Add(call, now)
	if item == nil {
		a.bar(call.ID, from, sequoialead.ReasonMemory, now)
		return
	}
	j := &job{item: item, entry: from.Peer()}
	a.parts.Admit(j.entry)
	a.jobs[call.ID] = j
	a.waiting = append(a.waiting, j)
	a.attach(j, call, from)
	a.pump(now)
}

// room returns why one more call of an entry cannot be admitted, or an empty
// reason.
func (a *Agent) room(entry string) sequoialead.Reason {
	conf, _ := a.opts.Configuration.Current()
	if conf.Policy.Fair && a.parts.Within(entry, a.limit.Limit()) {
		return ""
	}
	free := max(a.limit.Limit()-a.limit.Running(), 0)
	if len(a.waiting) >= free+conf.Pools[a.opts.Pool].Queue {
		return sequoialead.ReasonFull
	}
	return ""
}

// again serves a call that is in the table.
func (a *Agent) again(item *calls.Item, call sequoialead.Call, from Sender) {
	a.stats.Attached++
	if j := a.jobs[call.ID]; j != nil {
		a.attach(j, call, from)
		return
	}
	a.post(call.ID, item.End, from)
}

// tell sends a job's end to an entry that its answer is not delivered to.
func (a *Agent) tell(j *job, to Sender) {
	if !j.over() || j.attached != nil && j.attached.to == to {
		return
	}
	a.post(j.item.Call.ID, j.item.End, to)
}

// bar refuses a call and makes sure that no later copy of it runs.
func (a *Agent) bar(id sequoialead.CallID, from Sender, reason sequoialead.Reason, now time.Time) {
	if _, ok := a.table.Bar(id, reason, now); !ok {
		reason = sequoialead.ReasonMemory
	}
	a.answer(id, from, reason)
}

// answer says that a call was not started.
func (a *Agent) answer(id sequoialead.CallID, from Sender, reason sequoialead.Reason) {
	a.stats.Refused++
	a.post(id, sequoialead.End{Ending: sequoialead.EndRefused, Reason: reason}, from)
}

// end returns the message of a call's end, with the load that the entry sees.
func (a *Agent) end(id sequoialead.CallID, end sequoialead.End, to Sender) frame.Frame {
	end.Load = a.load(to.Peer())
	return frame.Frame{End: &frame.End{ID: id, End: end}}
}

// post sends a call's end without holding up the caller.
func (a *Agent) post(id sequoialead.CallID, end sequoialead.End, to Sender) {
	f := a.end(id, end, to)
	a.tomb.Go(func() error {
		_ = to.Send(f) // a lost connection is noticed by its reader
		return nil
	})
}

// Cancel stops a call and tells the entry whether it was started.
func (a *Agent) Cancel(id sequoialead.CallID, from Sender) {
	now := time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	if j := a.jobs[id]; j != nil {
		a.cancel(j, sequoialead.ReasonCancelled, now)
		a.tell(j, from)
		return
	}
	item, barred := a.table.Bar(id, sequoialead.ReasonCancelled, now)
	if barred {
		a.answer(id, from, item.End.Reason)
		return
	}
	a.post(id, sequoialead.End{Ending: sequoialead.EndLost, Reason: sequoialead.ReasonMemory}, from)
}

// Ack forgets a call whose answer has arrived.
func (a *Agent) Ack(id sequoialead.CallID) {
	a.mu.Lock()
	defer a.mu.Unlock()
	j := a.jobs[id]
	if j == nil || !j.over() {
		return
	}
	delete(a.jobs, id)
	a.table.Forget(id, time.Now())
}

// Credit lets more of a call's answer be sent over the connection that
// carries it.
func (a *Agent) Credit(id sequoialead.CallID, bytes int, from Sender) {
	a.mu.Lock()
	defer a.mu.Unlock()
	j := a.jobs[id]
	if j == nil || j.attached == nil || j.attached.to != from {
		return
	}
	j.attached.credit += bytes
	j.attached.wake()
}
