package bulk

import (
	"context"
	"time"

	"github.com/slaterock/slaterock/internal/shard/blobs"
)

// step takes one message and starts what follows; the caller holds the mutex.
func (b *Bulk) step(m blobs.Message) {
	b.prepare()
	for _, e := range b.h.Step(time.Now(), m) {
		b.carry(e)
	}
}

func (b *Bulk) carry(e blobs.Effect) {
	switch e := e.(type) {
	case blobs.Copy:
		b.copy(e)
	case blobs.Kept:
		b.kept(e)
	case blobs.Inline:
		b.finish(e.Digest, end{})
	case blobs.List:
		b.call(func(ctx context.Context) { b.list(ctx, e) })
	case blobs.Drop:
		b.call(func(ctx context.Context) {
			// A drop that is lost shows in the holder's next list.
			_ = b.Peers.Drop(ctx, e.To, b.Shard, b.Epoch, e.Digests)
		})
	}
}

func (b *Bulk) copy(c blobs.Copy) {
	text := b.texts[c.Digest]
	b.call(func(ctx context.Context) {
		var err error
		if c.From == "" {
			err = b.Peers.Put(ctx, c.To, b.Shard, text)
		} else {
			err = b.Peers.Copy(ctx, c.To, c.From, b.Shard, c.Digest)
		}
		if err != nil {
			b.Tell(blobs.Failed{Digest: c.Digest, To: c.To})
			return
		}
		b.Tell(blobs.Copied{Digest: c.Digest, To: c.To})
	})
}

// kept ends the Stores that wait for the blob. Where none waits, its holders
// have changed.
func (b *Bulk) kept(k blobs.Kept) {
	ref := Ref{Digest: k.Digest, Size: k.Size, Holders: k.Holders}
	if len(b.asking[k.Digest]) > 0 {
		b.finish(k.Digest, end{ref: ref, kept: true})
		return
	}
	if b.Changed != nil {
		b.Changed(ref)
	}
}

func (b *Bulk) finish(d blobs.Digest, e end) {
	asking := b.asking[d]
	delete(b.asking, d)
	delete(b.texts, d)
	for _, a := range asking {
		if a.left {
			b.drop(e)
			continue
		}
		a.end <- e
	}
}

func (b *Bulk) list(ctx context.Context, l blobs.List) {
	page, err := b.Peers.List(ctx, l.To, b.Shard, l.After, pageSize)
	if err != nil {
		return // the machine asks again later
	}
	b.Tell(blobs.Listed{From: l.To, After: l.After, Digests: page, Last: len(page) < pageSize})
}

// call runs f beside the caller, within the time that the machine gives it.
func (b *Bulk) call(f func(ctx context.Context)) {
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
