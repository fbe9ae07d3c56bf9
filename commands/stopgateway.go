package commands

import (
	"net/http"
	"sync/atomic"
	"time"

	"sequoialead/common/bootclock"
	"sequoialead/core/forward"
	"sequoialead/core/services"
	"sequoialead/core/watch"
	"sequoialead/io/sibling"
	"sequoialead/io/web"
)

const (
	// balancerDelay is how long the balancer may go on sending new requests: until
	// two readiness checks, one per second, have failed, plus the time for requests
	// in flight.
	balancerDelay = 2800 * time.Millisecond
	// closeReserve is the part of the grace period that is left for closing the
	// services.
	closeReserve   = 350 * time.Millisecond
	stopPollPeriod = 50 * time.Millisecond
	// refusalReserve is the time before closeReserve in which requests that were
	// not yet sent to a backend server are refused. It leaves time to answer each
	// caller even on a slow machine.
	refusalReserve = 400 * time.Millisecond
	// answerReserve is the time before closeReserve in which requests that were sent
	// are ended, so that callers without an answer get one.
	answerReserve = 200 * time.Millisecond
)

// readiness answers the balancer's readiness checks.
type readiness struct {
	watcher *watch.Watcher
	// revoke is gatewaySettings.revoke as an integer, a number of nanoseconds. A
	// reload of the settings changes it.
	revoke  atomic.Int64
	leaving atomic.Bool
}

// ServeHTTP answers 200 if the entry can serve callers, else 503: while it is
// stopping, has no configuration yet, or has not confirmed its customers' keys for
// longer than a revoked key may be served.
func (r *readiness) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	if r.leaving.Load() || r.watcher.Config() == nil || !r.watcher.Lease().Valid(bootclock.Now(), time.Duration(r.revoke.Load())) {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// stopGateway reports that the gateway is not ready and returns once the balancer
// has noticed and all requests have ended. When the grace period is nearly over it
// refuses the requests that were not yet sent, and then ends the others.
func stopGateway(group *services.Group, grace time.Duration) error {
	ready, err := services.Find[*readiness](group, nameReadiness)
	if err != nil {
		return err
	}
	server, err := services.Find[*web.Server](group, nameWeb)
	if err != nil {
		return err
	}
	forwarder, err := services.Find[*forward.Forwarder](group, nameForward)
	if err != nil {
		return err
	}
	siblings, err := services.Find[*sibling.Siblings](group, nameSiblings)
	if err != nil {
		return err
	}
	start := time.Now()
	sendTime := grace - closeReserve - refusalReserve
	ready.leaving.Store(true)
	siblings.Drain()
	forwarder.Drain(bootclock.Now().Add(sendTime))
	server.Drain()
	for {
		time.Sleep(stopPollPeriod)
		elapsed := time.Since(start)
		idle := elapsed > balancerDelay && forwarder.InFlight() == 0
		if idle || elapsed > sendTime {
			forwarder.AbortUnsent()
		}
		if elapsed > grace-closeReserve-answerReserve {
			forwarder.AbortSent()
			server.AbortUnread() // their requests can't end otherwise
		}
		// A request that came before AbortUnsent is in flight now.
		if elapsed > grace-closeReserve || idle && forwarder.InFlight() == 0 {
			return nil
		}
	}
}
