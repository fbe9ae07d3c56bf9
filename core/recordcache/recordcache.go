// Package recordcache keeps the newest records that were read from a topic, so
// that they can be relayed to other entries.
package recordcache

import "sequoialead"

// maxBytes is the maximum total size of the keys and values kept. The complete
// configuration of a large site exceeds it and is therefore not relayed: each
// entry reads it from the store, which keeps the load off other entries' network
// links.
const maxBytes = 16 << 10

// Cache holds the newest records of one topic. It is not safe for concurrent
// use.
type Cache struct {
	// from is the offset of the first record kept; all later ones are kept too.
	from  uint64
	items []sequoialead.Item
	bytes int
}

// New returns an empty cache.
func New() *Cache { return &Cache{} }

// Reset removes all records. The next record added has the offset next or a
// later one.
func (c *Cache) Reset(next uint64) {
	c.from, c.items, c.bytes = next, nil, 0
}

// Add appends the records that follow those kept, and evicts the oldest ones
// above maxBytes.
func (c *Cache) Add(items []sequoialead.Item) {
	for _, item := range items {
		c.items = append(c.items, item)
		c.bytes += size(item)
	}
	dropped := 0
	for c.bytes > maxBytes {
		c.bytes -= size(c.items[dropped])
		c.from = c.items[dropped].Offset + 1
		dropped++
	}
	c.items = append([]sequoialead.Item(nil), c.items[dropped:]...)
}

func size(item sequoialead.Item) int { return len(item.Key) + len(item.Value) }

// Since returns the records from an offset on. It reports false if some of them
// are not kept.
func (c *Cache) Since(from uint64) ([]sequoialead.Item, bool) {
	if from < c.from {
		return nil, false
	}
	first := len(c.items)
	for first > 0 && c.items[first-1].Offset >= from {
		first--
	}
	return c.items[first:], true
}
