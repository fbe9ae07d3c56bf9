package entry

import (
	"context"
	"time"

	"sequoialead"
	"sequoialead/core/config"
	"sequoialead/core/outcome"
)

const (
	// maxStartedAttempts bounds the attempts at one stage that were started or
	// may have been.
	maxStartedAttempts = 4
	// maxTotalAttempts bounds all attempts at one stage, including those that
	// agents refused.
	maxTotalAttempts = 200
	// refusalBackoff is the wait after a refusal, so that a stage does not
	// retry in a tight loop while all agents refuse it.
	refusalBackoff = 2 * time.Millisecond
)

// task is one stage of a run.
type task struct {
	run      *run
	index    int
	stage    config.Stage
	customer config.Customer
	// prefix is the prompt of a generation; empty for other operations. The
	// routing policy may prefer an agent that has the start of it cached.
	prefix string
}

// stageResult is the result of a stage or of one attempt at it.
type stageResult struct {
	done   bool
	state  sequoialead.StageState
	reason sequoialead.Reason
	detail string
}

// execute runs the stage, and retries it on other agents where this is safe and
// within the bounds on attempts and the pool's retry budget.
func (t task) execute(ctx context.Context) stageResult {
	excluded := map[string]bool{}
	// result is returned if no attempt completes the stage. A refused attempt
	// sets its reason but keeps its state, because the state tells whether an
	// earlier attempt may have run.
	result := stageResult{state: sequoialead.StageNotRun}
	started := 0
	for attempt := range maxTotalAttempts {
		slot, reason := t.run.entry.acquire(ctx, t, excluded)
		if reason != "" {
			result.reason = reason
			return result
		}
		if reason := t.rejectReason(ctx); reason != "" {
			t.run.entry.release(t.stage.Pool, slot)
			result.reason = reason
			return result
		}
		got, verdict := t.attempt(ctx, slot, uint8(attempt))
		switch verdict {
		case outcome.Done:
			t.run.reports[t.index].State = sequoialead.StageDone
			return got
		case outcome.Unstarted:
			excluded = t.exclude(excluded, slot.name)
			result.reason, result.detail = got.reason, got.detail
			backOff(ctx)
		case outcome.Failed, outcome.Unknown:
			return got
		case outcome.Repeatable:
			if t.generationComplete() {
				t.run.reports[t.index].State = sequoialead.StageDone
				return stageResult{done: true, state: sequoialead.StageDone}
			}
			result = got
			excluded = t.exclude(excluded, slot.name)
			started++
			if started >= maxStartedAttempts || ctx.Err() != nil || !t.run.entry.takeRetry(t.stage.Pool) {
				return result
			}
		}
	}
	return result
}

// rejectReason returns why the stage must not be sent now, or an empty reason.
func (t task) rejectReason(ctx context.Context) sequoialead.Reason {
	claim := t.run.claim
	switch {
	case claim != nil && !t.stage.Idempotent && !claim.Valid():
		return sequoialead.ReasonClaim
	case t.missesDeadline(ctx):
		return sequoialead.ReasonDeadline
	}
	return ""
}

// missesDeadline reports whether the stage is expected to take longer than the
// time left, so that a call would be wasted. It always reports false if RejectLate
// is off or the generation has already produced tokens.
func (t task) missesDeadline(ctx context.Context) bool {
	e := t.run.entry
	conf, _ := e.opts.Configuration.Current()
	deadline, ok := ctx.Deadline()
	if !conf.Policy.RejectLate || !ok || t.run.payload.TokenCount > 0 {
		return false
	}
	now := time.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	return now.Add(e.serviceTimes(t.stage.Name).Quantile(admissionQuantile, now)).After(deadline)
}

// generationComplete reports whether a generation whose connection was lost had
// already sent all requested tokens.
func (t task) generationComplete() bool {
	return t.stage.Op == sequoialead.OpGenerate && t.run.payload.TokenCount >= t.stage.MaxTokens
}

// exclude returns a copy of the excluded agents with one more added. The set is
// small, so copying it is cheap.
func (t task) exclude(excluded map[string]bool, name string) map[string]bool {
	next := map[string]bool{name: true}
	for other := range excluded {
		next[other] = true
	}
	return next
}

