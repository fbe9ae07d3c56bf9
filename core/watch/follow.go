package watch

import (
	"context"
	"fmt"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/joomcode/errorx"

	"sequoialead"
	"sequoialead/core/frame"
	"sequoialead/core/lease"
	"sequoialead/core/members"
	"sequoialead/core/tail"
)

// take applies one page. The page holds the newest of all keys if whole is set.
type take func(page sequoialead.Page, whole bool, now time.Time)

// follower reads one topic, from the store or by way of another entry.
type follower struct {
	w     *Watcher
	topic sequoialead.Topic
	// pace is the time between the starts of reads, and first that between the
	// first few if it is set.
	pace  time.Duration
	first time.Duration
	reads int
	apply take
	// lease counts from the newest read of the store, by whichever entry.
	lease *lease.Lease
	down  bool
	// from is the entry that told of the records last; empty for the store.
	from string

	// next is the offset to read from, once whole was read, and tail holds the
	// records before it. They are guarded by the watcher's lock for writing.
	next  uint64
	known bool
	tail  *tail.Tail
}

// follow reads one topic until the watcher closes.
func (w *Watcher) follow(f *follower) {
	f.w = w
	f.tail = tail.New()
	w.mu.Lock()
	w.followers[f.topic] = f
	w.mu.Unlock()
	w.tomb.Go(f.run)
}

func (f *follower) run() error {
	pause := backoff.NewExponentialBackOff()
	pause.InitialInterval = retryFirst
	pause.MaxInterval = retryMost
	for f.w.tomb.Alive() {
		began := f.w.opts.Now()
		entries := f.w.Members(began)
		err := f.read(began, entries)
		if err == nil {
			pause.Reset()
			f.reads++
			f.sleep(f.pause(entries) - f.w.opts.Now().Sub(began))
			continue
		}
		f.failed(err)
		f.sleep(pause.NextBackOff())
	}
	return nil
}

// pause returns the time between the starts of reads.
func (f *follower) pause(entries []members.Entry) time.Duration {
	pace := f.pace
	if f.first > 0 && f.reads < firstReads {
		pace = f.first
	}
	if f.from != "" || f.w.opts.Relay.Reader(f.topic, entries) {
		pace = time.Duration(sharedFactor * float64(pace))
	}
	return pace
}

func (f *follower) sleep(d time.Duration) {
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-f.w.tomb.Dying():
	}
}

// read brings the topic up to date, from the entry that reads it for others if
// there is one, else from the store, else from any entry that can read it.
func (f *follower) read(began time.Time, entries []members.Entry) error {
	background := f.w.tomb.Context(context.Background())
	ask := frame.Ask{Topic: f.topic, From: f.next}
	if f.known {
		if news, from, ok := f.w.opts.Relay.Read(background, ask, entries, f.share(askedAge)); ok {
			f.told(news, from, began)
			return nil
		}
	}
	ctx, cancel := context.WithTimeout(background, f.w.timeout())
	defer cancel()
	err := f.readStore(ctx, f.w.opts.Now())
	if err == nil || !f.known || !f.w.tomb.Alive() {
		return err
	}
	now := f.w.opts.Now()
	if news, from, ok := f.w.opts.Relay.Rescue(background, ask, entries, f.share(rescueAge)); ok {
		f.told(news, from, now)
		return nil
	}
	return err
}

// share returns a part of the time between reads.
func (f *follower) share(part float64) time.Duration { return time.Duration(part * float64(f.pace)) }

// told takes what another entry knows, asked for at a time.
func (f *follower) told(news frame.News, from string, asked time.Time) {
	f.source(from)
	f.taken(sequoialead.Page{Items: news.Items, Next: news.Next}, false, asked.Add(-news.Age))
}

// readStore reads the topic from the store, from a time on.
func (f *follower) readStore(ctx context.Context, began time.Time) error {
	whole := !f.known
	var page sequoialead.Page
	var err error
	if whole {
		page, err = f.w.opts.Store.Newest(ctx, f.topic)
	} else {
		page, err = f.w.opts.Store.Since(ctx, f.topic, f.next)
		if errorx.IsOfType(err, sequoialead.ErrGone) {
			f.w.opts.Log.Info("history-gone", "topic", f.topic, "from", f.next)
			f.forget()
			return f.readStore(ctx, began)
		}
	}
	if err != nil {
		return err
	}
	if f.known && page.Next < f.next {
		f.w.opts.Log.Info("stale-read", "topic", f.topic, "next", f.next, "got", page.Next)
		return nil
	}
	f.source("")
	f.taken(page, whole, began)
	return nil
}

// forget makes the next read one of the newest records.
func (f *follower) forget() {
	f.w.mu.Lock()
	defer f.w.mu.Unlock()
	f.known = false
}

// taken applies a page that was read from a time on.
func (f *follower) taken(page sequoialead.Page, whole bool, began time.Time) {
	way := "store"
	if f.from != "" {
		way = "entry"
	}
	f.w.opts.Metrics.GetOrCreateCounter(fmt.Sprintf(`sequoialead_reads_total{topic=%q,from=%q}`, f.topic, way)).Inc()
	now := f.w.opts.Now()
	f.w.mu.Lock()
	if whole {
		f.tail.Reset(page.Next)
	} else {
		f.tail.Add(page.Items)
	}
	f.next = page.Next
	f.known = true
	if f.topic == sequoialead.TopicServers {
		f.w.roster.Back(now)
	}
	f.apply(page, whole, now)
	f.w.mu.Unlock()
	f.lease.Renew(began)
	if f.down {
		f.down = false
		f.w.opts.Log.Info("store-back", "topic", f.topic, "from", f.from)
	}
	if len(page.Items) > 0 {
		f.w.opts.Changed()
	}
}

// source logs a change of where the records come from.
func (f *follower) source(from string) {
	if f.from != from {
		f.from = from
		f.w.opts.Log.Info("records-from", "topic", f.topic, "entry", from, "next", f.next)
	}
}

func (f *follower) failed(err error) {
	if f.topic == sequoialead.TopicServers {
		f.w.mu.Lock()
		f.w.roster.Away()
		f.w.mu.Unlock()
	}
	if !f.down && f.w.tomb.Alive() {
		f.down = true
		f.w.opts.Log.Error(err, "store-lost", "topic", f.topic)
	}
}
