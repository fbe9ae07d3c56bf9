// Package frame holds the messages between entries and agents, and between
// entries. Its exported types are the members of Frame.
package frame

import (
	"net/netip"
	"time"

	"sequoialead"
)

// Protocol is the version of the messages. Both ends must speak the same.
const Protocol = 2

// Frame is one message. Exactly one member is set.
type Frame struct {
	Hello  *Hello            `cbor:"1,keyasint,omitempty"`
	Call   *sequoialead.Call `cbor:"2,keyasint,omitempty"`
	Chunk  *Chunk            `cbor:"3,keyasint,omitempty"`
	End    *End              `cbor:"4,keyasint,omitempty"`
	Cancel *Cancel           `cbor:"5,keyasint,omitempty"`
	Ack    *Ack              `cbor:"6,keyasint,omitempty"`
	Credit *Credit           `cbor:"7,keyasint,omitempty"`
	Ping   *Ping             `cbor:"8,keyasint,omitempty"`
	Pong   *Pong             `cbor:"9,keyasint,omitempty"`
	Pull   *Pull             `cbor:"10,keyasint,omitempty"`
	Relay  *Relay            `cbor:"11,keyasint,omitempty"`
	Order  *Order            `cbor:"12,keyasint,omitempty"`
	Made   *Made             `cbor:"13,keyasint,omitempty"`
	Drop   *Drop             `cbor:"14,keyasint,omitempty"`
	Beat   *Beat             `cbor:"15,keyasint,omitempty"`
	Read   *Read             `cbor:"16,keyasint,omitempty"`
	Ask    *Ask              `cbor:"17,keyasint,omitempty"`
	News   *News             `cbor:"18,keyasint,omitempty"`
}

// Hello opens a connection, from the agent to the entry.
type Hello struct {
	Protocol int               `cbor:"1,keyasint"`
	Agent    sequoialead.Hello `cbor:"2,keyasint"`
}

// Chunk carries consecutive pieces of a call's answer.
type Chunk struct {
	ID sequoialead.CallID `cbor:"1,keyasint"`
	// Seq is the sequence number of the first piece.
	Seq    uint32   `cbor:"2,keyasint"`
	Pieces [][]byte `cbor:"3,keyasint"`
}

// End carries the end of a call's answer.
type End struct {
	ID  sequoialead.CallID `cbor:"1,keyasint"`
	End sequoialead.End    `cbor:"2,keyasint"`
}

// Cancel asks the agent to stop a call and to say whether it was started.
type Cancel struct {
	ID sequoialead.CallID `cbor:"1,keyasint"`
}

// Ack tells the agent that the whole answer has arrived and may be forgotten.
type Ack struct {
	ID sequoialead.CallID `cbor:"1,keyasint"`
}

// Credit lets the agent send more bytes of a call's answer.
type Credit struct {
	ID    sequoialead.CallID `cbor:"1,keyasint"`
	Bytes int                `cbor:"2,keyasint"`
}

// Ping asks for a Pong, from the entry to the agent.
type Ping struct {
	Version sequoialead.Version `cbor:"1,keyasint"`
	// Leaving tells the agent that the instance list shows it as leaving.
	Leaving bool `cbor:"2,keyasint,omitempty"`
}

// Pong answers a Ping.
type Pong struct {
	Load sequoialead.Load `cbor:"1,keyasint"`
}

// Pull asks for the versions after the given one.
type Pull struct {
	Have sequoialead.Version `cbor:"1,keyasint"`
}

// Relay carries newer versions of the configuration.
type Relay struct {
	// Snapshot is a sealed snapshot, or empty.
	Snapshot []byte     `cbor:"1,keyasint,omitempty"`
	Patches  []Accepted `cbor:"2,keyasint,omitempty"`
}

// Accepted is a sealed patch with the proof that the fleet accepted it.
type Accepted struct {
	Raw   []byte `cbor:"1,keyasint"`
	Token []byte `cbor:"2,keyasint"`
}

