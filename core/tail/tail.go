// Package tail keeps the newest records read of a topic, so that they can be
// relayed to other entries.
package tail

import "sequoialead"

// maxBytes bounds the size of the keys and values kept. The whole configuration
// of a large site is larger; entries read that from the store, so that it
// doesn't load another entry's link.
const maxBytes = 16 << 10

// Tail holds the newest records of one topic. It is not safe for concurrent
// use.
type Tail struct {
	// from is the offset of the first record kept; all later ones are kept too.
	from  uint64
	items []sequoialead.Item
	bytes int
}

// New returns an empty tail.
func New() *Tail { return &Tail{} }

// Reset removes all records. The next record added has the offset next or a
// later one.
func (t *Tail) Reset(next uint64) {
	t.from, t.items, t.bytes = next, nil, 0
}

// Add appends the records that follow those kept, and evicts the oldest ones
// above maxBytes.
func (t *Tail) Add(items []sequoialead.Item) {
	for _, item := range items {
		t.items = append(t.items, item)
		t.bytes += size(item)
	}
	dropped := 0
	for t.bytes > maxBytes {
		t.bytes -= size(t.items[dropped])
		t.from = t.items[dropped].Offset + 1
		dropped++
	}
	t.items = append([]sequoialead.Item(nil), t.items[dropped:]...)
}

func size(item sequoialead.Item) int { return len(item.Key) + len(item.Value) }

// Since returns the records from an offset on. It reports false if some of them
// are not kept.
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
