package forward

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"sequoialead"
	"sequoialead/core/availability"
	"sequoialead/core/pool"
	"sequoialead/core/proxyconfig"
)

// recorder updates counters and histograms. Their labels have a bounded number of
// values whatever callers send: fixed kinds, outcomes and reasons, and configured
// pools.
type recorder struct {
	set *metrics.Set
}

// requestEnded counts a request. The kind is empty if the request was refused on
// admission.
func (c recorder) requestEnded(kind proxyconfig.Kind, outcome string, reason sequoialead.Reason) {
	c.set.GetOrCreateCounter(fmt.Sprintf(`sequoialead_requests_total{kind=%q,outcome=%q,reason=%q}`, kind, outcome, reason)).Inc()
}

// firstByte records the time to the first byte of an answer; zero if there was none.
func (c recorder) firstByte(kind proxyconfig.Kind, took time.Duration) {
	if took > 0 {
		c.set.GetOrCreateHistogram(fmt.Sprintf(`sequoialead_first_byte_seconds{kind=%q}`, kind)).Update(took.Seconds())
	}
}

// firstToken records the predicted and the actual time from sending a request to a model engine
// to the first byte of its answer.
func (c recorder) firstToken(pool string, predicted, took time.Duration) {
	quantiles := []float64{0.5, 0.9}
	c.set.GetOrCreateSummaryExt(fmt.Sprintf(`sequoialead_first_token_predicted_seconds{pool=%q}`, pool), firstTokenWindow, quantiles).Update(predicted.Seconds())
	c.set.GetOrCreateSummaryExt(fmt.Sprintf(`sequoialead_first_token_seconds{pool=%q}`, pool), firstTokenWindow, quantiles).Update(took.Seconds())
	c.set.GetOrCreateSummaryExt(fmt.Sprintf(`sequoialead_first_token_ratio{pool=%q}`, pool), firstTokenWindow, quantiles).Update(took.Seconds() / max(predicted.Seconds(), minPrediction))
}

const (
	// firstTokenWindow is the time that the quantiles of times to the first token cover.
	firstTokenWindow = time.Minute
	// minPrediction bounds the ratio of actual and predicted times, in seconds.
	minPrediction = 0.001
)

// attemptEnded counts one attempt by its end and by whether it was a retry.
func (c recorder) attemptEnded(name, end string, retry bool) {
	c.set.GetOrCreateCounter(fmt.Sprintf(`sequoialead_sends_total{pool=%q,end=%q,again="%t"}`, name, end, retry)).Inc()
}

// eventGap records the longest pause between two reads of a stream.
func (c recorder) eventGap(gap time.Duration) {
	c.set.GetOrCreateHistogram(`sequoialead_longest_gap_seconds`).Update(gap.Seconds())
}

// placeWait counts a request that had to wait for a place.
func (c recorder) placeWait(name string, reason sequoialead.Reason) {
	c.set.GetOrCreateCounter(fmt.Sprintf(`sequoialead_place_waits_total{pool=%q,reason=%q}`, name, reason)).Inc()
}

// stageTime records the duration of a stage.
func (c recorder) stageTime(name string, took time.Duration) {
	c.set.GetOrCreateHistogram(fmt.Sprintf(`sequoialead_stage_seconds{pool=%q}`, name)).Update(took.Seconds())
}

// ejected counts an ejection of a backend server, or a failed probe of one.
func (c recorder) ejected(name string, probe bool) {
	c.set.GetOrCreateCounter(fmt.Sprintf(`sequoialead_ejections_total{pool=%q,probe="%t"}`, name, probe)).Inc()
}

// PoolStats describes the load of one pool as seen by this entry.
type PoolStats struct {
	Servers int
	// InFlight is the number of requests of this entry in flight.
	InFlight int
	// Held is the number of backend servers that get nothing because of what they said
	// themselves, by cause.
	Held map[availability.Cause]int
	// Ejected is the number of backend servers that get only probes because they failed what
	// they were given.
	Ejected int
	// Retries is the number of retries left in this entry's part of the budget.
	Retries float64
}

// UnusualServers returns the backend servers that are ejected, slow, fast or failing, the least
// usual ones first, and at most the given number of them.
func (f *Forwarder) UnusualServers(limit int) []pool.ServerStats {
	now := f.opts.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	var unusual []pool.ServerStats
	for _, p := range f.pools {
		for _, s := range p.Servers(now) {
			if s.Deviation() > minDeviation {
				unusual = append(unusual, s)
			}
		}
	}
	slices.SortFunc(unusual, func(a, b pool.ServerStats) int {
		return cmp.Or(cmp.Compare(b.Deviation(), a.Deviation()), cmp.Compare(a.Server.ID, b.Server.ID))
	})
	return unusual[:min(limit, len(unusual))]
}

// minDeviation leaves out servers that are within a twentieth of the usual.
const minDeviation = 0.05

// Pools returns the statistics of each pool by name.
func (f *Forwarder) Pools() map[string]PoolStats {
	now := f.opts.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	stats := make(map[string]PoolStats, len(f.pools))
	for name, p := range f.pools {
		servers, inFlight := p.Load()
		stats[name] = PoolStats{Servers: servers, InFlight: inFlight, Retries: p.Retries().Remaining(now, f.entries), Held: p.Held(now), Ejected: p.Ejected(now)}
	}
	return stats
}
