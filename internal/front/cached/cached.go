// Package cached is an index of the shared prompt parts that engines have cached.
//
// It knows of a part from the turns that this front sent and from pairs of part and upstream
// that other fronts report. A pair that is wrong, because the engine evicted the part, costs one
// prefill, after which it is right again; a pair that is missing costs one too. So pairs are
// neither acknowledged nor sent again when they are lost.
//
// Package place/prefix does not fit here: it follows the programs of one owner and the cache
// events of numbered engines, and keeps what no event reports until its program ends. A front
// has neither, and needs to forget by time.
package cached

import (
	"container/list"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// TTL is how long a pair is kept after its last use. Engines evict what is not used, and the
	// shared parts that matter are used every few seconds.
	TTL = 20 * time.Second
	// repeatAfter is how long after a pair was last reported, by this front or another, its use
	// is reported again. Of the three reports in TTL one arrives, even if half are lost on the
	// way through two hubs.
	repeatAfter = 6 * time.Second
	// MaxPairs bounds the pairs that are known, those used last: a few dozen prefixes of two or
	// three parts at a hundred engines each. It takes 1.3 MB.
	MaxPairs = 1 << 13
	// MaxNew bounds the pairs that wait to be reported, the newest.
	MaxNew = 64
	// MaxHolders bounds the upstreams that Holders returns, so that a prefix that hundreds of
	// engines have does not slow down each choice.
	MaxHolders = 128
	// mixer is 2^64 divided by the golden ratio: its products differ in the upper half.
	mixer = 0x9e3779b97f4a7c15
)

type (
	// Upstream identifies an incarnation of an upstream; see UpstreamOf.
	Upstream uint32

	// Pair reports that an upstream has a part cached: the hash of the part in the upper half,
	// the Upstream in the lower one.
	Pair uint64

	// Index is the set of known pairs. The zero value is empty.
	Index struct {
		known   map[Pair]*list.Element // of order
		order   list.List              // of *entry, the one used last in front
		holders map[uint32][]Upstream  // by the hash of the part
		fresh   []Pair                 // to be reported, the newest last
		counts  map[Upstream]int       // number of pairs
		next    int                    // index of the first upstream that Holders returns of many
	}

	entry struct {
		pair     Pair
		used     time.Time
		reported time.Time // when this front or another last reported it
	}
)

// UpstreamOf returns the hash of an upstream's id and start time. An upstream that restarts under
// its id has another one, which voids its pairs.
func UpstreamOf(id string, born int64) Upstream {
	h := xxhash.Sum64String(id) + uint64(born)*mixer
	return Upstream(h ^ h>>32)
}

func (p Pair) part() uint32       { return uint32(p >> 32) }
func (p Pair) upstream() Upstream { return Upstream(p) }

func pairOf(part uint64, u Upstream) Pair { return Pair(hashOf(part))<<32 | Pair(u) }

// hashOf returns 32 bits of a part's id, which callers may have numbered in sequence.
func hashOf(part uint64) uint32 {
	part ^= part >> 32
	part *= mixer
	return uint32(part >> 32)
}

// Use records that this front sent a prompt with the part to the upstream. It reports whether
// the pair was known.
func (x *Index) Use(now time.Time, part uint64, u Upstream) (known bool) {
	x.expire(now)
	p := pairOf(part, u)
	e, known := x.touch(now, p)
	if known && now.Sub(e.reported) < repeatAfter {
		return true
	}
	e.reported = now
	if len(x.fresh) >= MaxNew {
		x.fresh = slices.Delete(x.fresh, 0, 1)
	}
	x.fresh = append(x.fresh, p)
	return known
}

// Merge adds pairs that another front reported.
func (x *Index) Merge(now time.Time, pairs []Pair) {
	x.expire(now)
	for _, p := range slices.Backward(pairs) { // the newest are first in messages
		e, _ := x.touch(now, p)
		e.reported = now
	}
}

// Holds reports whether the upstream is known to have the part cached.
func (x *Index) Holds(now time.Time, part uint64, u Upstream) bool {
	e, known := x.known[pairOf(part, u)]
	return known && live(now, e)
}

// Holders appends the upstreams that are known to have the part cached to the list. Of more than
// MaxHolders it appends other ones with each call.
func (x *Index) Holders(now time.Time, part uint64, found []Upstream) []Upstream {
	x.expire(now)
	all := x.holders[hashOf(part)]
	if len(all) <= MaxHolders {
		return append(found, all...)
	}
	x.next = (x.next + MaxHolders) % len(all)
	first := all[x.next:min(x.next+MaxHolders, len(all))]
	return append(append(found, first...), all[:MaxHolders-len(first)]...)
}

// TakeNew returns the pairs to be reported and not yet returned, at most n, the newest first.
func (x *Index) TakeNew(n int) (pairs []Pair) {
	n = min(n, len(x.fresh))
	if n == 0 {
		return nil
	}
	rest := len(x.fresh) - n
	pairs = slices.Clone(x.fresh[rest:])
	slices.Reverse(pairs)
	x.fresh = x.fresh[:rest]
	return pairs
}

// Forget drops all pairs of an upstream.
func (x *Index) Forget(u Upstream) {
	for e := x.order.Front(); e != nil && x.counts[u] > 0; {
		next := e.Next()
		if of(e).pair.upstream() == u {
			x.remove(e)
		}
		e = next
	}
}

// Len returns the number of pairs.
func (x *Index) Len() int { return len(x.known) }

func of(e *list.Element) *entry { return e.Value.(*entry) } //nolint:forcetypeassert // order has nothing else

func live(now time.Time, e *list.Element) bool { return now.Sub(of(e).used) <= TTL }

// touch returns the entry of a pair, used now, and whether the pair was known.
func (x *Index) touch(now time.Time, p Pair) (e *entry, known bool) {
	if old, known := x.known[p]; known {
		of(old).used = now
		x.order.MoveToFront(old)
		return of(old), true
	}
	if x.known == nil {
		x.known, x.holders, x.counts = map[Pair]*list.Element{}, map[uint32][]Upstream{}, map[Upstream]int{}
	}
	if len(x.known) >= MaxPairs {
		x.remove(x.order.Back())
	}
	e = &entry{pair: p, used: now}
	x.known[p] = x.order.PushFront(e)
	x.holders[p.part()] = append(x.holders[p.part()], p.upstream())
	x.counts[p.upstream()]++
	return e, false
}

func (x *Index) expire(now time.Time) {
	for e := x.order.Back(); e != nil && !live(now, e); e = x.order.Back() {
		x.remove(e)
	}
}

func (x *Index) remove(e *list.Element) {
	p := of(e).pair
	x.order.Remove(e)
	delete(x.known, p)
	if x.counts[p.upstream()]--; x.counts[p.upstream()] == 0 {
		delete(x.counts, p.upstream())
	}
	left := x.holders[p.part()]
	i := slices.Index(left, p.upstream())
	left[i] = left[len(left)-1]
	if left = left[:len(left)-1]; len(left) > 0 {
		x.holders[p.part()] = left
		return
	}
	delete(x.holders, p.part())
}
