package cold_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"sequoialead/core/cold"
)

// In no window does an entry send more than its part, and a part below the burst
// is kept over a longer window.
func TestNoWindowHoldsMoreThanThePart(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		part := rapid.Float64Range(0.05, 40).Draw(t, "part")
		burst := rapid.IntRange(1, 3).Draw(t, "burst")
		r := cold.New()
		now := time.Unix(0, 0)
		var sent []time.Time
		for range 400 {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "pause")) * time.Millisecond)
			if r.Allow(now, part, burst) {
				r.Sent(now)
				sent = append(sent, now)
			}
		}
		most := max(int(part), burst)
		span := max(time.Duration(float64(most)/part*float64(time.Second)), time.Second)
		for i := range sent {
			n := 0
			for j := i; j < len(sent) && sent[j].Sub(sent[i]) < span; j++ {
				n++
			}
			if n > most {
				t.Fatalf("%d requests in %s, the part is %g a second", n, span, part)
			}
		}
	})
}

func TestNoPartNoRequest(t *testing.T) {
	if cold.New().Allow(time.Unix(0, 0), 0, 3) {
		t.Fatal("a request is allowed without a part")
	}
}
