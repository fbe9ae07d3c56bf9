package commands

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"sort"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"goji.io"
	"goji.io/pat"
	"k8s.io/klog/v2"

	"sequoialead"
	coreagent "sequoialead/core/agent"
	"sequoialead/core/claims"
	coreentry "sequoialead/core/entry"
	"sequoialead/core/fleet"
	"sequoialead/core/follow"
	"sequoialead/core/kernel"
	"sequoialead/core/seal"
	"sequoialead/core/settings"
	"sequoialead/core/subset"
	ioagent "sequoialead/io/agent"
	"sequoialead/io/caller"
	"sequoialead/io/engine"
	ioentry "sequoialead/io/entry"
	"sequoialead/io/list"
	iolog "sequoialead/io/log"
	"sequoialead/io/operator"
	"sequoialead/io/web"
)

// Names under which services find each other.
const (
	nameFollow = "follow"
	nameClaims = "claims"
	nameFleet  = "fleet"
	nameEntry  = "entry"
	nameAgent  = "agent"
	nameWeb    = "web"
)

// entrySettings are the settings of an entry.
type entrySettings struct {
	name      string
	region    string
	domain    string
	addr      netip.AddrPort
	log       netip.AddrPort
	list      netip.AddrPort
	fleet     string
	operators settings.Operators
	lag       time.Duration
	grace     time.Duration
	snapshot  time.Duration
	window    time.Duration
	cover     int
	answer    int
}

// agentSettings are the settings of an agent.
type agentSettings struct {
	name    string
	pool    string
	region  string
	domain  string
	addr    netip.AddrPort
	backend netip.AddrPort
	fleet   string
	calls   int
	memory  int
	grace   time.Duration
}

// leastSubset is the size of a pool below which an entry connects to all of it.
const leastSubset = 32

// buildEntry adds an entry's services to a kernel.
func buildEntry(k *kernel.Kernel, s entrySettings, log klog.Logger) error {
	sealer, err := seal.New(s.fleet)
	if err != nil {
		return err
	}
	platform := iolog.New(s.log)
	var members *fleet.Fleet
	follower, err := follow.New(follow.Options{
		Sealer:         sealer,
		Log:            platform,
		SnapshotPeriod: s.snapshot,
		Changed: func(v sequoialead.Version) {
			log.Info("version", "version", v)
			go members.Announce()
		},
	})
	if err != nil {
		return err
	}
	claimer := claims.New(claims.Options{Log: platform, Sealer: sealer, Window: s.window})
	var entry *coreentry.Entry
	members = fleet.New(fleet.Options{
		List:   list.New(s.list),
		Subset: subset.Options{Entry: s.name, Least: leastSubset, Cover: s.cover},
		Dial: func(i sequoialead.Instance) sequoialead.Peer {
			log.Info("dial", "agent", i.Name, "addr", i.Addr)
			return ioagent.New(ioagent.Options{
				Addr:          i.Addr,
				Sealer:        sealer,
				Configuration: follower,
				Changed:       func() { entry.Changed() },
			})
		},
	})
	seed := uint64(time.Now().UnixNano())
	entry = coreentry.New(coreentry.Options{
		Name:          s.name,
		Domain:        s.domain,
		Configuration: follower,
		Members:       members,
		Claims:        claimer,
		Random:        rand.New(rand.NewPCG(seed, seed)),
		AnswerBytes:   s.answer,
	})
	k.Add(nameFollow, follower)
	k.Add(nameClaims, claimer)
	k.Add(nameFleet, members)
	k.Offer(nameEntry, entry)
	return buildFront(k, s, log)
}

