// Package eject takes failing backend servers out of routing for a while.
package eject

import "time"

const (
	// failures is the number of failures in a row that eject.
	failures = 3
	first    = time.Second
	longest  = 30 * time.Second
	// most is the largest share of a pool that may be out at once.
	most = 0.5
)

type record struct {
	failures int
	// until is when one call may probe again; zero while in.
	until time.Time
	// period is the length of the next ejection.
	period  time.Duration
	probing bool
}

// Ejector watches the backend servers of one pool. It is not safe for
// concurrent use.
type Ejector struct {
	// records holds only servers that failed since their last success.
	records map[string]*record
}

// New returns an ejector with all servers in.
func New() *Ejector { return &Ejector{records: map[string]*record{}} }

// Success brings a server back in.
func (e *Ejector) Success(name string) { delete(e.records, name) }

// Failure counts a failure and ejects after several in a row.
func (e *Ejector) Failure(name string, now time.Time) {
	r := e.records[name]
	if r == nil {
		r = &record{period: first}
		e.records[name] = r
	}
	r.failures++
	r.probing = false
	if r.failures >= failures {
		r.until = now.Add(r.period)
		r.period = min(2*r.period, longest)
	}
}

// Probe marks that a call is sent to an ejected server to see whether it has
// recovered.
func (e *Ejector) Probe(name string) {
	if r := e.records[name]; r != nil && !r.until.IsZero() {
		r.probing = true
	}
}

// Settle ends a probe that showed neither success nor failure.
func (e *Ejector) Settle(name string) {
	if r := e.records[name]; r != nil {
		r.probing = false
	}
}

// In reports whether a server may be routed to. A server whose time is over
// takes one call at a time.
func (e *Ejector) In(name string, now time.Time) bool {
	r := e.records[name]
	if r == nil || r.until.IsZero() {
		return true
	}
	return now.After(r.until) && !r.probing
}

// Keep chooses which servers to route to: those that are in or, where fewer
// would be left than the cap allows, all of them.
func (e *Ejector) Keep(names []string, now time.Time) map[string]bool {
	in := make(map[string]bool, len(names))
	for _, name := range names {
		if e.In(name, now) {
			in[name] = true
		}
	}
	if float64(len(names)-len(in)) <= most*float64(len(names)) {
		return in
	}
	for _, name := range names {
		in[name] = true
	}
	return in
}

// Forget drops servers that are gone.
func (e *Ejector) Forget(present map[string]bool) {
	for name := range e.records {
		if !present[name] {
			delete(e.records, name)
		}
	}
}
