// Package recordlog keeps the newest records read of a topic, so that they can be
// relayed to other entries.
package recordlog

import "sequoialead"

// maxBytes bounds the total size of the keys and values kept. The complete
// configuration of a large site is larger. Entries read it from the store, so
// that it doesn't load another entry's network link.
const maxBytes = 16 << 10

// Log holds the newest records of one topic. It is not safe for concurrent
// use.
type Log struct {
	// from is the offset of the first record kept; all later ones are kept too.
	from  uint64
	items []sequoialead.Item
	bytes int
}

// New returns an empty log.
func New() *Log { return &Log{} }

// Reset removes all records. The next record added has the offset next or a
// later one.
func (l *Log) Reset(next uint64) {
	l.from, l.items, l.bytes = next, nil, 0
}

// Add appends the records that follow those kept, and evicts the oldest ones
// above maxBytes.
func (l *Log) Add(items []sequoialead.Item) {
	for _, item := range items {
		l.items = append(l.items, item)
		l.bytes += size(item)
	}
	dropped := 0
	for l.bytes > maxBytes {
		l.bytes -= size(l.items[dropped])
		l.from = l.items[dropped].Offset + 1
		dropped++
	}
	l.items = append([]sequoialead.Item(nil), l.items[dropped:]...)
}

func size(item sequoialead.Item) int { return len(item.Key) + len(item.Value) }

// Since returns the records from an offset on. It reports false if some of them
// are not kept.
func (l *Log) Since(from uint64) ([]sequoialead.Item, bool) {
	if from < l.from {
		return nil, false
	}
	first := len(l.items)
	for first > 0 && l.items[first-1].Offset >= from {
		first--
	}
	return l.items[first:], true
}