func backOff(ctx context.Context) {
	timer := time.NewTimer(refusalBackoff)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// takeRetry takes one retry from the pool's retry budget and reports false if
// the budget is used up.
func (e *Entry) takeRetry(name string) bool {
	conf, _ := e.opts.Configuration.Current()
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.pool(name).budget.TakeRetry(conf.Policy.RetryPercent) {
		return false
	}
	e.stats.Retries++
	return true
}

// attempt sends the stage's call to one agent.
func (t task) attempt(ctx context.Context, s slot, number uint8) (stageResult, outcome.Verdict) {
	e := t.run.entry
	defer e.release(t.stage.Pool, s)
	t.run.reports[t.index].Attempts++
	body, err := t.run.payload.Encode(t.stage)
	if err != nil {
		return stageResult{state: sequoialead.StageNotRun, reason: sequoialead.ReasonBody, detail: err.Error()}, outcome.Failed
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
	c := &collector{task: t, maxBytes: e.opts.MaxAnswerBytes}
	start := time.Now()
	t.run.steps.Add("send", "stage", t.stage.Name, "try", number, "server", s.name, "domain", s.domain, "left", t.run.deadline.Sub(start))
	end, err := s.agent.Call(ctx, call, c)
	verdict := outcome.Classify(t.stage.Idempotent, end, err)
	t.logFailure(s, verdict, end, err)
	if verdict == outcome.Done {
		if err := c.finish(end); err != nil {
			verdict = outcome.Classify(t.stage.Idempotent, sequoialead.End{Ending: sequoialead.EndFailed}, nil)
			end.Detail, end.Reason = err.Error(), sequoialead.ReasonBackend
		}
	}
	e.recordAttempt(t, s, verdict, end, time.Since(start))
	return newStageResult(end, err, verdict, ctx), verdict
}

// logFailure adds an attempt that was refused, failed or lost to the request's
// log.
func (t task) logFailure(s slot, verdict outcome.Verdict, end sequoialead.End, err error) {
	switch verdict {
	case outcome.Done:
	case outcome.Unstarted:
		t.run.steps.Add("send-refused", "server", s.name, "status", end.Status, "reason", end.Reason)
	default:
		t.run.steps.Add("send-lost", "server", s.name, "unsent", false, "ending", end.Ending, "reason", end.Reason, "again", verdict == outcome.Repeatable, "err", err)
	}
}

// recordAttempt updates service times, outlier ejection, the retry budget and
// the cost counts from the end of an attempt.
func (e *Entry) recordAttempt(t task, s slot, verdict outcome.Verdict, end sequoialead.End, duration time.Duration) {
	conf, _ := e.opts.Configuration.Current()
	now := time.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	p := e.pool(t.stage.Pool)
	switch {
	case verdict == outcome.Done:
		e.serviceTimes(t.stage.Name).Add(duration, now)
		p.serviceTimes.Add(duration, now)
		p.ejector.Success(s.name)
		p.budget.RecordSuccess(conf.Policy.RetryPercent)
	case verdict == outcome.Unstarted, end.Reason == sequoialead.ReasonCancelled:
		p.ejector.EndProbe(s.name)
	default:
		p.ejector.Failure(s.name, now)
	}
	if verdict == outcome.Unstarted {
		return
	}
	key := t.run.costKey(t.index)
	e.stats.addCost(key, end)
	cost := &t.run.costs[t.index]
	cost.Calls++
	cost.Service += end.Service
	cost.Tokens += uint64(max(end.Tokens, 0))
	if verdict != outcome.Done {
		e.stats.addWasted(key, end.Service, end.Tokens)
		cost.WastedService += end.Service
		cost.WastedTokens += uint64(max(end.Tokens, 0))
	}
}

// newStageResult returns the result of the stage after an attempt.
func newStageResult(end sequoialead.End, err error, verdict outcome.Verdict, ctx context.Context) stageResult {
	result := stageResult{reason: end.Reason, detail: end.Detail}
	if err != nil {
		result.detail = err.Error()
		result.reason = sequoialead.ReasonSilent
	}
	switch verdict {
	case outcome.Done:
		return stageResult{done: true, state: sequoialead.StageDone}
	case outcome.Unstarted:
		result.state = sequoialead.StageNotRun
		if result.reason == "" || result.reason == sequoialead.ReasonSilent {
			result.reason = sequoialead.ReasonNone
		}
	case outcome.Unknown:
		result.state = sequoialead.StageUnknown
	default:
		result.state = sequoialead.StageFailed
		if err != nil || end.Ending == sequoialead.EndLost {
			result.state = sequoialead.StageUnknown
		}
	}
	if ctx.Err() != nil && result.state != sequoialead.StageNotRun {
		result.reason = sequoialead.ReasonDeadline
	}
	return result
}
