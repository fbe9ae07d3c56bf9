package commands

import (
	"fmt"
	"runtime"

	"github.com/VictoriaMetrics/metrics"

	"sequoialead/common/bootclock"
	coreagent "sequoialead/core/agent"
	coreentry "sequoialead/core/entry"
	"sequoialead/core/fleet"
	"sequoialead/core/follow"
	"sequoialead/core/forward"
	"sequoialead/core/watch"
	"sequoialead/io/http1"
)

func updateEntryMetrics(set *metrics.Set, entry *coreentry.Entry, follower *follow.Follower) {
	stats := entry.Stats()
	for outcome, n := range stats.Outcomes {
		set.GetOrCreateCounter(fmt.Sprintf(`sequoialead_requests_total{outcome=%q}`, outcome)).Set(n)
	}
	for reason, n := range stats.Reasons {
		set.GetOrCreateCounter(fmt.Sprintf(`sequoialead_reasons_total{reason=%q}`, reason)).Set(n)
	}
	set.GetOrCreateCounter("sequoialead_retries_total").Set(stats.Retries)
	set.GetOrCreateCounter("sequoialead_configuration_version").Set(uint64(follower.Version()))
	set.GetOrCreateCounter("sequoialead_requests_open").Set(uint64(entry.InFlight()))
	set.GetOrCreateCounter("sequoialead_stages_waiting").Set(uint64(entry.Queued()))
	for key, c := range stats.Costs {
		label := fmt.Sprintf(`{pipeline=%q,stage=%q,customer=%q}`, key.Pipeline, key.Stage, key.Customer)
		set.GetOrCreateCounter("sequoialead_stage_calls_total" + label).Set(c.Calls)
		set.GetOrCreateCounter("sequoialead_stage_tokens_total" + label).Set(c.Tokens)
		set.GetOrCreateCounter("sequoialead_stage_wasted_tokens_total" + label).Set(c.WastedTokens)
		set.GetOrCreateFloatCounter("sequoialead_stage_service_seconds_total" + label).Set(c.Service.Seconds())
		set.GetOrCreateFloatCounter("sequoialead_stage_wasted_seconds_total" + label).Set(c.WastedService.Seconds())
	}
}

func updateLinkMetrics(set *metrics.Set, members *fleet.Fleet) {
	var received, sent uint64
	all := members.All()
	for _, agent := range all {
		r, s := agent.Bytes()
		received += r
		sent += s
	}
	set.GetOrCreateCounter("sequoialead_link_received_bytes_total").Set(received)
	set.GetOrCreateCounter("sequoialead_link_sent_bytes_total").Set(sent)
	set.GetOrCreateCounter("sequoialead_agents").Set(uint64(len(all)))
}

func updateAgentMetrics(set *metrics.Set, agent *coreagent.Agent) {
	load, stats := agent.Load(""), agent.Stats()
	for name, n := range map[string]uint64{
		"sequoialead_agent_limit":           uint64(load.Limit),
		"sequoialead_agent_running":         uint64(load.Running),
		"sequoialead_agent_waiting":         uint64(load.Queued),
		"sequoialead_configuration_version": uint64(load.Version),
		"sequoialead_agent_started_total":   stats.Started,
		"sequoialead_agent_refused_total":   stats.Refused,
		"sequoialead_agent_attached_total":  stats.Duplicates,
		"sequoialead_agent_done_total":      stats.Done,
		"sequoialead_agent_failed_total":    stats.Failed,
		"sequoialead_agent_lost_total":      stats.Lost,
		"sequoialead_agent_new_lives_total": stats.Restarts,
	} {
		set.GetOrCreateCounter(name).Set(n)
	}
}

func updateGatewayMetrics(set *metrics.Set, watcher *watch.Watcher, forwarder *forward.Forwarder, client *http1.Client) {
	now := bootclock.Now()
	if conf := watcher.Config(); conf != nil {
		set.GetOrCreateCounter("sequoialead_configuration_version").Set(uint64(conf.Version))
	}
	if age, ok := watcher.Lease().Age(now); ok {
		set.GetOrCreateFloatCounter("sequoialead_configuration_age_seconds").Set(age.Seconds())
	}
	if age, ok := watcher.ServersLease().Age(now); ok {
		set.GetOrCreateFloatCounter("sequoialead_servers_age_seconds").Set(age.Seconds())
	}
	set.GetOrCreateCounter("sequoialead_entries").Set(uint64(watcher.EntryCount(now)))
	set.GetOrCreateCounter("sequoialead_requests_open").Set(uint64(forwarder.InFlight()))
	set.GetOrCreateCounter("sequoialead_connections_opened_total").Set(client.Opened())
	set.GetOrCreateCounter("sequoialead_goroutines").Set(uint64(runtime.NumGoroutine()))
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	set.GetOrCreateCounter("sequoialead_heap_bytes").Set(memory.HeapInuse)
	for key, p := range forwarder.Predictions() {
		for name, q := range map[string]forward.Quantiles{"predicted": p.Predicted, "actual": p.Actual} {
			label := fmt.Sprintf("pool=%q,route=%q,time=%q", key.Pool, key.Route, name)
			set.GetOrCreateFloatCounter(fmt.Sprintf(`sequoialead_admission_seconds{%s,quantile="0.5"}`, label)).Set(q.P50.Seconds())
			set.GetOrCreateFloatCounter(fmt.Sprintf(`sequoialead_admission_seconds{%s,quantile="0.9"}`, label)).Set(q.P90.Seconds())
		}
		set.GetOrCreateFloatCounter(fmt.Sprintf("sequoialead_admission_factor{pool=%q,route=%q}", key.Pool, key.Route)).Set(p.Factor)
	}
	for name, p := range forwarder.Pools() {
		label := fmt.Sprintf("{pool=%q}", name)
		set.GetOrCreateCounter("sequoialead_pool_servers" + label).Set(uint64(p.Servers))
		set.GetOrCreateCounter("sequoialead_pool_open" + label).Set(uint64(p.InFlight))
		set.GetOrCreateFloatCounter("sequoialead_pool_retries_left" + label).Set(p.Retries)
		set.GetOrCreateCounter("sequoialead_pool_ejected" + label).Set(uint64(p.Ejected))
		for cause, n := range p.Held {
			set.GetOrCreateCounter(fmt.Sprintf("sequoialead_pool_held{pool=%q,cause=%q}", name, cause)).Set(uint64(n))
		}
	}
}

// maxServerMetrics bounds the backend servers that have metrics of their own.
const maxServerMetrics = 32

// serverMetrics returns the metrics of the least usual backend servers. The set is new each
// time, so that it holds no servers that were unusual once.
func serverMetrics(forwarder *forward.Forwarder) *metrics.Set {
	set := metrics.NewSet()
	for _, s := range forwarder.UnusualServers(maxServerMetrics) {
		label := fmt.Sprintf("{pool=%q,server=%q}", s.Server.Pool, s.Server.ID)
		ejected := 0
		if s.Ejected {
			ejected = 1
		}
		for name, value := range map[string]float64{
			"sequoialead_server_ejected":       float64(ejected),
			"sequoialead_server_pace":          s.Pace,
			"sequoialead_server_own_pace":      s.Own,
			"sequoialead_server_failures":      s.Failures,
			"sequoialead_server_open":          float64(s.InFlight),
			"sequoialead_server_memory_tokens": float64(s.MemoryTokens),
			"sequoialead_server_others_open":   float64(s.Others),
		} {
			set.GetOrCreateFloatCounter(name + label).Set(value)
		}
	}
	return set
}
