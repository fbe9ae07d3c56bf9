// Package rollout decides how much of a service's traffic goes to a new version of its
// backend servers, and whether that version is good or bad.
//
// It answers the load pattern of a roll-out against the clock in a large fleet: a hundred
// entries choose servers independently of each other, each sees a hundredth of the
// answers, and a version may be bad from the start, only after some time, only under load
// or on one route. If each entry judged by its own answers, a bad version would get many
// requests before the last one had noticed; if the version were tried with little load
// only, it would fail after the old servers are gone.
//
// The entries add up the counts that each of them reports. Shares rise late: a trial
// takes a small part of the requests that a bad version may get, then half of the traffic
// goes to the new version, then all of it. The last two steps are as long as what is left
// of these requests lasts, so that also a version that turns bad at the end stays within
// the bound. All entries follow the same rules with nearly the same numbers. One of them
// writes the result; the store accepts only one result for an order.
package rollout

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// State is the state of an order as it is written for the operator.
type State string

// The states. The last two are final.
const (
	StateNone       State = ""
	StateRunning    State = "running"
	StateCompleted  State = "completed"
	StateRolledBack State = "rolled_back"
)

// Final reports whether the state never changes.
func (s State) Final() bool { return s == StateCompleted || s == StateRolledBack }

// Step is how far the traffic has moved.
type Step uint8

// The steps.
const (
	// StepTrial sends a small part of the requests to the new version.
	StepTrial Step = iota
	// StepHalf sends half of them.
	StepHalf
	// StepAll sends all of them, and the old version nothing.
	StepAll
)

// String returns the name of the step, as used in logs.
func (s Step) String() string {
	switch s {
	case StepTrial:
		return "trial"
	case StepHalf:
		return "half"
	}
	return "all"
}

// Bounds limit what a bad version may get.
type Bounds struct {
	// Share and Slack: of all requests from the order to its deadline, a bad version gets
	// at most this share, and this number in addition.
	Share float64
	Slack float64
}

// Options configures the state of one order.
type Options struct {
	// Entry is the name of this entry.
	Entry    string
	Target   string
	Duration time.Duration
	Bounds   Bounds
	// StartedAt is a time not after the order. If StartKnown is not set, the order was
	// there before this entry started, and the others' reports tell how old it is.
	StartedAt  time.Time
	StartKnown bool
	// Phase is a random number from 0 to 1. It spreads the first requests that the entries
	// send to the new version.
	Phase float64
}

