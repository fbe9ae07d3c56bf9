package quota_test

import (
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"sequoialead/core/quota"
)

func TestQuota(t *testing.T) {
	c := qt.New(t)
	d := quota.New()
	c.Assert(d.Quota("a", 16), qt.Equals, 16)
	d.Admit("a")
	c.Assert(d.Quota("a", 16), qt.Equals, 16)
	c.Assert(d.Quota("b", 16), qt.Equals, 8)
	d.Refuse("a")
	c.Assert(d.Quota("b", 16), qt.Equals, 16)
	d.Admit("a")
	d.Admit("b")
	c.Assert(d.Quota("c", 2), qt.Equals, 1)
}

// If one entry occupies the whole limit, the others reach their quotas as its calls
// end, whatever the order in which calls end.
func TestEveryEntryReachesItsQuota(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.IntRange(2, 32).Draw(t, "limit")
		entries := []string{"a", "b", "c", "d"}[:rapid.IntRange(2, 4).Draw(t, "entries")]
		d := quota.New()
		running := map[string]int{}
		var queued []string
		for range limit {
			d.Admit("a")
			d.Start("a")
			running["a"]++
		}
		for range 4 * limit {
			for _, e := range entries {
				for d.WithinQuota(e, limit) {
					d.Admit(e)
					queued = append(queued, e)
				}
			}
			ended := rapid.SampledFrom(entries).Filter(func(e string) bool { return running[e] > 0 }).Draw(t, "ended")
			d.Finish(ended)
			running[ended]--
			if len(queued) > 0 {
				i := d.Next(queued)
				e := queued[i]
				queued = append(queued[:i:i], queued[i+1:]...)
				d.Start(e)
				running[e]++
			}
		}
		for _, e := range entries {
			if fair := limit / len(entries); running[e] < fair-1 {
				t.Fatalf("%s runs %d of its quota of %d: %v, queued %v", e, running[e], fair, running, queued)
			}
		}
	})
}
