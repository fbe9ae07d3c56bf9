package batch

import (
	"context"
	"time"

	"sequoialead"
)

const (
	// freeDelay is how long discarded results are collected before they are
	// freed in one call. It is short, because the room that they take limits
	// what a backend server can make.
	freeDelay = 10 * time.Millisecond
	// freeTimeout bounds a call that frees results.
	freeTimeout = time.Second
	// ownFullPause is how long a backend server that this entry leads gets no
	// calls after it had no room for results. otherFullPause is the same for
	// other backend servers.
	ownFullPause   = 60 * time.Millisecond
	otherFullPause = 500 * time.Millisecond
	// otherRoomShare is the part of the room that this entry uses at a backend
	// server led by another entry.
	otherRoomShare = 0.4
	// refusedSizePeriod is how long results are refused that are larger than the room of
	// a backend server, after one has refused a result of that size.
	refusedSizePeriod = 10 * time.Second
)

// roomTracker tracks how many bytes of each backend server's memory for results
// this entry uses, and which results are to be freed there.
type roomTracker struct {
	// toFree holds the discarded results by the ID of their backend server.
	toFree map[string]*pendingFree
	// held is the size of the results that each backend server holds for this
	// entry, made or being made, by server ID.
	held map[string]int
	// pools is the pool of each server in held.
	pools map[string]string
	// fullUntil is the time until which a backend server is assumed to have no
	// room.
	fullUntil map[string]time.Time
}

// pendingFree holds the discarded results of one backend server.
type pendingFree struct {
	server  sequoialead.Server
	handles []string
	// bytes is the total size of the results that this entry's batcher requested.
	// Other entries account for the results that they requested.
	bytes int
}

func newRoomTracker() *roomTracker {
	return &roomTracker{toFree: map[string]*pendingFree{}, held: map[string]int{}, pools: map[string]string{}, fullUntil: map[string]time.Time{}}
}

// freeRoom returns how many bytes of results this entry may add at a backend
// server with the given capacity.
func (t *roomTracker) freeRoom(capacity int, server string, led bool, now time.Time) int {
	if now.Before(t.fullUntil[server]) {
		return 0
	}
	delete(t.fullUntil, server)
	if !led {
		capacity = int(otherRoomShare * float64(capacity))
	}
	return capacity - t.held[server]
}

// spareRoom is the room for results that this entry may use at a backend server.
type spareRoom struct {
	bytes int
	// whole is set if the entry uses none of it yet.
	whole bool
}

// spareRoom returns the room that this entry may use at a backend server with the given
// capacity.
func (t *roomTracker) spareRoom(capacity int, server string, led bool, now time.Time) spareRoom {
	return spareRoom{bytes: t.freeRoom(capacity, server, led, now), whole: t.held[server] == 0 && !now.Before(t.fullUntil[server])}
}

// markFull records that a backend server had no room for a result.
func (t *roomTracker) markFull(server string, led bool, now time.Time) {
	pause := otherFullPause
	if led {
		pause = ownFullPause
	}
	t.fullUntil[server] = now.Add(pause)
}

func (t *roomTracker) reserve(pool, server string, bytes int) {
	t.held[server] += bytes
	t.pools[server] = pool
}

func (t *roomTracker) release(server string, bytes int) {
	t.held[server] -= bytes
	if t.held[server] <= 0 {
		delete(t.held, server)
		delete(t.pools, server)
	}
}

// heldByPool returns the number of bytes held by the backend servers of a pool.
func (t *roomTracker) heldByPool(pool string) int {
	n := 0
	for server, bytes := range t.held {
		if t.pools[server] == pool {
			n += bytes
		}
	}
	return n
}

// addToFree adds a discarded result to those to free.
func (t *roomTracker) addToFree(r Result) {
	pending := t.toFree[r.Server.ID]
	if pending == nil {
		pending = &pendingFree{server: r.Server}
		t.toFree[r.Server.ID] = pending
	}
	pending.handles = append(pending.handles, r.Handle)
	if r.Entry == "" {
		pending.bytes += r.Bytes
	}
}

// Free frees results that are no longer needed. It returns at once; the calls
// to the backend servers are made in the background.
func (b *Batcher) Free(results []Result) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.discard(results)
}

func (b *Batcher) discard(results []Result) {
	for _, r := range results {
		if r.Handle != "" {
			b.rooms.addToFree(r)
		}
	}
	b.signalFree()
}

func (b *Batcher) signalFree() {
	select {
	case b.freeSignal <- struct{}{}:
	default:
	}
}

// freeLoop frees discarded results at their backend servers until the batcher is
// closed.
func (b *Batcher) freeLoop() error {
	for {
		select {
		case <-b.tomb.Dying():
			return nil
		case <-b.freeSignal:
		}
		time.Sleep(freeDelay)
		b.mu.Lock()
		unwanted := b.rooms.toFree
		b.rooms.toFree = map[string]*pendingFree{}
		b.mu.Unlock()
		for _, r := range unwanted {
			b.tomb.Go(func() error {
				b.freeHandles(r)
				return nil
			})
		}
	}
}

// freeHandles frees results at their backend server. Their room counts as in use
// until the call has ended, since a new call that overtakes this one would find
// no room. If the call fails, the backend server frees the results itself after their
// retention time.
//
// A server that wants nothing for a while gets the call afterwards, and one that is leaving
// none: its results go with it.
func (b *Batcher) freeHandles(r *pendingFree) {
	wait, allowed := b.opts.Pools.FreeDelay(r.server.ID)
	if allowed && wait > 0 {
		time.AfterFunc(wait, func() { b.freeLater(r) })
		return
	}
	if allowed {
		b.callFree(r)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.rooms.release(r.server.ID, r.bytes)
	for _, q := range b.queues {
		b.dispatch(q)
	}
}

// freeLater adds results to those to be freed again.
func (b *Batcher) freeLater(r *pendingFree) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if other := b.rooms.toFree[r.server.ID]; other != nil {
		other.handles = append(other.handles, r.handles...)
		other.bytes += r.bytes
	} else {
		b.rooms.toFree[r.server.ID] = r
	}
	b.signalFree()
}

func (b *Batcher) callFree(r *pendingFree) {
	ctx, cancel := context.WithTimeout(b.tomb.Context(context.Background()), freeTimeout)
	defer cancel()
	said, err := b.opts.Maker.Free(ctx, r.server, r.handles)
	if err != nil {
		b.opts.Log.V(1).Info("free-failed", "server", r.server.ID, "handles", len(r.handles), "err", err)
	}
	b.opts.Pools.RecordNotice(r.server.ID, "", said.Notice)
}
