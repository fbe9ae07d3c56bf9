package claims

import (
	"context"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/google/uuid"

	"sequoialead"
	"sequoialead/core/claimlog"
)

// record is the encoding of a record in a claims stream: a batch of items, and the
// signature that proves that a process of the fleet wrote it.
type record struct {
	Items     []byte `cbor:"1,keyasint"`
	Signature []byte `cbor:"2,keyasint"`
}

// shard holds the state read from one claims stream and the items to append to it.
type shard struct {
	stream string
	opts   Options

	mu    sync.Mutex
	state *claimlog.State
	// nextOffset is the offset of the first record not yet read.
	nextOffset uint64
	// logTime is the time of the latest record read, by the log's clock.
	logTime time.Time
	// completeSince is the time from which no record is missing. It is zero
	// unless the log has pruned records before they were read.
	completeSince time.Time
	// caughtUp is set once the stream was read to its end.
	caughtUp bool
	// readBack holds the attempts of this entry that wait for their claim. The
	// value is set once the claim was read back from the log.
	readBack map[uuid.UUID]bool
	// updated is closed and replaced after each read.
	updated chan struct{}
	// queue holds the items to append to the log.
	queue []claimlog.Item
	// appending is the number of items taken from the queue whose append is not
	// confirmed.
	appending   int
	queueSignal chan struct{}
}

func newShard(stream string, opts Options) *shard {
	return &shard{
		stream:      stream,
		opts:        opts,
		state:       claimlog.New(maxRecordedBytes),
		readBack:    map[uuid.UUID]bool{},
		updated:     make(chan struct{}),
		queueSignal: make(chan struct{}, 1),
	}
}

// ready waits until the stream was read to its end once. It fails at once while
// MaxQueueItems or more items are pending.
func (s *shard) ready(ctx context.Context) error {
	if s.pending() >= MaxQueueItems {
		return sequoialead.ErrPlatform.New("%d items are queued for the log; check whether the log accepts appends", s.pending())
	}
	return s.waitUntil(ctx, func() bool { return s.caughtUp })
}

// waitUntil waits until a condition holds. The condition is called with mu held,
// after each read of the stream.
func (s *shard) waitUntil(ctx context.Context, condition func() bool) error {
	for {
		s.mu.Lock()
		ok, updated := condition(), s.updated
		s.mu.Unlock()
		if ok {
			return nil
		}
		select {
		case <-updated:
		case <-ctx.Done():
			return sequoialead.ErrPlatform.New("the claims could not be read back from the log in time; retry with the same key")
		}
	}
}

// find returns a copy of the claim of a key, or nil if nobody holds it.
func (s *shard) find(key claimlog.Digest) *claimlog.Claim {
	s.mu.Lock()
	defer s.mu.Unlock()
	found := s.state.Find(key, s.logTime)
	if found == nil {
		return nil
	}
	copied := *found
	return &copied
}

// claim appends a claim to the log, waits until it is read back, and reports
// whether it was the first.
func (s *shard) claim(ctx context.Context, c *claim, print claimlog.Digest) (bool, error) {
	s.mu.Lock()
	s.readBack[c.attempt] = false
	s.mu.Unlock()
	defer s.untrack(c.attempt)
	s.enqueue(claimlog.Item{Kind: claimlog.KindClaim, Key: c.key, Attempt: c.attempt, Fingerprint: print, Window: s.opts.Window})
	if err := s.waitUntil(ctx, func() bool { return s.readBack[c.attempt] }); err != nil {
		return false, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.completeSince.IsZero() && s.logTime.Add(-s.opts.Window).Before(s.completeSince) {
		return false, sequoialead.ErrPlatform.New("the log lost claims that may still be valid; lower 'window' in the entries' settings below the log's retention")
	}
	found := s.state.Find(c.key, s.logTime)
	return found != nil && found.Attempt == c.attempt, nil
}

func (s *shard) untrack(attempt uuid.UUID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.readBack, attempt)
}

// repeatAnswer returns the answer for a request whose key is already held. It
// waits for the outcome of the first request until the context ends.
func (s *shard) repeatAnswer(ctx context.Context, key, print claimlog.Digest) *sequoialead.Answer {
	first := s.find(key)
	if first == nil {
		return refusedAnswer(sequoialead.ErrPlatform.New("the idempotency key was released or has expired; retry with the same key"))
	}
	if first.Fingerprint != print {
		return &sequoialead.Answer{
			Outcome: sequoialead.OutcomeNotRun,
			Reason:  sequoialead.ReasonRepeat,
			Detail:  "the idempotency key was used for a different request; this one was not run",
		}
	}
	var found *claimlog.Claim
	_ = s.waitUntil(ctx, func() bool { // after a timeout, the last value of found is used
		found = s.state.Find(key, s.logTime)
		return found == nil || found.Attempt != first.Attempt || found.Ended
	})
	if found == nil || found.Attempt != first.Attempt {
		return refusedAnswer(sequoialead.ErrPlatform.New("the idempotency key was released or has expired; retry with the same key"))
	}
	return recordedAnswer(*found)
}

