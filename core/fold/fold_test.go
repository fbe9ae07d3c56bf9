package fold_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/google/uuid"
	"pgregory.net/rapid"

	"sequoialead"
	"sequoialead/core/fold"
	"sequoialead/core/frame"
	"sequoialead/core/seal"
)

const key = "0123456789abcdef"

type fataler interface{ Fatalf(string, ...any) }

func newFold(t fataler, key string) *fold.Fold {
	sealer, err := seal.New(key)
	if err != nil {
		t.Fatalf("sealer: %v", err)
	}
	f, err := fold.New(sealer)
	if err != nil {
		t.Fatalf("fold: %v", err)
	}
	return f
}

// newPatch returns a patch of a fold's current version.
func newPatch(t fataler, f *fold.Fold, id byte, changes ...sequoialead.Change) []byte {
	raw, err := f.EncodePatch(sequoialead.Patch{
		ID:         uuid.UUID{id},
		Author:     "mere",
		Base:       f.Version(),
		BaseDigest: f.Digest(),
		Changes:    changes,
	})
	if err != nil {
		t.Fatalf("patch: %v", err)
	}
	return raw
}

func evacuate(domain string) sequoialead.Change {
	return sequoialead.Change{Section: "domain." + domain, Key: "state", Value: "out"}
}

func record(offset uint64, raw []byte) sequoialead.Record {
	return sequoialead.Record{Offset: offset, Time: time.Unix(int64(offset), 0), Data: raw}
}

func verdicts(f *fold.Fold) []sequoialead.Verdict {
	var all []sequoialead.Verdict
	for _, a := range f.Audits() {
		all = append(all, a.Verdict)
	}
	return all
}

func TestVerdicts(t *testing.T) {
	c := qt.New(t)
	f := newFold(t, key)
	first := newPatch(t, f, 1, evacuate("a"))
	rival := newPatch(t, f, 2, evacuate("b"))
	f.Add(record(0, first))
	f.Add(record(1, rival))
	f.Add(record(2, first))
	f.Add(record(3, newPatch(t, f, 3, sequoialead.Change{Section: "pool.x", Key: "full", Value: "none"})))
	other := newFold(t, key)
	other.Add(record(0, newPatch(t, other, 5, evacuate("z"))))
	f.Add(record(4, newPatch(t, other, 6, evacuate("y"))))
	f.Add(record(5, newPatch(t, newFold(t, "another key of 16 bytes"), 4, evacuate("c"))))
	c.Assert(verdicts(f), qt.DeepEquals, []sequoialead.Verdict{
		sequoialead.VerdictAccepted, sequoialead.VerdictConflict, sequoialead.VerdictDuplicate,
		sequoialead.VerdictInvalid, sequoialead.VerdictConflict, sequoialead.VerdictForged,
	})
	c.Assert(f.Version(), qt.Equals, sequoialead.Version(1))
	c.Assert(f.Config().Out, qt.DeepEquals, map[string]bool{"a": true})
}

func TestLearnRejectsPatchesNotAccepted(t *testing.T) {
	c := qt.New(t)
	f := newFold(t, key)
	winner := newPatch(t, f, 1, evacuate("a"))
	loser := newPatch(t, f, 2, evacuate("b"))
	f.Add(record(0, winner))
	relay, ok := f.Relay(0)
	c.Assert(ok, qt.IsTrue)

	fresh := newFold(t, key)
	forged := frame.ConfigUpdate{Patches: []frame.AcceptedPatch{{Raw: loser, Token: relay.Patches[0].Token}}}
	_, err := fresh.Learn(forged)
	c.Assert(err, qt.ErrorMatches, ".*did not accept.*")
	c.Assert(fresh.Version(), qt.Equals, sequoialead.Version(0))

	changed, err := fresh.Learn(relay)
	c.Assert(err, qt.IsNil)
	c.Assert(changed, qt.IsTrue)
	c.Assert(fresh.Digest(), qt.Equals, f.Digest())
}

func TestSnapshotNeverReverts(t *testing.T) {
	c := qt.New(t)
	f := newFold(t, key)
	f.Add(record(0, newPatch(t, f, 1, evacuate("a"))))
	raw, err := f.EncodeSnapshot()
	c.Assert(err, qt.IsNil)
	f.Add(record(1, newPatch(t, f, 2, evacuate("b"))))
	old, ok := f.Snapshot(raw)
	c.Assert(ok, qt.IsTrue)
	changed, err := f.Restore(old, true)
	c.Assert(err, qt.IsNil)
	c.Assert(changed, qt.IsFalse)
	c.Assert(f.Version(), qt.Equals, sequoialead.Version(2))
}

