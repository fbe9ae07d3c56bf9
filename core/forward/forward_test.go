package forward_test

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	qt "github.com/frankban/quicktest"
	"go.uber.org/goleak"
	"k8s.io/klog/v2"

	"sequoialead"
	"sequoialead/core/forward"
	"sequoialead/core/lease"
	"sequoialead/core/membership"
	"sequoialead/core/pool"
	"sequoialead/core/protocol"
	"sequoialead/core/proxyconfig"
	"sequoialead/core/quarantine"
	"sequoialead/core/retries"
	"sequoialead/core/serverset"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// fakePlatform provides everything that a forwarder depends on, without a network.
type fakePlatform struct {
	mu      sync.Mutex
	now     time.Time
	config  *proxyconfig.Config
	lease   *lease.Lease
	servers []sequoialead.Server
	// script holds the results of the attempts, in order; see Exchange. Further
	// attempts end with "done".
	script      []string
	attempts    []sequoialead.ProxyAttempt
	made        []sequoialead.Piece
	freedCount  int
	callsToLose int
	// admission is the setting of the same name, and answerTime the time that servers
	// take for an answer.
	admission  bool
	answerTime time.Duration
	// onMake is called at the start of each Make; it may be nil.
	onMake func()
	// quarantine is that of the forwarder made last.
	quarantine *quarantine.Quarantine
	// notices holds what each server says in all its answers. arrivals counts by server and
	// kind of sender what reached it.
	notices  map[string]sequoialead.ServerNotice
	arrivals map[string]int
}

func newFakePlatform() *fakePlatform {
	w := &fakePlatform{now: time.Unix(1000, 0), lease: lease.New(), arrivals: map[string]int{}}
	w.lease.Renew(w.now)
	w.config = &proxyconfig.Config{
		Version:   1,
		Routes:    map[string][]*proxyconfig.Route{},
		Pools:     map[string]*proxyconfig.Pool{"desk": {Name: "desk", MaxConns: 100}, "draft": {Name: "draft", Slots: 8, MemoryTokens: 1000, MaxConns: 100}, "encode": {Name: "encode", MaxConns: 100, Pieces: &proxyconfig.PieceLimits{MaxBatch: 4, CallTime: time.Millisecond, RoomBytes: 1000}}},
		Customers: map[string]*proxyconfig.Customer{"key": {Name: "mere", Priority: -1}},
	}
	for i := range 3 {
		for _, p := range []string{"desk", "draft", "encode"} {
			w.servers = append(w.servers, sequoialead.Server{ID: fmt.Sprintf("%s-%d", p, i), Pool: p, Domain: "a", Slots: 4, Addr: netip.MustParseAddrPort("127.0.0.1:1")})
		}
	}
	return w
}

func (w *fakePlatform) setRoute(r proxyconfig.Route) {
	r.Host, r.Prefix = "h", "/"
	if r.Objective == 0 {
		r.Objective = time.Second
	}
	if r.MaxAttempts == 0 {
		r.MaxAttempts = 3
	}
	w.config.Routes["h"] = []*proxyconfig.Route{&r}
}

func (w *fakePlatform) Config() *proxyconfig.Config {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.config
}

func (w *fakePlatform) Lease() *lease.Lease { return w.lease }

func (w *fakePlatform) ServersLease() *lease.Lease { return w.lease }
func (w *fakePlatform) EntryCount(time.Time) int   { return 1 }
func (w *fakePlatform) Members(time.Time) []membership.Member {
	return []membership.Member{{Name: "e", Domain: "a"}}
}
func (w *fakePlatform) Usable(time.Time) []serverset.Member {
	w.mu.Lock()
	defer w.mu.Unlock()
	var list []serverset.Member
	for _, s := range w.servers {
		list = append(list, serverset.Member{Server: s})
	}
	return list
}

