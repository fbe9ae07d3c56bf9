package sequoialead

// Outcome is the result of a request that is reported to its caller.
type Outcome string

// The four outcomes of a request.
const (
	// OutcomeDone means that the whole answer was delivered.
	OutcomeDone Outcome = "done"
	// OutcomeNotRun means that no stage was started and none will be.
	OutcomeNotRun Outcome = "not-run"
	// OutcomeFailed means that at least one stage ran and that the answer is
	// missing or incomplete.
	OutcomeFailed Outcome = "failed"
	// OutcomeUnknown means that a non-idempotent stage was sent but its result
	// was not received, so it may or may not have run.
	OutcomeUnknown Outcome = "unknown"
)
