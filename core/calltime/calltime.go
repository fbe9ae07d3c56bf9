// Package calltime estimates how long calls for pieces take at a group of backend servers,
// and how many pieces the group makes in that time.
//
// It answers the load pattern of an estimate that outlives its cause: calls that waited
// behind those of other entries made a pool look slow, all requests were refused as late, and
// since no call was made, the estimate did not change while the servers were idle. So calls
// that may have waited for others are not counted, and what was measured loses weight towards
// the configured values while servers are idle and no call renews it.
package calltime

import (
	"math"
	"time"

	"sequoialead/core/proxyconfig"
)

const (
	// smoothing is the weight of the newest call in moving averages.
	smoothing = 0.2
	// freshCalls is the time for which a measurement keeps its full weight, and
	// halfLifeCalls that after which it has lost half of the rest, as multiples of the
	// configured time of a full call. Both together are less than half of the shortest
	// objective of a route with three stages, so that requests which were refused once
	// because of the measurement are not refused again when they come back.
	freshCalls    = 1.0
	halfLifeCalls = 0.5
)

// Estimate holds what was measured at one group. The zero value has no measurements. It is
// not safe for concurrent use.
type Estimate struct {
	// slowdown is the moving average of the duration of a call, as a multiple of what is
	// configured for its pieces. size is that of the number of pieces in a call.
	slowdown float64
	size     float64
	called   mark
	// fullSize and busy are moving averages of the number of pieces in a call and of the
	// number of calls in flight, over the calls that left pieces in the queue. Others do
	// not show what the group can make.
	fullSize float64
	busy     float64
	loaded   mark
	// idle is the time until advancedAt in which a server had no call.
	idle       time.Duration
	advancedAt time.Time
}

// mark is the time of the last measurement, on the clock that runs while a server is idle.
type mark struct {
	set  bool
	idle time.Duration
}

// State is the state of the group at a time.
type State struct {
	Now time.Time
	// Servers is the number of backend servers of the group, and Calls that of calls in
	// flight. While each server has a call, its end will renew the measurements, and they
	// lose no weight.
	Servers int
	Calls   int
}

// Advance records the state that has held since the last call of Advance. It is to be called
// before each change of the calls in flight.
func (e *Estimate) Advance(s State) {
	if !e.advancedAt.IsZero() {
		e.idle = e.idleUntil(s)
	}
	e.advancedAt = s.Now
}

func (e *Estimate) idleUntil(s State) time.Duration {
	if e.advancedAt.IsZero() || s.Calls >= max(s.Servers, 1) {
		return e.idle
	}
	return e.idle + s.Now.Sub(e.advancedAt)
}

// Configured returns the configured duration of a call.
func Configured(conf *proxyconfig.PieceLimits, pieces float64) time.Duration {
	return conf.CallTime + time.Duration(pieces*float64(conf.ItemTime))
}

// RecordCall records a call that was answered. A call at a backend server where other entries
// may have had calls must not be recorded, since it includes the wait for them.
func (e *Estimate) RecordCall(conf *proxyconfig.PieceLimits, pieces int, took time.Duration, s State) {
	configured := Configured(conf, float64(pieces))
	if configured <= 0 {
		return
	}
	e.Advance(s)
	slowdown := e.currentSlowdown(conf, s)
	e.slowdown = slowdown + smoothing*(float64(took)/float64(configured)-slowdown)
	if !e.called.set {
		e.size = float64(pieces)
	}
	e.size += smoothing * (float64(pieces) - e.size)
	e.called = mark{set: true, idle: e.idle}
}

// RecordLoaded records that a call with a number of pieces was started while further pieces
// wait. State.Calls includes it; Advance is to be called before.
func (e *Estimate) RecordLoaded(conf *proxyconfig.PieceLimits, pieces int, s State) {
	e.Advance(s)
	weight := e.weight(conf, e.loaded, s)
	size, busy := e.underLoad(conf, s)
	alpha := max(smoothing, 1-weight)
	e.fullSize = size + alpha*(float64(pieces)-size)
	e.busy = busy + alpha*(float64(s.Calls)-busy)
	e.loaded = mark{set: true, idle: e.idle}
}

// CallTime returns the estimated duration of a call with as many pieces as recent ones.
// Without measurements it is the configured time of a call, without pieces.
func (e *Estimate) CallTime(conf *proxyconfig.PieceLimits, s State) time.Duration {
	return time.Duration(e.currentSlowdown(conf, s) * float64(Configured(conf, e.size)))
}

// PiecesPerCallTime returns the estimated number of pieces that the group makes within
// CallTime. Without measurements it is one full call at each backend server.
func (e *Estimate) PiecesPerCallTime(conf *proxyconfig.PieceLimits, s State) float64 {
	size, busy := e.underLoad(conf, s)
	return max(size, 1) * min(max(busy, 1), float64(max(s.Servers, 1)))
}

func (e *Estimate) currentSlowdown(conf *proxyconfig.PieceLimits, s State) float64 {
	return 1 + e.weight(conf, e.called, s)*(e.slowdown-1)
}

// underLoad returns the pieces in a call and the calls in flight under load.
func (e *Estimate) underLoad(conf *proxyconfig.PieceLimits, s State) (size, busy float64) {
	weight := e.weight(conf, e.loaded, s)
	batch, servers := float64(conf.MaxBatch), float64(max(s.Servers, 1))
	return batch + weight*(e.fullSize-batch), servers + weight*(e.busy-servers)
}

// weight returns the weight of measurements that were last renewed at a mark, from 0 to 1.
func (e *Estimate) weight(conf *proxyconfig.PieceLimits, renewed mark, s State) float64 {
	if !renewed.set {
		return 0
	}
	full := Configured(conf, float64(conf.MaxBatch))
	stale := e.idleUntil(s) - renewed.idle - time.Duration(freshCalls*float64(full))
	if stale <= 0 || full <= 0 {
		return 1
	}
	return math.Pow(0.5, float64(stale)/(halfLifeCalls*float64(full)))
}
