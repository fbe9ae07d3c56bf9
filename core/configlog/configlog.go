// Package configlog computes the numbered versions of the configuration from the
// records of its log. Every process that applies the same records in order gets
// the same versions, so that no leader is needed.
package configlog

import (
	"bytes"
	"crypto/sha256"

	"github.com/fxamacker/cbor/v2"
	"github.com/google/uuid"

	"sequoialead"
	"sequoialead/core/config"
	"sequoialead/core/document"
	"sequoialead/core/mac"
)

// MaxPatches and maxAudits bound the accepted patches and the lines of the
// audit trail that a State keeps; older ones are dropped.
const (
	MaxPatches = 1024
	maxAudits  = 4096
)

const (
	purposePatch    = "patch"
	purposeSnapshot = "snapshot"
	purposeAccepted = "accepted"
)

// envelope is the encoding of a record in the log. Signature authenticates Purpose
// and Body with the fleet's key.
type envelope struct {
	Purpose   string `cbor:"1,keyasint"`
	Body      []byte `cbor:"2,keyasint"`
	Signature []byte `cbor:"3,keyasint"`
}

// acceptedPatch is an accepted patch, with the version that resulted from it.
type acceptedPatch struct {
	version sequoialead.Version
	patch   sequoialead.Patch
	// raw is the signed record of the patch, as it is in the log.
	raw []byte
	// digest is the digest of that version.
	digest sequoialead.Digest
}

// State is the configuration and its history after a prefix of the log's
// records. It is not safe for concurrent use.
type State struct {
	signer *mac.Signer
	// version never decreases.
	version   sequoialead.Version
	digest    sequoialead.Digest
	lastPatch uuid.UUID
	doc       *document.Document
	config    *config.Config
	// patches holds the latest accepted patches in order, without gaps. The current
	// version results from the last one.
	patches []acceptedPatch
	// oldest is the configuration that the first element of patches was applied
	// to.
	oldest *document.Document
	audits []sequoialead.Audit
	// next is the offset of the first record that has not been applied.
	next uint64
	// snapshotNextOffset is the NextOffset of the newest snapshot seen in the log.
	snapshotNextOffset uint64
}

// New returns the state before the first record, with an empty configuration of
// version 0.
func New(signer *mac.Signer) (*State, error) {
	doc := document.New()
	conf, err := config.Decode(doc)
	if err != nil {
		return nil, err
	}
	return &State{signer: signer, doc: doc, config: conf}, nil
}

// Version returns the current version.
func (st *State) Version() sequoialead.Version { return st.version }

// Digest returns the digest of the current version.
func (st *State) Digest() sequoialead.Digest { return st.digest }

// Document returns the raw configuration of the current version.
func (st *State) Document() *document.Document { return st.doc }

// Config returns the configuration of the current version.
func (st *State) Config() *config.Config { return st.config }

// Next returns the offset of the first record that has not been applied.
func (st *State) Next() uint64 { return st.next }

// SnapshotNextOffset returns the offset that follows the records contained in
// the newest snapshot in the log.
func (st *State) SnapshotNextOffset() uint64 { return st.snapshotNextOffset }

// Audits returns a copy of the audit trail, oldest first.
func (st *State) Audits() []sequoialead.Audit {
	return append([]sequoialead.Audit(nil), st.audits...)
}

// EncodePatch returns a patch as a signed record for the log.
func (st *State) EncodePatch(p sequoialead.Patch) ([]byte, error) {
	return st.encode(purposePatch, p)
}

func (st *State) encode(purpose string, value any) ([]byte, error) {
	body, err := cbor.Marshal(value)
	if err != nil {
		return nil, sequoialead.ErrInvalid.Wrap(err, "the %s cannot be encoded; report this as a defect", purpose)
	}
	raw, err := cbor.Marshal(envelope{Purpose: purpose, Body: body, Signature: st.signer.Sign(purpose, body)})
	if err != nil {
		return nil, sequoialead.ErrInvalid.Wrap(err, "the %s cannot be encoded; report this as a defect", purpose)
	}
	return raw, nil
}

// verifyRecord decodes a record, and reports whether its signature is valid.
func (st *State) verifyRecord(raw []byte) (envelope, bool) {
	var env envelope
	if err := cbor.Unmarshal(raw, &env); err != nil {
		return env, false
	}
	return env, st.signer.Verify(env.Purpose, env.Body, env.Signature)
}

