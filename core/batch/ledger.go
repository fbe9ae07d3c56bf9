package batch

import (
	"context"
	"time"

	"sequoialead"
)

const (
	// freePeriod is how long results that nobody needs are collected for one
	// call: short, because their room bounds what a backend server makes.
	freePeriod = 10 * time.Millisecond
	// freeTimeout bounds a call that gives up results.
	freeTimeout = time.Second
	// ownPause is how long a backend server that is left to this entry and had
	// no room gets no more, and foreignPause the same for one that is not.
	ownPause     = 60 * time.Millisecond
	foreignPause = 500 * time.Millisecond
	// foreignRoom is the part of the room of another entry's backend server
	// that this entry uses.
	foreignRoom = 0.4
)

// ledger keeps the room that results take up at their makers.
type ledger struct {
	// unwanted holds the results to give up, by their maker's ID.
	unwanted map[string]*returns
	// held is the number of bytes of results that each backend server holds for
	// this entry, made or being made.
	held map[string]int
	// pools names the pool of each of them.
	pools map[string]string
	// full is until when a backend server is taken to have no room.
	full map[string]time.Time
}

// returns are the results of one maker that nobody needs.
type returns struct {
	maker   sequoialead.Server
	handles []string
	// bytes is the size of those that this entry had made.
	bytes int
}

func newLedger() *ledger {
	return &ledger{unwanted: map[string]*returns{}, held: map[string]int{}, pools: map[string]string{}, full: map[string]time.Time{}}
}

// room returns how many bytes of results a backend server may take.
func (l *ledger) room(most int, server string, own bool, now time.Time) int {
	if now.Before(l.full[server]) {
		return 0
	}
	delete(l.full, server)
	if !own {
		most = int(foreignRoom * float64(most))
	}
	return most - l.held[server]
}

// noRoom notes that a backend server had no room.
func (l *ledger) noRoom(server string, own bool, now time.Time) {
	pause := foreignPause
	if own {
		pause = ownPause
	}
	l.full[server] = now.Add(pause)
}

func (l *ledger) hold(pool, server string, bytes int) {
	l.held[server] += bytes
	l.pools[server] = pool
}

func (l *ledger) unhold(server string, bytes int) {
	l.held[server] -= bytes
	if l.held[server] <= 0 {
		delete(l.held, server)
		delete(l.pools, server)
	}
}

// total returns the number of bytes held by the backend servers of a pool.
func (l *ledger) total(pool string) int {
	n := 0
	for server, bytes := range l.held {
		if l.pools[server] == pool {
			n += bytes
		}
	}
	return n
}

// giveUp notes a result that nobody needs.
func (l *ledger) giveUp(r Result) {
	known := l.unwanted[r.Maker.ID]
	if known == nil {
		known = &returns{maker: r.Maker}
		l.unwanted[r.Maker.ID] = known
	}
	known.handles = append(known.handles, r.Handle)
	if r.By == "" {
		known.bytes += r.Bytes
	}
}

// Free gives up results that nobody needs any more.
func (b *Batcher) Free(results []Result) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.giveUp(results)
}

func (b *Batcher) giveUp(results []Result) {
	for _, r := range results {
		if r.Handle != "" {
			b.ledger.giveUp(r)
		}
	}
	select {
	case b.freeing <- struct{}{}:
	default:
	}
}

// free has unwanted results dropped by their makers.
func (b *Batcher) free() error {
	for {
		select {
		case <-b.tomb.Dying():
			return nil
		case <-b.freeing:
		}
		time.Sleep(freePeriod)
		b.mu.Lock()
		unwanted := b.ledger.unwanted
		b.ledger.unwanted = map[string]*returns{}
		b.mu.Unlock()
		for _, r := range unwanted {
			b.tomb.Go(func() error {
				b.drop(r)
				return nil
			})
		}
	}
}

// drop has results dropped by their maker. Their room counts as taken until then,
// since a call that overtakes the drop would find none. After a failure the maker
// drops them by itself once it has held them for its time.
func (b *Batcher) drop(r *returns) {
	ctx, cancel := context.WithTimeout(b.tomb.Context(context.Background()), freeTimeout)
	defer cancel()
	if err := b.opts.Maker.Free(ctx, r.maker, r.handles); err != nil {
		b.opts.Log.V(1).Info("free-failed", "server", r.maker.ID, "handles", len(r.handles), "err", err)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ledger.unhold(r.maker.ID, r.bytes)
	for _, q := range b.queues {
		b.pump(q)
	}
}
