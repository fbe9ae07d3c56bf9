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
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	qt "github.com/frankban/quicktest"
	"k8s.io/klog/v2"

	"sequoialead"
	"sequoialead/core/forward"
	"sequoialead/core/lease"
	"sequoialead/core/membership"
	"sequoialead/core/pool"
	"sequoialead/core/proxyconfig"
	"sequoialead/core/retries"
	"sequoialead/core/serverset"
)

// loadModel stands for the backend servers of a deployment: each server that makes
// pieces runs one call at a time and holds its results, and model engines answer after a
// fixed time. It is used in a synctest bubble, whose clock is virtual.
type loadModel struct {
	config  *proxyconfig.Config
	lease   *lease.Lease
	servers []serverset.Member
	// turns holds a channel for each server that makes pieces, which takes the one call
	// that runs.
	turns map[string]chan struct{}
	// failing holds the servers that reset the connection of every call, from failFrom on.
	failing  map[string]bool
	failFrom time.Time
	// outlier is the setting of the forwarder.
	outlier bool
	// balance is the setting of that name.
	balance bool

	mu      sync.Mutex
	held    map[string]int
	results map[string]heldResult
	made    int
	lost    int
	// losesAnswer reports whether the answer of a server to a request is lost, which it runs;
	// nil if none is.
	losesAnswer func(server sequoialead.Server) bool
	// admission is the setting of the same name.
	admission bool
	// unheard counts, by route, the requests that ended at or after their deadline, and
	// refused holds the times after which others were refused.
	unheard map[string]int
	refused map[string][]time.Duration
	// comeBack makes refused callers come back after the time that they are told. again counts
	// the refusals of callers that were refused before, and served the callers that got an
	// answer, by route.
	comeBack bool
	again    map[string]int
	served   map[string]int
	// holding holds the times for which the results of each kind of request and stage
	// were held.
	holding map[string][]time.Duration
}

// heldResult is a result that a server holds.
type heldResult struct {
	bytes int
	kind  string
	since time.Time
}

// leastUseful is the time left below which callers don't come back.
const leastUseful = 400 * time.Millisecond

// engineTime is the time that a model engine takes to the first event.
const engineTime = 200 * time.Millisecond

// resetTime is the time after which a failing server resets a connection.
const resetTime = 5 * time.Millisecond

func newLoadModel(pools map[string]int, pieces map[string]*proxyconfig.PieceLimits) *loadModel {
	m := &loadModel{
		config: &proxyconfig.Config{Version: 1, Routes: map[string][]*proxyconfig.Route{}, Pools: map[string]*proxyconfig.Pool{}},
		lease:  lease.New(), turns: map[string]chan struct{}{}, held: map[string]int{}, results: map[string]heldResult{}, holding: map[string][]time.Duration{},
		unheard: map[string]int{}, refused: map[string][]time.Duration{}, again: map[string]int{}, served: map[string]int{},
	}
	for name, count := range pools {
		p := &proxyconfig.Pool{Name: name, MaxConns: 100, Pieces: pieces[name]}
		if p.Pieces == nil {
			p.Slots, p.MemoryTokens = 64, 200_000
		}
		m.config.Pools[name] = p
		for i := range count {
			id := fmt.Sprintf("%s-%d", name, i)
			m.turns[id] = make(chan struct{}, 1)
			m.servers = append(m.servers, serverset.Member{Server: sequoialead.Server{ID: id, Pool: name, Domain: "a", Slots: max(p.Slots, 1), Addr: netip.MustParseAddrPort("127.0.0.1:1")}})
		}
	}
	return m
}

func (m *loadModel) Config() *proxyconfig.Config         { return m.config }
func (m *loadModel) Lease() *lease.Lease                 { return m.lease }
func (m *loadModel) ServersLease() *lease.Lease          { return m.lease }
func (m *loadModel) EntryCount(time.Time) int            { return 1 }
func (m *loadModel) Usable(time.Time) []serverset.Member { return m.servers }
func (m *loadModel) Members(time.Time) []membership.Member {
	return []membership.Member{{Name: "e", Domain: "a"}}
}

func (m *loadModel) Exchange(ctx context.Context, attempt sequoialead.ProxyAttempt) (*sequoialead.Response, error) {
	if m.losesAnswer != nil && m.losesAnswer(attempt.Server) {
		<-ctx.Done()
	}
	select {
	case <-time.After(engineTime):
	case <-ctx.Done():
		return nil, sequoialead.ErrLost.New("given up")
	}
	return &sequoialead.Response{Status: http.StatusOK, Header: http.Header{}, Stamped: true, Body: &fakeBody{parts: events("", 1), err: io.EOF}}, nil
}

