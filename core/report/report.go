// Package report summarizes the results of a load test: deadline attainment,
// latencies, outcomes and costs.
package report

import (
	"maps"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"sequoialead"
	"sequoialead/io/operator"
)

// Sample is the result of one request.
type Sample struct {
	// Due is when the request was scheduled, since the start of the load test.
	Due      time.Duration
	Pipeline string
	Customer string
	Outcome  sequoialead.Outcome
	Reason   sequoialead.Reason
	// Latency is the time from Due to the end of the answer. It includes any delay
	// in sending the request.
	Latency time.Duration
	// Deadline is the maximum latency for the request to count as in time.
	Deadline time.Duration
	// FirstToken is the time from Due to the first token; zero if there was none.
	FirstToken time.Duration
	// TokenGaps holds the times between consecutive tokens.
	TokenGaps []time.Duration
	Tokens    int
}

// inTime reports whether the caller got the complete answer within the deadline.
func (s Sample) inTime() bool {
	return s.Outcome == sequoialead.OutcomeDone && s.Latency <= s.Deadline
}

// missReason returns why a request was not answered in time. It is the outcome if
// the answer gives no reason.
func (s Sample) missReason() sequoialead.Reason {
	switch {
	case s.Outcome == sequoialead.OutcomeDone:
		return reasonLate
	case s.Reason == "":
		return sequoialead.Reason(s.Outcome)
	}
	return s.Reason
}

// Quantiles summarizes a distribution of durations.
type Quantiles struct {
	P50 time.Duration `json:"p50"`
	P95 time.Duration `json:"p95"`
	P99 time.Duration `json:"p99"`
	Max time.Duration `json:"max"`
}

// Counts counts the requests of a pipeline, a customer, a second or all of them.
type Counts struct {
	Sent   int `json:"sent"`
	InTime int `json:"in_time"`
	// Missed counts the requests that were not answered in time, by reason.
	Missed map[sequoialead.Reason]int `json:"missed,omitempty"`
}

// reasonLate is the reason of a complete answer that came after the deadline.
const reasonLate sequoialead.Reason = "late"

// add counts a request.
func (c *Counts) add(s Sample) {
	c.Sent++
	if s.inTime() {
		c.InTime++
		return
	}
	if c.Missed == nil {
		c.Missed = map[sequoialead.Reason]int{}
	}
	c.Missed[s.missReason()]++
}

// Attainment returns the fraction of requests that were answered in time, from 0
// to 1. It is 1 if there were none.
func (c Counts) Attainment() float64 {
	if c.Sent == 0 {
		return 1
	}
	return float64(c.InTime) / float64(c.Sent)
}

// Report summarizes one run of a load test.
type Report struct {
	Name      string                      `json:"name"`
	Duration  time.Duration               `json:"time"`
	Total     Counts                      `json:"all"`
	Pipelines map[string]*Counts          `json:"pipelines"`
	Customers map[string]*Counts          `json:"customers"`
	Outcomes  map[sequoialead.Outcome]int `json:"outcomes"`
	Reasons   map[sequoialead.Reason]int  `json:"reasons"`
	// Done and Refused describe the latencies of requests with the outcomes
	// OutcomeDone and OutcomeNotRun.
	Done    Quantiles `json:"done"`
	Refused Quantiles `json:"refused"`
	// FirstToken describes the times to the first token, TokenGap those between
	// consecutive tokens.
	FirstToken Quantiles `json:"first_token"`
	TokenGap   Quantiles `json:"between_tokens"`
	Tokens     int       `json:"tokens"`
	// Seconds holds the counts of the requests that were due in each second.
	Seconds []Counts `json:"seconds"`
	// Costs holds the increase of the entries' cost counters during the test, for each
	// pipeline, stage and customer.
	Costs []operator.Cost `json:"costs"`
}

// OutcomeCut is the outcome of a request whose answer was truncated or never
// arrived.
const OutcomeCut sequoialead.Outcome = "cut"

// Upper bound and precision of the durations in a histogram.
const (
	maxDuration       = 10 * time.Minute
	significantDigits = 3
)

// histogram counts durations with a resolution of a microsecond. Values outside of
// the range from 1 µs to maxDuration are clamped to it.
type histogram struct {
	hdr *hdrhistogram.Histogram
}

