package quarantine_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"sequoialead"
	"sequoialead/core/quarantine"
)

const (
	deadly = 0xdead
	// spread is the time within which entries read each other's records.
	spread = 3 * time.Second
)

// fleet is a number of entries on one clock, which read each other's records on Share.
type fleet struct {
	now     time.Time
	entries []*quarantine.Quarantine
	last    uint64
	crashes int
}

func newFleet(entries int) *fleet {
	f := &fleet{now: time.Unix(1000, 0)}
	for i := range entries {
		f.entries = append(f.entries, f.start(i))
	}
	return f
}

// start returns the quarantine of a new process of an entry.
func (f *fleet) start(i int) *quarantine.Quarantine {
	now := func() time.Time { return f.now }
	return quarantine.New(quarantine.Options{Entry: fmt.Sprintf("e%d", i), Metrics: metrics.NewSet(), Now: now, Wall: now, Spread: spread})
}

// prompt returns a prompt with the given parts and a last one of its own.
func (f *fleet) prompt(ids ...uint64) []sequoialead.PromptPart {
	f.last++
	var parts []sequoialead.PromptPart
	for _, id := range append(ids, 1_000_000+f.last) {
		parts = append(parts, sequoialead.PromptPart{ID: id, Tokens: 10})
	}
	return parts
}

// crash ends a server under a request of an entry, and the server starts again.
func (f *fleet) crash(entry, server int, ids ...uint64) {
	f.crashWith(entry, server, true, ids...)
	f.crashes++
}

// crashWith reports a suspect of the server's present process.
func (f *fleet) crashWith(entry, server int, begun bool, ids ...uint64) {
	f.entries[entry].RecordCrash(sequoialead.Server{ID: fmt.Sprintf("s%d", server), StartedAt: time.Unix(int64(f.crashes), 0)}, f.prompt(ids...), begun)
}

func (f *fleet) answer(entry int, ids ...uint64) {
	f.entries[entry].RecordAnswer(f.prompt(ids...), f.now)
}

func (f *fleet) held(entry int, ids ...uint64) bool {
	f.entries[entry].Refresh()
	return !f.entries[entry].Check(f.prompt(ids...)).IsZero()
}

func (f *fleet) share(t testing.TB) {
	t.Helper()
	records := make([][]byte, len(f.entries))
	for i, e := range f.entries {
		var err error
		records[i], err = e.Record()
		qt.Assert(t, err, qt.IsNil)
	}
	for _, e := range f.entries {
		for i, r := range records {
			qt.Assert(t, e.Apply(fmt.Sprintf("e%d", i), r), qt.IsNil)
		}
	}
}

