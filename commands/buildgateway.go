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
	"sequoialead/core/delegate"
	"sequoialead/core/forward"
	"sequoialead/core/frame"
	"sequoialead/core/kernel"
	"sequoialead/core/members"
	"sequoialead/core/relay"
	"sequoialead/core/watch"
	"sequoialead/io/gateway"
	"sequoialead/io/http1"
	"sequoialead/io/sibling"
	"sequoialead/io/web"
	"sequoialead/platform"
)

// Names of a gateway's services.
const (
	nameWatch   = "watch"
	nameForward = "forward"
	nameReady   = "ready"
	// nameReadiness decides what the server for readiness checks answers.
	nameReadiness = "readiness"
	nameConns     = "conns"
	// nameSiblings holds the connections between entries, and namePeers the
	// server that takes them.
	nameSiblings = "siblings"
	namePeers    = "peers"
	nameMetrics  = "metrics"
)

const (
	// connectTimeout allows one lost packet to a machine that lives.
	connectTimeout = 400 * time.Millisecond
	// silenceTimeout is how long a machine may show no sign of life: longer than
	// two lost packets in a row, shorter than callers wait for an event.
	silenceTimeout = 1500 * time.Millisecond
	// keptConn is how long a connection is kept where the peer names no time.
	keptConn = 4 * time.Second
	// megabyte is the unit of the memory settings.
	megabyte = 1 << 20
	// heapShare is the part of the memory at which garbage is collected at any
	// cost; the rest is for stacks, the binary and the system's buffers.
	heapShare = 0.6
	// heapGrowth is the growth of the heap between collections in percent:
	// memory is cheaper than processor time here.
	heapGrowth = 400
	// bodyShare is the part of the memory for the bodies of requests.
	bodyShare = 0.25
)

// buildGateway adds the services of an entry on the users' platform.
func buildGateway(k *kernel.Kernel, s gatewaySettings, log klog.Logger) {
	debug.SetGCPercent(heapGrowth)
	debug.SetMemoryLimit(int64(heapShare * float64(s.memory) * megabyte))
	set := metrics.NewSet()
	client := http1.New(http1.Options{Connect: connectTimeout, Silence: silenceTimeout, Idle: keptConn})
	watcher, siblings, forwarder := buildForward(s, log, client, set)
	ready := &readiness{watcher: watcher}
	ready.revoke.Store(int64(s.revoke))
	checks := goji.NewMux()
	checks.Handle(pat.Get(platform.PathReady), ready)
	peers := goji.NewMux()
	siblings.Mount(peers)

	k.Add(nameConns, client)
	k.Add(nameSiblings, siblings)
	k.Add(namePeers, web.New(web.Options{Addr: s.peers, Handler: peers}))
	k.Add(nameWatch, watcher)
	k.Add(nameForward, forwarder)
	k.Add(nameWeb, buildCallers(s, log, watcher, forwarder))
	k.Add(nameReady, web.New(web.Options{Addr: s.ready, Handler: checks}))
	k.Provide(nameReadiness, ready)
	if s.metrics.IsValid() {
		page := goji.NewMux()
		page.HandleFunc(pat.Get("/metrics"), func(w http.ResponseWriter, _ *http.Request) {
			gaugeGateway(set, watcher, forwarder, client)
			set.WritePrometheus(w)
		})
		k.Add(nameMetrics, web.New(web.Options{Addr: s.metrics, Handler: page}))
	}
}

// buildForward returns what knows the platform, the other entries, and what
// decides about requests.
func buildForward(s gatewaySettings, log klog.Logger, client *http1.Client, set *metrics.Set) (*watch.Watcher, *sibling.Siblings, *forward.Forwarder) {
	var forwarder *forward.Forwarder
	var watcher *watch.Watcher
	changed := func() { forwarder.Refresh() }
	siblings := sibling.New(sibling.Options{
		Name: s.name, Log: log, Changed: changed,
		Handler: &helper{delegate: func() *delegate.Delegate { return forwarder.Delegate() }, watcher: func() *watch.Watcher { return watcher }},
	})
	self := members.Entry{Name: s.name, Domain: s.domain, Addr: s.announced()}
	watcher = watch.New(watch.Options{
		Self:    self,
		Store:   platform.NewStore(client, s.store),
		Relay:   relay.New(relay.Options{Self: self, Peers: siblings, Now: bootclock.Now}),
		Decoder: platform.Decoder{},
		Log:     log,
		Metrics: set,
		Now:     bootclock.Now,
		Apply:   s.apply,
		Revoke:  s.revoke,
		Drain:   s.drain,
		Assumed: s.entries,
		Changed: changed,
	})
	backends := platform.NewBackends(client)
	seed := uint64(time.Now().UnixNano())
	forwarder = forward.New(forward.Options{
		Knowledge:   watcher,
		Exchanger:   backends,
		Maker:       backends,
		Siblings:    siblings,
		Log:         log,
		Metrics:     set,
		Now:         bootclock.Now,
		Random:      rand.New(rand.NewPCG(seed, seed)),
		Entry:       s.name,
		Domain:      s.domain,
		Bounds:      s.bounds(),
		LeaveNotice: stopNotice,
	})
	return watcher, siblings, forwarder
}

// buildCallers returns the server for callers.
func buildCallers(s gatewaySettings, log klog.Logger, watcher *watch.Watcher, forwarder *forward.Forwarder) *web.Server {
	handler := gateway.New(gateway.Options{
		Codec:     platform.Callers{},
		Forwarder: forwarder,
		Plan:      watcher.Plan,
		Now:       bootclock.Now,
		Log:       log,
		Memory:    int64(bodyShare * float64(s.memory) * megabyte),
	})
	idle := func() time.Duration {
		if conf := watcher.Plan(); conf != nil {
			return conf.Limits.Idle
		}
		return 0
	}
	return web.New(web.Options{Addr: s.addr, Handler: handler, Grace: stopReserve / 2, Idle: idle})
}

// helper serves other entries once the services that do so exist.
type helper struct {
	delegate func() *delegate.Delegate
	watcher  func() *watch.Watcher
}

var _ sibling.Handler = (*helper)(nil)

// Serve has an order made.
func (h *helper) Serve(ctx context.Context, order frame.Order, read func()) frame.Made {
	return h.delegate().Serve(ctx, order, read)
}

// Dropped gives up results.
func (h *helper) Dropped(results []frame.Result) { h.delegate().Dropped(results) }

// Tell returns what this entry knows of the store's records.
func (h *helper) Tell(ask frame.Ask) frame.News { return h.watcher().Tell(ask) }

// Backlogs returns what waits here for the backend servers that this entry leads.
func (h *helper) Backlogs() map[string]frame.Backlog { return h.delegate().Backlogs() }

// Heard takes what another entry says of what waits there.
func (h *helper) Heard(entry string, backlogs map[string]frame.Backlog) {
	h.delegate().Heard(entry, backlogs)
}
