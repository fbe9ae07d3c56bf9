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
	"sequoialead/core/frame"
	"sequoialead/core/members"
	"sequoialead/io/sibling"
)

// handler answers orders for a pool named "held" only once it is let go.
type handler struct {
	let     chan struct{}
	mu      sync.Mutex
	dropped []frame.Result
	heard   map[string]frame.Backlog
}

func (h *handler) Serve(ctx context.Context, order frame.Order, read func()) frame.Made {
	read()
	if order.Pool == "held" {
		select {
		case <-h.let:
		case <-ctx.Done():
		}
	}
	made := frame.Made{ID: order.ID}
	for range order.Pieces {
		made.Results = append(made.Results, frame.Result{Handle: order.Pool, Maker: "s"})
	}
	return made
}

func (h *handler) Dropped(results []frame.Result) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.dropped = append(h.dropped, results...)
}

func (h *handler) Backlogs() map[string]frame.Backlog {
	return map[string]frame.Backlog{"a": {Calls: 3, Pieces: []int{0, 5}}}
}

func (h *handler) Tell(ask frame.Ask) frame.News {
	return frame.News{
		Known: ask.Topic == sequoialead.TopicServers, Next: ask.From + 1, Age: time.Second,
		Items: []sequoialead.Item{{Key: "k", Value: []byte("v"), Offset: ask.From}},
	}
}

func (h *handler) Heard(entry string, backlogs map[string]frame.Backlog) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if entry == "far" {
		h.heard = backlogs
	}
}

func (h *handler) count() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.dropped)
}

// couple returns an entry that is connected with another, and that other one.
func couple(t *testing.T) (near, far *sibling.Siblings, h *handler) {
	t.Helper()
	h = &handler{let: make(chan struct{})}
	start := func(name string) *sibling.Siblings {
		s := sibling.New(sibling.Options{Name: name, Handler: h, Log: klog.Logger{}, Changed: func() {}})
		qt.Assert(t, s.Start(context.Background()), qt.IsNil)
		t.Cleanup(func() { _ = s.Close() })
		return s
	}
	far = start("far")
	mux := goji.NewMux()
	far.Mount(mux)
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	near = start("near")
	near.Update([]members.Entry{{Name: "far", Addr: netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://"))}})
	until(t, "the connection", func() bool { return near.Reach("far") })
	return near, far, h
}

func until(t *testing.T, what string, done func() bool) {
	t.Helper()
	for range 2000 {
		if done() {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Fatalf("%s does not happen", what)
}

func order(pool string) frame.Order {
	return frame.Order{Pool: pool, Pieces: nil, Due: time.Second, Until: time.Second}
}

func TestOrderIsMadeByTheOther(t *testing.T) {
	c := qt.New(t)
	near, _, h := couple(t)
	read := make(chan struct{})
	_, ok := near.Order(context.Background(), "far", order("a"), func() { close(read) })
	c.Assert(ok, qt.IsTrue)
	select {
	case <-read:
	default: // the answer may come first, which then counts as read
	}
	c.Assert(near.Drop("far", []frame.Result{{Handle: "a"}}), qt.IsTrue)
	until(t, "the drop", func() bool { return h.count() == 1 })
	_, ok = near.Order(context.Background(), "nobody", order("a"), nil)
	c.Assert(ok, qt.IsFalse)
}

func TestRecordsAreTold(t *testing.T) {
	c := qt.New(t)
	near, far, _ := couple(t)
	news, ok := near.Ask(context.Background(), "far", frame.Ask{Topic: sequoialead.TopicServers, From: 7})
	c.Assert(ok && news.Known, qt.IsTrue)
	c.Assert(news.Items, qt.DeepEquals, []sequoialead.Item{{Key: "k", Value: []byte("v"), Offset: 7}})
	c.Assert(news.Next, qt.Equals, uint64(8))
	c.Assert(news.Age, qt.Equals, time.Second)
	c.Assert(far.Close(), qt.IsNil)
	until(t, "the loss", func() bool { return near.Lost("far") })
	_, ok = near.Ask(context.Background(), "far", frame.Ask{Topic: sequoialead.TopicServers, From: 7})
	c.Assert(ok, qt.IsFalse)
}

func TestLostConnectionEndsOrders(t *testing.T) {
	c := qt.New(t)
	near, far, h := couple(t)
	ended := make(chan bool, 1)
	go func() {
		_, ok := near.Order(context.Background(), "far", order("held"), nil)
		ended <- ok
	}()
	_, ok := near.Order(context.Background(), "far", order("a"), nil) // is behind the other one
	c.Assert(ok, qt.IsTrue)
	c.Assert(far.Close(), qt.IsNil)
	c.Assert(<-ended, qt.IsFalse)
	until(t, "the loss", func() bool { return near.Lost("far") && !near.Reach("far") })
	close(h.let)
}

func TestEntryThatLeavesGetsNoOrders(t *testing.T) {
	near, far, _ := couple(t)
	far.Leave()
	until(t, "the news", func() bool { return !near.Reach("far") && near.Lost("far") })
	_, ok := near.Order(context.Background(), "far", order("a"), nil)
	qt.Assert(t, ok, qt.IsFalse)
}

// What waits at an entry is known without an order to it.
func TestBacklogsAreToldWithoutOrders(t *testing.T) {
	_, far, h := couple(t)
	until(t, "the backlog", func() bool {
		h.mu.Lock()
		defer h.mu.Unlock()
		return h.heard["a"].Calls == 3 && len(h.heard["a"].Pieces) == 2
	})
	qt.Assert(t, far.Close(), qt.IsNil)
}

func TestCancelledOrderEndsAtTheOther(t *testing.T) {
	near, _, _ := couple(t)
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(20*time.Millisecond, cancel)
	_, ok := near.Order(ctx, "far", order("held"), nil)
	qt.Assert(t, ok, qt.IsFalse)
	// Close at the end waits for the order at the other entry, which the
	// cancellation ends.
}
