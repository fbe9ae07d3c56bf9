package forward

import (
	"context"
	"slices"
	"time"

	"sequoialead"
	"sequoialead/core/admission"
)

const (
	// minHopelessCheck and maxHopelessCheck bound the time between two predictions for a
	// request in its stages. A request that has little time to spare is checked more often.
	minHopelessCheck = 50 * time.Millisecond
	maxHopelessCheck = 500 * time.Millisecond
)

// refuseUnservable refuses a request that is predicted to miss its objective or its deadline.
// It returns nil if the request may proceed.
func (f *Forwarder) refuseUnservable(j *job) *Result {
	if f.lacksServers(j) {
		result := j.refusal(sequoialead.ReasonNone)
		return &result
	}
	path := f.path(j)
	now := f.opts.Now()
	f.mu.Lock()
	request := f.admissionRequest(j, path, now)
	d := f.admission.Admit(request, now)
	j.factor = f.admission.Factor(request.Key, now)
	f.mu.Unlock()
	j.predictedAt, j.predicted, j.probe = now, path.Remaining(), d.Probe
	j.drain = d.Excess
	if d.Excess > 0 {
		j.trail.Add("estimate", "stages", request.Elapsed+d.Predicted, "aim", j.route.Objective, "left", request.Left, "excess", d.Excess, "probe", d.Probe)
	}
	if d.Admit {
		return nil
	}
	result := j.refusal(sequoialead.ReasonLate)
	return &result
}