func (m *loadModel) Make(_ context.Context, server sequoialead.Server, pieces []sequoialead.Piece) ([]sequoialead.PieceResult, sequoialead.ServerFeedback, error) {
	if m.failing[server.ID] && !time.Now().Before(m.failFrom) {
		time.Sleep(resetTime)
		m.mu.Lock()
		m.lost++
		m.mu.Unlock()
		return nil, sequoialead.ServerFeedback{}, sequoialead.ErrBroken.New("connection reset")
	}
	m.turns[server.ID] <- struct{}{}
	defer func() { <-m.turns[server.ID] }()
	limits := m.config.Pools[server.Pool].Pieces
	results := make([]sequoialead.PieceResult, len(pieces))
	count := 0
	m.mu.Lock()
	for i, p := range pieces {
		if m.held[server.ID]+p.Bytes > limits.RoomBytes {
			results[i].Reason = sequoialead.ReasonRoom
			continue
		}
		m.made++
		count++
		results[i].Handle = fmt.Sprintf("%s/%d", server.ID, m.made)
		m.held[server.ID] += p.Bytes
		route, _, _ := strings.Cut(p.Request, "-")
		m.results[results[i].Handle] = heldResult{bytes: p.Bytes, kind: fmt.Sprintf("%s %d", route, p.Stage), since: time.Now()}
	}
	m.mu.Unlock()
	time.Sleep(limits.CallTime + time.Duration(count)*limits.ItemTime)
	return results, sequoialead.ServerFeedback{Load: &sequoialead.ServerLoad{Slots: 1}}, nil
}

func (m *loadModel) Free(_ context.Context, server sequoialead.Server, handles []string) (sequoialead.ServerFeedback, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, h := range handles {
		r := m.results[h]
		m.held[server.ID] -= r.bytes
		m.holding[r.kind] = append(m.holding[r.kind], time.Since(r.since))
		delete(m.results, h)
	}
	return sequoialead.ServerFeedback{}, nil
}

// arrivals is one kind of request of a load pattern.
type arrivals struct {
	route proxyconfig.Route
	// perSecond is the mean rate; between burstFrom and burstTo it is perSecond * burst.
	perSecond          float64
	burst              float64
	burstFrom, burstTo time.Duration
	// pieces draws the number of pieces of each stage.
	pieces func(r *rand.Rand) []int
}

// timedSink records when the head of an answer came.
type timedSink struct {
	recordingSink
	head time.Time
}

func (s *timedSink) Head(status int, h http.Header, n int64) {
	s.recordingSink.Head(status, h, n)
	s.head = time.Now()
}

// replay plays a load pattern against the model for a time, and returns the share of the
// requests of each route that were answered within the route's objective.
func replay(t *testing.T, m *loadModel, seed uint64, length time.Duration, load []arrivals) map[string]float64 {
	t.Helper()
	m.lease.Renew(time.Now().Add(time.Hour))
	for i := range load {
		load[i].route.Host, load[i].route.Prefix, load[i].route.MaxAttempts = load[i].route.Name, "/", max(load[i].route.MaxAttempts, 1)
		m.config.Routes[load[i].route.Name] = []*proxyconfig.Route{&load[i].route}
	}
	f := forward.New(forward.Options{
		Knowledge: m, Exchanger: m, Maker: m, Siblings: noSiblings{}, Quarantine: newQuarantine(time.Now), Log: klog.Logger{}, Metrics: metrics.NewSet(), Now: time.Now,
		Random: rand.New(rand.NewPCG(seed, 1)), Entry: "e", Domain: "a", Admission: m.admission, Balance: m.balance,
		Limits: forward.Limits{Limits: pool.Limits{Retries: retries.Options{Ratio: 0.2, Extra: 50, Window: 10 * time.Second}, ColdFactor: 1, Outlier: m.outlier}, Revoke: time.Minute},
	})
	qt.Assert(t, f.Start(context.Background()), qt.IsNil)
	f.Refresh()
	var requests sync.WaitGroup
	var mu sync.Mutex
	sent, onTime := map[string]int{}, map[string]int{}
	start := time.Now()
	for i, a := range load {
		random := rand.New(rand.NewPCG(seed, uint64(i)))
		requests.Go(func() {
			for n := 0; ; n++ {
				now := time.Since(start)
				rate := a.perSecond
				if now >= a.burstFrom && now < a.burstTo {
					rate *= a.burst
				}
				time.Sleep(time.Duration(random.ExpFloat64() / rate * float64(time.Second)))
				if time.Since(start) > length {
					return
				}
				request := &sequoialead.ProxyRequest{
					ID: fmt.Sprintf("%s-%d", a.route.Name, n), Host: a.route.Host, Target: "/", ArrivedAt: time.Now(), CallerTimeout: 6 * time.Second,
					Pieces: a.pieces(random), PieceKey: "k", Prompt: sequoialead.Prompt{Input: 1000},
				}
				requests.Go(func() {
					sink := &timedSink{}
					first := request.ArrivedAt
					result := f.Serve(context.Background(), request, sink)
					for again := false; ; again = true {
						mu.Lock()
						took := time.Since(request.ArrivedAt)
						switch {
						case result.Status == 0:
							m.served[a.route.Name]++
						case took >= request.CallerTimeout:
							m.unheard[a.route.Name]++
						default:
							m.refused[a.route.Name] = append(m.refused[a.route.Name], took)
							if again {
								m.again[a.route.Name]++
							}
						}
						mu.Unlock()
						left := request.CallerTimeout - took
						hint := min(result.RetryAfter, left/3)
						if !m.comeBack || result.Status == 0 || left < leastUseful || hint <= 0 {
							break
						}
						time.Sleep(hint)
						next := *request
						next.ID, next.ArrivedAt, next.CallerTimeout = request.ID+"'", time.Now(), left-hint
						request = &next
						result = f.Serve(context.Background(), request, sink)
					}
					mu.Lock()
					defer mu.Unlock()
					sent[a.route.Name]++
					if !sink.head.IsZero() && sink.head.Sub(first) <= a.route.Objective {
						onTime[a.route.Name]++
					}
				})
			}
		})
	}
	requests.Wait()
	time.Sleep(time.Second) // results are freed in the background
	qt.Assert(t, f.Close(), qt.IsNil)
	shares := map[string]float64{}
	for name, n := range sent {
		shares[name] = float64(onTime[name]) / float64(n)
	}
	return shares
}

