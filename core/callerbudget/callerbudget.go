// Package callerbudget accounts for what a process holds for callers, and chooses which
// connections end when the room is used up. It handles crowds of clients outside the limits:
// many connections at once that start requests and don't end them, or send none.
//
// Times are durations since some start, so that the caller can leave out those in which the
// process didn't run.
package callerbudget

import (
	"net/netip"
	"time"
)

// State is what a connection waits for.
type State int

// States of a connection.
const (
	// StateNew: nothing has arrived on a new connection.
	StateNew State = iota
	// StateHead: a part of a request's head has arrived.
	StateHead
	// StateIdle: the connection is kept after a request.
	StateIdle
	// StateBody: the head of a request has arrived, and a part of its body.
	StateBody
	// StateServing: a whole request has arrived, or one that is being refused. It is never
	// ended for the room.
	StateServing
	stateCount
)

// String returns the state's name for logs and metrics.
func (s State) String() string {
	return [...]string{"new", "head", "idle", "body", "serving"}[s]
}

const (
	// ConnBytes is counted for each connection: net/http's two buffers of 4 KB, goroutine
	// stacks of 8 KB and more while a request is served, and a small head and body.
	ConnBytes = 32 << 10
	// FreeHeadBytes is the part of a head that ConnBytes covers.
	FreeHeadBytes = 4 << 10
	// FreeBodyBytes is the part of a body that ConnBytes covers.
	FreeBodyBytes = 4 << 10
	// patience is how long a connection may make no progress before it ends for others if the
	// room is used up. Callers inside the limits send a request at once, and give up if it
	// isn't read within a second, unless they have more than three seconds left.
	patience = time.Second
	// smallBody is the size up to which a body may use the last eighth of the room for bodies,
	// so that large bodies leave room for small ones.
	smallBody    = 64 << 10
	smallReserve = 8
	// keptForBodies is the part of the room for bodies that answers leave, as they do the room for
	// all connections.
	keptForBodies = 4
	// maxEndingShare is the part of the room that is given out again before those who were
	// ended have released it.
	maxEndingShare = 4
)

// Limits bounds what is held. 0 is no bound.
type Limits struct {
	// Conns is the maximum number of connections.
	Conns int
	// Bytes is the maximum for everything that is counted, and BodyBytes that for bodies.
	Bytes     int64
	BodyBytes int64
}

// TimeLimits are the times after which a connection ends also while there is room. 0 is no
// limit.
type TimeLimits struct {
	// New is how long a connection may go without its first request, Idle how long without
	// another one, and Head how long the head of a request may take from its first byte.
	New  time.Duration
	Idle time.Duration
	Head time.Duration
	// BodyStall is how long nothing may arrive of a body. After BodyGrace a body must have
	// come at BodyRate, in bytes per second, on average.
	BodyStall time.Duration
	BodyGrace time.Duration
	BodyRate  int64
}

// Holding is what is held for one connection.
type Holding[T any] struct {
	// Owner identifies the connection to the user of the budget.
	Owner T

	source netip.Prefix
	state  State
	// next and previous are the neighbours in Budget.byState.
	next     *Holding[T]
	previous *Holding[T]
	// since is when the state began or, of a body, when some of it arrived last.
	since time.Duration
	// bodySince is when the body began, and received its bytes so far.
	bodySince time.Duration
	received  int64
	// bytes is what is counted beside ConnBytes; bodyBytes is the part of it for a body.
	bytes     int64
	bodyBytes int64
	closed    bool
}

// State returns the state of the connection.
func (h *Holding[T]) State() State { return h.state }

// Since returns when the state began or, of a body, when some of it arrived last.
func (h *Holding[T]) Since() time.Duration { return h.since }

// Bytes returns what is counted for the connection beside ConnBytes.
func (h *Holding[T]) Bytes() int64 { return h.bytes }

// Budget is the account. It is not safe for concurrent use.
type Budget[T any] struct {
	limits Limits
	// byState holds the connections of each state, those first that have waited longest.
	byState [stateCount]queue[T]
	sources map[netip.Prefix]int
	conns   int
	// bytes and bodyBytes are what is held, ending the part of bodyBytes that is held for closed
	// connections and is about to be released.
	bytes     int64
	bodyBytes int64
	ending    int64
}

// New returns an empty budget.
func New[T any](limits Limits) *Budget[T] {
	return &Budget[T]{limits: limits, sources: map[netip.Prefix]int{}}
}

