package watch

import (
	"context"
	"time"

	"sequoialead"
)

const (
	// publishDelay is the time for which further evidence is awaited before the record
	// is written: the requests of one server break off together.
	publishDelay = 50 * time.Millisecond
	// publishRetry is the pause after a failed write.
	publishRetry = time.Second
	// publishSyncDelay is the pause between checks whether the topic has been read.
	publishSyncDelay = 100 * time.Millisecond
	// republishInterval is the interval at which a record is renewed, until it is empty.
	republishInterval = time.Minute
)

// applyCrashes applies the entries' evidence. Records that can't be decoded are logged
// and skipped.
func (w *Watcher) applyCrashes(page sequoialead.Page, _ bool, _ time.Time) {
	for _, item := range page.Items {
		if err := w.opts.Evidence.Apply(item.Key, item.Value); err != nil {
			w.opts.Log.Info("record-skipped", "topic", sequoialead.TopicCrashes, "key", item.Key, "offset", item.Offset, "err", err)
		}
	}
}

// publish writes this entry's evidence whenever it has changed, once the record of an
// earlier process of this entry was read. A record is renewed until nothing in it holds
// any more, and then deleted. It is written or deleted again after the store came back from an
// older copy.
func (w *Watcher) publish() error {
	written, wrote := false, false
	era := sequoialead.Era(0)
	for {
		var renew <-chan time.Time
		if written {
			renew = time.After(republishInterval)
		}
		var restored <-chan struct{}
		if wrote {
			restored = w.storeEraAbove(era)
		}
		select {
		case <-w.opts.Evidence.Changed():
		case <-renew:
		case <-restored:
			written = true // the copy may hold an earlier record
		case <-w.tomb.Dying():
			return nil
		}
		for !w.pause(publishDelay) && !w.synced(sequoialead.TopicCrashes) {
			w.pause(publishSyncDelay)
		}
		for w.tomb.Alive() {
			record, err := w.opts.Evidence.Record()
			if err != nil {
				return err
			}
			if len(record) == 0 && !written {
				break
			}
			if era, err = w.put(sequoialead.TopicCrashes, record); err == nil {
				written, wrote = len(record) > 0, true
				break
			}
			w.opts.Log.V(1).Info("publish-failed", "err", err)
			w.pause(publishRetry)
		}
	}
}

// put writes this entry's record in a topic, and returns the era in which it was written or
// should have been. An empty record deletes it.
func (w *Watcher) put(topic sequoialead.Topic, record []byte) (sequoialead.Era, error) {
	known := w.storeEra()
	ctx, cancel := context.WithTimeout(w.tomb.Context(context.Background()), readTimeout)
	defer cancel()
	era, err := w.opts.Store.Put(ctx, topic, w.opts.Self.Name, record)
	w.noteEra(era)
	if err == nil && era < known {
		err = w.errOldEra(era)
	}
	return max(era, known), err
}

// synced reports whether all records of a topic have been read.
func (w *Watcher) synced(topic sequoialead.Topic) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	f := w.followers[topic]
	return f != nil && f.synced
}

// pause waits, and reports whether the watcher is closing.
func (w *Watcher) pause(d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return false
	case <-w.tomb.Dying():
		return true
	}
}
