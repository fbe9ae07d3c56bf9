// Package prefixcache estimates which parts of a prompt are in the prefix cache of a model
// engine, from the prompts that this entry sent to it.
package prefixcache

import (
	"github.com/hashicorp/golang-lru/v2/simplelru"

	"sequoialead"
)

// Cache is the estimated content of an engine's prefix cache since the engine's start.
// It is not safe for concurrent use.
type Cache struct {
	// parts maps the ID of a part to its number of tokens.
	parts *simplelru.LRU[uint64, int]
	// capacity is the number of tokens that the cache is assumed to hold, and
	// cachedTokens the number of tokens of parts.
	capacity     int
	cachedTokens int
}

// maxParts is the maximum number of parts that a Cache records. It limits the memory
// that a Cache takes.
const maxParts = 8192

// cacheShare is the part of an engine's memory that is assumed to hold cached parts;
// the rest holds running requests.
const cacheShare = 0.7

// New returns an empty cache for an engine whose memory holds the given number of
// tokens.
func New(memory int) *Cache {
	c := &Cache{capacity: int(cacheShare * float64(memory))}
	parts, err := simplelru.NewLRU(maxParts, func(_ uint64, tokens int) { c.cachedTokens -= tokens })
	if err != nil {
		panic(err) // fails only for a size below one
	}
	c.parts = parts
	return c
}

// Cached returns the number of the prompt's tokens that need no prefill. A cached part
// counts only if all parts before it are cached too.
func (c *Cache) Cached(prompt sequoialead.Prompt) int {
	cached := 0
	for _, part := range prompt.Parts {
		if _, ok := c.parts.Peek(part.ID); !ok {
			break
		}
		cached += part.Tokens
	}
	return cached
}

// Record records a prompt that was sent to the engine, and evicts the least recently
// used parts if the capacity is exceeded.
func (c *Cache) Record(prompt sequoialead.Prompt) {
	for _, part := range prompt.Parts {
		if old, ok := c.parts.Get(part.ID); ok {
			c.cachedTokens -= old
		}
		c.parts.Add(part.ID, part.Tokens)
		c.cachedTokens += part.Tokens
	}
	for c.cachedTokens > c.capacity {
		if _, _, ok := c.parts.RemoveOldest(); !ok {
			return
		}
	}
}
