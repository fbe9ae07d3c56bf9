package pool

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"sequoialead"
	"sequoialead/core/availability"
)

// End is the result of the request that used a place.
type End int

// The possible ends.
const (
	// EndDone means that the backend server answered.
	EndDone End = iota
	// EndRefused means that the backend server refused the request without running it.
	EndRefused
	// EndUnreachable means that no connection could be opened.
	EndUnreachable
	// EndFailed means that the request failed or its answer was lost.
	EndFailed
	// EndAbandoned means that the request was canceled, or not sent at all.
	EndAbandoned
)

// String returns the name of the end, as used in logs and metrics.
func (e End) String() string {
	switch e {
	case EndDone:
		return "done"
	case EndRefused:
		return "refused"
	case EndUnreachable:
		return "unreached"
	case EndFailed:
		return "failed"
	}
	return "abandoned"
}

// Load returns the number of backend servers and the number of this entry's requests
// in flight there.
func (p *Pool) Load() (servers, inFlight int) {
	for _, m := range p.members {
		inFlight += m.inFlight
	}
	return len(p.members), inFlight
}

// RecordFirstByte records that the answer has started to arrive. Only the first
// call for a place has an effect.
func (p *Pool) RecordFirstByte(place *Place, now time.Time) {
	if place.firstByteRecorded {
		return
	}
	place.firstByteRecorded = true
	m := place.member
	m.pendingTokens -= place.tokens
	took := now.Sub(place.start).Seconds()
	p.recordVersionFirstByte(place, now)
	p.firstByte.add(float64(place.tokens+place.PendingTokens), took)
	if m.latency == 0 {
		m.latency = took
	}
	m.latency += smoothing * (took - m.latency)
	m.state.RecordReached()
}

// Release releases a place and records how its request ended. The load is nil if the
// backend server did not report it. Only the first call for a place has an effect.
func (p *Pool) Release(place *Place, end End, load *sequoialead.ServerLoad, now time.Time) {
	if place.released {
		return
	}
	place.released = true
	m := place.member
	m.inFlight--
	if !place.firstByteRecorded {
		m.pendingTokens -= place.tokens
	}
	if load != nil {
		p.recordLoad(place, *load, now)
	}
	p.recordVersionEnd(place, end, now)
	switch end {
	case EndDone:
		m.failureRate -= smoothing * m.failureRate
		m.state.RecordReached()
	case EndFailed:
		m.failureRate += smoothing * (1 - m.failureRate)
		m.state.MarkCold(now.Add(availability.ColdPeriod))
	case EndUnreachable:
		m.failureRate += smoothing * (1 - m.failureRate)
		m.state.RecordUnreachable(now)
	case EndRefused, EndAbandoned:
	}
}

// recordLoad stores the load that a backend server reported.
func (p *Pool) recordLoad(place *Place, load sequoialead.ServerLoad, now time.Time) {
	m := place.member
	m.load, m.loadAt, m.sentSince = load, now, 0
}

// home returns the hash of the backend server that a prompt's shared parts are
// assigned to by rendezvous hashing; zero if there is none. All entries get the same
// result, so that the shared parts are cached at one server.
func (p *Pool) home(prompt sequoialead.Prompt) uint64 {
	if p.conf.Slots == 0 || len(prompt.Parts) < 2 {
		return 0
	}
	shared := prompt.Parts[len(prompt.Parts)-2].ID
	best, bestScore := uint64(0), uint64(0)
	for _, m := range p.members {
		if !p.mayServe(m) {
			continue
		}
		if score := mix(m.hash ^ shared); best == 0 || score > bestScore {
			best, bestScore = m.hash, score
		}
	}
	return best
}

// mix hashes the XOR of two hashes, so that the result is evenly distributed.
func mix(x uint64) uint64 {
	var b [8]byte
	for i := range b {
		b[i] = byte(x >> (8 * i))
	}
	return xxhash.Sum64(b[:])
}
