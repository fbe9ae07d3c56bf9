package callerbudget_test

import (
	"net/netip"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"sequoialead/core/callerbudget"
)

type holding = callerbudget.Holding[int]

const megabyte = 1 << 20

func addr(n byte) netip.Addr { return netip.AddrFrom4([4]byte{10, 0, 0, n}) }

// machineLimits are those of a gateway with 144 MB and 1024 descriptors.
func machineLimits() callerbudget.Limits {
	return callerbudget.Limits{Conns: 288, Bytes: 57 * megabyte, BodyBytes: 36 * megabyte}
}

// replayFlood replays 200 clients that each send nine tenths of a body of 4 MB within a second and
// then stay, while every 50 ms an ordinary request with 20 KB arrives. It returns the most bytes held
// for bodies and how many of the ordinary requests were read.
func replayFlood(limits callerbudget.Limits) (peak int64, read, all int) {
	b := callerbudget.New[int](limits)
	type client struct {
		h      *holding
		closed bool
	}
	byOwner := map[int]*client{}
	end := func(list []*holding) {
		for _, h := range list {
			byOwner[h.Owner].closed = true
			b.Release(h, h.Bytes())
		}
	}
	open := func(owner int, now time.Duration) *client {
		h, ended := b.Open(owner, addr(1), now)
		if ended != nil {
			end([]*holding{ended})
		}
		if h == nil {
			return nil
		}
		byOwner[owner] = &client{h: h}
		return byOwner[owner]
	}
	var crowd []*client
	for n := range 200 {
		if c := open(n, 0); c != nil {
			b.Enter(c.h, callerbudget.StateBody, 0)
			crowd = append(crowd, c)
		}
	}
	const step = 50 * time.Millisecond
	for now := step; now < 4*time.Second; now += step {
		if now <= time.Second {
			for _, c := range crowd {
				if c.closed {
					continue
				}
				const part = 4 << 20 * 9 / 10 / 20
				ok, ended := b.Grow(c.h, part, now)
				end(ended)
				if !ok {
					c.closed = true
					b.Close(c.h)
					b.Release(c.h, c.h.Bytes())
					continue
				}
				b.Progress(c.h, part, now)
			}
		}
		all++
		if c := open(1000+all, now); c != nil {
			b.Enter(c.h, callerbudget.StateBody, now)
			ok, ended := b.Grow(c.h, 20<<10, now)
			end(ended)
			if ok {
				read++
			}
			b.Close(c.h)
			b.Release(c.h, c.h.Bytes())
		}
		peak = max(peak, b.Stats().BodyBytes)
	}
	return peak, read, all
}

// TestFloodOfOpenBodies replays the flood that ended a process. Without bounds its bodies take
// 720 MB.
func TestFloodOfOpenBodies(t *testing.T) {
	c := qt.New(t)
	without, _, _ := replayFlood(callerbudget.Limits{})
	peak, read, all := replayFlood(machineLimits())
	t.Logf("without: %d MB; with: %d MB, %d of %d ordinary requests read", without/megabyte, peak/megabyte, read, all)
	c.Assert(without > 700*megabyte, qt.IsTrue)
	c.Assert(peak <= machineLimits().BodyBytes, qt.IsTrue)
	c.Assert(read, qt.Equals, all)
}

// TestLeastDeservingEndsFirst guards against closing a connection with work while one without
// stands by.
func TestLeastDeservingEndsFirst(t *testing.T) {
	c := qt.New(t)
	b := callerbudget.New[int](callerbudget.Limits{Conns: 6})
	names := []string{"serving", "idle", "new", "head", "body", "stalled body"}
	states := []callerbudget.State{callerbudget.StateServing, callerbudget.StateIdle, callerbudget.StateNew, callerbudget.StateHead, callerbudget.StateBody, callerbudget.StateBody}
	const now = 10 * time.Second
	var body *holding
	for n, state := range states {
		h, _ := b.Open(n, addr(1), 0)
		if state != callerbudget.StateNew {
			b.Enter(h, state, 0)
		}
		if names[n] == "body" {
			body = h
		}
	}
	b.Progress(body, 1, now-100*time.Millisecond)
	var order []string
	for n := range 6 {
		opened, ended := b.Open(100+n, addr(1), now)
		if opened == nil {
			break
		}
		b.Enter(opened, callerbudget.StateServing, now)
		order = append(order, names[ended.Owner])
	}
	c.Assert(order, qt.DeepEquals, []string{"stalled body", "head", "new", "idle"})
}

// TestOneSourceYields guards against a source that holds all room with connections that make
// progress, and against refusing callers that all come from one address.
func TestOneSourceYields(t *testing.T) {
	c := qt.New(t)
	b := callerbudget.New[int](callerbudget.Limits{Conns: 10})
	for n := range 10 {
		opened, ended := b.Open(n, addr(1), 0)
		c.Assert(opened, qt.IsNotNil)
		c.Assert(ended, qt.IsNil)
	}
	opened, _ := b.Open(10, addr(1), 0)
	c.Assert(opened, qt.IsNil)
	for n := range 5 {
		opened, ended := b.Open(100+n, addr(2), 0)
		c.Assert(opened, qt.IsNotNil)
		c.Assert(ended.Owner, qt.Equals, n)
	}
	opened, _ = b.Open(200, addr(3), 0) // no source holds more than half now
	c.Assert(opened, qt.IsNil)
}

