// Package assemble puts the chunks of an answer in order, once each.
package assemble

import "sequoialead"

// Buffer takes the chunks of one call in any order. It is not safe for
// concurrent use.
type Buffer struct {
	// next is the sequence number of the first chunk not yet handed out.
	next uint32
	// early holds chunks beyond next, by sequence number.
	early map[uint32][]byte
	// held is the number of bytes in early; at most max.
	held int
	max  int
}

// New returns a buffer that holds at most the given number of bytes that
// arrived early.
func New(maxBytes int) *Buffer {
	return &Buffer{early: map[uint32][]byte{}, max: maxBytes}
}

// Next returns the sequence number of the first chunk that is missing.
func (b *Buffer) Next() uint32 { return b.next }

// Add takes a chunk and returns the data that is now in order. A chunk that
// was seen before, or that there is no room for, adds nothing; the latter is
// sent again once the call is resumed from Next.
func (b *Buffer) Add(c sequoialead.Chunk) [][]byte {
	if c.Seq < b.next {
		return nil
	}
	if c.Seq > b.next {
		b.keep(c)
		return nil
	}
	ready := [][]byte{c.Data}
	b.next++
	for {
		data, ok := b.early[b.next]
		if !ok {
			return ready
		}
		delete(b.early, b.next)
		b.held -= len(data)
		ready = append(ready, data)
		b.next++
	}
}

func (b *Buffer) keep(c sequoialead.Chunk) {
	if _, ok := b.early[c.Seq]; ok || b.held+len(c.Data) > b.max {
		return
	}
	b.early[c.Seq] = c.Data
	b.held += len(c.Data)
}

// Whole reports whether all chunks of an answer with the given count were
// handed out.
func (b *Buffer) Whole(count uint32) bool { return b.next == count }
