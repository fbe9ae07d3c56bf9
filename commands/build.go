package commands

import (
	"context"
	"math/rand/v2"
	"net/http"
	"net/netip"
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
	"sequoialead/core/mac"
	"sequoialead/core/services"
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

// Names of the services of an entry and an agent in their groups.
const (
	nameFollow = "follow"
	nameClaims = "claims"
	nameFleet  = "fleet"
	nameEntry  = "entry"
	nameAgent  = "agent"
	nameLinks  = "links"
	nameWeb    = "web"
)

// entrySettings are the settings of an entry. bind describes each of them.
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

// agentSettings are the settings of an agent. bind describes each of them.
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

// refusalPeriod is how long a stopping agent goes on answering new calls, with
// refusals. It covers the time that messages between agent and entries take.
const refusalPeriod = time.Second

// maxFullPool is the maximum size of a pool for which an entry connects to all of
// its agents.
const maxFullPool = 32

// buildEntry adds an entry's services to a group.
func buildEntry(group *services.Group, s entrySettings, log klog.Logger) error {
	signer, err := mac.New(s.fleet)
	if err != nil {
		return err
	}
	platform := iolog.New(s.log)
	var members *fleet.Fleet
	follower, err := follow.New(follow.Options{
		Signer:         signer,
		Log:            platform,
		SnapshotPeriod: s.snapshot,
		OnChange: func(v sequoialead.Version) {
			log.Info("version", "version", v)
			go members.AnnounceVersion()
		},
	})
	if err != nil {
		return err
	}
	claimer := claims.New(claims.Options{Log: platform, Signer: signer, Window: s.window})
	var entry *coreentry.Entry
	members = fleet.New(fleet.Options{
		List:   list.New(list.Options{Addr: s.list}),
		Subset: subset.Options{Entry: s.name, MaxFullPool: maxFullPool, EntriesPerAgent: s.cover},
		Dial: func(i sequoialead.Instance) sequoialead.AgentClient {
			log.Info("dial", "agent", i.Name, "addr", i.Addr)
			return ioagent.New(ioagent.Options{
				Name:          s.name,
				Addr:          i.Addr,
				Signer:        signer,
				Configuration: follower,
				OnChange:      func() { entry.Dispatch() },
			})
		},
	})
	seed := uint64(time.Now().UnixNano())
	entry = coreentry.New(coreentry.Options{
		Name:           s.name,
		Domain:         s.domain,
		Configuration:  follower,
		Members:        members,
		Claimer:        claimer,
		Log:            log,
		Random:         rand.New(rand.NewPCG(seed, seed)),
		MaxAnswerBytes: s.answer,
	})
	group.Add(nameFollow, follower)
	group.Add(nameClaims, claimer)
	group.Add(nameFleet, members)
	group.Provide(nameEntry, entry)
	return buildServer(group, s, log)
}

// buildServer adds the HTTP server for callers and operators.
func buildServer(group *services.Group, s entrySettings, log klog.Logger) error {
	entry, err := services.Find[*coreentry.Entry](group, nameEntry)
	if err != nil {
		return err
	}
	follower, err := services.Find[*follow.Follower](group, nameFollow)
	if err != nil {
		return err
	}
	members, err := services.Find[*fleet.Fleet](group, nameFleet)
	if err != nil {
		return err
	}
	mux := goji.NewMux()
	caller.New(caller.Options{Runner: entry, Configuration: follower}).Mount(mux)
	operator.New(operator.Options{
		Follower:  follower,
		Status:    func() operator.StatusResponse { return entryStatus(s, entry, follower, members) },
		Operators: s.operators,
		Log:       log,
	}).Mount(mux)
	set := metrics.NewSet()
	mux.HandleFunc(pat.Get("/metrics"), func(w http.ResponseWriter, _ *http.Request) {
		updateEntryMetrics(set, entry, follower)
		updateLinkMetrics(set, members)
		set.WritePrometheus(w)
	})
	group.Add(nameWeb, web.New(web.Options{Addr: s.addr, Handler: mux, Grace: s.grace}))
	return nil
}

// buildAgent adds an agent's services to a group.
func buildAgent(group *services.Group, s agentSettings) error {
	signer, err := mac.New(s.fleet)
	if err != nil {
		return err
	}
	follower, err := follow.New(follow.Options{Signer: signer})
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
		MaxCalls:      s.calls,
		MaxBytes:      s.memory,
	})
	if err != nil {
		return err
	}
	links := ioentry.New(ioentry.Options{Agent: agent, Configuration: follower, Signer: signer})
	set := metrics.NewSet()
	mux := goji.NewMux()
	links.Mount(mux)
	mux.HandleFunc(pat.Get("/metrics"), func(w http.ResponseWriter, _ *http.Request) {
		updateAgentMetrics(set, agent)
		set.WritePrometheus(w)
	})
	group.Add(nameFollow, follower)
	group.Add(nameAgent, agent)
	group.Add(nameLinks, links)
	group.Add(nameWeb, web.New(web.Options{Addr: s.addr, Handler: mux}))
	return nil
}

// stopAgent stops admitting calls and waits until the admitted ones have ended, at
// most for the grace period.
func stopAgent(group *services.Group, grace time.Duration) error {
	agent, err := services.Find[*coreagent.Agent](group, nameAgent)
	if err != nil {
		return err
	}
	links, err := services.Find[*ioentry.Server](group, nameLinks)
	if err != nil {
		return err
	}
	agent.Drain()
	links.AnnounceLoad()
	// Entries may have sent calls before AnnounceLoad told them that the agent is
	// draining. The agent refuses these calls during refusalPeriod.
	time.Sleep(refusalPeriod)
	ctx, cancel := context.WithTimeout(context.Background(), grace)
	defer cancel()
	_ = agent.WaitDrained(ctx) // calls that remain after the grace period are cut off by Close
	return nil
}

// stopEntry makes the entry report that it is not ready and waits until the balancer
// has noticed. Requests are served meanwhile.
func stopEntry(group *services.Group, lag time.Duration) error {
	entry, err := services.Find[*coreentry.Entry](group, nameEntry)
	if err != nil {
		return err
	}
	server, err := services.Find[*web.Server](group, nameWeb)
	if err != nil {
		return err
	}
	entry.Drain()
	server.Drain()
	time.Sleep(lag)
	return nil
}
