package model

import (
	"context"
	"slices"

	"github.com/slaterock/slaterock/internal/plat/engine"
)

type (
	// cache holds blocks of prompts; the least recently used goes first.
	cache struct {
		blocks map[uint64]*block
		used   int
		clock  uint64
	}

	block struct {
		tokens int
		last   uint64 // when it was used, in uses
		pins   int    // running requests that need it
		owners map[string]bool
	}

	prompt struct {
		program string
		blocks  []engine.Block
		pinned  map[uint64]bool
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

// HeldTokens returns the tokens of memory held for the program.
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

// pin holds the part of the prompt that is cached and tells how much it is.
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

// keep stores the whole prompt. Its first blocks are touched last, since every
// later block is worthless without them.
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

// hold pins the prompt's blocks that are cached, each once.
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

// release frees what only this program holds.
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

// owned returns the program's blocks in the order of their last use.
func (c *cache) blocksOf(program string) (out []engine.Block) {
	for h, b := range c.blocks {
		if b.owners[program] {
			out = append(out, engine.Block{Hash: h, Tokens: b.tokens})
		}
	}
	slices.SortFunc(out, func(a, b engine.Block) int { return int(c.blocks[b.Hash].last) - int(c.blocks[a.Hash].last) })
	return out
}
