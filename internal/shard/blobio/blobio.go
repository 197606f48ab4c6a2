// Package bulk runs the blobs of one shard in its owner: it carries out what
// blobs.Holders wants, over whatever reaches the folders of other daemons.
//
// Store returns a Ref for the journal, or tells that the text must go into the
// journal itself. Read brings a Ref's text back. Members, references and their
// ends are told with Tell, in the order in which the owner learns them.
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
	// readTimeout is how long one holder may take to answer a reader. One that
	// hangs must not use up the reader's time, as the other may have the text.
	readTimeout = 2 * time.Second
	pageSize    = 1000 // digests of one page of a holder's list
)

type (
	// Peers reaches the folders of daemons, which it knows by name, its own
	// one too. Get returns blobs.ErrNotFound or a *blobs.CorruptError where
	// the holder says so; other errors tell nothing about the blob.
	Peers interface {
		Put(ctx context.Context, to string, shard int, data []byte) error
		// Copy has the daemon to fetch the blob from another and store it.
		Copy(ctx context.Context, to, from string, shard int, d blobs.Digest) error
		Get(ctx context.Context, from string, shard int, d blobs.Digest) ([]byte, error)
		List(ctx context.Context, from string, shard int, after blobs.Digest, limit int) ([]blobs.Digest, error)
		Drop(ctx context.Context, to string, shard int, epoch uint64, d []blobs.Digest) error
	}

	// Ref is what the journal keeps of a text.
	Ref struct {
		Digest  blobs.Digest `json:"digest"`
		Size    int          `json:"size"`
		Holders []string     `json:"holders"`
	}

	// Bulk is the shell of one shard's blobs.
	BlobStore struct {
		Peers Peers
		Shard int
		Epoch uint64
		// Changed takes a Ref whose holders are others now. It is called in
		// order and must neither block nor call Bulk.
		HoldersChanged func(Ref)
		// Go runs f beside the caller and must not block; nil starts a
		// goroutine.
		Go func(f func())

		mu      sync.Mutex
		ctx     context.Context //nolint:containedctx // Run's, for calls that Tell starts
		placer  blobs.Holders
		texts   map[blobs.Digest][]byte
		waiters map[blobs.Digest][]*waiter
	}

	// asker waits for the end of a Store.
	waiter struct {
		outcome   chan outcome
		abandoned bool
	}

	outcome struct {
		ref    Ref
		stored bool
	}
)

// ErrUnreadable reports a text that no holder has now.
var ErrUnreadable = errors.New("bulk: no holder can be read")

// Run lets time pass for the machine until ctx ends, which also ends the calls
// under way. It is started before the first Store: calls that began without it
// end only with their own limits.
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

// Tell passes a message on to the machine.
func (b *BlobStore) Tell(m blobs.Message) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.step(m)
}

// Store keeps the text in two folders. Kept is false if it must go into the
// journal itself. Where ctx ends first it is not kept, and a place that is
// found later is given up again.
func (b *BlobStore) Store(ctx context.Context, text []byte) (ref Ref, stored bool) {
	a := &waiter{outcome: make(chan outcome, 1)}
	b.enqueue(a, text)
	select {
	case e := <-a.outcome:
		return e.ref, e.stored
	case <-ctx.Done():
		b.abandon(a)
		return Ref{}, false
	}
}

// Read brings the text, from one holder after the other. A holder that does not
// have it, or has it spoilt, gets no further reader, and a copy is made
// elsewhere.
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
		if isMissing(err) {
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
	f, ok := b.placer.Step(time.Now(), blobs.Read{Digest: d, Tried: tried})[0].(blobs.Fetch)
	return f.From, ok
}

func (b *BlobStore) enqueue(a *waiter, text []byte) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ensureInit()
	d := blobs.Sum(text)
	b.texts[d] = text
	b.waiters[d] = append(b.waiters[d], a)
	b.step(blobs.Store{Digest: d, Size: len(text)})
}

// leave gives up waiting. Its reference, if there is one by now or later, must
// end, or the blob would be kept for nobody and for ever.
func (b *BlobStore) abandon(a *waiter) {
	b.mu.Lock()
	defer b.mu.Unlock()
	a.abandoned = true
	select {
	case e := <-a.outcome:
		b.releaseRef(e)
	default:
	}
}

func (b *BlobStore) releaseRef(e outcome) {
	if e.stored {
		b.step(blobs.Release{Digest: e.ref.Digest})
	}
}

func (b *BlobStore) ensureInit() {
	if b.ctx == nil {
		b.texts = map[blobs.Digest][]byte{}
		b.waiters = map[blobs.Digest][]*waiter{}
		b.ctx = context.Background()
	}
}

// gone tells an answer that the blob is not there from no answer, and from none
// at all: a wrong text counts as the former.
func isMissing(err error) bool {
	var corrupt *blobs.CorruptError
	return err == nil || errors.Is(err, blobs.ErrNotFound) || errors.As(err, &corrupt)
}
