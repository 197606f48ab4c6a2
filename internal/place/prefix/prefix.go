// Package prefix is an index of the prompt prefixes that engines have cached.
//
// It has two sources. This owner's placements show what an engine has computed
// but may have evicted since. Cache events report both, but late and with gaps.
// After a gap, entries known only from events are ignored and those from
// placements remain; the usage in each answer confirms them. Blocks of this
// owner's programs are kept as long as a program uses them. Of all others a
// bounded number is kept, since a context shared by many programs may be used
// here next.
//
// Engines evict the end of a prefix before its beginning. An engine that holds
// a block is therefore assumed to hold all blocks before it.
package prefix

import (
	"github.com/slaterock/slaterock/internal/plat/engine"
)

const (
	tailScan   = 32      // blocks looked up at the end of a prompt
	headScan   = 8       // and at its beginning, where shared contexts are
	maxMatches = 64      // maximum number of engines returned
	maxTracked = 1 << 16 // maximum number of tracked blocks of other owners' programs
)

type (
	// Index holds the cached prefixes of all engines, which are identified by
	// small numbers. The zero value is empty.
	Index struct {
		// OwnShare estimates this owner's share of all programs, 0 if unknown.
		// The users of a shared block are divided by it to estimate those of
		// all owners.
		OwnShare float64

		blocks      map[uint64]*block
		programs    map[string]*program
		engines     []engineState
		tracked     []uint64 // ring
		trackedNext int
		matches     []Match
		matchNumber uint32  // number of the last Match
		totalWeight float64 // weight of the whole prompt of the last Match
	}

	// Match is an engine that holds the first Tokens of a prompt. Weight counts
	// the same tokens, but those of a shared block divided by the number of
	// programs that use it, hence one program's share of computing them. Only
	// the first headScan blocks are taken to be shared.
	Match struct {
		Engine, Tokens int
		Weight         float64
	}

	block struct {
		users   int32 // programs of this owner that use it
		holders []holder
	}

	holder struct {
		engine   uint16
		placed   bool // this owner sent a prompt with the block to the engine
		reported bool // a cache event reported it
		epoch    uint32
	}

	program struct {
		chain   []uint64
		engines []int
		home    int // engine of the last placement plus one, 0 for none
		calls   int
	}

	engineState struct {
		seq         uint64 // of the last event
		epoch       uint32 // incremented with each gap or restart
		minEpoch    uint32 // placements of earlier epochs are ignored
		matchNumber uint32 // of the last Match that found the engine
		match       Match
		programs    int // programs that were last placed here
	}
)

func (x *Index) grow(e int) {
	for len(x.engines) <= e {
		x.engines = append(x.engines, engineState{})
	}
}

// Use records the prompt that a program sends; it replaces the previous one.
// Blocks that no program uses any more are retired.
func (x *Index) Use(name string, blocks []engine.Block) {
	p := x.program(name)
	same := 0
	for same < len(blocks) && same < len(p.chain) && blocks[same].Hash == p.chain[same] {
		same++
	}
	x.unref(p.chain[same:])
	p.chain = p.chain[:same]
	for _, b := range blocks[same:] {
		x.block(b.Hash).users++
		p.chain = append(p.chain, b.Hash)
	}
}

// Placed records that the program was placed at the engine: its prompt was sent
// there by a request, or its prefix by an export.
func (x *Index) Placed(name string, e int) {
	x.grow(e)
	p := x.program(name)
	p.calls++
	x.setHome(p, e+1)
	if !contains(p.engines, e) {
		p.engines = append(p.engines, e)
	}
	for _, h := range p.chain {
		x.block(h).hold(holder{engine: uint16(e), placed: true, epoch: x.engines[e].epoch})
	}
}

func (x *Index) setHome(p *program, home int) {
	if p.home > 0 {
		x.engines[p.home-1].programs--
	}
	if home > 0 {
		x.engines[home-1].programs++
	}
	p.home = home
}

// Homes returns the number of programs that were last placed at the engine. It
// indicates the future load, as programs usually stay.
func (x *Index) Homes(e int) int {
	if e >= len(x.engines) {
		return 0
	}
	return x.engines[e].programs
}

// Home returns the engine at which the program was last placed.
func (x *Index) Home(name string) (e int, ok bool) {
	p := x.programs[name]
	if p == nil || p.home == 0 {
		return 0, false
	}
	return p.home - 1, true
}

// Calls returns the number of placements of the program: requests, including
// hedges and further attempts, and exports.
func (x *Index) Calls(name string) int {
	if p := x.programs[name]; p != nil {
		return p.calls
	}
	return 0
}

// Confirm applies an answer's usage: the engine had that many tokens of the
// prompt cached when the request began, so it holds the blocks within them. The
// blocks that it lacked it has computed since, so none are removed.
func (x *Index) Confirm(e int, blocks []engine.Block, cached int) {
	x.grow(e)
	sum := 0
	for _, b := range blocks {
		sum += b.Tokens
		if sum <= cached {
			x.block(b.Hash).hold(holder{engine: uint16(e), placed: true, epoch: x.engines[e].epoch})
		}
	}
}

