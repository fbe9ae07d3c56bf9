package agent

import (
	"context"
	"time"

	"sequoialead"
)

// tick looks after the calls until the agent closes.
func (a *Agent) tick() error {
	ticker := time.NewTicker(TickPeriod)
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
	a.pump(now)
}

func (a *Agent) wakeProbe() {
	select {
	case a.probeNow <- struct{}{}:
	default:
	}
}

// probe keeps the backend server's identity fresh.
func (a *Agent) probe() error {
	for {
		wait := a.probeOnce()
		select {
		case <-a.tomb.Dying():
			return nil
		case <-time.After(wait):
		case <-a.probeNow:
			if wait == ProbeBackoff {
				time.Sleep(ProbeBackoff)
			}
		}
	}
}

func (a *Agent) probeOnce() time.Duration {
	ctx, cancel := context.WithTimeout(a.tomb.Context(context.Background()), ProbeTimeout)
	defer cancel()
	began := time.Now()
	boot, err := a.opts.Backend.Probe(ctx)
	a.mu.Lock()
	defer a.mu.Unlock()
	if err != nil {
		a.limit.Suspect()
		return ProbeBackoff
	}
	a.confirm(began, boot)
	a.pump(time.Now())
	return ProbePeriod
}

func (a *Agent) confirm(began time.Time, boot sequoialead.Boot) {
	if a.limit.Confirm(began, boot) {
		a.stats.Restarts++
	}
}
