package pool

import (
	"math"
	"time"

	"sequoialead/core/pace"
)

const (
	// paceSmoothing averages the figure that a server reports for its machine over about the time
	// of a call, since faster changes even out within one. paceMemory is how long a figure is
	// used: other work on a machine lasts for some seconds, and with 100 entries the answers of
	// one server to one entry are often as far apart.
	// paceLevel is the time over which a machine that is always busy shows as such.
	paceSmoothing = 200 * time.Millisecond
	paceMemory    = 6 * time.Second
	paceLevel     = time.Minute
	// ownSmoothing and ownMemory apply to the times of a model engine in relation to those of
	// the pool. A slow engine gets less and is so observed less, so its state is kept for longer.
	ownSmoothing = 2 * time.Second
	ownMemory    = 15 * time.Second
	// ownTolerance is the factor up to which an engine counts as usual. Times to the first byte
	// differ by half from one request to the next; without tolerance, four times as many prompts
	// leave the engines that hold their shared parts. Slow engines take 5 to 8 times as long.
	ownTolerance = 2.0
	// penaltyHalfLife is the time in which the penalty for failures halves, so that a server that
	// has recovered is not avoided until all others are full.
	penaltyHalfLife = 10 * time.Second
)

// penaltyDecay returns the factor on the penalty for failures after a time.
func penaltyDecay(since time.Duration) float64 {
	return math.Exp2(-float64(since) / float64(penaltyHalfLife))
}

// speed returns the factor on the usual time of work at a backend server now: that of its
// machine, and for model engines also its own.
func (m *member) speed(now time.Time) float64 {
	return m.pace.At(now) * max(m.own.At(now)/ownTolerance, 1)
}

// paceDuring returns the factor of the server's machine during a request whose answer begins
// now: the mean of that at its start, if it was known, and that at its end.
func (place *Place) paceDuring(now time.Time) float64 {
	end := place.member.pace.At(now)
	if place.pace == 0 {
		return end
	}
	return (place.pace + end) / 2
}

// newPaceTrackers returns the trackers of a server's machine and of the server itself.
func newPaceTrackers() (machine, own *pace.Tracker) {
	return pace.New(pace.Options{Smoothing: paceSmoothing, Memory: paceMemory, Level: paceLevel}), pace.New(pace.Options{Smoothing: ownSmoothing, Memory: ownMemory})
}

// paceAtStart returns the factor of the server's machine now; zero if it is not known.
func (m *member) paceAtStart(now time.Time) float64 {
	if !m.pace.Known(now) {
		return 0
	}
	return m.pace.At(now)
}

// recordPace records the pace that a server reports; nothing if it is unknown.
func (p *Pool) recordPace(m *member, percent int, now time.Time) {
	if percent > 0 {
		p.sharesMachines = true
		m.pace.Record(float64(percent)/100, now)
	}
}

// Pace returns the mean factor on the usual time of work at the pool's backend servers that
// this entry chooses from; one if none reports a pace.
func (p *Pool) Pace(now time.Time) float64 {
	sum, n := 0.0, 0
	for _, m := range p.members {
		if p.isCandidate(m) {
			sum += m.pace.At(now)
			n++
		}
	}
	if n == 0 {
		return 1
	}
	return sum / float64(n)
}
