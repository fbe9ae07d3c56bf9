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
	"sequoialead/core/membership"
	"sequoialead/core/pool"
	"sequoialead/core/protocol"
	"sequoialead/core/proxyconfig"
)

// fakeSystem is the pool, the maker and the sibling of an entry.
type fakeSystem struct {
	mu sync.Mutex
	// siblingReachable is whether the sibling can be reached. siblingLost is
	// whether the connection to it is lost before it answers.
	siblingReachable bool
	siblingLost      bool
	// full is whether no place is free. handBacks is the number of further orders
	// that the sibling hands back with ReasonLeaving.
	full         bool
	handBacks    int
	askedEntries []string
	// connectedTo records the entries to which a connection is wanted, unless it is nil.
	connectedTo map[string]bool
	sentOrders  int
	madeLocally int
	released    []protocol.Result
	freed       []string
}

func (s *fakeSystem) Conf(string) *proxyconfig.Pool {
	return &proxyconfig.Pool{Name: "encode", Pieces: &proxyconfig.PieceLimits{MaxBatch: 4, RoomBytes: 1000, CallTime: 100 * time.Millisecond}}
}
func (s *fakeSystem) LedServers(string) int               { return 1 }
func (s *fakeSystem) HasDomain(string, string) bool       { return true }
func (s *fakeSystem) CountOrder(string)                   {}
func (s *fakeSystem) TakeRetry(string) bool               { return true }
func (s *fakeSystem) RecordFirstByte(string, *pool.Place) {}
func (s *fakeSystem) Acquire(string, pool.Request) (*pool.Place, sequoialead.Reason) {
	if s.full {
		return nil, sequoialead.ReasonFull
	}
	return &pool.Place{Server: sequoialead.Server{ID: "s"}, Led: true}, ""
}
func (s *fakeSystem) RecordNotice(string, string, sequoialead.ServerNotice)          {}
func (s *fakeSystem) FreeDelay(string) (time.Duration, bool)                         { return 0, true }
func (s *fakeSystem) Release(string, *pool.Place, pool.End, *sequoialead.ServerLoad) {}

func (s *fakeSystem) Make(_ context.Context, _ sequoialead.Server, pieces []sequoialead.Piece) ([]sequoialead.PieceResult, sequoialead.ServerFeedback, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.madeLocally += len(pieces)
	results := make([]sequoialead.PieceResult, len(pieces))
	for i, p := range pieces {
		results[i].Handle = fmt.Sprintf("here-%d", p.Number)
	}
	return results, sequoialead.ServerFeedback{}, nil
}

func (s *fakeSystem) Free(_ context.Context, _ sequoialead.Server, handles []string) (sequoialead.ServerFeedback, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.freed = append(s.freed, handles...)
	return sequoialead.ServerFeedback{}, nil
}

func (s *fakeSystem) SetEntries([]membership.Member) {}
func (s *fakeSystem) EnsureConnected(name string) bool {
	if s.connectedTo != nil {
		s.connectedTo[name] = true
	}
	return s.siblingReachable
}
func (s *fakeSystem) Unavailable(string) bool { return false }
func (s *fakeSystem) Order(_ context.Context, name string, o protocol.Order, _ func()) (protocol.OrderResult, bool) {
	s.sentOrders++
	s.askedEntries = append(s.askedEntries, name)
	if s.siblingLost {
		return protocol.OrderResult{}, false
	}
	if s.handBacks > 0 {
		s.handBacks--
		return protocol.OrderResult{Reason: sequoialead.ReasonLeaving}, true
	}
	result := protocol.OrderResult{Backlog: protocol.Backlog{Servers: 1, Calls: 1, CallTime: time.Second}}
	for _, p := range o.Pieces {
		result.Results = append(result.Results, protocol.Result{Handle: fmt.Sprintf("there-%d", p.Number), Server: "s"})
	}
	return result, true
}

func (s *fakeSystem) ReleaseResults(_ string, results []protocol.Result) bool {
	if s.siblingLost {
		return false
	}
	s.released = append(s.released, results...)
	return true
}

// newDelegate returns a delegate whose pool is led by the sibling, if that is
// reachable.
func newDelegate(t *testing.T, s *fakeSystem) *delegate.Delegate {
	t.Helper()
	now := func() time.Time { return time.Unix(1000, 0) }
	b := batch.New(batch.Options{Metrics: metrics.NewSet(), Maker: s, Pools: s, Log: klog.Logger{}, Now: now})
	qt.Assert(t, b.Start(context.Background()), qt.IsNil)
	t.Cleanup(func() { qt.Assert(t, b.Close(), qt.IsNil) })
	// The leader is chosen by a hash of the names: try some until it is the sibling.
	for i := range 100 {
		d := delegate.New(delegate.Options{Entry: "me", Batcher: b, Siblings: s, Log: klog.Logger{}, Now: now, OnLeaderLost: func() {}})
		entries := []membership.Member{{Name: "me"}, {Name: fmt.Sprintf("sibling-%d", i)}}
		if led := d.Update("encode", entries, []sequoialead.Server{{ID: "s"}}); len(led) == 0 || !s.siblingReachable {
			return d
		}
	}
	t.Fatal("no sibling leads")
	return nil
}

