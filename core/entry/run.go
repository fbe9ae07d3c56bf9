package entry

import (
	"context"
	"time"

	"github.com/google/uuid"

	"sequoialead"
	"sequoialead/common/requestlog"
	"sequoialead/core/config"
	"sequoialead/core/payload"
)

const (
	// responseMargin is the part of the deadline that is reserved for sending
	// the outcome to the caller.
	responseMargin = 50 * time.Millisecond
	// admissionQuantile is the percentile of recent service times that is
	// taken as the time that a stage needs.
	admissionQuantile = 50
)

// run is the state of one request while its pipeline runs.
type run struct {
	entry    *Entry
	id       uuid.UUID
	request  sequoialead.Request
	customer config.Customer
	pipeline config.Pipeline
	version  sequoialead.Version
	deadline time.Time
	sink     sequoialead.Sink
	payload  payload.Payload
	reports  []sequoialead.StageReport
	// poolsReleased is the number of stages, from the first on, whose pools no
	// longer count this run as an admitted request that still has to run there.
	poolsReleased int
	// costs holds the cost of the calls so far, by stage.
	costs []Cost
	claim Claim
	steps *requestlog.Trail
}

// Run runs a request and returns its outcome. The callerTimeout is capped at the
// pipeline's deadline; zero means that the caller set none. The sink receives
// generated text as it arrives; it may be nil.
func (e *Entry) Run(ctx context.Context, request sequoialead.Request, customer config.Customer, callerTimeout time.Duration, sink sequoialead.Sink) sequoialead.Answer {
	id, now := uuid.New(), time.Now()
	steps := e.trails.New(id.String(), now)
	conf, version := e.opts.Configuration.Current()
	steps.Add("arrive", "pipeline", request.Pipeline, "customer", customer.Name, "version", version, "wait", callerTimeout)
	pipeline, ok := conf.Pipelines[request.Pipeline]
	if !ok {
		return e.finishRequest(steps, sequoialead.Answer{ID: id.String(), Outcome: sequoialead.OutcomeNotRun, Reason: sequoialead.ReasonPipeline, Version: version})
	}
	r := &run{
		entry:    e,
		id:       id,
		steps:    steps,
		request:  request,
		customer: customer,
		pipeline: pipeline,
		version:  version,
		deadline: now.Add(pipeline.Timeout(callerTimeout)),
		sink:     sink,
		payload:  payload.Payload{Text: request.Text, Body: request.Body},
		costs:    make([]Cost, len(pipeline.Stages)),
	}
	for _, s := range pipeline.Stages {
		r.reports = append(r.reports, sequoialead.StageReport{Name: s.Name, State: sequoialead.StageNotRun})
	}
	if reason := e.admit(r, conf); reason != "" {
		return e.finishRequest(steps, r.answer(sequoialead.OutcomeNotRun, reason, ""))
	}
	defer e.releaseAdmission(r)
	return e.finishRequest(steps, r.serve(ctx))
}

// finishRequest counts and logs the outcome of a request.
func (e *Entry) finishRequest(steps *requestlog.Trail, a sequoialead.Answer) sequoialead.Answer {
	steps.Add("end", "outcome", a.Outcome, "reason", a.Reason, "detail", a.Detail, "repeat", a.Repeat, "tokens", a.Tokens)
	steps.Finish(a.Outcome != sequoialead.OutcomeDone)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stats.countOutcome(a)
	return a
}

// admit counts a run as an admitted request that still has to run at each of its
// pools, or returns why the request is rejected. Waiting times are estimated from
// these counts.
func (e *Entry) admit(r *run, conf *config.Config) sequoialead.Reason {
	now := time.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	targets := make([][]target, len(r.pipeline.Stages))
	for i, s := range r.pipeline.Stages {
		p := e.pool(s.Pool)
		targets[i] = e.routable(p)
		if reason := e.unavailableReason(p, targets[i]); reason != "" {
			return reason
		}
	}
	if conf.Policy.RejectLate {
		if reason := e.checkDeadline(r, conf, targets, now); reason != "" {
			return reason
		}
	}
	for _, s := range r.pipeline.Stages {
		e.admission.Add(s.Pool, r.customer.Name, e.weight(r.customer))
	}
	e.inFlight++
	return ""
}

