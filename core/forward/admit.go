package forward

import (
	"context"
	"net/http"
	"time"

	"sequoialead"
	"sequoialead/common/requestlog"
	"sequoialead/core/admission"
	"sequoialead/core/batch"
	"sequoialead/core/comeback"
	"sequoialead/core/proxyconfig"
)

// job is the state of one request in flight. Only the goroutine of Serve changes it;
// those that run stages read it.
type job struct {
	request  *sequoialead.ProxyRequest
	trail    *requestlog.Trail
	route    *proxyconfig.Route
	pool     string
	customer *proxyconfig.Customer
	// urgency is from 0, the most urgent, to 9 (maxUrgency).
	urgency int
	// deadline is when the caller must have the complete answer.
	deadline time.Time
	// inputs are the stage results that the request itself needs.
	inputs []batch.Result
	// mayHaveRun is set once a backend server may have started to run the request.
	mayHaveRun bool
	// attempts counts the backend servers that the request was sent to. tried
	// holds their IDs, and those of servers that could not be reached.
	attempts int
	tried    map[string]bool
	// readyAt is when a backend server wants requests again, if the request is refused
	// because none does now.
	readyAt time.Time
	// returning is set if the caller was refused before.
	returning bool
	// probe is set if the request was admitted only to renew the estimates, so that they
	// must not end it.
	probe bool
	// predictedAt is when the time to the first event was predicted, and predicted is that
	// time before its correction; zero if it was not predicted.
	predictedAt time.Time
	predicted   time.Duration
	// factor is the correction of the prediction.
	factor float64
	// drain is the time by which the prediction exceeded what the request allows.
	drain time.Duration
	// firstByte is the time from the request's arrival to the first byte of an answer.
	firstByte time.Duration
	// headSent is set once the head of an answer was sent to the caller.
	headSent bool
	// lastEventID is the ID of the last event that was sent to the caller.
	lastEventID string
}

const (
	// maxUrgency is the highest value of urgency, for the least urgent requests.
	maxUrgency = 9
	// defaultTimeout applies if neither the caller nor the route sets a timeout.
	defaultTimeout = 5 * time.Minute
	// retryAfterShare is the part of a request's total time that a refused caller is
	// told to wait before it retries. Callers honor hints of up to a third of that
	// time.
	retryAfterShare = 0.15
	// leavingRetryAfter is the hint to callers of an entry that is leaving; they
	// can retry at another entry.
	leavingRetryAfter = 20 * time.Millisecond
	// heldSpread is the time over which callers are told to return after a backend server
	// wants requests again.
	heldSpread = time.Second
	// maxRetryAfter is the upper bound of the hint.
	maxRetryAfter = 2 * time.Second
	// leaseTimeout is how long a request waits for a read of the store to renew an
	// expired lease, for example after the process was suspended.
	leaseTimeout      = 150 * time.Millisecond
	leasePollInterval = 10 * time.Millisecond
)

// admit determines the route, customer and deadline of a request, or returns the
// result with which the request is refused.
func (f *Forwarder) admit(ctx context.Context, p *sequoialead.ProxyRequest, tr *requestlog.Trail) (*job, *Result) {
	conf := f.opts.Knowledge.Config()
	if conf == nil {
		return nil, &Result{Status: http.StatusServiceUnavailable, Reason: sequoialead.ReasonUnready}
	}
	stale := &Result{Status: http.StatusServiceUnavailable, Reason: sequoialead.ReasonStale}
	route := conf.Match(p.Host, p.Target)
	if route == nil {
		if !f.opts.Knowledge.Lease().Valid(p.ArrivedAt, notFoundMaxAge) {
			return nil, stale
		}
		return nil, &Result{Status: http.StatusNotFound, Reason: sequoialead.ReasonRoute}
	}
	j := &job{request: p, trail: tr, route: route, pool: route.Pool(p.ID), urgency: route.Priority, deadline: deadline(p, route), tried: map[string]bool{}}
	if f.leavingTooSoon(j.deadline) {
		return nil, &Result{Status: http.StatusServiceUnavailable, Reason: sequoialead.ReasonLeaving, RetryAfter: leavingRetryAfter}
	}
	if conf.RequiresKey() && !route.Public {
		if !f.keysCurrent(ctx, p) {
			return nil, stale
		}
		j.customer = f.opts.Knowledge.Config().Customers[p.Key]
		if j.customer == nil {
			if !f.opts.Knowledge.Lease().Valid(p.ArrivedAt, notFoundMaxAge) {
				return nil, stale
			}
			return nil, &Result{Status: http.StatusUnauthorized, Reason: sequoialead.ReasonKey}
		}
		if j.customer.Priority >= 0 {
			j.urgency = j.customer.Priority
		}
	}
	j.urgency = min(max(j.urgency, 0), maxUrgency)
	j.returning = f.opts.Admission && comeback.Returning(p.CallerTimeout, route.Timeout)
	age, _ := f.opts.Knowledge.Lease().Age(p.ArrivedAt)
	tr.Add("arrive", "route", route.Name, "pool", j.pool, "customer", j.customerName(), "urgency", j.urgency, "version", conf.Version,
		"version-age", age, "wait", j.deadline.Sub(p.ArrivedAt), "pieces", p.Pieces, "returning", j.returning)
	return j, nil
}

