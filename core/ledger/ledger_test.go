package ledger_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/google/uuid"

	"sequoialead"
	"sequoialead/core/ledger"
)

func item(kind ledger.Kind, attempt byte) ledger.Item {
	return ledger.Item{Kind: kind, Key: ledger.Digest{1}, Attempt: uuid.UUID{attempt}, Window: time.Minute, Outcome: sequoialead.OutcomeDone}
}

func holder(l *ledger.Ledger, at time.Time) byte {
	if h := l.Find(ledger.Digest{1}, at); h != nil {
		return h.Attempt[0]
	}
	return 0
}

func TestFirstClaimWins(t *testing.T) {
	tests := []struct {
		desc  string
		items []ledger.Item
		want  byte
	}{
		{"first of two", []ledger.Item{item(ledger.KindClaim, 1), item(ledger.KindClaim, 2)}, 1},
		{"copy of the first", []ledger.Item{item(ledger.KindClaim, 1), item(ledger.KindClaim, 1), item(ledger.KindClaim, 2)}, 1},
		{"second after a release", []ledger.Item{item(ledger.KindClaim, 1), item(ledger.KindRelease, 1), item(ledger.KindClaim, 2)}, 2},
		{"claim later than its own release", []ledger.Item{item(ledger.KindRelease, 1), item(ledger.KindClaim, 1)}, 0},
		{"another's release", []ledger.Item{item(ledger.KindClaim, 1), item(ledger.KindRelease, 2)}, 1},
		{"release after the end", []ledger.Item{item(ledger.KindClaim, 1), item(ledger.KindEnd, 1), item(ledger.KindRelease, 1)}, 1},
		{"second after the end", []ledger.Item{item(ledger.KindClaim, 1), item(ledger.KindEnd, 1), item(ledger.KindClaim, 2)}, 1},
	}
	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			c := qt.New(t)
			l := ledger.New(100)
			now := time.Unix(1000, 0)
			for _, i := range tt.items {
				l.Add(i, now)
			}
			c.Assert(holder(l, now), qt.Equals, tt.want)
		})
	}
}

func TestHoldingExpires(t *testing.T) {
	c := qt.New(t)
	l := ledger.New(100)
	now := time.Unix(1000, 0)
	l.Add(item(ledger.KindClaim, 1), now)
	l.Add(item(ledger.KindClaim, 2), now.Add(2*time.Minute))
	c.Assert(holder(l, now.Add(2*time.Minute)), qt.Equals, byte(2))
	l.Add(item(ledger.KindClaim, 3), now.Add(time.Hour))
	c.Assert(l.Len(), qt.Equals, 1)
}

func TestAnswersAreBounded(t *testing.T) {
	c := qt.New(t)
	l := ledger.New(10)
	now := time.Unix(1000, 0)
	for n := range byte(3) {
		i := item(ledger.KindClaim, n)
		i.Key = ledger.Digest{n}
		l.Add(i, now)
		i.Kind = ledger.KindEnd
		i.Answer = make([]byte, 4)
		l.Add(i, now)
	}
	c.Assert(l.Find(ledger.Digest{1}, now).Answer, qt.HasLen, 4)
	c.Assert(l.Find(ledger.Digest{2}, now).Ended, qt.IsTrue)
	c.Assert(l.Find(ledger.Digest{2}, now).Answer, qt.HasLen, 0)
}

// The answer of a key that is claimed again after its end leaves its room.
func TestExpiredAnswerLeavesItsRoom(t *testing.T) {
	c := qt.New(t)
	l := ledger.New(4)
	now := time.Unix(1000, 0)
	for n := range byte(3) {
		i := item(ledger.KindClaim, n+1)
		i.Window = time.Second
		l.Add(i, now)
		i.Kind = ledger.KindEnd
		i.Answer = make([]byte, 4)
		l.Add(i, now)
		c.Assert(l.Find(ledger.Digest{1}, now).Answer, qt.HasLen, 4)
		now = now.Add(2 * time.Second)
	}
}

// claimant is a process that claims the key, sends if it won, and then ends,
// or gives up and releases. Its claim may arrive at any later moment, or twice.
type claimant struct {
	id byte
	// step counts its own actions; copies counts arrivals of its claim.
	step, copies int
	sent, gaveUp bool
}

// Runs every order of the steps of three claimants, each of which may lose its
// claim on the way or give up at any step, and checks that the key is never
// used twice.
func TestEveryOrderRunsAtMostOnce(t *testing.T) {
	var orders int
	var explore func(log []ledger.Item, cs [3]claimant, depth int)
	explore = func(log []ledger.Item, cs [3]claimant, depth int) {
		orders++
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
				after := cs
				after[i] = next.claimant
				explore(append(log[:len(log):len(log)], next.items...), after, depth-1)
			}
		}
	}
	explore(nil, [3]claimant{{id: 1}, {id: 2}, {id: 3}}, 7)
	if orders < 10000 {
		t.Fatalf("only %d orders were tried", orders)
	}
}

type move struct {
	claimant claimant
	items    []ledger.Item
}

func moves(log []ledger.Item, c claimant) []move {
	var all []move
	if c.copies < 2 {
		next := c
		next.copies++
		all = append(all, move{next, []ledger.Item{item(ledger.KindClaim, c.id)}})
	}
	if !c.sent && !c.gaveUp {
		next := c
		next.gaveUp = true
		all = append(all, move{next, []ledger.Item{item(ledger.KindRelease, c.id)}})
	}
	l := ledger.New(100)
	now := time.Unix(1000, 0)
	for _, i := range log {
		l.Add(i, now)
	}
	if !c.sent && !c.gaveUp && holder(l, now) == c.id {
		next := c
		next.sent = true
		all = append(all, move{next, nil})
	}
	if c.sent && c.step == 0 {
		next := c
		next.step++
		all = append(all, move{next, []ledger.Item{item(ledger.KindEnd, c.id)}})
	}
	return all
}
