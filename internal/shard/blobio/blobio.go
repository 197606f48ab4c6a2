// Package blobio stores and reads the blobs of one shard for its owner: it
// carries out the effects of blobs.Holders through Peers, which reaches the data
// folders of all daemons.
//
// Store returns a Ref for the journal, or reports that the text must be written
// to the journal itself. Read returns the text of a Ref. Membership changes, the
// references read from the journal, and references that ended are passed to Tell,
// in the order in which the owner learns them.
package blobio

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/slaterock/slaterock/internal/shard/blobs"
)

const (
	callTimeout = 30 * time.Second
	// readTimeout limits the read from one holder. One that hangs must not use
	// up the caller's time, as the other holder may have the text.
	readTimeout = 2 * time.Second
	pageSize    = 1000 // digests in one page of a holder's list
)

type (
	// Peers accesses the data folders of daemons by name, including that of
	// this daemon. Get returns blobs.ErrNotFound or a *blobs.CorruptError if the
	// holder reports that; other errors don't say whether it has the blob.
	Peers interface {
		Put(ctx context.Context, to string, shard int, data []byte) error
		// Copy makes the daemon "to" fetch the blob from the daemon "from" and
		// store it.
		Copy(ctx context.Context, to, from string, shard int, d blobs.Digest) error
		Get(ctx context.Context, from string, shard int, d blobs.Digest) ([]byte, error)
		List(ctx context.Context, from string, shard int, after blobs.Digest, limit int) ([]blobs.Digest, error)
		Drop(ctx context.Context, to string, shard int, epoch uint64, d []blobs.Digest) error
	}

	// Ref is the journal's reference to a stored text.
	Ref struct {
		Digest  blobs.Digest `json:"digest"`
		Size    int          `json:"size"`
		Holders []string     `json:"holders"`
	}

	// BlobStore stores and reads the blobs of one shard. Its exported fields
	// are set before the first call; all methods are safe for concurrent use.
	BlobStore struct {
		Peers Peers
		Shard int
		Epoch uint64
		// HoldersChanged receives a Ref whose holders have changed. It is called
		// in order with the mutex held, so it must neither block nor call the
		// BlobStore.
		HoldersChanged func(Ref)
		// Go runs f concurrently with the caller and must not block; nil starts
		// a goroutine.
		Go func(f func())

		mu      sync.Mutex
		ctx     context.Context //nolint:containedctx // given to Run; calls to peers end with it
		holders blobs.Holders
		texts   map[blobs.Digest][]byte
		waiters map[blobs.Digest][]*waiter
	}

	// waiter is a Store call that waits for its outcome.
	waiter struct {
		outcome   chan outcome
		abandoned bool
	}

	outcome struct {
		ref    Ref
		stored bool
	}
)

// ErrUnreadable reports a text that can't be read from any holder at present.
var ErrUnreadable = errors.New("bulk: no holder can be read")

// Run passes ticks to the state machine until ctx ends, which also cancels calls
// to peers. It must be started before the first Store: calls that were started
// without it end only at their own timeouts.
func (b *BlobStore) Run(ctx context.Context) {
	b.mu.Lock()
	b.ensureInit()
	b.ctx = ctx
	b.mu.Unlock()
	t := time.NewTicker(blobs.Interval)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			b.Tell(blobs.Tick{})
		case <-ctx.Done():
			return
		}
	}
}

// Tell passes a message to the state machine.
func (b *BlobStore) Tell(m blobs.Message) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.step(m)
}

// Store stores the text in two folders. stored is false if the text must be
// written to the journal itself. It is also false if ctx ends first; a reference
// that the state machine counts later is then released.
func (b *BlobStore) Store(ctx context.Context, text []byte) (ref Ref, stored bool) {
	w := &waiter{outcome: make(chan outcome, 1)}
	b.enqueue(w, text)
	select {
	case o := <-w.outcome:
		return o.ref, o.stored
	case <-ctx.Done():
		b.abandon(w)
		return Ref{}, false
	}
}

// Read returns the text, trying one holder after the other. A holder without an
// intact copy is no longer read from; a new copy is made, perhaps at the same
// holder.
func (b *BlobStore) Read(ctx context.Context, d blobs.Digest) (text []byte, err error) {
	defer func() { err = errors.Wrap(err, "read bulk text") }()
	var tried []string
	for ctx.Err() == nil {
		from, ok := b.locate(d, tried)
		if !ok {
			return nil, ErrUnreadable
		}
		text, err := b.get(ctx, from, d)
		if err == nil && blobs.Sum(text) == d {
			return text, nil
		}
		if holderLacksCopy(err) {
			b.Tell(blobs.CopyMissing{Digest: d, From: from})
		}
		tried = append(tried, from)
	}
	return nil, ctx.Err()
}

func (b *BlobStore) get(ctx context.Context, from string, d blobs.Digest) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	return b.Peers.Get(ctx, from, b.Shard, d)
}

func (b *BlobStore) locate(d blobs.Digest, tried []string) (from string, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	f, ok := b.holders.Step(time.Now(), blobs.Read{Digest: d, Tried: tried})[0].(blobs.Fetch)
	return f.From, ok
}

func (b *BlobStore) enqueue(w *waiter, text []byte) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ensureInit()
	d := blobs.Sum(text)
	b.texts[d] = text
	b.waiters[d] = append(b.waiters[d], w)
	b.step(blobs.Store{Digest: d, Size: len(text)})
}

// abandon ends the wait of a Store call. Its reference, whether counted already
// or later, must be released, or the blob would never be dropped.
func (b *BlobStore) abandon(w *waiter) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w.abandoned = true
	select {
	case o := <-w.outcome:
		b.releaseRef(o)
	default:
	}
}

func (b *BlobStore) releaseRef(o outcome) {
	if o.stored {
		b.step(blobs.Release{Digest: o.ref.Digest})
	}
}

func (b *BlobStore) ensureInit() {
	if b.ctx == nil {
		b.texts = map[blobs.Digest][]byte{}
		b.waiters = map[blobs.Digest][]*waiter{}
		b.ctx = context.Background()
	}
}

// holderLacksCopy reports whether a Get that returned no valid text shows that
// the holder has no intact copy. A nil err means text with a wrong digest. Other
// errors, such as a timeout, don't show whether the holder has one.
func holderLacksCopy(err error) bool {
	var corrupt *blobs.CorruptError
	return err == nil || errors.Is(err, blobs.ErrNotFound) || errors.As(err, &corrupt)
}
