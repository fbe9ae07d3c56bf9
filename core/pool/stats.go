package pool

import (
	"math"
	"time"

	"sequoialead"
)

// ServerStats is what this entry holds of one backend server.
type ServerStats struct {
	Server   sequoialead.Server
	InFlight int
	// Pace is the factor of the server's machine on its usual times, and Own that of a model
	// engine itself in relation to the pool.
	Pace, Own float64
	// Failures is a moving average of failures, from 0 to 1.
	Failures float64
	Ejected  bool
	// MemoryTokens is the memory that this entry's requests take at a model engine, and Others
	// the number of other entries' requests there as of a recent report.
	MemoryTokens int
	Others       int
}

// Deviation tells how far the server is from a usual one, zero if not at all.
func (s ServerStats) Deviation() float64 {
	deviation := math.Abs(math.Log(s.Pace*s.Own)) + s.Failures
	if s.Ejected {
		deviation += ejectedDeviation
	}
	return deviation
}

// ejectedDeviation puts ejected servers before all others, whose factors are up to 8 each.
const ejectedDeviation = 10.0

// Servers returns what this entry holds of each backend server.
func (p *Pool) Servers(now time.Time) []ServerStats {
	stats := make([]ServerStats, 0, len(p.members))
	for _, m := range p.members {
		others, _ := m.memory.Others(now)
		stats = append(stats, ServerStats{
			Server: m.Server, InFlight: m.inFlight, Pace: m.pace.At(now), Own: m.own.At(now), Failures: m.failureRate,
			Ejected: p.opts.Limits.Outlier && p.outliers.IsEjected(m.Server, now), MemoryTokens: m.memory.Used(), Others: others,
		})
	}
	return stats
}
