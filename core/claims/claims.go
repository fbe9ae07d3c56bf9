// Package claims lets a request with an idempotency key run at most once in
// the whole fleet. A claim goes to a stream of the log first; the first claim
// in the log's order wins, and who has not read back its own never sends.
// Besides the claimer it exports its options.
package claims

import (
	"context"
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
	"github.com/google/uuid"
	"gopkg.in/tomb.v2"

	"sequoialead"
	"sequoialead/core/entry"
	"sequoialead/core/ledger"
	"sequoialead/core/seal"
)

// Shards is the number of claims streams. All entries use the same.
const Shards = 16

// Bounds and periods of claiming.
const (
	// AnswerBytes is the largest answer that is recorded.
	AnswerBytes = 32 << 10
	// LedgerBytes bounds the recorded answers of one shard.
	LedgerBytes = 1 << 20
	// QueueItems is the number of items of a shard that may wait for the log
	// before claims are refused at once.
	QueueItems     = 4096
	DefaultWindow  = time.Hour
	flushPeriod    = 4 * time.Millisecond
	flushItems     = 512
	appendTimeout  = 2 * time.Second
	appendPause    = 100 * time.Millisecond
	readWait       = 5 * time.Second
	readTimeout    = 8 * time.Second
	readPause      = 100 * time.Millisecond
	closeTimeout   = 3 * time.Second
	purposeClaims  = "claims"
	streamTemplate = "claims-%d"
)

// Options configures a claimer.
type Options struct {
	Log    sequoialead.Log
	Sealer *seal.Sealer
	// Window is how long a key is remembered. It is well below the time that
	// the log keeps records.
	Window time.Duration
}

// Claimer makes claims for one entry.
type Claimer struct {
	opts   Options
	tomb   tomb.Tomb
	mu     sync.Mutex
	shards map[int]*shard
	closed bool
}

var (
	_ sequoialead.Service = (*Claimer)(nil)
	_ entry.Claims        = (*Claimer)(nil)
)

// New returns a claimer.
func New(opts Options) *Claimer {
	if opts.Window == 0 {
		opts.Window = DefaultWindow
	}
	return &Claimer{opts: opts, shards: map[int]*shard{}}
}

// Start keeps the claimer alive; streams are read once they are needed.
func (c *Claimer) Start(context.Context) error {
	c.tomb.Go(func() error {
		<-c.tomb.Dying()
		return nil
	})
	return nil
}

// Close writes what is queued, within a time, and stops.
func (c *Claimer) Close() error {
	c.mu.Lock()
	c.closed = true
	shards := c.shards
	c.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	for _, s := range shards {
		s.flushed(ctx)
	}
	c.tomb.Kill(nil)
	return c.tomb.Wait()
}

// shard returns the shard of a key and begins to read it on first use.
func (c *Claimer) shard(key ledger.Digest) (*shard, error) {
	n := int(xxhash.Sum64(key[:]) % Shards)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return nil, sequoialead.ErrClosed.New("the entry is stopping; ask another")
	}
	s := c.shards[n]
	if s == nil {
		s = newShard(fmt.Sprintf(streamTemplate, n), c.opts)
		c.shards[n] = s
		ctx := c.tomb.Context(context.Background())
		c.tomb.Go(func() error { return s.read(ctx) })
		c.tomb.Go(func() error { return s.write(ctx) })
	}
	return s, nil
}

// Queued returns the number of items that wait for the log.
func (c *Claimer) Queued() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	sum := 0
	for _, s := range c.shards {
		sum += s.pending()
	}
	return sum
}

// Claim returns a claim if the request may run, or else what is known of the
// request that holds its key.
func (c *Claimer) Claim(ctx context.Context, request sequoialead.Request) (entry.Held, *sequoialead.Answer) {
	key := digest(request.Customer, request.Key)
	print := digest(request.Pipeline, request.Text, string(request.Body))
	s, err := c.shard(key)
	if err != nil {
		return nil, refused(err)
	}
	if err := s.ready(ctx); err != nil {
		return nil, refused(err)
	}
	if h := s.find(key); h != nil {
		return nil, s.repeat(ctx, key, print)
	}
	held := &claim{shard: s, key: key, attempt: uuid.New(), until: time.Now().Add(c.opts.Window / 2)}
	won, err := s.claim(ctx, held, print)
	switch {
	case err != nil:
		held.release()
		return nil, refused(err)
	case !won:
		return nil, s.repeat(ctx, key, print)
	}
	return held, nil
}

func refused(err error) *sequoialead.Answer {
	return &sequoialead.Answer{Outcome: sequoialead.OutcomeNotRun, Reason: sequoialead.ReasonClaim, Detail: err.Error()}
}

// digest returns one digest of several texts, which stay apart by their lengths.
func digest(texts ...string) ledger.Digest {
	h := sha256.New()
	for _, text := range texts {
		h.Write(binary.AppendUvarint(nil, uint64(len(text))))
		h.Write([]byte(text))
	}
	return ledger.Digest(h.Sum(nil))
}

// claim is a claim that was won, or may have been.
type claim struct {
	shard   *shard
	key     ledger.Digest
	attempt uuid.UUID
	// until is well before the claim stops to be valid.
	until time.Time
}

var _ entry.Held = (*claim)(nil)

// Sending reports whether a call may still be sent under the claim.
func (c *claim) Sending() bool { return time.Now().Before(c.until) }

// End records what became of the request, or frees the key if it was not run.
func (c *claim) End(answer sequoialead.Answer) {
	if answer.Outcome == sequoialead.OutcomeNotRun {
		c.release()
		return
	}
	raw, err := cbor.Marshal(answer)
	if err != nil || len(raw) > AnswerBytes {
		raw = nil // the outcome alone is recorded
	}
	c.shard.post(ledger.Item{Kind: ledger.KindEnd, Key: c.key, Attempt: c.attempt, Outcome: answer.Outcome, Answer: raw})
}

func (c *claim) release() {
	c.shard.post(ledger.Item{Kind: ledger.KindRelease, Key: c.key, Attempt: c.attempt})
}
