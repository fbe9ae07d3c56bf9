package configlog_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/google/uuid"
	"pgregory.net/rapid"

	"sequoialead"
	"sequoialead/core/configlog"
	"sequoialead/core/mac"
	"sequoialead/core/protocol"
)

const key = "0123456789abcdef"

type fataler interface{ Fatalf(string, ...any) }

func newState(t fataler, key string) *configlog.State {
	signer, err := mac.New(key)
	if err != nil {
		t.Fatalf("signer: %v", err)
	}
	st, err := configlog.New(signer)
	if err != nil {
		t.Fatalf("state: %v", err)
	}
	return st
}

// newPatch returns the signed record of a patch to the current version of st.
func newPatch(t fataler, st *configlog.State, id byte, changes ...sequoialead.Change) []byte {
	raw, err := st.EncodePatch(sequoialead.Patch{
		ID:         uuid.UUID{id},
		Author:     "mere",
		Base:       st.Version(),
		BaseDigest: st.Digest(),
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

func verdicts(st *configlog.State) []sequoialead.Verdict {
	var all []sequoialead.Verdict
	for _, a := range st.Audits() {
		all = append(all, a.Verdict)
	}
	return all
}

func TestVerdicts(t *testing.T) {
	c := qt.New(t)
	st := newState(t, key)
	first := newPatch(t, st, 1, evacuate("a"))
	conflicting := newPatch(t, st, 2, evacuate("b"))
	st.Add(record(0, first))
	st.Add(record(1, conflicting))
	st.Add(record(2, first))
	st.Add(record(3, newPatch(t, st, 3, sequoialead.Change{Section: "pool.x", Key: "full", Value: "none"})))
	other := newState(t, key)
	other.Add(record(0, newPatch(t, other, 5, evacuate("z"))))
	st.Add(record(4, newPatch(t, other, 6, evacuate("y"))))
	st.Add(record(5, newPatch(t, newState(t, "another key of 16 bytes"), 4, evacuate("c"))))
	c.Assert(verdicts(st), qt.DeepEquals, []sequoialead.Verdict{
		sequoialead.VerdictAccepted, sequoialead.VerdictConflict, sequoialead.VerdictDuplicate,
		sequoialead.VerdictInvalid, sequoialead.VerdictConflict, sequoialead.VerdictForged,
	})
	c.Assert(st.Version(), qt.Equals, sequoialead.Version(1))
	c.Assert(st.Config().EvacuatedDomains, qt.DeepEquals, map[string]bool{"a": true})
}

func TestApplyUpdateRejectsPatchesNotAccepted(t *testing.T) {
	c := qt.New(t)
	st := newState(t, key)
	acceptedRaw := newPatch(t, st, 1, evacuate("a"))
	conflicting := newPatch(t, st, 2, evacuate("b"))
	st.Add(record(0, acceptedRaw))
	update, ok := st.UpdateSince(0)
	c.Assert(ok, qt.IsTrue)

	fresh := newState(t, key)
	forged := protocol.ConfigUpdate{Patches: []protocol.AcceptedPatch{{Raw: conflicting, Token: update.Patches[0].Token}}}
	_, err := fresh.ApplyUpdate(forged)
	c.Assert(err, qt.ErrorMatches, ".*did not accept.*")
	c.Assert(fresh.Version(), qt.Equals, sequoialead.Version(0))

	changed, err := fresh.ApplyUpdate(update)
	c.Assert(err, qt.IsNil)
	c.Assert(changed, qt.IsTrue)
	c.Assert(fresh.Digest(), qt.Equals, st.Digest())
}

func TestSnapshotNeverReverts(t *testing.T) {
	c := qt.New(t)
	st := newState(t, key)
	st.Add(record(0, newPatch(t, st, 1, evacuate("a"))))
	raw, err := st.EncodeSnapshot()
	c.Assert(err, qt.IsNil)
	st.Add(record(1, newPatch(t, st, 2, evacuate("b"))))
	old, ok := st.DecodeSnapshot(raw)
	c.Assert(ok, qt.IsTrue)
	changed, err := st.Restore(old, true)
	c.Assert(err, qt.IsNil)
	c.Assert(changed, qt.IsFalse)
	c.Assert(st.Version(), qt.Equals, sequoialead.Version(2))
}

func TestAtReplaysEarlierVersions(t *testing.T) {
	c := qt.New(t)
	st := newState(t, key)
	for i := range configlog.MaxPatches + 10 {
		st.Add(record(uint64(i), newPatch(t, st, byte(i), evacuate(fmt.Sprint("d", i%7)))))
	}
	last, err := st.At(st.Version())
	c.Assert(err, qt.IsNil)
	c.Assert(last.String(), qt.Equals, st.Document().String())
	early, err := st.At(9 + 1)
	c.Assert(err, qt.IsNil)
	c.Assert(early.Sections(), qt.HasLen, 7)
	_, err = st.At(3)
	c.Assert(err, qt.ErrorMatches, ".*not held here.*")
}

// cluster is a log with processes that follow it.
type cluster struct {
	t      *rapid.T
	log    []sequoialead.Record
	states []*configlog.State
	// patches holds the signed patches written so far.
	patches [][]byte
	digests map[sequoialead.Version]sequoialead.Digest
}

func (w *cluster) appendRecord(raw []byte) { w.log = append(w.log, record(uint64(len(w.log)), raw)) }

func (w *cluster) any(label string) *configlog.State {
	return w.states[rapid.IntRange(0, len(w.states)-1).Draw(w.t, label)]
}

// step performs a random action of one process.
func (w *cluster) step(n int, st *configlog.State) {
	switch rapid.IntRange(0, 6).Draw(w.t, "step") {
	case 0, 1:
		raw := newPatch(w.t, st, byte(n), evacuate(fmt.Sprint(n)))
		w.patches = append(w.patches, raw)
		w.appendRecord(raw)
	case 2:
		if len(w.patches) > 0 {
			w.appendRecord(w.patches[rapid.IntRange(0, len(w.patches)-1).Draw(w.t, "again")])
		}
	case 3, 4:
		if next := st.Next(); next < uint64(len(w.log)) {
			st.Add(w.log[next])
		}
	case 5:
		if r, ok := w.any("other").UpdateSince(st.Version()); ok {
			if _, err := st.ApplyUpdate(r); err != nil {
				w.t.Fatalf("update: %v", err)
			}
		}
	case 6:
		w.snapshot(st)
	}
}

// snapshot writes a snapshot and starts a new process from it.
func (w *cluster) snapshot(st *configlog.State) {
	raw, err := st.EncodeSnapshot()
	if err != nil {
		w.t.Fatalf("snapshot: %v", err)
	}
	s, _ := st.DecodeSnapshot(raw)
	fresh := newState(w.t, key)
	if _, err := fresh.Restore(s, true); err != nil {
		w.t.Fatalf("restore: %v", err)
	}
	w.states = append(w.states, fresh)
	w.appendRecord(raw)
}

func (w *cluster) check() {
	for _, st := range w.states {
		if d, ok := w.digests[st.Version()]; ok && d != st.Digest() {
			w.t.Fatalf("version %d has two digests", st.Version())
		}
		w.digests[st.Version()] = st.Digest()
	}
}

// Processes write conflicting patches, repeat patches, read the log, send each
// other versions and start late from snapshots, in any order. All must agree on
// each version, and no process may go back to an older one.
func TestProcessesAgreeInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &cluster{t: t, digests: map[sequoialead.Version]sequoialead.Digest{}}
		w.states = []*configlog.State{newState(t, key), newState(t, key), newState(t, key)}
		for n := range rapid.IntRange(1, 60).Draw(t, "steps") {
			st := w.any("state")
			before := st.Version()
			w.step(n, st)
			if st.Version() < before {
				t.Fatalf("version decreased from %d to %d", before, st.Version())
			}
			w.check()
		}
		for _, st := range w.states {
			for st.Next() < uint64(len(w.log)) {
				st.Add(w.log[st.Next()])
			}
			if st.Version() != w.states[0].Version() || st.Digest() != w.states[0].Digest() {
				t.Fatalf("processes disagree after the whole log: one is at version %d, another at %d", st.Version(), w.states[0].Version())
			}
		}
	})
}
