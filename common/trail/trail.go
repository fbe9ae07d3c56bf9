// Package trail keeps the decisions about one request until its end, so that it
// is logged whole or not at all: always if it failed, within a rate, and by a
// sample of the IDs otherwise. Besides the trail it exports the keeper of rates.
package trail

import (
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/time/rate"
	"k8s.io/klog/v2"
)

const (
	// sample is the part of the requests that are logged although they did not
	// fail: one in this many, the same in every process.
	sample = 32
	// failuresPerSecond and failuresBurst bound the failed requests that are
	// logged whole.
	failuresPerSecond = 50
	failuresBurst     = 200
	// servedPerSecond and servedBurst bound the others.
	servedPerSecond = 10
	servedBurst     = 20
	// mostEvents bounds the memory of one trail, and firstEvents is the number of
	// those that are kept from its start: the others are the latest, since the last
	// ones tell the end.
	mostEvents  = 64
	firstEvents = 32
)

// Keeper bounds the number of trails that are logged.
type Keeper struct {
	log    klog.Logger
	now    func() time.Time
	failed *rate.Limiter
	served *rate.Limiter
}

// NewKeeper returns a keeper for a process.
func NewKeeper(log klog.Logger, now func() time.Time) *Keeper {
	return &Keeper{
		log: log, now: now,
		failed: rate.NewLimiter(failuresPerSecond, failuresBurst),
		served: rate.NewLimiter(servedPerSecond, servedBurst),
	}
}

type event struct {
	name  string
	at    time.Duration
	pairs []any
}

// Trail holds the decisions about one request.
type Trail struct {
	keeper *Keeper
	id     string
	began  time.Time

	mu     sync.Mutex
	events []event
	// left counts the events that did not fit, after the first ones.
	left int
}

// New begins a trail at the time when a request arrived.
func (k *Keeper) New(id string, began time.Time) *Trail {
	return &Trail{keeper: k, id: id, began: began}
}

// Add notes a decision with the inputs that led to it.
func (t *Trail) Add(name string, pairs ...any) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.events) >= mostEvents {
		t.left++
		t.events = slices.Delete(t.events, firstEvents, firstEvents+1)
	}
	t.events = append(t.events, event{name: name, at: t.keeper.now().Sub(t.began), pairs: pairs})
}

// End logs the trail, if it is one to be logged.
func (t *Trail) End(failed bool) {
	k := t.keeper
	now := k.now()
	switch {
	case failed && k.failed.AllowN(now, 1):
	case !failed && xxhash.Sum64String(t.id)%sample == 0 && k.served.AllowN(now, 1):
	case !k.log.V(1).Enabled():
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, e := range t.events {
		k.log.Info(e.name, append([]any{"id", t.id, "at", e.at}, e.pairs...)...)
	}
	if t.left > 0 {
		k.log.Info("trail-cut", "id", t.id, "events", t.left)
	}
}
