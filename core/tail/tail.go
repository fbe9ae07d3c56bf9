// Package tail keeps the newest records that were read of a topic, so that other
// entries can be told of them.
package tail

import "sequoialead"

// mostBytes bounds the values kept: a whole configuration of a large site is
// larger, and entries read that from the store rather than over another entry's
// link.
const mostBytes = 16 << 10

// Tail is the end of one topic. It is not safe for concurrent use.
type Tail struct {
	// from is the offset from which on all records are held.
	from  uint64
	items []sequoialead.Item
	bytes int
}

// New returns a tail that holds nothing.
func New() *Tail { return &Tail{} }

// Reset forgets all records, where the next one read has an offset.
func (t *Tail) Reset(next uint64) {
	t.from, t.items, t.bytes = next, nil, 0
}

// Add takes the records that follow those held.
func (t *Tail) Add(items []sequoialead.Item) {
	for _, item := range items {
		t.items = append(t.items, item)
		t.bytes += size(item)
	}
	drop := 0
	for t.bytes > mostBytes {
		t.bytes -= size(t.items[drop])
		t.from = t.items[drop].Offset + 1
		drop++
	}
	t.items = append([]sequoialead.Item(nil), t.items[drop:]...)
}

func size(item sequoialead.Item) int { return len(item.Key) + len(item.Value) }

// Since returns the records from an offset on. It reports false if some of them
// are not held.
func (t *Tail) Since(from uint64) ([]sequoialead.Item, bool) {
	if from < t.from {
		return nil, false
	}
	first := len(t.items)
	for first > 0 && t.items[first-1].Offset >= from {
		first--
	}
	return t.items[first:], true
}
