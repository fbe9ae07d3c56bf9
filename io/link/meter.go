package link

import "sync/atomic"

// meter counts what passes over a link.
type meter struct {
	// received and sent are in bytes.
	received atomic.Uint64
	sent     atomic.Uint64
	// last is when something was last received, in nanoseconds since 1970.
	last atomic.Int64
}