func order(n int) batch.Order {
	o := batch.Order{Pool: "encode", DueAt: time.Unix(1001, 0), ExpiresAt: time.Unix(1002, 0)}
	for i := range n {
		o.Pieces = append(o.Pieces, sequoialead.Piece{Request: "r", Number: i, Key: "k"})
	}
	return o
}

func TestLeaderMakesOrder(t *testing.T) {
	c := qt.New(t)
	s := &fakeSystem{siblingReachable: true}
	d := newDelegate(t, s)
	results, reason := d.Make(context.Background(), order(2))
	c.Assert(reason, qt.Equals, sequoialead.Reason(""))
	c.Assert(results[1].Handle, qt.Equals, "there-1")
	c.Assert(s.madeLocally, qt.Equals, 0)
	d.Free(results)
	c.Assert(s.released, qt.HasLen, 2)
	c.Assert(d.Estimate(s.Conf(""), "r", 0, 1) > time.Second, qt.IsTrue) // the leader has a call of 1 s in flight
}

// An estimate uses a leader's report of its backlog even before an order sent
// to it has ended. If a full queue were taken to be empty, stages would be
// started that end too late.
func TestEstimateUsesReportedBacklog(t *testing.T) {
	c := qt.New(t)
	s := &fakeSystem{siblingReachable: true}
	d := newDelegate(t, s)
	conf := s.Conf("")
	c.Assert(d.Backlogs(), qt.HasLen, 0) // this entry leads nothing
	before := d.Estimate(conf, "r", 0, 1)
	for i := range 100 {
		d.UpdateBacklogs(fmt.Sprintf("sibling-%d", i), map[string]protocol.Backlog{"encode": {CallTime: 100 * time.Millisecond, Servers: 1, Calls: 1, Pieces: []int{40}}})
	}
	c.Assert(d.Estimate(conf, "r", 0, 1) >= before+time.Second, qt.IsTrue) // 40 pieces are ten calls of 4, 100 ms each
}

// Results that were read are freed early only if the backend servers that hold
// them are short of room.
func TestRoomScarceUsesReportedRoom(t *testing.T) {
	c := qt.New(t)
	d := newDelegate(t, &fakeSystem{siblingReachable: true})
	results := []batch.Result{{Handle: "h", Entry: "leader"}}
	c.Assert(d.RoomScarce("encode", results), qt.IsFalse) // no report yet
	d.UpdateBacklogs("leader", map[string]protocol.Backlog{"encode": {RoomUsed: 0.6}})
	c.Assert(d.RoomScarce("encode", results), qt.IsTrue)
	c.Assert(d.RoomScarce("encode", nil), qt.IsFalse)
	d.UpdateBacklogs("leader", map[string]protocol.Backlog{"encode": {RoomUsed: 0.4}})
	c.Assert(d.RoomScarce("encode", results), qt.IsFalse)
}

func TestBacklogsReportsLedPools(t *testing.T) {
	c := qt.New(t)
	d := newDelegate(t, &fakeSystem{})
	c.Assert(d.Backlogs()["encode"].Servers, qt.Equals, 1)
}

func TestOrderIsMadeLocallyIfLeaderIsLost(t *testing.T) {
	c := qt.New(t)
	s := &fakeSystem{siblingReachable: true}
	d := newDelegate(t, s)
	s.siblingLost = true
	results, reason := d.Make(context.Background(), order(2))
	c.Assert(reason, qt.Equals, sequoialead.Reason(""))
	c.Assert(results[1].Handle, qt.Equals, "here-1")
	c.Assert(s.sentOrders > 0, qt.IsTrue)
}

func TestResultsOfLostLeaderAreFreedLocally(t *testing.T) {
	c := qt.New(t)
	s := &fakeSystem{siblingReachable: true}
	d := newDelegate(t, s)
	results, _ := d.Make(context.Background(), order(1))
	s.siblingLost = true
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
	c.Fatal("result was not freed within 1 s")
}

