package batch

import (
	"cmp"
	"math"
	"slices"
	"time"

	"sequoialead"
	"sequoialead/core/frame"
	"sequoialead/core/plan"
)

// job is one piece on its way.
type job struct {
	piece sequoialead.Piece
	group *group
	// index is the place of the piece in its order.
	index int
}

// group is an order on its way. Its pieces are asked for together, because
// results that wait for the rest of their order take up room.
type group struct {
	order Order
	// added is when the order came.
	added time.Time
	// missing holds the pieces that are neither made nor being made.
	missing []*job
	// open is the number of pieces that are not made.
	open    int
	results []Result
	tries   int
	tried   map[string]bool
	queued  bool
	// begun is set once a piece was asked for.
	begun bool
	// read is set once the order's Read was called, or will be.
	read bool
	// late is set while the order cannot be on time behind those before it.
	late bool
	// dropped is set once nobody waits for the order.
	dropped bool
	over    bool
	failed  sequoialead.Reason
	done    chan struct{}
}

func newGroup(order Order, now time.Time) *group {
	g := &group{order: order, added: now, open: len(order.Pieces), queued: true, done: make(chan struct{})}
	g.results = make([]Result, len(order.Pieces))
	for i, piece := range order.Pieces {
		g.missing = append(g.missing, &job{piece: piece, group: g, index: i})
	}
	return g
}

// made takes the result of a piece.
func (g *group) made(j *job, r Result) {
	g.results[j.index] = r
	g.open--
	if g.open == 0 {
		g.end("")
	}
}

func (g *group) fail(reason sequoialead.Reason) { g.end(reason) }

func (g *group) end(reason sequoialead.Reason) {
	if g.over {
		return
	}
	g.over = true
	g.failed = reason
	close(g.done)
}

// bytes returns the size of the results of the missing pieces, as far as they
// fit one call.
func (g *group) bytes(most int) int {
	n := 0
	for i, j := range g.missing {
		if i >= most {
			break
		}
		n += j.piece.Bytes
	}
	return n
}

// queue holds the orders that one pool is to make.
type queue struct {
	name    string
	waiting []*group
	// calls is the number of calls under way.
	calls int
	timer bool
	// usual is the recent time of a call.
	usual time.Duration
	// size and busy are the recent number of pieces of a call, and of calls
	// under way, while more pieces waited; zero if none has.
	size float64
	busy float64
	// led is the number of backend servers that this entry led at the last look.
	led int
	// sharedUntil is until when other entries may have calls at them.
	sharedUntil time.Time
}

// lead notes a change of what this entry leads: the leader before may still have
// calls there.
func (q *queue) lead(servers int, now time.Time) {
	if servers != q.led {
		q.led = servers
		q.sharedUntil = now.Add(sharedTime)
	}
}

// newWeight is the share of the newest call in the usual time.
const newWeight = 0.2

func (q *queue) took(d time.Duration) {
	if q.usual == 0 {
		q.usual = d
	}
	q.usual += time.Duration(newWeight * float64(d-q.usual))
}

// started notes the size of a call that left others waiting.
func (q *queue) started(pieces int) {
	if len(q.waiting) == 0 {
		return
	}
	if q.size == 0 {
		q.size, q.busy = float64(pieces), float64(q.calls)
	}
	q.size += newWeight * (float64(pieces) - q.size)
	q.busy += newWeight * (float64(q.calls) - q.busy)
}

// pace returns the number of pieces made within the usual time of a call, where
// a number of backend servers could make a batch each.
func (q *queue) pace(batch, servers int) float64 {
	if q.size == 0 {
		return float64(batch * servers)
	}
	return max(q.size, 1) * min(max(q.busy, 1), float64(servers))
}

// pieces returns the number of pieces that wait.
func (q *queue) pieces() int {
	n := 0
	for _, g := range q.waiting {
		n += len(g.missing)
	}
	return n
}

// prune drops what nobody waits for or is of no use any more.
func (q *queue) prune(now time.Time) {
	q.waiting = slices.DeleteFunc(q.waiting, func(g *group) bool {
		if !g.dropped && !g.over && now.After(g.order.Until) {
			g.fail(sequoialead.ReasonLate)
		}
		g.queued = !g.dropped && !g.over
		return !g.queued
	})
}

func (q *queue) failAll(reason sequoialead.Reason) {
	for _, g := range q.waiting {
		g.fail(reason)
	}
	q.waiting = nil
}

