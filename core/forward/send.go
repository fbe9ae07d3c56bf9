package forward

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/joomcode/errorx"

	"sequoialead"
	"sequoialead/core/pool"
	"sequoialead/core/proxyconfig"
	"sequoialead/core/sse"
)

const (
	// maxBufferedBytes is the size below which an answer is read completely before
	// its head is sent to the caller, so that the request can still be retried if the
	// answer breaks off.
	maxBufferedBytes = 256 << 10
	// copyBufferBytes is the size of the buffer that answers are copied through.
	copyBufferBytes = 16 << 10
	// maxEventBytes is the maximum size of one event of a resumable stream. Only whole
	// events are passed on, so an event without end would be held in memory, for each
	// stream in flight.
	maxEventBytes = 64 << 10
	// maxHeldBytes is the maximum size of the start of a stream that is held back until its first
	// event is complete, so that a stream that breaks before can be answered with a failure.
	maxHeldBytes = 16 << 10
	// maxDiscardBytes and discardTimeout bound the rest of an answer that is read only to
	// keep its connection.
	maxDiscardBytes = 64 << 10
	discardTimeout  = 50 * time.Millisecond
	// minTimeLeft is the minimum time before the deadline for an attempt to be useful.
	minTimeLeft = 5 * time.Millisecond
)

// action tells how to continue after an attempt.
type action int

const (
	// actionDone: the caller has the complete answer.
	actionDone action = iota
	// actionRetry: the request may be sent to another backend server.
	actionRetry
	// actionFail: the failure is reported to the caller.
	actionFail
)

// maxOffers is the maximum number of backend servers that are tried for a request,
// including those that cannot be reached, which do not count as attempts.
const maxOffers = 4

// send makes attempts at a request until it is answered or may not be retried.
func (f *Forwarder) send(ctx context.Context, j *job, sink Sink) Result {
	unsentCtx, cancel := f.unsentContext(ctx, j)
	defer cancel()
	defer context.AfterFunc(f.unsentCtx, cancel)()
	for offers := 1; ; offers++ {
		if held := f.refuseQuarantined(j); held != nil {
			return *held
		}
		if f.oversized(j) {
			return j.refusal(sequoialead.ReasonSize)
		}
		if j.inputs == nil {
			reason := f.runStages(unsentCtx, j)
			if reason == sequoialead.ReasonGone && unsentCtx.Err() == nil && f.refuseLate(j) == nil {
				reason = f.runStages(unsentCtx, j) // a stage's inputs may be freed once read, so a later failure of the stage needs them made again
			}
			if reason != "" && unsentCtx.Err() == nil {
				return j.refusal(reason)
			}
		}
		place, reason := f.acquirePlace(unsentCtx, j)
		// unsentCtx ends only some time after f.unsentCtx, in another goroutine.
		if unsentCtx.Err() != nil || f.unsentCtx.Err() != nil {
			if place != nil {
				f.releasePlace(j, place, pool.EndAbandoned, nil)
			}
			if ctx.Err() == nil && f.unsentCtx.Err() != nil {
				return j.refusal(sequoialead.ReasonLeaving)
			}
			return f.interruptedResult(j)
		}
		if place == nil && reason == sequoialead.ReasonHeld {
			return f.refuseHeld(j)
		}
		if place == nil {
			return j.refusal(reason)
		}
		if !f.refreshCustomer(j) {
			f.releasePlace(j, place, pool.EndAbandoned, nil)
			if j.mayHaveRun || j.headSent {
				return j.refusal(sequoialead.ReasonKey)
			}
			return Result{Status: http.StatusUnauthorized, Reason: sequoialead.ReasonKey}
		}
		if held := f.refuseQuarantined(j); held != nil {
			f.releasePlace(j, place, pool.EndAbandoned, nil)
			return *held
		}
		if !f.allowAttempt(j) {
			f.releasePlace(j, place, pool.EndAbandoned, nil)
			return j.refusal(sequoialead.ReasonRetries)
		}
		action, reason := f.attempt(ctx, j, place, sink)
		switch {
		case action == actionDone:
			return Result{}
		case ctx.Err() != nil:
			return f.interruptedResult(j)
		case action == actionFail, j.attempts >= j.route.MaxAttempts, offers >= maxOffers:
			return j.refusal(reason)
		}
	}
}

// oversized reports whether a request is larger than the memory of any backend server.
func (f *Forwarder) oversized(j *job) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.pool(j.pool).Oversized(j.request.Prompt)
}

