package reorder_test

import (
	"bytes"
	"testing"

	"pgregory.net/rapid"

	"sequoialead"
	"sequoialead/core/reorder"
)

// Whatever the order in which chunks arrive, and however often, the data returned is
// always a prefix of the answer, and is the whole answer once Complete reports true.
func TestAnyDeliveryOrderYieldsPrefixes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		chunks := rapid.SliceOfN(rapid.SliceOfN(rapid.Byte(), 1, 5), 1, 20).Draw(t, "chunks")
		whole := bytes.Join(chunks, nil)
		b := reorder.New(rapid.IntRange(0, 100).Draw(t, "max"))
		var got []byte
		for range rapid.IntRange(0, 100).Draw(t, "deliveries") {
			i := rapid.IntRange(0, len(chunks)-1).Draw(t, "which")
			got = append(got, bytes.Join(b.Add(sequoialead.Chunk{Seq: uint32(i), Data: chunks[i]}), nil)...)
			if !bytes.HasPrefix(whole, got) {
				t.Fatalf("%q is not a prefix of %q", got, whole)
			}
		}
		for !b.Complete(uint32(len(chunks))) {
			i := b.Next()
			got = append(got, bytes.Join(b.Add(sequoialead.Chunk{Seq: i, Data: chunks[i]}), nil)...)
		}
		if !bytes.Equal(got, whole) {
			t.Fatalf("%q is not %q", got, whole)
		}
	})
}
