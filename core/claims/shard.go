package claims

import (
	"context"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/google/uuid"

	"sequoialead"
	"sequoialead/core/ledger"
)

// record is the form of a record in a claims stream.
type record struct {
	Items []byte `cbor:"1,keyasint"`
	Seal  []byte `cbor:"2,keyasint"`
}

// shard is one claims stream with what was read of it.
type shard struct {
	stream string
	opts   Options

	mu     sync.Mutex
	ledger *ledger.Ledger
	// next is the offset of the first record not read.
	next uint64
	// now is the time of the latest record, by the log's clock.
	now time.Time
	// since is the time from which all records are known; zero for all time.
	since time.Time
	// caught is set once the stream was read to its end.
	caught bool
	// seen holds this entry's attempts whose claim was read back, until asked.
	seen map[uuid.UUID]bool
	// moved is closed and replaced after each read.
	moved chan struct{}
	// queue holds items that are not in the log for sure.
	queue []ledger.Item
	// writing is the number of items of the queue's past that are being written.
	writing int
	queued  chan struct{}
}

func newShard(stream string, opts Options) *shard {
	return &shard{
		stream: stream,
		opts:   opts,
		ledger: ledger.New(LedgerBytes),
		seen:   map[uuid.UUID]bool{},
		moved:  make(chan struct{}),
		queued: make(chan struct{}, 1),
	}
}

// ready waits until the stream was read to its end once. It fails at once while
// too much waits for the log.
func (s *shard) ready(ctx context.Context) error {
	if s.pending() >= QueueItems {
		return sequoialead.ErrPlatform.New("%d claims wait for the log; look whether it takes records", s.pending())
	}
	return s.until(ctx, func() bool { return s.caught })
}

// until waits until a condition holds, which is asked for with mu held.
func (s *shard) until(ctx context.Context, holds func() bool) error {
	for {
		s.mu.Lock()
		ok, moved := holds(), s.moved
		s.mu.Unlock()
		if ok {
			return nil
		}
		select {
		case <-moved:
		case <-ctx.Done():
			return sequoialead.ErrPlatform.New("the claims could not be read back from the log in time; retry with the same key")
		}
	}
}

// find returns a copy of who holds a key, or nil.
func (s *shard) find(key ledger.Digest) *ledger.Holding {
	s.mu.Lock()
	defer s.mu.Unlock()
	h := s.ledger.Find(key, s.now)
	if h == nil {
		return nil
	}
	held := *h
	return &held
}

// claim writes a claim and reports whether it was the first.
func (s *shard) claim(ctx context.Context, c *claim, print ledger.Digest) (bool, error) {
	s.mu.Lock()
	s.seen[c.attempt] = false
	s.mu.Unlock()
	defer s.forget(c.attempt)
	s.post(ledger.Item{Kind: ledger.KindClaim, Key: c.key, Attempt: c.attempt, Print: print, Window: s.opts.Window})
	if err := s.until(ctx, func() bool { return s.seen[c.attempt] }); err != nil {
		return false, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.since.IsZero() && s.now.Add(-s.opts.Window).Before(s.since) {
		return false, sequoialead.ErrPlatform.New("the log lost claims that may still be valid; lower 'window' in the entries' settings below the log's retention")
	}
	h := s.ledger.Find(c.key, s.now)
	return h != nil && h.Attempt == c.attempt, nil
}

func (s *shard) forget(attempt uuid.UUID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.seen, attempt)
}

// repeat tells what is known of the request that holds a key. It waits for
// that request's end as long as the caller does.
func (s *shard) repeat(ctx context.Context, key, print ledger.Digest) *sequoialead.Answer {
	first := s.find(key)
	if first == nil {
		return refused(sequoialead.ErrPlatform.New("the key was given back just now; retry with the same key"))
	}
	if first.Print != print {
		return &sequoialead.Answer{
			Outcome: sequoialead.OutcomeNotRun,
			Reason:  sequoialead.ReasonRepeat,
			Detail:  "the idempotency key was used for another request; this one was not run",
		}
	}
	var h *ledger.Holding
	_ = s.until(ctx, func() bool { // what is known at the end of the wait counts
		h = s.ledger.Find(key, s.now)
		return h == nil || h.Attempt != first.Attempt || h.Ended
	})
	if h == nil || h.Attempt != first.Attempt {
		return refused(sequoialead.ErrPlatform.New("the key was given back just now; retry with the same key"))
	}
	return recorded(*h)
}

