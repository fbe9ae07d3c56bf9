package fold

import (
	"bytes"

	"github.com/fxamacker/cbor/v2"

	"sequoialead"
	"sequoialead/core/document"
	"sequoialead/core/frame"
)

// maxRelayPatches bounds the patches in one relay.
const maxRelayPatches = 64

// Relay returns the patches, or a snapshot, that a peer at the given version
// lacks. It reports false if there is nothing newer.
func (f *Fold) Relay(have sequoialead.Version) (frame.ConfigUpdate, bool) {
	if have >= f.version {
		return frame.ConfigUpdate{}, false
	}
	if _, ok := f.findPatch(have + 1); !ok {
		raw, err := f.EncodeSnapshot()
		if err != nil {
			return frame.ConfigUpdate{}, false
		}
		return frame.ConfigUpdate{Snapshot: raw}, true
	}
	var r frame.ConfigUpdate
	for _, accepted := range f.patches {
		if accepted.version > have && len(r.Patches) < maxRelayPatches {
			r.Patches = append(r.Patches, frame.AcceptedPatch{Raw: accepted.raw, Token: f.token(accepted.version, accepted.digest)})
		}
	}
	return r, true
}

// Learn applies newer versions from a peer, and reports whether the version
// changed. It never goes back to an older version. It rejects records that were
// not sealed with the fleet's key and patches that were not accepted, with an
// ErrProtocol.
func (f *Fold) Learn(r frame.ConfigUpdate) (bool, error) {
	changed := false
	if r.Snapshot != nil {
		s, ok := f.Snapshot(r.Snapshot)
		if !ok {
			return false, forgedError("snapshot")
		}
		updated, err := f.Restore(s, false)
		if err != nil {
			return false, err
		}
		changed = updated
	}
	for _, accepted := range r.Patches {
		updated, err := f.learnPatch(accepted)
		if err != nil {
			return changed, err
		}
		changed = changed || updated
	}
	return changed, nil
}

func (f *Fold) learnPatch(accepted frame.AcceptedPatch) (bool, error) {
	env, ok := f.openRecord(accepted.Raw)
	if !ok || env.Purpose != purposePatch {
		return false, forgedError("patch")
	}
	var p sequoialead.Patch
	if err := cbor.Unmarshal(env.Body, &p); err != nil {
		return false, sequoialead.ErrProtocol.Wrap(err, "a peer's patch cannot be decoded; update this process")
	}
	if p.Base != f.version {
		return false, nil
	}
	if p.BaseDigest != f.digest || !bytes.Equal(accepted.Token, f.token(p.Base+1, chainDigest(f.digest, accepted.Raw))) {
		return false, forgedError("patch")
	}
	doc, conf, err := f.applyChanges(p.Changes)
	if err != nil {
		return false, sequoialead.ErrInvalid.Wrap(err, "version %d is not valid for this process; update it", p.Base+1)
	}
	f.advance(p, accepted.Raw, doc, conf)
	return true, nil
}

func forgedError(what string) error {
	return sequoialead.ErrProtocol.New("a peer sent a %s that the fleet did not accept; check 'fleet' in its settings", what)
}

// At returns the raw configuration at a version. The error is ErrInvalid if the
// version is newer than the current one, or the patches since it are no longer
// kept.
func (f *Fold) At(v sequoialead.Version) (*document.Document, error) {
	if v == f.version {
		return f.doc, nil
	}
	if len(f.patches) == 0 || v > f.version || v+1 < f.patches[0].version {
		return nil, sequoialead.ErrInvalid.New("version %d is not held here; the current one is %d, see 'sequoialead audit' for the changes between", v, f.version)
	}
	doc := f.oldest
	for _, accepted := range f.patches {
		if accepted.version <= v {
			doc = doc.Apply(accepted.patch.Changes)
		}
	}
	return doc, nil
}
