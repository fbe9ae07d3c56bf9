package watch

import "sequoialead"

// noteEra records the era that an answer of the store or another entry tells. It reports
// false if the answer is older than the newest era known, so that it says nothing of what the
// store holds now. If the era rises, all followers read their topics anew.
func (w *Watcher) noteEra(era sequoialead.Era) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.noteEraLocked(era)
}

func (w *Watcher) noteEraLocked(era sequoialead.Era) bool {
	if era <= w.era {
		return era == w.era
	}
	w.opts.Log.Info("store-era", "era", era, "before", w.era)
	w.era = era
	if w.opts.Rollouts != nil {
		w.opts.Rollouts.StatusLost()
	}
	close(w.eraRaised)
	w.eraRaised = make(chan struct{})
	return true
}

// inEra calls apply with the lock held if an era is the newest one known, and reports whether
// it is.
func (w *Watcher) inEra(era sequoialead.Era, apply func()) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if era != w.era {
		return false
	}
	apply()
	return true
}

// storeEraRaised returns a channel that is closed when the store's era rises.
func (w *Watcher) storeEraRaised() <-chan struct{} {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.eraRaised
}

// storeEraAbove returns a channel that is closed once the store's era is above the given one.
func (w *Watcher) storeEraAbove(era sequoialead.Era) <-chan struct{} {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.era > era {
		risen := make(chan struct{})
		close(risen)
		return risen
	}
	return w.eraRaised
}

// storeEra returns the newest era of the store that is known.
func (w *Watcher) storeEra() sequoialead.Era {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.era
}

// errOldEra returns the error of an answer that noteEra has found to be too old.
func (w *Watcher) errOldEra(era sequoialead.Era) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	return sequoialead.ErrPlatform.New("the answer is of era %d of the store, which is in era %d; retrying", era, w.era)
}