// recordedAnswer returns the answer recorded in a claim, or OutcomeUnknown if
// the first request has not ended.
func recordedAnswer(found claimlog.Claim) *sequoialead.Answer {
	answer := &sequoialead.Answer{
		Outcome: sequoialead.OutcomeUnknown,
		Reason:  sequoialead.ReasonRepeat,
		Detail:  "the first request with this key has not ended, or its end was not recorded",
	}
	if !found.Ended {
		return answer
	}
	if len(found.Answer) > 0 && cbor.Unmarshal(found.Answer, answer) == nil {
		answer.Repeat = true
		return answer
	}
	answer.Detail = "the first request with this key ended as " + string(found.Outcome) + "; its answer is no longer held"
	return answer
}

// enqueue queues an item to be appended to the log.
func (s *shard) enqueue(item claimlog.Item) {
	s.mu.Lock()
	s.queue = append(s.queue, item)
	s.mu.Unlock()
	select {
	case s.queueSignal <- struct{}{}:
	default:
	}
}

// pending returns the number of items that are not yet known to be in the log.
func (s *shard) pending() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.queue) + s.appending
}

// waitFlushed waits until all queued items are in the log, or the context ends.
func (s *shard) waitFlushed(ctx context.Context) {
	for {
		if s.pending() == 0 {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(flushInterval):
		}
	}
}

// writeLoop appends queued items in batches. A batch whose append may have failed
// is appended again, since copies of an item have no effect.
func (s *shard) writeLoop(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-s.queueSignal:
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(flushInterval):
		}
		for batch := s.nextBatch(); len(batch) > 0; batch = s.nextBatch() {
			if !s.append(ctx, batch) {
				return nil
			}
		}
	}
}

// nextBatch takes up to maxBatchItems items from the queue.
func (s *shard) nextBatch() []claimlog.Item {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := min(len(s.queue), maxBatchItems)
	batch := s.queue[:n:n]
	s.queue = s.queue[n:]
	s.appending = n
	return batch
}

// append retries to append a batch until the log has accepted it. It reports
// false if the context ended first.
func (s *shard) append(ctx context.Context, batch []claimlog.Item) bool {
	for {
		raw, err := s.encode(batch)
		if err == nil {
			actx, cancel := context.WithTimeout(ctx, appendTimeout)
			_, err = s.opts.Log.Append(actx, s.stream, raw)
			cancel()
		}
		if err == nil {
			s.mu.Lock()
			s.appending = 0
			s.mu.Unlock()
			return true
		}
		batch = s.dropAbandoned(batch)
		select {
		case <-ctx.Done():
			return false
		case <-time.After(appendBackoff):
		}
	}
}

// dropAbandoned removes from a batch the claims that nobody waits for any more.
// Releases are kept, because a claim may have reached the log before.
func (s *shard) dropAbandoned(batch []claimlog.Item) []claimlog.Item {
	s.mu.Lock()
	defer s.mu.Unlock()
	var remaining []claimlog.Item
	for _, item := range batch {
		_, tracked := s.readBack[item.Attempt]
		if item.Kind != claimlog.KindClaim || tracked {
			remaining = append(remaining, item)
		}
	}
	return remaining
}

func (s *shard) encode(batch []claimlog.Item) ([]byte, error) {
	items, err := cbor.Marshal(batch)
	if err != nil {
		return nil, err
	}
	return cbor.Marshal(record{Items: items, Signature: s.opts.Signer.Sign(purposeClaims, items)})
}

// readLoop reads the stream continuously until the context ends.
func (s *shard) readLoop(ctx context.Context) error {
	for ctx.Err() == nil {
		if err := s.readOnce(ctx); err != nil {
			select {
			case <-ctx.Done():
			case <-time.After(readBackoff):
			}
		}
	}
	return nil
}

// readOnce reads one batch. Once caught up, the read waits for new records up to
// longPollWait.
func (s *shard) readOnce(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	s.mu.Lock()
	next, wait := s.nextOffset, longPollWait
	if !s.caughtUp {
		wait = 0
	}
	s.mu.Unlock()
	batch, err := s.opts.Log.Read(ctx, s.stream, next, wait)
	if err != nil {
		return err
	}
	s.applyBatch(batch)
	return nil
}

// applyBatch adds a batch of records and wakes the waiters. Records that the log
// has pruned before they were read are skipped.
func (s *shard) applyBatch(batch sequoialead.Batch) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if batch.Oldest > s.nextOffset {
		s.nextOffset = batch.Oldest
		s.caughtUp = false
		if len(batch.Records) > 0 {
			s.completeSince = batch.Records[0].Time
		}
	}
	for _, r := range batch.Records {
		if r.Offset < s.nextOffset {
			continue
		}
		s.nextOffset = r.Offset + 1
		s.logTime = r.Time
		s.applyRecord(r)
	}
	s.caughtUp = s.caughtUp || s.nextOffset >= batch.Next
	close(s.updated)
	s.updated = make(chan struct{})
}

// applyRecord adds the items of a record to the state. Records without a valid
// signature were not written by this fleet and are ignored.
func (s *shard) applyRecord(r sequoialead.Record) {
	var rec record
	if cbor.Unmarshal(r.Data, &rec) != nil || !s.opts.Signer.Verify(purposeClaims, rec.Items, rec.Signature) {
		return
	}
	var items []claimlog.Item
	if cbor.Unmarshal(rec.Items, &items) != nil {
		return
	}
	for _, item := range items {
		s.state.Add(item, r.Time)
		if _, tracked := s.readBack[item.Attempt]; tracked && item.Kind == claimlog.KindClaim {
			s.readBack[item.Attempt] = true
		}
	}
}
