// Package fold turns the records of the configuration's log stream into
// numbered versions. Every process that folds the same records reaches the
// same versions, so no process has to decide for the others.
package fold

import (
	"bytes"
	"crypto/sha256"

	"github.com/fxamacker/cbor/v2"
	"github.com/google/uuid"

	"sequoialead"
	"sequoialead/core/config"
	"sequoialead/core/document"
	"sequoialead/core/seal"
)

// Limits on what a fold keeps.
const (
	LinksKept  = 1024
	AuditsKept = 4096
)

const (
	purposePatch    = "patch"
	purposeSnapshot = "snapshot"
	purposeAccepted = "accepted"
)

// envelope is the form of a record in the log.
type envelope struct {
	Purpose string `cbor:"1,keyasint"`
	Body    []byte `cbor:"2,keyasint"`
	Seal    []byte `cbor:"3,keyasint"`
}

// link is an accepted patch in the chain of versions.
type link struct {
	version sequoialead.Version
	patch   sequoialead.Patch
	// raw is the sealed patch as it stands in the log.
	raw []byte
	// digest is that of the version that the patch made.
	digest sequoialead.Digest
}

// Fold is the state reached by a prefix of the log. It is not safe for
// concurrent use.
type Fold struct {
	sealer *seal.Sealer
	// version only rises.
	version sequoialead.Version
	digest  sequoialead.Digest
	last    uuid.UUID
	doc     *document.Document
	config  *config.Config
	// links holds the latest accepted patches in order, without gaps, the
	// last of them being version.
	links []link
	// origin is the configuration before the first of links.
	origin *document.Document
	audits []sequoialead.Audit
	// next is the offset of the first record that was not folded.
	next uint64
	// snapshot is the Covered offset of the newest snapshot seen in the log.
	snapshot uint64
}

// New returns the state before any record.
func New(sealer *seal.Sealer) (*Fold, error) {
	doc := document.New()
	conf, err := config.Decode(doc)
	if err != nil {
		return nil, err
	}
	return &Fold{sealer: sealer, doc: doc, config: conf}, nil
}

// Version returns the current version.
func (f *Fold) Version() sequoialead.Version { return f.version }

// Digest returns the digest of the current version.
func (f *Fold) Digest() sequoialead.Digest { return f.digest }

// Document returns the raw configuration of the current version.
func (f *Fold) Document() *document.Document { return f.doc }

// Config returns the configuration of the current version.
func (f *Fold) Config() *config.Config { return f.config }

// Next returns the offset of the first record that was not folded.
func (f *Fold) Next() uint64 { return f.next }

// Covered returns the offset up to which the newest snapshot in the log reaches.
func (f *Fold) Covered() uint64 { return f.snapshot }

// Audits returns the audit trail, oldest first.
func (f *Fold) Audits() []sequoialead.Audit {
	return append([]sequoialead.Audit(nil), f.audits...)
}

// EncodePatch returns a patch as a record of the log.
func (f *Fold) EncodePatch(p sequoialead.Patch) ([]byte, error) {
	return f.encode(purposePatch, p)
}

func (f *Fold) encode(purpose string, value any) ([]byte, error) {
	body, err := cbor.Marshal(value)
	if err != nil {
		return nil, sequoialead.ErrInvalid.Wrap(err, "the %s cannot be encoded; report this as a defect", purpose)
	}
	raw, err := cbor.Marshal(envelope{Purpose: purpose, Body: body, Seal: f.sealer.Seal(purpose, body)})
	if err != nil {
		return nil, sequoialead.ErrInvalid.Wrap(err, "the %s cannot be encoded; report this as a defect", purpose)
	}
	return raw, nil
}

func (f *Fold) open(raw []byte) (envelope, bool) {
	var env envelope
	if err := cbor.Unmarshal(raw, &env); err != nil {
		return env, false
	}
	return env, f.sealer.Check(env.Purpose, env.Body, env.Seal)
}

// Add folds the next record of the log. The caller gives records in order and
// without gaps, or calls Restore with a snapshot that covers the gap.
func (f *Fold) Add(record sequoialead.Record) {
	if record.Offset < f.next {
		return
	}
	f.next = record.Offset + 1
	audit := sequoialead.Audit{Offset: record.Offset, Time: record.Time}
	env, ok := f.open(record.Data)
	if !ok {
		audit.Verdict = sequoialead.VerdictForged
		audit.Reason = "the record's seal is wrong; find who else writes to the log"
		f.audit(audit)
		return
	}
	switch env.Purpose {
	case purposePatch:
		f.addPatch(audit, env, record.Data)
	case purposeSnapshot:
		f.addSnapshot(env)
	}
}

func (f *Fold) addSnapshot(env envelope) {
	var s sequoialead.Snapshot
	if cbor.Unmarshal(env.Body, &s) == nil {
		f.snapshot = max(f.snapshot, s.Covered)
	}
}

func (f *Fold) addPatch(audit sequoialead.Audit, env envelope, raw []byte) {
	var p sequoialead.Patch
	if err := cbor.Unmarshal(env.Body, &p); err != nil {
		audit.Verdict = sequoialead.VerdictInvalid
		audit.Reason = "the patch cannot be read; update this process"
		f.audit(audit)
		return
	}
	audit.ID, audit.Who, audit.Base, audit.Note, audit.Changes = p.ID, p.Who, p.Base, p.Note, p.Changes
	audit.Verdict, audit.Reason = f.judge(p, raw)
	if audit.Verdict == sequoialead.VerdictAccepted {
		audit.Version = p.Base + 1
	}
	f.audit(audit)
}

