package commands

import (
	"net/http"
	"sync/atomic"
	"time"

	"sequoialead/common/bootclock"
	"sequoialead/core/forward"
	"sequoialead/core/kernel"
	"sequoialead/core/watch"
	"sequoialead/io/sibling"
	"sequoialead/io/web"
)

const (
	// stopNotice is how long the balancer takes to send nothing new: two checks,
	// one a second, and what is on its way.
	stopNotice = 2800 * time.Millisecond
	// stopReserve is what is left of the grace for closing.
	stopReserve = 350 * time.Millisecond
	stopPeriod  = 50 * time.Millisecond
	// stopAnswer is the time before that in which requests that were not sent yet
	// are refused: a message to each caller, also from a slow machine.
	stopAnswer = 400 * time.Millisecond
)

// readiness answers the balancer.
type readiness struct {
	watcher *watch.Watcher
	// revoke is a time.Duration.
	revoke  atomic.Int64
	leaving atomic.Bool
}

// ServeHTTP answers 200 if the entry can serve callers.
func (r *readiness) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	if r.leaving.Load() || r.watcher.Plan() == nil || !r.watcher.Lease().Holds(bootclock.Now(), time.Duration(r.revoke.Load())) {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// stopGateway lets the balancer notice that the entry leaves, and requests end.
func stopGateway(k *kernel.Kernel, grace time.Duration) error {
	ready, err := kernel.Find[*readiness](k, nameReadiness)
	if err != nil {
		return err
	}
	front, err := kernel.Find[*web.Server](k, nameWeb)
	if err != nil {
		return err
	}
	forwarder, err := kernel.Find[*forward.Forwarder](k, nameForward)
	if err != nil {
		return err
	}
	siblings, err := kernel.Find[*sibling.Siblings](k, nameSiblings)
	if err != nil {
		return err
	}
	ready.leaving.Store(true)
	siblings.Leave()
	forwarder.Leave()
	front.Leave()
	began := time.Now()
	for {
		time.Sleep(stopPeriod)
		passed := time.Since(began)
		if passed > grace-stopReserve-stopAnswer {
			forwarder.GiveUp()
		}
		if passed > grace-stopReserve || passed > stopNotice && forwarder.Open() == 0 {
			return nil
		}
	}
}