// Exchange ends an attempt with the next result of the script.
func (w *fakePlatform) Exchange(ctx context.Context, attempt sequoialead.ProxyAttempt) (*sequoialead.Response, error) {
	w.mu.Lock()
	w.attempts = append(w.attempts, attempt)
	w.arrivals["send "+attempt.Server.ID]++
	notice := w.notices[attempt.Server.ID]
	step := "done"
	if len(w.script) > 0 {
		step, w.script = w.script[0], w.script[1:]
	}
	w.mu.Unlock()
	time.Sleep(w.answerTime)
	r := &sequoialead.Response{Status: http.StatusOK, Header: http.Header{}, Stamped: true, Body: &fakeBody{err: io.EOF}, Notice: notice}
	lost := sequoialead.ErrLost.New("lost")
	switch step {
	case "done":
		r.Body = &fakeBody{parts: []string{"whole"}, err: io.EOF}
	case "unsent":
		return nil, sequoialead.ErrUnsent.New("no connection")
	case "lost":
		return nil, lost
	case "shed":
		r.Status, r.NotRun = http.StatusServiceUnavailable, true
	case "shed-endless", "shed-silent":
		r.Status, r.NotRun, r.Body = http.StatusServiceUnavailable, true, newEndlessBody(step == "shed-silent")
	case "failed-endless":
		r.Status, r.Body = http.StatusInternalServerError, newEndlessBody(false)
	case "event-endless":
		r.Body = newEndlessBody(false)
	case "elsewhere":
		r.Status, r.Misdirected = http.StatusMisdirectedRequest, true
	case "gone":
		r.Status, r.NotRun = http.StatusConflict, true
	case "failed":
		r.Status = http.StatusInternalServerError
	case "unproven-full", "unproven-elsewhere":
		r.Status = map[string]int{"unproven-full": http.StatusServiceUnavailable, "unproven-elsewhere": http.StatusMisdirectedRequest}[step]
	case "odd":
		r.Stamped = false
	case "cut":
		r.Body = &fakeBody{parts: []string{"par"}, err: lost}
	case "hang":
		<-ctx.Done()
		return nil, lost
	case "events-hang":
		r.Body = &hangingBody{ctx: ctx, first: events("", 1)[0]}
	case "events":
		r.Body = &fakeBody{parts: events(attempt.LastEventID, 4), err: io.EOF}
	case "events-inside":
		r.Body = &fakeBody{parts: append(events(attempt.LastEventID, 2), "id: 3\nda"), err: io.EOF}
	case "closed-events":
		r.CloseDelimited = true
		r.Body = &fakeBody{parts: events(attempt.LastEventID, 4), err: io.EOF}
	case "closed-inside":
		r.CloseDelimited = true
		r.Body = &fakeBody{parts: append(events(attempt.LastEventID, 2), "id: 3\nda"), err: io.EOF}
	case "closed-empty":
		r.CloseDelimited = true
	case "closed-whole":
		r.CloseDelimited = true
		r.Body = &fakeBody{parts: []string{"whole"}, err: io.EOF}
	case "text":
		r.Header.Set("Content-Type", "application/json")
		r.Body = &fakeBody{parts: []string{"{}"}, err: io.EOF}
	case "broken":
		r.Body = &fakeBody{parts: append(events(attempt.LastEventID, 2), "id: 3\nda"), err: lost}
	}
	return r, nil
}

// events returns the events that follow the event with the ID after, up to the ID
// last.
func events(after string, last int) []string {
	first := 1
	if after != "" {
		_, _ = fmt.Sscan(after, &first)
		first++
	}
	var list []string
	for n := first; n <= last; n++ {
		list = append(list, fmt.Sprintf("id: %d\ndata: x\n\n", n))
	}
	return list
}