func TestVerdicts(t *testing.T) {
	tests := []struct {
		desc string
		play func(f *fleet, wait func(time.Duration))
		want map[string][]uint64
		free map[string][]uint64
	}{
		{
			desc: "a part that crashes servers is held back, the others beside it are not",
			play: func(f *fleet, wait func(time.Duration)) {
				for s := range 3 {
					f.crash(0, s, 1, 2, deadly)
					wait(time.Second)
					f.answer(0, 1, 2)
				}
			},
			want: map[string][]uint64{"deadly": {1, 2, deadly}, "with other parts": {3, deadly}},
			free: map[string][]uint64{"sound": {1, 2}, "without parts": nil},
		},
		{
			desc: "servers that end at one moment have another cause",
			play: func(f *fleet, wait func(time.Duration)) {
				for s := range 10 {
					f.crash(0, s, 1, 2)
					wait(10 * time.Millisecond)
				}
			},
			free: map[string][]uint64{"sound": {1, 2}},
		},
		{
			desc: "one server that ends again and again may be faulty itself",
			play: func(f *fleet, wait func(time.Duration)) {
				for range 4 {
					f.crash(0, 0, 1, 2)
					wait(time.Second)
				}
			},
			free: map[string][]uint64{"sound": {1, 2}},
		},
		{
			desc: "unless it goes on",
			play: func(f *fleet, wait func(time.Duration)) {
				for range 5 {
					f.crash(0, 0, 1, deadly)
					wait(time.Second)
				}
			},
			want: map[string][]uint64{"deadly": {1, deadly}},
		},
		{
			desc: "a part that was answered in between is sound",
			play: func(f *fleet, wait func(time.Duration)) {
				for s := range 9 {
					f.crash(0, s, 1, 2)
					wait(time.Second)
					if s%2 == 1 {
						f.answer(0, 1, 2)
					}
				}
			},
			free: map[string][]uint64{"sound": {1, 2}},
		},
		{
			desc: "requests whose answers had not begun are not suspects beside one whose answer had",
			play: func(f *fleet, wait func(time.Duration)) {
				for s := range 3 {
					f.crashWith(0, s, false, 7, 8)
					f.crash(0, s, 1, deadly)
					wait(time.Second)
				}
			},
			want: map[string][]uint64{"deadly": {1, deadly}},
			free: map[string][]uint64{"waiting": {7, 8}},
		},
		{
			desc: "without the head of any answer all are suspects",
			play: func(f *fleet, wait func(time.Duration)) {
				for s := range 3 {
					f.crashWith(0, s, false, 1, deadly)
					f.crashWith(0, s, false, uint64(10+s), 8)
					f.crashes++
					wait(time.Second)
					f.answer(0, 1, 8)
				}
				wait(spread)
				f.entries[0].Refresh()
			},
			want: map[string][]uint64{"deadly": {1, deadly}},
			free: map[string][]uint64{"others": {10, 8}},
		},
		{
			desc: "a crash without the parts beside it narrows the verdict",
			play: func(f *fleet, wait func(time.Duration)) {
				for s := range 3 {
					f.crash(0, s, 1, 2, deadly)
					wait(time.Second)
				}
				f.crash(0, 3, 4, deadly)
			},
			want: map[string][]uint64{"deadly": {9, deadly}},
			free: map[string][]uint64{"sound": {1, 2}},
		},
		{
			desc: "parts that stand only beside the deadly one are not held back by themselves",
			play: func(f *fleet, wait func(time.Duration)) {
				for s := range 6 {
					f.crash(0, s, 1, 2, deadly)
					wait(time.Second)
				}
			},
			want: map[string][]uint64{"deadly": {1, 2, deadly}},
			free: map[string][]uint64{"key and first part": {1}, "both others": {1, 2}},
		},
		{
			desc: "a verdict ends some time after the last crash",
			play: func(f *fleet, wait func(time.Duration)) {
				for s := range 3 {
					f.crash(0, s, 1, deadly)
					wait(time.Second)
				}
				wait(5 * time.Minute)
			},
			free: map[string][]uint64{"deadly": {1, deadly}},
		},
		{
			desc: "crashes that lie far apart don't add up",
			play: func(f *fleet, wait func(time.Duration)) {
				for s := range 10 {
					f.crash(0, s, 1, 2)
					wait(20 * time.Second)
				}
			},
			free: map[string][]uint64{"sound": {1, 2}},
		},
		{
			desc: "two deadly parts are told apart",
			play: func(f *fleet, wait func(time.Duration)) {
				for s := range 6 {
					f.crash(0, s, 1, uint64(deadly+s%2))
					wait(time.Second)
					f.answer(0, 1)
				}
			},
			want: map[string][]uint64{"first": {1, deadly}, "second": {1, deadly + 1}},
			free: map[string][]uint64{"sound": {1}},
		},
	}
	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			c := qt.New(t)
			f := newFleet(1)
			tt.play(f, func(d time.Duration) { f.now = f.now.Add(d) })
			for name, ids := range tt.want {
				c.Assert(f.held(0, ids...), qt.IsTrue, qt.Commentf("%s", name))
			}
			for name, ids := range tt.free {
				c.Assert(f.held(0, ids...), qt.IsFalse, qt.Commentf("%s", name))
			}
		})
	}
}

// The last part belongs to one request or session, and is never the cause.
func TestLastPartIsNoSuspect(t *testing.T) {
	f := newFleet(1)
	for s := range 6 {
		f.entries[0].RecordCrash(sequoialead.Server{ID: fmt.Sprint(s)}, []sequoialead.PromptPart{{ID: deadly}}, true)
		f.now = f.now.Add(time.Second)
	}
	qt.Assert(t, f.held(0, deadly), qt.IsFalse)
}

