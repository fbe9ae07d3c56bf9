package storegate_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"sequoialead/core/storegate"
)

func TestAttemptsDuringOutage(t *testing.T) {
	options := storegate.Options{Min: 50 * time.Millisecond, Max: 400 * time.Millisecond, Limit: 1500 * time.Millisecond}
	const outage = 30 * time.Second
	tests := []struct {
		desc  string
		ahead int
		// slowest is the longest time between two attempts.
		slowest time.Duration
	}{
		{"an entry that reads for others finds the store soon after its return", 0, 400 * time.Millisecond * 3 / 2},
		{"an entry with a reader leaves the attempts to it", 4, 1500 * time.Millisecond},
	}
	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			c := qt.New(t)
			g := storegate.New(options)
			start := time.Unix(0, 0)
			c.Assert(g.Allow(start, tt.ahead), qt.IsTrue)
			g.Failed(start, tt.ahead)
			attempts, last := 0, start
			for now := start; now.Before(start.Add(outage)); now = now.Add(time.Millisecond) {
				for range 3 { // topics
					if g.Allow(now, tt.ahead) {
						g.Failed(now, tt.ahead)
						attempts++
						c.Assert(now.Sub(last) <= tt.slowest+time.Millisecond, qt.IsTrue, qt.Commentf("%s", now.Sub(last)))
						last = now
					}
				}
			}
			// Backoff waits for at least half of its interval, and the intervals before
			// the longest one allow a few attempts more.
			shortest := min(options.Max/2*time.Duration(1+tt.ahead), options.Limit)
			c.Assert(attempts <= int(outage/shortest)+6, qt.IsTrue, qt.Commentf("%d attempts", attempts))
			wait := g.Wait(last)
			c.Assert(wait > 0, qt.IsTrue)
			c.Assert(g.Allow(last.Add(wait), tt.ahead), qt.IsTrue)
			c.Assert(g.Succeeded(), qt.IsTrue)
			c.Assert(g.Succeeded(), qt.IsFalse)
			c.Assert(g.Wait(last), qt.Equals, time.Duration(0))
			c.Assert(g.Allow(start, tt.ahead), qt.IsTrue)
		})
	}
}
