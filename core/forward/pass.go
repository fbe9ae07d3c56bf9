package forward

import (
	"context"
	"net/http"

	"sequoialead"
)

// Pass serves one request. It returns once the answer was passed on completely or
// no further attempt is made.
func (f *Forwarder) Pass(ctx context.Context, p *sequoialead.ProxyRequest, sink Sink) Verdict {
	tr := f.trails.New(p.ID, p.ArrivedAt)
	j, refused := f.admit(ctx, p, tr)
	if refused == nil {
		refused = f.refuseLate(j)
	}
	if refused != nil {
		f.metrics.requestEnded("", "not-run", refused.Reason)
		tr.Add("refuse", "status", refused.Status, "reason", refused.Reason, "retry", refused.Retry)
		tr.End(true)
		return *refused
	}
	f.addOpen(1)
	limited, cancel := context.WithTimeout(ctx, j.deadline.Sub(f.opts.Now()))
	defer cancel()
	verdict := f.send(limited, j, sink)
	f.releaseInputs(j)
	f.addOpen(-1)
	if ctx.Err() != nil {
		verdict.Gone = true
	}
	late := j.route.Aim > 0 && j.firstByte > j.route.Aim
	f.metrics.requestEnded(j.route.Kind, verdict.outcome(late), verdict.Reason)
	f.metrics.firstByte(j.route.Kind, j.firstByte)
	tr.Add("end", "outcome", verdict.outcome(late), "status", verdict.Status, "reason", verdict.Reason, "ran", j.mayHaveRun, "sends", j.attempts,
		"first", j.firstByte, "aim", j.route.Aim, "left", j.deadline.Sub(f.opts.Now()))
	tr.End(verdict.Status != 0 || verdict.Cut || verdict.Gone || late)
	return verdict
}

// outcome returns the name of the verdict for log and metrics.
func (v Verdict) outcome(late bool) string {
	switch {
	case v.Gone:
		return "caller-left"
	case v.Cut:
		return "cut"
	case v.Status == http.StatusServiceUnavailable || v.Status == http.StatusUnauthorized:
		return "not-run"
	case v.Status != 0:
		return "failed"
	case late:
		return "late"
	}
	return "done"
}

// refuseLate refuses a request if its first event is estimated to come too late
// because of its stages. It returns nil if the request may proceed.
func (f *Forwarder) refuseLate(j *job) *Verdict {
	estimate := f.estimateStages(j)
	if estimate > 0 {
		estimate += f.opts.Now().Sub(j.request.ArrivedAt)
	}
	if estimate == 0 || j.route.Aim == 0 || float64(estimate+f.firstEventEstimate(j)) <= maxEstimateFactor*float64(j.route.Aim) {
		return nil
	}
	j.trail.Add("estimate", "stages", estimate, "aim", j.route.Aim)
	verdict := j.refusal(sequoialead.ReasonLate)
	return &verdict
}

func (f *Forwarder) addOpen(n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.openRequests += n
}
