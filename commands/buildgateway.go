package commands

import (
	"context"
	"math/rand/v2"
	"net/http"
	"runtime/debug"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"goji.io"
	"goji.io/pat"
	"k8s.io/klog/v2"

	"sequoialead/common/bootclock"
	"sequoialead/core/callerbudget"
	"sequoialead/core/delegate"
	"sequoialead/core/forward"
	"sequoialead/core/membership"
	"sequoialead/core/protocol"
	"sequoialead/core/quarantine"
	"sequoialead/core/relay"
	"sequoialead/core/rollout"
	"sequoialead/core/services"
	"sequoialead/core/versions"
	"sequoialead/core/watch"
	"sequoialead/io/gateway"
	"sequoialead/io/http1"
	"sequoialead/io/sibling"
	"sequoialead/io/web"
	"sequoialead/platform"
)

// Names of a gateway's services and other objects in its group.
const (
	nameWatch   = "watch"
	nameForward = "forward"
	nameReady   = "ready"
	// nameReadiness names the HTTP handler of the balancer's readiness checks, and
	// nameReady the server that it runs in.
	nameReadiness = "readiness"
	// nameConns names the HTTP client for backend servers and the store.
	nameConns = "conns"
	// nameSiblings names the connections to other entries, and namePeers the server
	// that accepts theirs.
	nameSiblings = "siblings"
	namePeers    = "peers"
	nameMetrics  = "metrics"
)

const (
	// connectTimeout is the timeout of opening a connection to a backend server or
	// the store. It allows for the loss of one packet on the way to a running
	// machine.
	connectTimeout = 400 * time.Millisecond
	// ackTimeout is how long sent data may stay unacknowledged, or an idle peer
	// silent, before its connection counts as dead: longer than the recovery from
	// the loss of two packets in a row, and shorter than callers wait for an event.
	ackTimeout = 1500 * time.Millisecond
	// idleConnTimeout is how long an idle connection is kept if the peer sends no
	// timeout in a Keep-Alive header.
	idleConnTimeout = 4 * time.Second
	// megabyte is the unit of the memory setting, in bytes.
	megabyte = 1 << 20
	// heapShare is the fraction of the memory setting that is the Go runtime's soft
	// memory limit. The rest is for stacks, the binary and the system's buffers.
	heapShare = 0.6
	// heapGrowth is the value of GOGC in percent. It is higher than the default of
	// 100, because here memory is cheaper than CPU time.
	heapGrowth = 400
)

// buildGateway adds a gateway's services to a group. It also configures the garbage
// collector of the whole process.
func buildGateway(group *services.Group, s gatewaySettings, log klog.Logger) {
	debug.SetGCPercent(heapGrowth)
	debug.SetMemoryLimit(int64(heapShare * float64(s.memory) * megabyte))
	set := metrics.NewSet()
	client := http1.New(http1.Options{ConnectTimeout: connectTimeout, AckTimeout: ackTimeout, IdleTimeout: idleConnTimeout, MaxIdle: s.filesFor(idleFilesShare)})
	watcher, siblings, forwarder := buildForwarder(s, log, client, set)
	ready := &readiness{watcher: watcher}
	ready.revoke.Store(int64(s.revoke))
	readyMux := goji.NewMux()
	readyMux.Handle(pat.Get(platform.PathReady), ready)
	peerMux := goji.NewMux()
	siblings.Mount(peerMux)

	group.Add(nameConns, client)
	group.Add(nameSiblings, siblings)
	group.Add(namePeers, web.New(web.Options{Addr: s.peers, Handler: peerMux, Timeout: otherTimeout, Bounds: web.Bounds{Limits: s.peerLimits()}}))
	group.Add(nameWatch, watcher)
	group.Add(nameForward, forwarder)
	callers := buildCallers(s, log, watcher, forwarder)
	group.Add(nameWeb, callers)
	group.Add(nameReady, web.New(web.Options{Addr: s.ready, Handler: readyMux, Timeout: otherTimeout, Bounds: web.Bounds{Limits: callerbudget.Limits{Conns: maxReadyConns}}}))
	group.Provide(nameReadiness, ready)
	if s.metrics.IsValid() {
		metricsMux := goji.NewMux()
		metricsMux.HandleFunc(pat.Get("/metrics"), func(w http.ResponseWriter, _ *http.Request) {
			updateGatewayMetrics(set, watcher, forwarder, client)
			updateCallerMetrics(set, callers)
			set.WritePrometheus(w)
			serverMetrics(forwarder).WritePrometheus(w)
		})
		group.Add(nameMetrics, web.New(web.Options{Addr: s.metrics, Handler: metricsMux, Timeout: otherTimeout, Bounds: web.Bounds{Limits: callerbudget.Limits{Conns: maxMetricsConns}}}))
	}
}

