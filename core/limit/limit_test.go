package limit_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"sequoialead"
	"sequoialead/core/limit"
)

func options() limit.Options { return limit.Options{MaxLimit: 16, ColdLimit: 2, WarmUp: true} }

func boot(id string) sequoialead.Boot { return sequoialead.Boot{ID: id} }

func TestLimitDoublesPerRoundOfSuccesses(t *testing.T) {
	c := qt.New(t)
	l := limit.New(options())
	now := time.Unix(0, 0)
	l.Confirm(now, boot("a"))
	var limits []int
	for range 2 + 4 + 8 {
		l.Done(l.Start(now), true, time.Millisecond)
		limits = append(limits, l.Limit())
	}
	c.Assert(limits, qt.DeepEquals, []int{2, 4, 4, 4, 4, 8, 8, 8, 8, 8, 8, 8, 8, 16})
}

// A configuration with a higher limit does not make a cold backend server count as
// warm. This happens when an agent starts with the default limits of 1 and then
// receives its first configuration.
func TestConfigureKeepsColdLimit(t *testing.T) {
	c := qt.New(t)
	l := limit.New(limit.Options{MaxLimit: 1, ColdLimit: 1, WarmUp: true})
	l.Confirm(time.Unix(0, 0), boot("a"))
	l.Configure(options())
	c.Assert(l.Limit(), qt.Equals, 2)
}

func TestSignOfRestartResetsLimit(t *testing.T) {
	tests := []struct {
		desc string
		sign func(l *limit.Limit, now time.Time)
	}{
		{"another boot", func(l *limit.Limit, now time.Time) { l.Confirm(now, boot("b")) }},
		{"another model", func(l *limit.Limit, now time.Time) { l.Confirm(now, sequoialead.Boot{ID: "a", Model: "m"}) }},
		{"suspicion", func(l *limit.Limit, _ time.Time) { l.SuspectRestart() }},
		{"service times jump", func(l *limit.Limit, now time.Time) {
			for range 16 {
				l.Done(l.Start(now), true, time.Second)
			}
		}},
	}
	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			c := qt.New(t)
			l := limit.New(options())
			now := time.Unix(0, 0)
			l.Confirm(now, boot("a"))
			for range 14 {
				l.Done(l.Start(now), true, time.Millisecond)
			}
			c.Assert(l.Limit(), qt.Equals, 16)
			tt.sign(l, now.Add(time.Second))
			c.Assert(l.Limit(), qt.Equals, 2)
		})
	}
}

// Runs random operations against a model of a backend server that restarts at any
// time without notice. The server is never sent more calls than it can run at once.
func TestNoOverloadAfterUnnoticedRestart(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		opts := options()
		opts.ColdLimit = rapid.IntRange(1, 4).Draw(t, "cold")
		l := limit.New(opts)
		now := time.Unix(0, 0)
		boots, capacity, successes := 0, opts.ColdLimit, 0
		type sentCall struct {
			ticket *limit.Ticket
			boot   int
		}
		var running []sentCall
		currentBoot := func() sequoialead.Boot { return boot(string(rune('a' + boots))) }
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			now = now.Add(time.Millisecond)
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0, 1, 2:
				if l.HasCapacity() && l.CanSendUnconfirmed() {
					running = append(running, sentCall{l.Start(now), boots})
				}
			case 3:
				l.Confirm(now, currentBoot())
			case 4:
				if len(running) == 0 {
					continue
				}
				i := rapid.IntRange(0, len(running)-1).Draw(t, "which")
				s := running[i]
				running = append(running[:i], running[i+1:]...)
				success := s.boot == boots
				if success {
					if successes++; successes >= capacity {
						capacity, successes = min(2*capacity, opts.MaxLimit), 0
					}
				}
				l.Done(s.ticket, success, time.Millisecond)
			case 5:
				if rapid.IntRange(0, 9).Draw(t, "restart") == 0 {
					boots++
					capacity, successes = opts.ColdLimit, 0
				}
			}
			current := 0
			for _, s := range running {
				if s.boot == boots {
					current++
				}
			}
			if current > capacity {
				t.Fatalf("the backend server runs %d calls but can run only %d", current, capacity)
			}
		}
	})
}
