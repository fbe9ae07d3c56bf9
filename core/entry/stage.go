package entry

import (
	"context"
	"time"

	"sequoialead"
	"sequoialead/core/config"
	"sequoialead/core/judge"
)

const (
	// maxTries bounds the attempts at one stage that may have been run.
	maxTries = 4
	// maxAttempts bounds all attempts at one stage.
	maxAttempts = 200
	// refusedPause is waited after an agent refused, so that a stage does not
	// circle among agents that all refuse.
	refusedPause = 2 * time.Millisecond
)

// task is one stage of a run.
type task struct {
	run      *run
	index    int
	stage    config.Stage
	customer config.Customer
	prefix   string
}

// ending is how a stage ended.
type ending struct {
	done   bool
	state  sequoialead.StageState
	reason sequoialead.Reason
	detail string
}

// do runs the stage, with as many attempts as it needs and may have.
func (t task) do(ctx context.Context) ending {
	avoid := map[string]bool{}
	// worst is what is known of the attempts that were sent.
	worst := ending{state: sequoialead.StageNotRun}
	tries := 0
	for attempt := range maxAttempts {
		seat, reason := t.run.entry.acquire(ctx, t, avoid)
		if reason != "" {
			worst.reason = reason
			return worst
		}
		if reason := t.unfit(ctx); reason != "" {
			t.run.entry.release(t.stage.Pool, seat)
			worst.reason = reason
			return worst
		}
		got, verdict := t.attempt(ctx, seat, uint8(attempt))
		switch verdict {
		case judge.Done:
			t.run.reports[t.index].State = sequoialead.StageDone
			return got
		case judge.Unstarted:
			avoid = t.shun(avoid, seat.name)
			worst.reason, worst.detail = got.reason, got.detail
			pause(ctx)
		case judge.Failed, judge.Unknown:
			return got
		case judge.Repeatable:
			if t.complete() {
				t.run.reports[t.index].State = sequoialead.StageDone
				return ending{done: true, state: sequoialead.StageDone}
			}
			worst = got
			avoid = t.shun(avoid, seat.name)
			tries++
			if tries >= maxTries || ctx.Err() != nil || !t.run.entry.retry(t.stage.Pool) {
				return worst
			}
		}
	}
	return worst
}

// unfit returns why the stage must not be sent now, or an empty reason.
func (t task) unfit(ctx context.Context) sequoialead.Reason {
	held := t.run.held
	switch {
	case held != nil && !t.stage.Idempotent && !held.Sending():
		return sequoialead.ReasonClaim
	case t.late(ctx):
		return sequoialead.ReasonDeadline
	}
	return ""
}

// late reports whether the time left cannot cover the stage, so that a call
// would be wasted.
func (t task) late(ctx context.Context) bool {
	e := t.run.entry
	conf, _ := e.opts.Configuration.Current()
	deadline, ok := ctx.Deadline()
	if !conf.Policy.Early || !ok || t.run.work.Produced > 0 {
		return false
	}
	now := time.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	return now.Add(e.time(t.stage.Name).Quantile(earlyQuantile, now)).After(deadline)
}

// complete reports whether a generation that was cut short had sent all it
// was asked for.
func (t task) complete() bool {
	return t.stage.Op == sequoialead.OpGenerate && t.run.work.Produced >= t.stage.Tokens
}

// shun adds an agent to those that are avoided, of which there are few.
func (t task) shun(avoid map[string]bool, name string) map[string]bool {
	next := map[string]bool{name: true}
	for other := range avoid {
		next[other] = true
	}
	return next
}

