// Package shares orders waiting requests so that each customer gets its
// weight's share of the service time. Besides the queue it exports the tickets
// that it gives out.
package shares

import (
	"container/heap"
	"time"
)

// Ticket stands for one waiting request.
type Ticket struct {
	// Value is what waits.
	Value any
	// ahead sorts requests with stages behind them before others.
	ahead bool
	// start and finish are the virtual times between which the request would
	// be served.
	start  float64
	finish float64
	// order breaks ties by arrival.
	order uint64
	// index is the place in the heap; -1 once removed.
	index int
}

// Queue is a weighted fair queue. It is not safe for concurrent use.
type Queue struct {
	tickets tickets
	// now is the virtual time: the start of the request served last.
	now float64
	// last is the virtual finish of each customer's latest request. Customers
	// behind now are dropped.
	last  map[string]float64
	order uint64
}

// leastCost is that of a request whose time is not known.
const leastCost = time.Millisecond

// sweepSize is the number of customers above which idle ones are dropped.
const sweepSize = 1024

// New returns an empty queue.
func New() *Queue { return &Queue{last: map[string]float64{}} }

// Len returns the number of waiting requests.
func (q *Queue) Len() int { return len(q.tickets) }

// Push adds a request that takes the given time to serve. Those that are ahead,
// having run stages already, come before all others.
func (q *Queue) Push(customer string, share int, cost time.Duration, ahead bool, value any) *Ticket {
	start := max(q.now, q.last[customer])
	finish := start + max(cost, leastCost).Seconds()/float64(max(share, 1))
	q.last[customer] = finish
	q.order++
	t := &Ticket{Value: value, ahead: ahead, start: start, finish: finish, order: q.order}
	heap.Push(&q.tickets, t)
	return t
}

// Pop removes and returns the request to be served next, or nil.
func (q *Queue) Pop() *Ticket {
	if len(q.tickets) == 0 {
		return nil
	}
	t := heap.Pop(&q.tickets).(*Ticket)
	q.now = max(q.now, t.start)
	q.sweep()
	return t
}

// Remove takes out a request that no longer waits.
func (q *Queue) Remove(t *Ticket) {
	if t.index >= 0 {
		heap.Remove(&q.tickets, t.index)
	}
}

func (q *Queue) sweep() {
	if len(q.last) <= sweepSize {
		return
	}
	for customer, finish := range q.last {
		if finish <= q.now {
			delete(q.last, customer)
		}
	}
}

type tickets []*Ticket

var _ heap.Interface = (*tickets)(nil)

func (t tickets) Len() int { return len(t) }

func (t tickets) Less(i, j int) bool {
	a, b := t[i], t[j]
	if a.ahead != b.ahead {
		return a.ahead
	}
	if a.finish != b.finish {
		return a.finish < b.finish
	}
	return a.order < b.order
}

func (t tickets) Swap(i, j int) {
	t[i], t[j] = t[j], t[i]
	t[i].index, t[j].index = i, j
}

func (t *tickets) Push(x any) {
	ticket := x.(*Ticket)
	ticket.index = len(*t)
	*t = append(*t, ticket)
}

func (t *tickets) Pop() any {
	old := *t
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*t = old[:len(old)-1]
	last.index = -1
	return last
}
