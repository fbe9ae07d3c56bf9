package parts_test

import (
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"sequoialead/core/parts"
)

func TestPart(t *testing.T) {
	c := qt.New(t)
	p := parts.New()
	c.Assert(p.Part("a", 16), qt.Equals, 16)
	p.Admit("a")
	c.Assert(p.Part("a", 16), qt.Equals, 16)
	c.Assert(p.Part("b", 16), qt.Equals, 8)
	p.Refuse("a")
	c.Assert(p.Part("b", 16), qt.Equals, 16)
	p.Admit("a")
	p.Admit("b")
	c.Assert(p.Part("c", 2), qt.Equals, 1)
}

// If one entry occupies the whole limit, the others reach their parts as its calls
// end, whatever the order in which calls end.
func TestEveryEntryReachesItsPart(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.IntRange(2, 32).Draw(t, "limit")
		entries := []string{"a", "b", "c", "d"}[:rapid.IntRange(2, 4).Draw(t, "entries")]
		p := parts.New()
		running := map[string]int{}
		var waiting []string
		for range limit {
			p.Admit("a")
			p.Start("a")
			running["a"]++
		}
		for range 4 * limit {
			for _, e := range entries {
				for p.Within(e, limit) {
					p.Admit(e)
					waiting = append(waiting, e)
				}
			}
			ended := rapid.SampledFrom(entries).Filter(func(e string) bool { return running[e] > 0 }).Draw(t, "ended")
			p.Finish(ended)
			running[ended]--
			if len(waiting) > 0 {
				i := p.Next(waiting)
				e := waiting[i]
				waiting = append(waiting[:i:i], waiting[i+1:]...)
				p.Start(e)
				running[e]++
			}
		}
		for _, e := range entries {
			if part := limit / len(entries); running[e] < part-1 {
				t.Fatalf("%s runs %d of its part of %d: %v, waiting %v", e, running[e], part, running, waiting)
			}
		}
	})
}
