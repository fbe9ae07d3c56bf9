// Package outlier ejects backend servers that fail everything that they are given, although
// their records and health look good.
//
// The load: a stage server that resets every connection has no call in flight, so the
// choice by load sends it all calls. The evidence is what this entry's own requests met. A
// server is ejected after a few failures in a row. Its pause grows with each failed probe while
// other servers of the pool answer, and one probe at a time ends it. While no other server
// answers, it gets a short pause only.
//
// What a single request or caller causes is not evidence: failures at one moment count once,
// and so do those of a source whose requests fail at several servers, until one of its
// requests is answered.
package outlier

import (
	"slices"
	"time"

	"sequoialead"
)

const (
	// threshold is the number of failures in a row after which a server is ejected. A sound
	// server that fails one request of a hundred reaches it once in a million.
	threshold = 3
	// firstPause and maxPause bound the pause before a probe. With 100 entries, probes
	// at the longest pause fail about three requests per second.
	firstPause = time.Second
	maxPause   = 30 * time.Second
	// unprovenPause is the pause while no other server has answered, so that all may be
	// failing. It is about the time that another server takes to answer a call.
	unprovenPause = 250 * time.Millisecond
	// silentSpacing is the least time between the starts of two requests without answer that
	// count as two failures. They end at their deadlines, seconds after they were sent, so
	// waiting for the end of one before the next counts would take the pool's deadline
	// three times.
	silentSpacing = 500 * time.Millisecond
	// rowMemory is the time after which a failure no longer makes a row with the next one.
	rowMemory = 30 * time.Second
	// maxRow bounds the failures of a row that are remembered. It leaves room for those of
	// doubted sources.
	maxRow = 16
	// sourceMemory is how long a source stays doubted after its last failure.
	sourceMemory = 10 * time.Second
	// maxSources bounds the sources that are remembered. Failures of others count.
	maxSources = 512
	// retention is how long a server is remembered that is no longer listed. Its record may
	// have lapsed during an outage of the store.
	retention = 15 * time.Minute
)

// Failure is the failure of one request or call.
type Failure struct {
	// Source identifies who sent the request; zero if it is not known or if the call holds
	// the work of several.
	Source uint64
	SentAt time.Time
	// Silent is set if there was no answer until the request's deadline.
	Silent bool
	// Begun is set if the first byte of an answer had arrived.
	Begun bool
}

// Answer is an answer to one request or call.
type Answer struct {
	Source uint64
	SentAt time.Time
	// Complete is set if the answer has ended, and not set if it has begun.
	Complete bool
}

// Event is the ejection of a server.
type Event struct {
	Server sequoialead.Server
	Pause  time.Duration
	// Probe is set if the server was already ejected and failed a probe.
	Probe bool
}

// process names one process of a server.
type process struct {
	id        string
	startedAt int64
}

func processOf(server sequoialead.Server) process {
	return process{id: server.ID, startedAt: server.StartedAt.UnixNano()}
}

// record holds what counts against a process that has failed since its last answer.
type record struct {
	server sequoialead.Server
	// sources holds the sources of the failures that counted, the latest last.
	sources []uint64
	// firstSent is when the first failed request of the row was sent. lastSent and lastAt
	// are when the last one that counted was sent, and when it failed.
	firstSent, lastSent, lastAt time.Time
	// begun is set if an answer broke off after its first byte: a first byte is no longer
	// proof of a sound server.
	begun   bool
	ejected bool
	// proven is set if another server answered a request that was sent after the first one
	// that failed here. An ejection that is not
	// proven ends with its pause, without a probe.
	proven  bool
	until   time.Time
	pause   time.Duration
	probing bool
	seenAt  time.Time
}

// isEjected reports whether the process gets no requests except for probes.
func (r *record) isEjected(now time.Time) bool {
	return r.ejected && (r.proven || now.Before(r.until))
}

