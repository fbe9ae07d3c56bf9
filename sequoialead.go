// Package sequoialead holds the interfaces and value types that the services
// of the system share. Implementations live below it: decisions in core,
// protocols in io, and stand-ins for outside systems in fake.
package sequoialead

import (
	"context"
	"net/netip"
	"time"

	"github.com/google/uuid"
)

// Version numbers a configuration. Versions only rise.
type Version uint64

// CallID names one attempt at one stage of one request.
type CallID struct {
	Request uuid.UUID `cbor:"1,keyasint"`
	Stage   uint8     `cbor:"2,keyasint"`
	Attempt uint8     `cbor:"3,keyasint"`
}

// Op names what a backend server does with a call.
type Op string

// The operations that a stage may name.
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
	// Incarnation is the agent process that the call is addressed to. Any
	// other process refuses it.
	Incarnation uuid.UUID `cbor:"2,keyasint"`
	Pool        string    `cbor:"3,keyasint"`
	Op          Op        `cbor:"4,keyasint"`
	// Path is the path below the backend server's root, for OpInvoke.
	Path string `cbor:"5,keyasint,omitempty"`
	// Left is the time left until the request's deadline when the call was sent.
	Left time.Duration `cbor:"6,keyasint"`
	// Idempotent calls may run more than once without harm.
	Idempotent bool   `cbor:"7,keyasint,omitempty"`
	Customer   string `cbor:"8,keyasint,omitempty"`
	Body       []byte `cbor:"9,keyasint"`
	// From is the sequence number of the first chunk that the caller misses.
	From uint32 `cbor:"10,keyasint,omitempty"`
	// Credit is the number of bytes of chunks that may be sent at once.
	Credit int `cbor:"11,keyasint"`
	// Version is the configuration that the entry goes by.
	Version Version `cbor:"12,keyasint,omitempty"`
	// Resends counts the earlier times that the call was sent. Its answer goes
	// to where the latest copy came from.
	Resends uint32 `cbor:"13,keyasint,omitempty"`
}

// Chunk is one piece of a call's answer.
type Chunk struct {
	// Seq counts the chunks of a call from 0 without gaps.
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
	// EndLost means that the call was sent to the backend server and its end
	// was not seen.
	EndLost Ending = "lost"
)

// End closes a call's answer.
type End struct {
	Ending Ending `cbor:"1,keyasint"`
	// Count is the number of chunks of the whole answer.
	Count  uint32 `cbor:"2,keyasint,omitempty"`
	Reason Reason `cbor:"3,keyasint,omitempty"`
	Detail string `cbor:"4,keyasint,omitempty"`
	// Status is the HTTP status of a plain service's answer.
	Status int `cbor:"5,keyasint,omitempty"`
	// Service is the time that the backend server took.
	Service time.Duration `cbor:"6,keyasint,omitempty"`
	// Tokens is the number of tokens that the backend server produced.
	Tokens int  `cbor:"7,keyasint,omitempty"`
	Load   Load `cbor:"8,keyasint"`
}

// Load is what an agent knows of its backend server, sent with every reply.
type Load struct {
	// Limit is the number of calls that the backend server may run at once.
	Limit int `cbor:"1,keyasint"`
	// Running is the number of calls that it runs.
	Running int `cbor:"2,keyasint"`
	// Waiting is the number of calls admitted by the agent and not yet sent on.
	Waiting int `cbor:"3,keyasint"`
	// Leaving is set once the agent admits no new work.
	Leaving bool `cbor:"4,keyasint,omitempty"`
	// Version is the configuration that the agent goes by.
	Version Version `cbor:"5,keyasint"`
	// Part is the number of calls that the entry may hold there also while the
	// limit is used up; 0 if entries are not told apart.
	Part int `cbor:"6,keyasint,omitempty"`
}

// Boot identifies one life of a backend server.
type Boot struct {
	ID    string
	Model string
}

// Reply receives a backend server's answer while it arrives.
type Reply interface {
	// Chunk is called for each piece in order. The data is owned by the receiver.
	Chunk(data []byte) error
	// Flush is called once no more pieces are at hand.
	Flush() error
}

// Backend speaks to one backend server.
type Backend interface {
	// Probe asks for the backend server's identity, in one short exchange.
	Probe(ctx context.Context) (Boot, error)
	// Do runs a call and blocks until its end. A Boot that differs from the
	// one given makes the backend server refuse, where it supports that.
	Do(ctx context.Context, call Call, boot Boot, reply Reply) (End, error)
	// Close drops idle connections.
	Close() error
}

// Record is one record of the platform's log.
type Record struct {
	Offset uint64
	// Time is when the log took the record, by the log's own clock.
	Time time.Time
	Data []byte
}

// Batch is the result of one read of the log.
type Batch struct {
	Records []Record
	// Oldest is the offset of the oldest record that is still kept.
	Oldest uint64
	// Next is the offset that the next record will get.
	Next uint64
}

// Log is the platform's append-only log.
type Log interface {
	// Append adds a record and returns its offset. After an error the record
	// may or may not have been taken.
	Append(ctx context.Context, stream string, data []byte) (uint64, error)
	// Read returns records from an offset on. It waits up to the given time
	// for one to arrive.
	Read(ctx context.Context, stream string, from uint64, wait time.Duration) (Batch, error)
}

// Role tells what a process does.
type Role string

// The roles of processes in the instance list.
const (
	RoleEntry Role = "entry"
	RoleAgent Role = "agent"
)

// Instance is one line of the platform's instance list.
type Instance struct {
	Name    string
	Role    Role
	Addr    netip.AddrPort
	Pool    string
	Domain  string
	Region  string
	Leaving bool
}

// List is the platform's list of instances. It lags.
type List interface {
	Instances(ctx context.Context) ([]Instance, error)
}

// Hello is what an agent says of itself on a new connection.
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
	// Load is the latest reading, and At the time when it was taken.
	Load Load
	At   time.Time
	// Open is the number of calls of this entry that the agent holds.
	Open int
}

// Busy is the share of the candidate's limit in use, from what is known here.
func (c Candidate) Busy() float64 {
	limit := max(c.Load.Limit, 1)
	used := max(c.Open, c.Load.Running+c.Load.Waiting)
	return float64(used) / float64(limit)
}

// Room reports whether the limit, from what is known here, is not used up.
func (c Candidate) Room() bool { return c.Busy() < 1 }

// Within reports whether this entry holds less than its part.
func (c Candidate) Within() bool { return c.Open < c.Load.Part }

// Router chooses among candidates.
type Router interface {
	// Pick returns the index of the chosen candidate. The prefix is the start
	// of the prompt, or empty. There is at least one candidate.
	Pick(candidates []Candidate, prefix string) int
}

// Service is a part of a process with a life of its own.
type Service interface {
	// Start returns once the service is ready for others to use.
	Start(ctx context.Context) error
	// Close stops the service and waits until it has stopped.
	Close() error
}
