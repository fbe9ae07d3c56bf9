// Package reorder reorders the chunks of an answer and drops duplicates.
package reorder

import "sequoialead"

// Buffer is the reordering buffer of one call. It is not safe for concurrent use.
type Buffer struct {
	// next is the sequence number of the next chunk to return.
	next uint32
	// pending holds chunks that arrived ahead of next, by sequence number.
	pending map[uint32][]byte
	// pendingBytes is the number of bytes in pending; at most max.
	pendingBytes int
	max          int
}

// New returns a buffer that holds at most the given number of bytes of chunks that
// arrive out of order.
func New(maxBytes int) *Buffer {
	return &Buffer{pending: map[uint32][]byte{}, max: maxBytes}
}

// Next returns the sequence number of the first chunk that is missing.
func (b *Buffer) Next() uint32 { return b.next }

// Add adds a chunk and returns the data that is now in order. Duplicates are
// dropped. So is an early chunk that does not fit; it must be sent again, which
// happens when the call is resumed from Next.
func (b *Buffer) Add(c sequoialead.Chunk) [][]byte {
	if c.Seq < b.next {
		return nil
	}
	if c.Seq > b.next {
		b.store(c)
		return nil
	}
	ready := [][]byte{c.Data}
	b.next++
	for {
		data, ok := b.pending[b.next]
		if !ok {
			return ready
		}
		delete(b.pending, b.next)
		b.pendingBytes -= len(data)
		ready = append(ready, data)
		b.next++
	}
}

func (b *Buffer) store(c sequoialead.Chunk) {
	if _, ok := b.pending[c.Seq]; ok || b.pendingBytes+len(c.Data) > b.max {
		return
	}
	b.pending[c.Seq] = c.Data
	b.pendingBytes += len(c.Data)
}

// Complete reports whether all chunks of an answer with the given number of chunks
// were returned.
func (b *Buffer) Complete(count uint32) bool { return b.next == count }
