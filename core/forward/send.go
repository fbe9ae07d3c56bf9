package forward

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/joomcode/errorx"

	"sequoialead"
	"sequoialead/core/events"
	"sequoialead/core/plan"
	"sequoialead/core/pool"
)

const (
	// wholeBytes is the size up to which an answer is read whole before the
	// caller gets its head, so that a broken one can still be replaced.
	wholeBytes = 256 << 10
	// copyBytes is the size of one read of an answer.
	copyBytes = 16 << 10
	// leastLeft is the time below which sending is of no use.
	leastLeft = 5 * time.Millisecond
)

// next tells what follows one send.
type next int

const (
	// nextDone: the caller has the whole answer.
	nextDone next = iota
	// nextAgain: another backend server may be asked.
	nextAgain
	// nextFail: the caller is told of the failure.
	nextFail
)

// mostTries bounds how often a request is offered to backend servers that
// cannot be reached or do not take it.
const mostTries = 4

// send sends a request until it is answered or nothing more may be tried.
func (f *Forwarder) send(ctx context.Context, j *job, sink Sink) Verdict {
	before, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(f.ending, cancel)()
	for tries := 1; ; tries++ {
		if j.inputs == nil {
			reason := f.stages(before, j)
			if reason == sequoialead.ReasonGone && before.Err() == nil && f.hopeless(j) == nil {
				reason = f.stages(before, j) // inputs are given up once they were read, also if the call fails then
			}
			if reason != "" && before.Err() == nil {
				return j.refuse(reason)
			}
		}
		place, reason := f.place(before, j)
		if before.Err() != nil {
			if place != nil {
				f.give(j, place, pool.EndAbandoned, nil)
			}
			if ctx.Err() == nil {
				return j.refuse(sequoialead.ReasonLeaving)
			}
			return f.ended(j)
		}
		if place == nil {
			return j.refuse(reason)
		}
		if !f.allowed(j) {
			f.give(j, place, pool.EndAbandoned, nil)
			if j.ran || j.begun {
				return j.refuse(sequoialead.ReasonKey)
			}
			return Verdict{Status: http.StatusUnauthorized, Reason: sequoialead.ReasonKey}
		}
		if !f.repeat(j) {
			f.give(j, place, pool.EndAbandoned, nil)
			return j.refuse(sequoialead.ReasonRetries)
		}
		what, reason := f.attempt(ctx, j, place, sink)
		switch {
		case what == nextDone:
			return Verdict{}
		case ctx.Err() != nil:
			return f.ended(j)
		case what == nextFail, j.sends >= j.route.Attempts, tries >= mostTries:
			return j.refuse(reason)
		}
	}
}

