package batch

import (
	"time"

	"sequoialead"
	"sequoialead/core/pool"
	"sequoialead/core/proxyconfig"
)

// maxOrdersTried bounds the orders that are tried for one place. In an
// overloaded pool the orders after them are late anyway, and each one tried
// costs a scan of all backend servers.
const maxOrdersTried = 64

// findPlace acquires a place for a call: a place for the first order in the queue
// that can get one. It also returns the room for results there. The place is nil if no
// order can get one.
func (b *Batcher) findPlace(q *queue, conf *proxyconfig.Pool, now time.Time) (*pool.Place, spareRoom) {
	waitsForLocal := b.localWaitFunc(q, conf, now)
	leads := b.opts.Pools.LedServers(q.name) > 0
	for _, o := range q.orders[:min(len(q.orders), maxOrdersTried)] {
		if o.awaitsRetry {
			continue
		}
		need := o.pendingBytes(conf.Pieces.MaxBatch)
		place, _ := b.opts.Pools.Acquire(q.name, pool.Request{
			Exclude: o.failedServers, Domain: o.order.Domain,
			HasCapacity: func(server sequoialead.Server, led bool) bool {
				if leads && !led {
					return false // the server's leader assumes that no other entry sends it calls
				}
				if q.contention.Paused(server.ID, now) {
					return false
				}
				room := b.rooms.spareRoom(conf.Pieces.RoomBytes, server.ID, led, now)
				return !waitsForLocal(o, server.Domain) && (room.whole || room.bytes >= need)
			},
		})
		if place != nil {
			return place, b.rooms.spareRoom(conf.Pieces.RoomBytes, place.Server.ID, place.Led, now)
		}
	}
	return nil, spareRoom{}
}

// localWaitFunc returns a function that reports whether an order should wait
// for a backend server of its own failure domain rather than be made in the
// given one.
func (b *Batcher) localWaitFunc(q *queue, conf *proxyconfig.Pool, now time.Time) func(o *pendingOrder, domain string) bool {
	led := max(b.opts.Pools.LedServers(q.name), 1)
	loaded := float64(q.pendingPieces()) > localWaitMaxLoad*float64(conf.Pieces.MaxBatch*led)
	callTime := q.times.CallTime(conf.Pieces, q.state(now, led))
	domainHasServers := map[string]bool{"": false}
	for _, o := range q.orders {
		if _, ok := domainHasServers[o.order.Domain]; !ok {
			domainHasServers[o.order.Domain] = b.opts.Pools.HasDomain(q.name, o.order.Domain)
		}
	}
	return func(o *pendingOrder, domain string) bool {
		return !loaded && o.order.Domain != domain && domainHasServers[o.order.Domain] && now.Before(o.localWaitDeadline(callTime))
	}
}

// orRoomWait returns a function that reports whether waits does, or whether an order that would
// be split for lack of room has time to wait for a server that takes all of its pieces.
func (q *queue) orRoomWait(waits func(o *pendingOrder, domain string) bool, conf *proxyconfig.PieceLimits, room spareRoom, servers int, now time.Time) func(o *pendingOrder, domain string) bool {
	callTime := q.times.CallTime(conf, q.state(now, servers))
	return func(o *pendingOrder, domain string) bool {
		split := !room.whole && o.pendingBytes(conf.MaxBatch) > room.bytes && !o.maySplit(now, callTime)
		return split || waits(o, domain)
	}
}

// notifyInputsRead schedules the OnInputsRead callbacks of the orders whose
// last pieces are in this call. It does nothing if other entries may have calls
// at the backend server, because these may be served first, nor while this
// entry hands over.
func (b *Batcher) notifyInputsRead(c *call) {
	if !c.place.Led || c.q.contention.AnyShared(b.opts.Now()) || b.handingOver {
		return
	}
	var callbacks []func()
	for _, p := range c.batch {
		if o := p.parent; o.order.OnInputsRead != nil && len(o.pending) == 0 && !o.readNotified {
			o.readNotified = true
			callbacks = append(callbacks, o.order.OnInputsRead)
		}
	}
	if len(callbacks) == 0 {
		return
	}
	time.AfterFunc(inputReadDelay, func() {
		for _, f := range callbacks {
			f()
		}
	})
}
