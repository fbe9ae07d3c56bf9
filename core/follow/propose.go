package follow

import (
	"context"
	"time"

	"github.com/google/uuid"

	"sequoialead"
	"sequoialead/core/fold"
)

const (
	appendTimeout = 2 * time.Second
	appendRetry   = 200 * time.Millisecond
)

// Propose offers a patch to the fleet and returns what became of it, once it
// was read back from the log. An error means that this is not known; the patch
// may be offered again with the same ID.
func (w *Follower) Propose(ctx context.Context, p sequoialead.Patch) (sequoialead.Audit, error) {
	if w.opts.Log == nil {
		return sequoialead.Audit{}, sequoialead.ErrPlatform.New("this process has no log; ask an entry")
	}
	raw, settled, err := w.prepare(&p)
	if err != nil {
		return sequoialead.Audit{}, err
	}
	if settled != nil {
		return *settled, nil
	}
	for {
		actx, cancel := context.WithTimeout(ctx, appendTimeout)
		_, err := w.opts.Log.Append(actx, Stream, raw)
		cancel()
		if err == nil {
			return w.settle(ctx, p.ID)
		}
		// The append may have taken effect. Another copy does no harm, because
		// the fold takes only the first of one ID.
		if a, serr := w.settleFor(ctx, p.ID, appendRetry); serr == nil {
			return a, nil
		}
		if ctx.Err() != nil {
			return sequoialead.Audit{}, sequoialead.ErrPlatform.Wrap(err, "the log did not take patch %s for sure; send it again with the same ID", p.ID)
		}
	}
}

// prepare checks and seals a patch. It returns an audit line if the patch is
// settled without the log's help.
func (w *Follower) prepare(p *sequoialead.Patch) ([]byte, *sequoialead.Audit, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if a, ok := w.fold.Settled(p.ID); ok {
		return nil, &a, nil
	}
	if p.Base == w.fold.Version() {
		p.Prior = w.fold.Digest()
		if err := w.fold.Check(p.Changes); err != nil {
			return nil, &sequoialead.Audit{
				ID:      p.ID,
				Who:     p.Who,
				Time:    p.When,
				Base:    p.Base,
				Verdict: sequoialead.VerdictInvalid,
				Reason:  err.Error(),
				Changes: p.Changes,
			}, nil
		}
	}
	raw, err := w.fold.EncodePatch(*p)
	return raw, nil, err
}

func (w *Follower) settleFor(ctx context.Context, id uuid.UUID, wait time.Duration) (sequoialead.Audit, error) {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	return w.settle(ctx, id)
}

// settle waits until a patch was read back from the log.
func (w *Follower) settle(ctx context.Context, id uuid.UUID) (sequoialead.Audit, error) {
	for {
		moved := w.Moved()
		var audit sequoialead.Audit
		found := false
		w.View(func(f *fold.Fold) { audit, found = f.Settled(id) })
		if found {
			return audit, nil
		}
		select {
		case <-moved:
		case <-ctx.Done():
			return sequoialead.Audit{}, sequoialead.ErrPlatform.New("patch %s was not read back in time; ask for the audit trail, or send it again with the same ID", id)
		}
	}
}

// Version returns the newest version known here.
func (w *Follower) Version() sequoialead.Version {
	_, version := w.Current()
	return version
}
