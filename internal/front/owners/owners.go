// Package owners tells which fronts keep the runs of a request: three of them, by rendezvous hashing of its
// key, the same at all fronts without a message.
//
// A front that has left keeps its place for a while. Otherwise another one would take it that knows of none of
// the runs before, while the request may still come back.
package owners

import (
	"encoding/binary"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// Count is the number of fronts that keep the runs of a request: one of them may be missing.
	Count = 3
	// leftSpan is how long a front that has left keeps its place: longer than callers come back.
	leftSpan = 15 * time.Second
)

type (
	// Table holds the fronts. The zero value has none. It is safe for concurrent use.
	Table struct {
		mu   sync.Mutex
		all  []Owner // listed, and left within leftSpan
		last []Owner // as given to Of last
	}

	// Owner is a front.
	Owner struct {
		Node    string
		Address string // for other fronts

		hash uint64    // of the node
		left time.Time // when it was no longer listed; zero if it is
	}

	ranked struct {
		*Owner
		score uint64
	}
)

// HasLeft reports whether the front is no longer listed.
func (o Owner) HasLeft() bool { return !o.left.IsZero() }

// Of returns the fronts that keep the runs of the request with the key, fewer than Count if there are fewer.
// Listed are the fronts of now; the list must not be changed.
func (t *Table) Of(now time.Time, listed []Owner, key uint64) (owners []Owner) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.update(now, listed)
	var best [Count]ranked
	for i := range t.all {
		o := &t.all[i]
		insert(&best, ranked{o, score(o.hash, key)})
	}
	for _, b := range best {
		if b.Owner != nil {
			owners = append(owners, *b.Owner)
		}
	}
	return owners
}

// update takes over the listed fronts.
func (t *Table) update(now time.Time, listed []Owner) {
	t.all = slices.DeleteFunc(t.all, func(o Owner) bool { return o.HasLeft() && now.Sub(o.left) > leftSpan })
	if len(listed) == len(t.last) && (len(listed) == 0 || &listed[0] == &t.last[0]) {
		return
	}
	t.last = listed
	next := make([]Owner, 0, len(listed))
	for _, o := range listed {
		o.hash, o.left = xxhash.Sum64String(o.Node), time.Time{}
		next = append(next, o)
	}
	for _, o := range t.all {
		if slices.ContainsFunc(listed, func(l Owner) bool { return l.Node == o.Node }) {
			continue
		}
		if !o.HasLeft() {
			o.left = now
		}
		next = append(next, o)
	}
	t.all = next
}

// insert takes a front into the list if its score is among the highest.
func insert(best *[Count]ranked, r ranked) {
	for i := range best {
		if best[i].Owner == nil || r.score > best[i].score {
			best[i], r = r, best[i]
		}
		if r.Owner == nil {
			return
		}
	}
}

// score returns the rendezvous hash of a front and a key.
func score(front, key uint64) uint64 {
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:8], front)
	binary.LittleEndian.PutUint64(b[8:], key)
	return xxhash.Sum64(b[:])
}
