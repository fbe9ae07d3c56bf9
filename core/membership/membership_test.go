package membership_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"sequoialead/core/membership"
)

func TestMembers(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(100, 0)
	m := membership.New(membership.Options{Self: membership.Member{Name: "b"}, AssumedEntries: 16, TTL: 10 * time.Second})
	c.Assert(m.Count(now), qt.Equals, 16)
	m.Update(membership.Member{Name: "a", Domain: "x"}, now)
	m.Update(membership.Member{Name: "b"}, now)
	m.SetSynced()
	c.Assert(m.Count(now), qt.Equals, 2)
	c.Assert(m.All(now)[0].Domain, qt.Equals, "x")
	c.Assert(m.Count(now.Add(11*time.Second)), qt.Equals, 1)
	m.Update(membership.Member{Name: "a"}, now)
	m.Remove("a")
	c.Assert(m.Count(now), qt.Equals, 1)
}
