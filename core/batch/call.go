package batch

import (
	"context"
	"time"

	"github.com/joomcode/errorx"

	"sequoialead"
	"sequoialead/core/pool"
	"sequoialead/core/proxyconfig"
)

// call is one batched call to a backend server.
type call struct {
	q     *queue
	conf  *proxyconfig.Pool
	place *pool.Place
	batch []*pendingPiece
}

// runCall makes one batch at a backend server and settles each of its pieces.
func (b *Batcher) runCall(c *call) {
	now := b.opts.Now()
	pieces := make([]sequoialead.Piece, len(c.batch))
	for i, p := range c.batch {
		pieces[i] = p.piece
		pieces[i].TimeLeft = max(p.parent.order.ExpiresAt.Sub(now), time.Millisecond)
	}
	configured := configuredCallTime(c.conf.Pieces, len(c.batch))
	ctx, cancel := context.WithTimeout(b.tomb.Context(context.Background()), timeoutFactor*configured+transferAllowance)
	defer cancel()
	results, said, err := b.opts.Maker.Make(ctx, c.place.Server, pieces)
	end := pool.EndDone
	switch {
	case errorx.IsOfType(err, sequoialead.ErrUnsent) && said.Load == nil && said.Notice.HoldOff == 0:
		end = pool.EndUnreachable
	case errorx.IsOfType(err, sequoialead.ErrUnsent):
		end = pool.EndRefused
	case err != nil:
		end = pool.EndFailed
	default:
		b.opts.Pools.RecordFirstByte(c.q.name, c.place)
		c.place.FailedUnits = countFailed(results)
	}
	b.opts.Pools.RecordNotice(c.place.Server.ID, c.batch[0].piece.Request, said.Notice)
	b.opts.Pools.Release(c.q.name, c.place, end, said.Load)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.settle(c, results, said.Load, err, b.opts.Now().Sub(now))
}

// countFailed returns the number of pieces that were not made because the server failed.
func countFailed(results []sequoialead.PieceResult) int {
	n := 0
	for _, r := range results {
		if r.Handle == "" && r.Reason == sequoialead.ReasonBackend {
			n++
		}
	}
	return n
}

// settle completes, fails or requeues the pieces of a finished call.
func (b *Batcher) settle(c *call, results []sequoialead.PieceResult, load *sequoialead.ServerLoad, err error, duration time.Duration) {
	c.q.inFlight--
	if load != nil && load.Running+load.Queued > 0 {
		c.q.sharedUntil = b.opts.Now().Add(sharedPeriod)
	}
	withoutRoom := 0
	server, room := c.place.Server, c.conf.Pieces.RoomBytes
	retryGranted := map[*pendingOrder]bool{}
	for i, p := range c.batch {
		m := sequoialead.PieceResult{Reason: sequoialead.ReasonBackend}
		if err == nil {
			m = results[i]
		}
		if m.Reason == sequoialead.ReasonRoom && p.piece.Bytes > room {
			b.refuseSize(c, p)
			continue
		}
		if m.Reason == sequoialead.ReasonRoom {
			withoutRoom++
		}
		b.settlePiece(c.q, p, m, server, retryGranted)
	}
	if withoutRoom > 0 {
		b.rooms.markFull(server.ID, c.place.Led, b.opts.Now())
	}
	if err == nil {
		c.q.observeCallTime(duration)
		b.stats.observeCall(c.q.name, len(c.batch), duration)
		b.opts.Log.V(1).Info("pieces", "pool", c.q.name, "server", server.ID, "own", c.place.Led, "pieces", len(c.batch), "took", duration,
			"waiting", c.q.pendingPieces(), "held", b.rooms.held[server.ID], "roomless", withoutRoom, "load", load)
	} else {
		b.opts.Log.Info("pieces-failed", "pool", c.q.name, "server", server.ID, "pieces", len(c.batch), "took", duration, "err", err)
	}
	b.dispatch(c.q)
}

// refuseSize fails the order of a piece that its backend server has no room for even
// without other results.
func (b *Batcher) refuseSize(c *call, p *pendingPiece) {
	server, room := c.place.Server, c.conf.Pieces.RoomBytes
	b.opts.Log.Info("piece-too-large", "id", p.piece.Request, "stage", p.piece.Stage, "pool", c.q.name, "server", server.ID, "bytes", p.piece.Bytes, "room", room)
	c.q.recordRefusedSize(p.piece.Bytes, room, b.opts.Now())
	b.rooms.release(server.ID, p.piece.Bytes)
	p.parent.fail(sequoialead.ReasonRoom)
}

// settlePiece completes, fails or requeues one piece. An order takes one retry
// from the pool's budget for all its pieces that the call failed; retryGranted
// records whether it got one.
func (b *Batcher) settlePiece(q *queue, p *pendingPiece, m sequoialead.PieceResult, server sequoialead.Server, retryGranted map[*pendingOrder]bool) {
	o := p.parent
	if m.Handle != "" {
		r := Result{Handle: m.Handle, Server: server, Bytes: p.piece.Bytes}
		if o.abandoned || o.ended {
			b.discard([]Result{r})
			return
		}
		o.complete(p, r)
		return
	}
	b.rooms.release(server.ID, p.piece.Bytes)
	if o.abandoned || o.ended {
		return
	}
	if m.Reason != sequoialead.ReasonRoom && !b.mayRetry(q, p, m.Reason, server, retryGranted) {
		return
	}
	q.requeue(p)
}

// mayRetry reports whether a failed piece may be attempted again. If not, it
// fails the order.
func (b *Batcher) mayRetry(q *queue, p *pendingPiece, reason sequoialead.Reason, server sequoialead.Server, retryGranted map[*pendingOrder]bool) bool {
	o := p.parent
	o.failures++
	retry := reason != sequoialead.ReasonGone && reason != sequoialead.ReasonLate && o.failures < maxAttempts*len(o.order.Pieces)
	if retry {
		if _, requested := retryGranted[o]; !requested {
			retryGranted[o] = b.opts.Pools.TakeRetry(q.name)
		}
		retry = retryGranted[o]
	}
	if !retry {
		b.opts.Log.Info("piece-failed", "id", p.piece.Request, "stage", p.piece.Stage, "pool", q.name, "server", server.ID, "reason", reason, "tries", o.failures)
		o.fail(reason)
		return false
	}
	if o.failedServers == nil {
		o.failedServers = map[string]bool{}
	}
	o.failedServers[server.ID] = true
	return true
}
