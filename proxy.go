package sequoialead

import (
	"context"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"time"
)

// PromptPart is one segment of a prompt. Prompts with the same part ID share its
// tokens.
type PromptPart struct {
	ID     uint64
	Tokens int
}

// Prompt describes the input of a generation. It is passed separately from the
// request's body, because the body is not parsed.
type Prompt struct {
	Model string
	// Input is the number of tokens of the prompt, and Output the maximum
	// number of tokens to generate.
	Input  int
	Output int
	// Parts are in the order of the prompt. The last one is specific to the
	// request or its session; those before may be shared with other prompts.
	Parts []PromptPart
}

// PartIDs returns the IDs of the parts, separated by commas, as they are logged.
func (p Prompt) PartIDs() string {
	ids := make([]string, len(p.Parts))
	for i, part := range p.Parts {
		ids[i] = strconv.FormatUint(part.ID, 16)
	}
	return strings.Join(ids, ",")
}

// ProxyRequest is a request that is passed through to a backend server without
// parsing its body. Each attempt of the caller is a request of its own.
type ProxyRequest struct {
	// ID is chosen by the caller and unique to the attempt.
	ID     string
	Method string
	// Target is the path and query as the caller sent them.
	Target string
	Host   string
	// Header holds the end-to-end headers to forward, without those that the
	// entry sets itself.
	Header http.Header
	Body   []byte
	// ArrivedAt is when the request was read, by a clock that also runs while the
	// machine is suspended.
	ArrivedAt time.Time
	// CallerTimeout is how long the caller waits for the answer; zero if unknown.
	CallerTimeout time.Duration
	// Key is the customer's key; empty if there is none.
	Key string
	// LastEventID is the ID of the last stream event that the caller has received;
	// empty if it asks for the stream from its start.
	LastEventID string
	Prompt      Prompt
	// Pieces is the number of pieces of each stage, in the order of the stages.
	Pieces []int
	// PieceKey identifies the input of the stages that follow no other stage.
	PieceKey string
}

// Server is the platform's record of a backend server process.
type Server struct {
	// ID names the backend server. It stays the same when the process restarts.
	ID      string
	Pool    string
	Addr    netip.AddrPort
	Domain  string
	Slots   int
	Leaving bool
	// ColdLeft is the remaining time for which the backend server was cold when the
	// record was written: for some time after its start it has a reduced capacity.
	ColdLeft time.Duration
	// StartedAt is when the process started, by the backend server's own clock.
	StartedAt time.Time
	// Version names the version of the software that the process runs; empty if the record
	// doesn't tell.
	Version string
}

// RolloutOrder is an order of the operator to move a pool's traffic to the backend servers
// of another version.
type RolloutOrder struct {
	Pool   string
	Target string
	// Duration is the time within which the order has to be decided.
	Duration time.Duration
}

// ProxyAttempt is one attempt to send a request to a backend server.
type ProxyAttempt struct {
	Request *ProxyRequest
	Server  Server
	// TimeLeft is the time remaining until the backend server must have answered.
	TimeLeft time.Duration
	// Customer is the customer name passed to the backend server; empty for none.
	Customer string
	// Urgency is from 0, the most urgent, to 9.
	Urgency int
	// Inputs are the handles of the pieces that the request needs.
	Inputs []string
	// LastEventID is the ID of the last stream event that was delivered to the caller.
	LastEventID string
	// AvoidIdle limits the attempt to new connections and those that were idle only for
	// a moment, since the other side may have dropped a connection without notice
	// while it was idle. It is set for requests that must not be repeated.
	AvoidIdle bool
}

// ServerLoad is a backend server's load as it reports it.
type ServerLoad struct {
	Running int
	Queued  int
	Slots   int
	// Pace is how long work takes at the server's machine at this moment, in percent of the
	// usual; 0 if unknown. It changes many times a second.
	Pace int
}

// ServerNotice is what a backend server says of itself in an answer.
type ServerNotice struct {
	// Leaving is set if the server is leaving, and should get nothing more.
	Leaving bool
	// HoldOff is how long the server wants nothing from this entry; zero if it doesn't
	// say.
	HoldOff time.Duration
	// Invalid describes a notice that could not be understood; empty if there is none.
	Invalid string
}

// ServerFeedback is what the answer to a call tells of the backend server.
type ServerFeedback struct {
	// Load is nil if the answer does not report the load.
	Load   *ServerLoad
	Notice ServerNotice
	// Refused is set if the server itself refused the call because it can't take it now,
	// and has not run it.
	Refused bool
}

// Response is the head of a backend server's answer.
type Response struct {
	Status int
	// Header holds the end-to-end headers.
	Header http.Header
	// NotRun is set if the backend server states that it did not run the
	// request and never will.
	NotRun bool
	// Misdirected is set if the address now belongs to another backend server,
	// which did not run the request.
	Misdirected bool
	// Unproven is set if the answer states that the request was not run, but may be a
	// second copy of the answer to an earlier request.
	Unproven bool
	// Stamped is set if the answer has the stamp header that only the backend
	// server itself adds. A successful answer without it is treated as a failure.
	Stamped bool
	// Length is the number of bytes of the body; negative if unknown.
	Length int64
	// CloseDelimited is set if only the end of the connection marks the end of the body,
	// so that an answer which was broken off may look complete.
	CloseDelimited bool
	// Load is nil if the answer does not report the load.
	Load *ServerLoad
	// Notice is what the server says of itself.
	Notice ServerNotice
	// Body ends with io.EOF only if the whole body was read.
	Body BodyReader
}