// source returns the part of an address that counts as one source: an IPv4 address, or the
// 64 bits of an IPv6 address that one host can choose the rest of.
func source(addr netip.Addr) netip.Prefix {
	addr = addr.Unmap()
	bits := 64
	if addr.Is4() {
		bits = 32
	}
	prefix, _ := addr.Prefix(bits) // fails only for an invalid address, which is a source too
	return prefix
}

// Open counts a new connection. If the limit is reached, another connection must end for it,
// which is returned as closed. The result is nil if there is no room and none may end.
func (b *Budget[T]) Open(owner T, addr netip.Addr, now time.Duration) (opened, ended *Holding[T]) {
	h := &Holding[T]{Owner: owner, source: source(addr), since: now}
	if b.limits.Conns > 0 && b.conns >= b.limits.Conns || b.limits.Bytes > 0 && b.bytes-b.ending+ConnBytes > b.limits.Bytes {
		if ended = b.choose(h, false, now); ended == nil {
			return nil, nil
		}
		b.Close(ended)
	}
	b.byState[h.state].add(h)
	b.sources[h.source]++
	b.conns++
	b.bytes += ConnBytes
	return h, ended
}

// Close ends the count of a connection. What was counted for a body stays until it is released.
func (b *Budget[T]) Close(h *Holding[T]) {
	if h.closed {
		return
	}
	h.closed = true
	b.byState[h.state].remove(h)
	b.conns--
	b.bytes -= ConnBytes
	b.ending += h.bytes
	if b.sources[h.source]--; b.sources[h.source] == 0 {
		delete(b.sources, h.source)
	}
}

// Enter records a change of a connection's state.
func (b *Budget[T]) Enter(h *Holding[T], state State, now time.Duration) {
	h.since = now
	if state == StateBody {
		h.bodySince, h.received = now, 0
	}
	if h.closed {
		return
	}
	b.byState[h.state].remove(h)
	h.state = state
	b.byState[state].add(h)
}

// Progress records that bytes of a body have arrived.
func (b *Budget[T]) Progress(h *Holding[T], n int64, now time.Duration) {
	h.received += n
	h.since = now
	if !h.closed {
		b.byState[h.state].remove(h)
		b.byState[h.state].add(h)
	}
}

// Grow counts bytes before they are allocated. It reports whether there is room, and returns the
// connections that end for it, which count as closed. None ends for a request that is being
// served, which may do without the room.
func (b *Budget[T]) Grow(h *Holding[T], n int64, now time.Duration) (ok bool, ended []*Holding[T]) {
	if h.closed {
		return false, nil
	}
	for !b.fits(h, n) {
		if h.state == StateServing {
			return false, nil
		}
		victim := b.choose(h, h.state == StateBody, now)
		if victim == nil {
			return false, ended
		}
		b.Close(victim)
		ended = append(ended, victim)
	}
	h.bytes += n
	b.bytes += n
	if h.state == StateBody {
		h.bodyBytes += n
		b.bodyBytes += n
	}
	return true, ended
}

// fits reports whether there is room for n more bytes.
func (b *Budget[T]) fits(h *Holding[T], n int64) bool {
	ending := b.ending
	if b.limits.BodyBytes > 0 {
		ending = min(ending, b.limits.BodyBytes/maxEndingShare)
	}
	if b.limits.Bytes > 0 && b.bytes-ending+n > b.limits.Bytes {
		return false
	}
	if h.state == StateServing && b.limits.Bytes > 0 {
		kept := int64(max(b.limits.Conns-b.conns, 0))*ConnBytes + b.limits.BodyBytes/keptForBodies
		return b.bytes-ending+n+kept <= b.limits.Bytes
	}
	if h.state != StateBody || b.limits.BodyBytes == 0 {
		return true
	}
	room := b.limits.BodyBytes
	if h.bodyBytes+n > smallBody {
		room -= room / smallReserve
	}
	return b.bodyBytes-ending+n <= room
}

// Release ends the count of bytes that were counted with Grow.
func (b *Budget[T]) Release(h *Holding[T], n int64) {
	body := min(n, h.bodyBytes)
	h.bytes -= n
	b.bytes -= n
	h.bodyBytes -= body
	b.bodyBytes -= body
	if h.closed {
		b.ending -= n
	}
}