// TestLargeBodiesLeaveRoom guards against large bodies that make progress and leave no room for
// small ones.
func TestLargeBodiesLeaveRoom(t *testing.T) {
	c := qt.New(t)
	b := callerbudget.New[int](callerbudget.Limits{BodyBytes: 8 * megabyte})
	var large int64
	for n := range 20 {
		h, _ := b.Open(n, addr(1), 0)
		b.Enter(h, callerbudget.StateBody, 0)
		for ok := true; ok && large < 100*megabyte; {
			if ok, _ = b.Grow(h, 128<<10, 0); ok {
				large += 128 << 10
			}
		}
	}
	c.Assert(large, qt.Equals, int64(7*megabyte))
	h, _ := b.Open(100, addr(1), 0)
	b.Enter(h, callerbudget.StateBody, 0)
	ok, ended := b.Grow(h, 20<<10, 0)
	c.Assert(ok, qt.IsTrue)
	c.Assert(ended, qt.HasLen, 0)
}

// TestAnswersLeaveRoom guards against answers that are held back and take the room for new
// connections and bodies.
func TestAnswersLeaveRoom(t *testing.T) {
	c := qt.New(t)
	limits := machineLimits()
	b := callerbudget.New[int](limits)
	answers := 0
	for n := range limits.Conns / 2 {
		h, _ := b.Open(n, addr(1), 0)
		b.Enter(h, callerbudget.StateServing, 0)
		if ok, ended := b.Grow(h, 300<<10, 0); ok {
			answers++
		} else {
			c.Assert(ended, qt.HasLen, 0)
		}
	}
	c.Assert(answers > 100, qt.IsTrue, qt.Commentf("%d", answers))
	c.Assert(answers < limits.Conns/2, qt.IsTrue)
	for n := range limits.Conns / 2 {
		h, ended := b.Open(1000+n, addr(1), 0)
		c.Assert(h, qt.IsNotNil)
		c.Assert(ended, qt.IsNil)
		b.Enter(h, callerbudget.StateBody, 0)
		ok, _ := b.Grow(h, 60<<10, 0)
		c.Assert(ok, qt.IsTrue)
	}
}

// TestTimeLimits guards against bodies and heads that never end, and against ending a body that is
// slow but within the limits.
func TestTimeLimits(t *testing.T) {
	c := qt.New(t)
	limits := callerbudget.TimeLimits{New: 15 * time.Second, Idle: 15 * time.Second, Head: 4 * time.Second, BodyStall: 5 * time.Second, BodyGrace: 10 * time.Second, BodyRate: 8 << 10}
	b := callerbudget.New[int](callerbudget.Limits{})
	const (
		idle = iota
		head
		stalled
		trickling
		steady
		serving
	)
	open := func(owner int, state callerbudget.State) *holding {
		h, _ := b.Open(owner, addr(1), 0)
		b.Enter(h, state, 0)
		return h
	}
	open(idle, callerbudget.StateIdle)
	open(head, callerbudget.StateHead)
	open(stalled, callerbudget.StateBody)
	slow, quick := open(trickling, callerbudget.StateBody), open(steady, callerbudget.StateBody)
	open(serving, callerbudget.StateServing)
	first := map[int]time.Duration{}
	for now := time.Second; now <= 30*time.Second; now += time.Second {
		b.Progress(slow, 100, now)
		b.Progress(quick, 9<<10, now)
		for _, h := range b.Overdue(limits, now) {
			if _, ok := first[h.Owner]; !ok {
				first[h.Owner] = now
			}
		}
	}
	c.Assert(first, qt.DeepEquals, map[int]time.Duration{idle: 16 * time.Second, head: 5 * time.Second, stalled: 6 * time.Second, trickling: 11 * time.Second})
}

// TestAccountStaysWithinLimits plays random clients and checks that what is held stays within the
// limits, that no request that is being served ends, and that nothing is left at the end.
func TestAccountStaysWithinLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := callerbudget.Limits{Conns: 8, Bytes: 2 * megabyte, BodyBytes: megabyte}
		b := callerbudget.New[int](limits)
		var open []*holding
		now := time.Duration(0)
		end := func(list ...*holding) {
			for _, h := range list {
				if h.State() == callerbudget.StateServing {
					t.Fatalf("a request that is served was ended")
				}
				b.Release(h, h.Bytes())
				open = slices.DeleteFunc(open, func(o *holding) bool { return o == h })
			}
		}
		for n := range rapid.IntRange(1, 200).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 700).Draw(t, "ms")) * time.Millisecond
			step := rapid.IntRange(0, 5).Draw(t, "step")
			if step == 0 || len(open) == 0 {
				h, ended := b.Open(n, addr(byte(rapid.IntRange(1, 3).Draw(t, "source"))), now)
				if ended != nil {
					end(ended)
				}
				if h != nil {
					open = append(open, h)
				}
				continue
			}
			h := open[rapid.IntRange(0, len(open)-1).Draw(t, "which")]
			switch step {
			case 1, 2:
				_, ended := b.Grow(h, int64(rapid.IntRange(1, 300_000).Draw(t, "bytes")), now)
				end(ended...)
			case 3:
				b.Enter(h, callerbudget.State(rapid.IntRange(1, 4).Draw(t, "state")), now)
			case 4:
				b.Progress(h, 1000, now)
			case 5:
				b.Close(h)
				b.Release(h, h.Bytes())
				open = slices.DeleteFunc(open, func(o *holding) bool { return o == h })
			}
			held := b.Stats()
			if held.Conns > limits.Conns || held.Bytes > limits.Bytes || held.BodyBytes > limits.BodyBytes || held.Conns != len(open) {
				t.Fatalf("%+v is held for %d connections", held, len(open))
			}
		}
		for _, h := range open {
			b.Close(h)
			b.Release(h, h.Bytes())
		}
		if held := b.Stats(); held.Conns != 0 || held.Bytes != 0 || held.BodyBytes != 0 || held.Sources != 0 {
			t.Fatalf("%+v is left", held)
		}
	})
}
