package forward

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"sequoialead"
	"sequoialead/core/batch"
	"sequoialead/core/plan"
)

// staging is the work on the stages of one request.
type staging struct {
	f      *Forwarder
	j      *job
	counts []int
	// results and reasons are those of each stage, once its done is closed.
	results [][]batch.Result
	reasons []sequoialead.Reason
	done    []chan struct{}
	// users counts the stages that still need each stage's results.
	users []atomic.Int32
}

// stages has the pieces of all stages made, each stage as soon as those before
// it are done, and keeps the results that the request itself needs.
func (f *Forwarder) stages(ctx context.Context, j *job) sequoialead.Reason {
	counts := wanted(j)
	if len(counts) == 0 {
		return ""
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s := &staging{
		f: f, j: j, counts: counts, users: followers(j.route.Stages, counts),
		results: make([][]batch.Result, len(counts)), reasons: make([]sequoialead.Reason, len(counts)), done: make([]chan struct{}, len(counts)),
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
	all.Wait()
	return f.keep(j, s.users, s.results, s.reasons)
}

// make has one stage made once those before it are done.
func (s *staging) make(ctx context.Context, i int) sequoialead.Reason {
	f, j := s.f, s.j
	after := j.route.Stages[i].After
	for _, a := range after {
		<-s.done[a]
		if s.reasons[a] != "" {
			return s.reasons[a]
		}
	}
	read := sync.OnceFunc(func() { s.read(after) })
	name := j.route.Stages[i].Pool
	start := f.opts.Now()
	domain, moved := f.near(j, i, s.counts[i], s.results)
	results, reason := f.delegate.Make(ctx, batch.Order{
		Pool: name, Conf: shared{f}.Conf(name), Rank: j.urgency, Pieces: piecesOf(j, i, s.counts[i], s.results), Domain: domain, Moved: moved,
		Due:   j.passage.Arrived.Add(j.route.Aim - f.after(j, s.counts, i)),
		Until: j.stagesUntil(),
		Read: func() {
			if s.scarce(after) {
				read() // a piece that fails may find its inputs gone then
			}
		},
	})
	s.results[i] = results
	took := f.opts.Now().Sub(start)
	f.counts.stage(name, took)
	j.steps.Add("stage", "stage", i, "pool", name, "pieces", s.counts[i], "reason", reason, "took", took)
	if reason == "" {
		read()
	}
	return reason
}

// read gives up the results of stages that no other stage needs any more.
func (s *staging) read(stages []int) {
	for _, i := range stages {
		if s.users[i].Add(-1) == 0 {
			s.f.delegate.Free(s.results[i])
		}
	}
}

// scarce reports whether a maker of the results of stages needs their room back.
func (s *staging) scarce(stages []int) bool {
	return slices.ContainsFunc(stages, func(i int) bool { return s.f.delegate.Scarce(s.j.route.Stages[i].Pool, s.results[i]) })
}

// near returns the failure domain where most bytes of a stage's inputs are, or
// where its results are wanted: the home of the prompt, for the last stages. With it
// go the bytes that move if the stage is made elsewhere; each piece reads all inputs.
func (f *Forwarder) near(j *job, stage, count int, results [][]batch.Result) (domain string, moved int) {
	after := j.route.Stages[stage].After
	if len(after) == 0 {
		if followed(j.route.Stages, j.passage.Pieces, stage) {
			return "", 0
		}
		f.mu.Lock()
		defer f.mu.Unlock()
		return f.pool(j.pool).Home(j.passage.Prompt), count * j.route.Stages[stage].Bytes
	}
	var inputs []batch.Result
	for _, a := range after {
		inputs = append(inputs, results[a]...)
	}
	domain, held := most(inputs)
	return domain, count * held
}

// most returns the failure domain that holds most bytes of results, and how many.
func most(results []batch.Result) (domain string, bytes int) {
	held := map[string]int{}
	for _, r := range results {
		d := r.Maker.Domain
		held[d] += r.Bytes
		if held[d] > held[domain] {
			domain = d
		}
	}
	return domain, held[domain]
}

// after returns the time from the end of a stage to the first event, behind what
// waits for the stages that follow.
func (f *Forwarder) after(j *job, counts []int, i int) time.Duration {
	most := f.firstEvent(j)
	for k, s := range j.route.Stages {
		if counts[k] > 0 && slices.Contains(s.After, i) {
			most = max(most, f.delegate.Estimate(shared{f}.Conf(s.Pool), j.passage.ID, j.urgency, counts[k])+f.after(j, counts, k))
		}
	}
	return most
}

// firstEvent is taken as the time from the end of the stages to the first event
// until enough were seen.
const firstEvent = 100 * time.Millisecond

// firstEvent predicts the time from the end of the stages to the first event.
func (f *Forwarder) firstEvent(j *job) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if took, ok := f.pool(j.pool).FirstEvent(j.passage.Prompt); ok {
		return took
	}
	return firstEvent
}

// lateFactor is the number of aims after which the stages of a request are given
// up: what is that late is worth less to callers than the places it takes.
const lateFactor = 2.5

// stagesUntil returns when the stages of a request are given up.
func (j *job) stagesUntil() time.Time {
	until := j.passage.Arrived.Add(time.Duration(lateFactor * float64(j.route.Aim)))
	if j.route.Aim > 0 && until.Before(j.until) {
		return until
	}
	return j.until
}

// estimate returns how long the stages of a request would take from now.
func (f *Forwarder) estimate(j *job) time.Duration {
	counts := wanted(j)
	ends := make([]time.Duration, len(counts))
	last := time.Duration(0)
	for i, count := range counts {
		for _, a := range j.route.Stages[i].After {
			ends[i] = max(ends[i], ends[a])
		}
		if count > 0 {
			ends[i] += f.delegate.Estimate(shared{f}.Conf(j.route.Stages[i].Pool), j.passage.ID, j.urgency, count)
		}
		last = max(last, ends[i])
	}
	return last
}

// followers counts the stages that need each stage's results.
func followers(stages []plan.Stage, counts []int) []atomic.Int32 {
	users := make([]atomic.Int32, len(counts))
	for i, s := range stages {
		for _, a := range s.After {
			if counts[i] > 0 {
				users[a].Add(1)
			}
		}
	}
	return users
}

// keep holds on to the results of the stages that no other follows. If a stage
// failed, all results that are left are given up.
func (f *Forwarder) keep(j *job, users []atomic.Int32, results [][]batch.Result, reasons []sequoialead.Reason) sequoialead.Reason {
	failed := sequoialead.Reason("")
	for _, r := range reasons {
		if r != "" && (failed == "" || failed == sequoialead.ReasonCancelled) {
			failed = r
		}
	}
	if failed == "" {
		for i, s := range results {
			if !followed(j.route.Stages, j.passage.Pieces, i) {
				j.inputs = append(j.inputs, s...)
			}
		}
		return ""
	}
	for i := range results {
		if users[i].Swap(0) > 0 || !followed(j.route.Stages, j.passage.Pieces, i) {
			f.delegate.Free(results[i])
		}
	}
	return failed
}

// wanted returns the number of pieces of each stage of the route.
func wanted(j *job) []int {
	if len(j.route.Stages) == 0 || len(j.passage.Pieces) == 0 {
		return nil
	}
	counts := make([]int, len(j.route.Stages))
	copy(counts, j.passage.Pieces)
	return counts
}

// followed reports whether a stage that is not left out needs the results.
func followed(stages []plan.Stage, counts []int, i int) bool {
	for k, s := range stages {
		if k < len(counts) && counts[k] > 0 && slices.Contains(s.After, i) {
			return true
		}
	}
	return false
}

// piecesOf returns the pieces of one stage with their inputs.
func piecesOf(j *job, stage, count int, results [][]batch.Result) []sequoialead.Piece {
	var inputs []string
	for _, a := range j.route.Stages[stage].After {
		inputs = append(inputs, handles(results[a])...)
	}
	pieces := make([]sequoialead.Piece, count)
	for n := range pieces {
		pieces[n] = sequoialead.Piece{Request: j.passage.ID, Stage: stage, Number: n, Inputs: inputs, Bytes: j.route.Stages[stage].Bytes}
		if len(j.route.Stages[stage].After) == 0 {
			pieces[n].Key = j.passage.PieceKey
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

// release gives up the results that the request needed.
func (f *Forwarder) release(j *job) {
	if len(j.inputs) > 0 {
		f.delegate.Free(j.inputs)
		j.inputs = nil
	}
}