// deadline returns when the caller must have the complete answer to a request.
func deadline(p *sequoialead.ProxyRequest, route *proxyconfig.Route) time.Time {
	wait := defaultTimeout
	if p.CallerTimeout > 0 {
		wait = p.CallerTimeout
	}
	if route.Timeout > 0 {
		wait = min(wait, route.Timeout)
	}
	return p.ArrivedAt.Add(wait)
}

// customerName returns the customer's name; empty if there is no customer.
func (j *job) customerName() string {
	if j.customer == nil {
		return ""
	}
	return j.customer.Name
}

// keysCurrent reports whether the known keys are recent enough to authorize a
// request. It waits a short time for the lease to be renewed. The lease is checked
// at the time of the request's arrival. If it is valid then, all revocations older
// than the limit are known, because the newest read has seen those before its start.
// The arrival is late enough, since the request was sent before it.
func (f *Forwarder) keysCurrent(ctx context.Context, p *sequoialead.ProxyRequest) bool {
	timeout := leaseTimeout
	if f.opts.Admission && p.CallerTimeout > 0 {
		timeout = min(timeout, p.CallerTimeout-admission.ReplyTime(p.CallerTimeout))
	}
	for elapsed := time.Duration(0); ; elapsed += leasePollInterval {
		if f.opts.Knowledge.Lease().Valid(p.ArrivedAt, f.revokeLimit()-revokeMargin) {
			return true
		}
		if elapsed >= timeout {
			return false
		}
		select {
		case <-time.After(leasePollInterval):
		case <-ctx.Done():
			return false
		}
	}
}

// refreshCustomer looks up the request's key again and reports whether the configuration in
// force still admits the request: the key may have been revoked or given to another customer,
// or keys may be required since.
func (f *Forwarder) refreshCustomer(j *job) bool {
	conf := f.opts.Knowledge.Config()
	if j.route.Public || j.customer == nil && !conf.RequiresKey() {
		return true
	}
	j.customer = conf.Customers[j.request.Key]
	return j.customer != nil
}

// refusal returns the result for a request that no backend server has answered.
// It states that the request was not run only if that is certain.
func (j *job) refusal(reason sequoialead.Reason) Result {
	if j.headSent {
		return Result{Reason: reason, Truncated: true}
	}
	if j.mayHaveRun {
		return Result{Status: http.StatusBadGateway, Reason: reason}
	}
	left := j.deadline.Sub(j.request.ArrivedAt)
	return Result{
		Status: http.StatusServiceUnavailable, Reason: reason,
		RetryAfter: min(time.Duration(retryAfterShare*float64(left)), maxRetryAfter),
	}
}

// refuseHeld returns the result for a request that is refused because no backend server
// wants requests now. The hints spread the callers over some time after the first one does.
func (f *Forwarder) refuseHeld(j *job) Result {
	result := j.refusal(sequoialead.ReasonHeld)
	if result.Status != http.StatusServiceUnavailable || j.readyAt.IsZero() {
		return result
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	result.RetryAfter = j.readyAt.Sub(f.opts.Now()) + time.Duration(f.opts.Random.Int64N(int64(heldSpread)))
	return result
}

// interruptedResult returns the result for a request whose context has ended: by its
// deadline, or because the process exits.
func (f *Forwarder) interruptedResult(j *job) Result {
	switch {
	case f.sentCtx.Err() != nil:
		return j.refusal(sequoialead.ReasonLeaving)
	case j.headSent:
		return Result{Reason: sequoialead.ReasonTimeout, Truncated: true}
	case j.mayHaveRun:
		return Result{Status: http.StatusGatewayTimeout, Reason: sequoialead.ReasonTimeout}
	}
	return Result{Status: http.StatusServiceUnavailable, Reason: sequoialead.ReasonTimeout}
}
