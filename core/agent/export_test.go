package agent

import "time"

// Sweep runs one pass of the agent's sweep loop.
func (a *Agent) Sweep(now time.Time) { a.sweep(now) }
