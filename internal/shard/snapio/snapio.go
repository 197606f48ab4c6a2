// Package snapio writes and reads snapshots of a shard's state, so that a takeover
// reads a bounded part of the shard's journal.
//
// A snapshot consists of immutable values of up to about MaxValueSize bytes and a head
// that lists their keys. The head is replaced by compare-and-swap, so that a snapshot
// left incomplete by a crash is never read, and two owners can't both replace the
// current one. Journal entries are never rewritten or deleted: they are the history,
// and a program's state lists the entries that hold its records. A family, which is a
// root program with its sub-agents, is moved from the snapshot to an index when it
// has ended. The index lists ended families by the hash of the root's id.
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
	// MaxValueSize is the approximate maximum size of one value of a snapshot, in
	// bytes before compression. Values are filled by estimated sizes.
	MaxValueSize = 700 << 10

	// Generous estimates of encoded sizes, by which programs and families are
	// distributed over values.
	bytesPerProgram = 1 << 10
	bytesPerFamily  = 64
	bytesPerEntry   = 9
)

type (
	// Head lists the keys of the values of the current snapshot.
	Head struct {
		Upto  uint64   `json:"upto"` // newest journal entry in the snapshot
		Epoch uint64   `json:"epoch"`
		Owner string   `json:"owner"`
		Parts []string `json:"parts"`           // keys of values with programs
		Index []string `json:"index"`           // keys of values with ended families
		Texts []string `json:"texts,omitempty"` // keys of values with the list of text locations
	}

	// Gone is an ended family.
	Gone struct {
		Hash     uint64              `json:"hash"`
		Programs map[string][]uint64 `json:"programs"` // journal entries by program id
	}

	// Snap writes and loads the snapshots of one shard. It is not safe for
	// concurrent use.
	Snap struct {
		Store store.Store
		Shard int
		Epoch uint64 // of the owner that writes
		Head  Head
		Rev   store.Rev // of Head as last read or written; 0 if the shard has none

		obsolete     []string // keys that Head no longer lists, to be deleted
		rewriteTexts bool     // the next snapshot writes the list of text locations anew
	}

	part struct {
		Programs map[string]*state.Program `json:"programs"`
	}

	index struct {
		Gone []Gone `json:"gone"`
	}
)

// HeadKey returns the store's key of a shard's head.
func HeadKey(shard int) string { return fmt.Sprintf("head/%04d", shard) }

// Save writes a snapshot of f and makes it the current one. f must be taken when no
// record is split between entry f.Upto and the next. Save returns the position of
// the index value of each family that this snapshot moved to the index, by the
// family's hash. A *store.ConflictError means that another owner has written a head.
func (s *Snap) Save(ctx context.Context, f state.Fold) (positions map[uint64]uint32, err error) {
	defer func() { err = errors.Wrapf(err, "snapio: save snapshot of shard %d at entry %d", s.Shard, f.Upto) }()
	live, gone := splitEnded(f)
	h := Head{Upto: f.Upto, Epoch: f.Epoch, Owner: f.Owner}
	if h.Parts, err = s.writeParts(ctx, f.Upto, live); err != nil {
		return nil, err
	}
	if h.Index, positions, err = s.writeIndex(ctx, f.Upto, gone); err != nil {
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
	return positions, nil
}

// splitEnded separates the families of which all programs have ended from the
// others.
func splitEnded(f state.Fold) (live map[string]*state.Program, gone []Gone) {
	open := map[string]bool{}
	for id, p := range f.Programs {
		if !p.CompleteUpTo(f.Upto) {
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
		for len(ids) > 0 && size < MaxValueSize {
			q := *live[ids[0]]
			if len(q.Last.Result.Body) > 0 {
				// The journal has the answer.
				q.Last.Result.Body, q.BodyDropped = nil, true
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

// writeIndex adds the families to the newest index value, and starts another one
// when that is full.
func (s *Snap) writeIndex(ctx context.Context, upto uint64, gone []Gone) (keys []string, positions map[uint64]uint32, err error) {
	keys = slices.Clone(s.Head.Index)
	positions = map[uint64]uint32{}
	if len(gone) == 0 {
		return keys, positions, nil
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
		for len(gone) > 0 && size < MaxValueSize {
			positions[gone[0].Hash] = uint32(len(keys))
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
	return keys, positions, nil
}

func (g Gone) size() int {
	n := bytesPerFamily
	for id, entries := range g.Programs {
		n += len(id) + bytesPerEntry*len(entries)
	}
	return n
}

// write creates an immutable value and returns its key. The key has the epoch, so
// a value that exists already was written by an earlier attempt of this owner;
// ensureValue makes sure that it has the same bytes.
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

// ensureValue makes the key hold data, after a conflict or a write whose outcome
// is unknown.
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
		// The head may have been written. Assuming that it was not would leave
		// this writer with a revision that never matches again.
		e, rerr := s.Store.Get(ctx, HeadKey(s.Shard))
		if rerr != nil || string(e.Data) != string(data) {
			return errors.CombineErrors(err, rerr)
		}
		rev, err = e.Rev, nil
	}
	if err != nil {
		return err
	}
	listed := slices.Concat(h.Parts, h.Index, h.Texts)
	for _, k := range slices.Concat(s.Head.Parts, s.Head.Index, s.Head.Texts) {
		if !slices.Contains(listed, k) {
			s.obsolete = append(s.obsolete, k)
		}
	}
	s.Head, s.Rev = h, rev
	return nil
}

// deleteObsolete deletes values that the head no longer lists. A deletion that
// fails is retried after the next snapshot.
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

// Load reads the current snapshot into a Fold. A shard without a snapshot has an
// empty Fold.
func (s *Snap) Load(ctx context.Context) (f state.Fold, err error) {
	defer func() { err = errors.Wrapf(err, "snapio: load snapshot of shard %d", s.Shard) }()
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

// Find reads the ended family with the given hash from the index value at the given
// position. It reads the head first, because a snapshot may have replaced the value since
// the position was returned. Without such a family it returns store.ErrNotFound.
func Find(ctx context.Context, st store.Store, shard int, position uint32, hash uint64) (g Gone, err error) {
	defer func() { err = errors.Wrapf(err, "snapio: find ended family in shard %d", shard) }()
	s := Snap{Store: st, Shard: shard}
	var h Head
	if err = s.read(ctx, HeadKey(shard), &h); err != nil {
		return g, err
	}
	if int(position) >= len(h.Index) {
		return g, store.ErrNotFound
	}
	var ix index
	if err = s.read(ctx, h.Index[position], &ix); err != nil {
		return g, err
	}
	for _, g := range ix.Gone {
		if g.Hash == hash {
			return g, nil
		}
	}
	return g, store.ErrNotFound
}
