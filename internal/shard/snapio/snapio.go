// Package fold writes and reads snapshots of a shard, so that a takeover reads
// a bounded part of its journal.
//
// A snapshot is a set of immutable values, each at most MaxPart bytes, and a
// head that names them. The head is replaced by compare-and-swap, so that a
// snapshot torn by a crash is never read and two owners can't both put one in
// force. Journal entries are never rewritten or deleted: they are the history,
// and a program's state lists the entries that hold its records. Families that
// ended leave the snapshot for an index, by the hash of their root.
package snapio

import (
	"context"
	"fmt"
	"slices"

	"github.com/cockroachdb/errors"

	"github.com/slaterock/slaterock/internal/plat/store"
	"github.com/slaterock/slaterock/internal/prog/call"
	"github.com/slaterock/slaterock/internal/prog/record"
	"github.com/slaterock/slaterock/internal/prog/state"
)

const (
	// MaxPart bounds one value of a snapshot before compression, in bytes.
	MaxPart = 700 << 10

	// Estimates of encoded sizes, on the high side, by which values are cut.
	bytesPerProgram = 1 << 10
	bytesPerFamily  = 64
	bytesPerEntry   = 9
)

type (
	// Head names the values of the snapshot in force.
	Head struct {
		Upto  uint64   `json:"upto"` // the newest journal entry in the snapshot
		Epoch uint64   `json:"epoch"`
		Owner string   `json:"owner"`
		Parts []string `json:"parts"`           // keys of the programs
		Index []string `json:"index"`           // keys of the families that ended
		Texts []string `json:"texts,omitempty"` // keys of the texts in data folders
	}

	// Gone is a family that ended.
	Gone struct {
		Hash     uint64              `json:"hash"`
		Programs map[string][]uint64 `json:"programs"` // id to journal entries
	}

	// Snap writes the snapshots of one shard. It is used by one goroutine.
	Snap struct {
		Store store.Store
		Shard int
		Epoch uint64 // of the owner that writes
		Head  Head
		Rev   store.Rev // of the head as last read or written, 0 if there is none

		obsolete     []string // keys that the head has stopped naming
		rewriteTexts bool     // the next snapshot names all texts again
	}

	part struct {
		Programs map[string]*state.Program `json:"programs"`
	}

	index struct {
		Gone []Gone `json:"gone"`
	}
)

// HeadKey is the store's key of a shard's head.
func HeadKey(shard int) string { return fmt.Sprintf("head/%04d", shard) }

// Save puts a snapshot of f in force. f must be taken where no record is split
// between two entries. It returns, for the hash of each family that ended, the
// position of the index value that knows it. A *store.ConflictError means that another owner has
// written a head.
func (s *Snap) Save(ctx context.Context, f state.Fold) (at map[uint64]uint32, err error) {
	defer func() { err = errors.Wrapf(err, "fold: snapshot of shard %d at entry %d", s.Shard, f.Upto) }()
	live, gone := splitEnded(f)
	h := Head{Upto: f.Upto, Epoch: f.Epoch, Owner: f.Owner}
	if h.Parts, err = s.writeParts(ctx, f.Upto, live); err != nil {
		return nil, err
	}
	if h.Index, at, err = s.writeIndex(ctx, f.Upto, gone); err != nil {
		return nil, err
	}
	if h.Texts, err = s.writeTexts(ctx, f); err != nil {
		return nil, err
	}
	if err = s.swap(ctx, h); err != nil {
		return nil, err
	}
	s.rewriteTexts = false
	s.deleteObsolete(ctx)
	return at, nil
}