// judge decides on a patch and makes it the current version if it is accepted.
func (f *Fold) judge(p sequoialead.Patch, raw []byte) (sequoialead.Verdict, string) {
	if l, ok := f.find(p.Base + 1); ok && l.patch.ID == p.ID {
		if f.audited(p.ID) {
			return sequoialead.VerdictRepeat, "the patch stands in the log already"
		}
		return sequoialead.VerdictAccepted, ""
	}
	if _, known := f.find(p.Base + 1); p.Base < f.version && !known {
		return sequoialead.VerdictPast, "this process started from a later version; ask an entry that has run for longer"
	}
	if p.Base != f.version || p.Prior != f.digest {
		return sequoialead.VerdictConflict, "the configuration has changed since the base version; look at it again and patch the current one"
	}
	doc, conf, err := f.try(p.Changes)
	if err != nil {
		return sequoialead.VerdictInvalid, err.Error()
	}
	f.advance(p, raw, doc, conf)
	return sequoialead.VerdictAccepted, ""
}

// Check returns why changes would not make a valid configuration of the
// current one, or nil.
func (f *Fold) Check(changes []sequoialead.Change) error {
	_, _, err := f.try(changes)
	return err
}

// try returns the configuration that changes make of the current one.
func (f *Fold) try(changes []sequoialead.Change) (*document.Document, *config.Config, error) {
	doc := f.doc.Apply(changes)
	conf, err := config.Update(f.config, f.doc, doc, changes)
	return doc, conf, err
}

func (f *Fold) advance(p sequoialead.Patch, raw []byte, doc *document.Document, conf *config.Config) {
	if len(f.links) == 0 {
		f.origin = f.doc
	}
	f.version = p.Base + 1
	f.digest = chain(f.digest, raw)
	f.last = p.ID
	f.doc = doc
	f.config = conf
	f.links = append(f.links, link{version: f.version, patch: p, raw: raw, digest: f.digest})
	if len(f.links) > LinksKept {
		f.origin = f.origin.Apply(f.links[0].patch.Changes)
		f.links[0] = link{}
		f.links = f.links[1:]
	}
}

func chain(prior sequoialead.Digest, raw []byte) sequoialead.Digest {
	h := sha256.New()
	h.Write(prior[:])
	h.Write(raw)
	return sequoialead.Digest(h.Sum(nil))
}

func (f *Fold) find(v sequoialead.Version) (link, bool) {
	if len(f.links) == 0 || v < f.links[0].version || v > f.version {
		return link{}, false
	}
	return f.links[v-f.links[0].version], true
}

func (f *Fold) audited(id uuid.UUID) bool {
	for i := len(f.audits) - 1; i >= 0; i-- {
		if f.audits[i].ID == id && f.audits[i].Verdict == sequoialead.VerdictAccepted {
			return true
		}
	}
	return false
}

func (f *Fold) audit(a sequoialead.Audit) {
	f.audits = append(f.audits, a)
	if len(f.audits) > AuditsKept {
		f.audits = append([]sequoialead.Audit(nil), f.audits[len(f.audits)-AuditsKept:]...)
	}
}

// Settled returns what became of a patch that was seen in the log.
func (f *Fold) Settled(id uuid.UUID) (sequoialead.Audit, bool) {
	for _, a := range f.audits {
		if a.ID == id {
			return a, true
		}
	}
	return sequoialead.Audit{}, false
}

// Since returns the accepted patches after a base version, newest last.
func (f *Fold) Since(base sequoialead.Version) []sequoialead.Patch {
	var patches []sequoialead.Patch
	for _, l := range f.links {
		if l.version > base {
			patches = append(patches, l.patch)
		}
	}
	return patches
}

// EncodeSnapshot returns the current version as a record of the log.
func (f *Fold) EncodeSnapshot() ([]byte, error) {
	return f.encode(purposeSnapshot, sequoialead.Snapshot{
		Version: f.version,
		Digest:  f.digest,
		Covered: f.next,
		Changes: f.doc.Changes(),
		Last:    f.last,
	})
}

// Snapshot reads a record and returns the snapshot in it, if it is one.
func (f *Fold) Snapshot(raw []byte) (sequoialead.Snapshot, bool) {
	var s sequoialead.Snapshot
	env, ok := f.open(raw)
	if !ok || env.Purpose != purposeSnapshot {
		return s, false
	}
	return s, cbor.Unmarshal(env.Body, &s) == nil
}

// Restore takes a snapshot's version if it is newer than the current one, and
// skips the log's records up to it where they were not folded. It reports
// whether the version changed.
func (f *Fold) Restore(s sequoialead.Snapshot, fromLog bool) (bool, error) {
	if fromLog {
		f.next = max(f.next, s.Covered)
		f.snapshot = max(f.snapshot, s.Covered)
	}
	if s.Version <= f.version {
		return false, nil
	}
	doc := document.New().Apply(s.Changes)
	conf, err := config.Decode(doc)
	if err != nil {
		return false, sequoialead.ErrInvalid.Wrap(err, "snapshot of version %d is not valid here; update this process", s.Version)
	}
	f.version, f.digest, f.last, f.doc, f.config = s.Version, s.Digest, s.Last, doc, conf
	f.links = nil
	return true, nil
}

// token proves that a holder of the key took a version as accepted.
func (f *Fold) token(v sequoialead.Version, digest sequoialead.Digest) []byte {
	var b bytes.Buffer
	enc := cbor.NewEncoder(&b)
	if enc.Encode(v) != nil || enc.Encode(digest) != nil {
		return nil
	}
	return f.sealer.Seal(purposeAccepted, b.Bytes())
}
