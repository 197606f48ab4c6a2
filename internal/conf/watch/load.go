package watch

import (
	"context"
	"slices"

	"github.com/cockroachdb/errors"

	"github.com/slaterock/slaterock/internal/conf/chunk"
	"github.com/slaterock/slaterock/internal/conf/file"
	"github.com/slaterock/slaterock/internal/conf/head"
)

const (
	maxAnswerBytes = 512 << 10 // bytes of chunks in one answer to a peer
	maxCachedBytes = 8 << 20   // bytes of compressed chunks above which unused ones are dropped
)

var errMissingChunks = errors.New("watch: no configuration, or chunks of its text are missing")

// load fetches the missing chunks of a head's text and parses the text.
func (k *Syncer) load(ctx context.Context, e Load) Message {
	if e.StoreFirst {
		k.fromStore(ctx, e.Head)
	}
	for _, peer := range e.Peers {
		k.fromPeer(ctx, peer, e.Head)
	}
	if !e.StoreFirst {
		k.fromStore(ctx, e.Head)
	}
	text, err := k.join(e.Head)
	if err != nil {
		k.reportError(e.Head, err)
		return LoadFailed{Head: e.Head}
	}
	f, err := file.Parse("configuration", text)
	if err != nil {
		k.reportError(e.Head, err)
		return LoadFailed{Head: e.Head, Unreadable: true}
	}
	f.Version = e.Head.Version
	k.cacheFile(e.Head, f)
	return Loaded{Head: e.Head}
}

func (k *Syncer) fromStore(ctx context.Context, h head.Head) {
	for _, d := range k.missing(h) {
		call, cancel := context.WithTimeout(ctx, callTimeout)
		entry, err := k.Store.Get(call, head.ChunkPrefix+d)
		cancel()
		if err != nil {
			return // store down, or chunk deleted after newer versions were applied
		}
		k.addVerified(chunk.Chunk{Digest: d, Packed: entry.Data})
	}
}

// fromPeer queries a peer until it returns no more of the missing chunks.
func (k *Syncer) fromPeer(ctx context.Context, peer string, h head.Head) {
	for {
		missing := k.missing(h)
		if len(missing) == 0 {
			return
		}
		call, cancel := context.WithTimeout(ctx, callTimeout)
		a, err := k.fetch(call, peer, Query{Chunks: missing})
		cancel()
		if err != nil {
			return
		}
		for _, c := range a.Chunks {
			if slices.Contains(missing, c.Digest) {
				k.addVerified(c)
			}
		}
		if len(k.missing(h)) == len(missing) {
			return
		}
	}
}

func (k *Syncer) missing(h head.Head) (digests []string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	seen := map[string]bool{}
	for _, d := range h.Chunks {
		if _, ok := k.chunks[d]; !ok && !seen[d] {
			digests = append(digests, d)
			seen[d] = true
		}
	}
	return digests
}

// addVerified caches a chunk if it matches its digest. A corrupt chunk would be passed on to
// peers.
func (k *Syncer) addVerified(c chunk.Chunk) {
	if _, err := c.Unpack(); err != nil {
		return
	}
	k.cacheChunks([]chunk.Chunk{c})
}

func (k *Syncer) join(h head.Head) (text []byte, err error) {
	defer func() { err = errors.Wrapf(err, "configuration version %d", h.Version) }()
	if h.Version == 0 || len(k.missing(h)) > 0 {
		return nil, errMissingChunks
	}
	pieces := make([][]byte, len(h.Chunks))
	for i, d := range h.Chunks {
		k.mu.Lock()
		c := chunk.Chunk{Digest: d, Packed: k.chunks[d]}
		k.mu.Unlock()
		pieces[i], err = c.Unpack()
		if err != nil {
			return nil, err
		}
	}
	return h.Join(pieces)
}

// cacheFile keeps a loaded file until its head becomes active. If the cache exceeds
// maxCachedBytes it drops the chunks that neither this head nor the active one uses.
func (k *Syncer) cacheFile(h head.Head, f file.File) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.files == nil {
		k.files = map[uint64]file.File{}
	}
	k.files[h.Version] = f
	if k.cachedBytes() <= maxCachedBytes {
		return
	}
	needed := map[string]bool{}
	for _, d := range append(append([]string{}, h.Chunks...), k.head.Chunks...) {
		needed[d] = true
	}
	for d := range k.chunks {
		if !needed[d] {
			delete(k.chunks, d)
		}
	}
}

func (k *Syncer) cachedBytes() (bytes int) {
	for _, packed := range k.chunks {
		bytes += len(packed)
	}
	return bytes
}

// cacheChunks caches chunks that were verified or are about to be applied.
func (k *Syncer) cacheChunks(chunks []chunk.Chunk) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.chunks == nil {
		k.chunks = map[string][]byte{}
	}
	for _, c := range chunks {
		k.chunks[c.Digest] = c.Packed
	}
}

func (k *Syncer) reportError(h head.Head, err error) {
	if k.OnLoadError != nil {
		k.OnLoadError(h, err)
	}
}