// buildFront adds the server for callers and operators.
func buildFront(k *kernel.Kernel, s entrySettings, log klog.Logger) error {
	entry, err := kernel.Find[*coreentry.Entry](k, nameEntry)
	if err != nil {
		return err
	}
	follower, err := kernel.Find[*follow.Follower](k, nameFollow)
	if err != nil {
		return err
	}
	members, err := kernel.Find[*fleet.Fleet](k, nameFleet)
	if err != nil {
		return err
	}
	mux := goji.NewMux()
	caller.New(caller.Options{Runner: entry, Configuration: follower}).Mount(mux)
	operator.New(operator.Options{
		Follower:  follower,
		Status:    func() operator.StatusAnswer { return entryStatus(s, entry, follower, members) },
		Operators: s.operators,
		Log:       log,
	}).Mount(mux)
	set := metrics.NewSet()
	mux.HandleFunc(pat.Get("/metrics"), func(w http.ResponseWriter, _ *http.Request) {
		gaugeEntry(set, entry, follower)
		gaugeLinks(set, members)
		set.WritePrometheus(w)
	})
	k.Add(nameWeb, web.New(web.Options{Addr: s.addr, Handler: mux, Grace: s.grace}))
	return nil
}

func gaugeEntry(set *metrics.Set, entry *coreentry.Entry, follower *follow.Follower) {
	tally := entry.Tally()
	for outcome, n := range tally.Outcomes {
		set.GetOrCreateCounter(fmt.Sprintf(`sequoialead_requests_total{outcome=%q}`, outcome)).Set(n)
	}
	for reason, n := range tally.Reasons {
		set.GetOrCreateCounter(fmt.Sprintf(`sequoialead_reasons_total{reason=%q}`, reason)).Set(n)
	}
	set.GetOrCreateCounter("sequoialead_retries_total").Set(tally.Retries)
	set.GetOrCreateCounter("sequoialead_configuration_version").Set(uint64(follower.Version()))
	set.GetOrCreateCounter("sequoialead_requests_open").Set(uint64(entry.Open()))
	set.GetOrCreateCounter("sequoialead_stages_waiting").Set(uint64(entry.Waiting()))
	for key, c := range tally.Costs {
		label := fmt.Sprintf(`{pipeline=%q,stage=%q,customer=%q}`, key.Pipeline, key.Stage, key.Customer)
		set.GetOrCreateCounter("sequoialead_stage_calls_total" + label).Set(c.Calls)
		set.GetOrCreateCounter("sequoialead_stage_tokens_total" + label).Set(c.Tokens)
		set.GetOrCreateCounter("sequoialead_stage_wasted_tokens_total" + label).Set(c.WastedTokens)
		set.GetOrCreateFloatCounter("sequoialead_stage_service_seconds_total" + label).Set(c.Service.Seconds())
		set.GetOrCreateFloatCounter("sequoialead_stage_wasted_seconds_total" + label).Set(c.WastedService.Seconds())
	}
}

func gaugeLinks(set *metrics.Set, members *fleet.Fleet) {
	var received, sent uint64
	all := members.All()
	for _, peer := range all {
		r, s := peer.Bytes()
		received += r
		sent += s
	}
	set.GetOrCreateCounter("sequoialead_link_received_bytes_total").Set(received)
	set.GetOrCreateCounter("sequoialead_link_sent_bytes_total").Set(sent)
	set.GetOrCreateCounter("sequoialead_agents").Set(uint64(len(all)))
}

