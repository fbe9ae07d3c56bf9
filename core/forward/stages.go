package forward

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"sequoialead"
	"sequoialead/core/batch"
	"sequoialead/core/proxyconfig"
	"sequoialead/core/stageplan"
)

// stageRun runs the stages of one request. Its slices are indexed by stage.
type stageRun struct {
	f           *Forwarder
	j           *job
	pieceCounts []int
	// results and reasons may be read for a stage once its done channel is closed.
	// The reason is empty if the stage succeeded.
	results [][]batch.Result
	reasons []sequoialead.Reason
	done    []chan struct{}
	// consumers counts the stages that still need the results of each stage.
	consumers []atomic.Int32
	plan      *stageplan.Plan

	// hopeless is set once the request can no longer be answered before its deadline.
	hopeless atomic.Bool
	mu       sync.Mutex
	// started holds the start of each stage, and estimates its predicted time then.
	started   []time.Time
	estimates []time.Duration
}

// runStages makes the pieces of all stages, each stage as soon as those that it
// follows are done, and keeps the results that the request itself needs.
func (f *Forwarder) runStages(ctx context.Context, j *job) sequoialead.Reason {
	counts := pieceCounts(j)
	if len(counts) == 0 {
		return ""
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s := &stageRun{
		f: f, j: j, pieceCounts: counts, consumers: countConsumers(j.route.Stages, counts), plan: f.planStages(j, counts),
		results: make([][]batch.Result, len(counts)), reasons: make([]sequoialead.Reason, len(counts)), done: make([]chan struct{}, len(counts)),
		started: make([]time.Time, len(counts)), estimates: make([]time.Duration, len(counts)),
	}
	for i := range s.done {
		s.done[i] = make(chan struct{})
	}
	var all sync.WaitGroup
	for i, count := range counts {
		if count == 0 {
			close(s.done[i])
			continue
		}
		all.Go(func() {
			defer close(s.done[i])
			if s.reasons[i] = s.make(ctx, i); s.reasons[i] != "" {
				cancel()
			}
		})
	}
	if f.opts.Admission && !j.probe {
		var watch sync.WaitGroup
		watch.Go(func() { s.endIfHopeless(ctx, cancel) })
		defer watch.Wait()
		defer cancel()
	}
	all.Wait()
	reason := f.collectInputs(j, s.consumers, s.results, s.reasons)
	if reason == sequoialead.ReasonCancelled && s.hopeless.Load() {
		return sequoialead.ReasonLate
	}
	return reason
}

// make makes the pieces of one stage once those that it follows are done.
func (s *stageRun) make(ctx context.Context, i int) sequoialead.Reason {
	f, j := s.f, s.j
	preceding := j.route.Stages[i].After
	for _, a := range preceding {
		<-s.done[a]
		if s.reasons[a] != "" {
			return s.reasons[a]
		}
	}
	if reason := s.awaitStart(ctx, i); reason != "" {
		return reason
	}
	dropInputs := sync.OnceFunc(func() { s.dropInputs(preceding) })
	name := j.route.Stages[i].Pool
	start := f.opts.Now()
	s.recordStart(i, start)
	domain, moved := f.preferredDomain(j, i, s.pieceCounts[i], s.results)
	order := batch.Order{
		Pool: name, Conf: poolAccess{f}.Conf(name), Urgency: j.urgency, Pieces: stagePieces(j, i, s.pieceCounts[i], s.results), Domain: domain, MovedBytes: moved,
		DueAt:     j.request.ArrivedAt.Add(j.route.Objective - f.timeAfter(j, s.pieceCounts, i)),
		ExpiresAt: f.stageExpiry(j, s.pieceCounts, i),
		OnInputsRead: func() {
			if s.roomScarce(preceding) {
				dropInputs() // frees room early, but if a piece then fails and is retried, its inputs may be gone
			}
		},
	}
	if f.opts.Balance {
		order.ExpiresAt = order.ExpiresAt.Add(-time.Duration(certainTimeAfter * float64(f.timeAfter(j, s.pieceCounts, i))))
		f.addDestination(&order, j, i, s.pieceCounts)
	}
	results, reason := f.delegate.Make(ctx, order)
	s.results[i] = results
	took := f.opts.Now().Sub(start)
	f.metrics.stageTime(name, took)
	j.trail.Add("stage", "stage", i, "pool", name, "pieces", s.pieceCounts[i], "reason", reason, "took", took)
	if reason == "" {
		dropInputs()
	}
	return reason
}

// awaitStart waits until a stage should start.
func (s *stageRun) awaitStart(ctx context.Context, i int) sequoialead.Reason {
	after, wait, ok := s.plan.Start(i)
	if !ok {
		return ""
	}
	<-s.done[after]
	if s.reasons[after] != "" {
		return s.reasons[after]
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return ""
	case <-ctx.Done():
		return sequoialead.ReasonCancelled
	}
}

// planStages returns the plan for the stages of a request, from the current backlogs.
func (f *Forwarder) planStages(j *job, counts []int) *stageplan.Plan {
	stages := make([]stageplan.Stage, len(counts))
	for i, count := range counts {
		stages[i].After = j.route.Stages[i].After
		if count > 0 {
			stages[i].Took = f.delegate.Estimate(poolAccess{f}.Conf(j.route.Stages[i].Pool), j.request.ID, j.urgency, count)
		}
	}
	return stageplan.New(stages)
}

// dropInputs records that one consumer has read the results of the given stages,
// and frees those that no other stage needs.
func (s *stageRun) dropInputs(stages []int) {
	for _, i := range stages {
		if s.consumers[i].Add(-1) == 0 {
			s.f.delegate.Free(s.results[i])
		}
	}
}

// roomScarce reports whether the backend servers that hold the results of one of the
// given stages are short of room for results.
func (s *stageRun) roomScarce(stages []int) bool {
	return slices.ContainsFunc(stages, func(i int) bool { return s.f.delegate.RoomScarce(s.j.route.Stages[i].Pool, s.results[i]) })
}

// preferredDomain returns the failure domain in which a stage should be made, and
// the number of bytes that cross domains if it is made elsewhere. For a stage with
// inputs it is the domain that holds the most bytes of them; each piece reads all inputs.
// For a stage without inputs whose results go to the request itself, it is the domain
// where the prompt's shared parts are expected to be cached. It is empty otherwise.
func (f *Forwarder) preferredDomain(j *job, stage, count int, results [][]batch.Result) (domain string, moved int) {
	preceding := j.route.Stages[stage].After
	if len(preceding) == 0 {
		if hasConsumers(j.route.Stages, j.request.Pieces, stage) {
			return "", 0
		}
		f.mu.Lock()
		defer f.mu.Unlock()
		return f.pool(j.pool).HomeDomain(j.request.Prompt), count * j.route.Stages[stage].Bytes
	}
	var inputs []batch.Result
	for _, a := range preceding {
		inputs = append(inputs, results[a]...)
	}
	domain, held := largestHolder(inputs)
	return domain, count * held
}

// addDestination adds to a stage's order where its results will be needed: by the stages that
// follow, or by the request itself.
func (f *Forwarder) addDestination(order *batch.Order, j *job, stage int, counts []int) {
	bytes := counts[stage] * j.route.Stages[stage].Bytes
	for k, s := range j.route.Stages {
		if counts[k] > 0 && slices.Contains(s.After, stage) {
			order.Following = append(order.Following, batch.Following{Conf: poolAccess{f}.Conf(s.Pool), Pieces: counts[k], MovedBytes: counts[k] * bytes})
		}
	}
	if len(order.Following) == 0 && len(j.route.Stages[stage].After) > 0 {
		f.mu.Lock()
		defer f.mu.Unlock()
		order.ResultDomain, order.ResultBytes = f.pool(j.pool).HomeDomain(j.request.Prompt), bytes
	}
}

// largestHolder returns the failure domain that holds the most bytes of the results,
// and the number of these bytes.
func largestHolder(results []batch.Result) (domain string, bytes int) {
	held := map[string]int{}
	for _, r := range results {
		d := r.Server.Domain
		held[d] += r.Bytes
		if held[d] > held[domain] {
			domain = d
		}
	}
	return domain, held[domain]
}

// timeAfter estimates the time from the end of a stage to the request's first
// event, including the queues of the stages that follow.
func (f *Forwarder) timeAfter(j *job, counts []int, i int) time.Duration {
	longest := f.firstEventEstimate(j)
	for k, s := range j.route.Stages {
		if counts[k] > 0 && slices.Contains(s.After, i) {
			longest = max(longest, f.delegate.Estimate(poolAccess{f}.Conf(s.Pool), j.request.ID, j.urgency, counts[k])+f.timeAfter(j, counts, k))
		}
	}
	return longest
}

// defaultFirstEvent is the estimated time from the end of the stages to the first
// event until enough observations allow a prediction.
const defaultFirstEvent = 100 * time.Millisecond

// firstEventEstimate predicts the time from the end of the stages to the first event.
func (f *Forwarder) firstEventEstimate(j *job) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if took, ok := f.pool(j.pool).PredictFirstByte(j.request.Prompt); ok {
		return took
	}
	return defaultFirstEvent
}