// recorded returns the answer that a holding keeps.
func recorded(h ledger.Holding) *sequoialead.Answer {
	answer := &sequoialead.Answer{
		Outcome: sequoialead.OutcomeUnknown,
		Reason:  sequoialead.ReasonRepeat,
		Detail:  "the first request with this key has not ended, or its end was not recorded",
	}
	if !h.Ended {
		return answer
	}
	if len(h.Answer) > 0 && cbor.Unmarshal(h.Answer, answer) == nil {
		answer.Repeat = true
		return answer
	}
	answer.Detail = "the first request with this key ended as " + string(h.Outcome) + "; its answer is no longer held"
	return answer
}

// post queues an item for the log.
func (s *shard) post(item ledger.Item) {
	s.mu.Lock()
	s.queue = append(s.queue, item)
	s.mu.Unlock()
	select {
	case s.queued <- struct{}{}:
	default:
	}
}

// pending returns the number of items that are not in the log for sure.
func (s *shard) pending() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.queue) + s.writing
}

// flushed waits until all queued items are in the log, or the context ends.
func (s *shard) flushed(ctx context.Context) {
	for {
		if s.pending() == 0 {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(flushPeriod):
		}
	}
}

// write appends queued items in batches. A batch whose append may have failed
// is written again; copies change nothing.
func (s *shard) write(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-s.queued:
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(flushPeriod):
		}
		for batch := s.batch(); len(batch) > 0; batch = s.batch() {
			if !s.append(ctx, batch) {
				return nil
			}
		}
	}
}

func (s *shard) batch() []ledger.Item {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := min(len(s.queue), flushItems)
	batch := s.queue[:n:n]
	s.queue = s.queue[n:]
	s.writing = n
	return batch
}

// append writes a batch until the log has taken it. It reports false if the
// context ended first.
func (s *shard) append(ctx context.Context, batch []ledger.Item) bool {
	for {
		raw, err := s.encode(batch)
		if err == nil {
			actx, cancel := context.WithTimeout(ctx, appendTimeout)
			_, err = s.opts.Log.Append(actx, s.stream, raw)
			cancel()
		}
		if err == nil {
			s.mu.Lock()
			s.writing = 0
			s.mu.Unlock()
			return true
		}
		batch = s.current(batch)
		select {
		case <-ctx.Done():
			return false
		case <-time.After(appendPause):
		}
	}
}

// current drops the claims of a batch that nobody waits for any more. Their
// release stays queued.
func (s *shard) current(batch []ledger.Item) []ledger.Item {
	s.mu.Lock()
	defer s.mu.Unlock()
	var kept []ledger.Item
	for _, item := range batch {
		_, waiting := s.seen[item.Attempt]
		if item.Kind != ledger.KindClaim || waiting {
			kept = append(kept, item)
		}
	}
	return kept
}

func (s *shard) encode(batch []ledger.Item) ([]byte, error) {
	items, err := cbor.Marshal(batch)
	if err != nil {
		return nil, err
	}
	return cbor.Marshal(record{Items: items, Seal: s.opts.Sealer.Seal(purposeClaims, items)})
}

// read follows the stream.
func (s *shard) read(ctx context.Context) error {
	for ctx.Err() == nil {
		if err := s.step(ctx); err != nil {
			select {
			case <-ctx.Done():
			case <-time.After(readPause):
			}
		}
	}
	return nil
}

func (s *shard) step(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	s.mu.Lock()
	next, wait := s.next, readWait
	if !s.caught {
		wait = 0
	}
	s.mu.Unlock()
	batch, err := s.opts.Log.Read(ctx, s.stream, next, wait)
	if err != nil {
		return err
	}
	s.take(batch)
	return nil
}

func (s *shard) take(batch sequoialead.Batch) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if batch.Oldest > s.next {
		s.next = batch.Oldest
		s.caught = false
		if len(batch.Records) > 0 {
			s.since = batch.Records[0].Time
		}
	}
	for _, r := range batch.Records {
		if r.Offset < s.next {
			continue
		}
		s.next = r.Offset + 1
		s.now = r.Time
		s.fold(r)
	}
	s.caught = s.caught || s.next >= batch.Next
	close(s.moved)
	s.moved = make(chan struct{})
}

// fold adds a record's items. Records without a right seal are not ours.
func (s *shard) fold(r sequoialead.Record) {
	var rec record
	if cbor.Unmarshal(r.Data, &rec) != nil || !s.opts.Sealer.Check(purposeClaims, rec.Items, rec.Seal) {
		return
	}
	var items []ledger.Item
	if cbor.Unmarshal(rec.Items, &items) != nil {
		return
	}
	for _, item := range items {
		s.ledger.Add(item, r.Time)
		if _, ours := s.seen[item.Attempt]; ours && item.Kind == ledger.KindClaim {
			s.seen[item.Attempt] = true
		}
	}
}