// back queues a piece again.
func (q *queue) back(j *job) {
	g := j.group
	g.missing = append(g.missing, j)
	if !g.queued {
		g.queued = true
		q.waiting = append(q.waiting, g)
	}
}

// sort puts orders that are begun first, since their results take up room, then
// those that can be on time by rank and due time, and the others last. An order
// that cannot be on time behind those before it makes none of them late.
func (q *queue) sort(now time.Time, batch, servers int) {
	compare := func(a, b *group) int {
		return cmp.Or(cmp.Compare(a.class(), b.class()), cmp.Compare(a.order.Rank, b.order.Rank), a.order.Due.Compare(b.order.Due))
	}
	for _, g := range q.waiting {
		g.late = false
	}
	slices.SortStableFunc(q.waiting, compare)
	ahead, late, pace := 0, false, q.pace(batch, servers)
	for _, g := range q.waiting {
		wait := float64(ahead) / pace * float64(q.usual)
		if g.late = !g.begun && g.order.Due.Before(now.Add(q.usual+time.Duration(wait))); g.late {
			late = true
			continue
		}
		ahead += len(g.missing)
	}
	if late {
		slices.SortStableFunc(q.waiting, compare)
	}
}

// patientUntil returns how long the order may wait for a backend server of its
// failure domain, where a call takes a usual time.
func (g *group) patientUntil(usual time.Duration) time.Time {
	if g.order.Moved < movedLeast {
		return g.added
	}
	spare := g.order.Due.Sub(g.added) - usual
	return g.added.Add(time.Duration(patientShare * float64(spare)))
}

// class orders groups before rank and due time.
func (g *group) class() int {
	switch {
	case g.begun:
		return 0
	case g.late:
		return 2
	}
	return 1
}

// take removes the pieces of one call: whole orders that fit and that the
// backend server has not failed. An order larger than a call is taken in parts.
func (q *queue) take(most int, server sequoialead.Server, room int, patient func(g *group, domain string) bool) []*job {
	var batch []*job
	for _, g := range q.waiting {
		left := most - len(batch)
		if left == 0 {
			break
		}
		fits := len(g.missing) <= left && g.bytes(left) <= room
		if g.tried[server.ID] || patient(g, server.Domain) || !fits && len(batch) > 0 {
			continue
		}
		n := 0
		for n < len(g.missing) && n < left && g.missing[n].piece.Bytes <= room {
			room -= g.missing[n].piece.Bytes
			n++
		}
		batch = append(batch, g.missing[:n]...)
		g.missing = g.missing[n:]
		g.begun = g.begun || n > 0
	}
	q.waiting = slices.DeleteFunc(q.waiting, func(g *group) bool {
		g.queued = len(g.missing) > 0
		return !g.queued
	})
	return batch
}

// usualTime returns the time of a call by the configuration.
func usualTime(conf *plan.Pieces, pieces int) time.Duration {
	return conf.Call + time.Duration(pieces)*conf.Item
}

// ranks is the number of ranks that are told apart.
const ranks = 10

// backlog returns what waits, for estimates.
func (q *queue) backlog(batch, servers int) frame.Backlog {
	l := frame.Backlog{Usual: q.usual, Pace: q.pace(batch, servers), Servers: servers, Calls: q.calls}
	for _, g := range q.waiting {
		if g.late {
			continue // late orders wait for all others
		}
		if l.Pieces == nil {
			l.Pieces = make([]int, ranks)
		}
		l.Pieces[min(max(g.order.Rank, 0), ranks-1)] += len(g.missing)
	}
	return l
}

// Estimate returns how long a number of pieces of a rank would take behind a
// backlog.
func Estimate(conf *plan.Pieces, l frame.Backlog, rank, pieces int) time.Duration {
	call := max(l.Usual, conf.Call)
	ahead := 0
	for r, n := range l.Pieces {
		if r <= rank {
			ahead += n
		}
	}
	servers := max(l.Servers, 1)
	pace := l.Pace
	if pace == 0 {
		pace = float64(conf.Batch * servers)
	}
	wait := time.Duration(math.Floor(float64(ahead+pieces-1)/pace*float64(servers)) / float64(servers) * float64(call))
	if l.Calls >= servers {
		wait += call / time.Duration(servers+1)
	}
	return wait + call
}