// Add applies the next record of the log. Records must come in order and
// without gaps; to skip a gap, call Restore with a snapshot that covers it.
// Records that were applied before are ignored.
func (st *State) Add(record sequoialead.Record) {
	if record.Offset < st.next {
		return
	}
	st.next = record.Offset + 1
	audit := sequoialead.Audit{Offset: record.Offset, Time: record.Time}
	env, ok := st.verifyRecord(record.Data)
	if !ok {
		audit.Verdict = sequoialead.VerdictForged
		audit.Reason = "the record's seal is invalid; find out who else writes to the log"
		st.addAudit(audit)
		return
	}
	switch env.Purpose {
	case purposePatch:
		st.addPatch(audit, env, record.Data)
	case purposeSnapshot:
		st.addSnapshot(env)
	}
}

func (st *State) addSnapshot(env envelope) {
	var s sequoialead.Snapshot
	if cbor.Unmarshal(env.Body, &s) == nil {
		st.snapshotNextOffset = max(st.snapshotNextOffset, s.NextOffset)
	}
}

func (st *State) addPatch(audit sequoialead.Audit, env envelope, raw []byte) {
	var p sequoialead.Patch
	if err := cbor.Unmarshal(env.Body, &p); err != nil {
		audit.Verdict = sequoialead.VerdictInvalid
		audit.Reason = "the patch cannot be decoded; update this process"
		st.addAudit(audit)
		return
	}
	audit.ID, audit.Author, audit.Base, audit.Note, audit.Changes = p.ID, p.Author, p.Base, p.Note, p.Changes
	audit.Verdict, audit.Reason = st.decide(p, raw)
	if audit.Verdict == sequoialead.VerdictAccepted {
		audit.Version = p.Base + 1
	}
	st.addAudit(audit)
}

// decide returns the verdict on a patch and the reason for it. It makes an
// accepted patch the current version.
func (st *State) decide(p sequoialead.Patch, raw []byte) (sequoialead.Verdict, string) {
	if accepted, ok := st.findPatch(p.Base + 1); ok && accepted.patch.ID == p.ID {
		if st.wasAccepted(p.ID) {
			return sequoialead.VerdictDuplicate, "the patch is in the log already"
		}
		return sequoialead.VerdictAccepted, ""
	}
	if _, found := st.findPatch(p.Base + 1); p.Base < st.version && !found {
		return sequoialead.VerdictStale, "this process started from a later version; ask an entry that has been running longer"
	}
	if p.Base != st.version || p.BaseDigest != st.digest {
		return sequoialead.VerdictConflict, "the configuration has changed since the base version; look at the current version and patch that"
	}
	doc, conf, err := st.applyChanges(p.Changes)
	if err != nil {
		return sequoialead.VerdictInvalid, err.Error()
	}
	st.advance(p, raw, doc, conf)
	return sequoialead.VerdictAccepted, ""
}

// CheckChanges returns an error if the changes would not turn the current
// configuration into a valid one.
func (st *State) CheckChanges(changes []sequoialead.Change) error {
	_, _, err := st.applyChanges(changes)
	return err
}

// applyChanges returns the current configuration with the changes applied,
// without making it current.
func (st *State) applyChanges(changes []sequoialead.Change) (*document.Document, *config.Config, error) {
	doc := st.doc.Apply(changes)
	conf, err := config.Update(st.config, st.doc, doc, changes)
	return doc, conf, err
}

// advance makes a patch the current version, given the configuration that
// results from it.
func (st *State) advance(p sequoialead.Patch, raw []byte, doc *document.Document, conf *config.Config) {
	if len(st.patches) == 0 {
		st.oldest = st.doc
	}
	st.version = p.Base + 1
	st.digest = chainDigest(st.digest, raw)
	st.lastPatch = p.ID
	st.doc = doc
	st.config = conf
	st.patches = append(st.patches, acceptedPatch{version: st.version, patch: p, raw: raw, digest: st.digest})
	if len(st.patches) > MaxPatches {
		st.oldest = st.oldest.Apply(st.patches[0].patch.Changes)
		st.patches[0] = acceptedPatch{}
		st.patches = st.patches[1:]
	}
}