// attempt sends a request to one backend server and handles the result.
func (f *Forwarder) attempt(ctx context.Context, j *job, place *pool.Place, sink Sink) (action, sequoialead.Reason) {
	left := j.deadline.Sub(f.opts.Now())
	if left < minTimeLeft {
		f.releasePlace(j, place, pool.EndAbandoned, nil)
		return actionFail, sequoialead.ReasonTimeout
	}
	j.attempts++
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	fields := []any{"try", j.attempts, "server", place.Server.ID, "domain", place.Server.Domain, "left", left, "after", j.lastEventID,
		"inputs", len(j.inputs), "pending", place.PendingTokens, "home", place.AtHome}
	if place.Predicted > 0 {
		fields = append(fields, "predicted", place.Predicted)
	}
	j.trail.Add("send", fields...)
	j.tried[place.Server.ID] = true
	place.Source = j.source()
	response, err := f.opts.Exchanger.Exchange(ctx, sequoialead.ProxyAttempt{
		Request: j.request, Server: place.Server, TimeLeft: left, Customer: j.customerName(), Urgency: j.urgency,
		Inputs: handles(j.inputs), LastEventID: j.lastEventID, AvoidIdle: !j.route.Repeatable(),
	})
	if err != nil {
		return f.handleError(ctx, j, place, err)
	}
	place.Reported = response.Load
	f.recordNotice(j, place, response.Notice)
	f.recordLoad(j, place, response.Load)
	defer func() { _ = response.Body.Close() }() // a body that was read completely is already closed
	if response.NotRun || response.Misdirected {
		return actionRetry, f.handleRefusal(j, place, response)
	}
	j.mayHaveRun = true
	end, action, reason := f.receive(ctx, j, place, response, sink)
	if end == pool.EndFailed && ctx.Err() != nil {
		end = interruptedEnd(ctx)
	}
	f.releasePlace(j, place, end, response.Load)
	return action, reason
}

// handleRefusal handles an answer which states that the request was not run.
func (f *Forwarder) handleRefusal(j *job, place *pool.Place, r *sequoialead.Response) sequoialead.Reason {
	discard(r.Body)
	f.releasePlace(j, place, pool.EndRefused, r.Load)
	j.trail.Add("send-refused", "server", place.Server.ID, "status", r.Status, "load", r.Load)
	if r.Status == http.StatusConflict {
		f.releaseInputs(j) // the server no longer holds an input, so the stages have to run again
		return sequoialead.ReasonGone
	}
	return sequoialead.ReasonFull
}

// handleError handles an attempt without an answer.
func (f *Forwarder) handleError(ctx context.Context, j *job, place *pool.Place, err error) (action, sequoialead.Reason) {
	unsent := errorx.IsOfType(err, sequoialead.ErrUnsent)
	if !unsent {
		j.mayHaveRun = true
	}
	if ctx.Err() != nil {
		f.releasePlace(j, place, interruptedEnd(ctx), nil)
		return actionFail, sequoialead.ReasonCancelled
	}
	j.trail.Add("send-lost", "server", place.Server.ID, "started", place.Server.StartedAt, "unsent", unsent, "try", j.attempts, "parts", j.request.Prompt.PartIDs(), "err", err)
	if unsent {
		j.attempts-- // nothing reached the server
		f.releasePlace(j, place, pool.EndUnreachable, nil)
		return actionRetry, sequoialead.ReasonBackend
	}
	f.releasePlace(j, place, pool.EndFailed, nil)
	f.recordCrash(j, place, false, err)
	if j.route.Repeatable() {
		return actionRetry, sequoialead.ReasonBackend
	}
	return actionFail, sequoialead.ReasonBackend
}

// interruptedEnd returns the end of an attempt whose context has ended: the deadline has
// passed, or the caller left.
func interruptedEnd(ctx context.Context) pool.End {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return pool.EndSilent
	}
	return pool.EndAbandoned
}

// source identifies who sends requests like this one, by route and customer.
func (j *job) source() uint64 { return xxhash.Sum64String(j.route.Name + "\x00" + j.customerName()) }