// source is the state of a source whose last request failed.
type source struct {
	at process
	// several is set if requests failed at more than one server.
	several bool
	last    time.Time
}

// lastAnswer is the answer of a server to the request that was sent last.
type lastAnswer struct {
	from   process
	sentAt time.Time
}

// Detector holds what counts against the servers of one pool, as one entry has seen it. It
// is not safe for concurrent use.
type Detector struct {
	records map[process]*record
	// listed holds the processes of the servers that share the limit on ejections.
	listed  map[process]bool
	sources map[uint64]*source
	// answers holds the last answers of two servers, the later one first. An answer to a
	// request that was sent before a fault began is no proof that others are sound.
	answers [2]lastAnswer
}

// New returns a detector with no server ejected.
func New() *Detector {
	return &Detector{records: map[process]*record{}, listed: map[process]bool{}, sources: map[uint64]*source{}}
}

// Update sets the servers among which at most half are ejected at once: those that this
// entry chooses from.
func (d *Detector) Update(servers []sequoialead.Server, now time.Time) {
	clear(d.listed)
	for _, s := range servers {
		p := processOf(s)
		d.listed[p] = true
		if r := d.records[p]; r != nil {
			r.seenAt = now
		}
	}
	for p, r := range d.records {
		if now.Sub(r.seenAt) > retention {
			delete(d.records, p)
		}
	}
	for d.Ejected(now) > len(d.listed)/2 {
		d.readmitFirst(now)
	}
}

// Ejected returns the number of listed servers that get no requests except for probes.
func (d *Detector) Ejected(now time.Time) int {
	n := 0
	for p, r := range d.records {
		if r.isEjected(now) && d.listed[p] {
			n++
		}
	}
	return n
}

// IsEjected reports whether a server gets no requests except for probes.
func (d *Detector) IsEjected(server sequoialead.Server, now time.Time) bool {
	r := d.records[processOf(server)]
	return r != nil && r.isEjected(now)
}

// readmitFirst readmits the listed server whose pause ends first.
func (d *Detector) readmitFirst(now time.Time) {
	var first process
	var until time.Time
	for p, r := range d.records {
		if r.isEjected(now) && d.listed[p] && (until.IsZero() || r.until.Before(until)) {
			first, until = p, r.until
		}
	}
	delete(d.records, first)
}

// Available reports whether a request may be sent to a server. An ejected server
// whose pause is over gets one request at a time.
func (d *Detector) Available(server sequoialead.Server, now time.Time) bool {
	if len(d.records) == 0 {
		return true
	}
	r := d.records[processOf(server)]
	return r == nil || !r.isEjected(now) || !r.probing && !now.Before(r.until)
}

// Sent records that a request is sent to a server. It reports whether the request probes an
// ejected server.
func (d *Detector) Sent(server sequoialead.Server, now time.Time) bool {
	if len(d.records) == 0 {
		return false
	}
	r := d.records[processOf(server)]
	if r == nil || !r.isEjected(now) || r.probing || now.Before(r.until) {
		return false
	}
	r.probing = true
	return true
}

// EndProbe records that a probe has ended without evidence.
func (d *Detector) EndProbe(server sequoialead.Server) {
	if r := d.records[processOf(server)]; r != nil {
		r.probing = false
	}
}

// Answered records an answer of a server. It ends the server's row of failures if the
// request was sent after the row began.
func (d *Detector) Answered(server sequoialead.Server, a Answer) {
	delete(d.sources, a.Source)
	p := processOf(server)
	r := d.records[p]
	if r != nil && r.begun && !a.Complete {
		return
	}
	d.recordAnswer(p, a.SentAt)
	if r != nil && a.SentAt.After(r.firstSent) {
		delete(d.records, p)
	}
}