// Order asks an entry that leads a group of backend servers to have pieces made.
type Order struct {
	// ID is unique on its connection.
	ID     uint64              `cbor:"1,keyasint"`
	Pool   string              `cbor:"2,keyasint"`
	Rank   int                 `cbor:"3,keyasint"`
	Pieces []sequoialead.Piece `cbor:"4,keyasint"`
	// Due and Until are the times left until the pieces have to be made, and
	// until they are of no use.
	Due   time.Duration `cbor:"5,keyasint"`
	Until time.Duration `cbor:"6,keyasint"`
	// Domain is where the pieces are best made; empty for anywhere.
	Domain string `cbor:"7,keyasint,omitempty"`
	// Moved is the number of bytes that go elsewhere if they are not made there.
	Moved int `cbor:"8,keyasint,omitempty"`
}

// Made answers an order.
type Made struct {
	ID      uint64             `cbor:"1,keyasint"`
	Results []Result           `cbor:"2,keyasint,omitempty"`
	Reason  sequoialead.Reason `cbor:"3,keyasint,omitempty"`
	Backlog Backlog            `cbor:"4,keyasint"`
}

// Read tells that the inputs of an order were read and may be given up.
type Read struct {
	ID uint64 `cbor:"1,keyasint"`
}

// Result is the result of one piece.
type Result struct {
	Handle string         `cbor:"1,keyasint"`
	Maker  string         `cbor:"2,keyasint"`
	Addr   netip.AddrPort `cbor:"3,keyasint"`
	Domain string         `cbor:"4,keyasint"`
	Bytes  int            `cbor:"5,keyasint"`
}

// Backlog is what waits for a group of backend servers.
type Backlog struct {
	// Usual is the recent time of a call.
	Usual time.Duration `cbor:"1,keyasint"`
	// Pace is the number of pieces that are made within that time.
	Pace float64 `cbor:"5,keyasint,omitempty"`
	// Servers is the number of backend servers, and Calls that of calls under way.
	Servers int `cbor:"2,keyasint"`
	Calls   int `cbor:"3,keyasint"`
	// Pieces counts the waiting pieces that are not late, by rank.
	Pieces []int `cbor:"4,keyasint,omitempty"`
	// Held is the part of the room for results that is taken.
	Held float64 `cbor:"6,keyasint,omitempty"`
}

// Drop gives up an order, results, or both.
type Drop struct {
	// Orders holds the IDs of orders that nobody waits for.
	Orders  []uint64 `cbor:"1,keyasint,omitempty"`
	Results []Result `cbor:"2,keyasint,omitempty"`
}

// Beat shows that an entry lives. The other end answers each with one.
type Beat struct {
	// Leaving is set once the entry takes no more orders.
	Leaving bool `cbor:"1,keyasint,omitempty"`
	// Backlogs holds what waits at the entry for the backend servers that it
	// leads, by pool. It is set in answers only.
	Backlogs map[string]Backlog `cbor:"2,keyasint,omitempty"`
}

// Ask asks an entry for the store's records of a topic from an offset on.
type Ask struct {
	// ID is unique on its connection.
	ID    uint64            `cbor:"1,keyasint"`
	Topic sequoialead.Topic `cbor:"2,keyasint"`
	From  uint64            `cbor:"3,keyasint"`
}

// News answers an Ask.
type News struct {
	ID uint64 `cbor:"1,keyasint"`
	// Known is set if the entry knows all records from the offset on.
	Known bool               `cbor:"2,keyasint,omitempty"`
	Items []sequoialead.Item `cbor:"3,keyasint,omitempty"`
	// Next is the offset of the first record that was not read.
	Next uint64 `cbor:"4,keyasint,omitempty"`
	// Age is how long before the answer the newest read of the store began.
	Age time.Duration `cbor:"5,keyasint,omitempty"`
}
