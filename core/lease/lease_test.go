package lease_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"sequoialead/core/lease"
)

func TestLeaseCountsFromStartOfRead(t *testing.T) {
	c := qt.New(t)
	l := lease.New()
	start := time.Unix(100, 0)
	c.Assert(l.Valid(start, time.Hour), qt.IsFalse)
	l.Renew(start)
	c.Assert(l.Valid(start.Add(4*time.Second), 5*time.Second), qt.IsTrue)
	c.Assert(l.Valid(start.Add(5*time.Second), 5*time.Second), qt.IsFalse)
	l.Renew(start.Add(-time.Second)) // an answer that arrived late
	age, ok := l.Age(start.Add(time.Second))
	c.Assert(ok, qt.IsTrue)
	c.Assert(age, qt.Equals, time.Second)
}
