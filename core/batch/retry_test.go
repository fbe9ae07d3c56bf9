package batch

import (
	"context"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	qt "github.com/frankban/quicktest"
	"k8s.io/klog/v2"

	"sequoialead"
	"sequoialead/core/pool"
	"sequoialead/core/proxyconfig"
)

// flakyMaker fails all pieces of its first calls. It is also a pool whose retry
// budget grows with each order.
type flakyMaker struct {
	failingCalls    int
	calls           []string
	orders          int
	retries         int
	retriesPerOrder int
}

func (f *flakyMaker) Make(_ context.Context, server sequoialead.Server, pieces []sequoialead.Piece) ([]sequoialead.PieceResult, sequoialead.ServerFeedback, error) {
	f.calls = append(f.calls, server.ID)
	results := make([]sequoialead.PieceResult, len(pieces))
	for i := range results {
		if len(f.calls) <= f.failingCalls {
			results[i].Reason = sequoialead.ReasonBackend
		} else {
			results[i].Handle = "h"
		}
	}
	return results, sequoialead.ServerFeedback{}, nil
}
func (f *flakyMaker) Free(context.Context, sequoialead.Server, []string) (sequoialead.ServerFeedback, error) {
	return sequoialead.ServerFeedback{}, nil
}
func (f *flakyMaker) RecordNotice(string, string, sequoialead.ServerNotice) {}
func (f *flakyMaker) FreeDelay(string) (time.Duration, bool)                { return 0, true }
func (f *flakyMaker) Conf(string) *proxyconfig.Pool {
	return &proxyconfig.Pool{Pieces: &proxyconfig.PieceLimits{MaxBatch: 4, RoomBytes: 100, CallTime: time.Minute}}
}
func (f *flakyMaker) LedServers(string) int         { return 1 }
func (f *flakyMaker) HasDomain(string, string) bool { return true }
func (f *flakyMaker) CountOrder(string)             { f.orders++ }
func (f *flakyMaker) TakeRetry(string) bool {
	f.retries++
	return f.retries <= f.retriesPerOrder*f.orders
}
func (f *flakyMaker) RecordFirstByte(string, *pool.Place)                            {}
func (f *flakyMaker) Release(string, *pool.Place, pool.End, *sequoialead.ServerLoad) {}
func (f *flakyMaker) Acquire(_ string, request pool.Request) (*pool.Place, sequoialead.Reason) {
	for _, id := range []string{"s1", "s2", "s3"} {
		if s := (sequoialead.Server{ID: id}); !request.Exclude[id] && request.HasCapacity(s, true) {
			return &pool.Place{Server: s, Led: true}, ""
		}
	}
	return nil, sequoialead.ReasonNone
}

// The pieces of an order that failed in one call are requested again together,
// and take one retry from a budget that grows with each order.
func TestFailedCallUsesOneRetryPerOrder(t *testing.T) {
	tests := []struct {
		desc            string
		failingCalls    int
		retriesPerOrder int
		reason          sequoialead.Reason
		calls           []string
		retries         int
	}{
		{"one call fails", 1, 1, "", []string{"s1", "s2"}, 1},
		{"two fail, and the budget has one retry", 2, 1, sequoialead.ReasonBackend, []string{"s1", "s2"}, 2},
		{"two fail", 2, 2, "", []string{"s1", "s2", "s3"}, 2},
		{"no budget", 1, 0, sequoialead.ReasonBackend, []string{"s1"}, 1},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			c := qt.New(t)
			f := &flakyMaker{failingCalls: test.failingCalls, retriesPerOrder: test.retriesPerOrder}
			b := New(Options{Metrics: metrics.NewSet(), Maker: f, Pools: f, Log: klog.Logger{}, Now: start})
			c.Assert(b.Start(context.Background()), qt.IsNil)
			results, reason := b.Make(context.Background(), order("a", 3, 0, time.Second).order)
			c.Assert(b.Close(), qt.IsNil)
			c.Assert(reason, qt.Equals, test.reason)
			c.Assert(f.calls, qt.DeepEquals, test.calls)
			c.Assert(f.orders, qt.Equals, 1)
			c.Assert(f.retries, qt.Equals, test.retries)
			whole := len(results) == 3 && !slices.ContainsFunc(results, func(r Result) bool { return r.Handle == "" })
			c.Assert(whole, qt.Equals, test.reason == "")
		})
	}
}

func TestBacklogReportsRoomUsed(t *testing.T) {
	c := qt.New(t)
	f := &flakyMaker{}
	b := New(Options{Metrics: metrics.NewSet(), Maker: f, Pools: f, Log: klog.Logger{}, Now: start})
	c.Assert(b.Backlog("p").RoomUsed, qt.Equals, 0.0)
	b.rooms.reserve("p", "s1", 60) // of 100 bytes of room
	b.rooms.reserve("other", "s2", 30)
	c.Assert(b.Backlog("p").RoomUsed, qt.Equals, 0.6)
}

func TestCallMetrics(t *testing.T) {
	c := qt.New(t)
	f, set := &flakyMaker{}, metrics.NewSet()
	b := New(Options{Metrics: set, Maker: f, Pools: f, Log: klog.Logger{}, Now: start})
	o := order("a", 3, 0, time.Second).order
	o.Pool = "p"
	_, reason := b.Make(context.Background(), o)
	c.Assert(reason, qt.Equals, sequoialead.Reason(""))
	c.Assert(b.Close(), qt.IsNil)
	var page strings.Builder
	set.WritePrometheus(&page)
	for _, line := range []string{`sequoialead_call_pieces_sum{pool="p"} 3`, `sequoialead_call_seconds_count{pool="p"} 1`, `sequoialead_order_wait_seconds_count{pool="p"} 1`} {
		c.Assert(page.String(), qt.Contains, line)
	}
}