// Each entry sees one crash; together they know the cause.
func TestEntriesShareEvidence(t *testing.T) {
	c := qt.New(t)
	f := newFleet(4)
	for s := range 3 {
		f.crash(s, s, 1, deadly)
		f.now = f.now.Add(time.Second)
		f.answer(s, 1)
	}
	for i := range f.entries {
		c.Assert(f.held(i, 1, deadly), qt.IsFalse)
	}
	f.share(t)
	for i := range f.entries {
		c.Assert(f.held(i, 1, deadly), qt.IsTrue, qt.Commentf("entry %d", i))
		c.Assert(f.held(i, 1), qt.IsFalse, qt.Commentf("entry %d", i))
	}
}

// All servers end one after the other under requests of entry 0, while entry 1 has sound
// ones waiting at each of them. Without servers nothing is answered, so that their first
// part was held back as well, and with it nearly all requests.
func TestPartsOfWaitingRequestsStayFree(t *testing.T) {
	c := qt.New(t)
	f := newFleet(3)
	for e := range f.entries {
		f.answer(e, 1)
	}
	f.now = f.now.Add(15 * time.Second)
	for s := range 9 {
		f.crashWith(1, s, false, 1, uint64(100+s))
		f.crashWith(2, s, false, 1, uint64(200+s))
		f.crash(0, s, 1, 2, deadly)
		f.now = f.now.Add(400 * time.Millisecond)
		if s%2 == 1 {
			f.share(t)
		}
	}
	for range 20 {
		f.now = f.now.Add(time.Second)
		f.share(t)
		for _, e := range f.entries {
			e.Refresh()
		}
	}
	for i := range f.entries {
		c.Assert(f.held(i, 1, 2, deadly), qt.IsTrue, qt.Commentf("entry %d", i))
		c.Assert(f.held(i, 1), qt.IsFalse, qt.Commentf("entry %d", i))
		c.Assert(f.held(i, 1, 2), qt.IsFalse, qt.Commentf("entry %d", i))
	}
}

// A part may begin to crash servers after a change of these, when it was answered before.
func TestAnsweredPartsCanBecomeDeadly(t *testing.T) {
	f := newFleet(2)
	f.answer(0, 1, deadly)
	for s := range 9 {
		f.now = f.now.Add(time.Second)
		if !f.held(0, 1, deadly) {
			f.crash(0, s, 1, deadly)
		}
		f.answer(0, 1)
	}
	qt.Assert(t, f.held(0, 1, deadly), qt.IsTrue)
	qt.Assert(t, f.held(0, 1), qt.IsFalse)
}

// An entry that starts has no evidence of its own, and the others' may be over.
func TestRestartedEntriesKnowVerdicts(t *testing.T) {
	c := qt.New(t)
	f := newFleet(3)
	for s := range 3 {
		f.crash(0, s, 1, deadly)
		f.now = f.now.Add(time.Second)
	}
	f.now = f.now.Add(time.Minute)
	own, err := f.entries[0].Record()
	c.Assert(err, qt.IsNil)
	for i := range 2 {
		f.entries[i] = f.start(i)
		c.Assert(f.entries[i].Apply("e0", own), qt.IsNil)
		c.Assert(f.held(i, 1, deadly), qt.IsTrue, qt.Commentf("entry %d", i))
	}
	again, err := f.entries[0].Record()
	c.Assert(err, qt.IsNil)
	c.Assert(f.entries[2].Apply("e0", again), qt.IsNil)
	c.Assert(f.held(2, 1, deadly), qt.IsTrue)
}

// An answer to a request that was under way when the verdict came shows that it is wrong.
func TestAnswerEndsVerdictEverywhere(t *testing.T) {
	c := qt.New(t)
	f := newFleet(3)
	for s := range 3 {
		f.crash(0, s, 1, 2)
		f.now = f.now.Add(time.Second)
	}
	f.share(t)
	f.now = f.now.Add(time.Second)
	f.answer(1, 1, 2)
	f.share(t)
	f.share(t)
	for i := range f.entries {
		c.Assert(f.held(i, 1, 2), qt.IsFalse, qt.Commentf("entry %d", i))
	}
}