// recordAnswer records an answer to a request that was sent at the given time.
func (d *Detector) recordAnswer(p process, sentAt time.Time) {
	first, second := &d.answers[0], &d.answers[1]
	switch {
	case first.from == p:
		first.sentAt = later(first.sentAt, sentAt)
	case sentAt.After(first.sentAt):
		*first, *second = lastAnswer{from: p, sentAt: sentAt}, *first
	case sentAt.After(second.sentAt):
		*second = lastAnswer{from: p, sentAt: sentAt}
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// Failed records a failure at a server. Probe tells whether it was a probe of an ejected
// server. It reports the ejection that follows from the failure, if there is one.
func (d *Detector) Failed(server sequoialead.Server, f Failure, probe bool, now time.Time) (Event, bool) {
	p := processOf(server)
	d.recordSource(f.Source, p, now)
	r := d.records[p]
	if r == nil {
		r = &record{server: server, firstSent: f.SentAt, seenAt: now}
		d.records[p] = r
	} else if !r.counts(f) {
		return Event{}, false
	} else if !r.isEjected(now) && f.SentAt.Sub(r.lastAt) > rowMemory {
		*r = record{server: server, firstSent: f.SentAt, seenAt: r.seenAt}
	}
	lastAt, ejected := r.lastAt, r.isEjected(now)
	r.lastSent, r.lastAt = f.SentAt, now
	r.begun = r.begun || f.Begun
	if ejected {
		if !probe {
			return Event{}, false
		}
		r.probing = false
		if !d.doubted(f.Source, now) && d.otherAnswered(p, lastAt) {
			r.pause = min(2*r.pause, maxPause)
		}
		r.until = now.Add(r.pause)
		return Event{Server: server, Pause: r.pause, Probe: true}, true
	}
	r.sources = append(r.sources, f.Source)
	if len(r.sources) > maxRow {
		r.sources = r.sources[1:]
	}
	if d.evidence(r, now) < threshold || !d.listed[p] || d.Ejected(now)+1 > len(d.listed)/2 {
		return Event{}, false
	}
	r.ejected, r.proven, r.pause = true, d.otherAnswered(p, r.firstSent), firstPause
	if !r.proven {
		r.pause = unprovenPause
	}
	r.until = now.Add(r.pause)
	return Event{Server: server, Pause: r.pause}, true
}

// counts reports whether a failure is another one than the last that counted. Requests in
// flight at the same moment may fail for one cause.
func (r *record) counts(f Failure) bool {
	return !f.SentAt.Before(r.lastAt) || f.Silent && f.SentAt.Sub(r.lastSent) >= silentSpacing
}

// evidence returns the number of the row's failures that count. Those of a doubted source count
// as one: a request that two bad servers have failed is doubted too.
func (d *Detector) evidence(r *record, now time.Time) int {
	n := 0
	for i, id := range r.sources {
		if !d.doubted(id, now) || slices.Index(r.sources, id) == i {
			n++
		}
	}
	return n
}

// doubted reports whether the failures of a source may be its own doing.
func (d *Detector) doubted(id uint64, now time.Time) bool {
	s := d.sources[id]
	return s != nil && s.several && now.Sub(s.last) <= sourceMemory
}

// otherAnswered reports whether another server has answered a request sent after a time.
func (d *Detector) otherAnswered(p process, since time.Time) bool {
	for _, a := range d.answers {
		if a.from != p && a.sentAt.After(since) {
			return true
		}
	}
	return false
}

// recordSource records that a request of a source failed at a server.
func (d *Detector) recordSource(id uint64, at process, now time.Time) {
	if id == 0 {
		return
	}
	s := d.sources[id]
	if s != nil && now.Sub(s.last) <= sourceMemory {
		s.several = s.several || s.at != at
		s.last = now
		return
	}
	if len(d.sources) >= maxSources {
		for old, o := range d.sources {
			if now.Sub(o.last) > sourceMemory {
				delete(d.sources, old)
			}
		}
	}
	if s != nil || len(d.sources) < maxSources {
		d.sources[id] = &source{at: at, last: now}
	}
}
