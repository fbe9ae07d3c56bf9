package batch

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	qt "github.com/frankban/quicktest"
	"k8s.io/klog/v2"

	"sequoialead"
	"sequoialead/core/pool"
	"sequoialead/core/proxyconfig"
	"sequoialead/core/retries"
)

// crowdedServers are backend servers that several entries lead at once. Each runs one call,
// keeps two waiting, and refuses further ones.
type crowdedServers struct {
	conf proxyconfig.Pool
	// silent is set if a refusal can't be told from a server that is not reached.
	silent bool

	mu       sync.Mutex
	ids      []string
	calls    map[string]int
	turns    map[string]chan struct{}
	refused  int
	arrivals int
}

func (s *crowdedServers) Make(_ context.Context, server sequoialead.Server, pieces []sequoialead.Piece) ([]sequoialead.PieceResult, sequoialead.ServerFeedback, error) {
	s.mu.Lock()
	orders := map[string]bool{}
	for _, p := range pieces {
		orders[p.Request] = true
	}
	s.arrivals += len(orders)
	if s.calls[server.ID] >= 3 {
		s.refused += len(orders)
		said := sequoialead.ServerFeedback{Refused: true, Load: &sequoialead.ServerLoad{Running: 1, Queued: 2, Slots: 1}}
		s.mu.Unlock()
		time.Sleep(2 * time.Millisecond)
		if s.silent {
			said = sequoialead.ServerFeedback{}
		}
		return nil, said, sequoialead.ErrUnsent.New("full")
	}
	s.calls[server.ID]++
	s.mu.Unlock()
	s.turns[server.ID] <- struct{}{}
	time.Sleep(s.conf.Pieces.CallTime + time.Duration(len(pieces))*s.conf.Pieces.ItemTime)
	<-s.turns[server.ID]
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls[server.ID]--
	results := make([]sequoialead.PieceResult, len(pieces))
	for i := range results {
		results[i].Handle = fmt.Sprintf("%s-%d", pieces[i].Request, pieces[i].Number)
	}
	load := &sequoialead.ServerLoad{Running: min(s.calls[server.ID], 1), Queued: max(s.calls[server.ID]-1, 0), Slots: 1}
	return results, sequoialead.ServerFeedback{Load: load}, nil
}

func (s *crowdedServers) Free(context.Context, sequoialead.Server, []string) (sequoialead.ServerFeedback, error) {
	return sequoialead.ServerFeedback{}, nil
}

// crowdedView is one entry's view of the servers, with its part of the retry budget.
type crowdedView struct {
	servers *crowdedServers
	entries int
	random  *rand.Rand

	mu       sync.Mutex
	inFlight map[string]int
	budget   *retries.Budget
	retried  int
}

func (v *crowdedView) Conf(string) *proxyconfig.Pool { return &v.servers.conf }
func (v *crowdedView) LedServers(string) int         { return len(v.servers.ids) }
func (v *crowdedView) HasDomain(string, string) bool { return true }
func (v *crowdedView) CountOrder(string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.budget.RecordRequest(time.Now())
}

func (v *crowdedView) TakeRetry(string) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if !v.budget.Allow(time.Now(), v.entries) {
		return false
	}
	v.budget.RecordRetry(time.Now())
	v.retried++
	return true
}

func (v *crowdedView) RecordFirstByte(string, *pool.Place)                   {}
func (v *crowdedView) RecordNotice(string, string, sequoialead.ServerNotice) {}
func (v *crowdedView) FreeDelay(string) (time.Duration, bool)                { return 0, true }
func (v *crowdedView) Release(_ string, place *pool.Place, _ pool.End, _ *sequoialead.ServerLoad) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.inFlight[place.Server.ID]--
}

func (v *crowdedView) Acquire(_ string, request pool.Request) (*pool.Place, sequoialead.Reason) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, i := range v.random.Perm(len(v.servers.ids)) {
		s := sequoialead.Server{ID: v.servers.ids[i]}
		if v.inFlight[s.ID] == 0 && !request.Exclude[s.ID] && request.HasCapacity(s, true) {
			v.inFlight[s.ID]++
			return &pool.Place{Server: s, Led: true}, ""
		}
	}
	return nil, sequoialead.ReasonFull
}

// crowd is what came of the orders that several entries had for the same servers.
type crowd struct {
	orders, failed, late, refused int
	allowed                       float64
}

