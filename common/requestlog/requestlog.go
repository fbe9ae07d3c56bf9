// Package requestlog buffers the log events of a request until the request ends, and
// then logs either all or none of them. Failed requests are logged up to a rate
// limit, others are sampled by their IDs.
package requestlog

import (
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/time/rate"
	"k8s.io/klog/v2"
)

const (
	// sampleInterval sets the sampling of requests that did not fail: one in
	// sampleInterval is logged. Every process selects the same IDs.
	sampleInterval = 32
	// failuresPerSecond and failuresBurst limit the rate of failed requests that
	// are logged.
	failuresPerSecond = 50
	failuresBurst     = 200
	// servedPerSecond and servedBurst limit the rate of other requests that are
	// logged.
	servedPerSecond = 10
	servedBurst     = 20
	// maxEvents bounds the number of events in memory for one request. Beyond it
	// the first firstEvents events and the latest ones are kept, since the latest
	// ones show how the request ended.
	maxEvents   = 64
	firstEvents = 32
)

// Recorder creates the trails of a process and limits the rate at which they are
// logged. It is safe for concurrent use.
type Recorder struct {
	log           klog.Logger
	now           func() time.Time
	failedLimiter *rate.Limiter
	servedLimiter *rate.Limiter
}

// NewRecorder returns a recorder that writes to the given logger. At verbosity 1 and
// above, all requests are logged without sampling or limits.
func NewRecorder(log klog.Logger, now func() time.Time) *Recorder {
	return &Recorder{
		log: log, now: now,
		failedLimiter: rate.NewLimiter(failuresPerSecond, failuresBurst),
		servedLimiter: rate.NewLimiter(servedPerSecond, servedBurst),
	}
}

type event struct {
	name  string
	at    time.Duration
	pairs []any
}

// Trail buffers the log events of one request. It is safe for concurrent use.
type Trail struct {
	recorder *Recorder
	id       string
	start    time.Time

	mu     sync.Mutex
	events []event
	// dropped counts the events that were removed from the middle, after the first
	// firstEvents ones.
	dropped int
}

// New returns an empty trail for the request with the given ID. The events are
// logged with the time since start, when the request arrived.
func (r *Recorder) New(id string, start time.Time) *Trail {
	return &Trail{recorder: r, id: id, start: start}
}

// Add buffers an event with key-value pairs: a decision and the inputs that led to
// it.
func (t *Trail) Add(name string, pairs ...any) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.events) >= maxEvents {
		t.dropped++
		t.events = slices.Delete(t.events, firstEvents, firstEvents+1)
	}
	t.events = append(t.events, event{name: name, at: t.recorder.now().Sub(t.start), pairs: pairs})
}

// Finish logs all events of the request if it is selected. It is called once, when
// the request ends.
func (t *Trail) Finish(failed bool) {
	r := t.recorder
	now := r.now()
	switch {
	case failed && r.failedLimiter.AllowN(now, 1):
	case !failed && xxhash.Sum64String(t.id)%sampleInterval == 0 && r.servedLimiter.AllowN(now, 1):
	case !r.log.V(1).Enabled():
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, e := range t.events {
		r.log.Info(e.name, append([]any{"id", t.id, "at", e.at}, e.pairs...)...)
	}
	if t.dropped > 0 {
		r.log.Info("trail-cut", "id", t.id, "events", t.dropped)
	}
}
