package batch

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// counts keeps histograms by pool, which the configuration names.
type counts struct {
	set *metrics.Set
}

// called counts a call that a backend server answered.
func (c counts) called(pool string, pieces int, took time.Duration) {
	c.set.GetOrCreateHistogram(fmt.Sprintf(`sequoialead_call_pieces{pool=%q}`, pool)).Update(float64(pieces))
	c.set.GetOrCreateHistogram(fmt.Sprintf(`sequoialead_call_seconds{pool=%q}`, pool)).Update(took.Seconds())
}

// waited counts the time that the orders of a call waited for it.
func (c counts) waited(pool string, batch []*job, now time.Time) {
	var last *group
	for _, j := range batch {
		if j.group != last { // the pieces of an order follow each other
			last = j.group
			c.set.GetOrCreateHistogram(fmt.Sprintf(`sequoialead_order_wait_seconds{pool=%q}`, pool)).Update(now.Sub(last.added).Seconds())
		}
	}
}
