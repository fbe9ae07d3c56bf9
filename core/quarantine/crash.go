package quarantine

import (
	"slices"
	"time"
)

// crashID names a process of a backend server that has ended.
type crashID struct {
	server string
	// startedAt is the start of the process in Unix milliseconds.
	startedAt int64
}

// crash is the end of one server process.
type crash struct {
	// at is when it happened, by this entry's clock and as far as the times of day of the
	// entries agree. happenedAt is the time of day at the entry that reported it first.
	at         time.Time
	happenedAt time.Time
	// reports holds the suspects by the entry that reported them.
	reports map[string]*suspects
}

// suspects are the parts of requests whose answers had not begun to arrive.
type suspects struct {
	// begun holds those with the head of an answer, waiting those without.
	begun   [][]uint64
	waiting [][]uint64
}

// begun reports whether the server had begun to answer one of the suspects.
func (c *crash) begun() bool {
	for _, r := range c.reports {
		if len(r.begun) > 0 {
			return true
		}
	}
	return false
}

// prompts returns the suspects of a crash: those that the server had begun to answer, or
// all others if there is none.
func (c *crash) prompts() [][]uint64 {
	var begun, waiting [][]uint64
	for _, r := range c.reports {
		begun = append(begun, r.begun...)
		waiting = append(waiting, r.waiting...)
	}
	if len(begun) > 0 {
		return begun
	}
	return waiting
}

// has reports whether one of the crash's suspects has all parts of a verdict.
func (c *crash) has(v *verdict) bool {
	return slices.ContainsFunc(c.prompts(), func(p []uint64) bool { return containsAll(p, v.parts) })
}
