package callstart_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"sequoialead/core/callstart"
)

// The replay of the load is TestCallsStartEvenlyUnderLoad in core/batch.

// Calls are held back only under load, and never if one is full, an order was started, or one
// would be late because of it.
func TestStartAt(t *testing.T) {
	now := time.Unix(1000, 0)
	loaded := callstart.Group{
		Servers: 6, Calls: 4, StartedAt: now, CallTime: 300 * time.Millisecond, Configured: 450 * time.Millisecond, MaxBatch: 44, Orders: 2, Pieces: 10, DueAt: now.Add(time.Second),
	}
	tests := []struct {
		desc   string
		change func(g *callstart.Group)
		wait   time.Duration
	}{
		{"loaded", func(*callstart.Group) {}, 50 * time.Millisecond},
		{"few calls", func(g *callstart.Group) { g.Calls = 1 }, 0},
		{"a full call", func(g *callstart.Group) { g.Pieces = 40 }, 0},
		{"a started order", func(g *callstart.Group) { g.Started = true }, 0},
		{"an order is due", func(g *callstart.Group) { g.DueAt = now.Add(310 * time.Millisecond) }, 10 * time.Millisecond},
		{"an order is late otherwise", func(g *callstart.Group) { g.DueAt = now.Add(200 * time.Millisecond) }, 0},
		{"no order can be in time", func(g *callstart.Group) { g.DueAt = time.Time{} }, 50 * time.Millisecond},
		{"a slow server", func(g *callstart.Group) { g.CallTime, g.DueAt = 6*time.Second, time.Time{} }, 150 * time.Millisecond},
		{"the last call started long ago", func(g *callstart.Group) { g.StartedAt = now.Add(-time.Second) }, 0},
		{"no servers known", func(g *callstart.Group) { g.Servers = 0 }, 300 * time.Millisecond},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			g := loaded
			test.change(&g)
			qt.Check(t, max(callstart.StartAt(g).Sub(now), 0), qt.Equals, test.wait)
		})
	}
}
