package pool_test

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"sequoialead"
	"sequoialead/core/pool"
	"sequoialead/core/proxyconfig"
)

// fakeVersions prefers the versions of a list and records what the pool tells.
type fakeVersions struct {
	preferred []string
	again     bool
	sent      map[string]int
	answers   int
	failures  int
	times     []time.Duration
	unsent    int
}

func (v *fakeVersions) Preference(_ string, again bool) []func(string) bool {
	v.again = again
	var filters []func(string) bool
	for _, want := range v.preferred {
		filters = append(filters, func(version string) bool { return version == want })
	}
	return filters
}

func (v *fakeVersions) Leading(string) func(string) bool { return nil }

func (v *fakeVersions) Sent(_ string, server sequoialead.Server) { v.sent[server.Version]++ }

func (v *fakeVersions) FirstByte(_, _ string, _ sequoialead.Server, took time.Duration, units int) {
	v.answers += units
	v.times = append(v.times, took)
}

func (v *fakeVersions) Ended(_, _ string, _ sequoialead.Server, units, answers, failures int) {
	v.answers += answers
	v.failures += failures
	if units == 0 {
		v.unsent++
	}
}

// TestVersionsAreFiltered guards against requests to servers of a version that may get
// none, and against answers that are counted twice or not at all.
func TestVersionsAreFiltered(t *testing.T) {
	c := qt.New(t)
	v := &fakeVersions{sent: map[string]int{}}
	p := pool.New(pool.Options{Name: "p", Domain: "a", Random: rand.New(rand.NewPCG(1, 1)), Versions: v})
	servers := list(4)
	for i := range servers {
		servers[i].Server.Version = []string{"v1", "v2"}[i%2]
	}
	now := time.Unix(1000, 0)
	p.Update(pool.View{Conf: &proxyconfig.Pool{Name: "p"}, Usable: servers, Entries: 1}, now)
	acquire := func() *pool.Place {
		place, _ := p.Acquire(pool.Request{Exclude: map[string]bool{"other": true}}, now)
		return place
	}

	v.preferred = []string{"v2"}
	for range 8 { // two servers with four slots each
		c.Assert(acquire().Server.Version, qt.Equals, "v2")
	}
	c.Assert(v.again, qt.IsTrue)
	c.Assert(acquire(), qt.IsNil)
	v.preferred = []string{"v2", "v1"}
	place := acquire()
	c.Assert(place.Server.Version, qt.Equals, "v1") // the second choice if the first is full
	c.Assert(v.sent, qt.DeepEquals, map[string]int{"v1": 1, "v2": 8})

	p.RecordFirstByte(place, now.Add(30*time.Millisecond))
	p.Release(place, pool.EndFailed, nil, now.Add(time.Second)) // broken off after its start
	c.Assert([]int{v.answers, v.failures}, qt.DeepEquals, []int{1, 1})
	c.Assert(v.times, qt.DeepEquals, []time.Duration{30 * time.Millisecond})
	p.Release(acquire(), pool.EndFailed, nil, now.Add(time.Second)) // reset before
	c.Assert([]int{v.answers, v.failures}, qt.DeepEquals, []int{2, 2})
	p.Release(acquire(), pool.EndRefused, nil, now.Add(time.Second))
	c.Assert([]int{v.answers, v.failures, v.unsent}, qt.DeepEquals, []int{2, 2, 0})
	p.Release(acquire(), pool.EndAbandoned, nil, now)
	p.Release(acquire(), pool.EndUnreachable, nil, now.Add(time.Second))
	c.Assert([]int{v.answers, v.failures, v.unsent}, qt.DeepEquals, []int{2, 3, 2})
}
