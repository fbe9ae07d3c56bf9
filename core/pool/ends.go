package pool

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"sequoialead"
)

// End is how a place was used.
type End int

// The ends of a place.
const (
	// EndDone means that the backend server answered.
	EndDone End = iota
	// EndRefused means that it refused the request without running it.
	EndRefused
	// EndUnreached means that no connection could be opened.
	EndUnreached
	// EndFailed means that it failed the request or lost its answer.
	EndFailed
	// EndAbandoned means that nobody waits for the answer any more.
	EndAbandoned
)

// String names the end.
func (e End) String() string {
	switch e {
	case EndDone:
		return "done"
	case EndRefused:
		return "refused"
	case EndUnreached:
		return "unreached"
	case EndFailed:
		return "failed"
	}
	return "abandoned"
}

// Load returns the number of backend servers and of the requests open there.
func (p *Pool) Load() (servers, open int) {
	for _, m := range p.members {
		open += m.open
	}
	return len(p.members), open
}

// First notes that the answer has begun to arrive.
func (p *Pool) First(place *Place, now time.Time) {
	if place.first {
		return
	}
	place.first = true
	m := place.member
	m.pending -= place.tokens
	took := now.Sub(place.began).Seconds()
	p.first.add(float64(place.tokens+place.Pending), took)
	if m.latency == 0 {
		m.latency = took
	}
	m.latency += newWeight * (took - m.latency)
	m.downUntil, m.pause = time.Time{}, 0
}

// Give returns a place with how it was used.
func (p *Pool) Give(place *Place, end End, load *sequoialead.Occupancy, now time.Time) {
	if place.back {
		return
	}
	place.back = true
	m := place.member
	m.open--
	if !place.first {
		m.pending -= place.tokens
	}
	if load != nil {
		p.Loaded(place, *load, now)
	}
	switch end {
	case EndDone:
		m.failing -= newWeight * m.failing
		m.downUntil, m.pause = time.Time{}, 0
	case EndFailed:
		m.failing += newWeight * (1 - m.failing)
		m.suspect(now.Add(coldTime))
	case EndUnreached:
		m.failing += newWeight * (1 - m.failing)
		m.pause = min(max(2*m.pause, pauseFirst), pauseMost)
		m.downUntil = now.Add(m.pause)
		m.suspect(now.Add(coldTime))
	case EndRefused, EndAbandoned:
	}
}

// Loaded takes what a backend server says of its load.
func (p *Pool) Loaded(place *Place, load sequoialead.Occupancy, now time.Time) {
	m := place.member
	m.load, m.loadAt, m.since = load, now, 0
}

// home returns the backend server where a prompt's shared parts belong, the
// same for all entries; zero if there is none.
func (p *Pool) home(prompt sequoialead.Prompt) uint64 {
	if p.conf.Slots == 0 || len(prompt.Parts) < 2 {
		return 0
	}
	shared := prompt.Parts[len(prompt.Parts)-2].ID
	best, bestScore := uint64(0), uint64(0)
	for _, m := range p.members {
		if score := mix(m.hash ^ shared); best == 0 || score > bestScore {
			best, bestScore = m.hash, score
		}
	}
	return best
}

// mix spreads the bits of two hashes that were joined.
func mix(x uint64) uint64 {
	var b [8]byte
	for i := range b {
		b[i] = byte(x >> (8 * i))
	}
	return xxhash.Sum64(b[:])
}
