package agent_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"sequoialead"
	"sequoialead/core/agent"
)

// A cancellation that arrives before its call is answered with EndRefused, and the
// call is not run when it arrives.
func TestCancelBeforeCall(t *testing.T) {
	c := qt.New(t)
	b := newFixture(c)
	s := newFakeSender()
	call := b.newCall()
	b.agent.Cancel(call.ID, s)
	end, _ := s.end(c, call.ID)
	c.Assert(end.Ending, qt.Equals, sequoialead.EndRefused)
	b.agent.Call(call, s)
	end, _ = s.end(c, call.ID)
	c.Assert(end.Ending, qt.Equals, sequoialead.EndRefused)
	c.Assert(b.backend.startedCount(), qt.Equals, 0)
}

// A copy of a call over another connection does not run again: the answer of the
// first copy is delivered over the new connection. After the acknowledgement, a
// copy is answered with EndLost.
func TestSameCallAttaches(t *testing.T) {
	c := qt.New(t)
	b := newFixture(c)
	first, second := newFakeSender(), newFakeSender()
	call := b.newCall()
	b.agent.Call(call, first)
	id := b.awaitStart(c)
	b.agent.Call(call, second)
	b.backend.end(id, nil)
	end, chunks := second.end(c, id)
	c.Assert(end.Ending, qt.Equals, sequoialead.EndDone)
	c.Assert(end.Count, qt.Equals, uint32(1))
	c.Assert(chunks, qt.Equals, 1)
	b.agent.Ack(id)
	b.agent.Call(call, second)
	end, _ = second.end(c, id)
	c.Assert(end.Ending, qt.Equals, sequoialead.EndLost)
	c.Assert(b.backend.startedCount(), qt.Equals, 1)
}

// A copy of a call that was sent before the latest one but arrives after it, over
// a connection that is lost, does not divert the answer.
func TestLateCopyDoesNotTakeTheAnswer(t *testing.T) {
	c := qt.New(t)
	b := newFixture(c)
	lost, current := newFakeSender(), newFakeSender()
	first := b.newCall()
	resent := first
	resent.Resends = 1
	b.agent.Call(resent, current)
	id := b.awaitStart(c)
	b.agent.Call(first, lost)
	close(lost.done)
	b.backend.end(id, nil)
	end, chunks := current.end(c, id)
	c.Assert(end.Ending, qt.Equals, sequoialead.EndDone)
	c.Assert(chunks, qt.Equals, 1)
	c.Assert(b.backend.startedCount(), qt.Equals, 1)
}

// An ended call is kept with its answer until EndedCallGrace after its deadline.
func TestEndedCallIsKeptWhole(t *testing.T) {
	tests := []struct {
		desc    string
		elapsed time.Duration
		ending  sequoialead.Ending
		chunks  int
	}{
		{desc: "before the deadline", elapsed: 50 * time.Second, ending: sequoialead.EndDone, chunks: 1},
		{desc: "within the grace", elapsed: time.Minute + agent.EndedCallGrace/2, ending: sequoialead.EndDone, chunks: 1},
	}
	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			c := qt.New(t)
			b := newFixture(c)
			s := newFakeSender()
			call := b.newCall()
			b.agent.Call(call, s)
			id := b.awaitStart(c)
			b.backend.end(id, nil)
			s.end(c, id)
			b.agent.Sweep(time.Now().Add(tt.elapsed))
			call.Resends = 1
			b.agent.Call(call, s)
			end, chunks := s.end(c, id)
			c.Assert(end.Ending, qt.Equals, tt.ending)
			c.Assert(chunks, qt.Equals, tt.chunks)
		})
	}
}

// A cancellation that arrives after the end of the call is answered with that end.
func TestCancelAfterTheEnd(t *testing.T) {
	c := qt.New(t)
	b := newFixture(c)
	first, second := newFakeSender(), newFakeSender()
	call := b.newCall()
	b.agent.Call(call, first)
	id := b.awaitStart(c)
	b.backend.end(id, nil)
	first.end(c, id)
	b.agent.Cancel(id, second)
	end, _ := second.end(c, id)
	c.Assert(end.Ending, qt.Equals, sequoialead.EndDone)
}

// At a server that is warming up, the capacity of a cancelled call is not reused
// before the server has ended the call, but the entry is told at once.
func TestCancelledCallKeepsItsPlaceWhileCold(t *testing.T) {
	tests := []struct {
		desc   string
		cancel func(b *fixture, id sequoialead.CallID, s *fakeSender)
		left   time.Duration
		ending sequoialead.Ending
		reason sequoialead.Reason
	}{
		{
			desc:   "cancelled",
			cancel: func(b *fixture, id sequoialead.CallID, s *fakeSender) { b.agent.Cancel(id, s) },
			left:   time.Minute,
			ending: sequoialead.EndFailed,
			reason: sequoialead.ReasonCancelled,
		},
		{
			desc:   "deadline",
			cancel: func(*fixture, sequoialead.CallID, *fakeSender) {},
			left:   50 * time.Millisecond,
			ending: sequoialead.EndLost,
			reason: sequoialead.ReasonDeadline,
		},
	}
	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			c := qt.New(t)
			b := newFixture(c)
			s := newFakeSender()
			first := b.newCall()
			b.agent.Call(first, s)
			b.backend.end(b.awaitStart(c), nil)
			s.end(c, first.ID)
			call := b.newCall()
			call.TimeLeft = tt.left
			b.agent.Call(call, s) // started at once: the probe before the first call has identified the server
			id := b.awaitStart(c)
			b.agent.Call(b.newCall(), s)
			b.awaitStart(c)
			tt.cancel(b, id, s)
			end, _ := s.end(c, id)
			c.Assert(end.Ending, qt.Equals, tt.ending)
			c.Assert(end.Reason, qt.Equals, tt.reason)
			c.Assert(b.agent.Load("e").Running, qt.Equals, 2)
			b.agent.Call(b.newCall(), s)
			c.Assert(b.agent.Load("e").Queued, qt.Equals, 1)
			b.backend.end(id, nil)
			b.awaitStart(c)
			c.Assert(b.backend.startedCount(), qt.Equals, 4)
		})
	}
}

// A call that was started is never reported as refused, and a non-idempotent one
// runs to completion even if it is cancelled.
func TestCancelAfterStart(t *testing.T) {
	c := qt.New(t)
	b := newFixture(c)
	s := newFakeSender()
	call := b.newCall()
	call.Idempotent = false
	b.agent.Call(call, s)
	id := b.awaitStart(c)
	b.agent.Cancel(id, s)
	b.backend.end(id, nil)
	end, _ := s.end(c, id)
	c.Assert(end.Ending, qt.Equals, sequoialead.EndDone)

	call = b.newCall()
	b.agent.Call(call, s)
	id = b.awaitStart(c)
	b.agent.Cancel(id, s)
	end, _ = s.end(c, id)
	c.Assert(end.Ending, qt.Equals, sequoialead.EndFailed)
	c.Assert(end.Reason, qt.Equals, sequoialead.ReasonCancelled)
}