const (
	// budgetShare is the part of the requests that a bad version may get which is planned
	// for. The rest is for the requests sent until all entries have the newest counts.
	budgetShare = 0.85
	// trialShare is the part of the plan for the trial, and trialRequests the number of
	// requests that are enough for it. suspectShare and suspectRequests replace them while
	// the version may be bad, and more answers have to tell. minTrialShare and maxTrialShare
	// bound the share of the traffic in the trial, and firstShare is the share while the
	// rate of requests is unknown.
	trialShare      = 0.5
	trialRequests   = 35
	suspectShare    = 0.6
	suspectRequests = 70
	minTrialShare   = 0.01
	maxTrialShare   = 0.25
	firstShare      = 0.03
	// halfShare is the share of the traffic in StepHalf, which takes halfTime of the
	// duration, between minHalfTime and maxHalfTime.
	halfShare   = 0.5
	halfTime    = 0.08
	minHalfTime = 700 * time.Millisecond
	maxHalfTime = 2 * time.Second
	// StepAll takes what is left of the plan, between these bounds. The lower ones leave
	// time for all entries to report the step, for requests at the old servers to end and
	// for the result to be written.
	minAllTime      = 0.15
	maxAllTime      = 0.3
	shortestAllTime = 1800 * time.Millisecond
	longestAllTime  = 2500 * time.Millisecond
	// loadedTime is how long all entries have sent everything to the new version before it
	// is completed. It covers the way of the counts of bad answers to the writer.
	loadedTime = 800 * time.Millisecond
	// minAnswers is the number of answers of the new version, of all entries, before the
	// first step up, and quietRequests the number of requests of the service up to which
	// fewer are enough.
	minAnswers    = 8
	quietRequests = 40
	// minServerShare is the least number of usable target servers, as a part of the old
	// ones, for a step up. Fewer would not bear the load.
	minServerShare = 0.5
	// closeTime is the time before the deadline from which requests in flight at the old
	// servers are no longer waited for.
	closeTime = time.Second
	// closeLoadedTime is the part of closeTime for which this entry must have sent
	// everything to the new version.
	closeLoadedTime = 300 * time.Millisecond
	// stopTime is the time after which the old servers of a completed order are gone from the
	// records. Other versions may come later without an order.
	stopTime = 30 * time.Second
	// suspectTime is how long a version must have been suspect to be taken for bad.
	suspectTime = 500 * time.Millisecond
	// countDelay is the usual age of the others' counts.
	countDelay = 400 * time.Millisecond
	// reportMaxAge is the age up to which a report tells what its entry does now.
	reportMaxAge = 2 * time.Second
	// rankDelay is the time after which the next entry writes a result that is due, if the
	// one before it has not.
	rankDelay = 400 * time.Millisecond
	maxRank   = 4
	// maxCredit bounds the requests that an entry may send to the new version in a row
	// after it had no place for them.
	maxCredit = 2.0
	// transitTime is how much older an order may be than a report of its age tells when it
	// is read.
	transitTime = 800 * time.Millisecond
	// minStarts is the number of reports of an entry after which the fastest of them took
	// little more than minTransit to arrive.
	minStarts  = 5
	minTransit = 100 * time.Millisecond
)

type sample struct {
	at  time.Time
	sum *Report
}

// Received is the newest report of an entry, and when it was read.
type Received struct {
	Report *Report
	At     time.Time
}

// View is what an entry knows when it updates the state.
type View struct {
	Now time.Time
	// Reports holds the newest report of each other entry.
	Reports map[string]Received
	// Fresh is set if the reports and the status were read within the last seconds.
	Fresh bool
	// Targets and Others are the numbers of usable servers with the target version and of
	// all others.
	Targets int
	Others  int
	// OldInFlight is the number of this entry's requests in flight at the old servers.
	OldInFlight int
	// Entries is the number of entries that are known, this one included. Those that do not
	// report may still send to the old servers.
	Entries int
	// Rank is the number of entries that write the status before this one does.
	Rank int
}

// Rollout is the state of one order at one entry. It is not safe for concurrent use.
type Rollout struct {
	opts Options
	own  *Report
	// statusRead is set once the status was read, which may tell that the order has ended.
	statusRead bool
	// state is the newest state of this order that was read, and completedAt when it was read
	// that the order is completed.
	state       State
	completedAt time.Time
	// lost is set from StatusLost until a final state of the order was read again, and lostAt
	// is when it was called.
	lost   bool
	lostAt time.Time
	step   Step
	// stepAt is when the step began. halfAt and allAt are when the next ones are due.
	stepAt time.Time
	halfAt time.Time
	allAt  time.Time
	share  float64
	// credit is the number of requests that may go to the new version now.
	credit float64
	// bad is set once the new version is known to be bad, and badAt when.
	bad   bool
	badAt time.Time
	cause string
	// suspect is set while the new version may be bad, from suspectAt on.
	suspect   bool
	suspectAt time.Time
	// confirmed is set while all entries have reported that nothing is at the old servers.
	confirmed   bool
	confirmedAt time.Time
	// majority is set while most entries send everything to the new version, and visible while
	// the reports of at least half of them are recent.
	majority bool
	visible  bool
	// sum holds the numbers of all entries together, and history earlier ones.
	sum      *Report
	history  []sample
	slowFrom map[string]uint8
	// startedAt is the time of the order as far as it is known, and starts what the other
	// entries tell of it.
	startedAt time.Time
	starts    map[string]start
	updated   bool
	targets   int
	others    int
	rank      int
	fresh     bool
	now       time.Time
}

