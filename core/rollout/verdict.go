package rollout

import (
	"math"
	"time"
)

// The thresholds of the verdict. A version is bad if so many failed or slow answers would
// hardly come from a version like the old one.
const (
	// floorShare is the least share of failures that the old version is taken to have. It is
	// what single faults of the network add up to.
	floorShare = 0.005
	// slowFloorShare is the same for slow answers. It is higher, because the new servers
	// start cold and with empty caches.
	slowFloorShare = 0.05
	// margin multiplies the old version's share, since the two versions' servers never have
	// quite the same load.
	margin = 1.5
	// maxChance is the probability of the counts in a sound version below which it is bad.
	// The test is made some hundred times in a roll-out.
	maxChance = 3e-4
	// suspectChance is the one below which no step up is made, for the counts of all routes.
	// suspectRouteChance replaces it for one route and for the short window: there are many
	// of them, and each would be suspect at times.
	suspectChance      = 0.02
	suspectRouteChance = 0.003
	// priorShare is the old version's share while it has no answers to tell; it counts like
	// priorAnswers of them.
	priorShare   = 0.05
	priorAnswers = 5
	// minFaults is the least number of faults of a bad version, and minSuspectFaults of one
	// that is suspect, with the worst server's replaced by the mean of the others.
	minFaults        = 4
	minSuspectFaults = 2
	// minOldTimes is the number of the old version's answers from which it is known how long
	// they take.
	minOldTimes = 10
	// slowBuckets is how much longer than the old version's median a slow answer takes, in
	// buckets: two to 2.8 times. slowBucketsLoaded replaces it in the last step, in which the
	// old version has no load to compare with.
	slowBuckets       = 3
	slowBucketsLoaded = 4
	// sampleInterval and longWindow bound the history. A version that turns bad after many
	// good answers shows in the windows, one that fails seldom in the whole.
	sampleInterval = 250 * time.Millisecond
	shortWindow    = 1500 * time.Millisecond
	longWindow     = 4 * time.Second
)

// finding is the result of the evaluation.
type finding int

const (
	findingGood finding = iota
	findingSuspect
	findingBad
)

// evaluate compares the two versions: since the order, and over the last seconds.
func (r *Rollout) evaluate(now time.Time) (finding, string) {
	worst, cause := r.compare(r.sum, "")
	for _, window := range []time.Duration{longWindow, shortWindow} {
		if s, ok := r.sampleBefore(now.Add(-window)); ok {
			if f, c := r.compare(r.sum.since(s), window.String()); f > worst {
				worst, cause = f, c
			}
		}
	}
	return worst, cause
}

// compare compares the versions by the counts of one window.
func (r *Rollout) compare(counts *Report, window string) (finding, string) {
	worst, cause := findingGood, ""
	consider := func(f finding, c string) {
		if f > worst {
			worst, cause = f, c+" "+window
		}
	}
	suspectTotal := suspectChance
	if window == shortWindow.String() {
		suspectTotal = suspectRouteChance
	}
	all := counts.totals()
	worstFailed, worstSlow := largest(counts.FailedBy), largest(counts.SlowBy)
	consider(judge(all.New.Answers, r.spread(all.New.Failed, worstFailed), r.oldShare(all.Old, "", failed), floorShare, suspectTotal), "failures")
	consider(judge(all.New.Answers, r.spread(all.New.Slow, worstSlow), r.oldShare(all.Old, "", slow), slowFloorShare, suspectTotal), "slow answers")
	for name, route := range counts.Routes {
		// The worst server's faults are not known by route; they are taken to be spread like all.
		failures := r.spread(route.New.Failed, part(worstFailed, route.New.Failed, all.New.Failed))
		consider(judge(route.New.Answers, failures, r.oldShare(route.Old, name, failed), floorShare, suspectRouteChance), "failures on route "+name)
		late := r.spread(route.New.Slow, part(worstSlow, route.New.Slow, all.New.Slow))
		consider(judge(route.New.Answers, late, r.oldShare(route.Old, name, slow), slowFloorShare, suspectRouteChance), "slow answers on route "+name)
	}
	return worst, cause
}

