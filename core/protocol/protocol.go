// Package protocol defines the messages between entries and agents, and between
// entries.
package protocol

import (
	"net/netip"
	"time"

	"sequoialead"
)

// Version is the version of the message format. Both ends of a connection must
// use the same.
const Version = 2

// Frame is one message. Exactly one field is set.
type Frame struct {
	Hello           *Hello            `cbor:"1,keyasint,omitempty"`
	Call            *sequoialead.Call `cbor:"2,keyasint,omitempty"`
	Chunk           *Chunk            `cbor:"3,keyasint,omitempty"`
	End             *End              `cbor:"4,keyasint,omitempty"`
	Cancel          *Cancel           `cbor:"5,keyasint,omitempty"`
	Ack             *Ack              `cbor:"6,keyasint,omitempty"`
	Credit          *Credit           `cbor:"7,keyasint,omitempty"`
	Ping            *Ping             `cbor:"8,keyasint,omitempty"`
	Pong            *Pong             `cbor:"9,keyasint,omitempty"`
	ConfigRequest   *ConfigRequest    `cbor:"10,keyasint,omitempty"`
	ConfigUpdate    *ConfigUpdate     `cbor:"11,keyasint,omitempty"`
	Order           *Order            `cbor:"12,keyasint,omitempty"`
	OrderResult     *OrderResult      `cbor:"13,keyasint,omitempty"`
	Release         *Release          `cbor:"14,keyasint,omitempty"`
	Heartbeat       *Heartbeat        `cbor:"15,keyasint,omitempty"`
	InputsRead      *InputsRead       `cbor:"16,keyasint,omitempty"`
	RecordsRequest  *RecordsRequest   `cbor:"17,keyasint,omitempty"`
	RecordsResponse *RecordsResponse  `cbor:"18,keyasint,omitempty"`
}

// Hello is the first message on a connection, from the agent to the entry.
type Hello struct {
	Protocol int               `cbor:"1,keyasint"`
	Agent    sequoialead.Hello `cbor:"2,keyasint"`
}

// Chunk carries consecutive chunks of a call's answer.
type Chunk struct {
	ID sequoialead.CallID `cbor:"1,keyasint"`
	// Seq is the sequence number of the first of them.
	Seq  uint32   `cbor:"2,keyasint"`
	Data [][]byte `cbor:"3,keyasint"`
}

// End is the last message of a call's answer.
type End struct {
	ID  sequoialead.CallID `cbor:"1,keyasint"`
	End sequoialead.End    `cbor:"2,keyasint"`
}

// Cancel asks the agent to stop a call and to report whether it was started.
type Cancel struct {
	ID sequoialead.CallID `cbor:"1,keyasint"`
}

// Ack tells the agent that the entry has the whole answer, so the agent may drop it.
type Ack struct {
	ID sequoialead.CallID `cbor:"1,keyasint"`
}

// Credit allows the agent to send the given number of further bytes of a call's
// answer.
type Credit struct {
	ID    sequoialead.CallID `cbor:"1,keyasint"`
	Bytes int                `cbor:"2,keyasint"`
}

// Ping checks the connection and the agent's load. The entry sends it, and the
// agent answers with a Pong.
type Ping struct {
	// Version is the version of the entry's configuration.
	Version sequoialead.Version `cbor:"1,keyasint"`
	// Leaving is set if the instance list shows the agent as leaving.
	Leaving bool `cbor:"2,keyasint,omitempty"`
}

// Pong reports the agent's load. It answers a Ping, and is also sent once the agent
// has applied a ConfigUpdate.
type Pong struct {
	Load sequoialead.Load `cbor:"1,keyasint"`
}

// ConfigRequest asks the peer for the versions of the configuration after Have.
type ConfigRequest struct {
	Have sequoialead.Version `cbor:"1,keyasint"`
}

// ConfigUpdate carries newer versions of the configuration. It answers a
// ConfigRequest, and is sent to an agent that connects with an older version.
type ConfigUpdate struct {
	// Snapshot is a signed snapshot, sent if the sender no longer has all patches
	// since the receiver's version; else empty.
	Snapshot []byte          `cbor:"1,keyasint,omitempty"`
	Patches  []AcceptedPatch `cbor:"2,keyasint,omitempty"`
}

// AcceptedPatch is a signed patch with the proof that the fleet accepted it.
type AcceptedPatch struct {
	Raw   []byte `cbor:"1,keyasint"`
	Token []byte `cbor:"2,keyasint"`
}

