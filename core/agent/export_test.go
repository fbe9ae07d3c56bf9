package agent

import "time"

// Sweep is what the agent does at each tick.
func (a *Agent) Sweep(now time.Time) { a.sweep(now) }
