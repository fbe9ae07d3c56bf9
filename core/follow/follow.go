// Package follow keeps a process's configuration up to date from the log and
// from peers, writes snapshots to the log, and proposes patches.
package follow

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cenkalti/backoff/v5"
	"gopkg.in/tomb.v2"

	"sequoialead"
	"sequoialead/core/config"
	"sequoialead/core/configlog"
	"sequoialead/core/mac"
	"sequoialead/core/protocol"
)

// streamName is the name of the configuration's stream in the log.
const streamName = "configuration"

// Timeouts and backoff of reading the log, and defaults for snapshots.
const (
	readWait              = 2 * time.Second
	readTimeout           = 5 * time.Second
	retryMin              = 100 * time.Millisecond
	retryMax              = 2 * time.Second
	defaultSnapshotEvery  = 256
	defaultSnapshotPeriod = 10 * time.Minute
	// The maximum of snapshotJitter is SnapshotEvery divided by jitterDivisor.
	jitterDivisor = 4
)

// Options configures a follower.
type Options struct {
	Signer *mac.Signer
	// Log is nil if the configuration comes from peers alone.
	Log sequoialead.Log
	// OnChange is called after each new version with the follower's lock held. It
	// may be nil.
	OnChange func(sequoialead.Version)
	// SnapshotEvery is the number of records between snapshots; zero for the
	// default of 256.
	SnapshotEvery uint64
	// SnapshotPeriod is the maximum time between snapshots; zero for the default
	// of 10 min. It must be well below the log's retention time.
	SnapshotPeriod time.Duration
}

type state struct {
	config  *config.Config
	version sequoialead.Version
}

// Follower holds the newest configuration known to a process.
type Follower struct {
	opts    Options
	tomb    tomb.Tomb
	current atomic.Pointer[state]

	mu    sync.Mutex
	state *configlog.State
	// progress is closed and replaced each time that records of the log or an
	// update from a peer were applied.
	progress chan struct{}
	// lastSnapshot is when a snapshot was last seen or written.
	lastSnapshot time.Time
	// snapshotJitter is the number of records that this process waits beyond
	// SnapshotEvery before it writes a snapshot, so that not all processes write
	// one at once.
	snapshotJitter uint64
	// caughtUp is when the log was last read to its end; zero before the first
	// time.
	caughtUp time.Time
}

// New returns a follower at version 0. Call Start to read the log.
func New(opts Options) (*Follower, error) {
	st, err := configlog.New(opts.Signer)
	if err != nil {
		return nil, err
	}
	if opts.SnapshotEvery == 0 {
		opts.SnapshotEvery = defaultSnapshotEvery
	}
	if opts.SnapshotPeriod == 0 {
		opts.SnapshotPeriod = defaultSnapshotPeriod
	}
	w := &Follower{
		opts:           opts,
		state:          st,
		progress:       make(chan struct{}),
		lastSnapshot:   time.Now(),
		snapshotJitter: rand.Uint64N(opts.SnapshotEvery/jitterDivisor + 1),
	}
	w.publish()
	return w, nil
}

var _ sequoialead.Service = (*Follower)(nil)

// Start begins to read the log in the background.
func (w *Follower) Start(context.Context) error {
	w.tomb.Go(w.run)
	return nil
}

// Close stops reading, and waits until the read in progress has ended.
func (w *Follower) Close() error {
	w.tomb.Kill(nil)
	return w.tomb.Wait()
}

// Current returns the newest known configuration and its version.
func (w *Follower) Current() (*config.Config, sequoialead.Version) {
	s := w.current.Load()
	return s.config, s.version
}

// View calls fn with the state while the follower's lock is held. fn must not
// keep the state.
func (w *Follower) View(fn func(*configlog.State)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fn(w.state)
}

// progressSignal returns a channel that is closed the next time that records of
// the log or an update from a peer were applied.
func (w *Follower) progressSignal() <-chan struct{} {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.progress
}

// CaughtUp returns when the log was last read to its end; zero if it never was.
func (w *Follower) CaughtUp() time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.caughtUp
}

// UpdateSince returns what a peer at the given version lacks. It reports false if
// there is nothing newer.
func (w *Follower) UpdateSince(have sequoialead.Version) (protocol.ConfigUpdate, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.state.UpdateSince(have)
}

