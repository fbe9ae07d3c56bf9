package link_test

import (
	"bytes"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/fxamacker/cbor/v2"
	"github.com/google/uuid"

	"sequoialead"
	"sequoialead/core/protocol"
	"sequoialead/io/link"
)

func sampleFrames() []protocol.Frame {
	id := sequoialead.CallID{Request: uuid.UUID{1}, Stage: 2, Attempt: 3}
	return []protocol.Frame{
		{Hello: &protocol.Hello{Protocol: protocol.Version, Agent: sequoialead.Hello{Name: "x", Incarnation: uuid.UUID{2}}}},
		{Call: &sequoialead.Call{ID: id, Pool: "p", Op: sequoialead.OpGenerate, Body: []byte("{}"), Credit: 9}},
		{Chunk: &protocol.Chunk{ID: id, Seq: 4, Data: [][]byte{[]byte("text"), []byte("more")}}},
		{End: &protocol.End{ID: id, End: sequoialead.End{Ending: sequoialead.EndDone, Count: 5}}},
		{Ping: &protocol.Ping{Version: 7}},
		{ConfigUpdate: &protocol.ConfigUpdate{Patches: []protocol.AcceptedPatch{{Raw: []byte("r"), Token: []byte("t")}}}},
	}
}

func encode(t testing.TB, frames []protocol.Frame) []byte {
	var b bytes.Buffer
	for _, f := range frames {
		if err := cbor.NewEncoder(&b).Encode(f); err != nil {
			t.Fatal(err)
		}
	}
	return b.Bytes()
}

func TestDecodeBatch(t *testing.T) {
	c := qt.New(t)
	got, err := link.Decode(encode(t, sampleFrames()))
	c.Assert(err, qt.IsNil)
	c.Assert(got, qt.DeepEquals, sampleFrames())
}

func TestDecodeRejectsTruncatedBatch(t *testing.T) {
	c := qt.New(t)
	raw := encode(t, sampleFrames())
	_, err := link.Decode(raw[:len(raw)-1])
	c.Assert(err, qt.ErrorMatches, ".*cannot be read.*")
}

// FuzzDecode checks that any input is either rejected or decoded to frames
// that survive another round trip through the encoder.
func FuzzDecode(f *testing.F) {
	f.Add(encode(f, sampleFrames()))
	f.Add([]byte{0xa1, 0x01})
	f.Fuzz(func(t *testing.T, raw []byte) {
		got, err := link.Decode(raw)
		if err != nil {
			return
		}
		redecoded, err := link.Decode(encode(t, got))
		if err != nil {
			t.Fatalf("%v", err)
		}
		if len(redecoded) != len(got) {
			t.Fatalf("a round trip turned %d frames into %d", len(got), len(redecoded))
		}
	})
}
