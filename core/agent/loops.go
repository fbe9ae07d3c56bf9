package agent

import (
	"context"
	"time"

	"sequoialead"
)

// sweepLoop calls sweep periodically until the agent closes.
func (a *Agent) sweepLoop() error {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-a.tomb.Dying():
			return nil
		case <-ticker.C:
			a.sweep(time.Now())
		}
	}
}

// sweep applies configuration changes, expires calls, cancels orphaned ones and
// starts queued ones.
func (a *Agent) sweep(now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	conf, _ := a.opts.Configuration.Current()
	a.limit.Configure(limitOptions(conf, a.opts.Pool))
	a.table.Expire(now)
	for id, j := range a.jobs {
		if j.orphaned(now) {
			a.cancel(j, sequoialead.ReasonCancelled, now)
		}
		if a.table.Find(id) == nil {
			delete(a.jobs, id)
		}
	}
	a.dispatch(now)
}

func (a *Agent) requestProbe() {
	select {
	case a.probeRequests <- struct{}{}:
	default:
	}
}

// probeLoop probes the backend server for its identity, every probeInterval while
// it answers and every probeBackoff while it does not. On request it probes at
// once, but after a failed probe not before probeBackoff has passed.
func (a *Agent) probeLoop() error {
	for {
		wait := a.probeOnce()
		select {
		case <-a.tomb.Dying():
			return nil
		case <-time.After(wait):
		case <-a.probeRequests:
			if wait == probeBackoff {
				time.Sleep(probeBackoff)
			}
		}
	}
}

// probeOnce probes the backend server and returns the time until the next probe.
func (a *Agent) probeOnce() time.Duration {
	ctx, cancel := context.WithTimeout(a.tomb.Context(context.Background()), probeTimeout)
	defer cancel()
	start := time.Now()
	boot, err := a.opts.Backend.Probe(ctx)
	a.mu.Lock()
	defer a.mu.Unlock()
	if err != nil {
		a.limit.SuspectRestart()
		return probeBackoff
	}
	a.confirmBoot(start, boot)
	a.dispatch(time.Now())
	return probeInterval
}

func (a *Agent) confirmBoot(start time.Time, boot sequoialead.Boot) {
	if a.limit.Confirm(start, boot) {
		a.stats.Restarts++
	}
}
