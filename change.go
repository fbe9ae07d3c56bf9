package sequoialead

import (
	"fmt"
	"strings"
	"time"

	"github.com/google/uuid"
)

// Change sets or removes one key of the configuration, or removes a section.
type Change struct {
	Section string `cbor:"1,keyasint" json:"section"`
	// Key is empty when a whole section is removed.
	Key    string `cbor:"2,keyasint,omitempty" json:"key,omitempty"`
	Value  string `cbor:"3,keyasint,omitempty" json:"value,omitempty"`
	Remove bool   `cbor:"4,keyasint,omitempty" json:"remove,omitempty"`
}

// String returns the change in command-line syntax: SECTION.KEY=VALUE, or
// -SECTION.KEY and -SECTION for removals.
func (c Change) String() string {
	switch {
	case c.Remove && c.Key == "":
		return "-" + c.Section
	case c.Remove:
		return fmt.Sprintf("-%s.%s", c.Section, c.Key)
	}
	return fmt.Sprintf("%s.%s=%s", c.Section, c.Key, c.Value)
}

// JoinChanges returns the changes in command-line syntax, separated by spaces.
func JoinChanges(changes []Change) string {
	var texts []string
	for _, c := range changes {
		texts = append(texts, c.String())
	}
	return strings.Join(texts, " ")
}

// Digest is a hash of a configuration version and its whole history of patches.
type Digest [32]byte

// Patch is an operator's change of the configuration.
type Patch struct {
	ID        uuid.UUID `cbor:"1,keyasint"`
	Author    string    `cbor:"2,keyasint"`
	CreatedAt time.Time `cbor:"3,keyasint"`
	// Base is the version that the patch was made against.
	Base Version `cbor:"4,keyasint"`
	// BaseDigest is the digest of the base version. It cannot be known before that
	// version exists, so a patch can never be applied ahead of its base.
	BaseDigest Digest   `cbor:"5,keyasint"`
	Changes    []Change `cbor:"6,keyasint"`
	Note       string   `cbor:"7,keyasint,omitempty"`
}

// Snapshot is the complete configuration at one version.
type Snapshot struct {
	Version Version `cbor:"1,keyasint"`
	Digest  Digest  `cbor:"2,keyasint"`
	// NextOffset is the offset of the first log record that is not part of the
	// snapshot.
	NextOffset uint64   `cbor:"3,keyasint"`
	Changes    []Change `cbor:"4,keyasint"`
	// LastPatch is the ID of the patch that produced the version.
	LastPatch uuid.UUID `cbor:"5,keyasint"`
}

// Verdict is the result of processing a patch.
type Verdict string

// The possible verdicts.
const (
	VerdictAccepted  Verdict = "accepted"
	VerdictConflict  Verdict = "conflict"
	VerdictInvalid   Verdict = "invalid"
	VerdictDuplicate Verdict = "repeat"
	VerdictForged    Verdict = "forged"
	// VerdictStale means that the patch's base is older than the first version
	// that this process loaded, so it cannot tell whether the patch was applied.
	VerdictStale Verdict = "past"
)

// Audit is one entry of the audit trail.
type Audit struct {
	Offset  uint64    `json:"offset"`
	Time    time.Time `json:"time"`
	ID      uuid.UUID `json:"id"`
	Author  string    `json:"who"`
	Base    Version   `json:"base"`
	Version Version   `json:"version"`
	Verdict Verdict   `json:"verdict"`
	Reason  string    `json:"reason,omitempty"`
	Note    string    `json:"note,omitempty"`
	Changes []Change  `json:"changes"`
}