func TestEntryWithoutReachableSiblingsLeads(t *testing.T) {
	c := qt.New(t)
	s := &fakeSystem{}
	d := newDelegate(t, s)
	_, reason := d.Make(context.Background(), order(1))
	c.Assert(reason, qt.Equals, sequoialead.Reason(""))
	c.Assert(s.sentOrders, qt.Equals, 0)
	c.Assert(s.madeLocally, qt.Equals, 1)
}

// An entry that leaves hands its queued orders back and sends its own orders
// to the other leaders. An order that a leader hands back goes to the next
// leader.
// A hundred entries that all connect to each other spend much of a small machine on
// heartbeats. Those that are no leaders are connected to only if no leader is left.
func TestConnectsToLikelyLeadersAlone(t *testing.T) {
	c := qt.New(t)
	s := &fakeSystem{siblingReachable: true, connectedTo: map[string]bool{}}
	b := batch.New(batch.Options{Metrics: metrics.NewSet(), Maker: s, Pools: s, Log: klog.Logger{}, Now: time.Now})
	d := delegate.New(delegate.Options{Entry: "e0", Domain: "a", Batcher: b, Siblings: s, Log: klog.Logger{}, Now: time.Now, OnLeaderLost: func() {}})
	var entries, weak []membership.Member
	strong := map[string]bool{}
	for i := range 102 {
		e := membership.Member{Name: fmt.Sprintf("e%d", i), Domain: string(rune('a' + i%6)), CPU: 0.144}
		if i >= 84 {
			e.CPU = 0.8
			strong[e.Name] = true
		} else {
			weak = append(weak, e)
		}
		entries = append(entries, e)
	}
	var servers []sequoialead.Server
	for i := range 36 {
		servers = append(servers, sequoialead.Server{ID: fmt.Sprint(i), Domain: string(rune('a' + i%6))})
	}
	d.Update("encode", entries, servers)
	c.Assert(len(s.connectedTo) <= 3+5, qt.IsTrue) // those of the own domain, and the leaders of the others
	for name := range s.connectedTo {
		c.Assert(strong[name], qt.IsTrue, qt.Commentf("%s", name))
	}
	d.Update("encode", weak, servers)
	c.Assert(len(s.connectedTo) >= 13, qt.IsTrue) // the rest of the own domain
}

func TestLeavingLeaderHandsOver(t *testing.T) {
	c := qt.New(t)
	s := &fakeSystem{}
	d := newDelegate(t, s) // this entry leads the pool, because no sibling is reachable
	s.full = true
	ended := make(chan sequoialead.Reason, 1)
	go func() {
		result := d.Serve(context.Background(), protocol.Order{Pool: "encode", Pieces: order(1).Pieces, DueIn: time.Minute, ExpiresIn: time.Minute}, func() {})
		ended <- result.Reason
	}()
	for d.Estimate(s.Conf(""), "r", 9, 4) <= 100*time.Millisecond {
		time.Sleep(time.Millisecond)
	}
	d.HandOver()
	c.Assert(<-ended, qt.Equals, sequoialead.ReasonLeaving)
	s.siblingReachable = true
	c.Assert(d.Update("encode", []membership.Member{{Name: "me"}, {Name: "other"}}, []sequoialead.Server{{ID: "s"}}), qt.HasLen, 0)
	s.handBacks = 1
	results, _ := d.Make(context.Background(), order(1))
	c.Assert(s.sentOrders, qt.Equals, 2)
	c.Assert(results[0].Handle, qt.Equals, "there-0")
}

// updateTwoDomains gives a delegate entries and backend servers in two failure
// domains.
func updateTwoDomains(d *delegate.Delegate) {
	var entries []membership.Member
	var servers []sequoialead.Server
	for i := range 12 {
		entries = append(entries, membership.Member{Name: fmt.Sprint(string(rune('a'+i%2)), i), Domain: string(rune('a' + i%2))})
		servers = append(servers, sequoialead.Server{ID: fmt.Sprint("s", i), Domain: string(rune('a' + i%2))})
	}
	d.Update("encode", entries, servers)
}

// An order goes to a leader in the failure domain that it prefers, even if that
// isn't the entry's own domain.
func TestOrderGoesToLeaderInItsDomain(t *testing.T) {
	c := qt.New(t)
	s := &fakeSystem{siblingReachable: true}
	d := newDelegate(t, s)
	updateTwoDomains(d)
	for _, domain := range []string{"a", "b"} {
		o := order(1)
		o.Conf, o.Domain, o.DueAt = s.Conf(""), domain, time.Unix(1010, 0)
		_, _ = d.Make(context.Background(), o)
		c.Assert(s.askedEntries[len(s.askedEntries)-1][:1], qt.Equals, domain)
	}
}

