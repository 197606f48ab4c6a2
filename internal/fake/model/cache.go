package model

import (
	"context"
	"slices"

	"github.com/slaterock/slaterock/internal/plat/engine"
)

type (
	// cache holds blocks of prompts and evicts the least recently used.
	cache struct {
		blocks map[uint64]*block // by hash
		used   int               // tokens
		clock  uint64            // incremented with each use of a block
	}

	block struct {
		tokens int
		last   uint64          // value of clock at the last use
		pins   int             // number of running requests that use the block; pinned blocks are not evicted
		owners map[string]bool // ids of the programs
	}

	prompt struct {
		program string
		blocks  []engine.Block
		pinned  map[uint64]bool // hashes of the blocks that this prompt pins
	}
)

// Held implements engine.Engine.
func (e *Engine) Held(context.Context) ([]string, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	var out []string
	for _, b := range e.cache.blocks {
		for p := range b.owners {
			if p != "" {
				out = append(out, p)
			}
		}
	}
	slices.Sort(out)
	return slices.Compact(out), nil
}

// HeldTokens returns the number of cached tokens that the program owns.
func (e *Engine) HeldTokens(program string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	n := 0
	for _, b := range e.cache.blocks {
		if b.owners[program] {
			n += b.tokens
		}
	}
	return n
}

// pin pins the cached blocks of the prompt and records the program as an owner of
// the cached prefix. It returns the lengths of the prompt and of this prefix.
func (e *Engine) pin(p prompt) (u engine.Usage) {
	e.mu.Lock()
	defer e.mu.Unlock()
	hit := true
	for _, want := range p.blocks {
		u.Prompt += want.Tokens
		b, ok := e.cache.blocks[want.Hash]
		hit = hit && ok
		if hit {
			u.Cached += want.Tokens
			b.owners[p.program] = true
		}
	}
	e.pinCached(p)
	return u
}

// storeBlocks caches the complete prompt. It marks the first blocks as the most
// recently used, so that they are evicted last: a block is of no use without those
// before it.
func (e *Engine) storeBlocks(p prompt) {
	e.mu.Lock()
	defer e.mu.Unlock()
	var stored []uint64
	for _, want := range slices.Backward(p.blocks) {
		if e.cache.touch(p.program, want) {
			stored = append(stored, want.Hash)
		}
	}
	slices.Reverse(stored)
	e.pinCached(p)
	evicted := e.cache.evictTo(orDefault(e.Memory, defaultMemory))
	e.recordEvent(stored, evicted)
	e.recordLoad()
}

// pinCached pins each cached block of the prompt once; the caller holds the
// mutex.
func (e *Engine) pinCached(p prompt) {
	for _, want := range p.blocks {
		if b, ok := e.cache.blocks[want.Hash]; ok && !p.pinned[want.Hash] {
			p.pinned[want.Hash] = true
			b.pins++
		}
	}
}

func (e *Engine) unpin(p prompt) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for h := range p.pinned {
		if b, ok := e.cache.blocks[h]; ok && b.pins > 0 {
			b.pins--
		}
	}
}

// touch marks the block as used now and adds it if it is absent.
func (c *cache) touch(program string, want engine.Block) (added bool) {
	if c.blocks == nil {
		c.blocks = map[uint64]*block{}
	}
	c.clock++
	b, ok := c.blocks[want.Hash]
	if !ok {
		b = &block{tokens: want.Tokens, owners: map[string]bool{}}
		c.blocks[want.Hash] = b
		c.used += want.Tokens
	}
	b.last = c.clock
	b.owners[program] = true
	return !ok
}

// evictTo evicts unpinned blocks until at most capacity tokens are used, or
// until only pinned blocks are left.
func (c *cache) evictTo(capacity int) (evicted []uint64) {
	for c.used > capacity {
		oldest, found := uint64(0), false
		for h, b := range c.blocks {
			if b.pins == 0 && (!found || b.last < c.blocks[oldest].last) {
				oldest, found = h, true
			}
		}
		if !found {
			return evicted
		}
		c.drop(oldest)
		evicted = append(evicted, oldest)
	}
	return evicted
}

func (c *cache) drop(h uint64) {
	c.used -= c.blocks[h].tokens
	delete(c.blocks, h)
}

// release removes the program from the owners of all blocks and drops the
// blocks that have no other owner, also pinned ones.
func (c *cache) release(program string) (evicted []uint64) {
	for h, b := range c.blocks {
		delete(b.owners, program)
		if len(b.owners) == 0 {
			c.drop(h)
			evicted = append(evicted, h)
		}
	}
	slices.Sort(evicted)
	return evicted
}

// blocksOf returns the program's blocks, the most recently used first.
func (c *cache) blocksOf(program string) (out []engine.Block) {
	for h, b := range c.blocks {
		if b.owners[program] {
			out = append(out, engine.Block{Hash: h, Tokens: b.tokens})
		}
	}
	slices.SortFunc(out, func(a, b engine.Block) int { return int(c.blocks[b.Hash].last) - int(c.blocks[a.Hash].last) })
	return out
}
