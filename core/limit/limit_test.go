package limit_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"sequoialead"
	"sequoialead/core/limit"
)

func options() limit.Options { return limit.Options{Full: 16, Cold: 2, Warm: true} }

func boot(id string) sequoialead.Boot { return sequoialead.Boot{ID: id} }

func TestLimitGrowsByRounds(t *testing.T) {
	c := qt.New(t)
	l := limit.New(options())
	now := time.Unix(0, 0)
	l.Confirm(now, boot("a"))
	var seen []int
	for range 2 + 4 + 8 {
		l.Done(l.Send(now), true, time.Millisecond)
		seen = append(seen, l.Limit())
	}
	c.Assert(seen, qt.DeepEquals, []int{2, 4, 4, 4, 4, 8, 8, 8, 8, 8, 8, 8, 8, 16})
}

// A first configuration must not make a cold backend server count as warm.
func TestConfigureDoesNotWarm(t *testing.T) {
	c := qt.New(t)
	l := limit.New(limit.Options{Full: 1, Cold: 1, Warm: true})
	l.Confirm(time.Unix(0, 0), boot("a"))
	l.Configure(options())
	c.Assert(l.Limit(), qt.Equals, 2)
}

func TestFallsBackToCold(t *testing.T) {
	tests := []struct {
		desc string
		sign func(l *limit.Limit, now time.Time)
	}{
		{"another boot", func(l *limit.Limit, now time.Time) { l.Confirm(now, boot("b")) }},
		{"another model", func(l *limit.Limit, now time.Time) { l.Confirm(now, sequoialead.Boot{ID: "a", Model: "m"}) }},
		{"suspicion", func(l *limit.Limit, _ time.Time) { l.Suspect() }},
		{"service times jump", func(l *limit.Limit, now time.Time) {
			for range 16 {
				l.Done(l.Send(now), true, time.Second)
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
				l.Done(l.Send(now), true, time.Millisecond)
			}
			c.Assert(l.Limit(), qt.Equals, 16)
			tt.sign(l, now.Add(time.Second))
			c.Assert(l.Limit(), qt.Equals, 2)
		})
	}
}

// Drives a limit against a backend server that restarts at any moment, and
// checks that it never gets more than it bears.
func TestNeverMoreThanColdAfterRestart(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		opts := options()
		opts.Cold = rapid.IntRange(1, 4).Draw(t, "cold")
		l := limit.New(opts)
		now := time.Unix(0, 0)
		life, bears, round := 0, opts.Cold, 0
		type sent struct {
			ticket *limit.Ticket
			life   int
		}
		var running []sent
		name := func() sequoialead.Boot { return boot(string(rune('a' + life))) }
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			now = now.Add(time.Millisecond)
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0, 1, 2:
				if l.Room() && l.Sure() {
					running = append(running, sent{l.Send(now), life})
				}
			case 3:
				l.Confirm(now, name())
			case 4:
				if len(running) == 0 {
					continue
				}
				i := rapid.IntRange(0, len(running)-1).Draw(t, "which")
				s := running[i]
				running = append(running[:i], running[i+1:]...)
				alive := s.life == life
				if alive {
					if round++; round >= bears {
						bears, round = min(2*bears, opts.Full), 0
					}
				}
				l.Done(s.ticket, alive, time.Millisecond)
			case 5:
				if rapid.IntRange(0, 9).Draw(t, "restart") == 0 {
					life++
					bears, round = opts.Cold, 0
				}
			}
			given := 0
			for _, s := range running {
				if s.life == life {
					given++
				}
			}
			if given > bears {
				t.Fatalf("the backend server runs %d calls and bears %d", given, bears)
			}
		}
	})
}