// New returns the state of an order that has just been read.
func New(opts Options) *Rollout {
	return &Rollout{
		opts: opts, own: newReport(opts.Target), sum: newReport(opts.Target), credit: opts.Phase, slowFrom: map[string]uint8{},
		stepAt: opts.StartedAt, share: firstShare, now: opts.StartedAt, startedAt: opts.StartedAt, starts: map[string]start{},
	}
}

// Target returns the target version.
func (r *Rollout) Target() string { return r.opts.Target }

// Step returns the step, and State the newest state that was read.
func (r *Rollout) Step() Step { return r.step }

// State returns the newest state of the order that was read.
func (r *Rollout) State() State { return r.state }

// Bad reports whether this entry has found the version bad, and why.
func (r *Rollout) Bad() (string, bool) { return r.cause, r.bad }

// Deadline returns when the order has to be decided.
func (r *Rollout) Deadline() time.Time { return r.startedAt.Add(r.opts.Duration) }

// Restore takes over the numbers of this entry's earlier process from its report. The
// argument wall is the time of day.
func (r *Rollout) Restore(report *Report, now, wall time.Time) {
	if report.Target != r.opts.Target {
		return
	}
	r.own.add(report)
	r.sum = r.own.clone()
	if !r.opts.StartKnown && report.StartKnown {
		age := report.Age + max(wall.Sub(time.UnixMilli(report.WrittenAt)), 0)
		r.opts.StartedAt, r.opts.StartKnown = now.Add(-age), true
		r.startedAt = r.opts.StartedAt
	}
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// StatusLost records that the store may have lost the state of the order. It is read again,
// and written again if it is missing.
func (r *Rollout) StatusLost(now time.Time) {
	r.statusRead, r.lost, r.lostAt = false, true, now
}

// Settled reports whether the order has a final state that the store holds, as far as is
// known.
func (r *Rollout) Settled() bool { return r.state.Final() && !r.lost }

// ReadStatus records that the status was read. A final state of this order binds from now
// on.
func (r *Rollout) ReadStatus(target string, state State) {
	r.statusRead = true
	if r.lost && !r.state.Final() && target != r.opts.Target {
		r.state = StateNone
	}
	if !r.state.Final() || target == r.opts.Target && state.Final() {
		r.lost = false
	}
	if target == r.opts.Target && !r.state.Final() {
		r.state = state
		if state == StateCompleted {
			r.completedAt = r.now
		}
	}
}

// StatusRead reports whether the status was read since the order.
func (r *Rollout) StatusRead() bool { return r.statusRead }

// Update determines the verdict and the step from the numbers of all entries.
func (r *Rollout) Update(view View) {
	now := view.Now
	r.now, r.targets, r.others, r.rank, r.fresh = now, view.Targets, view.Others, view.Rank, view.Fresh && r.statusRead
	r.own.OldInFlight, r.updated = view.OldInFlight, true
	if r.state.Final() {
		return
	}
	r.addUp(view)
	finding, cause := r.evaluate(now)
	if finding == findingSuspect && !r.suspect {
		r.suspectAt = now
	}
	r.suspect = finding == findingSuspect
	if finding == findingBad && !r.bad {
		r.bad, r.badAt, r.cause = true, now, cause
	}
	r.learnSlow(now)
	r.plan(now)
	r.judgeSuspect(now, cause)
	r.advance(now)
	r.sample(now)
}

// judgeSuspect takes a version for bad that is still suspect after all the requests that a
// bad one may get by the plan.
func (r *Rollout) judgeSuspect(now time.Time, cause string) {
	if !r.suspect || r.bad || r.step == StepTrial || now.Sub(r.suspectAt) < suspectTime {
		return
	}
	budget, rate := r.budget(now)
	if float64(r.sum.SentNew)+rate*r.share*countDelay.Seconds() >= budget {
		r.bad, r.badAt, r.cause = true, now, cause+" (suspect)"
	}
}

// addUp adds the numbers of the entries and notes how far the others are.
func (r *Rollout) addUp(view View) {
	sum := r.own.clone()
	drained, ahead, fresh := true, 0, 0
	for entry, received := range view.Reports {
		report := received.Report
		if report.Target != r.opts.Target {
			continue
		}
		sum.add(report)
		if report.StartKnown {
			r.learnStart(entry, received)
		}
		if view.Now.Sub(received.At) > reportMaxAge {
			continue
		}
		fresh++
		if report.Step == StepAll {
			ahead++
		}
		drained = drained && report.Step == StepAll && report.OldInFlight == 0
	}
	r.sum = sum
	r.settleStart()
	confirmed := drained && fresh+1 >= view.Entries && r.step == StepAll && r.own.OldInFlight == 0
	if confirmed && !r.confirmed {
		r.confirmedAt = view.Now
	}
	r.confirmed, r.majority = confirmed, 2*(ahead+1) > view.Entries
	r.visible = 2*(fresh+1) >= view.Entries
}

// start is what the reports of an entry tell of the time of the order.
type start struct {
	// at is the earliest time at which a report was read, less the age that it gave, and
	// count the number of reports.
	at    time.Time
	count int
	last  time.Time
}

// learnStart notes when the order was given according to a report. Each report is read
// some time after it was written, so the time may be too late by that.
func (r *Rollout) learnStart(entry string, received Received) {
	at := received.At.Add(-received.Report.Age)
	s, ok := r.starts[entry]
	switch {
	case ok && s.last.Equal(received.At):
		return
	case !ok || at.Before(s.at):
		s.at = at
	}
	s.count++
	s.last = received.At
	r.starts[entry] = s
}

// settleStart determines the time of the order. What an entry knows from its own reads is
// not after the order, so the latest of these times is the best.
func (r *Rollout) settleStart() {
	best := r.opts.StartedAt
	if !r.opts.StartKnown {
		for _, s := range r.starts {
			best = earlier(best, s.at.Add(-transitTime))
		}
	}
	for _, s := range r.starts {
		if at := s.at.Add(-minTransit); s.count >= minStarts && at.After(best) {
			best = at
		}
	}
	r.startedAt = best
}

// budget returns how many requests a bad version may get up to the deadline by the plan,
// and the rate of all requests per second.
func (r *Rollout) budget(now time.Time) (requests, rate float64) {
	all := float64(r.sum.SentOld + r.sum.SentNew)
	since := now.Sub(r.startedAt)
	if s, ok := r.sampleBefore(now.Add(-longWindow)); ok {
		since = now.Sub(r.history[0].at)
		rate = all - float64(s.SentOld+s.SentNew)
	} else {
		rate = all
	}
	rate /= max(since.Seconds(), 0.5)
	left := max(r.Deadline().Sub(now), 0).Seconds()
	return budgetShare * (r.opts.Bounds.Share*(all+rate*left) + r.opts.Bounds.Slack), rate
}

// plan determines the share of the trial, and when the next steps are due.
func (r *Rollout) plan(now time.Time) {
	budget, rate := r.budget(now)
	exposed := float64(r.sum.SentNew)
	duration := r.opts.Duration
	if r.step == StepTrial {
		half := clamp(time.Duration(halfTime*float64(duration)), minHalfTime, maxHalfTime)
		least := clamp(time.Duration(minAllTime*float64(duration)), shortestAllTime, longestAllTime)
		whole := least
		if rate > 0 {
			seconds := max(budget-exposed, 0)/rate - halfShare*half.Seconds()
			whole = clamp(seconds2duration(seconds), least, max(time.Duration(maxAllTime*float64(duration)), least))
		}
		r.allAt = r.Deadline().Add(-whole)
		r.halfAt = r.allAt.Add(-half)
	}
	switch {
	case r.step == StepAll:
		r.share = 1
	case r.step == StepHalf && exposed < budget:
		r.share = halfShare
	case r.step == StepHalf, exposed >= r.trialBudget(budget):
		r.share = 0
	default:
		r.share = r.trial(now, r.trialBudget(budget), rate)
	}
}

// trialBudget returns how many requests the trial may take, of those that the plan allows.
func (r *Rollout) trialBudget(budget float64) float64 {
	if r.suspect {
		return min(suspectShare*budget, suspectRequests)
	}
	return min(trialShare*budget, trialRequests)
}

// trial returns the share of the traffic for the new version during the trial, which may
// take a number of requests: half of the mean share in the first tenth of the time, for
// versions that fail at once.
func (r *Rollout) trial(now time.Time, requests, rate float64) float64 {
	if rate*now.Sub(r.startedAt).Seconds() < minAnswers || now.Sub(r.startedAt) < minHalfTime {
		return firstShare
	}
	length := max(r.halfAt.Sub(r.startedAt), time.Second).Seconds()
	share := requests / (rate * length)
	if now.Sub(r.startedAt) < r.opts.Duration/10 {
		share /= 2
	}
	return min(max(share, minTrialShare), maxTrialShare)
}

func clamp(d, low, high time.Duration) time.Duration { return min(max(d, low), high) }

func seconds2duration(s float64) time.Duration {
	return time.Duration(min(s, 1e6) * float64(time.Second))
}

// advance makes a step up if it is due and nothing speaks against it.
func (r *Rollout) advance(now time.Time) {
	if r.bad || r.suspect || !r.fresh || !r.visible || !r.serversReady() {
		return
	}
	switch {
	case r.step == StepTrial && !now.Before(r.halfAt) && r.tried():
		r.step, r.stepAt = StepHalf, now
	case r.step == StepHalf && !now.Before(r.allAt) && now.Sub(r.stepAt) >= minHalfTime:
		r.step, r.stepAt = StepAll, now
	default:
		return
	}
	r.plan(now)
}

// serversReady reports whether enough servers of the target are there to take the traffic.
func (r *Rollout) serversReady() bool {
	return r.targets > 0 && float64(r.targets) >= minServerShare*float64(r.others)
}

// tried reports whether the new version has answered enough requests for a step up.
func (r *Rollout) tried() bool {
	if r.sum.SentOld+r.sum.SentNew < quietRequests {
		return true // so few that a bad version stays within the slack
	}
	return r.sum.totals().New.Answers >= minAnswers
}

// Preference tells which sides may get the next request, the preferred one first. Again
// is set for a request that was tried before.
func (r *Rollout) Preference(again bool) []Side {
	switch {
	case r.state == StateRolledBack, r.bad:
		return []Side{SideOld}
	case r.state == StateCompleted && r.targets > 0 && r.now.Sub(r.completedAt) < stopTime:
		return []Side{SideNew} // the old servers stop without draining, also if the new ones are full
	case r.state == StateCompleted:
		return []Side{SideNew, SideOld}
	case !r.statusRead:
		if r.updated && r.others == 0 {
			return []Side{SideNew} // the old servers stop once the order is completed
		}
		return []Side{SideOld}
	case !r.now.Before(r.Deadline()):
		// The order is decided, but not yet known here: the servers of one side go.
		if r.step == StepAll {
			return []Side{SideNew, SideOld}
		}
		return []Side{SideOld}
	case r.step == StepAll:
		if r.targets == 0 {
			return []Side{SideOld}
		}
		return []Side{SideNew}
	case r.credit+r.share >= 1 && r.share > 0 && !again:
		return []Side{SideNew, SideOld}
	}
	return []Side{SideOld}
}

// Leading returns the side whose servers get most of the traffic.
func (r *Rollout) Leading() Side {
	if r.state == StateCompleted || !r.state.Final() && !r.bad && r.step == StepAll && r.targets > 0 {
		return SideNew
	}
	return SideOld
}

// Sent records that a request or a piece was sent.
func (r *Rollout) Sent(side Side, units int) {
	n := uint32(max(units, 1))
	r.credit = min(r.credit+r.share*float64(n), maxCredit)
	if side == SideNew {
		r.credit -= float64(n)
		r.own.SentNew += n
	} else {
		r.own.SentOld += n
	}
}

// Unsent takes back what Sent has recorded of a request that did not reach the server.
func (r *Rollout) Unsent(side Side) {
	r.credit -= r.share
	if side == SideNew {
		r.credit++
		r.own.SentNew = less(r.own.SentNew, 1)
	} else {
		r.own.SentOld = less(r.own.SentOld, 1)
	}
}

// AddUnits records that what was counted as one request consists of more pieces.
func (r *Rollout) AddUnits(side Side, units int) {
	if units <= 0 {
		return
	}
	r.credit = min(r.credit+r.share*float64(units), maxCredit)
	if side == SideNew {
		r.credit -= float64(units)
		r.own.SentNew += uint32(units)
	} else {
		r.own.SentOld += uint32(units)
	}
}

// FirstByte records the first byte of an answer, and how long it took in relation to what
// is usual for such a request; zero if that is unknown. It reports whether the answer counts
// against the new version.
func (r *Rollout) FirstByte(side Side, route, server string, took time.Duration, units int) bool {
	bucket, n := bucketOf(took), uint32(max(units, 1))
	counts := r.own.route(route)
	counts.counts(side).Answers += n
	if took <= 0 {
		return false
	}
	if side == SideOld {
		counts.Times[bucket] += n
	}
	from, ok := r.slowFrom[route]
	if !ok || bucket < from {
		return false
	}
	counts.counts(side).Slow += n
	if side == SideNew {
		r.own.SlowBy[hash(server)] += n
	}
	return side == SideNew
}

// Ended records that a request has ended, with a number of failed answers, and that many
// answers more than FirstByte has counted. There are none if the request was refused, given
// up or not sent.
func (r *Rollout) Ended(side Side, route, server string, answers, failures int) {
	if answers <= 0 && failures <= 0 {
		return
	}
	counts := r.own.route(route).counts(side)
	counts.Answers += uint32(max(answers, 0))
	counts.Failed += uint32(max(failures, 0))
	if side == SideNew && failures > 0 {
		r.own.FailedBy[hash(server)] += uint32(failures)
	}
}

func hash(id string) uint32 { return uint32(xxhash.Sum64String(id)) }

// Report returns what the other entries should know. The argument wall is the time of day.
func (r *Rollout) Report(now, wall time.Time) *Report {
	report := r.own.clone()
	report.Age, report.WrittenAt, report.Step = now.Sub(r.opts.StartedAt), wall.UnixMilli(), r.step
	report.StartKnown = r.opts.StartKnown
	return report
}

// Wanted returns the state that this entry should write now; StateNone for none.
func (r *Rollout) Wanted(now time.Time) State {
	if !r.statusRead || r.Settled() {
		return StateNone
	}
	delay := time.Duration(min(r.rank, maxRank)) * rankDelay
	if r.state.Final() {
		if now.Before(r.lostAt.Add(delay)) {
			return StateNone
		}
		return r.state
	}
	deadline := r.Deadline()
	switch {
	case r.bad:
		if !now.Before(r.badAt.Add(delay)) {
			return StateRolledBack
		}
	case r.complete(now, delay):
		return StateCompleted
	case !now.Before(deadline.Add(delay)):
		return StateRolledBack
	case r.state == StateNone && now.Sub(r.startedAt) >= delay:
		return StateRunning
	}
	return StateNone
}

// complete reports whether the order is completed: either all entries have reported that
// the old servers have nothing to do, or the deadline is close and most of the entries
// send nothing to them.
func (r *Rollout) complete(now time.Time, delay time.Duration) bool {
	if r.step != StepAll || r.suspect || !r.fresh || !r.serversReady() {
		return false
	}
	if r.confirmed && !now.Before(r.confirmedAt.Add(loadedTime+delay)) {
		return true
	}
	closing := !now.Before(r.Deadline().Add(-closeTime+delay/maxRank)) && now.Before(r.Deadline().Add(closeTime))
	return r.majority && now.Sub(r.stepAt) >= closeLoadedTime && closing
}
