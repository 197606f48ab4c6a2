package prefix

import (
	"testing"

	"github.com/matryer/is"

	"github.com/slaterock/slaterock/internal/plat/engine"
)

func blocks(hashes ...uint64) (out []engine.Block) {
	for _, h := range hashes {
		out = append(out, engine.Block{Hash: h, Tokens: 100})
	}
	return out
}

// held returns the prefix length in tokens that the index has for each engine.
func held(x *Index, hashes ...uint64) map[int]int {
	out := map[int]int{}
	for _, m := range x.Match(blocks(hashes...)) {
		out[m.Engine] = m.Tokens
	}
	return out
}

// Cache events come late, get lost, or restart with the engine. A stale entry
// would send a program to an engine that has to compute its whole prompt again.
func TestHeldPrefixes(t *testing.T) {
	tests := map[string]struct {
		do   func(x *Index)
		want map[int]int
	}{
		"nothing":         {func(*Index) {}, map[int]int{}},
		"placed":          {func(x *Index) { place(x, "p", 1, 1, 2) }, map[int]int{1: 200}},
		"placed at two":   {func(x *Index) { place(x, "p", 1, 1); place(x, "p", 2, 1, 2, 3) }, map[int]int{1: 100, 2: 300}},
		"heard":           {func(x *Index) { x.Apply(4, []engine.Event{{Seq: 1, Stored: []uint64{1, 2}}}) }, map[int]int{4: 200}},
		"heard, then gap": {func(x *Index) { x.Apply(4, []engine.Event{{Seq: 1, Stored: []uint64{1, 2}}, {Seq: 3}}) }, map[int]int{}},
		"gap, then heard": {func(x *Index) { x.Apply(4, []engine.Event{{Seq: 1}, {Seq: 3, Stored: []uint64{1}}}) }, map[int]int{4: 100}},
		"placed, then gap": {func(x *Index) {
			place(x, "p", 4, 1, 2)
			x.Apply(4, []engine.Event{{Seq: 1, Stored: []uint64{1, 2, 3}}, {Seq: 5}})
		}, map[int]int{4: 200}},
		"placed, then evicted": {func(x *Index) {
			place(x, "p", 4, 1, 2)
			x.Apply(4, []engine.Event{{Seq: 1, Evicted: []uint64{2}}})
		}, map[int]int{4: 100}},
		"restarted": {func(x *Index) {
			place(x, "p", 4, 1, 2)
			x.Apply(4, []engine.Event{{Seq: 9}, {Seq: 1, Stored: []uint64{1}}})
		}, map[int]int{4: 100}},
		"repeated event":  {func(x *Index) { x.Apply(4, []engine.Event{{Seq: 1, Stored: []uint64{1}}, {Seq: 1}}) }, map[int]int{4: 100}},
		"usage tells":     {func(x *Index) { x.Confirm(3, blocks(1, 2, 3), 200) }, map[int]int{3: 200}},
		"program is over": {func(x *Index) { place(x, "p", 1, 1, 2); x.End("p") }, map[int]int{}},
		"shared with one that goes on": {func(x *Index) {
			place(x, "p", 1, 1, 2)
			place(x, "q", 1, 1, 9)
			x.End("p")
		}, map[int]int{1: 100}},
		"over here, heard of": {func(x *Index) {
			place(x, "p", 1, 1, 2)
			x.Apply(1, []engine.Event{{Seq: 1, Stored: []uint64{1}}})
			x.End("p")
		}, map[int]int{1: 100}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var x Index
			tt.do(&x)
			is.Equal(held(&x, 1, 2, 3), tt.want)
		})
	}
}

func place(x *Index, name string, e int, hashes ...uint64) {
	x.Use(name, blocks(hashes...))
	x.Placed(name, e)
}

func TestHomes(t *testing.T) {
	is := is.New(t)
	var x Index
	place(&x, "p", 1, 1)
	place(&x, "q", 1, 1)
	place(&x, "p", 2, 1)
	is.Equal(x.Homes(1), 1)
	is.Equal(x.Homes(2), 1)
	is.Equal(x.Holders("p"), []int{1, 2}) // both must be released
	is.Equal(x.Calls("p"), 2)
	x.End("p")
	x.End("q")
	is.Equal(x.Homes(1)+x.Homes(2), 0)
}

// Each program is charged its share of a shared context, so that the cost of a
// new copy is not borne by the program that happens to be the first there.
func TestWeightIsShared(t *testing.T) {
	is := is.New(t)
	x := Index{OwnShare: 0.5}
	place(&x, "p", 1, 1, 2)
	place(&x, "q", 1, 1, 3)
	m := x.Match(blocks(1, 2))
	is.Equal(m[0].Weight, 100.0/4+100) // two here, as many elsewhere
}

// The cache events of a large fleet report blocks of programs of other owners.
// Unbounded, these would fill the memory.
func TestTrackedBlocksAreBounded(t *testing.T) {
	is := is.New(t)
	var x Index
	for i := range uint64(2 * maxTracked) {
		x.Apply(0, []engine.Event{{Seq: i + 1, Stored: []uint64{i + 1}}})
	}
	is.Equal(len(x.blocks), maxTracked)
}