// Make makes pieces, unless the call is to be lost.
func (w *fakePlatform) Make(_ context.Context, server sequoialead.Server, pieces []sequoialead.Piece) ([]sequoialead.PieceResult, sequoialead.ServerFeedback, error) {
	if w.onMake != nil {
		w.onMake()
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.arrivals["make "+server.ID]++
	said := sequoialead.ServerFeedback{Notice: w.notices[server.ID]}
	if said.Notice.HoldOff > 0 {
		return nil, said, sequoialead.ErrUnsent.New("refused")
	}
	if w.callsToLose > 0 {
		w.callsToLose--
		return nil, sequoialead.ServerFeedback{}, sequoialead.ErrLost.New("lost")
	}
	results := make([]sequoialead.PieceResult, len(pieces))
	for i, p := range pieces {
		w.made = append(w.made, p)
		results[i].Handle = fmt.Sprintf("%s/%s-%d-%d-%d", server.ID, p.Request, p.Stage, p.Number, len(w.made))
	}
	return results, said, nil
}

// Free counts the results that are freed.
func (w *fakePlatform) Free(_ context.Context, server sequoialead.Server, handles []string) (sequoialead.ServerFeedback, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.freedCount += len(handles)
	w.arrivals["free "+server.ID]++
	return sequoialead.ServerFeedback{Notice: w.notices[server.ID]}, nil
}

// noSiblings stands for an entry that can reach no other entry.
type noSiblings struct{}

func (noSiblings) SetEntries([]membership.Member) {}
func (noSiblings) EnsureConnected(string) bool    { return false }
func (noSiblings) Unavailable(string) bool        { return false }
func (noSiblings) Order(context.Context, string, protocol.Order, func()) (protocol.OrderResult, bool) {
	return protocol.OrderResult{}, false
}
func (noSiblings) ReleaseResults(string, []protocol.Result) bool { return false }

// recordingSink records an answer.
type recordingSink struct {
	status int
	text   strings.Builder
}

func (c *recordingSink) Head(status int, _ http.Header, _ int64) { c.status = status }
func (c *recordingSink) Write(p []byte) error                    { c.text.Write(p); return nil }
func (c *recordingSink) Flush() error                            { return nil }

func (w *fakePlatform) newForwarder(t *testing.T) *forward.Forwarder { return w.newForwarderTo(t, w) }

// newForwarderTo returns a forwarder that sends requests through the given exchanger.
func (w *fakePlatform) newForwarderTo(t *testing.T, exchanger sequoialead.Exchanger) *forward.Forwarder {
	return w.newForwarderWith(t, exchanger, w.clock)
}

// newForwarderOnClock returns a forwarder that goes by the given clock.
func (w *fakePlatform) newForwarderOnClock(t *testing.T, now func() time.Time) *forward.Forwarder {
	return w.newForwarderWith(t, w, now)
}

func (w *fakePlatform) newForwarderWith(t *testing.T, exchanger sequoialead.Exchanger, now func() time.Time) *forward.Forwarder {
	w.quarantine = newQuarantine(now)
	f := forward.New(forward.Options{
		Knowledge: w, Exchanger: exchanger, Maker: w, Siblings: noSiblings{}, Quarantine: w.quarantine, Log: klog.Logger{}, Metrics: metrics.NewSet(), Now: now,
		Random: rand.New(rand.NewPCG(1, 1)), Entry: "e", Domain: "a",
		Limits: forward.Limits{Revoke: 5 * time.Second, Limits: pool.Limits{
			Retries: retries.Options{Ratio: 0.2, Extra: 100, Window: 10 * time.Second}, ColdFactor: 1.5, ColdSlack: 5, MaxHold: time.Minute,
		}},
		DrainNotice: 2 * time.Second, Admission: w.admission, NextRead: func() time.Duration { return 400 * time.Millisecond },
	})
	qt.Assert(t, f.Start(context.Background()), qt.IsNil)
	t.Cleanup(func() { qt.Assert(t, f.Close(), qt.IsNil) })
	f.Refresh()
	return f
}

// clock returns the time, which the test moves with advance.
func (w *fakePlatform) clock() time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.now
}

// advance moves the clock, and renews the lease.
func (w *fakePlatform) advance(d time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.now = w.now.Add(d)
	w.lease.Renew(w.now)
}

func newQuarantine(now func() time.Time) *quarantine.Quarantine {
	return quarantine.New(quarantine.Options{Entry: "e", Metrics: metrics.NewSet(), Now: now, Wall: now})
}

func newProxyRequest(w *fakePlatform) *sequoialead.ProxyRequest {
	return &sequoialead.ProxyRequest{ID: "r1", Method: "POST", Target: "/x", Host: "h", ArrivedAt: w.now, CallerTimeout: 10 * time.Second, Key: "key"}
}

