package admission_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"sequoialead/core/admission"
)

func testKey() admission.Key { return admission.Key{Pool: "model", Route: "chat"} }

// startTime returns the time at which the tests begin.
func startTime() time.Time { return time.Unix(1000, 0) }

func newController(seed uint64) *admission.Controller {
	return admission.New(rand.New(rand.NewPCG(seed, 1)))
}

// A stage that runs counts with what is left of it, and one that is done with nothing.
func TestRemaining(t *testing.T) {
	const ms = time.Millisecond
	tests := []struct {
		desc string
		path admission.Path
		want time.Duration
	}{
		{"no stages", admission.Path{Wait: 10 * ms, FirstEvent: 100 * ms}, 110 * ms},
		{"in sequence", admission.Path{Stages: []admission.Stage{{Estimate: 300 * ms}, {Estimate: 200 * ms, After: []int{0}}}}, 500 * ms},
		{"side by side", admission.Path{Stages: []admission.Stage{{Estimate: 300 * ms}, {Estimate: 200 * ms}}}, 300 * ms},
		{"the first runs", admission.Path{Stages: []admission.Stage{{Estimate: 300 * ms, Started: true, Elapsed: 100 * ms}, {Estimate: 200 * ms, After: []int{0}}}}, 400 * ms},
		{"the first takes longer than predicted", admission.Path{Stages: []admission.Stage{{Estimate: 300 * ms, Started: true, Elapsed: 900 * ms}, {Estimate: 200 * ms, After: []int{0}}}}, 200 * ms},
		{"the first is done", admission.Path{Stages: []admission.Stage{{Estimate: 300 * ms, Started: true, Elapsed: 100 * ms, Done: true}, {Estimate: 200 * ms, After: []int{0}}}}, 200 * ms},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			qt.Assert(t, test.path.Remaining(), qt.Equals, test.want)
		})
	}
}

func TestAdmit(t *testing.T) {
	stages := func(d time.Duration) admission.Path {
		return admission.Path{Stages: []admission.Stage{{Estimate: d}}, FirstEvent: 100 * time.Millisecond}
	}
	tests := []struct {
		desc    string
		request admission.Request
		admit   bool
	}{
		{"in time", admission.Request{Path: stages(800 * time.Millisecond), Left: 3 * time.Second, Objective: time.Second}, true},
		{"somewhat late", admission.Request{Path: stages(1190 * time.Millisecond), Left: 3 * time.Second, Objective: time.Second}, true},
		{"too late", admission.Request{Path: stages(1210 * time.Millisecond), Left: 3 * time.Second, Objective: time.Second}, false},
		{"too late after what it waited before", admission.Request{Path: stages(1010 * time.Millisecond), Elapsed: 200 * time.Millisecond, Left: 3 * time.Second, Objective: time.Second}, false},
		{"too late, but refused before", admission.Request{Path: stages(1210 * time.Millisecond), Left: 3 * time.Second, Objective: time.Second, Returning: true}, true},
		{"refused before, and its deadline would pass", admission.Request{Path: stages(1200 * time.Millisecond), Left: time.Second, Objective: time.Second, Returning: true}, false},
		{"no time for a refusal after the prediction", admission.Request{Path: stages(860 * time.Millisecond), Left: time.Second, Objective: time.Second}, false},
		{"no objective", admission.Request{Path: stages(2 * time.Second), Left: 3 * time.Second}, true},
		{"nothing to wait for", admission.Request{Path: admission.Path{FirstEvent: 2 * time.Second}, Left: 3 * time.Second, Objective: time.Second}, true},
		{"nothing to wait for, and its deadline would pass", admission.Request{Path: admission.Path{FirstEvent: 4 * time.Second}, Left: 3 * time.Second, Objective: time.Second}, false},
		{"no time left", admission.Request{Path: stages(time.Millisecond), Left: 0, Objective: time.Second}, false},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			test.request.Key, test.request.Entries = testKey(), 1_000_000 // so that no probes go through
			d := newController(1).Admit(test.request, startTime())
			qt.Assert(t, d.Admit, qt.Equals, test.admit, qt.Commentf("%+v", d))
			qt.Assert(t, d.Excess > 0, qt.Equals, !test.admit)
		})
	}
}

