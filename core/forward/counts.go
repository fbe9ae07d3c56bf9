package forward

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"sequoialead"
	"sequoialead/core/plan"
)

// counts keeps counters and histograms. Their labels have few values, whatever
// callers send: kinds, outcomes and reasons of the product, and configured pools.
type counts struct {
	set *metrics.Set
}

// ended counts a request. The kind is empty if no route was found.
func (c counts) ended(kind plan.Kind, outcome string, reason sequoialead.Reason) {
	c.set.GetOrCreateCounter(fmt.Sprintf(`sequoialead_requests_total{kind=%q,outcome=%q,reason=%q}`, kind, outcome, reason)).Inc()
}

// first counts the time to the first byte of an answer.
func (c counts) first(kind plan.Kind, took time.Duration) {
	if took > 0 {
		c.set.GetOrCreateHistogram(fmt.Sprintf(`sequoialead_first_byte_seconds{kind=%q}`, kind)).Update(took.Seconds())
	}
}

// sent counts a send by how it ended.
func (c counts) sent(pool, end string, again bool) {
	c.set.GetOrCreateCounter(fmt.Sprintf(`sequoialead_sends_total{pool=%q,end=%q,again="%t"}`, pool, end, again)).Inc()
}

// gap counts the longest pause between two events of a stream.
func (c counts) gap(longest time.Duration) {
	c.set.GetOrCreateHistogram(`sequoialead_longest_gap_seconds`).Update(longest.Seconds())
}

// wait counts a request that had to wait for a place.
func (c counts) wait(pool string, reason sequoialead.Reason) {
	c.set.GetOrCreateCounter(fmt.Sprintf(`sequoialead_place_waits_total{pool=%q,reason=%q}`, pool, reason)).Inc()
}

// stage counts the time of a stage.
func (c counts) stage(pool string, took time.Duration) {
	c.set.GetOrCreateHistogram(fmt.Sprintf(`sequoialead_stage_seconds{pool=%q}`, pool)).Update(took.Seconds())
}

// PoolStats is the state of one pool.
type PoolStats struct {
	Servers int
	Open    int
	// Retries is what is left of this entry's part of the budget.
	Retries float64
}

// Pools returns the state of each pool.
func (f *Forwarder) Pools() map[string]PoolStats {
	now := f.opts.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	stats := make(map[string]PoolStats, len(f.pools))
	for name, p := range f.pools {
		servers, open := p.Load()
		stats[name] = PoolStats{Servers: servers, Open: open, Retries: p.Retries().Left(now, f.entries)}
	}
	return stats
}
