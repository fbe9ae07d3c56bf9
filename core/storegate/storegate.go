// Package storegate decides when an entry may call the platform's store while the
// store fails.
//
// It answers the load pattern of an outage in a large fleet: each entry follows
// several topics, and if every follower retries on its own, the calls that the store
// refuses number entries times topics times the retry rate, and they go on while the
// store recovers. The gate lets one call through at a time for all topics of an entry,
// and fewer the more other entries can be asked for the records instead.
package storegate

import (
	"time"

	"github.com/cenkalti/backoff/v5"
)

// Options configures a gate.
type Options struct {
	// Min and Max bound the delay between two attempts of an entry that no other
	// entry reads for.
	Min, Max time.Duration
	// Limit is the longest delay of any entry.
	Limit time.Duration
}

// Gate is the state of one entry. It is not safe for concurrent use.
type Gate struct {
	opts    Options
	delays  *backoff.ExponentialBackOff
	failing bool
	// nextAt is when the next attempt is due; valid if failing is set.
	nextAt time.Time
}

// New returns an open gate.
func New(opts Options) *Gate {
	delays := backoff.NewExponentialBackOff()
	delays.InitialInterval = opts.Min
	delays.MaxInterval = opts.Max
	return &Gate{opts: opts, delays: delays}
}

// Allow reports whether a call may be made now. While the store fails, an allowed call
// postpones the next one. ahead is the number of entries that read the records before
// this one does.
func (g *Gate) Allow(now time.Time, ahead int) bool {
	if !g.failing {
		return true
	}
	if now.Before(g.nextAt) {
		return false
	}
	g.nextAt = now.Add(g.delay(ahead))
	return true
}

// Wait returns the time until the next call may be made.
func (g *Gate) Wait(now time.Time) time.Duration {
	if !g.failing {
		return 0
	}
	return max(g.nextAt.Sub(now), 0)
}

// Failed records a call that failed.
func (g *Gate) Failed(now time.Time, ahead int) {
	if !g.failing {
		g.failing = true
		g.delays.Reset()
		g.nextAt = now.Add(g.delay(ahead))
	}
}

// Succeeded records a call that succeeded. It reports whether the store failed before.
func (g *Gate) Succeeded() bool {
	recovered := g.failing
	g.failing = false
	return recovered
}

func (g *Gate) delay(ahead int) time.Duration {
	return min(g.delays.NextBackOff()*time.Duration(1+ahead), g.opts.Limit)
}
