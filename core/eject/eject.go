// Package eject temporarily excludes failing backend servers from routing.
package eject

import "time"

const (
	// failureThreshold is the number of consecutive failures after which a server is
	// ejected.
	failureThreshold = 3
	firstPeriod      = time.Second
	maxPeriod        = 30 * time.Second
	// maxEjectedShare is the largest part of a pool that may be ejected at once.
	maxEjectedShare = 0.5
)

type record struct {
	failures int
	// ejectedUntil is when a call may probe the server; zero if it is not ejected.
	ejectedUntil time.Time
	// period is the length of the next ejection.
	period  time.Duration
	probing bool
}

// Ejector is an outlier detector for the backend servers of one pool. It is not safe
// for concurrent use.
type Ejector struct {
	// records holds only servers that failed since their last success.
	records map[string]*record
}

// New returns an ejector with no server ejected.
func New() *Ejector { return &Ejector{records: map[string]*record{}} }

// Success readmits a server and resets its failures.
func (e *Ejector) Success(name string) { delete(e.records, name) }

// Failure counts a failure and ejects the server after several consecutive ones. The
// period doubles with each ejection, up to a maximum.
func (e *Ejector) Failure(name string, now time.Time) {
	r := e.records[name]
	if r == nil {
		r = &record{period: firstPeriod}
		e.records[name] = r
	}
	r.failures++
	r.probing = false
	if r.failures >= failureThreshold {
		r.ejectedUntil = now.Add(r.period)
		r.period = min(2*r.period, maxPeriod)
	}
}

// Probe records that a call is sent to an ejected server to see whether it has
// recovered.
func (e *Ejector) Probe(name string) {
	if r := e.records[name]; r != nil && !r.ejectedUntil.IsZero() {
		r.probing = true
	}
}

// EndProbe ends a probe that resulted in neither success nor failure.
func (e *Ejector) EndProbe(name string) {
	if r := e.records[name]; r != nil {
		r.probing = false
	}
}

// available reports whether calls may be sent to a server. A server whose ejection period is
// over gets one call at a time.
func (e *Ejector) available(name string, now time.Time) bool {
	r := e.records[name]
	if r == nil || r.ejectedUntil.IsZero() {
		return true
	}
	return now.After(r.ejectedUntil) && !r.probing
}

// Routable returns the servers that calls may be sent to: those that are not
// ejected, or all of them if more than the maximum share would be excluded.
func (e *Ejector) Routable(names []string, now time.Time) map[string]bool {
	routable := make(map[string]bool, len(names))
	for _, name := range names {
		if e.available(name, now) {
			routable[name] = true
		}
	}
	if float64(len(names)-len(routable)) <= maxEjectedShare*float64(len(names)) {
		return routable
	}
	for _, name := range names {
		routable[name] = true
	}
	return routable
}

// Prune removes the servers that are not in the given set.
func (e *Ejector) Prune(present map[string]bool) {
	for name := range e.records {
		if !present[name] {
			delete(e.records, name)
		}
	}
}
