package sequoialead

// Outcome is what a caller is told of its request.
type Outcome string

// The four outcomes of a request.
const (
	// OutcomeDone means that the whole answer was delivered.
	OutcomeDone Outcome = "done"
	// OutcomeNotRun means that no stage was started and none will be.
	OutcomeNotRun Outcome = "not-run"
	// OutcomeFailed means that some stage ran and the answer is not whole.
	OutcomeFailed Outcome = "failed"
	// OutcomeUnknown means that a non-idempotent stage was sent and its end
	// was not seen.
	OutcomeUnknown Outcome = "unknown"
)
