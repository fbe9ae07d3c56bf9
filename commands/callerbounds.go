package commands

import (
	"cmp"
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"golang.org/x/sys/unix"

	"sequoialead/core/callerbudget"
	"sequoialead/core/watch"
	"sequoialead/io/web"
)

// Parts of the memory setting. With the limit for the heap (heapShare) they leave room for
// garbage that is not collected yet.
const (
	// bodyShare is the fraction for the bodies of requests, and connShare that for connections.
	bodyShare = 0.25
	connShare = 0.15
	// callerShare is the fraction for everything that is held for callers. Parts of answers
	// take what bodies and connections leave.
	callerShare = 0.4
)

const (
	// filesKept is the number of descriptors that are kept for files.
	filesKept = 200
	// callerFilesShare is the fraction of the other descriptors for callers. A request in flight
	// may need one more, for its backend server. idleFilesShare is the fraction for idle
	// connections to backend servers, and peerFilesShare that for connections of other entries.
	// Readiness checks, metrics and the store need a few; calls for pieces and connections to
	// other entries use what the others leave.
	callerFilesShare = 0.35
	idleFilesShare   = 0.15
	peerFilesShare   = 0.15
	// minConns is the least number of connections of callers, and of other entries, whatever the
	// settings say.
	minConns = 64
	// maxReadyConns, maxMetricsConns and maxPeerConns bound the connections of the other
	// servers. The balancer has a few machines, and each entry opens one connection to each
	// other, with a second one while it restarts.
	maxReadyConns   = 64
	maxMetricsConns = 16
	maxPeerConns    = 1024
	// otherTimeout is the time for a request and its answer at these servers, which are short. It
	// doesn't apply to the connections of other entries once they are set up.
	otherTimeout = 10 * time.Second
)

// Time limits for callers. Callers inside the limits give up if a request isn't read after one
// second, or after a third of the time that they have left, so they meet none of these: a body
// of 4 MB in a third of 60 seconds arrives at 200 KB/s.
const (
	bodyStall = 5 * time.Second
	bodyGrace = 10 * time.Second
	bodyRate  = 8 << 10 // in bytes per second
	// answerStall is how long a caller may read nothing of an answer that waits. It is long
	// because a receiver opens its window only for a segment, which has 64 KB on loopback: one
	// that reads 8 KB/s shows no progress for 8 seconds.
	answerStall = 8 * time.Second
)

// maxFiles returns the number of descriptors that the process may have open.
func (s *gatewaySettings) maxFiles() int {
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil || limit.Cur > 1<<30 {
		return s.files // no limit that is known
	}
	if s.files == 0 {
		return int(limit.Cur)
	}
	return min(s.files, int(limit.Cur))
}

// filesFor returns a fraction of the descriptors that are not kept for files; 0 if they are not
// limited.
func (s *gatewaySettings) filesFor(share float64) int {
	files := s.maxFiles()
	if files == 0 {
		return 0
	}
	return max(int(share*float64(files-filesKept)), minConns)
}

// callerLimits returns the bounds of what is held for callers.
func (s *gatewaySettings) callerLimits() callerbudget.Limits {
	memory := float64(s.memory) * megabyte
	conns := int(connShare * memory / callerbudget.ConnBytes)
	if files := s.filesFor(callerFilesShare); files > 0 {
		conns = min(conns, files)
	}
	return callerbudget.Limits{Conns: max(conns, minConns), Bytes: int64(callerShare * memory), BodyBytes: int64(bodyShare * memory)}
}

// peerLimits returns the bounds of what is held for other entries.
func (s *gatewaySettings) peerLimits() callerbudget.Limits {
	return callerbudget.Limits{Conns: min(cmp.Or(s.filesFor(peerFilesShare), maxPeerConns), maxPeerConns)}
}

// callerBounds returns the bounds of the server for callers.
func (s *gatewaySettings) callerBounds(watcher *watch.Watcher) web.Bounds {
	return web.Bounds{
		Limits: s.callerLimits(),
		Header: func() (int, time.Duration) {
			if conf := watcher.Config(); conf != nil {
				return conf.Limits.Header, conf.Limits.HeaderTimeout
			}
			return 0, 0
		},
		BodyStall: bodyStall, BodyGrace: bodyGrace, BodyRate: bodyRate, AnswerStall: answerStall,
	}
}

// updateCallerMetrics sets the metrics of what is held for callers, refused and ended.
func updateCallerMetrics(set *metrics.Set, callers *web.Server) {
	held, counts := callers.Held()
	for state, n := range held.ByState {
		set.GetOrCreateCounter(fmt.Sprintf("sequoialead_caller_connections{state=%q}", state)).Set(uint64(n))
	}
	set.GetOrCreateCounter("sequoialead_caller_sources").Set(uint64(held.Sources))
	set.GetOrCreateCounter("sequoialead_caller_bytes").Set(uint64(held.Bytes))
	set.GetOrCreateCounter("sequoialead_caller_body_bytes").Set(uint64(held.BodyBytes))
	for cause, n := range map[string]uint64{"connections": counts.RefusedConns, "memory": counts.RefusedMemory, "header-size": counts.LargeHeads} {
		set.GetOrCreateCounter(fmt.Sprintf("sequoialead_callers_refused_total{cause=%q}", cause)).Set(n)
	}
	for cause, n := range map[string]uint64{
		"connections": counts.EndedForConns, "memory": counts.EndedForMemory, "header-time": counts.SlowHeads, "body-time": counts.StalledBodies, "unread": counts.UnreadAnswers,
	} {
		set.GetOrCreateCounter(fmt.Sprintf("sequoialead_callers_ended_total{cause=%q}", cause)).Set(n)
	}
}