// checkDeadline estimates whether a run can finish before its deadline, and
// returns why not, or an empty reason. The targets are indexed by stage. The
// caller holds mu.
func (e *Entry) checkDeadline(r *run, conf *config.Config, targets [][]target, now time.Time) sequoialead.Reason {
	var service, waits time.Duration
	for i, s := range r.pipeline.Stages {
		p := e.pool(s.Pool)
		stageTime := e.serviceTimes(s.Name).Quantile(admissionQuantile, now)
		service += stageTime
		if !conf.Policy.FairShare {
			// Without fair queueing, the request waits for the queued calls of
			// all customers and stages, so the mean of all the pool's calls is
			// used.
			stageTime = p.serviceTime(now)
		}
		waits += e.admission.EstimateWait(s.Pool, r.customer.Name, e.weight(r.customer), max(p.capacity(targets[i]), 1), stageTime, conf.Policy.FairShare)
	}
	left := r.deadline.Sub(now) - responseMargin
	if service+waits > left {
		r.steps.Add("estimate", "service", service, "waits", waits, "left", left, "fair", conf.Policy.FairShare)
	}
	switch {
	case service > left:
		return sequoialead.ReasonDeadline
	case service+waits > left && conf.Policy.FairShare:
		return sequoialead.ReasonShare
	case service+waits > left:
		return sequoialead.ReasonFull
	}
	return ""
}

func (e *Entry) releaseAdmission(r *run) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for r.poolsReleased < len(r.pipeline.Stages) {
		e.releasePool(r)
	}
	e.inFlight--
}

// releasePool removes a run from the admitted requests of the first pool that still
// counts it, because its stage there has run or never will. The caller holds mu.
func (e *Entry) releasePool(r *run) {
	e.admission.Remove(r.pipeline.Stages[r.poolsReleased].Pool, r.customer.Name)
	r.poolsReleased++
}

// serve runs the stages. If the request has an idempotency key and the pipeline
// is not idempotent, it claims the key first.
func (r *run) serve(ctx context.Context) sequoialead.Answer {
	keyed := r.request.Key != "" && !r.pipeline.Idempotent()
	if keyed {
		// The outcome is recorded for a caller that retries with the same key,
		// so the run continues even if this caller disconnects.
		ctx = context.WithoutCancel(ctx)
	}
	ctx, cancel := context.WithDeadline(ctx, r.deadline.Add(-responseMargin))
	defer cancel()
	if !keyed {
		return r.runStages(ctx)
	}
	if r.entry.opts.Claimer == nil {
		return r.answer(sequoialead.OutcomeNotRun, sequoialead.ReasonClaim, "")
	}
	claim, prior := r.entry.opts.Claimer.Claim(ctx, r.request)
	if prior != nil {
		prior.ID = r.id.String()
		if !prior.Repeat {
			prior.Version = r.version
			prior.Stages = r.reports
		}
		return *prior
	}
	r.claim = claim
	answer := r.runStages(ctx)
	claim.Finish(answer)
	return answer
}

func (r *run) runStages(ctx context.Context) sequoialead.Answer {
	for i, s := range r.pipeline.Stages {
		t := task{run: r, index: i, stage: s, customer: r.customer}
		if s.Op == sequoialead.OpGenerate {
			t.prefix = r.payload.Prompt()
		}
		result := t.execute(ctx)
		r.steps.Add("stage", "stage", s.Name, "pool", s.Pool, "tries", r.reports[i].Attempts, "state", result.state, "reason", result.reason)
		if !result.done {
			return r.failedAnswer(i, result)
		}
		r.entry.mu.Lock()
		r.entry.releasePool(r)
		r.entry.mu.Unlock()
	}
	return r.answer(sequoialead.OutcomeDone, "", "")
}

// failedAnswer returns the answer of a run whose stage at the given index was
// not completed.
func (r *run) failedAnswer(index int, result stageResult) sequoialead.Answer {
	r.reports[index].State = result.state
	outcome := sequoialead.OutcomeFailed
	switch {
	case result.state == sequoialead.StageUnknown && !r.pipeline.Stages[index].Idempotent:
		outcome = sequoialead.OutcomeUnknown
	case result.state == sequoialead.StageNotRun && index == 0:
		outcome = sequoialead.OutcomeNotRun
	}
	r.markWasted()
	return r.answer(outcome, result.reason, result.detail)
}

// markWasted counts the cost of all calls of the run so far as wasted, because
// no result reaches the caller.
func (r *run) markWasted() {
	e := r.entry
	e.mu.Lock()
	defer e.mu.Unlock()
	for i, c := range r.costs {
		if c.Calls > 0 {
			e.stats.addWasted(r.costKey(i), c.Service-c.WastedService, int(c.Tokens-c.WastedTokens))
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
	a.Text = string(r.payload.Answer)
	a.Tokens = r.payload.TokenCount
	a.Body = r.payload.ResponseBody
	a.Status = r.payload.Status
	for _, d := range r.payload.Documents {
		a.Documents = append(a.Documents, d.ID)
	}
	return a
}
