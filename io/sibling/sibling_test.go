package sibling_test

import (
	"context"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"goji.io"
	"k8s.io/klog/v2"

	"sequoialead"
	"sequoialead/core/membership"
	"sequoialead/core/protocol"
	"sequoialead/fake/proxy"
	"sequoialead/io/sibling"
)

// handler is a fake that answers orders at once, but those for the pool
// "held" only after release is closed or the order is cancelled.
type handler struct {
	release  chan struct{}
	mu       sync.Mutex
	released []protocol.Result
	backlogs map[string]protocol.Backlog
}

func (h *handler) Serve(ctx context.Context, order protocol.Order, onRead func()) protocol.OrderResult {
	onRead()
	if order.Pool == "held" {
		select {
		case <-h.release:
		case <-ctx.Done():
		}
	}
	result := protocol.OrderResult{ID: order.ID}
	for range order.Pieces {
		result.Results = append(result.Results, protocol.Result{Handle: order.Pool, Server: "s"})
	}
	return result
}

func (h *handler) ReleaseResults(results []protocol.Result) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.released = append(h.released, results...)
}

func (h *handler) Backlogs() map[string]protocol.Backlog {
	return map[string]protocol.Backlog{"a": {Calls: 3, Pieces: []int{0, 5}}}
}

func (h *handler) RecordsSince(request protocol.RecordsRequest) protocol.RecordsResponse {
	return protocol.RecordsResponse{
		Complete: request.Topic == sequoialead.TopicServers, Next: request.From + 1, Age: time.Second,
		Items: []sequoialead.Item{{Key: "k", Value: []byte("v"), Offset: request.From}},
	}
}

func (h *handler) UpdateBacklogs(entry string, backlogs map[string]protocol.Backlog) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if entry == "far" {
		h.backlogs = backlogs
	}
}

func (h *handler) releasedCount() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.released)
}

// newConnectedPair returns two entries, the first of which has connected to
// the second, and the handler that both use.
func newConnectedPair(t *testing.T) (near, far *sibling.Siblings, h *handler) {
	t.Helper()
	near, far, h, _ = newProxiedPair(t, 0)
	return near, far, h
}

// newProxiedPair is like newConnectedPair, with a proxy between the entries.
func newProxiedPair(t *testing.T, readTimeout time.Duration) (near, far *sibling.Siblings, h *handler, between *proxy.Proxy) {
	t.Helper()
	h = &handler{release: make(chan struct{})}
	start := func(name string) *sibling.Siblings {
		s := sibling.New(sibling.Options{Name: name, Handler: h, Log: klog.Logger{}, OnChange: func() {}, ReadTimeout: readTimeout})
		qt.Assert(t, s.Start(context.Background()), qt.IsNil)
		t.Cleanup(func() { _ = s.Close() })
		return s
	}
	far = start("far")
	mux := goji.NewMux()
	far.Mount(mux)
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	between, err := proxy.New(netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://")))
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, between.Start(context.Background()), qt.IsNil)
	t.Cleanup(func() { _ = between.Close() })
	near = start("near")
	near.SetEntries([]membership.Member{{Name: "far", Addr: between.Addr()}})
	waitFor(t, "the connection", func() bool { return near.EnsureConnected("far") })
	return near, far, h, between
}