// Entry 0 sees the crashes of a home server alone, the answers come by way of entry 1.
func TestVerdictIsNotTakenOverAgainstOwnAnswers(t *testing.T) {
	c := qt.New(t)
	f := newFleet(2)
	for s := range 3 {
		f.crash(0, s, 1, 2)
		f.now = f.now.Add(time.Second)
	}
	f.answer(1, 1, 2)
	f.share(t)
	c.Assert(f.held(1, 1, 2), qt.IsFalse)
}

// Whatever else crashes and whoever sees it, the deadly part is known three crashes after
// it could be, and no request without it is refused.
func TestDeadlyPartIsFound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(rapid.IntRange(1, 6).Draw(t, "entries"))
		pick := func(n int, name string) int { return rapid.IntRange(0, n-1).Draw(t, name) }
		crashes := 0
		for step := range 60 {
			f.now = f.now.Add(time.Duration(rapid.IntRange(300, 900).Draw(t, "pause")) * time.Millisecond)
			entry, server, first, second := pick(len(f.entries), "entry"), pick(9, "server"), uint64(1+pick(2, "first")), uint64(10+pick(4, "second"))
			for e := range f.entries {
				f.answer(e, 1, 10+uint64(step%4))
				f.answer(e, 2, 10+uint64((step+1)%4))
			}
			if step%3 == 0 && !f.held(entry, first, second, deadly) {
				crashes++
				f.crash(entry, server, first, second, deadly)
			}
			if step%10 == 5 {
				f.crash(entry, server, first, second)
			}
			f.shareRapid(t)
			for e := range f.entries {
				if f.held(e, first, second) {
					t.Fatalf("a sound request is held back at entry %d", e)
				}
			}
		}
		if crashes > 6 {
			t.Fatalf("%d crashes", crashes)
		}
	})
}

func (f *fleet) shareRapid(t *rapid.T) {
	for i, from := range f.entries {
		r, err := from.Record()
		if err != nil {
			t.Fatal(err)
		}
		for _, to := range f.entries {
			if err := to.Apply(fmt.Sprintf("e%d", i), r); err != nil {
				t.Fatal(err)
			}
		}
	}
}

func FuzzApply(f *testing.F) {
	seed := newFleet(1)
	for s := range 3 {
		seed.crash(0, s, 1, deadly)
		seed.now = seed.now.Add(time.Second)
	}
	raw, err := seed.entries[0].Record()
	qt.Assert(f, err, qt.IsNil)
	f.Add(raw)
	f.Add([]byte{0xa1, 0x02, 0x81, 0xa2, 0x01, 0x80, 0x02, 0x00})
	f.Add([]byte{0xff})
	f.Fuzz(func(t *testing.T, raw []byte) {
		fleet := newFleet(2)
		for _, e := range fleet.entries {
			_ = e.Apply("e1", raw) // may be invalid
		}
		fleet.share(t)
		qt.Assert(t, fleet.held(0), qt.IsFalse)
	})
}

func BenchmarkCheck(b *testing.B) {
	f := newFleet(1)
	for s := range 3 {
		f.crash(0, s, 1, deadly)
		f.now = f.now.Add(time.Second)
	}
	parts := f.prompt(1, 2, 3)
	b.ReportAllocs()
	for b.Loop() {
		f.entries[0].Check(parts)
	}
}

func BenchmarkRecordAnswerAfterManyCrashes(b *testing.B) {
	f := newFleet(1)
	for s := range 250 {
		f.crash(0, s, 1, uint64(100+s), uint64(500+s))
		f.now = f.now.Add(10 * time.Millisecond)
	}
	parts := f.prompt(1, 120, 520)
	for b.Loop() {
		f.now = f.now.Add(time.Microsecond)
		f.entries[0].RecordAnswer(parts, f.now)
	}
}
