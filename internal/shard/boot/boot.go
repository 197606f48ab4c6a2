// Package boot takes a shard over: it reads the snapshot and the journal after
// it, then creates the next journal entry with a new epoch.
//
// Creating that entry is the takeover. It fences the former owner, whose next
// creation is refused whatever the state of its lease. If the former owner
// creates the entry first, that one is read too and the next number is tried.
package boot

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/slaterock/slaterock/internal/plat/store"
	"github.com/slaterock/slaterock/internal/prog/record"
	"github.com/slaterock/slaterock/internal/prog/state"
	"github.com/slaterock/slaterock/internal/shard/jrnl"
	"github.com/slaterock/slaterock/internal/shard/snapio"
)

const (
	maxAttempts = 64
	readAhead   = 16
)

type (
	// Takeover takes over one shard for one daemon.
	Takeover struct {
		Store store.Store
		Shard int
		Owner string
		Rand  func() uint64
		Now   func() time.Time
	}

	// Taken is the state of a shard after its takeover.
	Taken struct {
		Fold        state.Fold
		Epoch       uint64
		Next        uint64 // number of the first entry to write
		EntriesRead int    // journal entries after the snapshot, without the one that Acquire created
		Snap        *snapio.Snap
	}

	readResult struct {
		entry record.Entry
		err   error
	}
)

var errContended = errors.New("boot: other daemons keep writing to the journal")

// Acquire reads the shard and opens a new epoch. It may be called again after
// any error.
func (t Takeover) Acquire(ctx context.Context) (res Taken, err error) {
	defer func() { err = errors.Wrapf(err, "boot: take over shard %d", t.Shard) }()
	res.Snap = &snapio.Snap{Store: t.Store, Shard: t.Shard}
	if res.Fold, err = res.Snap.Load(ctx); err != nil {
		return res, err
	}
	res.Next = res.Fold.Upto + 1
	var j record.Reassembler
	for range maxAttempts {
		if err = t.replay(ctx, &res, &j); err != nil {
			return res, err
		}
		won, err := t.claim(ctx, &res)
		if err != nil || won {
			return res, err
		}
	}
	return res, errContended
}

// replay reads the journal up to its end and applies it.
func (t Takeover) replay(ctx context.Context, res *Taken, j *record.Reassembler) error {
	for {
		for _, r := range t.readBatch(ctx, res.Next) {
			if errors.Is(r.err, store.ErrNotFound) {
				return nil
			}
			if r.err != nil {
				return r.err
			}
			if err := t.apply(res, j, r.entry); err != nil {
				return err
			}
		}
	}
}

// readBatch reads readAhead entries from n on concurrently. One after the other
// they would take a round trip to the store each, while the shard's programs
// wait. Entries after the first absent one are not used: they were written after
// it was read.
func (t Takeover) readBatch(ctx context.Context, n uint64) []readResult {
	rs := make([]readResult, readAhead)
	var work sync.WaitGroup
	for i := range rs {
		work.Go(func() { rs[i].entry, rs[i].err = t.read(ctx, n+uint64(i)) })
	}
	work.Wait()
	return rs
}

// apply applies the records of an entry to the state.
func (t Takeover) apply(res *Taken, j *record.Reassembler, e record.Entry) error {
	if e.Number != res.Next || e.Shard != t.Shard {
		return &record.CorruptError{Reason: "the entry belongs elsewhere"}
	}
	rs, err := j.Records(e)
	if err != nil {
		return err
	}
	for _, r := range rs {
		if err := res.Fold.Apply(e.Number, r); err != nil {
			return err
		}
	}
	res.Fold.Upto = e.Number
	res.Next++
	res.EntriesRead++
	return nil
}

func (t Takeover) read(ctx context.Context, n uint64) (record.Entry, error) {
	v, err := t.Store.Get(ctx, jrnl.Key(t.Shard, n))
	if err != nil {
		return record.Entry{}, err
	}
	return record.Decode(v.Data)
}

// claim creates the entry that opens the epoch. It returns false if another
// entry has that number now.
func (t Takeover) claim(ctx context.Context, res *Taken) (won bool, err error) {
	epoch := res.Fold.Epoch + 1
	took := record.Acquired{Epoch: epoch, Owner: t.Owner, At: t.Now()}
	us, err := record.Units(took, 0)
	if err != nil {
		return false, err
	}
	e := record.Entry{Shard: t.Shard, Number: res.Next, Epoch: epoch, Nonce: t.Rand(), Owner: t.Owner, Units: us}
	data, err := e.Encode()
	if err != nil {
		return false, err
	}
	_, err = t.Store.Put(ctx, jrnl.Key(t.Shard, res.Next), data, 0, 0)
	var c *store.ConflictError
	switch {
	case err == nil:
	case errors.As(err, &c), errors.Is(err, store.ErrUnknown):
		// An attempt of this Put may have taken effect although its answer was
		// lost. The nonce shows whether the entry is this daemon's; a wrong
		// guess would give the shard two owners or leave the epoch without an
		// owner.
		found, rerr := t.read(ctx, res.Next)
		if errors.Is(rerr, store.ErrNotFound) {
			return false, err
		}
		if rerr != nil {
			return false, rerr
		}
		if found.Nonce != e.Nonce || found.Epoch != epoch {
			return false, nil
		}
	default:
		return false, err
	}
	if err := res.Fold.Apply(res.Next, took); err != nil {
		return false, err
	}
	res.Epoch, res.Snap.Epoch = epoch, epoch
	res.Next++
	return true, nil
}