func pause(ctx context.Context) {
	timer := time.NewTimer(refusedPause)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// retry takes one retry from the pool's budget.
func (e *Entry) retry(name string) bool {
	conf, _ := e.opts.Configuration.Current()
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.pool(name).budget.Spend(conf.Policy.Retries) {
		return false
	}
	e.tally.Retries++
	return true
}

// attempt sends the stage's call to one agent.
func (t task) attempt(ctx context.Context, s seat, number uint8) (ending, judge.Verdict) {
	e := t.run.entry
	defer e.release(t.stage.Pool, s)
	t.run.reports[t.index].Tries++
	body, err := t.run.work.Request(t.stage)
	if err != nil {
		return ending{state: sequoialead.StageNotRun, reason: sequoialead.ReasonBody, detail: err.Error()}, judge.Failed
	}
	call := sequoialead.Call{
		ID:         sequoialead.CallID{Request: t.run.id, Stage: uint8(t.index), Attempt: number},
		Pool:       t.stage.Pool,
		Op:         t.stage.Op,
		Path:       t.stage.Path,
		Idempotent: t.stage.Idempotent,
		Customer:   t.customer.Name,
		Body:       body,
	}
	c := &collector{task: t, most: e.opts.AnswerBytes}
	began := time.Now()
	t.run.steps.Add("send", "stage", t.stage.Name, "try", number, "server", s.name, "domain", s.domain, "left", t.run.deadline.Sub(began))
	end, err := s.peer.Call(ctx, call, c)
	verdict := judge.Attempt(t.stage.Idempotent, end, err)
	t.lost(s, verdict, end, err)
	if verdict == judge.Done {
		if err := c.finish(end); err != nil {
			verdict = judge.Attempt(t.stage.Idempotent, sequoialead.End{Ending: sequoialead.EndFailed}, nil)
			end.Detail, end.Reason = err.Error(), sequoialead.ReasonBackend
		}
	}
	e.learn(t, s, verdict, end, time.Since(began))
	return describe(end, err, verdict, ctx), verdict
}

// lost notes an attempt that did not end well.
func (t task) lost(s seat, verdict judge.Verdict, end sequoialead.End, err error) {
	switch verdict {
	case judge.Done:
	case judge.Unstarted:
		t.run.steps.Add("send-refused", "server", s.name, "status", end.Status, "reason", end.Reason)
	default:
		t.run.steps.Add("send-lost", "server", s.name, "unsent", false, "ending", end.Ending, "reason", end.Reason, "again", verdict == judge.Repeatable, "err", err)
	}
}

// learn takes what an attempt showed of the agent, the stage and its cost.
func (e *Entry) learn(t task, s seat, verdict judge.Verdict, end sequoialead.End, took time.Duration) {
	conf, _ := e.opts.Configuration.Current()
	now := time.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	p := e.pool(t.stage.Pool)
	switch {
	case verdict == judge.Done:
		e.time(t.stage.Name).Add(took, now)
		p.times.Add(took, now)
		p.ejector.Success(s.name)
		p.budget.Success(conf.Policy.Retries)
	case verdict == judge.Unstarted, end.Reason == sequoialead.ReasonCancelled:
		p.ejector.Settle(s.name)
	default:
		p.ejector.Failure(s.name, now)
	}
	if verdict == judge.Unstarted {
		return
	}
	key := t.run.costKey(t.index)
	e.tally.spend(key, end)
	spent := &t.run.spent[t.index]
	spent.Calls++
	spent.Service += end.Service
	spent.Tokens += uint64(max(end.Tokens, 0))
	if verdict != judge.Done {
		e.tally.waste(key, end.Service, end.Tokens)
		spent.WastedService += end.Service
		spent.WastedTokens += uint64(max(end.Tokens, 0))
	}
}

// describe tells how the stage stands after an attempt.
func describe(end sequoialead.End, err error, verdict judge.Verdict, ctx context.Context) ending {
	got := ending{reason: end.Reason, detail: end.Detail}
	if err != nil {
		got.detail = err.Error()
		got.reason = sequoialead.ReasonSilent
	}
	switch verdict {
	case judge.Done:
		return ending{done: true, state: sequoialead.StageDone}
	case judge.Unstarted:
		got.state = sequoialead.StageNotRun
		if got.reason == "" || got.reason == sequoialead.ReasonSilent {
			got.reason = sequoialead.ReasonNone
		}
	case judge.Unknown:
		got.state = sequoialead.StageUnknown
	default:
		got.state = sequoialead.StageFailed
		if err != nil || end.Ending == sequoialead.EndLost {
			got.state = sequoialead.StageUnknown
		}
	}
	if ctx.Err() != nil && got.state != sequoialead.StageNotRun {
		got.reason = sequoialead.ReasonDeadline
	}
	return got
}
