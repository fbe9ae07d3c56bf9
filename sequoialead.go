// Package sequoialead holds the interfaces and value types that the services
// of the system share. The implementations are in subdirectories: decisions in
// core, protocols in io, and simulated external systems in fake.
package sequoialead

import (
	"context"
	"net/netip"
	"time"

	"github.com/google/uuid"
)

// Version is the number of a configuration version. It only increases.
type Version uint64

// CallID identifies one attempt at one stage of one request.
type CallID struct {
	Request uuid.UUID `cbor:"1,keyasint"`
	Stage   uint8     `cbor:"2,keyasint"`
	Attempt uint8     `cbor:"3,keyasint"`
}

// Op is the operation that a backend server performs for a call.
type Op string

// The operations that a stage may use.
const (
	OpEmbed    Op = "embed"
	OpSearch   Op = "search"
	OpRerank   Op = "rerank"
	OpGenerate Op = "generate"
	OpInvoke   Op = "invoke"
)

// Streams reports whether the operation answers in more than one chunk.
func (o Op) Streams() bool { return o == OpGenerate }

// Valid reports whether the operation is known.
func (o Op) Valid() bool {
	switch o {
	case OpEmbed, OpSearch, OpRerank, OpGenerate, OpInvoke:
		return true
	}
	return false
}

// Call is one attempt at a stage, as an entry sends it to an agent.
type Call struct {
	ID CallID `cbor:"1,keyasint"`
	// Incarnation identifies the agent process that the call is addressed to.
	// Any other process refuses the call.
	Incarnation uuid.UUID `cbor:"2,keyasint"`
	Pool        string    `cbor:"3,keyasint"`
	Op          Op        `cbor:"4,keyasint"`
	// Path is the path below the backend server's root, for OpInvoke.
	Path string `cbor:"5,keyasint,omitempty"`
	// TimeLeft is the time remaining until the request's deadline when the call is sent.
	TimeLeft time.Duration `cbor:"6,keyasint"`
	// Idempotent calls may run more than once without harm.
	Idempotent bool   `cbor:"7,keyasint,omitempty"`
	Customer   string `cbor:"8,keyasint,omitempty"`
	Body       []byte `cbor:"9,keyasint"`
	// FirstSeq is the sequence number of the first chunk that the entry has not
	// received.
	FirstSeq uint32 `cbor:"10,keyasint,omitempty"`
	// Credit is the initial flow-control window: the number of bytes of chunks
	// that the agent may send before it is granted more.
	Credit int `cbor:"11,keyasint"`
	// Version is the configuration version that the entry uses.
	Version Version `cbor:"12,keyasint,omitempty"`
	// Resends is the number of times that the call was sent before. The answer
	// goes to the connection that the copy with the highest number came from.
	Resends uint32 `cbor:"13,keyasint,omitempty"`
}

// Chunk is one part of a call's answer.
type Chunk struct {
	// Seq numbers the chunks of a call from 0 without gaps.
	Seq  uint32
	Data []byte
}

// Ending tells how a call ended.
type Ending string

// The endings of a call.
const (
	// EndDone means that all chunks were produced.
	EndDone Ending = "done"
	// EndRefused means that the call was never started and never will be.
	EndRefused Ending = "refused"
	// EndFailed means that the backend server ran the call and it failed.
	EndFailed Ending = "failed"
	// EndLost means that the call was sent to the backend server but its result
	// was not received, so it may or may not have run.
	EndLost Ending = "lost"
)

// End is the last message of a call's answer.
type End struct {
	Ending Ending `cbor:"1,keyasint"`
	// Count is the total number of chunks of the answer.
	Count  uint32 `cbor:"2,keyasint,omitempty"`
	Reason Reason `cbor:"3,keyasint,omitempty"`
	Detail string `cbor:"4,keyasint,omitempty"`
	// Status is the HTTP status of a plain service's answer.
	Status int `cbor:"5,keyasint,omitempty"`
	// Service is the time that the backend server took for the call.
	Service time.Duration `cbor:"6,keyasint,omitempty"`
	// Tokens is the number of tokens that the backend server produced.
	Tokens int  `cbor:"7,keyasint,omitempty"`
	Load   Load `cbor:"8,keyasint"`
}