// abandonFactor is the time after a request's arrival at which its stages are
// abandoned, as a multiple of the route's objective. An answer that late is worth
// less to its caller than the places are to other requests.
const abandonFactor = 2.5

// certainTimeAfter is the part of the predicted time after a stage that is certainly needed.
// Predictions err by up to half of it.
const certainTimeAfter = 0.5

// stagesDeadline returns when the stages of a request are abandoned.
func (j *job) stagesDeadline() time.Time {
	until := j.request.ArrivedAt.Add(time.Duration(abandonFactor * float64(j.route.Objective)))
	if j.route.Objective > 0 && until.Before(j.deadline) {
		return until
	}
	return j.deadline
}

// estimateStages returns how long the stages of a request would take from now.
func (f *Forwarder) estimateStages(j *job) time.Duration {
	counts := pieceCounts(j)
	endTimes := make([]time.Duration, len(counts))
	last := time.Duration(0)
	for i, count := range counts {
		for _, a := range j.route.Stages[i].After {
			endTimes[i] = max(endTimes[i], endTimes[a])
		}
		if count > 0 {
			endTimes[i] += f.delegate.Estimate(poolAccess{f}.Conf(j.route.Stages[i].Pool), j.request.ID, j.urgency, count)
		}
		last = max(last, endTimes[i])
	}
	return last
}

