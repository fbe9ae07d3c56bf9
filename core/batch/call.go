package batch

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/joomcode/errorx"

	"sequoialead"
	"sequoialead/core/calltime"
	"sequoialead/core/pool"
	"sequoialead/core/proxyconfig"
)

// call is one batched call to a backend server.
type call struct {
	q     *queue
	conf  *proxyconfig.Pool
	place *pool.Place
	batch []*pendingPiece
	// shared is set if other entries may have had calls at the backend server when the
	// call was sent, so that it may have waited for them.
	shared bool
	// refused is set if the backend server refused the call as full.
	refused bool
}

// runCall makes one batch at a backend server and settles each of its pieces.
func (b *Batcher) runCall(c *call) {
	now := b.opts.Now()
	pieces := make([]sequoialead.Piece, len(c.batch))
	for i, p := range c.batch {
		pieces[i] = p.piece
		pieces[i].TimeLeft = max(p.parent.order.ExpiresAt.Sub(now), time.Millisecond)
	}
	configured := calltime.Configured(c.conf.Pieces, float64(len(c.batch)))
	ctx, cancel := context.WithTimeout(b.tomb.Context(context.Background()), timeoutFactor*configured+transferAllowance)
	defer cancel()
	c.place.Source = c.source()
	results, said, err := b.opts.Maker.Make(ctx, c.place.Server, pieces)
	end := pool.EndDone
	c.refused = errorx.IsOfType(err, sequoialead.ErrUnsent) && (said.Refused || said.Load != nil || said.Notice.HoldOff > 0)
	switch {
	case c.refused:
		end = pool.EndRefused
	case errorx.IsOfType(err, sequoialead.ErrUnsent):
		end = pool.EndUnreachable
	case err != nil:
		end = pool.EndFailed
	default:
		c.place.Reported = said.Load
		b.opts.Pools.RecordFirstByte(c.q.name, c.place)
		c.place.FailedUnits = countFailed(results)
	}
	b.opts.Pools.RecordNotice(c.place.Server.ID, c.batch[0].piece.Request, said.Notice)
	b.opts.Pools.Release(c.q.name, c.place, end, said.Load)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.settle(c, results, said.Load, err, b.opts.Now().Sub(now))
}

// source identifies the request that all pieces of the call belong to; zero if there are
// several.
func (c *call) source() uint64 {
	id := c.batch[0].piece.Request
	for _, p := range c.batch[1:] {
		if p.piece.Request != id {
			return 0
		}
	}
	return xxhash.Sum64String(id)
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
	now, state := b.opts.Now(), c.q.state(b.opts.Now(), max(c.q.ledServers, 1))
	c.q.times.Advance(state)
	c.q.inFlight--
	if c.refused {
		b.requeueRefused(c, load, err)
		return
	}
	if err == nil {
		c.q.contention.RecordAnswer(c.place.Server.ID, float64(duration)/float64(max(calltime.Configured(c.conf.Pieces, float64(len(c.batch))), 1)), load, now)
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
		b.rooms.markFull(server.ID, c.place.Led, now)
		b.stats.countWithoutRoom(c.q.name, withoutRoom)
	}
	if err == nil {
		if !c.shared {
			c.q.times.RecordCall(c.conf.Pieces, len(c.batch), duration, state)
		}
		b.stats.observeCall(c.q.name, len(c.batch), duration)
		b.opts.Log.V(1).Info("pieces", "pool", c.q.name, "server", server.ID, "own", c.place.Led, "pieces", len(c.batch), "took", duration,
			"waiting", c.q.pendingPieces(), "held", b.rooms.held[server.ID], "roomless", withoutRoom, "load", load)
	} else {
		b.opts.Log.Info("pieces-failed", "pool", c.q.name, "server", server.ID, "pieces", len(c.batch), "took", duration, "err", err)
	}
	b.dispatch(c.q)
}

// requeueRefused returns the pieces of a call that the backend server refused as full to the
// queue. That is no failure of their orders, but sending them again takes a retry for each
// order, since the budget counts refused calls too.
func (b *Batcher) requeueRefused(c *call, load *sequoialead.ServerLoad, err error) {
	now, server := b.opts.Now(), c.place.Server
	callTime := c.q.times.CallTime(c.conf.Pieces, c.q.state(now, max(c.q.ledServers, 1)))
	c.q.contention.RecordRefusal(server.ID, callTime, c.q.inFlight+1, b.random(), now)
	b.stats.countRefused(c.q.name)
	b.opts.Log.V(1).Info("pieces-refused", "pool", c.q.name, "server", server.ID, "own", c.place.Led, "pieces", len(c.batch), "load", load, "err", err)
	for _, p := range c.batch {
		b.rooms.release(server.ID, p.piece.Bytes)
		o := p.parent
		if o.abandoned || o.ended {
			continue
		}
		if b.handingOver {
			o.fail(sequoialead.ReasonLeaving) // the next leader makes it
			continue
		}
		c.q.requeue(p)
		o.awaitsRetry = true
		o.started = o.started && len(o.pending) < len(o.order.Pieces)
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