// split tells the families that are wholly over from the rest.
func splitEnded(f state.Fold) (live map[string]*state.Program, gone []Gone) {
	open := map[string]bool{}
	for id, p := range f.Programs {
		if !p.Settled(f.Upto) {
			open[call.Root(id)] = true
		}
	}
	live = map[string]*state.Program{}
	ended := map[string]Gone{}
	for id, p := range f.Programs {
		root := call.Root(id)
		if open[root] {
			live[id] = p
			continue
		}
		g, ok := ended[root]
		if !ok {
			g = Gone{Hash: state.Hash(root), Programs: map[string][]uint64{}}
			ended[root] = g
		}
		g.Programs[id] = p.Entries
	}
	for _, g := range ended {
		gone = append(gone, g)
	}
	slices.SortFunc(gone, func(a, b Gone) int {
		if a.Hash < b.Hash {
			return -1
		}
		return 1
	})
	return live, gone
}

func (s *Snap) writeParts(ctx context.Context, upto uint64, live map[string]*state.Program) ([]string, error) {
	ids := make([]string, 0, len(live))
	for id := range live {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	var keys []string
	for len(ids) > 0 {
		p := part{Programs: map[string]*state.Program{}}
		size := 0
		for len(ids) > 0 && size < MaxPart {
			q := *live[ids[0]]
			if len(q.Last.Result.Body) > 0 {
				// An answer stands in the journal already.
				q.Last.Result.Body, q.Dropped = nil, true
			}
			p.Programs[ids[0]] = &q
			size += bytesPerProgram + bytesPerEntry*len(q.Entries)
			ids = ids[1:]
		}
		key, err := s.write(ctx, "state", upto, len(keys), p)
		if err != nil {
			return nil, err
		}
		keys = append(keys, key)
	}
	return keys, nil
}

// writeIndex adds the families to the newest index value, and begins another
// when that has grown.
func (s *Snap) writeIndex(ctx context.Context, upto uint64, gone []Gone) (keys []string, at map[uint64]uint32, err error) {
	keys = slices.Clone(s.Head.Index)
	at = map[uint64]uint32{}
	if len(gone) == 0 {
		return keys, at, nil
	}
	var ix index
	if n := len(keys); n > 0 {
		if err := s.read(ctx, keys[n-1], &ix); err != nil {
			return nil, nil, err
		}
		keys = keys[:n-1]
	}
	size := 0
	for _, g := range ix.Gone {
		size += g.size()
	}
	for len(gone) > 0 {
		for len(gone) > 0 && size < MaxPart {
			at[gone[0].Hash] = uint32(len(keys))
			ix.Gone = append(ix.Gone, gone[0])
			size += gone[0].size()
			gone = gone[1:]
		}
		key, err := s.write(ctx, "gone", upto, len(keys), ix)
		if err != nil {
			return nil, nil, err
		}
		keys = append(keys, key)
		ix, size = index{}, 0
	}
	return keys, at, nil
}

func (g Gone) size() int {
	n := bytesPerFamily
	for id, entries := range g.Programs {
		n += len(id) + bytesPerEntry*len(entries)
	}
	return n
}

// write creates an immutable value. A value of that name that exists stems from
// an attempt of this owner that was cut short, or from another owner's; the
// epoch in the name keeps them apart, so it holds the same bytes.
func (s *Snap) write(ctx context.Context, kind string, upto uint64, n int, v any) (key string, err error) {
	key = fmt.Sprintf("%s/%04d/%016d-%d-%d", kind, s.Shard, upto, s.Epoch, n)
	data, err := record.Pack(v)
	if err != nil {
		return "", err
	}
	_, err = s.Store.Put(ctx, key, data, 0, 0)
	var c *store.ConflictError
	if errors.As(err, &c) || errors.Is(err, store.ErrUnknown) {
		return key, s.ensureValue(ctx, key, data)
	}
	return key, err
}

// same makes sure that the key holds what was to be written, whoever wrote it.
func (s *Snap) ensureValue(ctx context.Context, key string, data []byte) error {
	e, err := s.Store.Get(ctx, key)
	if errors.Is(err, store.ErrNotFound) {
		_, err = s.Store.Put(ctx, key, data, 0, 0)
		return err
	}
	if err != nil || string(e.Data) == string(data) {
		return err
	}
	_, err = s.Store.Put(ctx, key, data, e.Rev, 0)
	return err
}

func (s *Snap) swap(ctx context.Context, h Head) error {
	data, err := record.Pack(h)
	if err != nil {
		return err
	}
	rev, err := s.Store.Put(ctx, HeadKey(s.Shard), data, s.Rev, 0)
	if errors.Is(err, store.ErrUnknown) {
		// The head may be in force already. Taking it for refused would leave
		// this writer with a revision that can never match again.
		e, rerr := s.Store.Get(ctx, HeadKey(s.Shard))
		if rerr != nil || string(e.Data) != string(data) {
			return errors.CombineErrors(err, rerr)
		}
		rev, err = e.Rev, nil
	}
	if err != nil {
		return err
	}
	named := slices.Concat(h.Parts, h.Index, h.Texts)
	for _, k := range slices.Concat(s.Head.Parts, s.Head.Index, s.Head.Texts) {
		if !slices.Contains(named, k) {
			s.obsolete = append(s.obsolete, k)
		}
	}
	s.Head, s.Rev = h, rev
	return nil
}

// sweep deletes values that no head names any more. What can't be deleted now
// is tried again after the next snapshot.
func (s *Snap) deleteObsolete(ctx context.Context) {
	s.obsolete = slices.DeleteFunc(s.obsolete, func(key string) bool {
		e, err := s.Store.Get(ctx, key)
		if err == nil {
			err = s.Store.Delete(ctx, key, e.Rev)
		}
		return err == nil || errors.Is(err, store.ErrNotFound)
	})
}

func (s *Snap) read(ctx context.Context, key string, v any) error {
	e, err := s.Store.Get(ctx, key)
	if err != nil {
		return err
	}
	return record.Unpack(e.Data, v)
}

// Load reads the head and the programs of the snapshot in force into a Fold. A
// shard without one gives an empty Fold.
func (s *Snap) Load(ctx context.Context) (f state.Fold, err error) {
	defer func() { err = errors.Wrapf(err, "fold: load shard %d", s.Shard) }()
	f = state.Fold{Programs: map[string]*state.Program{}, Gone: map[uint64]uint32{}}
	e, err := s.Store.Get(ctx, HeadKey(s.Shard))
	if errors.Is(err, store.ErrNotFound) {
		s.Head, s.Rev = Head{}, 0
		return f, nil
	}
	if err != nil {
		return f, err
	}
	s.Head, s.Rev = Head{}, e.Rev
	if err = record.Unpack(e.Data, &s.Head); err != nil {
		return f, err
	}
	f.Upto, f.Epoch, f.Owner = s.Head.Upto, s.Head.Epoch, s.Head.Owner
	for _, key := range s.Head.Parts {
		var p part
		if err = s.read(ctx, key, &p); err != nil {
			return f, err
		}
		for id, q := range p.Programs {
			f.Programs[id] = q
		}
	}
	for i, key := range s.Head.Index {
		var ix index
		if err = s.read(ctx, key, &ix); err != nil {
			return f, err
		}
		for _, g := range ix.Gone {
			f.Gone[g.Hash] = uint32(i)
		}
	}
	return f, s.loadTexts(ctx, &f)
}

// Find reads the family with the given hash from the index value at a
// position. It reads the head again, because a snapshot may have replaced the
// value since.
func Find(ctx context.Context, st store.Store, shard int, at uint32, hash uint64) (g Gone, err error) {
	defer func() { err = errors.Wrapf(err, "fold: find in shard %d", shard) }()
	s := Snap{Store: st, Shard: shard}
	var h Head
	if err = s.read(ctx, HeadKey(shard), &h); err != nil {
		return g, err
	}
	if int(at) >= len(h.Index) {
		return g, store.ErrNotFound
	}
	var ix index
	if err = s.read(ctx, h.Index[at], &ix); err != nil {
		return g, err
	}
	for _, g := range ix.Gone {
		if g.Hash == hash {
			return g, nil
		}
	}
	return g, store.ErrNotFound
}
