package room_test

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"sequoialead/core/room"
)

// roomPlay is what came of pieces made at one server with little room.
type roomPlay struct{ made, refused int }

// play makes pieces for a minute at a server whose results are larger than configured, and
// are held for half a second each. A call of up to 10 pieces is sent whenever the account
// shows room for at least one; a refusal pauses the server for 60 ms.
func play(seed uint64, oversize float64, usable func(now time.Time) int, refused func(held int, now time.Time)) roomPlay {
	const nominal, configured, callTime, hold = 800, 12_000, 320 * time.Millisecond, 500 * time.Millisecond
	type result struct {
		until time.Time
		bytes float64
	}
	random := rand.New(rand.NewPCG(seed, 1))
	var held []result
	p := roomPlay{}
	begin := time.Unix(1000, 0)
	for now := begin; now.Sub(begin) < time.Minute; {
		kept := held[:0]
		real := 0.0
		for _, r := range held {
			if now.Before(r.until) {
				kept = append(kept, r)
				real += r.bytes
			}
		}
		held = kept
		spare := (usable(now) - len(held)*nominal) / nominal
		pieces := min(spare, 10)
		if pieces <= 0 {
			now = now.Add(20 * time.Millisecond)
			continue
		}
		full := 0
		end := now.Add(callTime)
		for range pieces {
			bytes := nominal * oversize * math.Exp(0.3*random.NormFloat64())
			if real+bytes > configured {
				full++
				continue
			}
			real += bytes
			held = append(held, result{until: end.Add(hold), bytes: bytes})
			p.made++
		}
		now = end
		if full > 0 {
			p.refused += full
			refused(len(held)*nominal, now)
			now = now.Add(60 * time.Millisecond)
		}
	}
	return p
}

// Results that are larger than configured were refused again and again, as the account
// showed room for them.
func TestRefusalsReduceUsedRoom(t *testing.T) {
	const configured = 12_000
	for _, oversize := range []float64{1, 1.2, 1.5} {
		without, with := roomPlay{}, roomPlay{}
		for seed := range uint64(5) {
			var u room.Usable
			a := play(seed, oversize, func(time.Time) int { return configured }, func(int, time.Time) {})
			b := play(seed, oversize, func(now time.Time) int { return u.Bytes("s", configured, now) }, func(held int, now time.Time) { u.RecordRefusal("s", held, configured, now) })
			without.made, without.refused = without.made+a.made, without.refused+a.refused
			with.made, with.refused = with.made+b.made, with.refused+b.refused
		}
		t.Logf("results of %.1f times the size: without %d made, %d refused; with %d made, %d refused", oversize, without.made, without.refused, with.made, with.refused)
		c := qt.New(t)
		c.Check(2*with.refused < without.refused, qt.IsTrue)
		c.Check(float64(with.made) > 0.95*float64(without.made), qt.IsTrue)
	}
}

// Whatever is refused, a server keeps a part of its room, and all of it comes back.
func TestRoomComesBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var u room.Usable
		now := time.Unix(1000, 0)
		for range rapid.IntRange(0, 20).Draw(t, "refusals") {
			now = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "pause")) * time.Millisecond)
			u.RecordRefusal("s", rapid.IntRange(-10, 2000).Draw(t, "held"), rapid.IntRange(0, 1000).Draw(t, "configured"), now)
			if got := u.Bytes("s", 1000, now); got < 250 || got > 1000 {
				t.Fatalf("%d of 1000 bytes usable", got)
			}
			if got := u.Bytes("other", 1000, now); got != 1000 {
				t.Fatalf("%d of 1000 bytes usable at another server", got)
			}
		}
		if got := u.Bytes("s", 1000, now.Add(15*time.Second)); got != 1000 {
			t.Fatalf("%d of 1000 bytes usable after 15 s", got)
		}
	})
}

// Inputs that were freed before they were read failed their requests.
func TestInputsAreFreedOnlyAfterTheyWereRead(t *testing.T) {
	now := time.Unix(1000, 0)
	tests := []struct {
		desc string
		call room.Call
		wait time.Duration
		ok   bool
	}{
		{"alone", room.Call{Alone: true, CallTime: 400 * time.Millisecond, Now: now}, 200 * time.Millisecond, true},
		{"a slow server", room.Call{Alone: true, CallTime: 2 * time.Second, Now: now}, time.Second, true},
		{"behind others", room.Call{CallTime: 400 * time.Millisecond, Now: now}, 0, false},
		{"a call has failed", room.Call{Alone: true, CallTime: 400 * time.Millisecond, FailedAt: now.Add(-time.Second), Now: now}, 0, false},
		{"a call failed long ago", room.Call{Alone: true, CallTime: 400 * time.Millisecond, FailedAt: now.Add(-time.Minute), Now: now}, 200 * time.Millisecond, true},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			wait, ok := room.FreeInputsAfter(test.call)
			qt.Check(t, ok, qt.Equals, test.ok)
			qt.Check(t, wait, qt.Equals, test.wait)
		})
	}
}