// Order asks the entry that leads a group of backend servers to have pieces made
// there. A piece is one unit of work of a stage; see sequoialead.Piece.
type Order struct {
	// ID is unique on its connection.
	ID   uint64 `cbor:"1,keyasint"`
	Pool string `cbor:"2,keyasint"`
	// Urgency is from 0, the most urgent, upwards.
	Urgency int                 `cbor:"3,keyasint"`
	Pieces  []sequoialead.Piece `cbor:"4,keyasint"`
	// DueIn is the time left until the pieces must be made for the request to meet
	// its latency objective. ExpiresIn is the time left until they are useless and
	// the order fails.
	DueIn     time.Duration `cbor:"5,keyasint"`
	ExpiresIn time.Duration `cbor:"6,keyasint"`
	// Domain is the preferred failure domain; empty if there is no preference.
	Domain string `cbor:"7,keyasint,omitempty"`
	// MovedBytes is the number of bytes that are transferred between failure domains
	// if the pieces are not made in Domain.
	MovedBytes int `cbor:"8,keyasint,omitempty"`
}

// OrderResult answers an Order, with the results in the order of its pieces or
// with the reason why there are none.
type OrderResult struct {
	ID      uint64             `cbor:"1,keyasint"`
	Results []Result           `cbor:"2,keyasint,omitempty"`
	Reason  sequoialead.Reason `cbor:"3,keyasint,omitempty"`
	Backlog Backlog            `cbor:"4,keyasint"`
}

// InputsRead reports that the inputs of an order were read and may be released.
type InputsRead struct {
	ID uint64 `cbor:"1,keyasint"`
}

// Result tells which backend server holds the result of one piece, and under which
// handle.
type Result struct {
	Handle string         `cbor:"1,keyasint"`
	Server string         `cbor:"2,keyasint"`
	Addr   netip.AddrPort `cbor:"3,keyasint"`
	Domain string         `cbor:"4,keyasint"`
	Bytes  int            `cbor:"5,keyasint"`
}

// Backlog describes the work queued for a group of backend servers, from which
// others estimate how long an order would take there.
type Backlog struct {
	// CallTime is the typical duration of recent calls.
	CallTime time.Duration `cbor:"1,keyasint"`
	// PiecesPerCallTime is the number of pieces that the group makes in CallTime.
	PiecesPerCallTime float64 `cbor:"5,keyasint,omitempty"`
	// Servers is the number of backend servers, and Calls that of calls in flight.
	Servers int `cbor:"2,keyasint"`
	Calls   int `cbor:"3,keyasint"`
	// Pieces is the number of queued pieces of orders that are not late, by urgency.
	Pieces []int `cbor:"4,keyasint,omitempty"`
	// RoomUsed is the fraction in use of the room: the memory for results at the
	// group's backend servers.
	RoomUsed float64 `cbor:"6,keyasint,omitempty"`
}

// Release cancels orders, releases results, or both.
type Release struct {
	// Orders holds the IDs of the cancelled orders.
	Orders  []uint64 `cbor:"1,keyasint,omitempty"`
	Results []Result `cbor:"2,keyasint,omitempty"`
}

// Heartbeat is exchanged between entries. The entry that opened the connection sends
// it periodically. The other entry answers each one, and also sends one when it
// starts to leave.
type Heartbeat struct {
	// Leaving is set once the entry accepts no more orders.
	Leaving bool `cbor:"1,keyasint,omitempty"`
	// Backlogs holds the backlogs of the groups that the entry leads, by pool. It
	// is set in answers only.
	Backlogs map[string]Backlog `cbor:"2,keyasint,omitempty"`
}

// RecordsRequest asks an entry for the records of a topic of the platform's store,
// starting at an offset.
type RecordsRequest struct {
	// ID is unique on its connection.
	ID    uint64            `cbor:"1,keyasint"`
	Topic sequoialead.Topic `cbor:"2,keyasint"`
	From  uint64            `cbor:"3,keyasint"`
	// Era is that of From.
	Era sequoialead.Era `cbor:"4,keyasint,omitempty"`
	// Version is that of the configuration in force; zero if there is none.
	Version sequoialead.Version `cbor:"5,keyasint,omitempty"`
}

// RecordsResponse answers a RecordsRequest.
type RecordsResponse struct {
	ID uint64 `cbor:"1,keyasint"`
	// Complete is set if the entry has all records from the requested offset on.
	Complete bool               `cbor:"2,keyasint,omitempty"`
	Items    []sequoialead.Item `cbor:"3,keyasint,omitempty"`
	// Next is the offset to continue from: that of the first record not read yet.
	Next uint64 `cbor:"4,keyasint,omitempty"`
	// Age is the time since the start of the entry's latest read of the store.
	Age time.Duration `cbor:"5,keyasint,omitempty"`
	// Era is the newest era of the store that the entry knows; if Complete is set, that of
	// the records.
	Era sequoialead.Era `cbor:"6,keyasint,omitempty"`
	// Kept holds the operator's records in force that the entry read in an earlier era and
	// not again in this one. A configuration is among them only if it is newer than the
	// version in the request.
	Kept []sequoialead.Item `cbor:"7,keyasint,omitempty"`
}