// Load is the load of an agent and its backend server, sent with every reply.
type Load struct {
	// Limit is the number of calls that the backend server may run at once.
	Limit int `cbor:"1,keyasint"`
	// Running is the number of calls that the backend server runs.
	Running int `cbor:"2,keyasint"`
	// Queued is the number of calls that the agent has admitted and not yet
	// sent to the backend server.
	Queued int `cbor:"3,keyasint"`
	// Leaving is set once the agent admits no new work.
	Leaving bool `cbor:"4,keyasint,omitempty"`
	// Version is the configuration version that the agent uses.
	Version Version `cbor:"5,keyasint"`
	// Quota is the receiving entry's quota: the number of calls that it may have
	// in flight at the agent even when the limit is reached; 0 if the agent has no
	// quotas per entry.
	Quota int `cbor:"6,keyasint,omitempty"`
}

// Boot identifies one process of a backend server; it changes with a restart.
type Boot struct {
	ID    string
	Model string
}

// Reply receives a backend server's answer while it arrives.
type Reply interface {
	// Chunk is called for each chunk in order. The data is owned by the receiver.
	Chunk(data []byte) error
	// Flush is called when no further chunk is available yet.
	Flush() error
}

// Backend is a client for one backend server.
type Backend interface {
	// Probe asks for the backend server's identity with one short request.
	Probe(ctx context.Context) (Boot, error)
	// Do runs a call and blocks until it ends. The backend server refuses the
	// call if its own boot differs from the given one, where it supports that.
	Do(ctx context.Context, call Call, boot Boot, reply Reply) (End, error)
	// Close drops idle connections.
	Close() error
}

// Record is one record of the platform's log.
type Record struct {
	Offset uint64
	// Time is when the record was appended, by the log's own clock.
	Time time.Time
	Data []byte
}

// Batch is the result of one read of the log.
type Batch struct {
	Records []Record
	// Oldest is the offset of the oldest record that is still retained.
	Oldest uint64
	// Next is the offset that the next appended record will get.
	Next uint64
}

// Log is the platform's append-only log.
type Log interface {
	// Append adds a record and returns its offset. After an error the record
	// may or may not have been appended.
	Append(ctx context.Context, stream string, data []byte) (uint64, error)
	// Read returns records starting at an offset. If there are none yet, it
	// waits up to the given time for one.
	Read(ctx context.Context, stream string, from uint64, wait time.Duration) (Batch, error)
}

// Role is the kind of a process.
type Role string

// The roles of processes in the instance list.
const (
	RoleEntry Role = "entry"
	RoleAgent Role = "agent"
)

// Instance is one entry of the platform's instance list.
type Instance struct {
	Name    string
	Role    Role
	Addr    netip.AddrPort
	Pool    string
	Domain  string
	Region  string
	Leaving bool
}

// List is the platform's list of instances. It lags behind the actual state.
type List interface {
	Instances(ctx context.Context) ([]Instance, error)
}

// Hello is the first message of an agent on a new connection.
type Hello struct {
	Name        string    `cbor:"1,keyasint"`
	Pool        string    `cbor:"2,keyasint"`
	Domain      string    `cbor:"3,keyasint"`
	Region      string    `cbor:"4,keyasint"`
	Incarnation uuid.UUID `cbor:"5,keyasint"`
	Load        Load      `cbor:"6,keyasint"`
}

// Candidate is an agent that a call may be sent to.
type Candidate struct {
	Name   string
	Domain string
	Region string
	// Load is the latest load report, and LoadTime the time when it was received.
	Load     Load
	LoadTime time.Time
	// InFlight is the number of calls that this entry has in flight at the agent.
	InFlight int
}

// Utilization is the estimated utilization of the candidate: calls divided by the limit.
func (c Candidate) Utilization() float64 {
	limit := max(c.Load.Limit, 1)
	used := max(c.InFlight, c.Load.Running+c.Load.Queued)
	return float64(used) / float64(limit)
}

// HasCapacity reports whether the estimated utilization is below the limit.
func (c Candidate) HasCapacity() bool { return c.Utilization() < 1 }

// WithinQuota reports whether this entry has fewer calls in flight than its quota.
func (c Candidate) WithinQuota() bool { return c.InFlight < c.Load.Quota }

// Router chooses among candidates.
type Router interface {
	// Pick returns the index of the chosen candidate. The prefix is the start
	// of the prompt, or empty. There is at least one candidate.
	Pick(candidates []Candidate, prefix string) int
}

// Service is a component of a process that is started and stopped.
type Service interface {
	// Start returns once the service is ready for use.
	Start(ctx context.Context) error
	// Close stops the service and waits until it has stopped.
	Close() error
}
