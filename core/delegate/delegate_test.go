package delegate_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	qt "github.com/frankban/quicktest"
	"k8s.io/klog/v2"

	"sequoialead"
	"sequoialead/core/batch"
	"sequoialead/core/delegate"
	"sequoialead/core/frame"
	"sequoialead/core/members"
	"sequoialead/core/plan"
	"sequoialead/core/pool"
)

// site is an entry with one pool and a sibling.
type site struct {
	mu sync.Mutex
	// reached is whether the sibling can be asked, and lost whether it is lost
	// before it answers.
	reached bool
	lost    bool
	// full is whether no place is free, and givesBack the number of orders that
	// the sibling gives back.
	full      bool
	givesBack int
	asked     []string
	orders    int
	local     int
	dropped   []frame.Result
	freed     []string
}

func (s *site) Conf(string) *plan.Pool {
	return &plan.Pool{Name: "encode", Pieces: &plan.Pieces{Batch: 4, Room: 1000, Call: 100 * time.Millisecond}}
}
func (s *site) Own(string) int            { return 1 }
func (s *site) Has(string, string) bool   { return true }
func (s *site) Request(string)            {}
func (s *site) Repeat(string) bool        { return true }
func (s *site) First(string, *pool.Place) {}
func (s *site) Take(string, pool.Want) (*pool.Place, sequoialead.Reason) {
	if s.full {
		return nil, sequoialead.ReasonFull
	}
	return &pool.Place{Server: sequoialead.Server{ID: "s"}, Own: true}, ""
}
func (s *site) Give(string, *pool.Place, pool.End, *sequoialead.Occupancy) {}

func (s *site) Make(_ context.Context, _ sequoialead.Server, pieces []sequoialead.Piece) ([]sequoialead.Made, *sequoialead.Occupancy, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.local += len(pieces)
	made := make([]sequoialead.Made, len(pieces))
	for i, p := range pieces {
		made[i].Handle = fmt.Sprintf("here-%d", p.Number)
	}
	return made, nil, nil
}

func (s *site) Free(_ context.Context, _ sequoialead.Server, handles []string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.freed = append(s.freed, handles...)
	return nil
}

func (s *site) Update([]members.Entry) {}
func (s *site) Reach(string) bool      { return s.reached }
func (s *site) Lost(string) bool       { return false }
func (s *site) Order(_ context.Context, name string, o frame.Order, _ func()) (frame.Made, bool) {
	s.orders++
	s.asked = append(s.asked, name)
	if s.lost {
		return frame.Made{}, false
	}
	if s.givesBack > 0 {
		s.givesBack--
		return frame.Made{Reason: sequoialead.ReasonLeaving}, true
	}
	made := frame.Made{Backlog: frame.Backlog{Servers: 1, Calls: 1, Usual: time.Second}}
	for _, p := range o.Pieces {
		made.Results = append(made.Results, frame.Result{Handle: fmt.Sprintf("there-%d", p.Number), Maker: "s"})
	}
	return made, true
}

func (s *site) Drop(_ string, results []frame.Result) bool {
	if s.lost {
		return false
	}
	s.dropped = append(s.dropped, results...)
	return true
}

// build returns a delegate whose pool is led by the sibling.
func build(t *testing.T, s *site) *delegate.Delegate {
	t.Helper()
	now := func() time.Time { return time.Unix(1000, 0) }
	b := batch.New(batch.Options{Metrics: metrics.NewSet(), Maker: s, Pools: s, Log: klog.Logger{}, Now: now})
	qt.Assert(t, b.Start(context.Background()), qt.IsNil)
	t.Cleanup(func() { qt.Assert(t, b.Close(), qt.IsNil) })
	// The name decides who leads: try some until it is the sibling.
	for i := range 100 {
		d := delegate.New(delegate.Options{Entry: "me", Batcher: b, Siblings: s, Log: klog.Logger{}, Now: now, Changed: func() {}})
		entries := []members.Entry{{Name: "me"}, {Name: fmt.Sprintf("sibling-%d", i)}}
		if own := d.Update("encode", entries, []sequoialead.Server{{ID: "s"}}); len(own) == 0 || !s.reached {
			return d
		}
	}
	t.Fatal("no sibling leads")
	return nil
}

func order(n int) batch.Order {
	o := batch.Order{Pool: "encode", Due: time.Unix(1001, 0), Until: time.Unix(1002, 0)}
	for i := range n {
		o.Pieces = append(o.Pieces, sequoialead.Piece{Request: "r", Number: i, Key: "k"})
	}
	return o
}

func TestLeaderMakesTheOrder(t *testing.T) {
	c := qt.New(t)
	s := &site{reached: true}
	d := build(t, s)
	results, reason := d.Make(context.Background(), order(2))
	c.Assert(reason, qt.Equals, sequoialead.Reason(""))
	c.Assert(results[1].Handle, qt.Equals, "there-1")
	c.Assert(s.local, qt.Equals, 0)
	d.Free(results)
	c.Assert(s.dropped, qt.HasLen, 2)
	c.Assert(d.Estimate(s.Conf(""), "r", 0, 1) > time.Second, qt.IsTrue) // behind the leader's call
}

// What waits at a leader is known before an order to it has ended: an estimate of
// a full queue that is taken to be empty begins stages that end too late.
func TestEstimateCountsWhatTheLeaderSaidBetweenOrders(t *testing.T) {
	c := qt.New(t)
	s := &site{reached: true}
	d := build(t, s)
	conf := s.Conf("")
	c.Assert(d.Backlogs(), qt.HasLen, 0) // nothing is led here
	before := d.Estimate(conf, "r", 0, 1)
	for i := range 100 {
		d.Heard(fmt.Sprintf("sibling-%d", i), map[string]frame.Backlog{"encode": {Usual: 100 * time.Millisecond, Servers: 1, Calls: 1, Pieces: []int{40}}})
	}
	c.Assert(d.Estimate(conf, "r", 0, 1) >= before+time.Second, qt.IsTrue) // ten calls of four pieces
}

