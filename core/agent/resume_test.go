package agent_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"sequoialead"
	"sequoialead/core/agent"
)

// A cancel that overtakes its call is answered with "never started", and the
// call that arrives later is not run.
func TestCancelBeforeCall(t *testing.T) {
	c := qt.New(t)
	b := newBench(c)
	s := newSender()
	call := b.call()
	b.agent.Cancel(call.ID, s)
	end, _ := s.end(c, call.ID)
	c.Assert(end.Ending, qt.Equals, sequoialead.EndRefused)
	b.agent.Call(call, s)
	end, _ = s.end(c, call.ID)
	c.Assert(end.Ending, qt.Equals, sequoialead.EndRefused)
	c.Assert(b.backend.startedCount(), qt.Equals, 0)
}

// The same call over another connection attaches to the first, runs once, and
// brings the whole answer from where the entry says.
func TestSameCallAttaches(t *testing.T) {
	c := qt.New(t)
	b := newBench(c)
	silent, fresh := newSender(), newSender()
	call := b.call()
	b.agent.Call(call, silent)
	id := b.await(c)
	b.agent.Call(call, fresh)
	b.backend.end(id, nil)
	end, chunks := fresh.end(c, id)
	c.Assert(end.Ending, qt.Equals, sequoialead.EndDone)
	c.Assert(end.Count, qt.Equals, uint32(1))
	c.Assert(chunks, qt.Equals, 1)
	b.agent.Ack(id)
	b.agent.Call(call, fresh)
	end, _ = fresh.end(c, id)
	c.Assert(end.Ending, qt.Equals, sequoialead.EndLost)
	c.Assert(b.backend.startedCount(), qt.Equals, 1)
}

// A copy of a call that was sent before the latest one, and arrives after it
// over a connection that is lost, does not take the answer away.
func TestLateCopyDoesNotTakeTheAnswer(t *testing.T) {
	c := qt.New(t)
	b := newBench(c)
	lost, fresh := newSender(), newSender()
	first := b.call()
	again := first
	again.Resends = 1
	b.agent.Call(again, fresh)
	id := b.await(c)
	b.agent.Call(first, lost)
	close(lost.gone)
	b.backend.end(id, nil)
	end, chunks := fresh.end(c, id)
	c.Assert(end.Ending, qt.Equals, sequoialead.EndDone)
	c.Assert(chunks, qt.Equals, 1)
	c.Assert(b.backend.startedCount(), qt.Equals, 1)
}

// An ended call is kept whole until its deadline and the grace after it.
func TestEndedCallIsKeptWhole(t *testing.T) {
	tests := []struct {
		desc   string
		after  time.Duration
		ending sequoialead.Ending
		chunks int
	}{
		{desc: "before the deadline", after: 50 * time.Second, ending: sequoialead.EndDone, chunks: 1},
		{desc: "within the grace", after: time.Minute + agent.EndGrace/2, ending: sequoialead.EndDone, chunks: 1},
	}
	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			c := qt.New(t)
			b := newBench(c)
			s := newSender()
			call := b.call()
			b.agent.Call(call, s)
			id := b.await(c)
			b.backend.end(id, nil)
			s.end(c, id)
			b.agent.Sweep(time.Now().Add(tt.after))
			call.Resends = 1
			b.agent.Call(call, s)
			end, chunks := s.end(c, id)
			c.Assert(end.Ending, qt.Equals, tt.ending)
			c.Assert(chunks, qt.Equals, tt.chunks)
		})
	}
}

// A cancel that arrives after the call's end is answered with the end.
func TestCancelAfterTheEnd(t *testing.T) {
	c := qt.New(t)
	b := newBench(c)
	lost, fresh := newSender(), newSender()
	call := b.call()
	b.agent.Call(call, lost)
	id := b.await(c)
	b.backend.end(id, nil)
	lost.end(c, id)
	b.agent.Cancel(id, fresh)
	end, _ := fresh.end(c, id)
	c.Assert(end.Ending, qt.Equals, sequoialead.EndDone)
}

// The place of a cancelled call at a server that warms up is not used before
// the server has ended the call, and the entry need not wait for that.
func TestCancelledCallKeepsItsPlaceWhileCold(t *testing.T) {
	tests := []struct {
		desc   string
		cancel func(b *bench, id sequoialead.CallID, s *sender)
		left   time.Duration
		ending sequoialead.Ending
		reason sequoialead.Reason
	}{
		{
			desc:   "cancelled",
			cancel: func(b *bench, id sequoialead.CallID, s *sender) { b.agent.Cancel(id, s) },
			left:   time.Minute,
			ending: sequoialead.EndFailed,
			reason: sequoialead.ReasonCancelled,
		},
		{
			desc:   "deadline",
			cancel: func(*bench, sequoialead.CallID, *sender) {},
			left:   50 * time.Millisecond,
			ending: sequoialead.EndLost,
			reason: sequoialead.ReasonDeadline,
		},
	}
	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			c := qt.New(t)
			b := newBench(c)
			s := newSender()
			first := b.call()
			b.agent.Call(first, s)
			b.backend.end(b.await(c), nil)
			s.end(c, first.ID)
			call := b.call()
			call.Left = tt.left
			b.agent.Call(call, s) // started at once, as the server is known now
			id := b.await(c)
			b.agent.Call(b.call(), s)
			b.await(c)
			tt.cancel(b, id, s)
			end, _ := s.end(c, id)
			c.Assert(end.Ending, qt.Equals, tt.ending)
			c.Assert(end.Reason, qt.Equals, tt.reason)
			c.Assert(b.agent.Load("e").Running, qt.Equals, 2)
			b.agent.Call(b.call(), s)
			c.Assert(b.agent.Load("e").Waiting, qt.Equals, 1)
			b.backend.end(id, nil)
			b.await(c)
			c.Assert(b.backend.startedCount(), qt.Equals, 4)
		})
	}
}

// A call that was started is never told as refused, and a non-idempotent one
// runs to its end whoever cancels it.
func TestCancelAfterStart(t *testing.T) {
	c := qt.New(t)
	b := newBench(c)
	s := newSender()
	call := b.call()
	call.Idempotent = false
	b.agent.Call(call, s)
	id := b.await(c)
	b.agent.Cancel(id, s)
	b.backend.end(id, nil)
	end, _ := s.end(c, id)
	c.Assert(end.Ending, qt.Equals, sequoialead.EndDone)

	call = b.call()
	b.agent.Call(call, s)
	id = b.await(c)
	b.agent.Cancel(id, s)
	end, _ = s.end(c, id)
	c.Assert(end.Ending, qt.Equals, sequoialead.EndFailed)
	c.Assert(end.Reason, qt.Equals, sequoialead.ReasonCancelled)
}