// countConsumers returns, for each stage, the number of stages that need its results.
func countConsumers(stages []proxyconfig.Stage, counts []int) []atomic.Int32 {
	consumers := make([]atomic.Int32, len(counts))
	for i, s := range stages {
		for _, a := range s.After {
			if counts[i] > 0 {
				consumers[a].Add(1)
			}
		}
	}
	return consumers
}

// collectInputs keeps the results of the stages that no other stage follows as the
// request's inputs. If a stage failed, it frees all remaining results instead and
// returns the reason. If several stages failed, reasons other than ReasonCancelled
// take precedence.
func (f *Forwarder) collectInputs(j *job, consumers []atomic.Int32, results [][]batch.Result, reasons []sequoialead.Reason) sequoialead.Reason {
	failed := sequoialead.Reason("")
	for _, r := range reasons {
		if r != "" && (failed == "" || failed == sequoialead.ReasonCancelled) {
			failed = r
		}
	}
	if failed == "" {
		for i, s := range results {
			if !hasConsumers(j.route.Stages, j.request.Pieces, i) {
				j.inputs = append(j.inputs, s...)
			}
		}
		return ""
	}
	for i := range results {
		if consumers[i].Swap(0) > 0 || !hasConsumers(j.route.Stages, j.request.Pieces, i) {
			f.delegate.Free(results[i])
		}
	}
	return failed
}

// pieceCounts returns the number of pieces of each stage of the route; nil if the
// request needs no stages.
func pieceCounts(j *job) []int {
	if len(j.route.Stages) == 0 || len(j.request.Pieces) == 0 {
		return nil
	}
	counts := make([]int, len(j.route.Stages))
	copy(counts, j.request.Pieces)
	return counts
}

// hasConsumers reports whether a stage that has pieces needs the results of stage i.
func hasConsumers(stages []proxyconfig.Stage, counts []int, i int) bool {
	for k, s := range stages {
		if k < len(counts) && counts[k] > 0 && slices.Contains(s.After, i) {
			return true
		}
	}
	return false
}

// stagePieces returns the pieces of one stage with the handles of their inputs.
func stagePieces(j *job, stage, count int, results [][]batch.Result) []sequoialead.Piece {
	var inputs []string
	for _, a := range j.route.Stages[stage].After {
		inputs = append(inputs, handles(results[a])...)
	}
	pieces := make([]sequoialead.Piece, count)
	for n := range pieces {
		pieces[n] = sequoialead.Piece{Request: j.request.ID, Stage: stage, Number: n, Inputs: inputs, Bytes: j.route.Stages[stage].Bytes}
		if len(j.route.Stages[stage].After) == 0 {
			pieces[n].Key = j.request.PieceKey
		}
	}
	return pieces
}

func handles(results []batch.Result) []string {
	names := make([]string, len(results))
	for i, r := range results {
		names[i] = r.Handle
	}
	return names
}

// releaseInputs frees the stage results that the request needed.
func (f *Forwarder) releaseInputs(j *job) {
	if len(j.inputs) > 0 {
		f.delegate.Free(j.inputs)
		j.inputs = nil
	}
}