// Results that were read are given up early only where their makers need the room.
func TestRoomIsScarceByWhatTheMakersLeaderSays(t *testing.T) {
	c := qt.New(t)
	d := build(t, &site{reached: true})
	results := []batch.Result{{Handle: "h", By: "leader"}}
	c.Assert(d.Scarce("encode", results), qt.IsFalse) // nothing is known
	d.Heard("leader", map[string]frame.Backlog{"encode": {Held: 0.6}})
	c.Assert(d.Scarce("encode", results), qt.IsTrue)
	c.Assert(d.Scarce("encode", nil), qt.IsFalse)
	d.Heard("leader", map[string]frame.Backlog{"encode": {Held: 0.4}})
	c.Assert(d.Scarce("encode", results), qt.IsFalse)
}

func TestWhatIsLedHereIsTold(t *testing.T) {
	c := qt.New(t)
	d := build(t, &site{})
	c.Assert(d.Backlogs()["encode"].Servers, qt.Equals, 1)
}

func TestLostLeaderIsReplacedByTheEntryItself(t *testing.T) {
	c := qt.New(t)
	s := &site{reached: true}
	d := build(t, s)
	s.lost = true
	results, reason := d.Make(context.Background(), order(2))
	c.Assert(reason, qt.Equals, sequoialead.Reason(""))
	c.Assert(results[1].Handle, qt.Equals, "here-1")
	c.Assert(s.orders > 0, qt.IsTrue)
}

func TestResultsOfALostLeaderAreGivenUpHere(t *testing.T) {
	c := qt.New(t)
	s := &site{reached: true}
	d := build(t, s)
	results, _ := d.Make(context.Background(), order(1))
	s.lost = true
	d.Free(results)
	for range 500 {
		s.mu.Lock()
		n := len(s.freed)
		s.mu.Unlock()
		if n == 1 {
			return
		}
		time.Sleep(2 * time.Millisecond)
	}
	c.Fatal("the result is still held")
}

func TestEntryThatReachesNobodyLeads(t *testing.T) {
	c := qt.New(t)
	s := &site{}
	d := build(t, s)
	_, reason := d.Make(context.Background(), order(1))
	c.Assert(reason, qt.Equals, sequoialead.Reason(""))
	c.Assert(s.orders, qt.Equals, 0)
	c.Assert(s.local, qt.Equals, 1)
}

// An entry that leaves gives back what waits, asks the others itself, and an
// order that a leader gives back is sent to the next one.
func TestLeaderThatLeavesHandsOver(t *testing.T) {
	c := qt.New(t)
	s := &site{}
	d := build(t, s) // leads, since it reaches nobody
	s.full = true
	ended := make(chan sequoialead.Reason, 1)
	go func() {
		made := d.Serve(context.Background(), frame.Order{Pool: "encode", Pieces: order(1).Pieces, Due: time.Minute, Until: time.Minute}, func() {})
		ended <- made.Reason
	}()
	for d.Estimate(s.Conf(""), "r", 9, 4) <= 100*time.Millisecond {
		time.Sleep(time.Millisecond)
	}
	d.Leave()
	c.Assert(<-ended, qt.Equals, sequoialead.ReasonLeaving)
	s.reached = true
	c.Assert(d.Update("encode", []members.Entry{{Name: "me"}, {Name: "other"}}, []sequoialead.Server{{ID: "s"}}), qt.HasLen, 0)
	s.givesBack = 1
	results, _ := d.Make(context.Background(), order(1))
	c.Assert(s.orders, qt.Equals, 2)
	c.Assert(results[0].Handle, qt.Equals, "there-0")
}

// An order that would be late at its own group is made by another one that has
// less to do.
// divided gives a delegate entries and backend servers in two failure domains.
func divided(d *delegate.Delegate) {
	var entries []members.Entry
	var servers []sequoialead.Server
	for i := range 12 {
		entries = append(entries, members.Entry{Name: fmt.Sprint(string(rune('a'+i%2)), i), Domain: string(rune('a' + i%2))})
		servers = append(servers, sequoialead.Server{ID: fmt.Sprint("s", i), Domain: string(rune('a' + i%2))})
	}
	d.Update("encode", entries, servers)
}

// Results are made where they are wanted, also where that is not the domain of
// the entry that takes the request.
func TestOrderGoesWhereItsResultsAreWanted(t *testing.T) {
	c := qt.New(t)
	s := &site{reached: true}
	d := build(t, s)
	divided(d)
	for _, domain := range []string{"a", "b"} {
		o := order(1)
		o.Conf, o.Domain, o.Due = s.Conf(""), domain, time.Unix(1010, 0)
		_, _ = d.Make(context.Background(), o)
		c.Assert(s.asked[len(s.asked)-1][:1], qt.Equals, domain)
	}
}

func TestLateOrderGoesToAnotherGroup(t *testing.T) {
	c := qt.New(t)
	s := &site{reached: true}
	d := build(t, s)
	divided(d)
	o := order(1)
	o.Conf = s.Conf("")
	o.Conf.Name = "encode"
	_, _ = d.Make(context.Background(), o) // tells that the leader is busy for a second
	first := s.asked[0]
	o.Due = time.Unix(1000, 0).Add(500 * time.Millisecond)
	_, _ = d.Make(context.Background(), o)
	c.Assert(s.asked[1] != first, qt.IsTrue)
	o.Due = time.Unix(1010, 0)
	_, _ = d.Make(context.Background(), o)
	c.Assert(s.asked[2], qt.Equals, first)
}
