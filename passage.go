package sequoialead

import (
	"context"
	"net/http"
	"net/netip"
	"time"
)

// Part is one part of a prompt, which other prompts may share.
type Part struct {
	ID     uint64
	Tokens int
}

// Prompt describes the input of a generation whose body nobody here parses.
type Prompt struct {
	Model string
	// Input is the number of tokens of the prompt, and Output the most that
	// may be generated.
	Input  int
	Output int
	// Parts are in the order of the prompt. The last one is the request's own
	// or its session's.
	Parts []Part
}

// Passage is one attempt of a caller at a request that is passed through to a
// backend server with its body unread.
type Passage struct {
	// ID is the caller's name for the attempt, new with each one.
	ID     string
	Method string
	// Target is the path and query as the caller sent them.
	Target string
	Host   string
	// Header holds the end-to-end headers to pass on, without those that the
	// entry sets itself.
	Header http.Header
	Body   []byte
	// Arrived is when the request was read, by a clock that counts suspension.
	Arrived time.Time
	// Wait is how long the caller waits for the answer; zero if unknown.
	Wait time.Duration
	// Key is the customer's key; empty if there is none.
	Key string
	// After is the last event that the caller has of a stream; empty for none.
	After  string
	Prompt Prompt
	// Pieces is the number of pieces that each stage has.
	Pieces []int
	// PieceKey is what the first stages make their pieces from.
	PieceKey string
}

// Server is one life of a backend server as the platform's records show it.
type Server struct {
	// ID names the backend server, in one or more lives.
	ID      string
	Pool    string
	Addr    netip.AddrPort
	Domain  string
	Slots   int
	Leaving bool
	// Cold is how much longer it stayed cold when the record was written.
	Cold time.Duration
	// Born is when this life began, by the backend server's own clock.
	Born time.Time
}

// Send is one passage on its way to one backend server.
type Send struct {
	Passage *Passage
	Server  Server
	// Left is the time that the backend server may still take.
	Left time.Duration
	// Customer is the name that the backend server is given; empty for none.
	Customer string
	// Urgency is from 0, the most urgent, to 9.
	Urgency int
	// Inputs are the handles of the pieces that the request needs.
	Inputs []string
	// After is the last event that was delivered of a stream.
	After string
	// Fresh asks for a connection that was not used before, because a kept
	// one may have been dropped without a sign.
	Fresh bool
}

// Occupancy is what a backend server says of its load.
type Occupancy struct {
	Running int
	Waiting int
	Slots   int
}

// Reception is the head of a backend server's answer.
type Reception struct {
	Status int
	// Header holds the end-to-end headers.
	Header http.Header
	// NotRun is set where the backend server states that it did not run the
	// request and will not.
	NotRun bool
	// Elsewhere is set where another backend server holds the address.
	Elsewhere bool
	// Genuine is set where the answer bears the backend server's own stamp.
	Genuine bool
	// Length is the number of bytes of the body; negative if unknown.
	Length int64
	// Occupancy is nil if the answer does not tell.
	Occupancy *Occupancy
	// Body ends with io.EOF only if the whole body was read.
	Body BodyReader
}

// BodyReader reads a backend server's answer as it arrives.
type BodyReader interface {
	// Read returns what has arrived, and waits only if nothing has.
	Read(p []byte) (int, error)
	// Buffered is the number of bytes that can be read without waiting.
	Buffered() int
	// Close gives up what was not read.
	Close() error
}

// Exchanger sends passages to backend servers. Errors are ErrUnsent if nothing
// can have reached the backend server, else ErrLost.
type Exchanger interface {
	Exchange(ctx context.Context, send Send) (*Reception, error)
}

// Piece is one unit of work of a stage, made before its request can run.
type Piece struct {
	// Request is the ID of the passage.
	Request string `cbor:"1,keyasint"`
	Stage   int    `cbor:"2,keyasint"`
	Number  int    `cbor:"3,keyasint"`
	// Left is the time until the piece is of no use; zero if unknown.
	Left time.Duration `cbor:"4,keyasint,omitempty"`
	// Key is what the piece is made from, for stages that follow no other.
	Key string `cbor:"5,keyasint,omitempty"`
	// Inputs are the handles of all pieces of the stages before.
	Inputs []string `cbor:"6,keyasint,omitempty"`
	// Bytes is the approximate size of the result.
	Bytes int `cbor:"7,keyasint,omitempty"`
}

// Made is what became of one piece.
type Made struct {
	// Handle names the result at its maker; empty if there is none.
	Handle string
	Reason Reason
}

// Maker has pieces made by backend servers.
type Maker interface {
	// Make returns one result for each piece, in order. The error is
	// ErrUnsent if the backend server did not take the call, else ErrLost.
	Make(ctx context.Context, server Server, pieces []Piece) ([]Made, *Occupancy, error)
	// Free gives up results at their maker.
	Free(ctx context.Context, server Server, handles []string) error
}

// Item is a keyed record of the platform's store.
type Item struct {
	Key string `cbor:"1,keyasint"`
	// Value is empty if the key was dropped.
	Value  []byte `cbor:"2,keyasint,omitempty"`
	Offset uint64 `cbor:"3,keyasint"`
}

// Page is the result of one read of keyed records.
type Page struct {
	Items []Item
	// Next is the offset of the first record that was not returned.
	Next uint64
}

// Store is the platform's store of keyed records. Errors are ErrPlatform, and
// ErrGone if the offset asked for is no longer kept.
type Store interface {
	// Newest returns the newest record of each key of a topic.
	Newest(ctx context.Context, topic Topic) (Page, error)
	// Since returns the records from an offset on.
	Since(ctx context.Context, topic Topic, from uint64) (Page, error)
	// Put appends a keyed record. After an error it may or may not be taken.
	Put(ctx context.Context, topic Topic, key string, value []byte) error
}

// Topic names a stream of keyed records.
type Topic string

// The topics that entries read and write.
const (
	// TopicOperator holds the configuration and the evacuated failure domains.
	TopicOperator Topic = "operator"
	// TopicServers holds the backend servers.
	TopicServers Topic = "servers"
	// TopicEntries holds the entries.
	TopicEntries Topic = "entries"
)
