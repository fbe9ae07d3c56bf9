package batch

import (
	"context"
	"time"

	"github.com/joomcode/errorx"

	"sequoialead"
	"sequoialead/core/plan"
	"sequoialead/core/pool"
)

// call is one call for pieces.
type call struct {
	q     *queue
	conf  *plan.Pool
	place *pool.Place
	batch []*job
}

// run has one batch made, and settles each piece.
func (b *Batcher) run(c *call) {
	now := b.opts.Now()
	pieces := make([]sequoialead.Piece, len(c.batch))
	for i, j := range c.batch {
		pieces[i] = j.piece
		pieces[i].Left = max(j.group.order.Until.Sub(now), time.Millisecond)
	}
	usual := usualTime(c.conf.Pieces, len(c.batch))
	ctx, cancel := context.WithTimeout(b.tomb.Context(context.Background()), timeoutFactor*usual+timeoutExtra)
	defer cancel()
	made, load, err := b.opts.Maker.Make(ctx, c.place.Server, pieces)
	end := pool.EndDone
	switch {
	case errorx.IsOfType(err, sequoialead.ErrUnsent) && load == nil:
		end = pool.EndUnreached
	case errorx.IsOfType(err, sequoialead.ErrUnsent):
		end = pool.EndRefused
	case err != nil:
		end = pool.EndFailed
	default:
		b.opts.Pools.First(c.q.name, c.place)
	}
	b.opts.Pools.Give(c.q.name, c.place, end, load)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.settle(c, made, load, err, b.opts.Now().Sub(now))
}

// settle ends the pieces of a call or queues them again.
func (b *Batcher) settle(c *call, made []sequoialead.Made, load *sequoialead.Occupancy, err error, took time.Duration) {
	c.q.calls--
	if load != nil && load.Running+load.Waiting > 0 {
		c.q.sharedUntil = b.opts.Now().Add(sharedTime)
	}
	roomless := 0
	server := c.place.Server
	paid := map[*group]bool{}
	for i, j := range c.batch {
		m := sequoialead.Made{Reason: sequoialead.ReasonBackend}
		if err == nil {
			m = made[i]
		}
		if m.Reason == sequoialead.ReasonRoom {
			roomless++
		}
		b.settleOne(c.q, j, m, server, paid)
	}
	if roomless > 0 {
		b.ledger.noRoom(server.ID, c.place.Own, b.opts.Now())
	}
	if err == nil {
		c.q.took(took)
		b.counts.called(c.q.name, len(c.batch), took)
		b.opts.Log.V(1).Info("pieces", "pool", c.q.name, "server", server.ID, "own", c.place.Own, "pieces", len(c.batch), "took", took,
			"waiting", c.q.pieces(), "held", b.ledger.held[server.ID], "roomless", roomless, "load", load)
	} else {
		b.opts.Log.Info("pieces-failed", "pool", c.q.name, "server", server.ID, "pieces", len(c.batch), "took", took, "err", err)
	}
	b.pump(c.q)
}

// settleOne ends one piece or queues it again. An order takes one retry from the
// budget for all its pieces that the call failed; paid tells whether it got one.
func (b *Batcher) settleOne(q *queue, j *job, m sequoialead.Made, server sequoialead.Server, paid map[*group]bool) {
	g := j.group
	if m.Handle != "" {
		r := Result{Handle: m.Handle, Maker: server, Bytes: j.piece.Bytes}
		if g.dropped || g.over {
			b.giveUp([]Result{r})
			return
		}
		g.made(j, r)
		return
	}
	b.ledger.unhold(server.ID, j.piece.Bytes)
	if g.dropped || g.over {
		return
	}
	if m.Reason != sequoialead.ReasonRoom && !b.again(q, j, m.Reason, server, paid) {
		return
	}
	q.back(j)
}

// again reports whether a piece that failed is asked for once more.
func (b *Batcher) again(q *queue, j *job, reason sequoialead.Reason, server sequoialead.Server, paid map[*group]bool) bool {
	g := j.group
	g.tries++
	again := reason != sequoialead.ReasonGone && reason != sequoialead.ReasonLate && g.tries < mostTries*len(g.order.Pieces)
	if again {
		if _, asked := paid[g]; !asked {
			paid[g] = b.opts.Pools.Repeat(q.name)
		}
		again = paid[g]
	}
	if !again {
		b.opts.Log.Info("piece-failed", "id", j.piece.Request, "stage", j.piece.Stage, "pool", q.name, "server", server.ID, "reason", reason, "tries", g.tries)
		g.fail(reason)
		return false
	}
	if g.tried == nil {
		g.tried = map[string]bool{}
	}
	g.tried[server.ID] = true
	return true
}
