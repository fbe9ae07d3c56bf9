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

// pump starts waiting calls as far as the limit allows.
func (a *Agent) pump(now time.Time) {
	a.prune(now)
	for len(a.waiting) > 0 && a.limit.Room() {
		if !a.limit.Sure() {
			a.wakeProbe()
			return
		}
		a.start(a.next(), now)
	}
}

// prune refuses the waiting calls that must not start any more.
func (a *Agent) prune(now time.Time) {
	a.waiting = slices.DeleteFunc(a.waiting, func(j *job) bool {
		if j.item.State != calls.Waiting {
			return true
		}
		reason := a.unfit(j, now)
		if reason != "" {
			a.refuse(j, reason, now)
		}
		return reason != ""
	})
}

// next takes out the waiting call that is to run next.
func (a *Agent) next() *job {
	entries := make([]string, 0, len(a.waiting))
	for _, j := range a.waiting {
		entries = append(entries, j.entry)
	}
	i := a.parts.Next(entries)
	j := a.waiting[i]
	a.waiting = slices.Delete(a.waiting, i, i+1)
	return j
}

func (a *Agent) unfit(j *job, now time.Time) sequoialead.Reason {
	if now.After(j.item.Deadline) {
		return sequoialead.ReasonDeadline
	}
	return a.gate(j.item.Call, now)
}

// refuse ends a waiting call that was not started.
func (a *Agent) refuse(j *job, reason sequoialead.Reason, now time.Time) {
	if _, barred := a.table.Bar(j.item.Call.ID, reason, now); !barred {
		return
	}
	a.stats.Refused++
	a.parts.Refuse(j.entry)
	j.ended = now
	j.wake()
}

// cancel stops a call that nobody waits for. A non-idempotent call that was
// started runs to its end, so that its end is known.
func (a *Agent) cancel(j *job, reason sequoialead.Reason, now time.Time) {
	switch j.item.State {
	case calls.Waiting:
		a.refuse(j, reason, now)
	case calls.Running:
		if j.item.Call.Idempotent && j.reason == "" {
			j.reason = reason
			a.abandon(j, now)
		}
	}
}

// abandon gives up a running call. A server that warms up is left to end it,
// because the place of a cancelled call is not free before the server has
// noticed the cancel, and one call too many may bring it down.
func (a *Agent) abandon(j *job, now time.Time) {
	if !a.limit.Warming() {
		j.cancel()
		return
	}
	end := a.failure(j, sequoialead.ErrLost.New("the call was given up; its backend server warms up and was left to end it"))
	a.conclude(j, end, now)
	time.AfterFunc(HoldLife, j.cancel)
}

// expire gives up a call whose time is over.
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
	j.began = now
	ticket := a.limit.Send(now)
	boot := a.limit.Boot()
	a.table.Start(j.item)
	a.stats.Started++
	a.parts.Start(j.entry)
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

// reply stores an answer as it arrives.
type reply struct {
	agent *Agent
	job   *job
}

var _ sequoialead.Reply = (*reply)(nil)

// Chunk adds data to the call's answer. An answer that is not streamed is
// delivered together with its end.
func (r *reply) Chunk(data []byte) error {
	r.agent.mu.Lock()
	defer r.agent.mu.Unlock()
	if r.job.over() {
		return nil // given up
	}
	if !r.agent.table.Append(r.job.item, data) {
		r.job.reason = sequoialead.ReasonMemory
		return sequoialead.ErrFailed.New("the answer does not fit in memory; raise 'memory' in the agent's settings")
	}
	if r.job.item.Call.Op.Streams() {
		r.job.wake()
	}
	return nil
}

// Flush does nothing: deliveries are woken by each chunk.
func (r *reply) Flush() error { return nil }

func (a *Agent) finish(j *job, ticket *limit.Ticket, end sequoialead.End, err error) {
	now := time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.parts.Finish(j.entry)
	a.limit.Done(ticket, err == nil, now.Sub(j.began))
	if !j.over() {
		if err != nil {
			end = a.failure(j, err)
		} else {
			end.Ending = sequoialead.EndDone
		}
		a.conclude(j, end, now)
	}
	a.pump(now)
}

// conclude ends a running call.
func (a *Agent) conclude(j *job, end sequoialead.End, now time.Time) {
	end.Service = now.Sub(j.began)
	a.count(end)
	a.table.Finish(j.item, end, now)
	j.ended = now
	j.wake()
}

// failure turns a backend server's error into a truthful end.
func (a *Agent) failure(j *job, err error) sequoialead.End {
	end := sequoialead.End{Reason: sequoialead.ReasonBackend, Detail: err.Error()}
	switch {
	case errorx.IsOfType(err, sequoialead.ErrUnsent), errorx.IsOfType(err, sequoialead.ErrFenced):
		a.suspect()
		end.Ending = sequoialead.EndRefused
	case j.reason != "":
		end.Ending = sequoialead.EndFailed
		end.Reason = j.reason
	case errorx.IsOfType(err, sequoialead.ErrFailed):
		end.Ending = sequoialead.EndFailed
	default:
		end.Ending = sequoialead.EndLost
		if !time.Now().Before(j.item.Deadline) {
			end.Reason = sequoialead.ReasonDeadline
		} else {
			a.suspect()
		}
	}
	return end
}

// suspect falls back to cold and asks at once which life the backend server
// is in.
func (a *Agent) suspect() {
	a.limit.Suspect()
	a.wakeProbe()
}

func (a *Agent) count(end sequoialead.End) {
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
