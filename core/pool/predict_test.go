package pool

import (
	"math"
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestFirstBytePredictionFollowsTokens(t *testing.T) {
	c := qt.New(t)
	var l regression
	for i := range 500 {
		tokens := float64(i % 20 * 500)
		l.add(tokens, 0.05+tokens/100000)
	}
	c.Assert(math.Abs(l.predict(5000)-0.1) < 0.001, qt.IsTrue)
	for range 2000 { // the time to the first byte increases by half
		l.add(5000, 0.15)
	}
	c.Assert(math.Abs(l.predict(5000)-0.15) < 0.001, qt.IsTrue)
}

func TestPredictionForEqualPromptsIsTheirMean(t *testing.T) {
	c := qt.New(t)
	var l regression
	for range 10 {
		l.add(100, 0.2)
	}
	c.Assert(math.Abs(l.predict(90000)-0.2) < 1e-9, qt.IsTrue)
}
