package batch

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// callMetrics updates histograms by pool. The configuration bounds the set of
// pools.
type callMetrics struct {
	set *metrics.Set
}

// observeCall records a call that a backend server answered.
func (c callMetrics) observeCall(pool string, pieces int, duration time.Duration) {
	c.set.GetOrCreateHistogram(fmt.Sprintf(`sequoialead_call_pieces{pool=%q}`, pool)).Update(float64(pieces))
	c.set.GetOrCreateHistogram(fmt.Sprintf(`sequoialead_call_seconds{pool=%q}`, pool)).Update(duration.Seconds())
}

// countRefused counts a call that a backend server refused as full.
func (c callMetrics) countRefused(pool string) {
	c.set.GetOrCreateCounter(fmt.Sprintf(`sequoialead_calls_refused_total{pool=%q}`, pool)).Inc()
}

// countWithoutRoom counts pieces that a backend server had no room for.
func (c callMetrics) countWithoutRoom(pool string, pieces int) {
	c.set.GetOrCreateCounter(fmt.Sprintf(`sequoialead_pieces_without_room_total{pool=%q}`, pool)).Add(pieces)
}

// countWithdrawn counts orders that were withdrawn because they could not be made in time.
func (c callMetrics) countWithdrawn(pool string, orders int) {
	c.set.GetOrCreateCounter(fmt.Sprintf(`sequoialead_orders_withdrawn_total{pool=%q}`, pool)).Add(orders)
}

// observeWaits records how long each order in a batch was queued.
func (c callMetrics) observeWaits(pool string, batch []*pendingPiece, now time.Time) {
	var last *pendingOrder
	for _, p := range batch {
		if p.parent != last { // the pieces of an order are adjacent
			last = p.parent
			c.set.GetOrCreateHistogram(fmt.Sprintf(`sequoialead_order_wait_seconds{pool=%q}`, pool)).Update(now.Sub(last.enqueued).Seconds())
		}
	}
}
