// Package frame holds the messages between entries and agents. Its exported
// types are the members of Frame.
package frame

import "sequoialead"

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
