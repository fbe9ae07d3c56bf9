// Package fairqueue implements weighted fair queueing: queued requests are served so
// that each customer gets service time in proportion to its weight.
package fairqueue

import (
	"container/heap"
	"time"
)

// Ticket represents one queued request.
type Ticket struct {
	// Value is the value passed to Push.
	Value any
	// laterStage is set for requests that have completed a stage. They are served
	// before all others.
	laterStage bool
	// start and finish are the virtual start and finish times of the request, in
	// seconds of service divided by the customer's weight.
	start  float64
	finish float64
	// seq is the order of arrival, which breaks ties.
	seq uint64
	// index is the position in the heap; -1 once removed.
	index int
}

// Queue is a weighted fair queue. It is not safe for concurrent use.
type Queue struct {
	tickets ticketHeap
	// virtualTime is the highest virtual start time of the requests served.
	virtualTime float64
	// lastFinish is the virtual finish time of each customer's latest request.
	// Customers whose time is not after virtualTime are pruned.
	lastFinish map[string]float64
	lastSeq    uint64
}

// minCost is the cost assumed for a request whose service time is not known yet,
// and the minimum for all others.
const minCost = time.Millisecond

// pruneThreshold is the number of customers above which idle ones are pruned.
const pruneThreshold = 1024

// New returns an empty queue.
func New() *Queue { return &Queue{lastFinish: map[string]float64{}} }

// Len returns the number of queued requests.
func (q *Queue) Len() int { return len(q.tickets) }

// Push adds a request with an estimated service time. Requests that have completed
// a stage set laterStage and are served before all others, because work was already
// done for them. A customer gets no credit for the time in which it was idle.
func (q *Queue) Push(customer string, weight int, cost time.Duration, laterStage bool, value any) *Ticket {
	start := max(q.virtualTime, q.lastFinish[customer])
	finish := start + max(cost, minCost).Seconds()/float64(max(weight, 1))
	q.lastFinish[customer] = finish
	q.lastSeq++
	t := &Ticket{Value: value, laterStage: laterStage, start: start, finish: finish, seq: q.lastSeq}
	heap.Push(&q.tickets, t)
	return t
}

// Pop removes and returns the request to be served next, or nil if the queue is
// empty.
func (q *Queue) Pop() *Ticket {
	if len(q.tickets) == 0 {
		return nil
	}
	t := heap.Pop(&q.tickets).(*Ticket)
	q.virtualTime = max(q.virtualTime, t.start)
	q.prune()
	return t
}

// Remove removes a queued request. It does nothing if the request was already
// popped or removed.
func (q *Queue) Remove(t *Ticket) {
	if t.index >= 0 {
		heap.Remove(&q.tickets, t.index)
	}
}

func (q *Queue) prune() {
	if len(q.lastFinish) <= pruneThreshold {
		return
	}
	for customer, finish := range q.lastFinish {
		if finish <= q.virtualTime {
			delete(q.lastFinish, customer)
		}
	}
}

type ticketHeap []*Ticket

var _ heap.Interface = (*ticketHeap)(nil)

func (t ticketHeap) Len() int { return len(t) }

func (t ticketHeap) Less(i, j int) bool {
	a, b := t[i], t[j]
	if a.laterStage != b.laterStage {
		return a.laterStage
	}
	if a.finish != b.finish {
		return a.finish < b.finish
	}
	return a.seq < b.seq
}

func (t ticketHeap) Swap(i, j int) {
	t[i], t[j] = t[j], t[i]
	t[i].index, t[j].index = i, j
}

func (t *ticketHeap) Push(x any) {
	ticket := x.(*Ticket)
	ticket.index = len(*t)
	*t = append(*t, ticket)
}

func (t *ticketHeap) Pop() any {
	old := *t
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*t = old[:len(old)-1]
	last.index = -1
	return last
}