// choose returns the connection that deserves its room least; nil if none may end for the given
// one. Only connections that hold a body are of use to another body.
func (b *Budget[T]) choose(h *Holding[T], body bool, now time.Duration) *Holding[T] {
	only, foreign := b.eligible(h)
	allowed := func(v *Holding[T]) bool { return v != h && (only == netip.Prefix{} || v.source == only) }
	if v := b.first(StateBody, allowed, now-patience); v != nil {
		return v
	}
	if !body {
		for _, state := range []State{StateHead, StateNew} {
			if v := b.first(state, allowed, now-patience); v != nil {
				return v
			}
		}
		if v := b.first(StateIdle, allowed, now); v != nil {
			return v
		}
	}
	if !foreign {
		return nil
	}
	if !body {
		for _, state := range []State{StateNew, StateHead} {
			if v := b.first(state, allowed, now); v != nil {
				return v
			}
		}
	}
	return b.largestBody(allowed)
}

// eligible returns the only source whose connections may end for the given one. If one source
// holds more than half of all connections, it yields to the others: it only ends its own, and
// the others end those of this source, also such that make progress (foreign).
func (b *Budget[T]) eligible(h *Holding[T]) (only netip.Prefix, foreign bool) {
	if len(b.sources) < 2 && b.sources[h.source] > 0 {
		return netip.Prefix{}, false
	}
	if 2*b.sources[h.source] > b.conns {
		return h.source, false
	}
	for source, n := range b.sources {
		if 2*n > b.conns {
			return source, true
		}
	}
	return netip.Prefix{}, false
}

// first returns the connection of a state that has waited longest, at least since the given time,
// among those allowed; nil if there is none.
func (b *Budget[T]) first(state State, allowed func(*Holding[T]) bool, since time.Duration) *Holding[T] {
	for h := b.byState[state].first; h != nil; h = h.next {
		if h.since > since {
			return nil
		}
		if allowed(h) {
			return h
		}
	}
	return nil
}

// largestBody returns the connection with the largest body so far; nil if there is none.
func (b *Budget[T]) largestBody(allowed func(*Holding[T]) bool) *Holding[T] {
	var largest *Holding[T]
	for h := b.byState[StateBody].first; h != nil; h = h.next {
		if allowed(h) && (largest == nil || h.bodyBytes > largest.bodyBytes) {
			largest = h
		}
	}
	return largest
}

// Overdue returns the connections that have exceeded a time limit. They don't count as closed.
func (b *Budget[T]) Overdue(limits TimeLimits, now time.Duration) []*Holding[T] {
	var overdue []*Holding[T]
	for state, limit := range map[State]time.Duration{StateNew: limits.New, StateIdle: limits.Idle, StateHead: limits.Head, StateBody: limits.BodyStall} {
		for h := b.byState[state].first; h != nil && limit > 0; h = h.next {
			if now-h.since <= limit {
				break
			}
			overdue = append(overdue, h)
		}
	}
	for h := b.byState[StateBody].first; h != nil; h = h.next {
		age := now - h.bodySince
		stalled := limits.BodyStall > 0 && now-h.since > limits.BodyStall // listed above
		if !stalled && limits.BodyGrace > 0 && age > limits.BodyGrace && h.received < int64(age.Seconds()*float64(limits.BodyRate)) {
			overdue = append(overdue, h)
		}
	}
	return overdue
}

// Stats is what is held.
type Stats struct {
	Conns     int
	ByState   map[State]int
	Sources   int
	Bytes     int64
	BodyBytes int64
}

// Stats returns what is held.
func (b *Budget[T]) Stats() Stats {
	s := Stats{Conns: b.conns, Sources: len(b.sources), Bytes: b.bytes, BodyBytes: b.bodyBytes, ByState: map[State]int{}}
	for state := range stateCount {
		s.ByState[state] = b.byState[state].length
	}
	return s
}

// queue is a list that its elements are linked into, so that a change of state allocates nothing.
type queue[T any] struct {
	first, last *Holding[T]
	length      int
}

func (q *queue[T]) add(h *Holding[T]) {
	h.previous, h.next = q.last, nil
	if q.last == nil {
		q.first = h
	} else {
		q.last.next = h
	}
	q.last = h
	q.length++
}

func (q *queue[T]) remove(h *Holding[T]) {
	if h.previous == nil {
		q.first = h.next
	} else {
		h.previous.next = h.next
	}
	if h.next == nil {
		q.last = h.previous
	} else {
		h.next.previous = h.previous
	}
	q.length--
}
