package apply

import (
	"context"
	"crypto/rand"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/slaterock/slaterock/internal/conf/chunk"
	"github.com/slaterock/slaterock/internal/conf/file"
	"github.com/slaterock/slaterock/internal/conf/head"
	"github.com/slaterock/slaterock/internal/plat/store"
)

const (
	callTimeout = 2 * time.Second // of one call to the store
	listLimit   = 4_096
)

type (
	// Request is a text to apply. Name is its file name, for messages. Base is the version that
	// the operator read, 0 if none was active, Newest for any. Floor is the active version of
	// the daemon that applies the text, 0 if it is applied without a daemon; the text gets a
	// higher version. Source is that daemon's peer address, empty without a daemon.
	Request struct {
		Name   string
		Text   []byte
		Base   uint64
		Floor  uint64
		By     string
		Source string
	}

	// Outcome describes an accepted text. Head is the newest head read, of a later version if
	// others have applied since. File is the applied text, but its Version is Head's. Unchanged
	// means that the text was active already.
	Outcome struct {
		Head      head.Head
		Unchanged bool
		File      file.File
		Chunks    []chunk.Chunk
	}

	// Prepared is a request whose text was checked and split into chunks.
	Prepared struct {
		request Request
		file    file.File
		chunks  []chunk.Chunk
	}

	// runner carries out effects.
	runner struct {
		store store.Store
	}
)

// Run checks the text and makes it active. It retries until ctx ends. The error is a
// file.Errors, *ConflictError, *ShardsError, *NotAppliedError or *UnknownError.
func Run(ctx context.Context, s store.Store, r Request) (Outcome, error) {
	p, err := Prepare(r)
	if err != nil {
		return Outcome{}, err
	}
	return p.Run(ctx, s)
}

// Prepare checks the text and splits it into chunks, without a call to the store.
func Prepare(r Request) (p Prepared, err error) {
	f, err := file.Parse(r.Name, r.Text)
	if err != nil {
		return Prepared{}, err
	}
	p = Prepared{request: r, file: f}
	for _, piece := range chunk.Split(r.Text) {
		c, err := chunk.Pack(piece)
		if err != nil {
			return Prepared{}, err
		}
		p.chunks = append(p.chunks, c)
	}
	return p, nil
}

// Chunks returns the text's chunks in order.
func (p Prepared) Chunks() []chunk.Chunk { return p.chunks }

// Run applies the text; see the function Run.
func (p Prepared) Run(ctx context.Context, s store.Store) (Outcome, error) {
	r := runner{store: s}
	f := r.run(ctx, Start{
		Base:   p.request.Base,
		Floor:  p.request.Floor,
		Digest: chunk.Digest(p.request.Text),
		Size:   len(p.request.Text),
		Chunks: p.chunks,
		Shards: p.file.System.Shards,
		By:     p.request.By,
		Source: p.request.Source,
		Nonce:  rand.Text(),
	})
	if f.Err != nil {
		return Outcome{}, f.Err
	}
	out := Outcome{Head: f.Head, Unchanged: f.Unchanged, File: p.file, Chunks: p.chunks}
	out.File.Version = f.Head.Version
	return out, nil
}

func (r runner) run(ctx context.Context, start Start) Finish {
	var a Apply
	var m Message = start
	for {
		for _, e := range a.Step(time.Now(), m) {
			if f, ok := e.(Finish); ok {
				return f
			}
			m = r.do(ctx, e)
		}
		if _, ok := m.(Wake); ok && ctx.Err() != nil {
			m = Stop{}
		}
	}
}

func (r runner) do(ctx context.Context, e Effect) Message {
	if s, ok := e.(Sleep); ok {
		return sleep(ctx, s.For)
	}
	if d, ok := e.(Delete); ok {
		r.deleteGarbage(ctx, d.Chunks)
		return nil
	}
	if ctx.Err() != nil {
		return Failed{} // nothing was sent, so the outcome is known
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	switch e := e.(type) {
	case ReadHead:
		return r.readHead(ctx)
	case ListChunks:
		return r.list(ctx)
	case Inspect:
		return r.inspect(ctx, e.Digest)
	case PutChunk:
		return r.put(ctx, head.ChunkPrefix+e.Chunk.Digest, e.Chunk.Packed, e.Rev)
	case PutHead:
		data, err := e.Head.Encode()
		if err != nil {
			return Failed{}
		}
		return r.put(ctx, head.Key, data, e.Rev)
	}
	return nil
}

func (r runner) readHead(ctx context.Context) Message {
	entry, err := r.store.Get(ctx, head.Key)
	if errors.Is(err, store.ErrNotFound) {
		return HeadRead{}
	}
	if err != nil {
		return Failed{}
	}
	h, err := head.Decode(entry.Data)
	if err != nil {
		return Failed{}
	}
	return HeadRead{Head: h, Rev: entry.Rev}
}

func (r runner) list(ctx context.Context) Message {
	keys, err := r.store.List(ctx, head.ChunkPrefix, "", listLimit)
	if err != nil {
		return Failed{}
	}
	for i, key := range keys {
		keys[i] = strings.TrimPrefix(key, head.ChunkPrefix)
	}
	return Listed{Digests: keys}
}

func (r runner) inspect(ctx context.Context, digest string) Message {
	entry, err := r.store.Get(ctx, head.ChunkPrefix+digest)
	if errors.Is(err, store.ErrNotFound) {
		return Inspected{Garbage: Garbage{Digest: digest}}
	}
	if err != nil {
		return Failed{}
	}
	return Inspected{Garbage: Garbage{Digest: digest, Rev: entry.Rev}}
}

// put writes a value and maps the result to one of four messages. An error that is not one of
// the store's own, such as a timeout, leaves the outcome unknown.
func (r runner) put(ctx context.Context, key string, data []byte, rev store.Rev) Message {
	_, err := r.store.Put(ctx, key, data, rev, 0)
	var c *store.ConflictError
	switch {
	case err == nil:
		return Stored{}
	case errors.As(err, &c):
		return Conflict{Rev: c.Rev}
	case errors.Is(err, store.ErrUnavailable):
		return Failed{}
	}
	return OutcomeUnknown{}
}

func (r runner) deleteGarbage(ctx context.Context, chunks []Garbage) {
	for _, c := range chunks {
		call, cancel := context.WithTimeout(ctx, callTimeout)
		err := r.store.Delete(call, head.ChunkPrefix+c.Digest, c.Rev)
		cancel()
		if errors.Is(err, store.ErrUnavailable) {
			return // a later apply deletes the rest
		}
	}
}

func sleep(ctx context.Context, d time.Duration) Message {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
	return Wake{}
}
