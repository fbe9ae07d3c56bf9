package entry

import (
	"context"
	"time"

	"github.com/google/uuid"

	"sequoialead"
	"sequoialead/common/trail"
	"sequoialead/core/config"
	"sequoialead/core/work"
)

const (
	// endMargin is kept back from the deadline to tell the caller the outcome.
	endMargin = 50 * time.Millisecond
	// earlyQuantile is the quantile of service times by which a request is
	// taken to need time.
	earlyQuantile = 50
)

// run is a request on its way through its pipeline.
type run struct {
	entry    *Entry
	id       uuid.UUID
	request  sequoialead.Request
	customer config.Customer
	pipeline config.Pipeline
	version  sequoialead.Version
	deadline time.Time
	sink     sequoialead.Sink
	work     work.Work
	reports  []sequoialead.StageReport
	// passed is the number of pools that the book no longer counts the run for.
	passed int
	// spent holds the cost of each stage's calls so far.
	spent []Cost
	held  Held
	steps *trail.Trail
}

// Run runs a request within a time and returns what became of it. The sink
// receives the text while it is generated; it may be nil.
func (e *Entry) Run(ctx context.Context, request sequoialead.Request, customer config.Customer, within time.Duration, sink sequoialead.Sink) sequoialead.Answer {
	id, now := uuid.New(), time.Now()
	steps := e.trails.New(id.String(), now)
	conf, version := e.opts.Configuration.Current()
	steps.Add("arrive", "pipeline", request.Pipeline, "customer", customer.Name, "version", version, "wait", within)
	pipeline, ok := conf.Pipelines[request.Pipeline]
	if !ok {
		return e.ended(steps, sequoialead.Answer{ID: id.String(), Outcome: sequoialead.OutcomeNotRun, Reason: sequoialead.ReasonPipeline, Version: version})
	}
	r := &run{
		entry:    e,
		id:       id,
		steps:    steps,
		request:  request,
		customer: customer,
		pipeline: pipeline,
		version:  version,
		deadline: now.Add(pipeline.Within(within)),
		sink:     sink,
		work:     work.Work{Text: request.Text, Body: request.Body},
		spent:    make([]Cost, len(pipeline.Stages)),
	}
	for _, s := range pipeline.Stages {
		r.reports = append(r.reports, sequoialead.StageReport{Name: s.Name, State: sequoialead.StageNotRun})
	}
	if reason := e.enter(r, conf); reason != "" {
		return e.ended(steps, r.answer(sequoialead.OutcomeNotRun, reason, ""))
	}
	defer e.exit(r)
	return e.ended(steps, r.serve(ctx))
}

// ended counts and logs the end of a request.
func (e *Entry) ended(steps *trail.Trail, a sequoialead.Answer) sequoialead.Answer {
	steps.Add("end", "outcome", a.Outcome, "reason", a.Reason, "detail", a.Detail, "repeat", a.Repeat, "tokens", a.Tokens)
	steps.End(a.Outcome != sequoialead.OutcomeDone)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.tally.outcome(a)
	return a
}

// enter admits a run, or returns why not.
func (e *Entry) enter(r *run, conf *config.Config) sequoialead.Reason {
	now := time.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	options := make([][]option, len(r.pipeline.Stages))
	for i, s := range r.pipeline.Stages {
		p := e.pool(s.Pool)
		options[i] = e.routable(p)
		if reason := e.absent(p, options[i]); reason != "" {
			return reason
		}
	}
	if conf.Policy.Early {
		if reason := e.early(r, conf, options, now); reason != "" {
			return reason
		}
	}
	for _, s := range r.pipeline.Stages {
		e.book.Add(s.Pool, r.customer.Name, e.weight(r.customer))
	}
	e.open++
	return ""
}

// early returns why a run would not end in time, or an empty reason. The options
// are those of each stage.
func (e *Entry) early(r *run, conf *config.Config, options [][]option, now time.Time) sequoialead.Reason {
	var need, waits time.Duration
	for i, s := range r.pipeline.Stages {
		p := e.pool(s.Pool)
		service := e.time(s.Name).Quantile(earlyQuantile, now)
		need += service
		if !conf.Policy.Fair {
			service = p.serviceTime(now) // the wait is for everyone's requests
		}
		waits += e.book.Wait(s.Pool, r.customer.Name, e.weight(r.customer), max(p.slots(options[i]), 1), service, conf.Policy.Fair)
	}
	left := r.deadline.Sub(now) - endMargin
	if need+waits > left {
		r.steps.Add("estimate", "service", need, "waits", waits, "left", left, "fair", conf.Policy.Fair)
	}
	switch {
	case need > left:
		return sequoialead.ReasonDeadline
	case need+waits > left && conf.Policy.Fair:
		return sequoialead.ReasonShare
	case need+waits > left:
		return sequoialead.ReasonFull
	}
	return ""
}

