package outlier_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"sequoialead"
	"sequoialead/core/outlier"
)

func start() time.Time { return time.Unix(1000, 0) }

func at(ms int) time.Time { return start().Add(time.Duration(ms) * time.Millisecond) }

func server(i int) sequoialead.Server {
	return sequoialead.Server{ID: fmt.Sprintf("s%d", i), StartedAt: start().Add(-time.Hour)}
}

func servers(n int) []sequoialead.Server {
	var list []sequoialead.Server
	for i := range n {
		list = append(list, server(i))
	}
	return list
}

func detector(n int) *outlier.Detector {
	d := outlier.New()
	d.Update(servers(n), start())
	return d
}

// fail lets a request that was sent at one time fail at another.
func fail(d *outlier.Detector, server, sent, ended int, source uint64) bool {
	return failAs(d, server, ended, outlier.Failure{SentAt: at(sent), Source: source})
}

func failAs(d *outlier.Detector, i, ended int, f outlier.Failure) bool {
	probe := d.Sent(server(i), f.SentAt)
	_, ejected := d.Failed(server(i), f, probe, at(ended))
	return ejected
}

func answer(d *outlier.Detector, i, sent int, source uint64) {
	d.Answered(server(i), outlier.Answer{SentAt: at(sent), Source: source, Complete: true})
}

// Each case plays events against a pool of four servers and tells which are ejected then.
func TestEjection(t *testing.T) {
	tests := []struct {
		desc string
		play func(d *outlier.Detector)
		want []int
	}{
		{"three failures in a row while another server answers", func(d *outlier.Detector) {
			fail(d, 0, 0, 10, 0)
			answer(d, 1, 5, 0)
			fail(d, 0, 10, 20, 0)
			fail(d, 0, 20, 30, 0)
		}, []int{0}},
		{"an answer in between", func(d *outlier.Detector) {
			fail(d, 0, 0, 10, 0)
			answer(d, 1, 5, 0)
			fail(d, 0, 10, 20, 0)
			answer(d, 0, 20, 0)
			fail(d, 0, 25, 30, 0)
		}, nil},
		{"an answer to a request sent before the failures began", func(d *outlier.Detector) {
			fail(d, 0, 10, 20, 0)
			answer(d, 1, 15, 0)
			fail(d, 0, 20, 30, 0)
			answer(d, 0, 5, 0)
			fail(d, 0, 35, 40, 0)
		}, []int{0}},
		{"all requests in flight fail at one moment", func(d *outlier.Detector) {
			for i := range 20 {
				fail(d, 0, i, 100, 0)
			}
			answer(d, 1, 50, 0)
			fail(d, 0, 60, 110, 0)
		}, nil},
		{"all servers fail", func(d *outlier.Detector) {
			for i := range 4 {
				answer(d, i, -100, 0)
			}
			for step := range 20 {
				for i := range 4 {
					fail(d, i, 10*step, 10*step+9, 0)
				}
			}
			// A server that answers again is no proof against the others' earlier failures.
			answer(d, 1, 300, 0)
		}, nil},
		{"one caller's requests fail at all servers", func(d *outlier.Detector) {
			answer(d, 3, 0, 2)
			for step := range 40 {
				fail(d, step%3, 10*step, 10*step+9, 1)
				answer(d, 3, 10*step, 2)
			}
		}, nil},
		{"requests of one caller fail at two servers and are answered by the others", func(d *outlier.Detector) {
			for step := range 6 {
				fail(d, step%2, 10*step, 10*step+4, 1)
				answer(d, 2, 10*step, 1)
			}
		}, []int{0, 1}},
		{"a caller is answered after its requests have failed at two servers", func(d *outlier.Detector) {
			for step := range 6 {
				fail(d, step%2, 10*step, 10*step+4, 1)
				answer(d, 2, 10*step, 2)
			}
			answer(d, 2, 60, 1)
			fail(d, 0, 70, 74, 1)
			answer(d, 2, 75, 1)
			fail(d, 1, 80, 84, 1)
		}, []int{0, 1}},
		{"requests sent before the failures began are answered elsewhere", func(d *outlier.Detector) {
			for i := range 8 {
				fail(d, 0, 10*i, 10*i+5, 0)
				answer(d, 1, -50, 0)
			}
		}, nil},
		{"three of four fail", func(d *outlier.Detector) {
			for step := range 60 {
				fail(d, step%3, 10*step, 10*step+4, 0)
				answer(d, 3, 10*step, 0)
			}
		}, []int{0, 1}},
		{"no answers until the deadline, to requests in flight together", func(d *outlier.Detector) {
			for i := range 3 {
				answer(d, 1, 600*i, 0)
				failAs(d, 0, 2000+600*i, outlier.Failure{SentAt: at(600 * i), Silent: true})
			}
		}, []int{0}},
		{"no answers until the deadline, to requests sent at one moment", func(d *outlier.Detector) {
			for i := range 20 {
				answer(d, 1, 10*i, 0)
				failAs(d, 0, 2000+10*i, outlier.Failure{SentAt: at(10 * i), Silent: true})
			}
		}, nil},
		{"streams break off after their first byte", func(d *outlier.Detector) {
			for i := range 4 {
				d.Answered(server(0), outlier.Answer{SentAt: at(100 * i)})
				answer(d, 1, 100*i, 0)
				failAs(d, 0, 100*i+20, outlier.Failure{SentAt: at(100 * i), Begun: true})
			}
		}, []int{0}},
		{"failures that are long apart", func(d *outlier.Detector) {
			for i := range 6 {
				fail(d, 0, 40_000*i, 40_000*i+10, 0)
				answer(d, 1, 40_000*i, 0)
			}
		}, nil},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			c := qt.New(t)
			d := detector(4)
			test.play(d)
			var ejected []int
			for i := range 4 {
				if !d.Available(server(i), at(400)) {
					ejected = append(ejected, i)
				}
			}
			c.Assert(ejected, qt.DeepEquals, test.want)
			c.Assert(d.Ejected(at(400)), qt.Equals, len(test.want))
		})
	}
}

