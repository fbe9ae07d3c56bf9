// Package lease limits how long an entry may act on records that it last read
// from the platform's store, such as the configuration with the customers' keys.
package lease

import (
	"sync"
	"time"
)

// Lease is a lease that each successful read renews. Its age counts from the
// start of the read, because the read has seen every change acknowledged before
// its start. The times passed to it must come from a clock that goes on while the
// machine is suspended. It is safe for concurrent use.
type Lease struct {
	mu        sync.Mutex
	readStart time.Time
}

// New returns a lease that has not been renewed yet, and isn't valid.
func New() *Lease { return &Lease{} }

// Renew renews the lease after a successful read that began at the given time. A
// read that began before the newest one changes nothing.
func (l *Lease) Renew(began time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if began.After(l.readStart) {
		l.readStart = began
	}
}

// Age returns the time since the start of the newest successful read. It
// reports false if there is none.
func (l *Lease) Age(now time.Time) (time.Duration, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.readStart.IsZero() {
		return 0, false
	}
	return now.Sub(l.readStart), true
}

// Valid reports whether the newest successful read began less than maxAge ago.
func (l *Lease) Valid(now time.Time, maxAge time.Duration) bool {
	age, ok := l.Age(now)
	return ok && age < maxAge
}
