package entry

import (
	"maps"
	"time"

	"sequoialead"
)

// Cost is what the calls of a stage have cost: their number, the service time on
// backend servers and the tokens generated.
type Cost struct {
	Calls   uint64        `json:"calls"`
	Service time.Duration `json:"service"`
	Tokens  uint64        `json:"tokens"`
	// WastedService and WastedTokens are the parts of Service and Tokens whose
	// result did not reach the caller.
	WastedService time.Duration `json:"wasted_service"`
	WastedTokens  uint64        `json:"wasted_tokens"`
}

// CostKey identifies the stage and the customer that a cost is counted for.
type CostKey struct {
	Pipeline string
	Stage    string
	Customer string
}

// Stats holds the counts of an entry: requests by outcome and reason, the cost of
// calls, and retries.
type Stats struct {
	Outcomes map[sequoialead.Outcome]uint64
	Reasons  map[sequoialead.Reason]uint64
	Costs    map[CostKey]Cost
	Retries  uint64
}

// maxCosts bounds the number of cost keys, and so the number of metric series.
// Beyond it, the cost of new customers is counted together as "others".
const maxCosts = 16384

func newStats() Stats {
	return Stats{
		Outcomes: map[sequoialead.Outcome]uint64{},
		Reasons:  map[sequoialead.Reason]uint64{},
		Costs:    map[CostKey]Cost{},
	}
}

func (s Stats) clone() Stats {
	s.Outcomes = maps.Clone(s.Outcomes)
	s.Reasons = maps.Clone(s.Reasons)
	s.Costs = maps.Clone(s.Costs)
	return s
}

// countOutcome counts the outcome of a request and its reason, if there is one.
func (s *Stats) countOutcome(a sequoialead.Answer) {
	s.Outcomes[a.Outcome]++
	if a.Reason != "" {
		s.Reasons[a.Reason]++
	}
}

// addCost adds the cost of one call.
func (s *Stats) addCost(key CostKey, end sequoialead.End) {
	if _, ok := s.Costs[key]; !ok && len(s.Costs) >= maxCosts {
		key.Customer = "others"
	}
	c := s.Costs[key]
	c.Calls++
	c.Service += end.Service
	c.Tokens += uint64(max(end.Tokens, 0))
	s.Costs[key] = c
}

// addWasted counts service time and tokens as wasted.
func (s *Stats) addWasted(key CostKey, service time.Duration, tokens int) {
	if _, ok := s.Costs[key]; !ok {
		key.Customer = "others"
	}
	c := s.Costs[key]
	c.WastedService += service
	c.WastedTokens += uint64(max(tokens, 0))
	s.Costs[key] = c
}