func mean(times []time.Duration) time.Duration {
	sum := time.Duration(0)
	for _, d := range times {
		sum += d
	}
	return sum / time.Duration(max(len(times), 1))
}

// A burst of requests whose large results come from a pool with little room, while
// another kind of request holds results of the same pool for the time that its longer
// path takes.
func TestShortPathsLeaveRoomInBurst(t *testing.T) {
	const kilobyte, megabyte = 1_000, 1_000_000
	few := func(mean float64) func(*rand.Rand) int {
		return func(r *rand.Rand) int { return 1 + int(r.ExpFloat64()*(mean-1)) }
	}
	large, manyLarge := few(1.5), few(2.5)
	load := []arrivals{
		{
			route: proxyconfig.Route{Name: "quote", Kind: proxyconfig.KindStream, Objective: 1300 * time.Millisecond, Priority: 1, Pools: []proxyconfig.WeightedPool{{Pool: "model", Weight: 1}},
				Stages: []proxyconfig.Stage{{Pool: "ledger", Bytes: 3 * megabyte}}},
			perSecond: 9, burst: 2.5, burstFrom: 4 * time.Second, burstTo: 10 * time.Second,
			pieces: func(r *rand.Rand) []int { return []int{manyLarge(r)} },
		},
		{
			route: proxyconfig.Route{Name: "chat", Kind: proxyconfig.KindStream, Objective: 1500 * time.Millisecond, Priority: 1, Pools: []proxyconfig.WeightedPool{{Pool: "model", Weight: 1}},
				Stages: []proxyconfig.Stage{{Pool: "ledger", Bytes: 3 * megabyte}, {Pool: "ledger", Bytes: 8 * kilobyte}, {Pool: "queue", After: []int{1}, Bytes: 60 * kilobyte}, {Pool: "portal", After: []int{2}, Bytes: 6 * kilobyte}}},
			perSecond: 10, burst: 1,
			pieces: func(r *rand.Rand) []int { return []int{large(r), 1, 8, 16} },
		},
	}
	for n := uint64(2); n <= 7; n++ {
		seed, balance := n/2, n%2 == 1
		t.Run(fmt.Sprintf("seed %d, balance %t", seed, balance), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				m := newLoadModel(map[string]int{"model": 12, "ledger": 3, "queue": 5, "portal": 5}, map[string]*proxyconfig.PieceLimits{
					"ledger": {MaxBatch: 8, CallTime: 150 * time.Millisecond, ItemTime: 16 * time.Millisecond, RoomBytes: 39 * megabyte},
					"queue":  {MaxBatch: 16, CallTime: 150 * time.Millisecond, ItemTime: 8 * time.Millisecond, RoomBytes: 2700 * kilobyte},
					"portal": {MaxBatch: 30, CallTime: 150 * time.Millisecond, ItemTime: 4 * time.Millisecond, RoomBytes: 530 * kilobyte},
				})
				m.balance = balance
				shares := replay(t, m, seed, 20*time.Second, load)
				t.Logf("on time %v, %d pieces", shares, m.made)
				// A short path is given 1.5 times its estimated time at the end of the long one.
				short, long := mean(m.holding["quote 0"]), mean(m.holding["chat 0"])
				c := qt.New(t)
				c.Check(float64(long) <= 1.5*float64(short), qt.IsTrue, qt.Commentf("results beside a long path are held for %s, others for %s", long, short))
				for server, bytes := range m.held {
					c.Check(bytes, qt.Equals, 0, qt.Commentf("%s", server))
				}
			})
		})
	}
}
