package contention_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"sequoialead"
	"sequoialead/core/contention"
)

// Only an entry that led no servers before starts with few calls. A server that joins or
// restarts changes the number too, and must not slow down the group's leader.
func TestOnlyNewLeaderStartsWithFewCalls(t *testing.T) {
	c := qt.New(t)
	var tr contention.Tracker
	now := time.Unix(1000, 0)
	c.Assert(tr.Limit(15, now), qt.Equals, 15)
	tr.RecordChange(0, 15, now)
	c.Assert(tr.Limit(15, now), qt.Equals, 3)
	c.Assert(tr.Limit(2, now), qt.Equals, 2)
	tr.RecordAnswer("s", 1, nil, now)
	tr.RecordAnswer("s", 3, nil, now) // waited behind others
	c.Assert(tr.Limit(15, now), qt.Equals, 4)
	now = now.Add(2 * time.Second)
	c.Assert(tr.Limit(15, now), qt.Equals, 15)
	tr.RecordChange(15, 16, now)
	c.Assert(tr.Limit(16, now), qt.Equals, 16)
	c.Assert(tr.AnyShared(now), qt.IsTrue)
}

// Refusals in a row lengthen the pause of their server alone, and an answer ends it.
func TestPauseGrowsWithRefusals(t *testing.T) {
	c := qt.New(t)
	var tr contention.Tracker
	const callTime = 300 * time.Millisecond
	now := time.Unix(1000, 0)
	for _, want := range []time.Duration{callTime, 2 * callTime, 4 * callTime, 4 * callTime} {
		tr.RecordRefusal("s", callTime, 8, 0, now)
		c.Assert(tr.Paused("s", now.Add(want-1)), qt.IsTrue)
		c.Assert(tr.Paused("s", now.Add(want)), qt.IsFalse)
		c.Assert(tr.Paused("other", now), qt.IsFalse)
	}
	c.Assert(tr.Limit(15, now), qt.Equals, 1) // 8 halved, more than three times
	c.Assert(tr.Shared("s", now), qt.IsTrue)
	c.Assert(tr.Shared("other", now), qt.IsFalse)
	tr.RecordAnswer("s", 1, &sequoialead.ServerLoad{}, now)
	c.Assert(tr.Paused("s", now), qt.IsFalse)
	c.Assert(tr.Shared("s", now.Add(2*time.Second)), qt.IsFalse)
	c.Assert(tr.Limit(15, now.Add(2*time.Second)), qt.Equals, 15)
}
