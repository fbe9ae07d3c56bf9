package batch

import (
	"context"
	"slices"
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
)

// roomyMaker is a pool of backend servers that make pieces as far as their results fit. It
// counts what it is asked for.
type roomyMaker struct {
	servers []string
	// unled is set if other entries lead the servers.
	unled bool
	// conf is the pool's configuration, and room what a server really has in bytes.
	conf proxyconfig.PieceLimits
	room int

	mu sync.Mutex
	// held is the size of the results at each server.
	held map[string]int
	// calls holds the number of pieces of each call.
	calls []int
	busy  map[string]bool
}

func newRoomyMaker(servers ...string) *roomyMaker {
	return &roomyMaker{
		servers: servers, conf: proxyconfig.PieceLimits{MaxBatch: 4, RoomBytes: 100, CallTime: 200 * time.Millisecond}, room: 100,
		held: map[string]int{}, busy: map[string]bool{},
	}
}

func (m *roomyMaker) Make(_ context.Context, server sequoialead.Server, pieces []sequoialead.Piece) ([]sequoialead.PieceResult, sequoialead.ServerFeedback, error) {
	time.Sleep(m.conf.CallTime)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.calls = append(m.calls, len(pieces))
	results := make([]sequoialead.PieceResult, len(pieces))
	for i, p := range pieces {
		if m.held[server.ID]+p.Bytes > m.room {
			results[i].Reason = sequoialead.ReasonRoom
			continue
		}
		m.held[server.ID] += p.Bytes
		results[i].Handle = "h"
	}
	return results, sequoialead.ServerFeedback{}, nil
}

// callSizes returns the number of pieces of each call so far. Calls may be in flight.
func (m *roomyMaker) callSizes() []int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Clone(m.calls)
}

// Free frees all results at a server.
func (m *roomyMaker) Free(_ context.Context, server sequoialead.Server, _ []string) (sequoialead.ServerFeedback, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.held[server.ID] = 0
	return sequoialead.ServerFeedback{}, nil
}
func (m *roomyMaker) RecordNotice(string, string, sequoialead.ServerNotice) {}
func (m *roomyMaker) FreeDelay(string) (time.Duration, bool)                { return 0, true }
func (m *roomyMaker) Conf(string) *proxyconfig.Pool {
	m.mu.Lock()
	defer m.mu.Unlock()
	conf := m.conf
	return &proxyconfig.Pool{Pieces: &conf}
}

func (m *roomyMaker) LedServers(string) int {
	if m.unled {
		return 0
	}
	return len(m.servers)
}
func (m *roomyMaker) HasDomain(string, string) bool       { return true }
func (m *roomyMaker) CountOrder(string)                   {}
func (m *roomyMaker) TakeRetry(string) bool               { return true }
func (m *roomyMaker) RecordFirstByte(string, *pool.Place) {}
func (m *roomyMaker) Release(_ string, place *pool.Place, _ pool.End, _ *sequoialead.ServerLoad) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.busy[place.Server.ID] = false
}

func (m *roomyMaker) Acquire(_ string, request pool.Request) (*pool.Place, sequoialead.Reason) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, id := range m.servers {
		s := sequoialead.Server{ID: id}
		if !m.busy[id] && !request.Exclude[id] && request.HasCapacity(s, !m.unled) {
			m.busy[id] = true
			return &pool.Place{Server: s, Led: !m.unled}, ""
		}
	}
	return nil, sequoialead.ReasonFull
}

// sized returns an order for pieces of the given size, which expires 5 s from now.
func sized(id string, pieces, bytes int) Order {
	o := order(id, pieces, 0, 0).order
	o.DueAt, o.ExpiresAt = time.Now().Add(time.Second), time.Now().Add(5*time.Second)
	for i := range o.Pieces {
		o.Pieces[i].Bytes = bytes
	}
	return o
}

func newRoomBatcher(t *testing.T, m *roomyMaker) *Batcher {
	b := New(Options{Metrics: metrics.NewSet(), Maker: m, Pools: m, Log: klog.Logger{}, Now: time.Now})
	qt.Assert(t, b.Start(context.Background()), qt.IsNil)
	t.Cleanup(func() { qt.Assert(t, b.Close(), qt.IsNil) })
	return b
}