// receive passes an answer on to the caller, or decides that the request may be
// retried.
func (f *Forwarder) receive(ctx context.Context, j *job, place *pool.Place, r *sequoialead.Response, sink Sink) (pool.End, action, sequoialead.Reason) {
	success := r.Status >= http.StatusOK && r.Status < http.StatusMultipleChoices
	onFailure := actionFail
	if j.route.Repeatable() {
		onFailure = actionRetry
	}
	if r.Unproven || promisesNotRun(r.Status) || success && (!r.Stamped || r.Header.Get("Content-Encoding") != "") || j.headSent && (!success || !isEventStream(r.Header)) {
		j.trail.Add("answer-odd", "server", place.Server.ID, "status", r.Status, "genuine", r.Stamped)
		return pool.EndFailed, onFailure, sequoialead.ReasonBackend
	}
	if success && j.route.Kind == proxyconfig.KindStream {
		return f.stream(ctx, j, place, r, sink)
	}
	if r.Status >= http.StatusInternalServerError && onFailure == actionRetry && j.attempts < j.route.MaxAttempts {
		discard(r.Body)
		j.trail.Add("answer-failed", "server", place.Server.ID, "status", r.Status)
		return pool.EndFailed, actionRetry, sequoialead.ReasonBackend
	}
	end := pool.EndDone
	if r.Status >= http.StatusInternalServerError {
		end = pool.EndFailed
		place.Failing = true
	}
	body, whole, err := readFirst(r, sink)
	if err != nil {
		j.trail.Add("answer-cut", "server", place.Server.ID, "bytes", len(body), "err", err)
		if len(body) == 0 {
			f.recordCrash(j, place, true, err)
		}
		return pool.EndFailed, onFailure, sequoialead.ReasonBackend
	}
	f.recordFirstByte(j, place)
	f.recordAnswer(j, f.opts.Now())
	j.headSent = true
	if whole {
		sink.Head(r.Status, r.Header, int64(len(body)))
		if err := sink.Write(body); err != nil {
			return pool.EndAbandoned, actionFail, sequoialead.ReasonCancelled
		}
		return end, actionDone, ""
	}
	sink.Head(r.Status, r.Header, r.Length)
	if err := sink.Write(body); err != nil {
		return pool.EndAbandoned, actionFail, sequoialead.ReasonCancelled
	}
	callerLeft, err := copyRest(r, sink)
	if callerLeft {
		return pool.EndAbandoned, actionFail, sequoialead.ReasonCancelled
	}
	if err != nil {
		j.trail.Add("answer-cut", "server", place.Server.ID, "err", err)
		return pool.EndFailed, actionFail, sequoialead.ReasonBackend
	}
	return end, actionDone, ""
}

// readFirst reads an answer up to maxBufferedBytes and reports whether this was all of it. If
// there is no room to hold back so much, it reads only a first part.
func readFirst(r *sequoialead.Response, sink Sink) (body []byte, whole bool, err error) {
	body, err = io.ReadAll(io.LimitReader(r.Body, copyBufferBytes))
	if err != nil || len(body) < copyBufferBytes {
		return body, true, err
	}
	if reserver, ok := sink.(Reserver); ok {
		size := int64(maxBufferedBytes)
		if r.Length >= 0 {
			size = min(size, r.Length)
		}
		if !reserver.Reserve(size) {
			return body, false, nil
		}
	}
	buffer := bytes.NewBuffer(body)
	_, err = buffer.ReadFrom(io.LimitReader(r.Body, maxBufferedBytes-copyBufferBytes))
	return buffer.Bytes(), buffer.Len() < maxBufferedBytes, err
}

// promisesNotRun reports whether callers take a status as a promise that the request was not
// run and will not be.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// discard reads the rest of an answer, so that its connection can be used again. If
// the answer does not end soon, its connection is closed instead.
func discard(body sequoialead.BodyReader) {
	timer := time.AfterFunc(discardTimeout, func() { _ = body.Close() })
	defer timer.Stop()
	if _, err := io.CopyN(io.Discard, body, maxDiscardBytes); err == nil {
		_ = body.Close()
	}
}

// copyRest copies the part of a large answer that was not buffered. It reports whether the
// caller left, which is no failure of the server.
func copyRest(r *sequoialead.Response, sink Sink) (callerLeft bool, err error) {
	buf := make([]byte, copyBufferBytes)
	for {
		n, err := r.Body.Read(buf)
		if n > 0 {
			if err := sink.Write(buf[:n]); err != nil {
				return true, err
			}
		}
		if errors.Is(err, io.EOF) {
			return false, nil
		}
		if err != nil {
			return false, err
		}
	}
}

