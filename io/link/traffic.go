package link

import "sync/atomic"

// traffic holds the traffic counters of a link.
type traffic struct {
	// received and sent are in bytes.
	received atomic.Uint64
	sent     atomic.Uint64
	// lastReceived is when a message was last received, in nanoseconds since the
	// Unix epoch. It starts as the time when the link was opened.
	lastReceived atomic.Int64
}
