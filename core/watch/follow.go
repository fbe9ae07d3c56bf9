package watch

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/joomcode/errorx"

	"sequoialead"
	"sequoialead/core/lease"
	"sequoialead/core/membership"
	"sequoialead/core/protocol"
	"sequoialead/core/recordcache"
)

// applyFunc applies one page of records. If complete is set, the page holds the
// newest record of every key, and keys without one no longer exist.
type applyFunc func(page sequoialead.Page, complete bool, now time.Time)

// follower keeps one topic up to date, from the store or through another entry.
type follower struct {
	watcher *Watcher
	topic   sequoialead.Topic
	// interval is the time between the starts of two reads. Unless it is zero,
	// firstInterval replaces it between the first initialReads reads.
	interval      time.Duration
	firstInterval time.Duration
	// reads counts the successful reads.
	reads int
	apply applyFunc
	// active is nil if the topic is always read. Otherwise it is read only while active
	// reports true.
	active func() bool
	// lease counts from the start of the store read that returned the newest
	// records, which another entry may have made.
	lease   *lease.Lease
	failing bool
	// source is the name of the entry that the last records came from; empty for
	// the store.
	source string

	// next is the offset to read from, valid if synced is set and era is that of the watcher.
	// synced is set once the newest record of every key has been read. recordCache holds the
	// latest records before next. The follower modifies these three with the
	// watcher's lock held.
	next        uint64
	synced      bool
	recordCache *recordcache.Cache
	// era is that of the store's answers that next and recordCache come from. restart is
	// called with the watcher's lock held before the first page of another era is applied;
	// nil if the topic's state holds no offsets.
	era     sequoialead.Era
	restart func(now time.Time)
	// applied holds the keys whose records have been applied, for topics of which each writer
	// writes its records again after the store came back from an older copy; nil for others.
	// Records that the copy has under these keys change nothing.
	applied map[string]bool
	// confirm is called after the first page of another era has been applied, before the
	// lease is renewed; nil if there is nothing to do. No locks are held.
	confirm func()
	// nextRead is when the next read begins, unless the store is found to have recovered
	// before. It is modified with the watcher's lock held.
	nextRead time.Time

	// behind is set after a read of the store that returned only a part of the records
	// from next on. skipHistory is set if the next read should return the newest record
	// of every key instead of the rest.
	behind      bool
	skipHistory bool
}

// follow starts a goroutine that reads one topic until the watcher is closed.
func (w *Watcher) follow(f *follower) {
	f.watcher = w
	f.recordCache = recordcache.New()
	w.mu.Lock()
	w.followers[f.topic] = f
	w.mu.Unlock()
	w.tomb.Go(f.run)
}

func (f *follower) run() error {
	retryBackoff := backoff.NewExponentialBackOff()
	retryBackoff.InitialInterval = retryMin
	retryBackoff.MaxInterval = retryMax
	for f.watcher.tomb.Alive() {
		if f.active != nil && !f.active() {
			f.markUnsynced() // the newest records are enough when it becomes active again
			f.sleep(activePollInterval, nil, nil)
			continue
		}
		recovered := f.watcher.storeRecovered()
		started := f.watcher.opts.Now()
		entries := f.watcher.Members(started)
		done, err := f.read(started, entries)
		if done {
			retryBackoff.Reset()
			if f.behind {
				continue
			}
			f.reads++
			eraRaised := f.watcher.storeEraRaised()
			if f.isSynced() {
				f.sleep(f.nextInterval(entries)-f.watcher.opts.Now().Sub(started), nil, eraRaised)
			}
			continue
		}
		nextTry := f.watcher.storeWait()
		if err != nil {
			f.readFailed(err)
		} else {
			nextTry = f.untilOwnRead()
		}
		f.sleep(min(retryBackoff.NextBackOff(), max(nextTry, retryMin)), recovered, f.watcher.storeEraRaised())
	}
	return nil
}

// nextInterval returns the time between the start of the last read and the
// next.
func (f *follower) nextInterval(entries []membership.Member) time.Duration {
	interval := f.interval
	if f.firstInterval > 0 && f.reads < initialReads {
		interval = f.firstInterval
	}
	if f.source != "" || f.watcher.opts.Relay.IsReader(f.topic, entries) {
		interval = time.Duration(relayIntervalFactor * float64(interval))
	}
	return interval
}