// playCrowd lets a number of entries, all of which lead the same servers, make orders for
// 2 s.
func playCrowd(t *testing.T, leaders, entries int, silent bool) crowd {
	t.Helper()
	s := &crowdedServers{
		conf:  proxyconfig.Pool{Name: "p", Pieces: &proxyconfig.PieceLimits{MaxBatch: 10, RoomBytes: 1 << 30, CallTime: 240 * time.Millisecond, ItemTime: 10 * time.Millisecond}},
		calls: map[string]int{}, turns: map[string]chan struct{}{}, silent: silent,
	}
	for i := range 15 {
		id := fmt.Sprint("s", i)
		s.ids, s.turns[id] = append(s.ids, id), make(chan struct{}, 1)
	}
	const ratio, extra, rate = 0.2, 50, 100.0
	var batchers []*Batcher
	for i := range leaders {
		random := rand.New(rand.NewPCG(uint64(i), 1))
		v := &crowdedView{
			servers: s, entries: entries, random: random, inFlight: map[string]int{},
			budget: retries.New(retries.Options{Ratio: ratio, Extra: extra, Window: 10 * time.Second}),
		}
		b := New(Options{Metrics: metrics.NewSet(), Maker: s, Pools: v, Log: klog.Logger{}, Now: time.Now})
		b.random = func() float64 { return float64(i) / float64(leaders) }
		if silent {
			b.queue("p").ledServers = len(s.ids) // no slow start
		}
		qt.Assert(t, b.Start(context.Background()), qt.IsNil)
		batchers = append(batchers, b)
	}
	var mu sync.Mutex
	result := crowd{}
	var orders sync.WaitGroup
	random := rand.New(rand.NewPCG(1, 2))
	for begin := time.Now(); time.Since(begin) < 2*time.Second; time.Sleep(time.Duration(random.ExpFloat64() / rate * float64(time.Second))) {
		b := batchers[random.IntN(len(batchers))]
		o := Order{Pool: "p", Conf: &s.conf, DueAt: time.Now().Add(2 * time.Second), ExpiresAt: time.Now().Add(5 * time.Second)}
		for n := range 1 + random.IntN(6) {
			o.Pieces = append(o.Pieces, sequoialead.Piece{Request: fmt.Sprint(result.orders), Number: n, Bytes: 1000})
		}
		result.orders++
		orders.Go(func() {
			arrived := time.Now()
			results, reason := b.Make(context.Background(), o)
			b.Free(results)
			mu.Lock()
			defer mu.Unlock()
			switch {
			case reason != "":
				result.failed++
			case time.Since(arrived) > 2*time.Second:
				result.late++
			}
		})
	}
	orders.Wait()
	for _, b := range batchers {
		qt.Assert(t, b.Close(), qt.IsNil)
	}
	result.refused = s.refused
	result.allowed = ratio*float64(result.orders) + extra
	return result
}

// After a simultaneous restart several entries lead the same servers, and many of their calls
// are refused as full. Orders failed because of that, and took the whole retry budget. The
// figures without the change are those of servers whose refusals look like failures.
func TestRefusalsAtSharedServersFailNoOrder(t *testing.T) {
	for _, test := range []struct{ leaders, entries int }{{4, 30}, {30, 30}, {8, 100}, {100, 100}} {
		t.Run(fmt.Sprintf("%d of %d entries", test.leaders, test.entries), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				without, with := playCrowd(t, test.leaders, test.entries, true), playCrowd(t, test.leaders, test.entries, false)
				t.Logf("of %d orders: without %d failed, %d late, %d refused arrivals; with %d failed, %d late, %d refused arrivals (%.0f allowed)",
					with.orders, without.failed, without.late, without.refused, with.failed, with.late, with.refused, with.allowed)
				c.Check(float64(with.refused) <= with.allowed, qt.IsTrue)
				if test.leaders == test.entries {
					// Each entry has two orders or fewer a second, and less than two
					// retries.
					c.Check(with.failed < without.failed, qt.IsTrue)
					return
				}
				c.Check(with.failed, qt.Equals, 0)
			})
		})
	}
}

// An entry that has led its servers for a while without orders is no new leader when the first
// burst comes: reports of its backlog are asked for all the time.
func TestIdleLeaderIsNotNew(t *testing.T) {
	c := qt.New(t)
	f := &flakyMaker{}
	now := start()
	b := New(Options{Metrics: metrics.NewSet(), Maker: f, Pools: f, Log: klog.Logger{}, Now: func() time.Time { return now }})
	_ = b.Backlog("p")
	c.Assert(b.queue("p").contention.AnyShared(now), qt.IsTrue)
	now = now.Add(2 * time.Second)
	_ = b.Backlog("p")
	b.queue("p").updateLedServers(1, now)
	c.Assert(b.queue("p").contention.AnyShared(now), qt.IsFalse)
}
