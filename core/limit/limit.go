// Package limit decides how many calls a backend server may run at once. The
// limit starts low for a cold server and doubles as calls succeed. It also bounds
// the calls that can be sent between a restart and the time it is noticed.
package limit

import (
	"time"

	"sequoialead"
)

// Options configures a Limit.
type Options struct {
	// MaxLimit is the number of calls that a warm backend server runs at once.
	MaxLimit int
	// ColdLimit is the number of calls that a cold backend server can run at once
	// without failing.
	ColdLimit int
	// WarmUp enables the warm-up. If it is false, the limit is always MaxLimit.
	WarmUp bool
}

const (
	// slowFactor is how many times slower than the mean a call must be to count
	// as slow.
	slowFactor = 8
	// minSlowTime is the service time below which no call counts as slow.
	minSlowTime = 20 * time.Millisecond
	// meanWeight is the weight of a new value in the moving average of service
	// times.
	meanWeight = 0.05
)

// Ticket represents a call that was sent to the backend server and has not ended.
type Ticket struct {
	// epoch is the limit's epoch when the call was sent.
	epoch uint64
	sent  time.Time
}

// Limit is the concurrency limit of one backend server. It is not safe for
// concurrent use. The caller passes in the current time.
type Limit struct {
	opts Options
	// limit is between ColdLimit and MaxLimit, and equals MaxLimit unless WarmUp is
	// set.
	limit int
	// running counts the calls started and not yet ended, including those of
	// earlier epochs.
	running int
	// epoch counts the resets of the limit. The ends of calls sent in an earlier
	// epoch do not change the limit.
	epoch uint64
	// boot identifies the running process of the backend server; zero if it is
	// not known.
	boot sequoialead.Boot
	// confirmedTime is the start of the latest exchange that proved the backend
	// server to be still running as boot.
	confirmedTime time.Time
	// unconfirmed holds the running tickets sent after confirmedTime, which may
	// have reached a restarted server.
	unconfirmed map[*Ticket]struct{}
	// successes counts the successful calls since the limit was last doubled or
	// reset, or a call failed. Once it reaches the limit, the limit doubles.
	successes int
	// slowCalls counts consecutive slow calls.
	slowCalls int
	// meanService is the moving average of service times in seconds; 0 before
	// the first success.
	meanService float64
}

// New returns the limit of a backend server that is assumed to be cold.
func New(opts Options) *Limit {
	l := &Limit{opts: opts, unconfirmed: map[*Ticket]struct{}{}}
	l.limit = l.initialLimit()
	return l
}

func (l *Limit) initialLimit() int {
	if l.opts.WarmUp {
		return l.opts.ColdLimit
	}
	return l.opts.MaxLimit
}

// Configure applies new options. With WarmUp, a higher MaxLimit does not raise the
// limit: it still grows only by successful calls. It is raised at once only as far
// as the new ColdLimit.
func (l *Limit) Configure(opts Options) {
	l.opts = opts
	l.limit = max(min(l.limit, opts.MaxLimit), l.initialLimit())
}

func (l *Limit) identified() bool { return l.boot != sequoialead.Boot{} }

// Limit returns the number of calls that may run at once.
func (l *Limit) Limit() int { return l.limit }

// Warming reports whether the limit is below MaxLimit.
func (l *Limit) Warming() bool { return l.limit < l.opts.MaxLimit }

// Running returns the number of calls started and not yet ended with Done.
func (l *Limit) Running() int { return l.running }

// Boot returns the identity of the backend server's process that calls are meant
// for; zero if it is not known.
func (l *Limit) Boot() sequoialead.Boot { return l.boot }

// HasCapacity reports whether fewer calls run than the limit allows.
func (l *Limit) HasCapacity() bool { return l.running < l.limit }

// CanSendUnconfirmed reports whether one more call may be sent before the
// backend server's identity is confirmed again. With WarmUp, a server that has
// restarted unnoticed is then not sent more calls than its cold limit. Without
// WarmUp, CanSendUnconfirmed always reports true.
func (l *Limit) CanSendUnconfirmed() bool {
	return !l.opts.WarmUp || l.identified() && len(l.unconfirmed) < l.opts.ColdLimit
}

// Start counts a call that is about to be sent. The caller must have checked
// HasCapacity and CanSendUnconfirmed.
func (l *Limit) Start(now time.Time) *Ticket {
	t := &Ticket{epoch: l.epoch, sent: now}
	l.running++
	l.unconfirmed[t] = struct{}{}
	return t
}

// Confirm records the identity that the backend server gave in an exchange that
// started at the given time. It resets the limit and reports true if the identity
// differs from the recorded one, or if none is recorded, as after SuspectRestart.
func (l *Limit) Confirm(start time.Time, boot sequoialead.Boot) bool {
	if boot != l.boot {
		l.boot = boot
		l.confirmedTime = start
		l.reset()
		return true
	}
	if start.After(l.confirmedTime) {
		l.confirmedTime = start
	}
	for t := range l.unconfirmed {
		if !t.sent.After(l.confirmedTime) {
			delete(l.unconfirmed, t)
		}
	}
	return false
}

// SuspectRestart resets the limit and clears the recorded identity after a sign that
// the backend server may have restarted. If WarmUp is set, CanSendUnconfirmed then
// reports false until Confirm.
func (l *Limit) SuspectRestart() {
	l.boot = sequoialead.Boot{}
	l.reset()
}

func (l *Limit) reset() {
	l.epoch++
	l.limit = l.initialLimit()
	l.successes = 0
	l.slowCalls = 0
	l.meanService = 0
}

// Done records the end of a call. The service time is used only if the call
// succeeded.
func (l *Limit) Done(t *Ticket, success bool, service time.Duration) {
	l.running--
	delete(l.unconfirmed, t)
	if t.epoch != l.epoch {
		return
	}
	if !success {
		l.successes = 0
		return
	}
	if l.slowedDown(service) {
		l.reset()
		return
	}
	l.successes++
	if l.successes >= l.limit {
		l.limit = min(2*l.limit, l.opts.MaxLimit)
		l.successes = 0
	}
}

// slowedDown reports whether as many consecutive calls as the limit allows were slow,
// as defined by slowFactor and minSlowTime. This detects a restart that changes
// nothing else that the agent observes. Service times of calls that are not slow are
// added to the mean.
func (l *Limit) slowedDown(service time.Duration) bool {
	seconds := service.Seconds()
	mean := l.meanService
	if mean == 0 {
		l.meanService = seconds
		return false
	}
	if service < minSlowTime || seconds < slowFactor*mean {
		l.meanService += meanWeight * (seconds - mean)
		l.slowCalls = 0
		return false
	}
	l.slowCalls++
	return l.slowCalls >= l.limit
}
