package stageplan_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"sequoialead/core/stageplan"
)

func TestStart(t *testing.T) {
	const ms = time.Millisecond
	chain := func(first time.Duration) []stageplan.Stage {
		return []stageplan.Stage{{Took: first}, {Took: 200 * ms}, {After: []int{1}, Took: 300 * ms}, {After: []int{2}, Took: 250 * ms}}
	}
	tests := []struct {
		desc   string
		stages []stageplan.Stage
		stage  int
		after  int
		wait   time.Duration
		ok     bool
	}{
		{"a short path waits for the long one", chain(200 * ms), 0, 1, 250 * ms, true},
		{"a shorter one waits for a later stage", chain(100 * ms), 0, 2, 100 * ms, true},
		{"one that is about as long starts at once", chain(400 * ms), 0, 0, 0, false},
		{"the first stage of the long path starts at once", chain(200 * ms), 1, 0, 0, false},
		{"a stage with inputs waits for these alone", chain(200 * ms), 3, 0, 0, false},
		{"a single stage starts at once", []stageplan.Stage{{Took: 100 * ms}}, 0, 0, 0, false},
		{"an omitted stage is waited for by none", []stageplan.Stage{{Took: 10 * ms}, {}, {After: []int{1}, Took: time.Second}}, 0, 0, 0, false},
	}
	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			c := qt.New(t)
			after, wait, ok := stageplan.New(tt.stages).Start(tt.stage)
			c.Assert(ok, qt.Equals, tt.ok)
			c.Assert(after, qt.Equals, tt.after)
			c.Assert(wait, qt.Equals, tt.wait)
		})
	}
}