// With balancing, orders leave a group with a backlog before they would be late there.
func TestOrdersLeaveBacklogEarly(t *testing.T) {
	now := time.Unix(1000, 0)
	play := func(enabled bool) (moved int) {
		s := &fakeSystem{siblingReachable: true, siblingLost: false}
		b := batch.New(batch.Options{Metrics: metrics.NewSet(), Maker: s, Pools: s, Log: klog.Logger{}, Now: func() time.Time { return now }})
		d := delegate.New(delegate.Options{Entry: "me", Domain: "a", Batcher: b, Siblings: s, Log: klog.Logger{}, Now: func() time.Time { return now }, OnLeaderLost: func() {}, Balance: enabled})
		updateTwoDomains(d)
		for i := range 12 {
			reported := protocol.Backlog{Servers: 6, CallTime: 100 * time.Millisecond, PiecesPerCallTime: 24}
			if i%2 == 0 {
				reported.Pieces, reported.Calls = []int{96}, 6 // 0.4 s in domain a
			}
			d.UpdateBacklogs(fmt.Sprint(string(rune('a'+i%2)), i), map[string]protocol.Backlog{"encode": reported})
		}
		for n := range 200 {
			o := order(1)
			o.Pieces[0].Request, o.Conf, o.DueAt = fmt.Sprint(n), s.Conf(""), now.Add(2*time.Second)
			_, _ = d.Make(context.Background(), o)
			if s.askedEntries[len(s.askedEntries)-1][:1] == "b" {
				moved++
			}
			// The fake sibling's answer reports a backlog; what was known stays.
			d.UpdateBacklogs(s.askedEntries[len(s.askedEntries)-1], map[string]protocol.Backlog{"encode": {Servers: 6, CallTime: 100 * time.Millisecond, PiecesPerCallTime: 24, Pieces: map[byte][]int{'a': {96}}[s.askedEntries[len(s.askedEntries)-1][0]]}})
		}
		return moved
	}
	c := qt.New(t)
	c.Assert(play(false), qt.Equals, 0)
	moved := play(true)
	c.Assert(moved > 150, qt.IsTrue, qt.Commentf("%d", moved)) // 0.4 s sooner
}

// The pieces that this entry has sent since a group's last report count in its estimate, or
// else a burst would all go to the group that looked idle.
func TestSentOrdersCountUntilReport(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	s := &fakeSystem{siblingReachable: true, siblingLost: true}
	b := batch.New(batch.Options{Metrics: metrics.NewSet(), Maker: s, Pools: s, Log: klog.Logger{}, Now: func() time.Time { return now }})
	c.Assert(b.Start(context.Background()), qt.IsNil)
	defer func() { c.Assert(b.Close(), qt.IsNil) }()
	d := delegate.New(delegate.Options{Entry: "me", Domain: "a", Batcher: b, Siblings: s, Log: klog.Logger{}, Now: func() time.Time { return now }, OnLeaderLost: func() {}, Balance: true})
	updateTwoDomains(d)
	report := func() {
		for i := range 12 {
			d.UpdateBacklogs(fmt.Sprint(string(rune('a'+i%2)), i), map[string]protocol.Backlog{"encode": {Servers: 6, CallTime: 100 * time.Millisecond, PiecesPerCallTime: 24}})
		}
	}
	report()
	conf := s.Conf("")
	before := d.Estimate(conf, "r", 0, 1)
	for n := range 30 {
		o := order(4)
		o.Pieces[0].Request, o.Conf, o.DueAt = fmt.Sprint(n), conf, now.Add(2*time.Second)
		_, _ = d.Make(context.Background(), o) // the connection is lost before an answer
	}
	c.Assert(d.Estimate(conf, "r", 0, 1) > before+100*time.Millisecond, qt.IsTrue)
	report()
	c.Assert(d.Estimate(conf, "r", 0, 1), qt.Equals, before)
}

// An order that would be late at its own group goes to another group with a shorter
// backlog.
func TestLateOrderGoesToAnotherGroup(t *testing.T) {
	c := qt.New(t)
	s := &fakeSystem{siblingReachable: true}
	d := newDelegate(t, s)
	updateTwoDomains(d)
	o := order(1)
	o.Conf = s.Conf("")
	o.Conf.Name = "encode"
	_, _ = d.Make(context.Background(), o) // the answer reports a call of 1 s in flight
	first := s.askedEntries[0]
	o.DueAt = time.Unix(1000, 0).Add(500 * time.Millisecond)
	_, _ = d.Make(context.Background(), o)
	c.Assert(s.askedEntries[1] != first, qt.IsTrue)
	o.DueAt = time.Unix(1010, 0)
	_, _ = d.Make(context.Background(), o)
	c.Assert(s.askedEntries[2], qt.Equals, first)
}
