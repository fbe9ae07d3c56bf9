// Package stageplan decides when the first stages of a request start.
//
// It answers the load pattern of requests whose stages form paths of unequal length:
// a result that is made long before the rest takes up room at its backend server, and
// is made in vain if the rest fails. So a stage on a short path waits until the longest
// path has about as far to go.
package stageplan

import (
	"slices"
	"time"
)

// margin is the estimated time of a short path, as a multiple of itself, that is left
// for it. Waiting times vary more than a long path's sum of them does.
const margin = 1.5

// Stage is one stage of a request.
type Stage struct {
	// After holds the indexes of the stages whose results this one needs. They are
	// smaller than its own.
	After []int
	// Took is the estimated time that the stage takes, waiting included; zero if
	// the request omits the stage.
	Took time.Duration
}

// Plan holds the starts of all stages.
type Plan struct {
	stages []Stage
	// remaining holds, for each stage, the longest time from its end to the end of all
	// stages.
	remaining []time.Duration
}

// New returns the plan for a request.
func New(stages []Stage) *Plan {
	p := &Plan{stages: stages, remaining: make([]time.Duration, len(stages))}
	for i, s := range slices.Backward(stages) {
		for _, a := range s.After {
			p.remaining[a] = max(p.remaining[a], p.path(i))
		}
	}
	return p
}

// path returns the longest time from the start of a stage to the end of all stages.
func (p *Plan) path(i int) time.Duration { return p.stages[i].Took + p.remaining[i] }

// Start returns when a stage should start: the given time after the end of another
// stage. It returns false if the stage should start as soon as its inputs are there,
// which is always so for a stage that has inputs.
func (p *Plan) Start(i int) (after int, wait time.Duration, ok bool) {
	if len(p.stages[i].After) > 0 {
		return 0, 0, false
	}
	need := time.Duration(margin * float64(p.path(i)))
	for k, s := range p.stages {
		if k == i || s.Took == 0 || p.remaining[k] < need {
			continue
		}
		if left := p.remaining[k] - need; !ok || left < wait {
			after, wait, ok = k, left, true
		}
	}
	return after, wait, ok
}
