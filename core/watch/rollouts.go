package watch

import (
	"context"
	"time"

	"sequoialead"
	"sequoialead/core/lease"
)

const (
	// activePollInterval is how often it is checked whether a topic has to be read.
	activePollInterval = 100 * time.Millisecond
	// rolloutReadShare is the interval between reads of the status and of the entries'
	// reports as a fraction of Options.Rollback, and reportShare that between writes of this
	// entry's report. A count passes from one entry to all others in the sum of the two at
	// most. With more than reportEntries entries reports are written less often, so that
	// the store has no more writes.
	rolloutReadShare = 0.16
	reportShare      = 0.08
	reportEntries    = 50
	// statusRetry is the pause after a failed write of the status.
	statusRetry = 200 * time.Millisecond
	// reportRetention is how long a report is kept after the last order has ended. By then
	// all entries have read the final state.
	reportRetention = 3 * time.Second
)

// startRollouts begins to read and write the topics of roll-outs. The topics are used only
// while there is an order.
func (w *Watcher) startRollouts() {
	interval := time.Duration(rolloutReadShare * float64(w.opts.Rollback))
	w.follow(&follower{topic: sequoialead.TopicStatus, interval: interval, apply: w.applyStatus, lease: lease.New(), active: w.opts.Rollouts.Active})
	w.follow(&follower{topic: sequoialead.TopicRollouts, interval: interval, apply: w.applyReports, lease: lease.New(), active: w.opts.Rollouts.Active, applied: map[string]bool{}})
	w.tomb.Go(w.publishReports)
	w.tomb.Go(w.writeStatus)
}

// applyOrder applies an operator's record that holds an order of a roll-out. It reports
// false for any other record. The order was not there at the newest read before this one.
func (w *Watcher) applyOrder(item sequoialead.Item, now time.Time) bool {
	if w.opts.Rollouts == nil {
		return false
	}
	pool, ok := w.opts.RolloutDecoder.RolloutService(item.Key)
	if !ok {
		return false
	}
	if len(item.Value) == 0 {
		w.opts.Rollouts.ApplyOrder(pool, nil, now, true)
		return true
	}
	order, err := w.opts.RolloutDecoder.RolloutOrder(item.Key, item.Value)
	if err != nil {
		w.opts.Log.Error(err, "record-skipped", "topic", sequoialead.TopicOperator, "key", item.Key, "offset", item.Offset)
		return true
	}
	// After an outage of the store the last read says little of when the order was given.
	age, known := w.lease.Age(now)
	known = known && age <= 2*w.operatorInterval()+readTimeout
	w.opts.Rollouts.ApplyOrder(pool, &order, now.Add(-age), known)
	return true
}

// dropOrders ends the orders whose records are not among the keys of a complete read.
func (w *Watcher) dropOrders(keys map[string]bool) {
	if w.opts.Rollouts == nil {
		return
	}
	present := map[string]bool{}
	for key := range keys {
		if pool, ok := w.opts.RolloutDecoder.RolloutService(key); ok {
			present[pool] = true
		}
	}
	for _, pool := range w.opts.Rollouts.Ordered() {
		if !present[pool] {
			w.opts.Rollouts.ApplyOrder(pool, nil, time.Time{}, true)
		}
	}
}

// applyStatus applies the states of orders.
func (w *Watcher) applyStatus(page sequoialead.Page, _ bool, _ time.Time) {
	for _, item := range page.Items {
		pool, ok := w.opts.RolloutDecoder.RolloutService(item.Key)
		if !ok {
			continue
		}
		if len(item.Value) == 0 {
			w.opts.Rollouts.ApplyStatus(pool, "", "")
			continue
		}
		target, state, err := w.opts.RolloutDecoder.RolloutStatus(item.Key, item.Value)
		if err != nil {
			w.opts.Log.Error(err, "record-skipped", "topic", sequoialead.TopicStatus, "key", item.Key, "offset", item.Offset)
			continue
		}
		w.opts.Rollouts.ApplyStatus(pool, target, state)
	}
	w.opts.Rollouts.StatusRead()
}