func TestRetriesAndResults(t *testing.T) {
	safe := proxyconfig.Route{Kind: proxyconfig.KindSafe}
	unsafe := proxyconfig.Route{Kind: proxyconfig.KindUnsafe}
	stream := proxyconfig.Route{Kind: proxyconfig.KindStream}
	resumable := proxyconfig.Route{Kind: proxyconfig.KindStream, Resumable: true}
	allEvents := "id: 1\ndata: x\n\nid: 2\ndata: x\n\nid: 3\ndata: x\n\nid: 4\ndata: x\n\n"
	tests := []struct {
		desc     string
		route    proxyconfig.Route
		script   string
		attempts int
		// status is what the caller sees: 0 for an answer that was cut off.
		status int
		text   string
	}{
		{"safe: answered", safe, "done", 1, 200, "whole"},
		{"safe: lost, then answered", safe, "lost done", 2, 200, "whole"},
		{"safe: cut off before the head was sent", safe, "cut done", 2, 200, "whole"},
		{"safe: an answer without the stamp is retried", safe, "odd done", 2, 200, "whole"},
		{"safe: failed, then answered", safe, "failed done", 2, 200, "whole"},
		{"safe: the last failure is passed on", safe, "failed failed failed", 3, 500, ""},
		{"safe: lost each time", safe, "lost lost lost", 3, 502, ""},
		{"unsafe: lost once is not retried", unsafe, "lost done", 1, 502, ""},
		{"unsafe: cut off once is not retried", unsafe, "cut done", 1, 502, ""},
		{"unsafe: failed once is passed on", unsafe, "failed done", 1, 500, ""},
		{"unsafe: without the stamp is not retried", unsafe, "odd done", 1, 502, ""},
		{"unsafe: no connection, then answered", unsafe, "unsent done", 2, 200, "whole"},
		{"unsafe: refused, then answered", unsafe, "shed done", 2, 200, "whole"},
		{"unsafe: another server has the address, then answered", unsafe, "elsewhere done", 2, 200, "whole"},
		{"unsafe: refused each time is reported as not run", unsafe, "shed shed shed", 3, 503, ""},
		{"unsafe: a refusal without proof is not passed on as not run", unsafe, "unproven-full done", 1, 502, ""},
		{"unsafe: another server's refusal without proof is not passed on as not run", unsafe, "unproven-elsewhere done", 1, 502, ""},
		{"safe: a refusal without proof is retried", safe, "unproven-full done", 2, 200, "whole"},
		{"safe: refusals without proof are not passed on as not run", safe, "unproven-full unproven-full unproven-full", 3, 502, ""},
		{"unsafe: refused, then lost is reported as possibly run", unsafe, "shed lost done", 2, 502, ""},
		{"unsafe: no connection anywhere is reported as not run", unsafe, "unsent unsent unsent unsent", 3, 503, ""},
		{"unsafe: refused with a body without end, then answered", unsafe, "shed-endless done", 2, 200, "whole"},
		{"unsafe: refused with a body that stops, then answered", unsafe, "shed-silent done", 2, 200, "whole"},
		{"safe: failed with a body without end, then answered", safe, "failed-endless done", 2, 200, "whole"},
		{"resumable: an event without end is not held in memory", resumable, "event-endless events", 2, 200, allEvents},
		{"stream: passed on", stream, "events", 1, 200, allEvents},
		{"stream: broken off is not retried", stream, "broken events", 1, 0, "id: 1\ndata: x\n\nid: 2\ndata: x\n\nid: 3\nda"},
		{"stream: lost before the first event", stream, "lost events", 1, 502, ""},
		{"resumable: continues after the last complete event", resumable, "broken events", 2, 200, allEvents},
		{"resumable: lost before the first event", resumable, "lost events", 2, 200, allEvents},
		{"resumable: broken off each time is incomplete", resumable, "broken lost lost", 3, 0, "id: 1\ndata: x\n\nid: 2\ndata: x\n\n"},
		{"safe: an answer that ends with its connection", safe, "closed-whole", 1, 200, "whole"},
		{"stream: ends with its connection", stream, "closed-events", 1, 200, allEvents},
		{"stream: another kind of text has no events", stream, "text", 1, 200, "{}"},
		{"stream: ends with its connection inside an event", stream, "closed-inside events", 1, 0, "id: 1\ndata: x\n\nid: 2\ndata: x\n\nid: 3\nda"},
		{"stream: ends inside an event", stream, "events-inside events", 1, 0, "id: 1\ndata: x\n\nid: 2\ndata: x\n\nid: 3\nda"},
		{"stream: ends with its connection before the first event", stream, "closed-empty events", 1, 502, ""},
		{"resumable: ends with its connection", resumable, "closed-events", 1, 200, allEvents},
		{"resumable: ends with its connection inside an event, then continues", resumable, "closed-inside events", 2, 200, allEvents},
		{"resumable: ends inside an event, then continues", resumable, "events-inside events", 2, 200, allEvents},
		{"resumable: ends with its connection before the first event, then answered", resumable, "closed-empty events", 2, 200, allEvents},
		{"resumable: failed after the first events is incomplete", resumable, "broken failed failed", 3, 0, "id: 1\ndata: x\n\nid: 2\ndata: x\n\n"},
		{"resumable: another kind of text after the first events is incomplete", resumable, "broken text text", 3, 0, "id: 1\ndata: x\n\nid: 2\ndata: x\n\n"},
		{"resumable: refused after the first events is incomplete", resumable, "broken shed shed", 3, 0, "id: 1\ndata: x\n\nid: 2\ndata: x\n\n"},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			c := qt.New(t)
			w := newFakePlatform()
			test.route.Pools = []proxyconfig.WeightedPool{{Pool: "desk", Weight: 1}}
			w.setRoute(test.route)
			w.script = strings.Fields(test.script)
			sink := &recordingSink{}
			v := w.newForwarder(t).Serve(context.Background(), newProxyRequest(w), sink)
			status := v.Status
			if status == 0 && !v.Truncated {
				status = sink.status
			}
			c.Assert(status, qt.Equals, test.status)
			c.Assert(sink.text.String(), qt.Equals, test.text)
			c.Assert(w.attempts, qt.HasLen, test.attempts)
			if len(w.attempts) > 1 {
				c.Assert(w.attempts[0].Server.ID != w.attempts[1].Server.ID, qt.IsTrue)
			}
			if v.Status == http.StatusServiceUnavailable {
				c.Assert(v.RetryAfter > 0, qt.IsTrue)
			}
		})
	}
}