// A request ends once its deadline can't be met, and not because it is late.
func TestHopeless(t *testing.T) {
	const ms = time.Millisecond
	path := func(done bool, rest time.Duration) admission.Path {
		first := admission.Stage{Estimate: 300 * ms, Started: true, Elapsed: 2 * time.Second, Done: done}
		return admission.Path{Stages: []admission.Stage{first, {Estimate: rest, After: []int{0}}}, FirstEvent: 100 * ms}
	}
	tests := []struct {
		desc    string
		request admission.Request
		want    bool
	}{
		{"fits", admission.Request{Path: path(true, 400*ms), Elapsed: 2 * time.Second, Left: 4 * time.Second}, false},
		{"does not fit", admission.Request{Path: path(true, 400*ms), Elapsed: 2 * time.Second, Left: 500 * ms}, true},
		{"no time for a refusal", admission.Request{Path: path(true, 400*ms), Elapsed: 2 * time.Second, Left: 550 * ms}, true},
		{"far too late", admission.Request{Path: path(true, 400*ms), Elapsed: 2 * time.Second, Left: 4 * time.Second, Objective: time.Second}, false},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			test.request.Key = testKey()
			qt.Assert(t, newController(1).Hopeless(test.request, startTime()), qt.Equals, test.want)
		})
	}
}

// The correction follows what requests take, within its bounds, and is forgotten with time.
func TestFactor(t *testing.T) {
	c := qt.New(t)
	key, start := testKey(), startTime()
	a := newController(1)
	c.Assert(a.Factor(key, start), qt.Equals, 1.0)
	now := start
	observe := func(ratio float64) {
		for range 60 {
			now = now.Add(20 * time.Millisecond)
			a.Observe(key, time.Second, time.Duration(ratio*float64(time.Second)), now)
		}
	}
	observe(1.5)
	c.Assert(a.Factor(key, now) > 1.45 && a.Factor(key, now) < 1.5, qt.IsTrue, qt.Commentf("%f", a.Factor(key, now)))
	observe(50)
	c.Assert(a.Factor(key, now) <= 2, qt.IsTrue)
	later := a.Factor(key, now.Add(5*time.Second))
	c.Assert(later < 1.42, qt.IsTrue, qt.Commentf("%f", later))
	c.Assert(a.Factor(key, now.Add(time.Minute)) < 1.01, qt.IsTrue)
	observe(0.01)
	observe(0.01)
	c.Assert(a.Factor(key, now) >= 0.8 && a.Factor(key, now) < 0.82, qt.IsTrue, qt.Commentf("%f", a.Factor(key, now)))
	a.Observe(key, 0, time.Second, now)
	a.Observe(key, time.Second, -time.Second, now)
	c.Assert(a.Factor(key, now) >= 0.8 && a.Factor(key, now) < 0.82, qt.IsTrue, qt.Commentf("%f", a.Factor(key, now)))
}

// Entries share a stage whose call time was measured at servers shared with others, and is far
// too long since. All requests are refused as late, so that nothing renews the estimate.
func TestEstimateIsRenewedWhileEverythingIsRefused(t *testing.T) {
	const objective, needed = 2 * time.Second, 300 * time.Millisecond
	play := func(entries int, probes bool) (refused, probed int) {
		callTime := 3500 * time.Millisecond
		controllers := make([]*admission.Controller, entries)
		for i := range controllers {
			controllers[i] = newController(uint64(i))
		}
		random := rand.New(rand.NewPCG(7, uint64(entries)))
		start := startTime()
		for now := start; now.Before(start.Add(10 * time.Second)); now = now.Add(10 * time.Millisecond) { // 100 requests per second
			r := admission.Request{
				Key: testKey(), Path: admission.Path{Stages: []admission.Stage{{Estimate: callTime}}, FirstEvent: 100 * time.Millisecond}, Left: 6 * time.Second, Objective: objective, Entries: entries,
			}
			d := controllers[random.IntN(entries)].Admit(r, now)
			if !d.Admit || d.Probe && !probes {
				refused++
				continue
			}
			if d.Probe {
				probed++
			}
			callTime += (needed - callTime) / 5
		}
		return refused, probed
	}
	for _, entries := range []int{1, 30, 100} {
		t.Run(fmt.Sprintf("%d entries", entries), func(t *testing.T) {
			before, _ := play(entries, false)
			after, probed := play(entries, true)
			t.Logf("of 1000 requests, without probes %d are refused, with them %d, %d probes", before, after, probed)
			qt.Check(t, before, qt.Equals, 1000)
			qt.Check(t, after < 200, qt.IsTrue)
		})
	}
}

