package enginememory_test

import (
	"math"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"sequoialead"
	"sequoialead/core/enginememory"
)

func start() time.Time { return time.Unix(1000, 0) }

// prompt has a part that others may share and one of its own.
func prompt(sharedID uint64, shared, own, output int) sequoialead.Prompt {
	return sequoialead.Prompt{Input: shared + own, Output: output, Parts: []sequoialead.PromptPart{{ID: sharedID, Tokens: shared}, {ID: 1 << 60, Tokens: own}}}
}

// Parts that requests in flight share count once, and all of a request that may be generated.
func TestUsed(t *testing.T) {
	c := qt.New(t)
	e := enginememory.New()
	c.Assert(e.Need(prompt(1, 500, 100, 50)), qt.Equals, 650)
	e.Add(prompt(1, 500, 100, 50))
	c.Assert(e.Used(), qt.Equals, 650)
	c.Assert(e.Need(prompt(1, 500, 200, 50)), qt.Equals, 250)
	e.Add(prompt(1, 500, 200, 50))
	e.Add(prompt(2, 300, 10, 0))
	c.Assert(e.Used(), qt.Equals, 650+250+310)
	e.Remove(prompt(1, 500, 100, 50))
	c.Assert(e.Used(), qt.Equals, 500+250+310)
	e.Remove(prompt(1, 500, 200, 50))
	c.Assert(e.Used(), qt.Equals, 310)
}

// The estimate of others' requests comes from the engine's report, less this entry's own.
func TestOthers(t *testing.T) {
	c := qt.New(t)
	e := enginememory.New()
	_, known := e.Others(start())
	c.Assert(known, qt.IsFalse)
	e.Add(prompt(1, 500, 100, 50))
	e.RecordLoad(8, start())
	n, known := e.Others(start().Add(time.Second))
	c.Assert(known, qt.IsTrue)
	c.Assert(n, qt.Equals, 7)
	e.RecordLoad(0, start())
	n, _ = e.Others(start())
	c.Assert(n, qt.Equals, 0)
	_, known = e.Others(start().Add(time.Minute))
	c.Assert(known, qt.IsFalse)
}

func TestFits(t *testing.T) {
	const memory, mean, variance = 400_000, 6_000, 9e7
	tests := []struct {
		desc   string
		others int
		own    int
		size   int
		want   bool
	}{
		{"an empty engine takes a request that fills it", 0, 0, memory, true},
		{"a request is larger than the memory", 0, 0, memory + 1, false},
		{"own requests fill the memory", 0, 300_000, 100_001, false},
		{"own requests leave just enough", 0, 300_000, 100_000, true},
		{"a small request at an engine with much room", 30, 20_000, 2_000, true},
		{"a large request at an engine with much room", 20, 20_000, 60_000, true},
		{"a large request at an engine with little room", 45, 20_000, 60_000, false},
		{"a small request at an engine that is nearly full", 60, 20_000, 2_000, false},
		{"the others fill the memory several times", 500, 0, 1, false},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			e := enginememory.New()
			if test.own > 0 {
				e.Add(sequoialead.Prompt{Input: test.own})
			}
			e.RecordLoad(test.others+min(test.own, 1), start())
			got := e.Fits(sequoialead.Prompt{Input: test.size}, memory, mean, variance, 30, start().Add(100*time.Millisecond))
			qt.Assert(t, got, qt.Equals, test.want)
		})
	}
}

// What an entry has at an engine never exceeds its memory, whatever sizes callers state, and
// nothing is left once all requests have ended.
func TestOwnRequestsKeepWithinMemory(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const memory = 10_000
		e := enginememory.New()
		var running []sequoialead.Prompt
		sizes := rapid.OneOf(rapid.IntRange(0, 5_000), rapid.SampledFrom([]int{-1, math.MinInt, math.MaxInt}))
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			if len(running) > 0 && rapid.Bool().Draw(t, "end") {
				e.Remove(running[0])
				running = running[1:]
				continue
			}
			p := sequoialead.Prompt{Input: sizes.Draw(t, "input"), Output: sizes.Draw(t, "output")}
			for range rapid.IntRange(0, 3).Draw(t, "parts") {
				p.Parts = append(p.Parts, sequoialead.PromptPart{ID: rapid.Uint64Range(1, 4).Draw(t, "part"), Tokens: max(sizes.Draw(t, "tokens"), 0)})
			}
			if e.Fits(p, memory, 100, 10_000, 1, start()) {
				e.Add(p)
				running = append(running, p)
			}
			if e.Used() > memory || e.Used() < 0 {
				t.Fatalf("%d tokens are used", e.Used())
			}
		}
		for _, p := range running {
			e.Remove(p)
		}
		if e.Used() != 0 {
			t.Fatalf("%d tokens are left", e.Used())
		}
	})
}