// spread returns how many faults there would be if the worst server were like the others,
// if it has more faults than all of them together: it may be faulty itself.
func (r *Rollout) spread(faults, worst uint32) uint32 {
	if r.targets < 2 || 2*worst <= faults {
		return faults
	}
	return less(faults, worst) * uint32(r.targets) / uint32(r.targets-1)
}

// part returns the part of n that a route has by its part of all faults, rounded up.
func part(n, faults, all uint32) uint32 {
	if all == 0 {
		return 0
	}
	return uint32((uint64(n)*uint64(faults) + uint64(all) - 1) / uint64(all))
}

func failed(c Counts) uint32 { return c.Failed }
func slow(c Counts) uint32   { return c.Slow }

// oldShare returns the old version's share of failed or slow answers: in a window or since
// the order, whichever is more. A window holds few answers, and may hold no failure by
// chance.
func (r *Rollout) oldShare(window Counts, route string, kind func(Counts) uint32) float64 {
	var whole Counts
	if route == "" {
		whole = r.sum.totals().Old
	} else if counts := r.sum.Routes[route]; counts != nil {
		whole = counts.Old
	}
	share := func(c Counts) float64 {
		return (float64(kind(c)) + priorShare*priorAnswers) / (float64(c.Answers) + priorAnswers)
	}
	if window.Answers < minOldTimes {
		return share(whole)
	}
	return max(share(window), share(whole))
}

// judge tells how likely a sound version has so many faults among its answers.
func judge(answers, faults uint32, oldShare, floor, suspectBelow float64) finding {
	if faults < minSuspectFaults {
		return findingGood
	}
	chance := tail(max(answers, faults), faults, min(margin*max(oldShare, floor), 0.9))
	switch {
	case chance < maxChance && faults >= minFaults:
		return findingBad
	case chance < suspectBelow:
		return findingSuspect
	}
	return findingGood
}

// tail returns the probability of at least k successes in n trials of probability p.
func tail(n, k uint32, p float64) float64 {
	if float64(k) <= float64(n)*p {
		return 1 // no less likely than half, which is all that matters
	}
	logP, logQ := math.Log(p), math.Log1p(-p)
	lg := func(x uint32) float64 {
		v, _ := math.Lgamma(float64(x) + 1)
		return v
	}
	sum := 0.0
	for i := k; i <= n; i++ {
		term := math.Exp(lg(n) - lg(i) - lg(n-i) + float64(i)*logP + float64(n-i)*logQ)
		sum += term
		if float64(i) > float64(n)*p && term < 1e-12 {
			break // the terms fall from here on
		}
	}
	return sum
}

// learnSlow derives from the old version's times how long a slow answer takes on each route.
func (r *Rollout) learnSlow(now time.Time) {
	buckets := uint8(slowBuckets)
	if r.step == StepAll {
		buckets = slowBucketsLoaded
	}
	var recent *Report
	if s, ok := r.sampleBefore(now.Add(-longWindow)); ok {
		recent = r.sum.since(s)
	}
	for name, route := range r.sum.Routes {
		m, ok := uint8(0), false
		if recent != nil && recent.Routes[name] != nil {
			m, ok = median(recent.Routes[name].Times)
		}
		if !ok {
			m, ok = median(route.Times)
		}
		if ok {
			r.slowFrom[name] = max(m+buckets, minSlowBucket)
		}
	}
}

// sample keeps the sum for later windows.
func (r *Rollout) sample(now time.Time) {
	if n := len(r.history); n > 0 && now.Sub(r.history[n-1].at) < sampleInterval {
		return
	}
	r.history = append(r.history, sample{at: now, sum: r.sum})
	for len(r.history) > 1 && now.Sub(r.history[1].at) > longWindow {
		r.history = r.history[1:]
	}
}

// sampleBefore returns the newest sum from before a time.
func (r *Rollout) sampleBefore(at time.Time) (*Report, bool) {
	for i := len(r.history) - 1; i >= 0; i-- {
		if !r.history[i].at.After(at) {
			return r.history[i].sum, true
		}
	}
	return nil, false
}