// applyReports applies the entries' reports. Records that can't be decoded are logged and
// skipped.
func (w *Watcher) applyReports(page sequoialead.Page, _ bool, _ time.Time) {
	for _, item := range page.Items {
		if err := w.opts.Rollouts.ApplyReport(item.Key, item.Value); err != nil {
			w.opts.Log.Info("record-skipped", "topic", sequoialead.TopicRollouts, "key", item.Key, "offset", item.Offset, "err", err)
		}
	}
	w.opts.Rollouts.ReportsRead()
}

// reportInterval returns the time between two writes of this entry's report.
func (w *Watcher) reportInterval() time.Duration {
	entries := max(w.EntryCount(w.opts.Now()), reportEntries)
	return time.Duration(reportShare * float64(w.opts.Rollback) * float64(entries) / reportEntries)
}

// publishReports writes this entry's report while there is an order, once the report of an
// earlier process was read, and deletes it some time afterwards.
func (w *Watcher) publishReports() error {
	ticker := time.NewTicker(activePollInterval)
	defer ticker.Stop()
	var writtenAt, activeAt time.Time
	written, wrote, urgent := false, false, false
	era := sequoialead.Era(0)
	for {
		select {
		case <-ticker.C:
		case <-w.opts.Rollouts.Changed():
			urgent = true
		case <-w.tomb.Dying():
			return nil
		}
		now := w.opts.Now()
		active := w.opts.Rollouts.Active()
		if active {
			activeAt = now
		}
		interval := w.reportInterval()
		if urgent {
			interval = min(interval, activePollInterval)
		}
		due := active && w.synced(sequoialead.TopicRollouts) && now.Sub(writtenAt) >= interval
		// A report that was deleted may be in an older copy of the store.
		restored := wrote && w.storeEra() > era
		ended := !active && (written || restored) && now.Sub(activeAt) >= reportRetention
		if !due && !ended {
			continue
		}
		record, err := w.opts.Rollouts.Record()
		if err != nil {
			return err
		}
		writtenAt, urgent = now, false
		if len(record) == 0 && !written && !restored {
			continue
		}
		if era, err = w.put(sequoialead.TopicRollouts, record); err != nil {
			w.opts.Log.V(1).Info("publish-failed", "topic", sequoialead.TopicRollouts, "err", err)
			written = written || restored
			continue
		}
		written, wrote = len(record) > 0, true
	}
}

// writeStatus writes the states of orders that this entry has to write.
func (w *Watcher) writeStatus() error {
	for {
		if w.pause(activePollInterval) {
			return nil
		}
		if len(w.opts.Rollouts.Wanted()) == 0 {
			continue
		}
		if err := w.writeWanted(); err != nil && w.tomb.Alive() {
			w.opts.Log.V(1).Info("publish-failed", "topic", sequoialead.TopicStatus, "err", err)
			if w.pause(statusRetry) {
				return nil
			}
		}
	}
}

// writeWanted reads the status, and writes the states that are then still wanted if the
// topic ends where it was read: a state that another entry has written meanwhile is read
// first.
func (w *Watcher) writeWanted() error {
	ctx, cancel := context.WithTimeout(w.tomb.Context(context.Background()), w.timeout())
	defer cancel()
	page, err := w.opts.Store.Newest(ctx, sequoialead.TopicStatus)
	w.noteEra(page.Era)
	if err != nil {
		return err
	}
	if !w.inEra(page.Era, func() { w.applyStatus(page, true, w.opts.Now()) }) {
		return w.errOldEra(page.Era)
	}
	for pool, wanted := range w.opts.Rollouts.Wanted() {
		key, raw, err := w.opts.RolloutDecoder.EncodeRolloutStatus(pool, wanted[0], wanted[1])
		if err != nil {
			return err
		}
		ok, era, err := w.opts.Revisions.PutAt(ctx, sequoialead.TopicStatus, key, raw, page.Next)
		w.noteEra(era)
		if err != nil {
			return err
		}
		w.opts.Log.Info("rollout-write", "pool", pool, "target", wanted[0], "state", wanted[1], "end", page.Next, "written", ok)
		if !ok || era != page.Era {
			return nil // the topic is no longer as it was read, or ends there by chance; read again
		}
		page.Next++
		w.inEra(page.Era, func() {
			w.opts.Rollouts.ApplyStatus(pool, wanted[0], wanted[1])
			w.opts.Rollouts.StatusRead()
		})
		w.opts.OnChange()
	}
	return nil
}