func TestAtReplaysEarlierVersions(t *testing.T) {
	c := qt.New(t)
	f := newFold(t, key)
	for i := range fold.MaxPatches + 10 {
		f.Add(record(uint64(i), newPatch(t, f, byte(i), evacuate(fmt.Sprint("d", i%7)))))
	}
	last, err := f.At(f.Version())
	c.Assert(err, qt.IsNil)
	c.Assert(last.String(), qt.Equals, f.Document().String())
	early, err := f.At(9 + 1)
	c.Assert(err, qt.IsNil)
	c.Assert(early.Sections(), qt.HasLen, 7)
	_, err = f.At(3)
	c.Assert(err, qt.ErrorMatches, ".*not held here.*")
}

// cluster is a log with processes that follow it.
type cluster struct {
	t     *rapid.T
	log   []sequoialead.Record
	folds []*fold.Fold
	// patches holds the sealed patches written so far.
	patches [][]byte
	digests map[sequoialead.Version]sequoialead.Digest
}

func (w *cluster) appendRecord(raw []byte) { w.log = append(w.log, record(uint64(len(w.log)), raw)) }

func (w *cluster) any(label string) *fold.Fold {
	return w.folds[rapid.IntRange(0, len(w.folds)-1).Draw(w.t, label)]
}

// step makes one process do a random action.
func (w *cluster) step(n int, f *fold.Fold) {
	switch rapid.IntRange(0, 6).Draw(w.t, "step") {
	case 0, 1:
		raw := newPatch(w.t, f, byte(n), evacuate(fmt.Sprint(n)))
		w.patches = append(w.patches, raw)
		w.appendRecord(raw)
	case 2:
		if len(w.patches) > 0 {
			w.appendRecord(w.patches[rapid.IntRange(0, len(w.patches)-1).Draw(w.t, "again")])
		}
	case 3, 4:
		if next := f.Next(); next < uint64(len(w.log)) {
			f.Add(w.log[next])
		}
	case 5:
		if r, ok := w.any("other").Relay(f.Version()); ok {
			if _, err := f.Learn(r); err != nil {
				w.t.Fatalf("learn: %v", err)
			}
		}
	case 6:
		w.snapshot(f)
	}
}

// snapshot writes a snapshot and starts a new process from it.
func (w *cluster) snapshot(f *fold.Fold) {
	raw, err := f.EncodeSnapshot()
	if err != nil {
		w.t.Fatalf("snapshot: %v", err)
	}
	s, _ := f.Snapshot(raw)
	fresh := newFold(w.t, key)
	if _, err := fresh.Restore(s, true); err != nil {
		w.t.Fatalf("restore: %v", err)
	}
	w.folds = append(w.folds, fresh)
	w.appendRecord(raw)
}

func (w *cluster) check() {
	for _, f := range w.folds {
		if d, ok := w.digests[f.Version()]; ok && d != f.Digest() {
			w.t.Fatalf("version %d has two digests", f.Version())
		}
		w.digests[f.Version()] = f.Digest()
	}
}

// Operators race; processes read the log, relay versions, start late from
// snapshots and repeat patches, in any order. All must agree on each version,
// and no process may go back to an older one.
func TestProcessesAgreeInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &cluster{t: t, digests: map[sequoialead.Version]sequoialead.Digest{}}
		w.folds = []*fold.Fold{newFold(t, key), newFold(t, key), newFold(t, key)}
		for n := range rapid.IntRange(1, 60).Draw(t, "steps") {
			f := w.any("fold")
			before := f.Version()
			w.step(n, f)
			if f.Version() < before {
				t.Fatalf("version decreased from %d to %d", before, f.Version())
			}
			w.check()
		}
		for _, f := range w.folds {
			for f.Next() < uint64(len(w.log)) {
				f.Add(w.log[f.Next()])
			}
			if f.Version() != w.folds[0].Version() || f.Digest() != w.folds[0].Digest() {
				t.Fatalf("processes disagree after the whole log: one is at version %d, another at %d", f.Version(), w.folds[0].Version())
			}
		}
	})
}
