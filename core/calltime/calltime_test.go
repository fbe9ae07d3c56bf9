package calltime_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"sequoialead/core/calltime"
	"sequoialead/core/proxyconfig"
)

func limits() *proxyconfig.PieceLimits {
	return &proxyconfig.PieceLimits{MaxBatch: 44, CallTime: 240 * time.Millisecond, ItemTime: 5 * time.Millisecond}
}

// ewma is the estimate without decay and with all calls, as before this package.
type ewma struct{ value time.Duration }

func (e *ewma) record(took time.Duration) {
	if e.value == 0 {
		e.value = took
	}
	e.value += time.Duration(0.2 * float64(took-e.value))
}

// For 2 s after a restart of all entries, calls took 1.7 s, since they waited behind those of
// other entries. Then requests arrive that are refused if a stage is estimated to take longer
// than a third of their objective of 2 s, and whose calls take 300 ms. Without the package
// the estimate stays, and no request is sent any more.
func TestEstimateRecoversAfterWaitsBehindOthers(t *testing.T) {
	const servers, arrival, limit, took = 6, 12 * time.Millisecond, 2 * time.Second / 3, 300 * time.Millisecond
	conf := limits()
	play := func(record func(took time.Duration, shared bool, s calltime.State), advance func(s calltime.State), callTime func(s calltime.State) time.Duration) (refused, last int) {
		now := time.Unix(1000, 0)
		for range 30 {
			record(1700*time.Millisecond, true, calltime.State{Now: now, Servers: servers, Calls: servers})
			now = now.Add(60 * time.Millisecond)
		}
		var ends []time.Time // of the calls in flight
		begin := now
		for ; now.Sub(begin) < 3*time.Second; now = now.Add(arrival) {
			for len(ends) > 0 && !now.Before(ends[0]) {
				s := calltime.State{Now: ends[0], Servers: servers, Calls: len(ends)}
				ends = ends[1:]
				record(took, false, s)
			}
			switch {
			case callTime(calltime.State{Now: now, Servers: servers, Calls: len(ends)}) > limit:
				refused++
				if now.Sub(begin) >= time.Second {
					last++
				}
			case len(ends) < servers:
				advance(calltime.State{Now: now, Servers: servers, Calls: len(ends)})
				ends = append(ends, now.Add(took))
			}
		}
		return refused, last
	}
	var old ewma
	without, withoutLast := play(func(took time.Duration, _ bool, _ calltime.State) { old.record(took) }, func(calltime.State) {}, func(calltime.State) time.Duration { return max(old.value, conf.CallTime) })
	var unnoticed, noticed calltime.Estimate
	decayed, decayedLast := play(func(took time.Duration, _ bool, s calltime.State) { unnoticed.RecordCall(conf, 10, took, s) },
		unnoticed.Advance, func(s calltime.State) time.Duration { return unnoticed.CallTime(conf, s) })
	excluded, excludedLast := play(func(took time.Duration, shared bool, s calltime.State) {
		if !shared {
			noticed.RecordCall(conf, 10, took, s)
		}
	}, noticed.Advance, func(s calltime.State) time.Duration { return noticed.CallTime(conf, s) })
	t.Logf("requests refused in 3 s (after the first second): without %d (%d), with decay alone %d (%d), with shared calls excluded %d (%d)", without, withoutLast, decayed, decayedLast, excluded, excludedLast)
	c := qt.New(t)
	c.Check(without, qt.Equals, 250)
	c.Check(decayedLast, qt.Equals, 0)
	c.Check(excluded, qt.Equals, 0)
}

// Under load the estimate follows what is measured: servers that are twice as slow as
// configured must not count as fast because the next call ends only after some time.
func TestMeasurementsLastWhileServersAreBusy(t *testing.T) {
	c := qt.New(t)
	conf := limits()
	var e calltime.Estimate
	now := time.Unix(1000, 0)
	busy := func() calltime.State { return calltime.State{Now: now, Servers: 2, Calls: 2} }
	for range 30 {
		now = now.Add(200 * time.Millisecond)
		e.RecordCall(conf, 12, 600*time.Millisecond, busy())
		e.RecordLoaded(conf, 12, busy())
	}
	now = now.Add(5 * time.Second)
	c.Assert(e.CallTime(conf, busy()) > 580*time.Millisecond, qt.IsTrue)
	c.Assert(int(e.PiecesPerCallTime(conf, busy())+0.5), qt.Equals, 24)
	idle := calltime.State{Now: now, Servers: 2}
	c.Assert(e.CallTime(conf, idle) < 310*time.Millisecond, qt.IsTrue)
	c.Assert(e.PiecesPerCallTime(conf, idle) > 87, qt.IsTrue)
}

// Whatever was measured, the estimate of idle servers returns to the configured values, and
// never leaves the range between these and the measured ones.
func TestIdleEstimateReturnsToConfiguration(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		conf := limits()
		var e calltime.Estimate
		now := time.Unix(1000, 0)
		longest := time.Duration(0)
		for range rapid.IntRange(0, 20).Draw(t, "calls") {
			now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "pause")) * time.Millisecond)
			pieces := rapid.IntRange(1, conf.MaxBatch).Draw(t, "pieces")
			slowdown := rapid.Float64Range(0.1, 20).Draw(t, "slowdown")
			took := time.Duration(slowdown * float64(calltime.Configured(conf, float64(pieces))))
			s := calltime.State{Now: now, Servers: 3, Calls: rapid.IntRange(0, 3).Draw(t, "calls in flight")}
			e.RecordCall(conf, pieces, took, s)
			e.RecordLoaded(conf, pieces, s)
			longest = max(longest, time.Duration(max(slowdown, 1)*float64(calltime.Configured(conf, float64(conf.MaxBatch)))))
			if got := e.CallTime(conf, s); got <= 0 || got > longest+time.Millisecond {
				t.Fatalf("call time %s, the longest measured is %s", got, longest)
			}
		}
		idle := calltime.State{Now: now.Add(6 * time.Second), Servers: 3}
		if got, want := e.CallTime(conf, idle), calltime.Configured(conf, float64(conf.MaxBatch)); got > want+10*time.Millisecond {
			t.Fatalf("call time %s of idle servers, the configured one is up to %s", got, want)
		}
		if got := e.PiecesPerCallTime(conf, idle); got < 0.99*3*float64(conf.MaxBatch) {
			t.Fatalf("%s pieces per call time", fmt.Sprint(got))
		}
	})
}
