package prefixcache_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"sequoialead"
	"sequoialead/core/prefixcache"
)

func prompt(ids ...uint64) sequoialead.Prompt {
	var p sequoialead.Prompt
	for _, id := range ids {
		p.Parts = append(p.Parts, sequoialead.PromptPart{ID: id, Tokens: 100})
		p.Input += 100
	}
	return p
}

// The tokens of parts that are dropped because there are too many parts count no more. They
// used to count for ever, so that in the end nothing was held to be cached.
func TestDroppedPartsDontCount(t *testing.T) {
	cache := prefixcache.New(1 << 30)
	for id := range uint64(20000) {
		cache.Record(prompt(id))
	}
	small := prefixcache.New(1200000) // 840,000 tokens, for at most 8,192 parts of 100
	for id := range uint64(20000) {
		small.Record(prompt(id))
	}
	for id := uint64(20000 - 8192); id < 20000; id++ {
		qt.Assert(t, cache.Cached(prompt(id)), qt.Equals, 100)
		qt.Assert(t, small.Cached(prompt(id)), qt.Equals, 100)
	}
}

func TestBelief(t *testing.T) {
	c := qt.New(t)
	b := prefixcache.NewBelief()
	c.Assert(b.Empty(), qt.IsTrue)
	c.Assert(b.Held(prompt(1, 2), 0, 1000, 0), qt.Equals, 0.0)
	c.Assert(b.Held(prompt(1, 2), 0, 1000, 0.5), qt.Equals, 50.0) // another entry may have sent the shared part
	b.Record(prompt(1, 2), 100, 1000)
	c.Assert(b.Held(prompt(1, 2), 100, 1000, 0), qt.Equals, 200.0)
	c.Assert(b.Held(prompt(1, 3), 100, 1000, 0), qt.Equals, 100.0)
	c.Assert(b.Held(prompt(3, 2), 100, 1000, 0), qt.Equals, 0.0)    // a part counts only after those before it
	c.Assert(b.Held(prompt(1, 2), 1100, 1000, 0), qt.Equals, 100.0) // as much was read as the memory holds
	c.Assert(b.Held(prompt(1, 2), 1100, 500, 0), qt.Equals, 0.0)    // running requests take half of the memory
	c.Assert(b.Held(prompt(1, 2), 1700, 1000, 0), qt.Equals, 0.0)
	b.Record(prompt(4), 1700, 1000)
	c.Assert(b.Held(prompt(1, 2), 100, 1000, 0), qt.Equals, 0.0) // parts that are surely evicted are dropped
	b.Forget()
	c.Assert(b.Empty(), qt.IsTrue)
}
