package cold_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"sequoialead/core/cold"
)

// The requests allowed in any window never exceed the rate. If the rate is below the
// burst, the window is longer.
func TestRateHoldsInEveryWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.Float64Range(0.05, 40).Draw(t, "part")
		burst := rapid.IntRange(1, 3).Draw(t, "burst")
		limiter := cold.New()
		now := time.Unix(0, 0)
		var sent []time.Time
		for range 400 {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "pause")) * time.Millisecond)
			if limiter.Allow(now, rate, burst) {
				limiter.Record(now)
				sent = append(sent, now)
			}
		}
		limit := max(int(rate), burst)
		span := max(time.Duration(float64(limit)/rate*float64(time.Second)), time.Second)
		for i := range sent {
			n := 0
			for j := i; j < len(sent) && sent[j].Sub(sent[i]) < span; j++ {
				n++
			}
			if n > limit {
				t.Fatalf("%d requests in %s at a rate of %g per second", n, span, rate)
			}
		}
	})
}

func TestZeroRateAllowsNothing(t *testing.T) {
	if cold.New().Allow(time.Unix(0, 0), 0, 3) {
		t.Fatal("a request is allowed at a rate of 0")
	}
}