// attempt sends a request to one backend server.
func (f *Forwarder) attempt(ctx context.Context, j *job, place *pool.Place, sink Sink) (next, sequoialead.Reason) {
	left := j.until.Sub(f.opts.Now())
	if left < leastLeft {
		f.give(j, place, pool.EndAbandoned, nil)
		return nextFail, sequoialead.ReasonTimeout
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	j.sends++
	j.steps.Add("send", "try", j.sends, "server", place.Server.ID, "domain", place.Server.Domain, "left", left, "after", j.after,
		"inputs", len(j.inputs), "pending", place.Pending, "home", place.Home)
	j.tried[place.Server.ID] = true
	reception, err := f.opts.Exchanger.Exchange(ctx, sequoialead.Send{
		Passage: j.passage, Server: place.Server, Left: left, Customer: j.name(), Urgency: j.urgency,
		Inputs: handles(j.inputs), After: j.after, Fresh: !j.route.Repeatable(),
	})
	if err != nil {
		return f.lost(ctx, j, place, err)
	}
	defer func() { _ = reception.Body.Close() }() // a whole body is closed already
	if reception.NotRun || reception.Elsewhere {
		return nextAgain, f.refused(j, place, reception)
	}
	j.ran = true
	end, what, reason := f.receive(ctx, j, place, reception, sink)
	f.give(j, place, end, reception.Occupancy)
	return what, reason
}

// refused decides after a backend server stated that it did not run a request.
func (f *Forwarder) refused(j *job, place *pool.Place, r *sequoialead.Reception) sequoialead.Reason {
	_, _ = io.Copy(io.Discard, r.Body) // keeps the connection usable
	f.give(j, place, pool.EndRefused, r.Occupancy)
	j.steps.Add("send-refused", "server", place.Server.ID, "status", r.Status, "load", r.Occupancy)
	if r.Status == http.StatusConflict {
		f.release(j) // an input is gone, so the stages are made again
		return sequoialead.ReasonGone
	}
	return sequoialead.ReasonFull
}

// lost decides after a send without an answer.
func (f *Forwarder) lost(ctx context.Context, j *job, place *pool.Place, err error) (next, sequoialead.Reason) {
	unsent := errorx.IsOfType(err, sequoialead.ErrUnsent)
	if !unsent {
		j.ran = true
	}
	if ctx.Err() != nil {
		f.give(j, place, pool.EndAbandoned, nil)
		return nextFail, sequoialead.ReasonCancelled
	}
	j.steps.Add("send-lost", "server", place.Server.ID, "unsent", unsent, "try", j.sends, "err", err)
	if unsent {
		j.sends-- // nothing arrived there
		f.give(j, place, pool.EndUnreached, nil)
		return nextAgain, sequoialead.ReasonBackend
	}
	f.give(j, place, pool.EndFailed, nil)
	if j.route.Repeatable() {
		return nextAgain, sequoialead.ReasonBackend
	}
	return nextFail, sequoialead.ReasonBackend
}

// receive passes an answer on.
func (f *Forwarder) receive(ctx context.Context, j *job, place *pool.Place, r *sequoialead.Reception, sink Sink) (pool.End, next, sequoialead.Reason) {
	success := r.Status >= http.StatusOK && r.Status < http.StatusMultipleChoices
	again := nextFail
	if j.route.Repeatable() {
		again = nextAgain
	}
	if success && (!r.Genuine || r.Header.Get("Content-Encoding") != "") || j.begun && !success {
		j.steps.Add("answer-odd", "server", place.Server.ID, "status", r.Status, "genuine", r.Genuine)
		return pool.EndFailed, again, sequoialead.ReasonBackend
	}
	if success && j.route.Kind == plan.KindStream {
		return f.stream(ctx, j, place, r, sink)
	}
	if r.Status >= http.StatusInternalServerError && again == nextAgain && j.sends < j.route.Attempts {
		_, _ = io.Copy(io.Discard, r.Body) // keeps the connection usable
		j.steps.Add("answer-failed", "server", place.Server.ID, "status", r.Status)
		return pool.EndFailed, nextAgain, sequoialead.ReasonBackend
	}
	end := pool.EndDone
	if r.Status >= http.StatusInternalServerError {
		end = pool.EndFailed
	}
	whole, err := io.ReadAll(io.LimitReader(r.Body, wholeBytes))
	if err != nil {
		j.steps.Add("answer-cut", "server", place.Server.ID, "bytes", len(whole), "err", err)
		return pool.EndFailed, again, sequoialead.ReasonBackend
	}
	f.began(j, place)
	j.begun = true
	if len(whole) < wholeBytes {
		sink.Head(r.Status, r.Header, int64(len(whole)))
		if err := sink.Write(whole); err != nil {
			return pool.EndAbandoned, nextFail, sequoialead.ReasonCancelled
		}
		return end, nextDone, ""
	}
	sink.Head(r.Status, r.Header, r.Length)
	if err := sink.Write(whole); err != nil {
		return pool.EndAbandoned, nextFail, sequoialead.ReasonCancelled
	}
	if err := copyRest(r, sink); err != nil {
		j.steps.Add("answer-cut", "server", place.Server.ID, "err", err)
		return pool.EndFailed, nextFail, sequoialead.ReasonBackend
	}
	return end, nextDone, ""
}

// copyRest passes on what follows the start of a large answer.
func copyRest(r *sequoialead.Reception, sink Sink) error {
	buf := make([]byte, copyBytes)
	for {
		n, err := r.Body.Read(buf)
		if n > 0 {
			if err := sink.Write(buf[:n]); err != nil {
				return err
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// began notes the first byte of an answer.
func (f *Forwarder) began(j *job, place *pool.Place) {
	now := f.opts.Now()
	if j.first == 0 {
		j.first = now.Sub(j.passage.Arrived)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.pool(j.pool).First(place, now)
}

// begin gives the caller the head of a stream, once.
func (j *job) begin(r *sequoialead.Reception, sink Sink) {
	if !j.begun {
		sink.Head(r.Status, r.Header, -1)
		j.begun = true
	}
}

// stream passes events on as they arrive. A stream that may be resumed is
// passed on by whole events, so that another backend server can go on.
func (f *Forwarder) stream(ctx context.Context, j *job, place *pool.Place, r *sequoialead.Reception, sink Sink) (pool.End, next, sequoialead.Reason) {
	splitter := events.New()
	buf := make([]byte, copyBytes)
	var last time.Time
	longest := time.Duration(0)
	defer func() { f.counts.gap(longest) }()
	for {
		n, err := r.Body.Read(buf)
		now := f.opts.Now()
		if !last.IsZero() {
			longest = max(longest, now.Sub(last))
		}
		last = now
		out := buf[:n]
		if j.route.Resumable {
			out = splitter.Take(out)
			if last := splitter.Last(); last != "" {
				j.after = last
			}
		}
		if len(out) > 0 {
			f.began(j, place)
			f.release(j)
			j.begin(r, sink)
			if sink.Write(out) != nil || r.Body.Buffered() == 0 && sink.Flush() != nil {
				return pool.EndAbandoned, nextFail, sequoialead.ReasonCancelled
			}
		}
		switch {
		case errors.Is(err, io.EOF):
			j.begin(r, sink)
			if rest := splitter.Rest(); len(rest) > 0 && sink.Write(rest) != nil {
				return pool.EndAbandoned, nextFail, sequoialead.ReasonCancelled
			}
			return pool.EndDone, nextDone, ""
		case err != nil && ctx.Err() != nil:
			return pool.EndAbandoned, nextFail, sequoialead.ReasonCancelled
		case err != nil:
			j.steps.Add("stream-cut", "server", place.Server.ID, "after", j.after, "resumable", j.route.Resumable, "err", err)
			if j.route.Resumable {
				return pool.EndFailed, nextAgain, sequoialead.ReasonBackend
			}
			return pool.EndFailed, nextFail, sequoialead.ReasonBackend
		}
	}
}