// A piece larger than the configured room of its pool ended the process of its leader, with a
// call for no pieces. It gets a server of its own, as the size is approximate, and is refused
// if the server has no room for it.
func TestPieceLargerThanTheRoom(t *testing.T) {
	tests := []struct {
		desc   string
		bytes  int
		pieces int
		// configured is the room in the configuration, and room that of the servers.
		configured int
		room       int
		unled      bool
		reason     sequoialead.Reason
	}{
		{"the servers have no room", 160, 1, 100, 100, false, sequoialead.ReasonRoom},
		{"several pieces", 160, 3, 100, 100, false, sequoialead.ReasonRoom},
		{"more pieces than a call takes", 160, 9, 100, 100, false, sequoialead.ReasonRoom},
		{"much larger", 1 << 60, 9, 100, 100, false, sequoialead.ReasonRoom},
		{"no room at all is configured", 160, 1, 0, 100, false, sequoialead.ReasonRoom},
		{"another entry leads the servers", 160, 1, 100, 100, true, sequoialead.ReasonRoom},
		{"the servers have more room", 160, 1, 100, 200, false, ""},
		{"the servers have more room, for one piece each", 160, 2, 100, 200, false, ""},
		{"another entry leads the servers, which have more room", 160, 1, 100, 200, true, ""},
		{"larger than the part of the room that this entry uses", 60, 1, 100, 100, true, ""},
		{"a whole order larger than that part", 30, 2, 100, 100, true, ""},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				m := newRoomyMaker("s1", "s2")
				m.conf.RoomBytes, m.room, m.unled = test.configured, test.room, test.unled
				b := newRoomBatcher(t, m)
				begin := time.Now()
				results, reason := b.Make(context.Background(), sized("large", test.pieces, test.bytes))
				c.Assert(reason, qt.Equals, test.reason)
				c.Assert(time.Since(begin) <= 2*m.conf.CallTime, qt.IsTrue, qt.Commentf("%s", time.Since(begin)))
				c.Assert(slices.Contains(m.callSizes(), 0), qt.IsFalse)
				c.Assert(len(results), qt.Equals, map[bool]int{true: test.pieces}[reason == ""])
			})
		})
	}
}

// Pieces that are too large for their servers don't hold up those that fit, and are refused
// without a call once a server has refused one. After a while, and with another room, they
// are tried again.
func TestRefusedSizeIsRemembered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		m := newRoomyMaker("s1", "s2")
		b := newRoomBatcher(t, m)
		make := func(id string, bytes int) (sequoialead.Reason, time.Duration) {
			begin := time.Now()
			results, reason := b.Make(context.Background(), sized(id, 1, bytes))
			b.Free(results)
			synctest.Wait()
			return reason, time.Since(begin)
		}
		reason, _ := make("large", 160)
		c.Assert(reason, qt.Equals, sequoialead.ReasonRoom)
		calls := len(m.callSizes())
		for _, bytes := range []int{160, 400} {
			reason, took := make("again", bytes)
			c.Assert(reason, qt.Equals, sequoialead.ReasonRoom)
			c.Assert(took, qt.Equals, time.Duration(0))
		}
		c.Assert(m.callSizes(), qt.HasLen, calls)
		for range 5 {
			reason, took := make("small", 40)
			c.Assert(reason, qt.Equals, sequoialead.Reason(""))
			c.Assert(took, qt.Equals, m.conf.CallTime)
			time.Sleep(100 * time.Millisecond)
		}
		reason, _ = make("less large", 120)
		c.Assert(reason, qt.Equals, sequoialead.ReasonRoom)

		m.mu.Lock()
		m.room = 200 // the configuration doesn't tell
		m.mu.Unlock()
		reason, _ = make("too soon", 160)
		c.Assert(reason, qt.Equals, sequoialead.ReasonRoom)
		time.Sleep(refusedSizePeriod)
		reason, _ = make("later", 160)
		c.Assert(reason, qt.Equals, sequoialead.Reason(""))

		m.mu.Lock()
		m.room = 150
		m.mu.Unlock()
		time.Sleep(100 * time.Millisecond)
		reason, _ = make("large", 160)
		c.Assert(reason, qt.Equals, sequoialead.ReasonRoom)
		m.mu.Lock()
		m.room, m.conf.RoomBytes = 300, 300
		m.mu.Unlock()
		reason, _ = make("fits now", 160)
		c.Assert(reason, qt.Equals, sequoialead.Reason(""))
	})
}

// Orders that wait for an empty server don't hold up others, however many they are.
func TestLargePiecesWaitBehindOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		m := newRoomyMaker("s1")
		b := newRoomBatcher(t, m)
		kept, reason := b.Make(context.Background(), sized("kept", 1, 10))
		c.Assert(reason, qt.Equals, sequoialead.Reason(""))
		var waiting sync.WaitGroup
		for range 2 * maxOrdersTried {
			waiting.Go(func() {
				_, reason := b.Make(context.Background(), sized("large", 1, 160))
				c.Check(reason, qt.Equals, sequoialead.ReasonLate)
			})
		}
		synctest.Wait()
		c.Assert(b.Backlog("").Pieces, qt.HasLen, 0)
		begin := time.Now()
		small, reason := b.Make(context.Background(), sized("small", 1, 10))
		c.Assert(reason, qt.Equals, sequoialead.Reason(""))
		c.Assert(time.Since(begin) <= m.conf.CallTime+placeRetryInterval, qt.IsTrue, qt.Commentf("%s", time.Since(begin)))
		waiting.Wait()
		b.Free(append(kept, small...))
		synctest.Wait()
	})
}