// lacksServers reports whether a pool that the request needs is known to have no backend server.
func (f *Forwarder) lacksServers(j *job) bool {
	if !f.opts.Knowledge.ServersLease().Valid(f.opts.Now(), notFoundMaxAge) {
		return false
	}
	needed := []string{j.pool}
	for i, count := range pieceCounts(j) {
		if count > 0 {
			needed = append(needed, j.route.Stages[i].Pool)
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.ContainsFunc(needed, func(name string) bool {
		servers, _ := f.pool(name).Load()
		return servers == 0
	})
}

// admissionRequest returns the input for a decision on a request.
func (f *Forwarder) admissionRequest(j *job, path admission.Path, now time.Time) admission.Request {
	return admission.Request{
		Key: j.admissionKey(), Path: path, Elapsed: now.Sub(j.request.ArrivedAt), Left: j.deadline.Sub(now),
		Objective: j.route.Objective, Returning: j.returning, Entries: f.entries,
	}
}

// path returns the predicted path of a request whose stages have not started.
func (f *Forwarder) path(j *job) admission.Path {
	counts := pieceCounts(j)
	stages := make([]admission.Stage, len(counts))
	for i, count := range counts {
		stages[i].After = j.route.Stages[i].After
		if count > 0 {
			stages[i].Estimate = f.estimateStage(j, i, count)
		}
	}
	return f.pathAfter(j, stages)
}

// pathAfter returns the predicted path of a request with the given stages.
func (f *Forwarder) pathAfter(j *job, stages []admission.Stage) admission.Path {
	return admission.Path{Stages: stages, Wait: f.placeWait(j), FirstEvent: f.firstEventEstimate(j)}
}

// placeWait predicts the wait for a place: the requests before this one get theirs at the rate at
// which places became free lately, or give up.
func (f *Forwarder) placeWait(j *job) time.Duration {
	now := f.opts.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	ahead := f.waiting.Waiting(j.pool, j.urgency)
	if ahead == 0 {
		return 0
	}
	longest := time.Duration(maxWaitShare * float64(j.route.Objective))
	rate := f.comeback.Rate(j.pool, now)
	if wait := float64(ahead) / rate; wait < longest.Seconds() {
		return time.Duration(wait * float64(time.Second))
	}
	return longest
}

func (f *Forwarder) estimateStage(j *job, stage, count int) time.Duration {
	return f.delegate.Estimate(poolAccess{f}.Conf(j.route.Stages[stage].Pool), j.request.ID, j.urgency, count)
}

// refuseBy returns the time by which a request that was not sent has to be refused, so that the
// refusal reaches the caller before its deadline.
func (j *job) refuseBy() time.Time {
	return j.deadline.Add(-admission.ReplyTime(j.deadline.Sub(j.request.ArrivedAt)))
}

// lastSendAt returns the time after which it is of no use to send a request to a backend
// server for the first time.
func (f *Forwarder) lastSendAt(j *job) time.Time {
	if j.mayHaveRun || j.probe {
		return j.refuseBy()
	}
	return j.refuseBy().Add(-f.firstEventEstimate(j))
}

// unsentContext returns the context for what happens to a request before it is sent. It ends
// early enough for a refusal to reach the caller.
func (f *Forwarder) unsentContext(ctx context.Context, j *job) (context.Context, context.CancelFunc) {
	if !f.opts.Admission {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, j.refuseBy().Sub(f.opts.Now()))
}

// stageExpiry returns the time after which the pieces of a stage are useless: the stages that
// follow could not be made, and the request not answered, before the deadline.
func (f *Forwarder) stageExpiry(j *job, counts []int, stage int) time.Time {
	if !f.opts.Admission {
		return j.stagesDeadline()
	}
	return earlier(j.stagesDeadline(), f.lastSendAt(j).Add(-leastTimeAfter(f, j, counts, stage)))
}

// leastTimeAfter returns the least time from the end of a stage to the end of all stages: that
// of one call for each stage on the longest path.
func leastTimeAfter(f *Forwarder, j *job, counts []int, stage int) time.Duration {
	least := time.Duration(0)
	for k, s := range j.route.Stages {
		conf := poolAccess{f}.Conf(s.Pool)
		if counts[k] > 0 && slices.Contains(s.After, stage) && conf != nil && conf.Pieces != nil {
			least = max(least, conf.Pieces.CallTime+conf.Pieces.ItemTime+leastTimeAfter(f, j, counts, k))
		}
	}
	return least
}

// recordStart records the start of a stage and its predicted time.
func (s *stageRun) recordStart(stage int, now time.Time) {
	if !s.f.opts.Admission {
		return
	}
	estimate := s.f.estimateStage(s.j, stage, s.pieceCounts[stage])
	s.mu.Lock()
	defer s.mu.Unlock()
	s.started[stage], s.estimates[stage] = now, estimate
}

// endIfHopeless ends the stages, and withdraws their orders, once the request can no longer be
// answered before its deadline. It returns when ctx ends.
func (s *stageRun) endIfHopeless(ctx context.Context, end context.CancelFunc) {
	f, j := s.f, s.j
	for {
		path := s.path()
		now := f.opts.Now()
		f.mu.Lock()
		request := f.admissionRequest(j, path, now)
		if !path.Worked() {
			request.Left = min(request.Left, j.stagesDeadline().Sub(now)+path.FirstEvent) // what is abandoned then had better end now
		}
		predicted := f.admission.Predict(request.Key, path, now)
		hopeless := f.admission.Hopeless(request, now)
		f.mu.Unlock()
		if hopeless {
			s.hopeless.Store(true)
			j.trail.Add("hopeless", "remaining", predicted, "left", request.Left)
			end()
			return
		}
		timer := time.NewTimer(min(max((request.Left-predicted)/2, minHopelessCheck), maxHopelessCheck))
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return
		}
	}
}

// path returns the predicted rest of the request's path.
func (s *stageRun) path() admission.Path {
	stages := make([]admission.Stage, len(s.pieceCounts))
	for i, count := range s.pieceCounts {
		stages[i] = s.stage(i)
		if count > 0 && !stages[i].Started {
			stages[i].Estimate = s.f.estimateStage(s.j, i, count)
		}
	}
	return s.f.pathAfter(s.j, stages)
}

// stage returns how far a stage is. Its estimate is that at its start.
func (s *stageRun) stage(i int) admission.Stage {
	stage := admission.Stage{After: s.j.route.Stages[i].After}
	select {
	case <-s.done[i]:
		stage.Done = true
	default:
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.started[i].IsZero() {
		stage.Started, stage.Estimate, stage.Elapsed = true, s.estimates[i], s.f.opts.Now().Sub(s.started[i])
	}
	return stage
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}
