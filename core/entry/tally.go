package entry

import (
	"maps"
	"time"

	"sequoialead"
)

// Cost is what a stage's calls took of the backend servers.
type Cost struct {
	Calls   uint64        `json:"calls"`
	Service time.Duration `json:"service"`
	Tokens  uint64        `json:"tokens"`
	// Wasted parts went into work whose result reached nobody.
	WastedService time.Duration `json:"wasted_service"`
	WastedTokens  uint64        `json:"wasted_tokens"`
}

// CostKey names whose cost it is.
type CostKey struct {
	Pipeline string
	Stage    string
	Customer string
}

// Tally counts outcomes and cost.
type Tally struct {
	Outcomes map[sequoialead.Outcome]uint64
	Reasons  map[sequoialead.Reason]uint64
	Costs    map[CostKey]Cost
	Retries  uint64
}

// mostCosts bounds the number of cost accounts. Beyond it, customers share one.
const mostCosts = 16384

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

// spend adds what one call took.
func (t *Tally) spend(key CostKey, end sequoialead.End) {
	if _, ok := t.Costs[key]; !ok && len(t.Costs) >= mostCosts {
		key.Customer = "others"
	}
	c := t.Costs[key]
	c.Calls++
	c.Service += end.Service
	c.Tokens += uint64(max(end.Tokens, 0))
	t.Costs[key] = c
}

// waste marks what calls took as wasted.
func (t *Tally) waste(key CostKey, service time.Duration, tokens int) {
	if _, ok := t.Costs[key]; !ok {
		key.Customer = "others"
	}
	c := t.Costs[key]
	c.WastedService += service
	c.WastedTokens += uint64(max(tokens, 0))
	t.Costs[key] = c
}
