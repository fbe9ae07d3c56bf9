package pool

import (
	"cmp"
	"time"

	"sequoialead"
)

// Versions decides which versions of a pool's backend servers may get a request, and
// learns how the requests end. Its methods may be called with a lock held.
type Versions interface {
	// Preference returns filters of versions, the preferred one first; none if all
	// servers may get the request. Again is set if the request was tried before.
	Preference(pool string, again bool) []func(version string) bool
	// Leading returns the filter of the versions that get most of the requests; nil for
	// all.
	Leading(pool string) func(version string) bool
	// Sent records that a request is sent to a server.
	Sent(pool string, server sequoialead.Server)
	// FirstByte records the first byte of an answer. The time that it took is in relation
	// to what is usual for such a request; zero if that is unknown.
	FirstByte(pool, route string, server sequoialead.Server, took time.Duration, units int)
	// Ended records that a request has ended, with a number of failed answers, and that
	// many answers more than FirstByte has told of. Without units, it did not reach the
	// server; a failure tells then that no connection could be opened.
	Ended(pool, route string, server sequoialead.Server, units, answers, failures int)
}

const (
	// usualFirstByte is the time to the first byte, as Versions gets it, of an answer that
	// took as long as predicted. It is used in pools of model engines, where the prompts'
	// sizes make the times themselves incomparable.
	usualFirstByte = 100 * time.Millisecond
	// minPrediction bounds a prediction that would make any time long.
	minPrediction = 5 * time.Millisecond
	// minAbandonedTime is the time from which a request that was given up without an answer
	// counts as one that took that long. Callers give up shortly after their deadline, so
	// the slowest answers never come.
	minAbandonedTime = 250 * time.Millisecond
	// maxUnsentTime is the time within which a place is released if nothing was sent.
	maxUnsentTime = time.Millisecond
)

// mayServe reports whether a backend server has a version that the current request may go
// to.
func (p *Pool) mayServe(m *member) bool { return p.version == nil || p.version(m.Server.Version) }

// chooseVersion returns the backend server for a request and the hash of the prompt's home
// among the servers of its version, or no server and the reason.
func (p *Pool) chooseVersion(request Request, now time.Time) (best *member, home uint64, reason sequoialead.Reason) {
	filters := []func(string) bool{nil}
	if p.opts.Versions != nil {
		if preferred := p.opts.Versions.Preference(p.opts.Name, len(request.Exclude) > 0); len(preferred) > 0 {
			filters = preferred
		}
	}
	defer func() { p.version = nil }()
	reason = sequoialead.ReasonNone
	for _, p.version = range filters {
		if home = 0; p.placesByTime() {
			p.prepare(request, cmp.Or(request.Domain, p.opts.Domain), now)
		} else {
			home = p.home(request.Prompt)
		}
		var r sequoialead.Reason
		if best, r = p.choose(request, home, now); best != nil {
			return best, home, ""
		}
		if r != sequoialead.ReasonNone {
			reason = r
		}
	}
	return nil, 0, reason
}

func (p *Pool) recordVersionSent(place *Place) {
	if p.opts.Versions != nil {
		p.opts.Versions.Sent(p.opts.Name, place.Server)
	}
}

// recordVersionFirstByte must be called before the time is added to the predictor.
func (p *Pool) recordVersionFirstByte(place *Place, now time.Time) {
	if p.opts.Versions != nil {
		p.opts.Versions.FirstByte(p.opts.Name, place.route, place.Server, p.relativeTime(place, now.Sub(place.start)), max(place.Units, 1))
	}
}

// relativeTime returns the time to the first byte in relation to what is usual; zero if
// that is unknown.
func (p *Pool) relativeTime(place *Place, took time.Duration) time.Duration {
	usual := time.Duration(0)
	switch {
	case p.conf.Slots > 0 && p.firstByte.n < minObservations:
		return 0
	case p.conf.Slots > 0:
		usual = time.Duration(p.firstByte.predict(float64(place.tokens+place.ownPending)) * float64(time.Second))
	case p.conf.Pieces != nil:
		usual = p.conf.Pieces.CallTime + time.Duration(max(place.Units, 1))*p.conf.Pieces.ItemTime
	default:
		return max(took, 1)
	}
	return max(time.Duration(float64(took)/float64(max(usual, minPrediction))*float64(usualFirstByte)), 1)
}

func (p *Pool) recordVersionEnd(place *Place, end End, now time.Time) {
	if p.opts.Versions == nil {
		return
	}
	units, answers, failures := max(place.Units, 1), 0, 0
	switch {
	case end == EndUnreachable:
		units, failures = 0, 1
	case end == EndAbandoned && now.Sub(place.start) < maxUnsentTime:
		units = 0
	case end == EndFailed && place.firstByteRecorded:
		failures = units
	case end == EndFailed:
		answers, failures = units, units
	case end == EndDone && place.firstByteRecorded:
		failures = place.FailedUnits
	case end == EndDone:
		answers, failures = units, place.FailedUnits
	case (end == EndAbandoned || end == EndSilent) && !place.firstByteRecorded && now.Sub(place.start) >= minAbandonedTime:
		p.recordVersionFirstByte(place, now)
	}
	p.opts.Versions.Ended(p.opts.Name, place.route, place.Server, units, answers, failures)
}
