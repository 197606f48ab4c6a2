package blobio

import (
	"context"
	"time"

	"github.com/slaterock/slaterock/internal/shard/blobs"
)

// step applies one message and executes its effects; the caller holds the mutex.
func (b *BlobStore) step(m blobs.Message) {
	b.ensureInit()
	for _, e := range b.holders.Step(time.Now(), m) {
		b.execute(e)
	}
}

func (b *BlobStore) execute(e blobs.Effect) {
	switch e := e.(type) {
	case blobs.Copy:
		b.copy(e)
	case blobs.Stored:
		b.stored(e)
	case blobs.Inline:
		b.deliver(e.Digest, outcome{})
	case blobs.List:
		b.startCall(func(ctx context.Context) { b.list(ctx, e) })
	case blobs.Drop:
		b.startCall(func(ctx context.Context) {
			// If the call fails, the next audit finds the blobs again.
			_ = b.Peers.Drop(ctx, e.To, b.Shard, b.Epoch, e.Digests)
		})
	}
}

func (b *BlobStore) copy(c blobs.Copy) {
	text := b.texts[c.Digest]
	b.startCall(func(ctx context.Context) {
		var err error
		if c.From == "" {
			err = b.Peers.Put(ctx, c.To, b.Shard, text)
		} else {
			err = b.Peers.Copy(ctx, c.To, c.From, b.Shard, c.Digest)
		}
		if err != nil {
			b.Tell(blobs.CopyFailed{Digest: c.Digest, To: c.To})
			return
		}
		b.Tell(blobs.Copied{Digest: c.Digest, To: c.To})
	})
}

// stored ends the Store calls that wait for the blob. If none waits, the blob's
// holders have changed.
func (b *BlobStore) stored(s blobs.Stored) {
	ref := Ref{Digest: s.Digest, Size: s.Size, Holders: s.Holders}
	if len(b.waiters[s.Digest]) > 0 {
		b.deliver(s.Digest, outcome{ref: ref, stored: true})
		return
	}
	if b.HoldersChanged != nil {
		b.HoldersChanged(ref)
	}
}

func (b *BlobStore) deliver(d blobs.Digest, o outcome) {
	waiters := b.waiters[d]
	delete(b.waiters, d)
	delete(b.texts, d)
	for _, w := range waiters {
		if w.abandoned {
			b.releaseRef(o)
			continue
		}
		w.outcome <- o
	}
}

func (b *BlobStore) list(ctx context.Context, l blobs.List) {
	page, err := b.Peers.List(ctx, l.To, b.Shard, l.After, pageSize)
	if err != nil {
		return // the audit times out and is repeated later
	}
	b.Tell(blobs.Listed{From: l.To, After: l.After, Digests: page, Last: len(page) < pageSize})
}

// startCall runs f concurrently with the caller, limited by callTimeout.
func (b *BlobStore) startCall(f func(ctx context.Context)) {
	run := b.Go
	if run == nil {
		run = func(f func()) { go f() }
	}
	base := b.ctx
	run(func() {
		ctx, cancel := context.WithTimeout(base, callTimeout)
		defer cancel()
		f(ctx)
	})
}