// chainDigest returns the digest of a version from that of the version before
// and the signed patch between them.
func chainDigest(prior sequoialead.Digest, raw []byte) sequoialead.Digest {
	h := sha256.New()
	h.Write(prior[:])
	h.Write(raw)
	return sequoialead.Digest(h.Sum(nil))
}

// findPatch returns the patch that a version results from, if it is kept.
func (st *State) findPatch(v sequoialead.Version) (acceptedPatch, bool) {
	if len(st.patches) == 0 || v < st.patches[0].version || v > st.version {
		return acceptedPatch{}, false
	}
	return st.patches[v-st.patches[0].version], true
}

// wasAccepted reports whether the audit trail holds the acceptance of a patch.
func (st *State) wasAccepted(id uuid.UUID) bool {
	for i := len(st.audits) - 1; i >= 0; i-- {
		if st.audits[i].ID == id && st.audits[i].Verdict == sequoialead.VerdictAccepted {
			return true
		}
	}
	return false
}

// addAudit appends to the audit trail and drops its oldest line above
// maxAudits.
func (st *State) addAudit(a sequoialead.Audit) {
	st.audits = append(st.audits, a)
	if len(st.audits) > maxAudits {
		st.audits = append([]sequoialead.Audit(nil), st.audits[len(st.audits)-maxAudits:]...)
	}
}

// FindAudit returns the first audit line of a patch. It reports false if the
// patch was not seen in the log, or its line is no longer kept.
func (st *State) FindAudit(id uuid.UUID) (sequoialead.Audit, bool) {
	for _, a := range st.audits {
		if a.ID == id {
			return a, true
		}
	}
	return sequoialead.Audit{}, false
}

// Since returns the accepted patches after a base version that are kept, newest
// last.
func (st *State) Since(base sequoialead.Version) []sequoialead.Patch {
	var patches []sequoialead.Patch
	for _, accepted := range st.patches {
		if accepted.version > base {
			patches = append(patches, accepted.patch)
		}
	}
	return patches
}

// EncodeSnapshot returns the current version as a signed record for the log.
func (st *State) EncodeSnapshot() ([]byte, error) {
	return st.encode(purposeSnapshot, sequoialead.Snapshot{
		Version:    st.version,
		Digest:     st.digest,
		NextOffset: st.next,
		Changes:    st.doc.Changes(),
		LastPatch:  st.lastPatch,
	})
}

// DecodeSnapshot decodes a record. It reports false if the record is not a
// snapshot with a valid signature.
func (st *State) DecodeSnapshot(raw []byte) (sequoialead.Snapshot, bool) {
	var s sequoialead.Snapshot
	env, ok := st.verifyRecord(raw)
	if !ok || env.Purpose != purposeSnapshot {
		return s, false
	}
	return s, cbor.Unmarshal(env.Body, &s) == nil
}

// Restore makes a snapshot's version current if it is newer than the current
// one, and reports whether it did. If fromLog is set, the records that the
// snapshot covers are skipped. The error is ErrInvalid.
func (st *State) Restore(s sequoialead.Snapshot, fromLog bool) (bool, error) {
	if fromLog {
		st.next = max(st.next, s.NextOffset)
		st.snapshotNextOffset = max(st.snapshotNextOffset, s.NextOffset)
	}
	if s.Version <= st.version {
		return false, nil
	}
	doc := document.New().Apply(s.Changes)
	conf, err := config.Decode(doc)
	if err != nil {
		return false, sequoialead.ErrInvalid.Wrap(err, "snapshot of version %d is not valid for this process; update it", s.Version)
	}
	st.version, st.digest, st.lastPatch, st.doc, st.config = s.Version, s.Digest, s.LastPatch, doc, conf
	st.patches = nil
	return true, nil
}

// token returns a proof that a holder of the fleet's key accepted a version.
func (st *State) token(v sequoialead.Version, digest sequoialead.Digest) []byte {
	var b bytes.Buffer
	enc := cbor.NewEncoder(&b)
	if enc.Encode(v) != nil || enc.Encode(digest) != nil {
		return nil
	}
	return st.signer.Sign(purposeAccepted, b.Bytes())
}
