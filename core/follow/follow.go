// Package follow keeps the configuration in force: it folds the log's stream
// and takes newer versions from peers. Besides the follower it exports its
// options.
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
	"sequoialead/core/fold"
	"sequoialead/core/frame"
	"sequoialead/core/seal"
)

// Stream is the name of the configuration's stream in the log.
const Stream = "configuration"

// Periods and bounds of following the log.
const (
	ReadWait       = 2 * time.Second
	ReadTimeout    = 5 * time.Second
	RetryFirst     = 100 * time.Millisecond
	RetryMost      = 2 * time.Second
	SnapshotEvery  = 256
	SnapshotPeriod = 10 * time.Minute
	// slackShare is the part of SnapshotEvery over which processes spread.
	slackShare = 4
)

// Options configures a follower.
type Options struct {
	Sealer *seal.Sealer
	// Log is nil where the configuration comes from peers alone.
	Log sequoialead.Log
	// Changed is called after each new version, if set.
	Changed func(sequoialead.Version)
	// SnapshotEvery is the number of records between snapshots.
	SnapshotEvery uint64
	// SnapshotPeriod is the longest time between snapshots. It is well below
	// the time that the log keeps records.
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

	mu   sync.Mutex
	fold *fold.Fold
	// moved is closed and replaced after each record or relay taken.
	moved chan struct{}
	// snapped is when a snapshot was last seen or written.
	snapped time.Time
	// slack is how many records more than due this process waits with a
	// snapshot, so that not all write one at once.
	slack uint64
	// caught is when the log was last read to its end; zero before the first.
	caught time.Time
}

// New returns a follower at version 0.
func New(opts Options) (*Follower, error) {
	f, err := fold.New(opts.Sealer)
	if err != nil {
		return nil, err
	}
	if opts.SnapshotEvery == 0 {
		opts.SnapshotEvery = SnapshotEvery
	}
	if opts.SnapshotPeriod == 0 {
		opts.SnapshotPeriod = SnapshotPeriod
	}
	w := &Follower{
		opts:    opts,
		fold:    f,
		moved:   make(chan struct{}),
		snapped: time.Now(),
		slack:   rand.Uint64N(opts.SnapshotEvery/slackShare + 1),
	}
	w.publish()
	return w, nil
}

var _ sequoialead.Service = (*Follower)(nil)

// Start begins to read the log.
func (w *Follower) Start(context.Context) error {
	w.tomb.Go(w.run)
	return nil
}

// Close stops reading.
func (w *Follower) Close() error {
	w.tomb.Kill(nil)
	return w.tomb.Wait()
}

// Current returns the newest version known here.
func (w *Follower) Current() (*config.Config, sequoialead.Version) {
	s := w.current.Load()
	return s.config, s.version
}

// View calls a function with the fold, which it must not keep.
func (w *Follower) View(look func(*fold.Fold)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	look(w.fold)
}

// Moved returns a channel that is closed after the next record or relay.
func (w *Follower) Moved() <-chan struct{} {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.moved
}

// Caught returns when the log was last read to its end.
func (w *Follower) Caught() time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.caught
}

// Relay returns what a peer at the given version lacks.
func (w *Follower) Relay(have sequoialead.Version) (frame.Relay, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.fold.Relay(have)
}

// Learn takes newer versions from a peer.
func (w *Follower) Learn(r frame.Relay) error {
	w.mu.Lock()
	_, err := w.fold.Learn(r)
	w.publish()
	w.mu.Unlock()
	return err
}

// publish makes the fold's version the current one. The caller holds mu, or
// is New.
func (w *Follower) publish() {
	version := w.fold.Version()
	old := w.current.Load()
	close(w.moved)
	w.moved = make(chan struct{})
	if old != nil && old.version == version {
		return
	}
	w.current.Store(&state{config: w.fold.Config(), version: version})
	if w.opts.Changed != nil && old != nil {
		w.opts.Changed(version)
	}
}

func (w *Follower) run() error {
	if w.opts.Log == nil {
		<-w.tomb.Dying()
		return nil
	}
	ctx := w.tomb.Context(context.Background())
	wait := backoff.NewExponentialBackOff()
	wait.InitialInterval = RetryFirst
	wait.MaxInterval = RetryMost
	for w.tomb.Alive() {
		err := w.step(ctx)
		if err == nil {
			wait.Reset()
			continue
		}
		select {
		case <-w.tomb.Dying():
		case <-time.After(wait.NextBackOff()):
		}
	}
	return nil
}

// step reads one batch of the log and folds it.
func (w *Follower) step(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, ReadTimeout)
	defer cancel()
	w.mu.Lock()
	next := w.fold.Next()
	w.mu.Unlock()
	batch, err := w.opts.Log.Read(ctx, Stream, next, ReadWait)
	if err != nil {
		return err
	}
	if batch.Oldest > next {
		return w.bridge(ctx, batch.Oldest)
	}
	w.take(batch)
	return w.snapshot(ctx)
}

func (w *Follower) take(batch sequoialead.Batch) {
	w.mu.Lock()
	defer w.mu.Unlock()
	covered := w.fold.Covered()
	for _, r := range batch.Records {
		w.fold.Add(r)
	}
	if w.fold.Covered() != covered {
		w.snapped = time.Now()
	}
	if w.fold.Next() >= batch.Next {
		w.caught = time.Now()
	}
	w.publish()
}

// bridge crosses a gap of records that the log no longer keeps, with the
// newest snapshot whose following records are all still there.
func (w *Follower) bridge(ctx context.Context, oldest uint64) error {
	var best *sequoialead.Snapshot
	from := oldest
	for {
		batch, err := w.opts.Log.Read(ctx, Stream, from, 0)
		if err != nil {
			return err
		}
		for _, r := range batch.Records {
			w.mu.Lock()
			s, ok := w.fold.Snapshot(r.Data)
			w.mu.Unlock()
			if ok && s.Covered >= batch.Oldest && (best == nil || s.Covered > best.Covered) {
				best = &s
			}
			from = r.Offset + 1
		}
		if from >= batch.Next || len(batch.Records) == 0 {
			break
		}
	}
	if best == nil {
		return sequoialead.ErrPlatform.New("the log lost records that no snapshot covers; lower 'snapshot' in the entries' settings below the log's retention")
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	_, err := w.fold.Restore(*best, true)
	w.publish()
	return err
}

// snapshot writes a snapshot when one is due. Two entries may both write one,
// which does no harm.
func (w *Follower) snapshot(ctx context.Context) error {
	w.mu.Lock()
	records := w.fold.Next() - w.fold.Covered()
	due := records >= w.opts.SnapshotEvery+w.slack || time.Since(w.snapped) > w.opts.SnapshotPeriod
	if !due || w.fold.Version() == 0 {
		w.mu.Unlock()
		return nil
	}
	raw, err := w.fold.EncodeSnapshot()
	w.snapped = time.Now()
	w.mu.Unlock()
	if err != nil {
		return err
	}
	_, err = w.opts.Log.Append(ctx, Stream, raw)
	return err
}