// eject lets server 0 be ejected at 30 ms.
func eject(c *qt.C, d *outlier.Detector) {
	fail(d, 0, 0, 10, 0)
	answer(d, 1, 5, 0)
	fail(d, 0, 10, 20, 0)
	c.Assert(fail(d, 0, 20, 30, 0), qt.IsTrue)
}

// A server that stays bad gets one probe after each pause, and one that has recovered is
// back with its first answer.
func TestProbes(t *testing.T) {
	c := qt.New(t)
	d := detector(4)
	eject(c, d)
	now := 30
	for _, pause := range []int{1000, 2000, 4000, 8000, 16000, 30000, 30000} {
		c.Assert(d.Available(server(0), at(now+pause-1)), qt.IsFalse)
		now += pause
		c.Assert(d.Available(server(0), at(now)), qt.IsTrue)
		c.Assert(d.Sent(server(0), at(now)), qt.IsTrue)
		c.Assert(d.Available(server(0), at(now)), qt.IsFalse, qt.Commentf("a second probe"))
		answer(d, 1, now, 0)
		_, failed := d.Failed(server(0), outlier.Failure{SentAt: at(now)}, true, at(now+5))
		c.Assert(failed, qt.IsTrue)
		now += 5
	}
	now += 30000
	c.Assert(d.Sent(server(0), at(now)), qt.IsTrue)
	d.EndProbe(server(0)) // the caller left
	c.Assert(d.Sent(server(0), at(now)), qt.IsTrue)
	answer(d, 0, now, 0)
	c.Assert(d.Available(server(0), at(now+5)), qt.IsTrue)
	c.Assert(d.Ejected(at(now+5)), qt.Equals, 0)
}

// While all servers fail, the pause of those that were ejected before does not grow.
func TestPauseGrowsOnlyWhileOthersAnswer(t *testing.T) {
	c := qt.New(t)
	d := detector(4)
	eject(c, d)
	for now := 1030; now < 9000; now += 1010 {
		c.Assert(d.Sent(server(0), at(now)), qt.IsTrue, qt.Commentf("at %d ms", now))
		d.Failed(server(0), outlier.Failure{SentAt: at(now)}, true, at(now+5))
	}
}

// The process that replaces an ejected one is not ejected, and the record of an ejected
// process that lapses for a while does not readmit it.
func TestStateIsHeldPerProcess(t *testing.T) {
	c := qt.New(t)
	d := detector(4)
	eject(c, d)
	restarted := server(0)
	restarted.StartedAt = start()
	c.Assert(d.Available(restarted, at(40)), qt.IsTrue)
	d.Update(servers(4)[1:], at(50))
	d.Update(servers(4), at(60))
	c.Assert(d.Available(server(0), at(70)), qt.IsFalse)
	d.Update(servers(4)[1:], at(16*60*1000))
	c.Assert(d.Available(server(0), at(16*60*1000)), qt.IsTrue)
}

// If servers leave, no more than half of the rest stay ejected.
func TestServersAreReadmittedAsThePoolShrinks(t *testing.T) {
	c := qt.New(t)
	d := detector(4)
	for step := range 8 {
		fail(d, step%2, 10*step, 10*step+4, 0)
		answer(d, 3, 10*step, 0)
	}
	c.Assert(d.Ejected(at(100)), qt.Equals, 2)
	d.Update(servers(3), at(100))
	c.Assert(d.Ejected(at(100)), qt.Equals, 1)
	d.Update(servers(1), at(100))
	c.Assert(d.Ejected(at(100)), qt.Equals, 0)
}

// Whatever happens, at most half of the servers are ejected and never the last one.
func TestAtMostHalfIsEjected(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 7).Draw(t, "servers")
		d := detector(n)
		now := 0
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now += rapid.IntRange(0, 700).Draw(t, "pause")
			i := rapid.IntRange(0, n-1).Draw(t, "server")
			sent := now - rapid.IntRange(0, 300).Draw(t, "took")
			source := rapid.Uint64Range(0, 3).Draw(t, "source")
			switch rapid.SampledFrom([]string{"fail", "fail", "fail", "answer", "shrink", "probe"}).Draw(t, "event") {
			case "fail":
				fail(d, i, sent, now, source)
			case "answer":
				answer(d, i, sent, source)
			case "shrink":
				n = rapid.IntRange(1, 7).Draw(t, "servers")
				d.Update(servers(n), at(now))
			case "probe":
				if d.Sent(server(i), at(now)) && d.Available(server(i), at(now)) {
					t.Fatalf("a second probe at the same time")
				}
			}
			if d.Ejected(at(now)) > n/2 {
				t.Fatalf("%d of %d servers are ejected", d.Ejected(at(now)), n)
			}
		}
	})
}

func BenchmarkAvailable(b *testing.B) {
	d := detector(180)
	for step := range 8 {
		fail(d, step%2, 10*step, 10*step+4, 0)
		answer(d, 3, 10*step, 0)
	}
	all := servers(180)
	b.ReportAllocs()
	for b.Loop() {
		for _, s := range all {
			d.Available(s, at(100))
		}
	}
}
