package claimlog_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/google/uuid"

	"sequoialead"
	"sequoialead/core/claimlog"
)

func newItem(kind claimlog.Kind, attempt byte) claimlog.Item {
	return claimlog.Item{Kind: kind, Key: claimlog.Digest{1}, Attempt: uuid.UUID{attempt}, Window: time.Minute, Outcome: sequoialead.OutcomeDone}
}

func holder(s *claimlog.State, at time.Time) byte {
	if claim := s.Find(claimlog.Digest{1}, at); claim != nil {
		return claim.Attempt[0]
	}
	return 0
}

func TestFirstClaimWins(t *testing.T) {
	tests := []struct {
		desc  string
		items []claimlog.Item
		want  byte
	}{
		{"first of two", []claimlog.Item{newItem(claimlog.KindClaim, 1), newItem(claimlog.KindClaim, 2)}, 1},
		{"copy of the first", []claimlog.Item{newItem(claimlog.KindClaim, 1), newItem(claimlog.KindClaim, 1), newItem(claimlog.KindClaim, 2)}, 1},
		{"second after a release", []claimlog.Item{newItem(claimlog.KindClaim, 1), newItem(claimlog.KindRelease, 1), newItem(claimlog.KindClaim, 2)}, 2},
		{"claim later than its own release", []claimlog.Item{newItem(claimlog.KindRelease, 1), newItem(claimlog.KindClaim, 1)}, 0},
		{"another's release", []claimlog.Item{newItem(claimlog.KindClaim, 1), newItem(claimlog.KindRelease, 2)}, 1},
		{"release after the end", []claimlog.Item{newItem(claimlog.KindClaim, 1), newItem(claimlog.KindEnd, 1), newItem(claimlog.KindRelease, 1)}, 1},
		{"second after the end", []claimlog.Item{newItem(claimlog.KindClaim, 1), newItem(claimlog.KindEnd, 1), newItem(claimlog.KindClaim, 2)}, 1},
	}
	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			c := qt.New(t)
			s := claimlog.New(100)
			now := time.Unix(1000, 0)
			for _, i := range tt.items {
				s.Add(i, now)
			}
			c.Assert(holder(s, now), qt.Equals, tt.want)
		})
	}
}

func TestClaimExpires(t *testing.T) {
	c := qt.New(t)
	s := claimlog.New(100)
	now := time.Unix(1000, 0)
	s.Add(newItem(claimlog.KindClaim, 1), now)
	s.Add(newItem(claimlog.KindClaim, 2), now.Add(2*time.Minute))
	c.Assert(holder(s, now.Add(2*time.Minute)), qt.Equals, byte(2))
	s.Add(newItem(claimlog.KindClaim, 3), now.Add(time.Hour))
	c.Assert(s.Len(), qt.Equals, 1)
}

func TestAnswersAreBounded(t *testing.T) {
	c := qt.New(t)
	s := claimlog.New(10)
	now := time.Unix(1000, 0)
	for n := range byte(3) {
		i := newItem(claimlog.KindClaim, n)
		i.Key = claimlog.Digest{n}
		s.Add(i, now)
		i.Kind = claimlog.KindEnd
		i.Answer = make([]byte, 4)
		s.Add(i, now)
	}
	c.Assert(s.Find(claimlog.Digest{1}, now).Answer, qt.HasLen, 4)
	c.Assert(s.Find(claimlog.Digest{2}, now).Ended, qt.IsTrue)
	c.Assert(s.Find(claimlog.Digest{2}, now).Answer, qt.HasLen, 0)
}

// A new claim of an expired key frees the space of the key's recorded answer,
// even if no sweep has run since the expiry. Otherwise the next answer would not
// be recorded.
func TestExpiredAnswerFreesItsBytes(t *testing.T) {
	c := qt.New(t)
	s := claimlog.New(4)
	now := time.Unix(1000, 0)
	for n := range byte(3) {
		i := newItem(claimlog.KindClaim, n+1)
		i.Window = time.Second
		s.Add(i, now)
		i.Kind = claimlog.KindEnd
		i.Answer = make([]byte, 4)
		s.Add(i, now)
		c.Assert(s.Find(claimlog.Digest{1}, now).Answer, qt.HasLen, 4)
		now = now.Add(2 * time.Second)
	}
}

// claimant models a process that claims the key. If its claim is the first, it
// sends the call and then records the outcome. Until it has sent the call, it may
// release the key instead. Its claim reaches the log up to twice, at any time,
// also after the release.
type claimant struct {
	id byte
	// step is 1 once the end was recorded; copies is how often the claim has
	// reached the log.
	step, copies   int
	sent, released bool
}

// Runs every interleaving of up to 7 steps of three claimants, each of which may
// give up before it sends and whose claim may be delayed, duplicated or lost. At
// most one claimant sends in any of them.
func TestEveryInterleavingRunsAtMostOnce(t *testing.T) {
	var interleavings int
	var explore func(log []claimlog.Item, cs [3]claimant, depth int)
	explore = func(log []claimlog.Item, cs [3]claimant, depth int) {
		interleavings++
		sent := 0
		for _, c := range cs {
			if c.sent {
				sent++
			}
		}
		if sent > 1 {
			t.Fatalf("sent %d times after %v", sent, log)
		}
		if depth == 0 {
			return
		}
		for i, c := range cs {
			for _, next := range moves(log, c) {
				updated := cs
				updated[i] = next.claimant
				explore(append(log[:len(log):len(log)], next.items...), updated, depth-1)
			}
		}
	}
	explore(nil, [3]claimant{{id: 1}, {id: 2}, {id: 3}}, 7)
	if interleavings < 10000 {
		t.Fatalf("only %d interleavings were tried", interleavings)
	}
}

type move struct {
	claimant claimant
	items    []claimlog.Item
}

func moves(log []claimlog.Item, c claimant) []move {
	var all []move
	if c.copies < 2 {
		next := c
		next.copies++
		all = append(all, move{next, []claimlog.Item{newItem(claimlog.KindClaim, c.id)}})
	}
	if !c.sent && !c.released {
		next := c
		next.released = true
		all = append(all, move{next, []claimlog.Item{newItem(claimlog.KindRelease, c.id)}})
	}
	s := claimlog.New(100)
	now := time.Unix(1000, 0)
	for _, i := range log {
		s.Add(i, now)
	}
	if !c.sent && !c.released && holder(s, now) == c.id {
		next := c
		next.sent = true
		all = append(all, move{next, nil})
	}
	if c.sent && c.step == 0 {
		next := c
		next.step++
		all = append(all, move{next, []claimlog.Item{newItem(claimlog.KindEnd, c.id)}})
	}
	return all
}
