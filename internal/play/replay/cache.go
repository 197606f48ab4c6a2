package replay

import (
	"container/list"

	"github.com/slaterock/slaterock/internal/plat/engine"
)

type (
	// cache models an engine's prefix cache: an LRU list of blocks, each tagged
	// with the programs that use it. A block whose last tag is removed is freed.
	cache struct {
		capacity int // tokens
		used     int
		lru      *list.List // of *entry, most recently used first
		entries  map[uint64]*list.Element
	}

	entry struct {
		hash   uint64
		tokens int
		tags   map[string]bool
	}
)

func newCache(capacity int) cache {
	return cache{capacity: capacity, lru: list.New(), entries: map[uint64]*list.Element{}}
}

// matchPrefix returns the length, in blocks, of the longest cached prefix.
func (c *cache) matchPrefix(blocks []engine.Block) int {
	for i, b := range blocks {
		if c.entries[b.Hash] == nil {
			return i
		}
	}
	return len(blocks)
}

// store caches the blocks, tagged with the program, and returns the hashes that
// were added and those that were evicted to make room. Blocks are touched from
// the last to the first, so that the end of a prompt is evicted before its
// beginning.
func (c *cache) store(program string, blocks []engine.Block) (stored, evicted []uint64) {
	for i := len(blocks) - 1; i >= 0; i-- {
		b := blocks[i]
		el := c.entries[b.Hash]
		if el == nil {
			el = c.lru.PushFront(&entry{hash: b.Hash, tokens: b.Tokens, tags: map[string]bool{}})
			c.entries[b.Hash] = el
			c.used += b.Tokens
			stored = append(stored, b.Hash)
		}
		c.lru.MoveToFront(el)
		el.Value.(*entry).tags[program] = true
	}
	for c.used > c.capacity && c.lru.Len() > 1 {
		evicted = append(evicted, c.remove(c.lru.Back()))
	}
	return stored, evicted
}

func (c *cache) remove(el *list.Element) uint64 {
	e := c.lru.Remove(el).(*entry)
	delete(c.entries, e.hash)
	c.used -= e.tokens
	return e.hash
}

// release removes the program's tag from all blocks, frees the blocks left
// without a tag and returns their hashes.
func (c *cache) release(program string) (evicted []uint64) {
	for el := c.lru.Front(); el != nil; {
		next := el.Next()
		e := el.Value.(*entry)
		delete(e.tags, program)
		if len(e.tags) == 0 {
			evicted = append(evicted, c.remove(el))
		}
		el = next
	}
	return evicted
}

// blocksOf returns the blocks tagged with the program, most recently used first.
func (c *cache) blocksOf(program string) (out []engine.Block) {
	for el := c.lru.Front(); el != nil; el = el.Next() {
		if e := el.Value.(*entry); e.tags[program] {
			out = append(out, engine.Block{Hash: e.hash, Tokens: e.tokens})
		}
	}
	return out
}

// programs adds the programs that have blocks in the cache to the set.
func (c *cache) programs(into map[string]bool) {
	for el := c.lru.Front(); el != nil; el = el.Next() {
		for p := range el.Value.(*entry).tags {
			into[p] = true
		}
	}
}
