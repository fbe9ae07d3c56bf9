// Package claims ensures that a request with an idempotency key runs at most
// once in the whole fleet. An entry, which is a daemon that accepts callers'
// requests, appends a claim to a stream of the log and reads the stream back: the
// first claim in the log's order wins. An entry that has not read back its own
// claim sends no calls.
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
	"sequoialead/core/claimlog"
	"sequoialead/core/entry"
	"sequoialead/core/mac"
)

// Shards is the number of streams that keys are distributed over. It must be the
// same in all entries, or two of them could claim one key in different streams.
const Shards = 16

// Bounds and intervals of a claimer.
const (
	// maxAnswerBytes is the maximum encoded size of a recorded answer. Of larger
	// ones, only the outcome is recorded.
	maxAnswerBytes = 32 << 10
	// maxRecordedBytes bounds the total size of the recorded answers of one shard.
	maxRecordedBytes = 1 << 20
	// MaxQueueItems is the maximum number of items of a shard that are not yet
	// known to be in the log. At this number, new claims are refused at once.
	MaxQueueItems = 4096
	// DefaultWindow is how long a key is remembered by default.
	DefaultWindow  = time.Hour
	flushInterval  = 4 * time.Millisecond
	maxBatchItems  = 512
	appendTimeout  = 2 * time.Second
	appendBackoff  = 100 * time.Millisecond
	longPollWait   = 5 * time.Second
	readTimeout    = 8 * time.Second
	readBackoff    = 100 * time.Millisecond
	closeTimeout   = 3 * time.Second
	purposeClaims  = "claims"
	streamTemplate = "claims-%d"
)

// Options configures a claimer.
type Options struct {
	Log    sequoialead.Log
	Signer *mac.Signer
	// Window is how long a key is remembered; DefaultWindow if zero. It must be
	// well below the retention of the log.
	Window time.Duration
}

// Claimer claims idempotency keys for one entry.
type Claimer struct {
	opts   Options
	tomb   tomb.Tomb
	mu     sync.Mutex
	shards map[int]*shard
	closed bool
}

var (
	_ sequoialead.Service = (*Claimer)(nil)
	_ entry.Claimer       = (*Claimer)(nil)
)

// New returns a claimer that is not yet started.
func New(opts Options) *Claimer {
	if opts.Window == 0 {
		opts.Window = DefaultWindow
	}
	return &Claimer{opts: opts, shards: map[int]*shard{}}
}

// Start makes the claimer ready for use. It reads no stream: a shard starts to
// read its stream at the first claim of a key in it.
func (c *Claimer) Start(context.Context) error {
	c.tomb.Go(func() error {
		<-c.tomb.Dying()
		return nil
	})
	return nil
}

// Close waits up to closeTimeout for queued items to be appended to the log, and
// stops the claimer.
func (c *Claimer) Close() error {
	c.mu.Lock()
	c.closed = true
	shards := c.shards
	c.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	for _, s := range shards {
		s.waitFlushed(ctx)
	}
	c.tomb.Kill(nil)
	return c.tomb.Wait()
}

// shard returns the shard of a key and starts to read its stream on first use.
func (c *Claimer) shard(key claimlog.Digest) (*shard, error) {
	n := int(xxhash.Sum64(key[:]) % Shards)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return nil, sequoialead.ErrClosed.New("the entry is stopping; retry at another entry")
	}
	s := c.shards[n]
	if s == nil {
		s = newShard(fmt.Sprintf(streamTemplate, n), c.opts)
		c.shards[n] = s
		ctx := c.tomb.Context(context.Background())
		c.tomb.Go(func() error { return s.readLoop(ctx) })
		c.tomb.Go(func() error { return s.writeLoop(ctx) })
	}
	return s, nil
}

// Queued returns the number of items that are not yet known to be in the log.
func (c *Claimer) Queued() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	sum := 0
	for _, s := range c.shards {
		sum += s.pending()
	}
	return sum
}

// Claim returns a claim if the request may run. Otherwise it returns the answer
// for the caller: the recorded outcome of the request that holds the key, or why
// the key could not be claimed.
func (c *Claimer) Claim(ctx context.Context, request sequoialead.Request) (entry.Claim, *sequoialead.Answer) {
	key := digest(request.Customer, request.Key)
	print := digest(request.Pipeline, request.Text, string(request.Body))
	s, err := c.shard(key)
	if err != nil {
		return nil, refusedAnswer(err)
	}
	if err := s.ready(ctx); err != nil {
		return nil, refusedAnswer(err)
	}
	if found := s.find(key); found != nil {
		return nil, s.repeatAnswer(ctx, key, print)
	}
	claimed := &claim{shard: s, key: key, attempt: uuid.New(), sendDeadline: time.Now().Add(c.opts.Window / 2)}
	won, err := s.claim(ctx, claimed, print)
	switch {
	case err != nil:
		claimed.release()
		return nil, refusedAnswer(err)
	case !won:
		return nil, s.repeatAnswer(ctx, key, print)
	}
	return claimed, nil
}

func refusedAnswer(err error) *sequoialead.Answer {
	return &sequoialead.Answer{Outcome: sequoialead.OutcomeNotRun, Reason: sequoialead.ReasonClaim, Detail: err.Error()}
}

// digest returns the hash of several texts. Each is preceded by its length, so
// that different lists of texts with the same concatenation differ.
func digest(texts ...string) claimlog.Digest {
	h := sha256.New()
	for _, text := range texts {
		h.Write(binary.AppendUvarint(nil, uint64(len(text))))
		h.Write([]byte(text))
	}
	return claimlog.Digest(h.Sum(nil))
}

// claim is a claim that was appended to the log, or may have been.
type claim struct {
	shard   *shard
	key     claimlog.Digest
	attempt uuid.UUID
	// sendDeadline is the end of the first half of the window, so that no call is
	// sent close to the expiry of the claim.
	sendDeadline time.Time
}

var _ entry.Claim = (*claim)(nil)

// Valid reports whether a call may still be sent under the claim.
func (c *claim) Valid() bool { return time.Now().Before(c.sendDeadline) }

// Finish records the outcome of the request, or releases the key if the request was
// not run.
func (c *claim) Finish(answer sequoialead.Answer) {
	if answer.Outcome == sequoialead.OutcomeNotRun {
		c.release()
		return
	}
	raw, err := cbor.Marshal(answer)
	if err != nil || len(raw) > maxAnswerBytes {
		raw = nil // only the outcome is recorded
	}
	c.shard.enqueue(claimlog.Item{Kind: claimlog.KindEnd, Key: c.key, Attempt: c.attempt, Outcome: answer.Outcome, Answer: raw})
}

func (c *claim) release() {
	c.shard.enqueue(claimlog.Item{Kind: claimlog.KindRelease, Key: c.key, Attempt: c.attempt})
}
