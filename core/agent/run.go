package agent

import (
	"context"
	"slices"
	"time"

	"github.com/joomcode/errorx"

	"sequoialead"
	"sequoialead/core/calls"
	"sequoialead/core/limit"
)

// dispatch starts queued calls as far as the limit allows. If the identity of the
// backend server must be confirmed first, dispatch requests a probe. The caller
// holds mu.
func (a *Agent) dispatch(now time.Time) {
	a.refuseQueued(now)
	for len(a.queue) > 0 && a.limit.HasCapacity() {
		if !a.limit.CanSendUnconfirmed() {
			a.requestProbe()
			return
		}
		a.start(a.dequeue(), now)
	}
}

// refuseQueued refuses the queued calls that may no longer be started.
func (a *Agent) refuseQueued(now time.Time) {
	a.queue = slices.DeleteFunc(a.queue, func(j *job) bool {
		if j.item.State != calls.Queued {
			return true
		}
		reason := a.startRefusalReason(j, now)
		if reason != "" {
			a.refuse(j, reason, now)
		}
		return reason != ""
	})
}

// dequeue removes and returns the queued call to start next: the oldest one of the
// entry with the fewest running calls. The queue must not be empty.
func (a *Agent) dequeue() *job {
	entries := make([]string, 0, len(a.queue))
	for _, j := range a.queue {
		entries = append(entries, j.entry)
	}
	i := a.divider.Next(entries)
	j := a.queue[i]
	a.queue = slices.Delete(a.queue, i, i+1)
	return j
}

func (a *Agent) startRefusalReason(j *job, now time.Time) sequoialead.Reason {
	if now.After(j.item.Deadline) {
		return sequoialead.ReasonDeadline
	}
	return a.refusalReason(j.item.Call, now)
}

// refuse refuses a queued call and leaves a tombstone, so that no later copy of it
// runs.
func (a *Agent) refuse(j *job, reason sequoialead.Reason, now time.Time) {
	if _, blocked := a.table.Block(j.item.Call.ID, reason, now); !blocked {
		return
	}
	a.stats.Refused++
	a.divider.Refuse(j.entry)
	j.endTime = now
	j.wake()
}

// cancel stops a call that no entry waits for. A non-idempotent call that was
// started runs to completion, so that its outcome is known.
func (a *Agent) cancel(j *job, reason sequoialead.Reason, now time.Time) {
	switch j.item.State {
	case calls.Queued:
		a.refuse(j, reason, now)
	case calls.Running:
		if j.item.Call.Idempotent && j.failureReason == "" {
			j.failureReason = reason
			a.abandon(j, now)
		}
	}
}

// abandon cancels a running call. If the backend server is warming up, the call is
// recorded as ended at once, but cancelled at the server only after
// abandonedCallTimeout. The capacity of a cancelled call is not free until the
// server has noticed the cancellation, and a single call above the cold limit may
// crash the server.
func (a *Agent) abandon(j *job, now time.Time) {
	if !a.limit.Warming() {
		j.cancel()
		return
	}
	end := a.endFromError(j, sequoialead.ErrLost.New("the call was abandoned; its backend server is warming up, so it was not cancelled there"))
	a.recordEnd(j, end, now)
	time.AfterFunc(abandonedCallTimeout, j.cancel)
}

// expire abandons a running call at its deadline.
func (a *Agent) expire(j *job) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if j.item.State == calls.Running {
		a.abandon(j, time.Now())
	}
}

func (a *Agent) start(j *job, now time.Time) {
	ctx, cancel := context.WithCancel(a.tomb.Context(context.Background()))
	j.cancel = cancel
	j.startTime = now
	ticket := a.limit.Start(now)
	boot := a.limit.Boot()
	a.table.Start(j.item)
	a.stats.Started++
	a.divider.Start(j.entry)
	call := j.item.Call
	timer := time.AfterFunc(j.item.Deadline.Sub(now), func() { a.expire(j) })
	a.tomb.Go(func() error {
		defer cancel()
		defer timer.Stop()
		end, err := a.opts.Backend.Do(ctx, call, boot, &reply{agent: a, job: j})
		a.finish(j, ticket, end, err)
		return nil
	})
}

// reply receives the answer of the backend server and stores it in the call's item
// in the table.
type reply struct {
	agent *Agent
	job   *job
}

var _ sequoialead.Reply = (*reply)(nil)

// Chunk appends data to the call's answer. Unless the operation streams, the
// chunks are delivered together with the call's end. It returns ErrFailed if the
// table would exceed MaxBytes.
func (r *reply) Chunk(data []byte) error {
	r.agent.mu.Lock()
	defer r.agent.mu.Unlock()
	if r.job.finished() {
		return nil // the call was abandoned: the rest of its answer is discarded
	}
	if !r.agent.table.Append(r.job.item, data) {
		r.job.failureReason = sequoialead.ReasonMemory
		return sequoialead.ErrFailed.New("the answer does not fit in memory; raise 'memory' in the agent's settings")
	}
	if r.job.item.Call.Op.Streams() {
		r.job.wake()
	}
	return nil
}

// Flush does nothing: each chunk wakes the delivery.
func (r *reply) Flush() error { return nil }

func (a *Agent) finish(j *job, ticket *limit.Ticket, end sequoialead.End, err error) {
	now := time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.divider.Finish(j.entry)
	a.limit.Done(ticket, err == nil, now.Sub(j.startTime))
	if !j.finished() {
		if err != nil {
			end = a.endFromError(j, err)
		} else {
			end.Ending = sequoialead.EndDone
		}
		a.recordEnd(j, end, now)
	}
	a.dispatch(now)
}

// recordEnd records the end of a running call and wakes its delivery.
func (a *Agent) recordEnd(j *job, end sequoialead.End, now time.Time) {
	end.Service = now.Sub(j.startTime)
	a.countEnd(end)
	a.table.Finish(j.item, end, now)
	j.endTime = now
	j.wake()
}

// endFromError returns the end to report for an error of the backend server. It
// is EndRefused only if the call cannot have been started, and EndLost if that is
// not known.
func (a *Agent) endFromError(j *job, err error) sequoialead.End {
	end := sequoialead.End{Reason: sequoialead.ReasonBackend, Detail: err.Error()}
	switch {
	case errorx.IsOfType(err, sequoialead.ErrUnsent), errorx.IsOfType(err, sequoialead.ErrFenced):
		a.suspectRestart()
		end.Ending = sequoialead.EndRefused
	case j.failureReason != "":
		end.Ending = sequoialead.EndFailed
		end.Reason = j.failureReason
	case errorx.IsOfType(err, sequoialead.ErrFailed):
		end.Ending = sequoialead.EndFailed
	default:
		end.Ending = sequoialead.EndLost
		if !time.Now().Before(j.item.Deadline) {
			end.Reason = sequoialead.ReasonDeadline
		} else {
			a.suspectRestart()
		}
	}
	return end
}

// suspectRestart lowers the limit to that of a cold backend server and requests a
// probe to find out whether it has restarted.
func (a *Agent) suspectRestart() {
	a.limit.SuspectRestart()
	a.requestProbe()
}

func (a *Agent) countEnd(end sequoialead.End) {
	switch end.Ending {
	case sequoialead.EndDone:
		a.stats.Done++
	case sequoialead.EndFailed:
		a.stats.Failed++
	case sequoialead.EndLost:
		a.stats.Lost++
	case sequoialead.EndRefused:
		a.stats.Refused++
	}
}