// buildForwarder returns the watcher of the platform's store, the connections to
// other entries, and the forwarder of requests. They refer to each other.
func buildForwarder(s gatewaySettings, log klog.Logger, client *http1.Client, set *metrics.Set) (*watch.Watcher, *sibling.Siblings, *forward.Forwarder) {
	var forwarder *forward.Forwarder
	var watcher *watch.Watcher
	changed := func() { forwarder.Refresh() }
	siblings := sibling.New(sibling.Options{
		Name: s.name, Log: log, OnChange: changed,
		Handler: &siblingHandler{delegate: func() *delegate.Delegate { return forwarder.Delegate() }, watcher: func() *watch.Watcher { return watcher }},
	})
	quarantined := quarantine.New(quarantine.Options{Entry: s.name, Log: log, Metrics: set, Now: bootclock.Now, Wall: time.Now, Spread: s.spread})
	self := membership.Member{Name: s.name, Domain: s.domain, Addr: s.advertisedAddr(), CPU: s.cpu}
	store := platform.NewStore(client, s.store)
	watching := watch.Options{
		Self:           self,
		Store:          store,
		Relay:          relay.New(relay.Options{Self: self, Peers: siblings, Now: bootclock.Now}),
		Decoder:        platform.Decoder{},
		Evidence:       quarantined,
		Log:            log,
		Metrics:        set,
		Now:            bootclock.Now,
		Apply:          s.apply,
		Revoke:         s.revoke,
		Drain:          s.drain,
		Spread:         s.spread,
		AssumedEntries: s.entries,
		OnChange:       changed,
	}
	rollouts := buildVersions(s, log, set)
	if rollouts != nil {
		watching.Rollouts, watching.RolloutDecoder, watching.Revisions, watching.Rollback = rollouts, platform.Decoder{}, store, s.rollback
	}
	watcher = watch.New(watching)
	backends := platform.NewBackends(client)
	seed := uint64(time.Now().UnixNano())
	forwarder = forward.New(forward.Options{
		Knowledge:   watcher,
		Exchanger:   backends,
		Maker:       backends,
		Siblings:    siblings,
		Quarantine:  quarantined,
		Versions:    rollouts,
		Log:         log,
		Metrics:     set,
		Now:         bootclock.Now,
		Random:      rand.New(rand.NewPCG(seed, seed)),
		Entry:       s.name,
		Domain:      s.domain,
		Limits:      s.limits(),
		Admission:   s.admission,
		NextRead:    watcher.NextRead,
		DrainNotice: balancerDelay,
		Balance:     s.balance,
		Placement:   s.placement,
	})
	return watcher, siblings, forwarder
}

// buildVersions returns the state of roll-out orders; nil if they are ignored.
func buildVersions(s gatewaySettings, log klog.Logger, set *metrics.Set) *versions.Versions {
	if s.expose <= 0 {
		return nil
	}
	return versions.New(versions.Options{
		Entry: s.name, Bounds: rollout.Bounds{Share: s.expose, Slack: s.exposeslack}, Log: log, Metrics: set,
		Now: bootclock.Now, Wall: time.Now, Random: rand.Float64,
	})
}

// buildCallers returns the HTTP server for callers.
func buildCallers(s gatewaySettings, log klog.Logger, watcher *watch.Watcher, forwarder *forward.Forwarder) *web.Server {
	handler := gateway.New(gateway.Options{
		Codec:     platform.Callers{},
		Forwarder: forwarder,
		Config:    watcher.Config,
		Now:       bootclock.Now,
		Log:       log,
	})
	idle := func() time.Duration {
		if conf := watcher.Config(); conf != nil {
			return conf.Limits.Idle
		}
		return 0
	}
	return web.New(web.Options{Addr: s.addr, Handler: handler, Grace: closeReserve / 2, IdleTimeout: idle, Bounds: s.callerBounds(watcher), Log: log})
}

// siblingHandler handles the messages of other entries. It gets the delegate and the
// watcher by functions, because they are created after it.
type siblingHandler struct {
	delegate func() *delegate.Delegate
	watcher  func() *watch.Watcher
}

var _ sibling.Handler = (*siblingHandler)(nil)

// Serve has the pieces of another entry's order made and returns their results. It
// calls onRead once the inputs of the pieces have been read.
func (h *siblingHandler) Serve(ctx context.Context, order protocol.Order, onRead func()) protocol.OrderResult {
	return h.delegate().Serve(ctx, order, onRead)
}

// ReleaseResults releases results that were made for another entry.
func (h *siblingHandler) ReleaseResults(results []protocol.Result) {
	h.delegate().ReleaseResults(results)
}

// RecordsSince returns the records of the store that another entry asks for, as
// far as this entry has them.
func (h *siblingHandler) RecordsSince(request protocol.RecordsRequest) protocol.RecordsResponse {
	return h.watcher().RecordsSince(request)
}

// Backlogs returns the queued work for the backend servers that this entry leads, by
// pool.
func (h *siblingHandler) Backlogs() map[string]protocol.Backlog { return h.delegate().Backlogs() }

// UpdateBacklogs records the newest backlogs that another entry reported.
func (h *siblingHandler) UpdateBacklogs(entry string, backlogs map[string]protocol.Backlog) {
	h.delegate().UpdateBacklogs(entry, backlogs)
}
