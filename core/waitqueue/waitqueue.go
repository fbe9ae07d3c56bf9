// Package waitqueue orders the requests that wait for a place at a backend server.
//
// It answers two load patterns. Requests wait for several pools at once while room becomes free
// in one of them: it is the first one of that pool whose turn it is. And callers that were
// refused come back while new ones arrive: those that come back go first among requests of the
// same urgency, since they have less time left, but new ones get a share of the places.
package waitqueue

import (
	"cmp"
	"slices"
)

// newcomerTurn is the turn within one urgency that goes to a request that was not refused
// before: one place in three. With less, new callers would wait as long as the time after which
// they are refused whenever many come back.
const newcomerTurn = 3

// Ticket is the position of one waiting request.
type Ticket[T any] struct {
	Value T

	pool      string
	urgency   int
	returning bool
	seq       uint64
}

// Pool returns the pool that the request waits for.
func (t *Ticket[T]) Pool() string { return t.pool }

// Queue holds the waiting requests of all pools. It is not safe for concurrent use.
type Queue[T any] struct {
	// pools holds the tickets of each pool, by urgency and then in the order of arrival.
	pools map[string][]*Ticket[T]
	// grants counts the places that went to requests that were refused before, in a row, by
	// pool and urgency.
	grants map[grantKey]int
	seq    uint64
}

type grantKey struct {
	pool    string
	urgency int
}

// New returns an empty queue.
func New[T any]() *Queue[T] {
	return &Queue[T]{pools: map[string][]*Ticket[T]{}, grants: map[grantKey]int{}}
}

// Push adds a request. Urgency is from 0, the most urgent, upwards. Returning is set if its caller
// was refused before.
func (q *Queue[T]) Push(pool string, urgency int, returning bool, value T) *Ticket[T] {
	q.seq++
	t := &Ticket[T]{Value: value, pool: pool, urgency: urgency, returning: returning, seq: q.seq}
	list := q.pools[pool]
	i, _ := slices.BinarySearchFunc(list, t, func(a, b *Ticket[T]) int {
		return cmp.Or(cmp.Compare(a.urgency, b.urgency), cmp.Compare(a.seq, b.seq))
	})
	q.pools[pool] = slices.Insert(list, i, t)
	return t
}

// Remove removes a request. It does nothing if the request was already removed.
func (q *Queue[T]) Remove(t *Ticket[T]) {
	list := slices.DeleteFunc(q.pools[t.pool], func(o *Ticket[T]) bool { return o == t })
	if len(list) == 0 {
		delete(q.pools, t.pool)
		return
	}
	q.pools[t.pool] = list
}

// First returns the request whose turn it is in a pool; nil if none waits.
func (q *Queue[T]) First(pool string) *Ticket[T] {
	list := q.pools[pool]
	if len(list) == 0 {
		return nil
	}
	wanted := !q.newcomersTurn(pool, list[0].urgency)
	for _, t := range list {
		if t.urgency != list[0].urgency {
			break
		}
		if t.returning == wanted {
			return t
		}
	}
	return list[0]
}

// newcomersTurn reports whether the next place goes to a request that was not refused before.
func (q *Queue[T]) newcomersTurn(pool string, urgency int) bool {
	return q.grants[grantKey{pool, urgency}] >= newcomerTurn-1
}

// MustWait reports whether a request that has just arrived has to leave the next place to one
// that waits.
func (q *Queue[T]) MustWait(pool string, urgency int, returning bool) bool {
	first := q.First(pool)
	switch {
	case first == nil || first.urgency > urgency:
		return false
	case first.urgency < urgency || first.returning == returning:
		return true
	}
	return returning == q.newcomersTurn(pool, urgency)
}

// Granted records that a request got a place.
func (q *Queue[T]) Granted(pool string, urgency int, returning bool) {
	key := grantKey{pool, urgency}
	if returning {
		q.grants[key]++
		return
	}
	delete(q.grants, key)
}

// Waiting returns the number of requests that wait for a pool and are at least as urgent.
func (q *Queue[T]) Waiting(pool string, urgency int) int {
	n := 0
	for _, t := range q.pools[pool] {
		if t.urgency > urgency {
			break
		}
		n++
	}
	return n
}

// Firsts returns the request whose turn it is in each pool.
func (q *Queue[T]) Firsts() []*Ticket[T] {
	firsts := make([]*Ticket[T], 0, len(q.pools))
	for pool := range q.pools {
		firsts = append(firsts, q.First(pool))
	}
	return firsts
}
