// Package prefix keeps what is known of the prompt prefixes that engines hold.
//
// There are two sources. Own placements tell what an engine must have computed
// and may have evicted since. Cache events tell both, but late and with gaps.
// After a gap all that was only heard of is distrusted, and what was placed by
// this owner is what remains; the usage that comes with each answer corrects
// it. Only blocks of programs of this owner are kept for good; of others' a
// bounded number is remembered, since a context shared by many programs may be
// needed here next.
//
// Engines evict the end of a prefix before its beginning. An engine that holds
// a block is therefore taken to hold all blocks before it.
package prefix

import (
	"github.com/slaterock/slaterock/internal/plat/engine"
)

const (
	tailScan   = 32      // blocks looked at from the end of a prompt
	headScan   = 8       // and from its beginning, where shared contexts are
	maxMatches = 64      // engines returned at most
	maxTracked = 1 << 16 // blocks of unknown programs remembered
)

type (
	// Index is the knowledge about all engines, which are named by small
	// numbers. The zero value knows nothing.
	Index struct {
		// Part is this owner's part of all programs, 0 if unknown. A block
		// that several programs here share is shared by more elsewhere.
		Part float64

		blocks      map[uint64]*block
		programs    map[string]*program
		engines     []state
		tracked     []uint64 // ring
		trackedNext int
		matches     []Match
		stamp       uint32
		totalWeight float64 // the weight of the last lookup's whole prompt
	}

	// Match is an engine that holds the first Tokens of a prompt. Weight is
	// the same with each block's tokens divided by the programs of this owner
	// that need it: what one program's share of building them is.
	Match struct {
		Engine, Tokens int
		Weight         float64
	}

	block struct {
		users   int32 // programs of this owner that need it
		holders []holder
	}

	holder struct {
		engine   uint16
		placed   bool // this owner sent a prompt with the block there
		reported bool // an event told of it
		epoch    uint32
	}

	program struct {
		chain   []uint64
		engines []int
		home    int // where it was sent last, plus one
		calls   int
	}

	state struct {
		seq      uint64 // of the last event
		epoch    uint32 // rises with each gap
		minEpoch uint32 // placements before this era are void
		stamp    uint32 // of the last lookup that met the engine
		match    Match
		programs int // programs that were sent here last
	}
)

func (x *Index) grow(e int) {
	for len(x.engines) <= e {
		x.engines = append(x.engines, state{})
	}
}

// Use notes the prompt that a program sends, which replaces its earlier one.
// Blocks that no program needs any more are forgotten.
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

// Placed notes that the program's prompt was sent to the engine.
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

// Homes returns how many programs were sent to the engine last: its load to
// come, as long as they stay.
func (x *Index) Homes(e int) int {
	if e >= len(x.engines) {
		return 0
	}
	return x.engines[e].programs
}

// Home returns where the program was sent last.
func (x *Index) Home(name string) (e int, ok bool) {
	p := x.programs[name]
	if p == nil || p.home == 0 {
		return 0, false
	}
	return p.home - 1, true
}

// Calls returns how often the program was sent.
func (x *Index) Calls(name string) int {
	if p := x.programs[name]; p != nil {
		return p.calls
	}
	return 0
}

// Found corrects the index by an answer's usage: the engine had only so many
// tokens of the prompt cached when it began, fewer than expected. What it
// computed since is held, so only other programs' view of shared blocks can
// be wrong; those are the blocks that it had to compute again, and are right
// now. Nothing is left to forget but the engine's claim on longer chains.
func (x *Index) Correct(e int, blocks []engine.Block, cached int) {
	x.grow(e)
	sum := 0
	for _, b := range blocks {
		sum += b.Tokens
		if sum <= cached {
			x.block(b.Hash).hold(holder{engine: uint16(e), placed: true, epoch: x.engines[e].epoch})
		}
	}
}

// Holders returns the engines where the program left memory.
func (x *Index) Holders(name string) []int {
	if p := x.programs[name]; p != nil {
		return p.engines
	}
	return nil
}

// Known reports whether the program is one of this owner's.
func (x *Index) Known(name string) bool { return x.programs[name] != nil }

// Programs calls f for each program with memory at the engine, in no order.
func (x *Index) Programs(e int, f func(name string, tokens []uint64)) {
	for name, p := range x.programs {
		if contains(p.engines, e) {
			f(name, p.chain)
		}
	}
}

// Left notes that the engine holds nothing for the program any more.
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

// End forgets the program. Blocks that another program shares stay known.
func (x *Index) End(name string) {
	if p := x.programs[name]; p != nil {
		x.setHome(p, 0)
		x.unref(p.chain)
		delete(x.programs, name)
	}
}

// Reset forgets all that was known of the engine, which restarted empty.
func (x *Index) Reset(e int) {
	x.grow(e)
	x.engines[e].epoch++
	x.engines[e].minEpoch = x.engines[e].epoch
	x.engines[e].seq = 0
}

// Apply takes an engine's cache events in order and reports whether some were
// missing. A number that falls tells that the engine restarted.
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

// Match returns engines that hold a beginning of the prompt, the longest
// first. The result is valid until the next call.
func (x *Index) Match(blocks []engine.Block) []Match {
	x.matches = x.matches[:0]
	x.stamp++
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
		if x.Part > 0 {
			users /= x.Part
		}
		return float64(b.Tokens) / users
	}
	return float64(b.Tokens)
}

// All returns the weight of the prompt of the last Match.
func (x *Index) TotalWeight() float64 { return x.totalWeight }

// Matched returns what the last Match found at the engine.
func (x *Index) Matched(e int) Match {
	if e >= len(x.engines) || x.engines[e].stamp != x.stamp {
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
		if s.stamp == x.stamp || !s.trusts(h) {
			continue
		}
		m.Engine = int(h.engine)
		s.stamp, s.match = x.stamp, m
		x.matches = append(x.matches, m)
		if len(x.matches) == maxMatches {
			return
		}
	}
}

func (s *state) trusts(h holder) bool {
	if h.placed {
		return h.epoch >= s.minEpoch
	}
	return h.epoch == s.epoch
}
