package sequoialead

import "context"

// Peer is one agent as an entry sees it.
type Peer interface {
	// Hello returns what the agent last said of itself. It reports false while
	// there is no connection.
	Hello() (Hello, bool)
	// Candidate returns the agent for routing. It reports false while no call
	// should be sent.
	Candidate() (Candidate, bool)
	// Reconnecting reports whether the connection was lost just now, so that it
	// may be back before long.
	Reconnecting() bool
	// Call sends a call and hands its answer to the reply until the end.
	Call(ctx context.Context, call Call, reply Reply) (End, error)
	// SetLeaving takes the instance list's word on the agent.
	SetLeaving(leaving bool)
	// Bytes returns the bytes received and sent so far.
	Bytes() (received, sent uint64)
	// Announce tells the agent at once of a new version.
	Announce()
	// Close closes the connections and waits.
	Close() error
}

// Request is one run of a pipeline for a customer.
type Request struct {
	Pipeline string
	Customer string
	// Key is the caller's idempotency key, or empty.
	Key string
	// Text is what an encoder or engine is asked.
	Text string
	// Body is what a plain service is given, in JSON.
	Body []byte
}

// Answer is what a caller is told of a request.
type Answer struct {
	// ID names the request in the logs of all processes.
	ID      string
	Outcome Outcome
	Reason  Reason
	Detail  string
	// Version is the configuration that the request was run under.
	Version Version
	// Text is a generation's whole text.
	Text   string
	Tokens int
	// Body and Status are a plain service's answer.
	Body   []byte
	Status int
	// Documents are the identities of what was retrieved, best first.
	Documents []string
	Stages    []StageReport
	// Repeat is set where the answer is that of an earlier request with the
	// same idempotency key.
	Repeat bool
}

// StageState is how far a stage has come.
type StageState string

// The states of a stage in a report.
const (
	StageDone    StageState = "done"
	StageFailed  StageState = "failed"
	StageUnknown StageState = "unknown"
	StageNotRun  StageState = "not-run"
)

// StageReport tells what became of one stage.
type StageReport struct {
	Name  string     `json:"name"`
	State StageState `json:"state"`
	Tries int        `json:"tries"`
}

// Sink receives a streamed answer.
type Sink interface {
	// Token is called for each piece of text in order. The text may be held
	// back until Flush, but not the slice.
	Token(text []byte) error
	// Flush sends what was held back.
	Flush() error
}