// ApplyUpdate applies newer versions from a peer.
func (w *Follower) ApplyUpdate(update protocol.ConfigUpdate) error {
	w.mu.Lock()
	_, err := w.state.ApplyUpdate(update)
	w.publish()
	w.mu.Unlock()
	return err
}

// publish makes the state's version the current one, and signals progress. The
// caller holds mu, or is New.
func (w *Follower) publish() {
	version := w.state.Version()
	old := w.current.Load()
	close(w.progress)
	w.progress = make(chan struct{})
	if old != nil && old.version == version {
		return
	}
	w.current.Store(&state{config: w.state.Config(), version: version})
	if w.opts.OnChange != nil && old != nil {
		w.opts.OnChange(version)
	}
}

func (w *Follower) run() error {
	if w.opts.Log == nil {
		<-w.tomb.Dying()
		return nil
	}
	ctx := w.tomb.Context(context.Background())
	retryBackoff := backoff.NewExponentialBackOff()
	retryBackoff.InitialInterval = retryMin
	retryBackoff.MaxInterval = retryMax
	for w.tomb.Alive() {
		err := w.readBatch(ctx)
		if err == nil {
			retryBackoff.Reset()
			continue
		}
		select {
		case <-w.tomb.Dying():
		case <-time.After(retryBackoff.NextBackOff()):
		}
	}
	return nil
}

// readBatch reads one batch of records and applies it, then writes a snapshot
// if one is due. If the log no longer keeps the next record, it skips the gap.
func (w *Follower) readBatch(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	w.mu.Lock()
	next := w.state.Next()
	w.mu.Unlock()
	batch, err := w.opts.Log.Read(ctx, streamName, next, readWait)
	if err != nil {
		return err
	}
	if batch.Oldest > next {
		return w.skipGap(ctx, batch.Oldest)
	}
	w.applyBatch(batch)
	return w.writeSnapshotIfDue(ctx)
}

func (w *Follower) applyBatch(batch sequoialead.Batch) {
	w.mu.Lock()
	defer w.mu.Unlock()
	snapshotNextOffset := w.state.SnapshotNextOffset()
	for _, r := range batch.Records {
		w.state.Add(r)
	}
	if w.state.SnapshotNextOffset() != snapshotNextOffset {
		w.lastSnapshot = time.Now()
	}
	if w.state.Next() >= batch.Next {
		w.caughtUp = time.Now()
	}
	w.publish()
}

// skipGap restores the newest snapshot in the log in place of the records that
// the log no longer keeps. It ignores snapshots after which records are missing
// too.
func (w *Follower) skipGap(ctx context.Context, oldest uint64) error {
	var best *sequoialead.Snapshot
	from := oldest
	for {
		batch, err := w.opts.Log.Read(ctx, streamName, from, 0)
		if err != nil {
			return err
		}
		for _, r := range batch.Records {
			w.mu.Lock()
			s, ok := w.state.DecodeSnapshot(r.Data)
			w.mu.Unlock()
			if ok && s.NextOffset >= batch.Oldest && (best == nil || s.NextOffset > best.NextOffset) {
				best = &s
			}
			from = r.Offset + 1
		}
		if from >= batch.Next || len(batch.Records) == 0 {
			break
		}
	}
	if best == nil {
		return sequoialead.ErrPlatform.New("the log lost records that no snapshot covers; set 'snapshot' in the entries' settings below the log's retention")
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	_, err := w.state.Restore(*best, true)
	w.publish()
	return err
}

// writeSnapshotIfDue appends a snapshot to the log if one is due. Two entries
// may both append one, which does no harm.
func (w *Follower) writeSnapshotIfDue(ctx context.Context) error {
	w.mu.Lock()
	records := w.state.Next() - w.state.SnapshotNextOffset()
	due := records >= w.opts.SnapshotEvery+w.snapshotJitter || time.Since(w.lastSnapshot) > w.opts.SnapshotPeriod
	if !due || w.state.Version() == 0 {
		w.mu.Unlock()
		return nil
	}
	raw, err := w.state.EncodeSnapshot()
	w.lastSnapshot = time.Now()
	w.mu.Unlock()
	if err != nil {
		return err
	}
	_, err = w.opts.Log.Append(ctx, streamName, raw)
	return err
}
