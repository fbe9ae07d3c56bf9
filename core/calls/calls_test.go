package calls_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/google/uuid"
	"pgregory.net/rapid"

	"sequoialead"
	"sequoialead/core/calls"
)

func table(n, bytes int) *calls.Table {
	return calls.New(calls.Options{Calls: n, Bars: 2 * n, Bytes: bytes, Grace: time.Second, Bar: time.Minute})
}

func call(n byte) sequoialead.Call {
	return sequoialead.Call{ID: sequoialead.CallID{Request: uuid.UUID{n}}, Left: time.Second, Body: []byte("body")}
}

func TestBarredCallStaysBarred(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(0, 0)
	tb := table(10, 1000)
	_, barred := tb.Bar(call(1).ID, sequoialead.ReasonCancelled, now)
	c.Assert(barred, qt.IsTrue)
	tb.Expire(now.Add(59 * time.Second))
	c.Assert(tb.Find(call(1).ID).State, qt.Equals, calls.Barred)
	tb.Expire(now.Add(61 * time.Second))
	c.Assert(tb.Find(call(1).ID), qt.IsNil)
}

// Ended calls that were acknowledged leave room for others at once.
func TestForgottenCallsLeaveRoom(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(0, 0)
	tb := table(2, 1000)
	for n := range byte(4) {
		item := tb.Add(call(n), now)
		c.Assert(item, qt.IsNotNil)
		tb.Start(item)
		tb.Finish(item, sequoialead.End{Ending: sequoialead.EndDone}, now)
		tb.Forget(call(n).ID, now)
	}
	c.Assert(tb.Len(), qt.Equals, 0)
	c.Assert(tb.Add(call(9), now), qt.IsNil)
	tb.Expire(now.Add(61 * time.Second))
	c.Assert(tb.Add(call(9), now), qt.IsNotNil)
}

func TestStartedCallIsNotBarred(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(0, 0)
	tb := table(10, 1000)
	item := tb.Add(call(1), now)
	tb.Start(item)
	_, barred := tb.Bar(call(1).ID, sequoialead.ReasonCancelled, now)
	c.Assert(barred, qt.IsFalse)
	c.Assert(item.State, qt.Equals, calls.Running)
}

// Takes any steps and checks the bounds of the table, and that no call starts
// after it was barred or ended.
func TestAnyStepsKeepTheBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const most, bytes = 4, 64
		tb := table(most, bytes)
		now := time.Unix(0, 0)
		over := map[byte]bool{}
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now = now.Add(100 * time.Millisecond)
			n := rapid.ByteRange(0, 12).Draw(t, "call")
			item := tb.Find(call(n).ID)
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0:
				if item == nil && !over[n] {
					tb.Add(call(n), now)
				}
			case 1:
				if item != nil && item.State == calls.Waiting {
					if over[n] {
						t.Fatalf("call %d starts after its end", n)
					}
					tb.Start(item)
				}
			case 2:
				if item != nil {
					tb.Append(item, []byte("chunk"))
				}
			case 3:
				if item != nil && item.State == calls.Running {
					tb.Finish(item, sequoialead.End{Ending: sequoialead.EndDone}, now)
					over[n] = true
				}
			case 4:
				if _, barred := tb.Bar(call(n).ID, sequoialead.ReasonCancelled, now); barred {
					over[n] = true
				}
			case 5:
				tb.Forget(call(n).ID, now)
			}
			if tb.Bytes() < 0 || tb.Bytes() > bytes || tb.Len() > most || tb.Bars() > 3*most {
				t.Fatalf("the table holds %d bytes in %d calls", tb.Bytes(), tb.Len())
			}
		}
		tb.Expire(now.Add(time.Hour))
		for n := range over {
			if item := tb.Find(call(n).ID); item != nil {
				t.Fatalf("call %d is kept for ever", n)
			}
		}
	})
}