// untilOwnRead returns the time until this entry reads the store itself if it finds no
// reader.
func (f *follower) untilOwnRead() time.Duration {
	age, _ := f.lease.Age(f.watcher.opts.Now())
	return f.ageLimit(ownReadAge) - age
}

// sleep returns after d, or once one of the channels is closed.
func (f *follower) sleep(d time.Duration, recovered, eraRaised <-chan struct{}) {
	if d <= 0 {
		return
	}
	f.watcher.mu.Lock()
	f.nextRead = f.watcher.opts.Now().Add(d)
	f.watcher.mu.Unlock()
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-recovered:
	case <-eraRaised:
	case <-f.watcher.tomb.Dying():
	}
}

// read brings the topic up to date: from the entry that reads it for the others
// if there is one, else from the store, else from any entry that has read it. It
// reports false without an error if another entry is expected to have newer records
// soon.
func (f *follower) read(started time.Time, entries []membership.Member) (done bool, err error) {
	relay := f.watcher.opts.Relay
	background := f.watcher.tomb.Context(context.Background())
	request := protocol.RecordsRequest{Topic: f.topic, From: f.next, Era: f.era, Version: f.watcher.version()}
	rank := 0
	if f.isSynced() && !f.behind {
		response, from, ok := relay.Read(background, request, entries, f.ageLimit(maxRelayAge))
		if ok {
			return f.applyRelayed(response, from, started)
		}
		f.watcher.noteEra(response.Era)
		rank = relay.Rank(f.topic, entries)
		if f.isSynced() && rank > 0 && !relay.IsReader(f.topic, entries) && f.lease.Valid(started, f.ageLimit(ownReadAge)) {
			return false, nil
		}
	}
	err = f.tryStore(background, rank)
	if err == nil || !f.isSynced() || !f.watcher.tomb.Alive() {
		return err == nil, err
	}
	now := f.watcher.opts.Now()
	response, from, ok := relay.ReadAny(background, request, entries, f.ageLimit(maxReadAnyAge))
	if ok {
		return f.applyRelayed(response, from, now)
	}
	f.watcher.noteEra(response.Era)
	return false, err
}

// tryStore reads the topic from the store, unless the store has failed and the next
// attempt is not due.
func (f *follower) tryStore(ctx context.Context, rank int) error {
	if !f.watcher.allowStoreRead(rank) {
		return sequoialead.ErrPlatform.New("not read, because the store has just failed")
	}
	ctx, cancel := context.WithTimeout(ctx, f.watcher.timeout())
	defer cancel()
	err := f.readStore(ctx, f.watcher.opts.Now())
	f.watcher.recordStoreRead(err == nil, rank)
	return err
}

// ageLimit returns the given fraction or multiple of the read interval.
func (f *follower) ageLimit(factor float64) time.Duration {
	return time.Duration(factor * float64(f.interval))
}

// applyRelayed applies records that another entry returned to a request sent at
// askedAt. It returns the results of read.
func (f *follower) applyRelayed(response protocol.RecordsResponse, from string, askedAt time.Time) (done bool, err error) {
	f.setSource(from)
	f.watcher.applyKept(response.Kept, response.Era)
	err = f.applyPage(sequoialead.Page{Era: response.Era, Items: response.Items, Next: response.Next}, false, askedAt.Add(-response.Age))
	return err == nil, err
}

// isSynced reports whether next is valid.
func (f *follower) isSynced() bool {
	f.watcher.mu.Lock()
	defer f.watcher.mu.Unlock()
	return f.synced && f.era == f.watcher.era
}

