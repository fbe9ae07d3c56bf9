package fold

import (
	"bytes"

	"github.com/fxamacker/cbor/v2"

	"sequoialead"
	"sequoialead/core/document"
	"sequoialead/core/frame"
)

// RelayMax is the most patches that one relay carries.
const RelayMax = 64

// Relay returns what a peer at the given version lacks. The second result is
// false if there is nothing newer.
func (f *Fold) Relay(have sequoialead.Version) (frame.Relay, bool) {
	if have >= f.version {
		return frame.Relay{}, false
	}
	if _, ok := f.find(have + 1); !ok {
		raw, err := f.EncodeSnapshot()
		if err != nil {
			return frame.Relay{}, false
		}
		return frame.Relay{Snapshot: raw}, true
	}
	var r frame.Relay
	for _, l := range f.links {
		if l.version > have && len(r.Patches) < RelayMax {
			r.Patches = append(r.Patches, frame.Accepted{Raw: l.raw, Token: f.token(l.version, l.digest)})
		}
	}
	return r, true
}

// Learn takes newer versions from a peer. It never goes back, takes nothing
// that was not sealed with the fleet's key, and reports whether the version
// changed.
func (f *Fold) Learn(r frame.Relay) (bool, error) {
	changed := false
	if r.Snapshot != nil {
		s, ok := f.Snapshot(r.Snapshot)
		if !ok {
			return false, forged("snapshot")
		}
		took, err := f.Restore(s, false)
		if err != nil {
			return false, err
		}
		changed = took
	}
	for _, a := range r.Patches {
		took, err := f.learn(a)
		if err != nil {
			return changed, err
		}
		changed = changed || took
	}
	return changed, nil
}

func (f *Fold) learn(a frame.Accepted) (bool, error) {
	env, ok := f.open(a.Raw)
	if !ok || env.Purpose != purposePatch {
		return false, forged("patch")
	}
	var p sequoialead.Patch
	if err := cbor.Unmarshal(env.Body, &p); err != nil {
		return false, sequoialead.ErrProtocol.Wrap(err, "a peer's patch cannot be read; update this process")
	}
	if p.Base != f.version {
		return false, nil
	}
	if p.Prior != f.digest || !bytes.Equal(a.Token, f.token(p.Base+1, chain(f.digest, a.Raw))) {
		return false, forged("patch")
	}
	doc, conf, err := f.try(p.Changes)
	if err != nil {
		return false, sequoialead.ErrInvalid.Wrap(err, "version %d is not valid here; update this process", p.Base+1)
	}
	f.advance(p, a.Raw, doc, conf)
	return true, nil
}

func forged(what string) error {
	return sequoialead.ErrProtocol.New("a peer sent a %s that the fleet did not accept; check 'fleet' in its settings", what)
}

// At returns the raw configuration at an earlier version, as far back as the
// patches since are kept.
func (f *Fold) At(v sequoialead.Version) (*document.Document, error) {
	if v == f.version {
		return f.doc, nil
	}
	if len(f.links) == 0 || v > f.version || v+1 < f.links[0].version {
		return nil, sequoialead.ErrInvalid.New("version %d is not held here; the current one is %d, see 'sequoialead audit' for the changes between", v, f.version)
	}
	doc := f.origin
	for _, l := range f.links {
		if l.version <= v {
			doc = doc.Apply(l.patch.Changes)
		}
	}
	return doc, nil
}
