package pool

import (
	"time"

	"sequoialead"
)

// decay is the factor applied to the weight of older observations with each new one,
// so that about the last two hundred count.
const decay = 0.995

// minObservations is the total weight of the observations below which nothing is
// predicted.
const minObservations = 8.0

// regression is a linear least-squares fit over recent observations. Here y is the
// time to the first byte in seconds, and x the number of prompt tokens that the
// engine has to prefill before it. The fields are weighted sums.
type regression struct {
	n, x, y, xx, xy float64
}

func (l *regression) add(x, y float64) {
	l.n = l.n*decay + 1
	l.x = l.x*decay + x
	l.y = l.y*decay + y
	l.xx = l.xx*decay + x*x
	l.xy = l.xy*decay + x*y
}

// predict returns the fitted y for x. Neither the slope nor the result is negative.
func (l *regression) predict(x float64) float64 {
	mean := l.y / l.n
	denominator := l.n*l.xx - l.x*l.x
	if denominator <= 0 {
		return mean
	}
	slope := max((l.n*l.xy-l.x*l.y)/denominator, 0)
	return max(mean+slope*(x-l.x/l.n), 0)
}

// PredictFirstByte predicts the time from sending a request to the first byte
// of its answer. It reports false while there are too few observations.
func (p *Pool) PredictFirstByte(prompt sequoialead.Prompt) (time.Duration, bool) {
	if p.firstByte.n < minObservations || len(p.members) == 0 {
		return 0, false
	}
	pending := 0
	for _, m := range p.members {
		pending += m.pendingTokens
	}
	uncached := max(prompt.Input-sharedTokens(prompt), 0)
	seconds := p.firstByte.predict(float64(uncached + pending/len(p.members)))
	return time.Duration(seconds * p.Pace(p.updatedAt) * float64(time.Second)), true
}

// recordOwnPace records how long a model engine took to the first byte, at the usual pace of its
// machine, in relation to what is predicted for the pool.
func (p *Pool) recordOwnPace(place *Place, seconds float64, now time.Time) {
	if !p.opts.Limits.Outlier || p.conf.Slots == 0 || p.firstByte.n < minObservations {
		return
	}
	if predicted := p.firstByte.predict(float64(place.tokens + place.PendingTokens)); predicted > 0 {
		place.member.own.Record(seconds/predicted, now)
	}
}
