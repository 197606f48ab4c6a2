package mesh

import (
	"time"

	"github.com/slaterock/slaterock/internal/front/cached"
)

const (
	// MaxCached is the largest number of pairs of part and upstream in one datagram, the newest.
	// A front that reports to a hub thus receives 10 digests with 24 pairs of 9 bytes a second at
	// most, 2.2 KB; a hub, or a front among FullMeshMax, as much from each other hub.
	MaxCached = 24
	// feedSize is the number of pairs that a hub keeps for its group, and feedRepeat how long
	// after it got a pair it drops the same one from another front: several fronts use a popular
	// part before they hear of each other.
	feedSize   = 256
	feedRepeat = time.Second
)

type (
	// feed passes on what fronts report about cached parts. Each pair is sent once to each
	// recipient; one that is lost is not sent again before a front reports it again.
	feed struct {
		ring    [feedSize]fed
		end     uint64        // number of pairs so far
		pending []cached.Pair // of this front and its group, for the next share, the newest last
	}

	fed struct {
		pair cached.Pair
		from ID // the front that sent it
		at   time.Time
	}
)

// CachedOf returns the pairs in a message, the newest first.
func CachedOf(msg Message) []cached.Pair {
	switch msg := msg.(type) {
	case Report:
		return msg.Cached
	case Share:
		return msg.Cached
	case Digest:
		return msg.Cached
	}
	return nil
}

// add adds pairs from a front, the newest first, and keeps them for the next share if the front
// is this one or of its group.
func (f *feed) add(now time.Time, from ID, pairs []cached.Pair, share bool) {
	for i := min(len(pairs), feedSize) - 1; i >= 0; i-- {
		if f.recent(now, pairs[i]) {
			continue
		}
		f.ring[f.end%feedSize] = fed{pair: pairs[i], from: from, at: now}
		f.end++
		if share {
			f.pending = append(f.pending, pairs[i])
		}
	}
	if n := len(f.pending); n > MaxCached {
		f.pending = f.pending[n-MaxCached:]
	}
}

// recent reports whether the pair was added a moment ago.
func (f *feed) recent(now time.Time, p cached.Pair) bool {
	for n := f.end; n > 0 && n+feedSize > f.end; n-- {
		e := &f.ring[(n-1)%feedSize]
		if now.Sub(e.at) >= feedRepeat {
			return false
		}
		if e.pair == p {
			return true
		}
	}
	return false
}

// takePending returns the pairs for a share, the newest first.
func (f *feed) takePending() (pairs []cached.Pair) {
	for i := len(f.pending) - 1; i >= 0; i-- {
		pairs = append(pairs, f.pending[i])
	}
	f.pending = nil
	return pairs
}

// since returns the pairs from the number given that other fronts than the recipient sent, at
// most MaxCached, the newest first. Those older than cached.TTL are left out: the recipient takes
// each for one that was used just now.
func (f *feed) since(now time.Time, first uint64, to ID) (pairs []cached.Pair) {
	for n := f.end; n > first && n+feedSize > f.end && len(pairs) < MaxCached; n-- {
		e := &f.ring[(n-1)%feedSize]
		if now.Sub(e.at) > cached.TTL {
			break
		}
		if e.from != to {
			pairs = append(pairs, e.pair)
		}
	}
	return pairs
}

// answer returns the digest for a front that has just reported, with the pairs that are new
// since its last digest. One that serves no callers has no use for them yet, and gets the newest
// once it does.
func (m *Mesh) answer(now time.Time, to ID) Digest {
	d := m.digestFor(now, to)
	r := m.reports[to]
	if r.Idle {
		return d
	}
	d.Cached = m.feed.since(now, r.fed, to)
	r.fed = m.feed.end
	m.reports[to] = r
	return d
}

// newest returns so many pairs at most, the newest.
func newest(pairs []cached.Pair, most int) []cached.Pair {
	return pairs[:min(len(pairs), most, MaxCached)]
}
