// Package limit decides how many calls a backend server may run at once while
// it warms up, and bounds what it can be given before a restart is noticed.
// Besides the limit it exports its options and the tickets that it gives out.
package limit

import (
	"time"

	"sequoialead"
)

// Options configures a limit.
type Options struct {
	// Full is the number of calls that a warm backend server runs at once.
	Full int
	// Cold is the number of calls that a cold one bears.
	Cold int
	// Warm is false if the limit is always Full.
	Warm bool
}

const (
	// jumpFactor is how much slower than usual a call must be to count as slow.
	jumpFactor = 8
	// jumpFloor is the service time below which no call counts as slow.
	jumpFloor = 20 * time.Millisecond
	// averageWeight is the share of one call in the average service time.
	averageWeight = 0.05
)

// Ticket stands for a call that was sent to the backend server.
type Ticket struct {
	// epoch is that of the limit when the call was sent.
	epoch uint64
	sent  time.Time
}

// Limit is the state for one backend server. It is not safe for concurrent
// use. All times come from the caller.
type Limit struct {
	opts Options
	// limit is between Cold and Full.
	limit int
	// running counts all tickets that were not given back, of any epoch.
	running int
	// epoch counts the known lives of the backend server.
	epoch uint64
	boot  sequoialead.Boot
	// confirmed is the latest time at which a call was sent that proved the
	// backend server to be in the life known as boot.
	confirmed time.Time
	// open holds the running tickets sent after confirmed.
	open map[*Ticket]struct{}
	// round counts the successes since the limit last changed.
	round int
	// slow counts the slow calls in a row.
	slow    int
	average float64
}

// New returns the limit of a backend server that is assumed cold.
func New(opts Options) *Limit {
	l := &Limit{opts: opts, open: map[*Ticket]struct{}{}}
	l.limit = l.floor()
	return l
}

func (l *Limit) floor() int {
	if l.opts.Warm {
		return l.opts.Cold
	}
	return l.opts.Full
}

// Configure takes new options. A higher limit is reached by successes alone.
func (l *Limit) Configure(opts Options) {
	l.opts = opts
	l.limit = max(min(l.limit, opts.Full), l.floor())
}

func (l *Limit) known() bool { return l.boot != sequoialead.Boot{} }

// Limit returns the number of calls that may run at once.
func (l *Limit) Limit() int { return l.limit }

// Warming reports whether the backend server may bear less than its full load.
func (l *Limit) Warming() bool { return l.limit < l.opts.Full }

// Running returns the number of calls that run.
func (l *Limit) Running() int { return l.running }

// Boot returns the life of the backend server that calls are sent to.
func (l *Limit) Boot() sequoialead.Boot { return l.boot }

// Room reports whether the running calls leave room for one more.
func (l *Limit) Room() bool { return l.running < l.limit }

// Sure reports whether one more call may be sent before the backend server
// has proved again that it did not restart.
func (l *Limit) Sure() bool {
	return !l.opts.Warm || l.known() && len(l.open) < l.opts.Cold
}

// Send counts a call that is about to be sent. The caller has checked Room
// and Sure.
func (l *Limit) Send(now time.Time) *Ticket {
	t := &Ticket{epoch: l.epoch, sent: now}
	l.running++
	l.open[t] = struct{}{}
	return t
}

// Confirm takes the identity that the backend server gave in an exchange
// which began at the given time. It reports whether this is a new life.
func (l *Limit) Confirm(began time.Time, boot sequoialead.Boot) bool {
	if boot != l.boot {
		l.boot = boot
		l.confirmed = began
		l.reset()
		return true
	}
	if began.After(l.confirmed) {
		l.confirmed = began
	}
	for t := range l.open {
		if !t.sent.After(l.confirmed) {
			delete(l.open, t)
		}
	}
	return false
}

// Suspect falls back to cold after a sign of a restart.
func (l *Limit) Suspect() {
	l.boot = sequoialead.Boot{}
	l.reset()
}

func (l *Limit) reset() {
	l.epoch++
	l.limit = l.floor()
	l.round = 0
	l.slow = 0
	l.average = 0
}

// Done gives back a ticket. The service time counts only for a success.
func (l *Limit) Done(t *Ticket, success bool, service time.Duration) {
	l.running--
	delete(l.open, t)
	if t.epoch != l.epoch {
		return
	}
	if !success {
		l.round = 0
		return
	}
	if l.jumped(service) {
		l.reset()
		return
	}
	l.round++
	if l.round >= l.limit {
		l.limit = min(2*l.limit, l.opts.Full)
		l.round = 0
	}
}

// jumped reports whether a whole round of calls in a row was far slower than
// the average, as after a restart that nothing else showed.
func (l *Limit) jumped(service time.Duration) bool {
	s := service.Seconds()
	usual := l.average
	if usual == 0 {
		l.average = s
		return false
	}
	if service < jumpFloor || s < jumpFactor*usual {
		l.average += averageWeight * (s - usual)
		l.slow = 0
		return false
	}
	l.slow++
	return l.slow >= l.limit
}
