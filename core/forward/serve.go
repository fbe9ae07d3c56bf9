package forward

import (
	"context"
	"net/http"
	"time"

	"sequoialead"
)

// Serve handles one request. It returns once the answer was passed on completely or
// no further attempt is made.
func (f *Forwarder) Serve(ctx context.Context, p *sequoialead.ProxyRequest, sink Sink) Result {
	tr := f.trails.New(p.ID, p.ArrivedAt)
	j, refused := f.admit(ctx, p, tr)
	if refused == nil {
		refused = f.refuseQuarantined(j)
	}
	if refused == nil {
		refused = f.refuseLate(j)
	}
	if refused != nil {
		refused.RetryAfter = f.retryAfter(p, j, *refused)
		f.metrics.requestEnded("", "not-run", refused.Reason)
		tr.Add("refuse", "status", refused.Status, "reason", refused.Reason, "retry", refused.RetryAfter)
		tr.Finish(true)
		return *refused
	}
	f.addInFlight(1)
	limited, cancel := context.WithTimeout(ctx, j.deadline.Sub(f.opts.Now()))
	defer cancel()
	defer context.AfterFunc(f.sentCtx, cancel)()
	result := f.send(limited, j, sink)
	f.releaseInputs(j)
	f.addInFlight(-1)
	if j.predicted > 0 && result.tooSlow() && ctx.Err() == nil {
		f.recordUnfinished(j)
	}
	if ctx.Err() != nil {
		result.Disconnected = true
	}
	result.RetryAfter = f.retryAfter(p, j, result)
	late := j.route.Objective > 0 && j.firstByte > j.route.Objective
	f.metrics.requestEnded(j.route.Kind, result.outcome(late), result.Reason)
	f.metrics.firstByte(j.route.Kind, j.firstByte)
	tr.Add("end", "outcome", result.outcome(late), "status", result.Status, "reason", result.Reason, "ran", j.mayHaveRun, "sends", j.attempts,
		"first", j.firstByte, "aim", j.route.Objective, "left", j.deadline.Sub(f.opts.Now()),
		"retry", result.RetryAfter, "predicted", time.Duration(j.factor*float64(j.predicted)))
	tr.Finish(result.Status != 0 || result.Truncated || result.Disconnected || late)
	return result
}

// tooSlow reports whether a request that was not run has waited in vain.
func (r Result) tooSlow() bool {
	return r.Status == http.StatusServiceUnavailable && (r.Reason == sequoialead.ReasonLate || r.Reason == sequoialead.ReasonTimeout || r.Reason == sequoialead.ReasonFull)
}

// outcome returns the name of the result for log and metrics.
func (r Result) outcome(late bool) string {
	switch {
	case r.Disconnected:
		return "caller-left"
	case r.Truncated:
		return "cut"
	case r.Status == http.StatusServiceUnavailable || r.Status == http.StatusUnauthorized:
		return "not-run"
	case r.Status != 0:
		return "failed"
	case late:
		return "late"
	}
	return "done"
}

// refuseLate refuses a request if its first event is estimated to come too late
// because of its stages. It returns nil if the request may proceed.
func (f *Forwarder) refuseLate(j *job) *Result {
	if f.opts.Admission {
		return f.refuseUnservable(j)
	}
	estimate := f.estimateStages(j)
	if estimate > 0 {
		estimate += f.opts.Now().Sub(j.request.ArrivedAt)
	}
	if estimate == 0 || j.route.Objective == 0 || float64(estimate+f.firstEventEstimate(j)) <= maxEstimateFactor*float64(j.route.Objective) {
		return nil
	}
	j.trail.Add("estimate", "stages", estimate, "aim", j.route.Objective)
	result := j.refusal(sequoialead.ReasonLate)
	return &result
}

func (f *Forwarder) addInFlight(n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.inFlight += n
}
