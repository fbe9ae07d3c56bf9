package configlog

import (
	"bytes"

	"github.com/fxamacker/cbor/v2"

	"sequoialead"
	"sequoialead/core/document"
	"sequoialead/core/protocol"
)

// maxUpdatePatches is the maximum number of patches in one update. If a peer lacks
// more, the update holds the oldest ones.
const maxUpdatePatches = 64

// UpdateSince returns the patches, or a snapshot, that a peer at the given version
// lacks. It reports false if there is nothing newer.
func (st *State) UpdateSince(have sequoialead.Version) (protocol.ConfigUpdate, bool) {
	if have >= st.version {
		return protocol.ConfigUpdate{}, false
	}
	if _, ok := st.findPatch(have + 1); !ok {
		raw, err := st.EncodeSnapshot()
		if err != nil {
			return protocol.ConfigUpdate{}, false
		}
		return protocol.ConfigUpdate{Snapshot: raw}, true
	}
	var update protocol.ConfigUpdate
	for _, accepted := range st.patches {
		if accepted.version > have && len(update.Patches) < maxUpdatePatches {
			update.Patches = append(update.Patches, protocol.AcceptedPatch{Raw: accepted.raw, Token: st.token(accepted.version, accepted.digest)})
		}
	}
	return update, true
}

// ApplyUpdate applies newer versions from a peer, and reports whether the version
// changed. It never goes back to an older version. The error is ErrProtocol for
// records that were not signed with the fleet's key, for patches that were not
// accepted and for patches that can't be decoded. It is ErrInvalid for versions
// that the peer accepts but this process does not, which happens if the software
// of this process is older.
func (st *State) ApplyUpdate(update protocol.ConfigUpdate) (bool, error) {
	changed := false
	if update.Snapshot != nil {
		s, ok := st.DecodeSnapshot(update.Snapshot)
		if !ok {
			return false, forgedError("snapshot")
		}
		updated, err := st.Restore(s, false)
		if err != nil {
			return false, err
		}
		changed = updated
	}
	for _, accepted := range update.Patches {
		updated, err := st.applyAcceptedPatch(accepted)
		if err != nil {
			return changed, err
		}
		changed = changed || updated
	}
	return changed, nil
}

func (st *State) applyAcceptedPatch(accepted protocol.AcceptedPatch) (bool, error) {
	env, ok := st.verifyRecord(accepted.Raw)
	if !ok || env.Purpose != purposePatch {
		return false, forgedError("patch")
	}
	var p sequoialead.Patch
	if err := cbor.Unmarshal(env.Body, &p); err != nil {
		return false, sequoialead.ErrProtocol.Wrap(err, "a peer's patch cannot be decoded; update this process")
	}
	if p.Base != st.version {
		return false, nil
	}
	if p.BaseDigest != st.digest || !bytes.Equal(accepted.Token, st.token(p.Base+1, chainDigest(st.digest, accepted.Raw))) {
		return false, forgedError("patch")
	}
	doc, conf, err := st.applyChanges(p.Changes)
	if err != nil {
		return false, sequoialead.ErrInvalid.Wrap(err, "version %d is not valid for this process; update it", p.Base+1)
	}
	st.advance(p, accepted.Raw, doc, conf)
	return true, nil
}

func forgedError(what string) error {
	return sequoialead.ErrProtocol.New("a peer sent a %s that the fleet did not accept; check 'fleet' in its settings", what)
}

// At returns the raw configuration at a version. The error is ErrInvalid if the
// version is newer than the current one, or the patches since it are no longer
// kept.
func (st *State) At(v sequoialead.Version) (*document.Document, error) {
	if v == st.version {
		return st.doc, nil
	}
	if len(st.patches) == 0 || v > st.version || v+1 < st.patches[0].version {
		return nil, sequoialead.ErrInvalid.New("version %d is not held here; the current one is %d, see 'sequoialead audit' for the changes between", v, st.version)
	}
	doc := st.oldest
	for _, accepted := range st.patches {
		if accepted.version <= v {
			doc = doc.Apply(accepted.patch.Changes)
		}
	}
	return doc, nil
}
