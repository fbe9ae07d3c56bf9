package forward

import (
	"net/http"
	"time"

	"sequoialead"
	"sequoialead/core/comeback"
)

const (
	// readTime is the time that a read of the configuration takes, after which a caller that
	// was refused for a stale one is served.
	readTime = 50 * time.Millisecond
	// readSpread and leavingSpread are the times over which callers come back after a read,
	// and go to other entries when this one leaves: a leaving entry refuses all at one moment.
	readSpread    = 100 * time.Millisecond
	leavingSpread = 180 * time.Millisecond
)

// retryAfter returns when the caller should come back after a result. The job is nil if the
// request was refused before its route was known.
func (f *Forwarder) retryAfter(p *sequoialead.ProxyRequest, j *job, result Result) time.Duration {
	if !f.opts.Admission || result.Status != http.StatusServiceUnavailable {
		return result.RetryAfter
	}
	now := f.opts.Now()
	left := defaultTimeout
	if j != nil {
		left = j.deadline.Sub(now)
	} else if p.CallerTimeout > 0 {
		left = p.CallerTimeout - now.Sub(p.ArrivedAt)
	}
	switch result.Reason {
	case sequoialead.ReasonStale, sequoialead.ReasonUnready:
		return f.spread(left, f.nextRead()+readTime, readSpread)
	case sequoialead.ReasonLeaving:
		return f.spread(left, leavingRetryAfter, leavingSpread)
	case sequoialead.ReasonHeld, sequoialead.ReasonQuarantine:
		return f.spread(left, result.RetryAfter, 0)
	}
	if j == nil {
		return f.spread(left, 0, heldSpread)
	}
	need := f.leastTime(j)
	drain := max(j.drain, f.excess(j))
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.comeback.Hint(comeback.Refusal{Pool: j.pool, Left: left, Need: need, Drain: drain, Returning: j.returning}, now)
}

func (f *Forwarder) spread(left, after, span time.Duration) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.comeback.Spread(left, after, span)
}

// nextRead returns the time until the next read of the configuration, as far as is known.
func (f *Forwarder) nextRead() time.Duration {
	if f.opts.NextRead == nil {
		return 0
	}
	return f.opts.NextRead()
}

// excess returns the time by which a request like this one, if it came now, would miss what it
// allows.
func (f *Forwarder) excess(j *job) time.Duration {
	path := f.path(j)
	now := f.opts.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	r := f.admissionRequest(j, path, now)
	r.Elapsed = 0
	return f.admission.Excess(r, now)
}

// leastTime returns the least time that a request like this one takes to its first event.
func (f *Forwarder) leastTime(j *job) time.Duration {
	least := time.Duration(0)
	counts := pieceCounts(j)
	for i, count := range counts {
		conf := poolAccess{f}.Conf(j.route.Stages[i].Pool)
		if count > 0 && conf != nil && conf.Pieces != nil {
			least = max(least, conf.Pieces.CallTime+conf.Pieces.ItemTime+leastTimeAfter(f, j, counts, i))
		}
	}
	return least + f.firstEventEstimate(j)
}