// recordFirstByte records the time of the first byte of an answer.
func (f *Forwarder) recordFirstByte(j *job, place *pool.Place) {
	now := f.opts.Now()
	first := j.firstByte == 0
	if first {
		j.firstByte = now.Sub(j.request.ArrivedAt)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if first && f.opts.Admission {
		f.recordServed(j, now)
	}
	known := place.Took > 0
	f.pool(j.pool).RecordFirstByte(place, now)
	if !known && place.Took > 0 {
		f.metrics.firstToken(j.pool, place.Predicted, place.Took)
		j.trail.Add("first-token", "server", place.Server.ID, "predicted", place.Predicted, "took", place.Took)
	}
}

// recordLoad records the load that a backend server reported at the beginning of its answer.
func (f *Forwarder) recordLoad(j *job, place *pool.Place, load *sequoialead.ServerLoad) {
	now := f.opts.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.pool(j.pool).RecordLoad(place, load, now)
}

// sendHead sends the head of a stream to the caller unless it was already sent.
func (j *job) sendHead(r *sequoialead.Response, sink Sink) {
	if !j.headSent {
		sink.Head(r.Status, r.Header, -1)
		j.headSent = true
	}
}

// stream passes events on as they arrive. Of a resumable stream only complete
// events are passed on, so that another backend server can continue it. A stream that ends
// inside an event was broken off, and so was one without any that ends with its connection. The
// head is sent with the first complete event.
func (f *Forwarder) stream(ctx context.Context, j *job, place *pool.Place, r *sequoialead.Response, sink Sink) (pool.End, action, sequoialead.Reason) {
	splitter := sse.New()
	hasEvents := isEventStream(r.Header)
	buf := make([]byte, copyBufferBytes)
	var lastRead, firstRead time.Time
	sound := false
	longestGap := time.Duration(0)
	received := 0
	var held []byte // the start of the first event
	defer func() { f.metrics.eventGap(longestGap) }()
	for {
		n, err := r.Body.Read(buf)
		now := f.opts.Now()
		if !lastRead.IsZero() {
			longestGap = max(longestGap, now.Sub(lastRead))
		}
		lastRead = now
		data := buf[:n]
		if n > 0 && received == 0 {
			firstRead = now
		}
		received += n
		switch {
		case j.route.Resumable && hasEvents:
			data = splitter.Feed(data)
			if id := splitter.LastID(); id != "" {
				j.lastEventID = id
			}
			if err == nil && splitter.Pending() > maxEventBytes {
				err = sequoialead.ErrProtocol.New("an event of more than %d bytes", maxEventBytes)
			}
		case hasEvents:
			splitter.Skim(data)
		}
		if errors.Is(err, io.EOF) && (splitter.Pending() > 0 || received == 0 && r.CloseDelimited) {
			err = sequoialead.ErrBroken.New("the stream from %s ended inside an event", place.Server.ID)
		}
		if !sound && received > 0 && (errors.Is(err, io.EOF) || now.Sub(firstRead) > soundAfter) {
			sound = true
			f.recordAnswer(j, firstRead)
		}
		broken := err != nil && !errors.Is(err, io.EOF)
		switch {
		case j.headSent || j.route.Resumable && hasEvents: // the splitter holds back incomplete events
		case broken && !splitter.Begun():
			data = nil
		case hasEvents:
			held = append(held, data...)
			data = nil
			if splitter.Begun() || err != nil || len(held) > maxHeldBytes {
				data, held = held, nil
			}
		}
		if len(data) > 0 {
			f.recordFirstByte(j, place)
			f.releaseInputs(j)
			j.sendHead(r, sink)
			if sink.Write(data) != nil || r.Body.Buffered() == 0 && sink.Flush() != nil {
				return pool.EndAbandoned, actionFail, sequoialead.ReasonCancelled
			}
		}
		switch {
		case errors.Is(err, io.EOF):
			j.sendHead(r, sink)
			return pool.EndDone, actionDone, ""
		case err != nil && ctx.Err() != nil:
			return interruptedEnd(ctx), actionFail, sequoialead.ReasonCancelled
		case err != nil:
			return pool.EndFailed, f.streamCut(j, place, received, err), sequoialead.ReasonBackend
		}
	}
}

// streamCut handles a stream that was broken off after a number of bytes.
func (f *Forwarder) streamCut(j *job, place *pool.Place, received int, err error) action {
	j.trail.Add("stream-cut", "server", place.Server.ID, "started", place.Server.StartedAt, "bytes", received, "after", j.lastEventID, "resumable", j.route.Resumable,
		"parts", j.request.Prompt.PartIDs(), "err", err)
	if received == 0 {
		f.recordCrash(j, place, true, err)
	}
	if j.route.Resumable {
		return actionRetry
	}
	return actionFail
}

// isEventStream reports whether the answer to a request for a stream holds events, as far as
// its headers tell.
func isEventStream(h http.Header) bool {
	kind, _, _ := strings.Cut(h.Get("Content-Type"), ";")
	return kind == "" || strings.EqualFold(strings.TrimSpace(kind), "text/event-stream")
}