// BodyReader reads a backend server's answer as it arrives.
type BodyReader interface {
	// Read returns the bytes that have arrived. It blocks only if there are none.
	Read(p []byte) (int, error)
	// Buffered is the number of bytes that can be read without blocking.
	Buffered() int
	// Close discards the rest of the body.
	Close() error
}

// Exchanger sends proxied requests to backend servers. Errors are ErrUnsent if nothing
// can have reached the backend server, and ErrLost otherwise.
type Exchanger interface {
	Exchange(ctx context.Context, attempt ProxyAttempt) (*Response, error)
}

// Piece is one unit of work of a stage. A request is sent only when all pieces
// of its stages have been made.
type Piece struct {
	// Request is the ID of the proxied request.
	Request string `cbor:"1,keyasint"`
	Stage   int    `cbor:"2,keyasint"`
	Number  int    `cbor:"3,keyasint"`
	// TimeLeft is the time remaining until the piece is no longer needed; zero if
	// unknown.
	TimeLeft time.Duration `cbor:"4,keyasint,omitempty"`
	// Key identifies the input of the piece if its stage follows no other.
	Key string `cbor:"5,keyasint,omitempty"`
	// Inputs are the handles of all pieces of the stages that this one follows.
	Inputs []string `cbor:"6,keyasint,omitempty"`
	// Bytes is the approximate size of the result.
	Bytes int `cbor:"7,keyasint,omitempty"`
}

// PieceResult is the result of one piece.
type PieceResult struct {
	// Handle names the result at the backend server that holds it; empty if the
	// piece was not made.
	Handle string
	Reason Reason
}

// Maker calls backend servers to make pieces.
type Maker interface {
	// Make returns one result for each piece, in order. The error is ErrUnsent
	// if the backend server did not accept the call, and ErrLost otherwise.
	Make(ctx context.Context, server Server, pieces []Piece) ([]PieceResult, ServerFeedback, error)
	// Free releases results held by a backend server.
	Free(ctx context.Context, server Server, handles []string) (ServerFeedback, error)
}

// Item is a keyed record of the platform's store.
type Item struct {
	Key string `cbor:"1,keyasint"`
	// Value is empty if the key was deleted.
	Value  []byte `cbor:"2,keyasint,omitempty"`
	Offset uint64 `cbor:"3,keyasint"`
}

// Era counts the times that the platform's store has come back from an older copy. Offsets of
// different eras can't be compared. It is zero if the store doesn't tell.
type Era uint64

// Page is the result of one read of keyed records.
type Page struct {
	// Era is that of the answer. It is also set in the page beside an error if the store
	// answered.
	Era   Era
	Items []Item
	// Next is the offset of the first record that was not returned.
	Next uint64
	// End is the offset after the last record that the topic held. If it is above Next,
	// the page holds only the first of the records asked for. It may be zero if the page
	// is complete.
	End uint64
}

// Remaining returns the number of records asked for that the page doesn't hold.
func (p Page) Remaining() uint64 { return max(p.End, p.Next) - p.Next }

// Store is the platform's store of keyed records. Errors are ErrPlatform, or
// ErrGone if the records at the requested offset are no longer retained.
type Store interface {
	// Newest returns the newest record of each key of a topic.
	Newest(ctx context.Context, topic Topic) (Page, error)
	// Since returns the records starting at an offset.
	Since(ctx context.Context, topic Topic, from uint64) (Page, error)
	// Put appends a keyed record. After an error the record may or may not have
	// been stored. The era is that of the answer, also beside an error.
	Put(ctx context.Context, topic Topic, key string, value []byte) (Era, error)
}

// RevisionStore is a store that appends a record only if the topic has no other new ones.
type RevisionStore interface {
	// PutAt appends a keyed record if the topic ends at the given offset, and reports
	// whether it did. After an error the record may or may not have been stored. The era is
	// that of the answer, also beside an error.
	PutAt(ctx context.Context, topic Topic, key string, value []byte, end uint64) (bool, Era, error)
}

// Topic names a stream of keyed records.
type Topic string

// The topics that entries read and write.
const (
	// TopicOperator holds the configuration and the evacuated failure domains.
	TopicOperator Topic = "operator"
	// TopicServers holds a record for each backend server.
	TopicServers Topic = "servers"
	// TopicEntries holds a record for each entry.
	TopicEntries Topic = "entries"
	// TopicCrashes holds a record for each entry with the prompts that may have
	// crashed backend servers.
	TopicCrashes Topic = "crashes"
	// TopicStatus holds the states of the operator's roll-out orders.
	TopicStatus Topic = "status"
	// TopicRollouts holds a record for each entry with what it sent to and got from the
	// versions of the services in a roll-out.
	TopicRollouts Topic = "rollouts"
)