func entryStatus(s entrySettings, entry *coreentry.Entry, follower *follow.Follower, members *fleet.Fleet) operator.StatusAnswer {
	tally := entry.Tally()
	conf, version := follower.Current()
	answer := operator.StatusAnswer{
		Name:     s.name,
		Domain:   s.domain,
		Version:  version,
		LogRead:  follower.Caught(),
		ListRead: members.Read(),
		Open:     entry.Open(),
		Outcomes: tally.Outcomes,
		Entries:  []operator.Entry{},
	}
	for domain := range conf.Out {
		answer.Out = append(answer.Out, domain)
	}
	sort.Strings(answer.Out)
	for instance, peer := range members.All() {
		c, usable := peer.Candidate()
		_, connected := peer.Hello()
		answer.Agents = append(answer.Agents, operator.Agent{
			Name:      instance.Name,
			Pool:      instance.Pool,
			Domain:    instance.Domain,
			Addr:      instance.Addr,
			Connected: connected,
			Leaving:   connected && !usable,
			Limit:     c.Load.Limit,
			Running:   c.Load.Running,
			Waiting:   c.Load.Waiting,
			Version:   c.Load.Version,
		})
	}
	sort.Slice(answer.Agents, func(i, j int) bool { return answer.Agents[i].Name < answer.Agents[j].Name })
	for _, i := range members.Entries() {
		answer.Entries = append(answer.Entries, operator.Entry{Name: i.Name, Addr: i.Addr})
	}
	for key, c := range tally.Costs {
		answer.Costs = append(answer.Costs, operator.Cost{
			Pipeline:      key.Pipeline,
			Stage:         key.Stage,
			Customer:      key.Customer,
			Calls:         c.Calls,
			Service:       c.Service,
			Tokens:        c.Tokens,
			WastedService: c.WastedService,
			WastedTokens:  c.WastedTokens,
		})
	}
	return answer
}

// buildAgent adds an agent's services to a kernel.
func buildAgent(k *kernel.Kernel, s agentSettings) error {
	sealer, err := seal.New(s.fleet)
	if err != nil {
		return err
	}
	follower, err := follow.New(follow.Options{Sealer: sealer})
	if err != nil {
		return err
	}
	agent, err := coreagent.New(coreagent.Options{
		Name:          s.name,
		Pool:          s.pool,
		Domain:        s.domain,
		Region:        s.region,
		Backend:       engine.New(s.backend),
		Configuration: follower,
		Calls:         s.calls,
		Bytes:         s.memory,
	})
	if err != nil {
		return err
	}
	set := metrics.NewSet()
	show := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		gaugeAgent(set, agent)
		set.WritePrometheus(w)
	})
	k.Add(nameFollow, follower)
	k.Add(nameAgent, agent)
	k.Add(nameWeb, ioentry.New(ioentry.Options{
		Addr:    s.addr,
		Agent:   agent,
		Relayer: follower,
		Sealer:  sealer,
		Extra:   map[string]http.Handler{"/metrics": show},
	}))
	return nil
}

func gaugeAgent(set *metrics.Set, agent *coreagent.Agent) {
	load, stats := agent.Load(), agent.Stats()
	for name, n := range map[string]uint64{
		"sequoialead_agent_limit":           uint64(load.Limit),
		"sequoialead_agent_running":         uint64(load.Running),
		"sequoialead_agent_waiting":         uint64(load.Waiting),
		"sequoialead_configuration_version": uint64(load.Version),
		"sequoialead_agent_started_total":   stats.Started,
		"sequoialead_agent_refused_total":   stats.Refused,
		"sequoialead_agent_attached_total":  stats.Attached,
		"sequoialead_agent_done_total":      stats.Done,
		"sequoialead_agent_failed_total":    stats.Failed,
		"sequoialead_agent_lost_total":      stats.Lost,
		"sequoialead_agent_new_lives_total": stats.Restarts,
	} {
		set.GetOrCreateCounter(name).Set(n)
	}
}

// stopAgent lets an agent's calls end, within a time.
func stopAgent(k *kernel.Kernel, grace time.Duration) error {
	agent, err := kernel.Find[*coreagent.Agent](k, nameAgent)
	if err != nil {
		return err
	}
	agent.Leave()
	ctx, cancel := context.WithTimeout(context.Background(), grace)
	defer cancel()
	_ = agent.Drained(ctx) // what is left after the grace is closed
	return nil
}

// stopEntry lets the balancer notice that the entry leaves.
func stopEntry(k *kernel.Kernel, lag time.Duration) error {
	entry, err := kernel.Find[*coreentry.Entry](k, nameEntry)
	if err != nil {
		return err
	}
	server, err := kernel.Find[*web.Server](k, nameWeb)
	if err != nil {
		return err
	}
	entry.Leave()
	server.Leave()
	time.Sleep(lag)
	return nil
}