func waitFor(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for range 2000 {
		if condition() {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Fatalf("timed out waiting for %s", what)
}

func newOrder(pool string) protocol.Order {
	return protocol.Order{Pool: pool, Pieces: nil, DueIn: time.Second, ExpiresIn: time.Second}
}

func TestOrderIsServedByRemote(t *testing.T) {
	c := qt.New(t)
	near, _, h := newConnectedPair(t)
	read := make(chan struct{})
	_, ok := near.Order(context.Background(), "far", newOrder("a"), func() { close(read) })
	c.Assert(ok, qt.IsTrue)
	select {
	case <-read:
	default: // if the result comes first, it implies that the inputs were read
	}
	c.Assert(near.ReleaseResults("far", []protocol.Result{{Handle: "a"}}), qt.IsTrue)
	waitFor(t, "the release", func() bool { return h.releasedCount() == 1 })
	_, ok = near.Order(context.Background(), "nobody", newOrder("a"), nil)
	c.Assert(ok, qt.IsFalse)
}

func TestQueryReturnsRecords(t *testing.T) {
	c := qt.New(t)
	near, far, _ := newConnectedPair(t)
	answer, ok := near.QueryRecords(context.Background(), "far", protocol.RecordsRequest{Topic: sequoialead.TopicServers, From: 7})
	c.Assert(ok && answer.Complete, qt.IsTrue)
	c.Assert(answer.Items, qt.DeepEquals, []sequoialead.Item{{Key: "k", Value: []byte("v"), Offset: 7}})
	c.Assert(answer.Next, qt.Equals, uint64(8))
	c.Assert(answer.Age, qt.Equals, time.Second)
	c.Assert(far.Close(), qt.IsNil)
	waitFor(t, "the lost connection", func() bool { return near.Unavailable("far") })
	_, ok = near.QueryRecords(context.Background(), "far", protocol.RecordsRequest{Topic: sequoialead.TopicServers, From: 7})
	c.Assert(ok, qt.IsFalse)
}

func TestLostConnectionFailsPendingOrders(t *testing.T) {
	c := qt.New(t)
	near, far, h := newConnectedPair(t)
	ended := make(chan bool, 1)
	go func() {
		_, ok := near.Order(context.Background(), "far", newOrder("held"), nil)
		ended <- ok
	}()
	_, ok := near.Order(context.Background(), "far", newOrder("a"), nil) // when it is answered, the order for "held" has usually been sent too
	c.Assert(ok, qt.IsTrue)
	c.Assert(far.Close(), qt.IsNil)
	c.Assert(<-ended, qt.IsFalse)
	waitFor(t, "the lost connection", func() bool { return near.Unavailable("far") && !near.EnsureConnected("far") })
	close(h.release)
}

// An entry that is silent for a while gets no new orders, but the work that it has is
// not started again elsewhere.
func TestSilentEntryKeepsItsOrders(t *testing.T) {
	c := qt.New(t)
	near, _, h, between := newProxiedPair(t, time.Minute)
	result := make(chan bool, 1)
	go func() {
		_, ok := near.Order(context.Background(), "far", newOrder("held"), nil)
		result <- ok
	}()
	between.SetFault(proxy.Fault{Cut: true})
	waitFor(t, "the silence", func() bool { return !near.EnsureConnected("far") })
	c.Assert(near.Unavailable("far"), qt.IsTrue)
	_, ok := near.Order(context.Background(), "far", newOrder("a"), nil)
	c.Assert(ok, qt.IsFalse)
	between.SetFault(proxy.Fault{})
	waitFor(t, "a sign of life", func() bool { return near.EnsureConnected("far") })
	c.Assert(near.Unavailable("far"), qt.IsFalse)
	close(h.release)
	c.Assert(<-result, qt.IsTrue)
}

func TestLeavingEntryGetsNoOrders(t *testing.T) {
	near, far, _ := newConnectedPair(t)
	far.Drain()
	waitFor(t, "the entry to be known as leaving", func() bool { return !near.EnsureConnected("far") && near.Unavailable("far") })
	_, ok := near.Order(context.Background(), "far", newOrder("a"), nil)
	qt.Assert(t, ok, qt.IsFalse)
}

// An entry learns the backlogs of another one without sending it an order.
func TestHeartbeatsCarryBacklogs(t *testing.T) {
	_, far, h := newConnectedPair(t)
	waitFor(t, "the backlog", func() bool {
		h.mu.Lock()
		defer h.mu.Unlock()
		return h.backlogs["a"].Calls == 3 && len(h.backlogs["a"].Pieces) == 2
	})
	qt.Assert(t, far.Close(), qt.IsNil)
}

func TestCancelEndsRemoteOrder(t *testing.T) {
	near, _, _ := newConnectedPair(t)
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(20*time.Millisecond, cancel)
	_, ok := near.Order(ctx, "far", newOrder("held"), nil)
	qt.Assert(t, ok, qt.IsFalse)
	// The Close in the cleanup waits for the order at the far entry. It would
	// also end an order that the cancellation has not ended.
}