func newHistogram() histogram {
	return histogram{hdr: hdrhistogram.New(1, maxDuration.Microseconds(), significantDigits)}
}

func (h histogram) add(d time.Duration) {
	_ = h.hdr.RecordValue(min(max(d, time.Microsecond), maxDuration).Microseconds()) // fails only for values out of range
}

func (h histogram) quantiles() Quantiles {
	at := func(q float64) time.Duration { return time.Duration(h.hdr.ValueAtQuantile(q)) * time.Microsecond }
	return Quantiles{P50: at(50), P95: at(95), P99: at(99), Max: time.Duration(h.hdr.Max()) * time.Microsecond}
}

// New summarizes the samples of a load test of the given duration.
func New(name string, duration time.Duration, samples []Sample, costs []operator.Cost) *Report {
	r := &Report{
		Name:      name,
		Duration:  duration,
		Pipelines: map[string]*Counts{},
		Customers: map[string]*Counts{},
		Outcomes:  map[sequoialead.Outcome]int{},
		Reasons:   map[sequoialead.Reason]int{},
		Seconds:   make([]Counts, int(duration/time.Second)+1),
		Costs:     costs,
	}
	done, refused, first, gap := newHistogram(), newHistogram(), newHistogram(), newHistogram()
	for _, s := range samples {
		r.add(s)
		switch s.Outcome {
		case sequoialead.OutcomeDone:
			done.add(s.Latency)
		case sequoialead.OutcomeNotRun:
			refused.add(s.Latency)
		}
		if s.FirstToken > 0 {
			first.add(s.FirstToken)
		}
		for _, g := range s.TokenGaps {
			gap.add(g)
		}
	}
	r.Done, r.Refused, r.FirstToken, r.TokenGap = done.quantiles(), refused.quantiles(), first.quantiles(), gap.quantiles()
	return r
}

func (r *Report) add(s Sample) {
	r.Total.add(s)
	countsFor(r.Pipelines, s.Pipeline).add(s)
	countsFor(r.Customers, s.Customer).add(s)
	if i := int(s.Due / time.Second); i < len(r.Seconds) {
		r.Seconds[i].add(s)
	}
	r.Outcomes[s.Outcome]++
	if s.Reason != "" {
		r.Reasons[s.Reason]++
	}
	r.Tokens += s.Tokens
}

func countsFor(counts map[string]*Counts, name string) *Counts {
	if counts[name] == nil {
		counts[name] = &Counts{}
	}
	return counts[name]
}

// WorstSecond returns the lowest attainment of any second. Seconds in which fewer
// than 10 requests were due are left out, since a few misses decide their
// attainment.
func (r *Report) WorstSecond() float64 {
	const minRequests = 10
	worst := 1.0
	for _, counts := range r.Seconds {
		if counts.Sent >= minRequests {
			worst = min(worst, counts.Attainment())
		}
	}
	return worst
}

// Waste returns the fractions, from 0 to 1, of tokens and of service time that
// were spent on work whose result reached no caller.
func (r *Report) Waste() (tokens, service float64) {
	var all, wasted operator.Cost
	for _, c := range r.Costs {
		all.Tokens += c.Tokens
		all.Service += c.Service
		wasted.Tokens += c.WastedTokens
		wasted.Service += c.WastedService
	}
	if all.Tokens > 0 {
		tokens = float64(wasted.Tokens) / float64(all.Tokens)
	}
	if all.Service > 0 {
		service = float64(wasted.Service) / float64(all.Service)
	}
	return tokens, service
}

// CostsByStage returns the costs of each stage over all pipelines and customers,
// sorted by the stage's name.
func (r *Report) CostsByStage() []operator.Cost {
	sums := map[string]operator.Cost{}
	for _, c := range r.Costs {
		sum := sums[c.Stage]
		sum.Stage = c.Stage
		sum.Calls += c.Calls
		sum.Service += c.Service
		sum.Tokens += c.Tokens
		sum.WastedService += c.WastedService
		sum.WastedTokens += c.WastedTokens
		sums[c.Stage] = sum
	}
	var stages []operator.Cost
	for _, name := range slices.Sorted(maps.Keys(sums)) {
		stages = append(stages, sums[name])
	}
	return stages
}
