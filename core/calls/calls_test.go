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

func newTable(n, bytes int) *calls.Table {
	return calls.New(calls.Options{MaxCalls: n, MaxTombstones: 2 * n, MaxBytes: bytes, EndedGrace: time.Second, TombstoneTTL: time.Minute})
}

func newCall(n byte) sequoialead.Call {
	return sequoialead.Call{ID: sequoialead.CallID{Request: uuid.UUID{n}}, TimeLeft: time.Second, Body: []byte("body")}
}

func TestBlockedCallStaysBlocked(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(0, 0)
	tb := newTable(10, 1000)
	_, blocked := tb.Block(newCall(1).ID, sequoialead.ReasonCancelled, now)
	c.Assert(blocked, qt.IsTrue)
	tb.Expire(now.Add(59 * time.Second))
	c.Assert(tb.Find(newCall(1).ID).State, qt.Equals, calls.Tombstone)
	tb.Expire(now.Add(61 * time.Second))
	c.Assert(tb.Find(newCall(1).ID), qt.IsNil)
}

// Acknowledged calls no longer count towards the bound on calls, but as
// tombstones they prevent further calls until they expire.
func TestAcknowledgedCallsFreeCapacity(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(0, 0)
	tb := newTable(2, 1000)
	for n := range byte(4) {
		item := tb.Add(newCall(n), now)
		c.Assert(item, qt.IsNotNil)
		tb.Start(item)
		tb.Finish(item, sequoialead.End{Ending: sequoialead.EndDone}, now)
		tb.Acknowledge(newCall(n).ID, now)
	}
	c.Assert(tb.Len(), qt.Equals, 0)
	c.Assert(tb.Add(newCall(9), now), qt.IsNil)
	tb.Expire(now.Add(61 * time.Second))
	c.Assert(tb.Add(newCall(9), now), qt.IsNotNil)
}

func TestStartedCallIsNotBlocked(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(0, 0)
	tb := newTable(10, 1000)
	item := tb.Add(newCall(1), now)
	tb.Start(item)
	_, blocked := tb.Block(newCall(1).ID, sequoialead.ReasonCancelled, now)
	c.Assert(blocked, qt.IsFalse)
	c.Assert(item.State, qt.Equals, calls.Running)
}

// Runs random sequences of operations. The bounds of the table hold after each
// one, no call can be started after it was blocked or has ended, and no call is
// kept for ever. The tombstones can exceed MaxTombstones by up to maxCalls, since
// calls already in the table still become tombstones when it is reached.
func TestInvariantsUnderRandomOperations(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const maxCalls, maxBytes = 4, 64
		tb := newTable(maxCalls, maxBytes)
		now := time.Unix(0, 0)
		finished := map[byte]bool{}
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now = now.Add(100 * time.Millisecond)
			n := rapid.ByteRange(0, 12).Draw(t, "call")
			item := tb.Find(newCall(n).ID)
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0:
				if item == nil && !finished[n] {
					tb.Add(newCall(n), now)
				}
			case 1:
				if item != nil && item.State == calls.Queued {
					if finished[n] {
						t.Fatalf("call %d is queued after it was blocked or ended", n)
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
					finished[n] = true
				}
			case 4:
				if _, blocked := tb.Block(newCall(n).ID, sequoialead.ReasonCancelled, now); blocked {
					finished[n] = true
				}
			case 5:
				tb.Acknowledge(newCall(n).ID, now)
			}
			if tb.Bytes() < 0 || tb.Bytes() > maxBytes || tb.Len() > maxCalls || tb.Tombstones() > 3*maxCalls {
				t.Fatalf("bounds exceeded: the table holds %d bytes in %d calls", tb.Bytes(), tb.Len())
			}
		}
		tb.Expire(now.Add(time.Hour))
		for n := range finished {
			if item := tb.Find(newCall(n).ID); item != nil {
				t.Fatalf("call %d has not expired", n)
			}
		}
	})
}