func TestMaxAttemptsBoundsSends(t *testing.T) {
	c := qt.New(t)
	w := newFakePlatform()
	w.setRoute(proxyconfig.Route{Kind: proxyconfig.KindSafe, MaxAttempts: 2, Pools: []proxyconfig.WeightedPool{{Pool: "desk", Weight: 1}}})
	w.script = []string{"lost", "lost", "done"}
	v := w.newForwarder(t).Serve(context.Background(), newProxyRequest(w), &recordingSink{})
	c.Assert(v.Status, qt.Equals, http.StatusBadGateway)
	c.Assert(w.attempts, qt.HasLen, 2)
}

func TestTimeoutOfUnsafeRequestMayHaveRun(t *testing.T) {
	c := qt.New(t)
	w := newFakePlatform()
	w.setRoute(proxyconfig.Route{Kind: proxyconfig.KindUnsafe, Timeout: 30 * time.Millisecond, Pools: []proxyconfig.WeightedPool{{Pool: "desk", Weight: 1}}})
	w.script = []string{"hang"}
	v := w.newForwarder(t).Serve(context.Background(), newProxyRequest(w), &recordingSink{})
	c.Assert(v.Status, qt.Equals, http.StatusGatewayTimeout)
}

func TestCallerDisconnectCancelsSend(t *testing.T) {
	c := qt.New(t)
	w := newFakePlatform()
	w.setRoute(proxyconfig.Route{Kind: proxyconfig.KindSafe, Pools: []proxyconfig.WeightedPool{{Pool: "desk", Weight: 1}}})
	w.script = []string{"hang"}
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(20*time.Millisecond, cancel)
	v := w.newForwarder(t).Serve(ctx, newProxyRequest(w), &recordingSink{})
	c.Assert(v.Disconnected, qt.IsTrue)
	c.Assert(w.attempts, qt.HasLen, 1)
}

func TestRetryBudgetBoundsRetries(t *testing.T) {
	c := qt.New(t)
	w := newFakePlatform()
	w.setRoute(proxyconfig.Route{Kind: proxyconfig.KindSafe, Pools: []proxyconfig.WeightedPool{{Pool: "desk", Weight: 1}}})
	f := w.newForwarder(t)
	const requests = 300
	for range 3 * requests {
		w.script = append(w.script, "lost")
	}
	for range requests {
		f.Serve(context.Background(), newProxyRequest(w), &recordingSink{})
	}
	retried := len(w.attempts) - requests
	c.Assert(retried > 100 && retried <= 0.2*requests+100, qt.IsTrue, qt.Commentf("%d retries", retried))
}

func TestLeavingEntryRefusesNewStreams(t *testing.T) {
	c := qt.New(t)
	w := newFakePlatform()
	w.setRoute(proxyconfig.Route{Kind: proxyconfig.KindStream, Pools: []proxyconfig.WeightedPool{{Pool: "desk", Weight: 1}}})
	f := w.newForwarder(t)
	f.Drain(w.now.Add(7 * time.Second))
	w.script = []string{"events"}
	served := f.Serve(context.Background(), newProxyRequest(w), &recordingSink{})
	c.Assert(served.Status, qt.Equals, 0)
	c.Assert(served.Truncated, qt.IsFalse)
	w.advance(2100 * time.Millisecond)
	v := f.Serve(context.Background(), newProxyRequest(w), &recordingSink{})
	c.Assert(v.Status, qt.Equals, http.StatusServiceUnavailable)
	c.Assert(v.Reason, qt.Equals, sequoialead.ReasonLeaving)
}
