package pool

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"

	"sequoialead"
	"sequoialead/core/availability"
	"sequoialead/core/outlier"
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
	// EndSilent means that there was no answer until the request's deadline.
	EndSilent
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
	case EndSilent:
		return "silent"
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
	if place.Reported != nil {
		p.recordPace(m, place.Reported.Pace, now)
		m.memory.RecordLoad(place.Reported.Running+place.Reported.Queued, now)
	}
	took /= place.paceDuring(now)
	p.recordOwnPace(place, took, now)
	if p.engines != nil && place.size > 0 {
		place.Took = now.Sub(place.start)
		p.recordEngineRead(place)
		p.recordEngineTime(place, now)
	}
	p.firstByte.add(float64(place.tokens+place.ownPending), took)
	if m.latency == 0 {
		m.latency = took
	}
	m.latency += smoothing * (took - m.latency)
	m.state.RecordReached()
	p.recordAnswer(place, false)
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
	if place.inMemory {
		m.memory.Remove(place.prompt)
	}
	if !place.firstByteRecorded {
		m.pendingTokens -= place.tokens
	}
	if p.engines != nil && place.size > 0 {
		if !place.firstByteRecorded {
			p.recordEngineRead(place)
		}
		p.recordEngineEnd(place, end, now)
	}
	if load != nil && !place.loadRecorded {
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
	case EndRefused, EndAbandoned, EndSilent:
	}
	p.recordEvidence(place, end, now)
}

const (
	// minSilence and silenceFactor bound from below the time without answer that counts as a
	// failure of the server: the second is a multiple of the pool's mean time to the first
	// byte. Servers that are up to eight times slower than others are not ejected.
	minSilence    = time.Second
	silenceFactor = 10
)

// recordEvidence records what the end of a request tells of the server. A failure of a server
// that has said that it is leaving or wants nothing tells nothing.
func (p *Pool) recordEvidence(place *Place, end End, now time.Time) {
	if !p.opts.Limits.Outlier {
		return
	}
	server := place.member.Server
	state := place.member.state
	failed := end == EndFailed || end == EndSilent && !place.firstByteRecorded && p.isSilence(now.Sub(place.start))
	switch {
	case state.Leaving() || now.Before(state.HeldUntil()):
	case failed:
		failure := outlier.Failure{Source: place.Source, SentAt: place.start, Silent: end == EndSilent, Begun: place.firstByteRecorded && !place.Failing}
		event, ejected := p.outliers.Failed(server, failure, place.probe, now)
		if !ejected {
			break
		}
		if p.opts.OnEjected != nil {
			p.opts.OnEjected(event)
		}
	case end == EndDone:
		p.recordAnswer(place, true)
	}
	if place.probe {
		p.outliers.EndProbe(server)
	}
}

// isSilence reports whether a time without answer is long enough to be a failure.
func (p *Pool) isSilence(took time.Duration) bool {
	sum, n := 0.0, 0
	for _, m := range p.members {
		if m.latency > 0 {
			sum += m.latency
			n++
		}
	}
	return took >= minSilence && took.Seconds() >= silenceFactor*sum/float64(max(n, 1))
}

// recordAnswer records that a server has begun or completed an answer that is no failure.
func (p *Pool) recordAnswer(place *Place, complete bool) {
	if p.opts.Limits.Outlier && !place.Failing {
		p.outliers.Answered(place.member.Server, outlier.Answer{Source: place.Source, SentAt: place.start, Complete: complete})
	}
}

// Ejected returns the number of backend servers that get nothing but probes because they
// failed what they were given.
func (p *Pool) Ejected(now time.Time) int {
	if !p.opts.Limits.Outlier {
		return 0
	}
	return p.outliers.Ejected(now)
}

// RecordLoad records the load that a backend server reported when its answer began. Without
// Options.Placement, the load is recorded by Release: when it is as old as the answer took.
func (p *Pool) RecordLoad(place *Place, load *sequoialead.ServerLoad, now time.Time) {
	if load == nil || place.size == 0 || place.released {
		return
	}
	place.loadRecorded = true
	p.recordLoad(place, *load, now)
}

// recordLoad stores the load that a backend server reported.
func (p *Pool) recordLoad(place *Place, load sequoialead.ServerLoad, now time.Time) {
	m := place.member
	m.load, m.loadAt, m.sentSince = load, now, 0
	if place.Reported != nil && place.firstByteRecorded {
		return // the load came with the answer's head, which may be long ago
	}
	p.recordPace(m, load.Pace, now)
	m.memory.RecordLoad(load.Running+load.Queued, now)
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
	binary.LittleEndian.PutUint64(b[:], x)
	return xxhash.Sum64(b[:])
}
