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

// Tally holds the counts of an entry: requests by outcome and reason, the cost of
// calls, and retries.
type Tally struct {
	Outcomes map[sequoialead.Outcome]uint64
	Reasons  map[sequoialead.Reason]uint64
	Costs    map[CostKey]Cost
	Retries  uint64
}

// maxCosts bounds the number of cost keys, and so the number of metric series.
// Beyond it, the cost of new customers is counted together as "others".
const maxCosts = 16384

func newTally() Tally {
	return Tally{
		Outcomes: map[sequoialead.Outcome]uint64{},
		Reasons:  map[sequoialead.Reason]uint64{},
		Costs:    map[CostKey]Cost{},
	}
}

func (t Tally) clone() Tally {
	t.Outcomes = maps.Clone(t.Outcomes)
	t.Reasons = maps.Clone(t.Reasons)
	t.Costs = maps.Clone(t.Costs)
	return t
}

func (t *Tally) outcome(a sequoialead.Answer) {
	t.Outcomes[a.Outcome]++
	if a.Reason != "" {
		t.Reasons[a.Reason]++
	}
}

// spend adds the cost of one call.
func (t *Tally) spend(key CostKey, end sequoialead.End) {
	if _, ok := t.Costs[key]; !ok && len(t.Costs) >= maxCosts {
		key.Customer = "others"
	}
	c := t.Costs[key]
	c.Calls++
	c.Service += end.Service
	c.Tokens += uint64(max(end.Tokens, 0))
	t.Costs[key] = c
}

// waste counts service time and tokens as wasted.
func (t *Tally) waste(key CostKey, service time.Duration, tokens int) {
	if _, ok := t.Costs[key]; !ok {
		key.Customer = "others"
	}
	c := t.Costs[key]
	c.WastedService += service
	c.WastedTokens += uint64(max(tokens, 0))
	t.Costs[key] = c
}
