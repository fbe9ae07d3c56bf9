// Package bootclock reads Linux's CLOCK_BOOTTIME: a monotonic clock, unaffected by
// changes of the wall clock, that also advances while the machine is suspended.
package bootclock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the machine booted, as a time.Time relative to the
// Unix epoch. It is meaningful only in comparison with other results of Now on the
// same machine.
func Now() time.Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic(err) // every Linux since 2.6.39 has this clock
	}
	return time.Unix(ts.Unix())
}
