// Package boot takes a shard over: it reads the snapshot and the journal after
// it, then creates an entry with an epoch of its own.
//
// Creating that entry is the takeover. Whoever wrote the entry before it can't
// write another, whatever it believes about its lease. If the former owner got
// an entry in first, that one is read too and the next place is tried.
package boot

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/slaterock/slaterock/internal/plat/store"
	"github.com/slaterock/slaterock/internal/prog/record"
	"github.com/slaterock/slaterock/internal/prog/state"
	"github.com/slaterock/slaterock/internal/shard/chain"
	"github.com/slaterock/slaterock/internal/shard/snapio"
)

const (
	maxRounds = 64
	readAhead = 16
)

type (
	// Boot takes over one shard for one daemon.
	Boot struct {
		Store store.Store
		Shard int
		Owner string
		Rand  func() uint64
		Now   func() time.Time
	}

	// Taken is a shard that was taken over.
	Taken struct {
		Fold  state.Fold
		Epoch uint64
		Next  uint64 // the first entry to write
		Read  int    // journal entries read
		Snap  *snapio.Snap
	}

	reading struct {
		entry record.Entry
		err   error
	}
)

var errRaced = errors.New("boot: other daemons keep writing to the journal")

// Take reads the shard and opens a new epoch. It may be repeated after any
// error.
func (b Boot) Take(ctx context.Context) (t Taken, err error) {
	defer func() { err = errors.Wrapf(err, "boot: take shard %d", b.Shard) }()
	t.Snap = &snapio.Snap{Store: b.Store, Shard: b.Shard}
	if t.Fold, err = t.Snap.Load(ctx); err != nil {
		return t, err
	}
	t.Next = t.Fold.Upto + 1
	var j record.Reassembler
	for range maxRounds {
		if err = b.follow(ctx, &t, &j); err != nil {
			return t, err
		}
		won, err := b.claim(ctx, &t)
		if err != nil || won {
			return t, err
		}
	}
	return t, errRaced
}

// follow reads the journal up to its end.
func (b Boot) follow(ctx context.Context, t *Taken, j *record.Reassembler) error {
	for {
		for _, r := range b.ahead(ctx, t.Next) {
			if errors.Is(r.err, store.ErrNotFound) {
				return nil
			}
			if r.err != nil {
				return r.err
			}
			if err := b.apply(t, j, r.entry); err != nil {
				return err
			}
		}
	}
}

// ahead reads several entries from n on at a time. One after the other they
// would cost a way to the store and back each, while the shard's programs wait.
// Entries behind the first that is absent are not used: they were written since
// it was looked for.
func (b Boot) ahead(ctx context.Context, n uint64) []reading {
	rs := make([]reading, readAhead)
	var work sync.WaitGroup
	for i := range rs {
		work.Go(func() { rs[i].entry, rs[i].err = b.read(ctx, n+uint64(i)) })
	}
	work.Wait()
	return rs
}

// apply adds what an entry holds.
func (b Boot) apply(t *Taken, j *record.Reassembler, e record.Entry) error {
	if e.Number != t.Next || e.Shard != b.Shard {
		return &record.CorruptError{Reason: "the entry belongs elsewhere"}
	}
	rs, err := j.Records(e)
	if err != nil {
		return err
	}
	for _, r := range rs {
		if err := t.Fold.Apply(e.Number, r); err != nil {
			return err
		}
	}
	t.Fold.Upto = e.Number
	t.Next++
	t.Read++
	return nil
}

func (b Boot) read(ctx context.Context, n uint64) (record.Entry, error) {
	v, err := b.Store.Get(ctx, chain.Key(b.Shard, n))
	if err != nil {
		return record.Entry{}, err
	}
	return record.Decode(v.Data)
}

// claim creates the entry that opens the epoch. It returns false if another
// entry stands there now.
func (b Boot) claim(ctx context.Context, t *Taken) (won bool, err error) {
	epoch := t.Fold.Epoch + 1
	took := record.Acquired{Epoch: epoch, Owner: b.Owner, At: b.Now()}
	us, err := record.Units(took, 0)
	if err != nil {
		return false, err
	}
	e := record.Entry{Shard: b.Shard, Number: t.Next, Epoch: epoch, Nonce: b.Rand(), Owner: b.Owner, Units: us}
	data, err := e.Encode()
	if err != nil {
		return false, err
	}
	_, err = b.Store.Put(ctx, chain.Key(b.Shard, t.Next), data, 0, 0)
	var c *store.ConflictError
	switch {
	case err == nil:
	case errors.As(err, &c), errors.Is(err, store.ErrUnknown):
		// The answer to an attempt that took effect may be the one that was
		// lost. The nonce tells; a guess would give the shard two owners or
		// leave an epoch without one.
		own, rerr := b.read(ctx, t.Next)
		if errors.Is(rerr, store.ErrNotFound) {
			return false, err
		}
		if rerr != nil {
			return false, rerr
		}
		if own.Nonce != e.Nonce || own.Epoch != epoch {
			return false, nil
		}
	default:
		return false, err
	}
	if err := t.Fold.Apply(t.Next, took); err != nil {
		return false, err
	}
	t.Epoch, t.Snap.Epoch = epoch, epoch
	t.Next++
	return true, nil
}
