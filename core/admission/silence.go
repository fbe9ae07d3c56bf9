package admission

import "time"

const (
	// silenceFactor is the time without a byte of an answer after which its server counts as
	// lost, as a multiple of the predicted time to the first one. Servers that share their
	// machines take up to three times as long as usual.
	silenceFactor = 4
	// silenceShare is the part of a request's time left that has to pass as well, so that a
	// request with much time doesn't leave a server that is only slow.
	silenceShare = 0.25
	// objectiveShare replaces it for the time until the objective: another attempt can then
	// still be in time.
	objectiveShare = 1.0 / 3
	// minSilence is the least of such times. Sound engines pause for longer than several
	// times their usual time to the first byte while they read a large prompt; requests
	// that left them then took thrice the reading of shared parts.
	minSilence = time.Second
)

// Silence returns the time without a byte of an answer after which the backend server of a
// request that may be repeated counts as lost. It reports false if no time for another attempt
// would be left then. The time until the objective may be over, and is not used then.
func Silence(firstByte, left, untilObjective time.Duration) (time.Duration, bool) {
	share := silenceShare * float64(left)
	if untilObjective > 0 {
		share = min(share, objectiveShare*float64(untilObjective))
	}
	limit := max(silenceFactor*firstByte, time.Duration(share), minSilence)
	return limit, limit+firstByte+ReplyTime(left) < left
}
