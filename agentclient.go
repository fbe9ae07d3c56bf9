package sequoialead

import "context"

// AgentClient is an entry's client for one agent.
type AgentClient interface {
	// Hello returns the agent's latest hello. It reports false while there is no
	// connection.
	Hello() (Hello, bool)
	// Candidate returns the agent for routing. It reports false while no call
	// should be sent to the agent.
	Candidate() (Candidate, bool)
	// Reconnecting reports whether the connection was lost a short time ago and
	// is likely to be restored soon.
	Reconnecting() bool
	// Call sends a call and passes its answer to the reply until the call ends.
	Call(ctx context.Context, call Call, reply Reply) (End, error)
	// SetLeaving sets whether the instance list shows the agent as leaving.
	SetLeaving(leaving bool)
	// Bytes returns the total numbers of bytes received and sent.
	Bytes() (received, sent uint64)
	// AnnounceVersion tells the agent immediately of a new configuration version.
	AnnounceVersion()
	// Close closes the connections and waits until its goroutines have ended.
	Close() error
}

// Request is one run of a pipeline for a customer.
type Request struct {
	Pipeline string
	Customer string
	// Key is the caller's idempotency key, or empty.
	Key string
	// Text is the input of an encoder or a model engine.
	Text string
	// Body is the request body for a plain service, in JSON.
	Body []byte
}

// Answer is the result of a request that is returned to its caller.
type Answer struct {
	// ID names the request in the logs of all processes.
	ID      string
	Outcome Outcome
	Reason  Reason
	Detail  string
	// Version is the configuration that the request was run under.
	Version Version
	// Text is the complete text of a generation.
	Text   string
	Tokens int
	// Body and Status are a plain service's answer.
	Body   []byte
	Status int
	// Documents are the IDs of the retrieved documents, best first.
	Documents []string
	Stages    []StageReport
	// Repeat is set if this is the stored answer of an earlier request with the
	// same idempotency key.
	Repeat bool
}

// StageState is the final state of a stage.
type StageState string

// The states of a stage in a report.
const (
	StageDone    StageState = "done"
	StageFailed  StageState = "failed"
	StageUnknown StageState = "unknown"
	StageNotRun  StageState = "not-run"
)

// StageReport is the final state of one stage and the number of attempts at it.
type StageReport struct {
	Name     string     `json:"name"`
	State    StageState `json:"state"`
	Attempts int        `json:"tries"`
}

// Sink receives a streamed answer.
type Sink interface {
	// Token is called for each fragment of text in order. The sink may buffer the
	// text until Flush, but must copy it: the slice is reused after the call.
	Token(text []byte) error
	// Flush sends the buffered text.
	Flush() error
}