// Holders returns the engines that may hold memory for the program.
func (x *Index) Holders(name string) []int {
	if p := x.programs[name]; p != nil {
		return p.engines
	}
	return nil
}

// Known reports whether the index has the program.
func (x *Index) Known(name string) bool { return x.programs[name] != nil }

// Programs calls f, in no particular order, for each program that may have memory
// at the engine, with the hashes of its prompt's blocks.
func (x *Index) Programs(e int, f func(name string, hashes []uint64)) {
	for name, p := range x.programs {
		if contains(p.engines, e) {
			f(name, p.chain)
		}
	}
}

// Released records that the engine holds no memory for the program any more.
func (x *Index) Released(name string, e int) {
	p := x.programs[name]
	if p == nil {
		return
	}
	for i, v := range p.engines {
		if v == e {
			p.engines = append(p.engines[:i], p.engines[i+1:]...)
			return
		}
	}
}

// End removes the program. Blocks that another program uses are kept.
func (x *Index) End(name string) {
	if p := x.programs[name]; p != nil {
		x.setHome(p, 0)
		x.unref(p.chain)
		delete(x.programs, name)
	}
}

// Reset invalidates all entries of the engine, which restarted with an empty cache.
func (x *Index) Reset(e int) {
	x.grow(e)
	x.engines[e].epoch++
	x.engines[e].minEpoch = x.engines[e].epoch
	x.engines[e].seq = 0
}

// Apply applies an engine's cache events in order and reports whether some were
// missing. A sequence number that decreases means that the engine restarted.
func (x *Index) Apply(e int, events []engine.Event) (gap bool) {
	x.grow(e)
	for _, ev := range events {
		s := &x.engines[e]
		switch {
		case ev.Seq == s.seq && s.seq > 0:
			continue
		case ev.Seq < s.seq:
			x.Reset(e)
		case s.seq > 0 && ev.Seq != s.seq+1:
			s.epoch++
			gap = true
		}
		s.seq = ev.Seq
		for _, h := range ev.Stored {
			x.track(h).hold(holder{engine: uint16(e), reported: true, epoch: s.epoch})
		}
		for _, h := range ev.Evicted {
			if b := x.blocks[h]; b != nil {
				b.evict(uint16(e))
			}
		}
	}
	return gap
}

// Match returns up to maxMatches engines that hold a prefix of the prompt, the
// longest first. It looks up only the first headScan and the last tailScan blocks;
// a prefix that ends between them is found with its first headScan blocks. The
// result is valid until the next call.
func (x *Index) Match(blocks []engine.Block) []Match {
	x.matches = x.matches[:0]
	x.matchNumber++
	var shares [headScan]float64
	m := Match{}
	for i, b := range blocks {
		m.Tokens += b.Tokens
		if i < headScan {
			shares[i] = x.share(b)
			m.Weight += shares[i]
		} else {
			m.Weight += float64(b.Tokens)
		}
	}
	x.totalWeight = m.Weight
	tail := max(len(blocks)-tailScan, 0)
	for i := len(blocks) - 1; i >= 0 && len(x.matches) < maxMatches; i-- {
		if i >= tail || i < headScan {
			x.collect(blocks[i].Hash, m)
		}
		m.Tokens -= blocks[i].Tokens
		if i < headScan {
			m.Weight -= shares[i]
		} else {
			m.Weight -= float64(blocks[i].Tokens)
		}
	}
	return x.matches
}

func (x *Index) share(b engine.Block) float64 {
	if known := x.blocks[b.Hash]; known != nil && known.users > 1 {
		users := float64(known.users)
		if x.OwnShare > 0 {
			users /= x.OwnShare
		}
		return float64(b.Tokens) / users
	}
	return float64(b.Tokens)
}

// TotalWeight returns the weight of the whole prompt of the last Match.
func (x *Index) TotalWeight() float64 { return x.totalWeight }

// Matched returns the engine's result in the last Match; Tokens is 0 if it was
// not found.
func (x *Index) Matched(e int) Match {
	if e >= len(x.engines) || x.engines[e].matchNumber != x.matchNumber {
		return Match{Engine: e}
	}
	return x.engines[e].match
}

func (x *Index) collect(hash uint64, m Match) {
	b := x.blocks[hash]
	if b == nil {
		return
	}
	for _, h := range b.holders {
		s := &x.engines[h.engine]
		if s.matchNumber == x.matchNumber || !s.isValid(h) {
			continue
		}
		m.Engine = int(h.engine)
		s.matchNumber, s.match = x.matchNumber, m
		x.matches = append(x.matches, m)
		if len(x.matches) == maxMatches {
			return
		}
	}
}

func (s *engineState) isValid(h holder) bool {
	if h.placed {
		return h.epoch >= s.minEpoch
	}
	return h.epoch == s.epoch
}
