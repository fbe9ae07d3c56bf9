package admit_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"sequoialead/core/admit"
)

func TestEstimateWait(t *testing.T) {
	tests := []struct {
		desc         string
		heavy, light int
		fair         bool
		wantHeavy    time.Duration
		wantLight    time.Duration
	}{
		{"slots left", 5, 2, true, 0, 0},
		{"full, for all", 20, 0, false, 1100 * time.Millisecond, 1100 * time.Millisecond},
		{"full, fair", 20, 0, true, 1100 * time.Millisecond, 0},
		{"full, heavy uses what light leaves", 8, 3, true, 2 * time.Second / 7, 0},
		{"full, both within their share", 5, 5, true, 200 * time.Millisecond, 200 * time.Millisecond},
	}
	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			c := qt.New(t)
			tr := admit.New()
			for range tt.heavy {
				tr.Add("p", "heavy", 1)
			}
			for range tt.light {
				tr.Add("p", "light", 1)
			}
			c.Assert(tr.EstimateWait("p", "heavy", 1, 10, time.Second, tt.fair), qt.Equals, tt.wantHeavy)
			c.Assert(tr.EstimateWait("p", "light", 1, 10, time.Second, tt.fair), qt.Equals, tt.wantLight)
		})
	}
}

func TestRemoveLowersCommitted(t *testing.T) {
	c := qt.New(t)
	tr := admit.New()
	tr.Add("p", "a", 1)
	tr.Add("p", "b", 1)
	tr.Remove("p", "a")
	tr.Remove("p", "a")
	c.Assert(tr.Committed("p"), qt.Equals, 1)
	tr.Remove("p", "b")
	c.Assert(tr.Committed("p"), qt.Equals, 0)
}
