// Package report sums up a load: deadline attainment, times, outcomes and
// cost. Its exported types are the parts of a report.
package report

import (
	"maps"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"sequoialead"
	"sequoialead/io/operator"
)

// Sample is one request with what came of it.
type Sample struct {
	// At is when the request was due, from the start of the load.
	At       time.Duration
	Pipeline string
	Customer string
	Outcome  sequoialead.Outcome
	Reason   sequoialead.Reason
	// Took is the time from when the request was due to the end of its answer.
	Took     time.Duration
	Deadline time.Duration
	// First is the time to the first token, or zero.
	First  time.Duration
	Gaps   []time.Duration
	Tokens int
}

// inTime reports whether the caller got the whole answer within the deadline.
func (s Sample) inTime() bool {
	return s.Outcome == sequoialead.OutcomeDone && s.Took <= s.Deadline
}

// missed returns why a request was not answered in time.
func (s Sample) missed() sequoialead.Reason {
	switch {
	case s.Outcome == sequoialead.OutcomeDone:
		return reasonLate
	case s.Reason == "":
		return sequoialead.Reason(s.Outcome)
	}
	return s.Reason
}

// Quantiles describes times.
type Quantiles struct {
	P50  time.Duration `json:"p50"`
	P95  time.Duration `json:"p95"`
	P99  time.Duration `json:"p99"`
	Most time.Duration `json:"max"`
}

// Line sums up the requests of a pipeline, a customer or a second.
type Line struct {
	Sent   int `json:"sent"`
	InTime int `json:"in_time"`
	// Missed counts the requests not answered in time by reason.
	Missed map[sequoialead.Reason]int `json:"missed,omitempty"`
}

// reasonLate is that of a whole answer that came after the deadline.
const reasonLate sequoialead.Reason = "late"

// count adds a request.
func (l *Line) count(s Sample) {
	l.Sent++
	if s.inTime() {
		l.InTime++
		return
	}
	if l.Missed == nil {
		l.Missed = map[sequoialead.Reason]int{}
	}
	l.Missed[s.missed()]++
}

// Attainment is the share of the requests that were answered in time.
func (l Line) Attainment() float64 {
	if l.Sent == 0 {
		return 1
	}
	return float64(l.InTime) / float64(l.Sent)
}

// Report sums up a load.
type Report struct {
	Name      string                      `json:"name"`
	Time      time.Duration               `json:"time"`
	All       Line                        `json:"all"`
	Pipelines map[string]*Line            `json:"pipelines"`
	Customers map[string]*Line            `json:"customers"`
	Outcomes  map[sequoialead.Outcome]int `json:"outcomes"`
	Reasons   map[sequoialead.Reason]int  `json:"reasons"`
	Done      Quantiles                   `json:"done"`
	Refused   Quantiles                   `json:"refused"`
	First     Quantiles                   `json:"first_token"`
	Gap       Quantiles                   `json:"between_tokens"`
	Tokens    int                         `json:"tokens"`
	Seconds   []Line                      `json:"seconds"`
	Costs     []operator.Cost             `json:"costs"`
}

// OutcomeCut is that of a request whose answer was cut or never came.
const OutcomeCut sequoialead.Outcome = "cut"

const (
	longest = 10 * time.Minute
	digits  = 3
)

// histogram keeps times in microseconds.
type histogram struct {
	h *hdrhistogram.Histogram
}

func newHistogram() histogram {
	return histogram{h: hdrhistogram.New(1, longest.Microseconds(), digits)}
}

func (h histogram) add(d time.Duration) {
	_ = h.h.RecordValue(min(max(d, time.Microsecond), longest).Microseconds()) // within the range
}

func (h histogram) quantiles() Quantiles {
	at := func(q float64) time.Duration { return time.Duration(h.h.ValueAtQuantile(q)) * time.Microsecond }
	return Quantiles{P50: at(50), P95: at(95), P99: at(99), Most: time.Duration(h.h.Max()) * time.Microsecond}
}

// New sums up the samples of a load of the given length.
func New(name string, length time.Duration, samples []Sample, costs []operator.Cost) *Report {
	r := &Report{
		Name:      name,
		Time:      length,
		Pipelines: map[string]*Line{},
		Customers: map[string]*Line{},
		Outcomes:  map[sequoialead.Outcome]int{},
		Reasons:   map[sequoialead.Reason]int{},
		Seconds:   make([]Line, int(length/time.Second)+1),
		Costs:     costs,
	}
	done, refused, first, gap := newHistogram(), newHistogram(), newHistogram(), newHistogram()
	for _, s := range samples {
		r.add(s)
		switch s.Outcome {
		case sequoialead.OutcomeDone:
			done.add(s.Took)
		case sequoialead.OutcomeNotRun:
			refused.add(s.Took)
		}
		if s.First > 0 {
			first.add(s.First)
		}
		for _, g := range s.Gaps {
			gap.add(g)
		}
	}
	r.Done, r.Refused, r.First, r.Gap = done.quantiles(), refused.quantiles(), first.quantiles(), gap.quantiles()
	return r
}

func (r *Report) add(s Sample) {
	r.All.count(s)
	line(r.Pipelines, s.Pipeline).count(s)
	line(r.Customers, s.Customer).count(s)
	if i := int(s.At / time.Second); i < len(r.Seconds) {
		r.Seconds[i].count(s)
	}
	r.Outcomes[s.Outcome]++
	if s.Reason != "" {
		r.Reasons[s.Reason]++
	}
	r.Tokens += s.Tokens
}

func line(lines map[string]*Line, name string) *Line {
	if lines[name] == nil {
		lines[name] = &Line{}
	}
	return lines[name]
}

// Worst returns the lowest attainment of any second in which enough requests
// arrived to tell.
func (r *Report) Worst() float64 {
	const enough = 10
	worst := 1.0
	for _, l := range r.Seconds {
		if l.Sent >= enough {
			worst = min(worst, l.Attainment())
		}
	}
	return worst
}

// Waste returns the shares of tokens and of service time that went into work
// whose result reached nobody.
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

// Stages returns the cost by stage, in order of the stages' names.
func (r *Report) Stages() []operator.Cost {
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