// Requests that are let through while the estimates are right are done in vain, so they have to
// be few whatever the number of entries.
func TestProbesAreFew(t *testing.T) {
	for _, entries := range []int{1, 30, 100} {
		t.Run(fmt.Sprintf("%d entries", entries), func(t *testing.T) {
			controllers := make([]*admission.Controller, entries)
			for i := range controllers {
				controllers[i] = newController(uint64(i))
			}
			random := rand.New(rand.NewPCG(7, uint64(entries)))
			perSecond, start := map[int]int{}, startTime()
			for now := start; now.Before(start.Add(20 * time.Second)); now = now.Add(2 * time.Millisecond) {
				r := admission.Request{Key: testKey(), Path: admission.Path{Stages: []admission.Stage{{Estimate: 5 * time.Second}}}, Left: 6 * time.Second, Objective: 2 * time.Second, Entries: entries}
				if controllers[random.IntN(entries)].Admit(r, now).Probe {
					perSecond[int(now.Sub(start)/time.Second)]++
				}
			}
			most, sum := 0, 0
			for _, n := range perSecond {
				most, sum = max(most, n), sum+n
			}
			t.Logf("%d probes of 10000 requests in 20 s, at most %d in a second", sum, most)
			qt.Check(t, sum >= 30 && sum <= 90, qt.IsTrue)
			qt.Check(t, most <= 12, qt.IsTrue)
		})
	}
}

// Stage servers on machines that are shared with other work take longer than predicted for some
// seconds. Requests that would be late are admitted, and take the room of those that would not.
func TestCorrectionWhileServersAreSlow(t *testing.T) {
	const objective, slowness = 2 * time.Second, 1.8
	type result struct{ sent, onTime, late, refused int }
	play := func(entries int, corrected bool) (r result, p50, p90 float64) {
		controllers := make([]*admission.Controller, entries)
		for i := range controllers {
			controllers[i] = newController(uint64(i))
		}
		random := rand.New(rand.NewPCG(11, uint64(entries)))
		type answer struct {
			at                time.Time
			entry             int
			predicted, actual time.Duration
		}
		var answers []answer // in flight, in the order of their ends
		var ratios []float64
		start := startTime()
		backlog := 0.0 // seconds of work of the servers at their usual pace
		for now := start; now.Before(start.Add(24 * time.Second)); now = now.Add(10 * time.Millisecond) {
			pace, rate := 1.0, 0.6
			if at := now.Sub(start); at > 4*time.Second && at < 16*time.Second {
				pace, rate = slowness, 1.1
			}
			backlog = max(backlog-0.01/pace, 0)
			for len(answers) > 0 && !answers[0].at.After(now) {
				a := answers[0]
				answers = answers[1:]
				controllers[a.entry].Observe(testKey(), a.predicted, a.actual, now)
			}
			if random.Float64() > rate {
				continue // of 100 requests a second, with 10 ms of work each
			}
			entry := random.IntN(entries)
			path := admission.Path{Stages: []admission.Stage{{Estimate: 600*time.Millisecond + time.Duration(backlog*float64(time.Second))}}, FirstEvent: 200 * time.Millisecond}
			request := admission.Request{Key: testKey(), Path: path, Left: 6 * time.Second, Objective: objective, Entries: entries}
			predicted := path.Remaining()
			d := controllers[entry].Admit(request, now)
			if !corrected {
				d = newController(1).Admit(request, now)
			} else {
				predicted = d.Predicted
			}
			r.sent++
			if !d.Admit {
				r.refused++
				continue
			}
			actual := time.Duration(pace * float64(path.Remaining()))
			backlog += 0.01
			ratios = append(ratios, float64(actual)/float64(predicted))
			answers = append(answers, answer{now.Add(actual), entry, path.Remaining(), actual})
			slices.SortStableFunc(answers, func(a, b answer) int { return a.at.Compare(b.at) })
			if actual <= objective {
				r.onTime++
			} else {
				r.late++
			}
		}
		slices.Sort(ratios)
		return r, ratios[len(ratios)/2], ratios[len(ratios)*9/10]
	}
	for _, entries := range []int{1, 30, 100} {
		t.Run(fmt.Sprintf("%d entries", entries), func(t *testing.T) {
			before, before50, before90 := play(entries, false)
			after, after50, after90 := play(entries, true)
			t.Logf("without correction %+v, actual to predicted p50 %.2f p90 %.2f; with it %+v, %.2f %.2f", before, before50, before90, after, after50, after90)
			c := qt.New(t)
			c.Check(after.onTime > before.onTime, qt.IsTrue)
			c.Check(after.late < before.late, qt.IsTrue)
			c.Check(before50 > 1.75, qt.IsTrue)
			c.Check(after50 > 0.8 && after50 < 1.4, qt.IsTrue)
			c.Check(after90 <= before90, qt.IsTrue)
		})
	}
}