// readStore reads the topic from the store. started is when the read began.
func (f *follower) readStore(ctx context.Context, started time.Time) error {
	complete := !f.isSynced() || f.skipHistory
	var page sequoialead.Page
	var err error
	if complete {
		page, err = f.watcher.opts.Store.Newest(ctx, f.topic)
	} else {
		page, err = f.watcher.opts.Store.Since(ctx, f.topic, f.next)
	}
	current := f.watcher.noteEra(page.Era)
	switch {
	case errorx.IsOfType(err, sequoialead.ErrGone):
		f.watcher.opts.Log.Info("history-gone", "topic", f.topic, "from", f.next)
		f.markUnsynced()
		return f.readStore(ctx, started)
	case err != nil:
		return err
	case !current:
		return f.watcher.errOldEra(page.Era)
	case !complete && page.Era != f.era:
		// The offset that was read from is not one of this era, so the records before it
		// may be others now.
		return f.readStore(ctx, started)
	}
	if f.synced && page.Era == f.era && page.Next < f.next {
		f.watcher.opts.Log.Info("stale-read", "topic", f.topic, "next", f.next, "got", page.Next)
		f.behind = false
		return nil
	}
	if remaining := page.Remaining(); remaining > 0 {
		if page.Next == f.next {
			return sequoialead.ErrPlatform.New("the store returned none of the %d records of %q from offset %d on; retrying", remaining, f.topic, f.next)
		}
		f.skipHistory = remaining > countKeys(page.Items)
		f.watcher.opts.Log.Info("partial-read", "topic", f.topic, "from", f.next, "next", page.Next, "end", page.End, "skip", f.skipHistory)
	} else {
		f.skipHistory = false
	}
	f.setSource("")
	return f.applyPage(page, complete, started)
}

// countKeys returns the number of different keys of records.
func countKeys(items []sequoialead.Item) uint64 {
	keys := map[string]bool{}
	for _, item := range items {
		keys[item.Key] = true
	}
	return uint64(len(keys))
}

// markUnsynced makes the next read return the newest record of every key.
func (f *follower) markUnsynced() {
	f.watcher.mu.Lock()
	defer f.watcher.mu.Unlock()
	f.synced = false
}

// applyPage applies a page whose read from the store began at started. A part of the records
// asked for doesn't renew the lease, since it says nothing about those that are missing. The
// error says that the page is of an older era than one that became known meanwhile.
func (f *follower) applyPage(page sequoialead.Page, complete bool, started time.Time) error {
	origin := "store"
	if f.source != "" {
		origin = "entry"
	}
	f.watcher.opts.Metrics.GetOrCreateCounter(fmt.Sprintf(`sequoialead_reads_total{topic=%q,from=%q}`, f.topic, origin)).Inc()
	now := f.watcher.opts.Now()
	f.watcher.mu.Lock()
	if page.Era != f.watcher.era {
		f.watcher.mu.Unlock()
		return f.watcher.errOldEra(page.Era)
	}
	restarted := page.Era != f.era
	if restarted {
		f.era = page.Era
		if f.restart != nil {
			f.restart(now)
		}
	}
	if complete {
		f.recordCache.Reset(page.Next)
	} else {
		f.recordCache.Add(page.Items)
	}
	if f.applied != nil {
		if restarted {
			page.Items = slices.DeleteFunc(page.Items, func(item sequoialead.Item) bool { return f.applied[item.Key] })
		}
		for _, item := range page.Items {
			f.applied[item.Key] = true
		}
	}
	f.next = page.Next
	f.synced = true
	f.behind = page.Remaining() > 0
	if f.topic == sequoialead.TopicServers && !f.behind {
		f.watcher.servers.StoreRead(now)
	}
	f.apply(page, complete, now)
	f.watcher.mu.Unlock()
	if restarted && f.confirm != nil {
		f.confirm()
	}
	if !f.behind {
		f.lease.Renew(started)
	}
	if f.failing {
		f.failing = false
		f.watcher.opts.Log.Info("store-back", "topic", f.topic, "from", f.source)
	}
	if len(page.Items) > 0 {
		f.watcher.opts.OnChange()
	}
	return nil
}

// setSource records where the records come from, and logs a change.
func (f *follower) setSource(from string) {
	if f.source != from {
		f.source = from
		f.watcher.opts.Log.Info("records-from", "topic", f.topic, "entry", from, "next", f.next)
	}
}

func (f *follower) readFailed(err error) {
	if f.topic == sequoialead.TopicServers {
		f.watcher.mu.Lock()
		f.watcher.servers.StoreFailed()
		f.watcher.mu.Unlock()
	}
	if !f.failing && f.watcher.tomb.Alive() {
		f.failing = true
		f.watcher.opts.Log.Error(err, "store-lost", "topic", f.topic)
	}
}
