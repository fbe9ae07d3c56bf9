package follow

import (
	"context"
	"time"

	"github.com/google/uuid"

	"sequoialead"
	"sequoialead/core/configlog"
)

const (
	appendTimeout = 2 * time.Second
	verdictWait   = 200 * time.Millisecond
)

// Propose appends a patch to the log and returns its audit line once the patch
// has been read back. After an error, the patch may still be accepted; it may be
// proposed again with the same ID.
func (w *Follower) Propose(ctx context.Context, p sequoialead.Patch) (sequoialead.Audit, error) {
	if w.opts.Log == nil {
		return sequoialead.Audit{}, sequoialead.ErrPlatform.New("this process can't write to the log; send the patch to an entry")
	}
	raw, verdict, err := w.prepare(&p)
	if err != nil {
		return sequoialead.Audit{}, err
	}
	if verdict != nil {
		return *verdict, nil
	}
	for {
		appendCtx, cancel := context.WithTimeout(ctx, appendTimeout)
		_, err := w.opts.Log.Append(appendCtx, streamName, raw)
		cancel()
		if err == nil {
			return w.awaitVerdict(ctx, p.ID)
		}
		// The append may have succeeded. Another copy does no harm, because only
		// the first copy of an ID is applied.
		if a, verdictErr := w.awaitVerdictFor(ctx, p.ID, verdictWait); verdictErr == nil {
			return a, nil
		}
		if ctx.Err() != nil {
			return sequoialead.Audit{}, sequoialead.ErrPlatform.Wrap(err, "the log did not confirm patch %s; send it again with the same ID", p.ID)
		}
	}
}

// prepare checks and signs a patch. It returns an audit line instead if the
// patch need not be appended to the log: it has an audit line already, or its
// changes are invalid.
func (w *Follower) prepare(p *sequoialead.Patch) ([]byte, *sequoialead.Audit, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if a, ok := w.state.FindAudit(p.ID); ok {
		return nil, &a, nil
	}
	if p.Base == w.state.Version() {
		p.BaseDigest = w.state.Digest()
		if err := w.state.CheckChanges(p.Changes); err != nil {
			return nil, &sequoialead.Audit{
				ID:      p.ID,
				Author:  p.Author,
				Time:    p.CreatedAt,
				Base:    p.Base,
				Verdict: sequoialead.VerdictInvalid,
				Reason:  err.Error(),
				Changes: p.Changes,
			}, nil
		}
	}
	raw, err := w.state.EncodePatch(*p)
	return raw, nil, err
}

func (w *Follower) awaitVerdictFor(ctx context.Context, id uuid.UUID, wait time.Duration) (sequoialead.Audit, error) {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	return w.awaitVerdict(ctx, id)
}

// awaitVerdict waits until a patch has been read back from the log.
func (w *Follower) awaitVerdict(ctx context.Context, id uuid.UUID) (sequoialead.Audit, error) {
	for {
		progress := w.progressSignal()
		var audit sequoialead.Audit
		found := false
		w.View(func(st *configlog.State) { audit, found = st.FindAudit(id) })
		if found {
			return audit, nil
		}
		select {
		case <-progress:
		case <-ctx.Done():
			return sequoialead.Audit{}, sequoialead.ErrPlatform.New("patch %s was not read back from the log in time; check the audit trail, or send it again with the same ID", id)
		}
	}
}

// Version returns the newest version known to this process.
func (w *Follower) Version() sequoialead.Version {
	_, version := w.Current()
	return version
}