func (e *Entry) exit(r *run) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for r.passed < len(r.pipeline.Stages) {
		e.pass(r)
	}
	e.open--
}

// pass ends the book's count of a run for its next pool. The caller holds mu.
func (e *Entry) pass(r *run) {
	e.book.Done(r.pipeline.Stages[r.passed].Pool, r.customer.Name)
	r.passed++
}

// serve claims the idempotency key where there is one, and runs the stages.
func (r *run) serve(ctx context.Context) sequoialead.Answer {
	keyed := r.request.Key != "" && !r.pipeline.Idempotent()
	if keyed {
		// The end is recorded for a caller who asks again with the key, so it
		// is waited for also when this caller has gone.
		ctx = context.WithoutCancel(ctx)
	}
	ctx, cancel := context.WithDeadline(ctx, r.deadline.Add(-endMargin))
	defer cancel()
	if !keyed {
		return r.stages(ctx)
	}
	if r.entry.opts.Claims == nil {
		return r.answer(sequoialead.OutcomeNotRun, sequoialead.ReasonClaim, "")
	}
	held, known := r.entry.opts.Claims.Claim(ctx, r.request)
	if known != nil {
		known.ID = r.id.String()
		if !known.Repeat {
			known.Version = r.version
			known.Stages = r.reports
		}
		return *known
	}
	r.held = held
	answer := r.stages(ctx)
	held.End(answer)
	return answer
}

func (r *run) stages(ctx context.Context) sequoialead.Answer {
	for i, s := range r.pipeline.Stages {
		t := task{run: r, index: i, stage: s, customer: r.customer}
		if s.Op == sequoialead.OpGenerate {
			t.prefix = r.work.Prompt()
		}
		ending := t.do(ctx)
		r.steps.Add("stage", "stage", s.Name, "pool", s.Pool, "tries", r.reports[i].Tries, "state", ending.state, "reason", ending.reason)
		if !ending.done {
			return r.fail(i, ending)
		}
		r.entry.mu.Lock()
		r.entry.pass(r)
		r.entry.mu.Unlock()
	}
	return r.answer(sequoialead.OutcomeDone, "", "")
}

// fail says what became of a run whose stage did not end well.
func (r *run) fail(index int, ending ending) sequoialead.Answer {
	r.reports[index].State = ending.state
	outcome := sequoialead.OutcomeFailed
	switch {
	case ending.state == sequoialead.StageUnknown && !r.pipeline.Stages[index].Idempotent:
		outcome = sequoialead.OutcomeUnknown
	case ending.state == sequoialead.StageNotRun && index == 0:
		outcome = sequoialead.OutcomeNotRun
	}
	r.waste()
	return r.answer(outcome, ending.reason, ending.detail)
}

// waste marks all cost so far as spent in vain.
func (r *run) waste() {
	e := r.entry
	e.mu.Lock()
	defer e.mu.Unlock()
	for i, c := range r.spent {
		if c.Calls > 0 {
			e.tally.waste(r.costKey(i), c.Service-c.WastedService, int(c.Tokens-c.WastedTokens))
		}
	}
}

func (r *run) costKey(index int) CostKey {
	return CostKey{Pipeline: r.pipeline.Name, Stage: r.pipeline.Stages[index].Name, Customer: r.customer.Name}
}

func (r *run) answer(outcome sequoialead.Outcome, reason sequoialead.Reason, detail string) sequoialead.Answer {
	a := sequoialead.Answer{
		ID:      r.id.String(),
		Outcome: outcome,
		Reason:  reason,
		Detail:  detail,
		Version: r.version,
		Stages:  r.reports,
	}
	if outcome != sequoialead.OutcomeDone {
		return a
	}
	a.Text = string(r.work.Answer)
	a.Tokens = r.work.Produced
	a.Body = r.work.Reply
	a.Status = r.work.Status
	for _, d := range r.work.Documents {
		a.Documents = append(a.Documents, d.ID)
	}
	return a
}
