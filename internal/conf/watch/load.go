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
func (s *Syncer) load(ctx context.Context, e Load) Message {
	if e.StoreFirst {
		s.fromStore(ctx, e.Head)
	}
	for _, peer := range e.Peers {
		s.fromPeer(ctx, peer, e.Head)
	}
	if !e.StoreFirst {
		s.fromStore(ctx, e.Head)
	}
	text, err := s.join(e.Head)
	if err != nil {
		s.reportError(e.Head, err)
		return LoadFailed{Head: e.Head}
	}
	f, err := file.Parse("configuration", text)
	if err != nil {
		s.reportError(e.Head, err)
		return LoadFailed{Head: e.Head, Unreadable: true}
	}
	f.Version = e.Head.Version
	s.cacheFile(e.Head, f)
	return Loaded{Head: e.Head}
}

func (s *Syncer) fromStore(ctx context.Context, h head.Head) {
	for _, d := range s.missing(h) {
		call, cancel := context.WithTimeout(ctx, callTimeout)
		entry, err := s.Store.Get(call, head.ChunkPrefix+d)
		cancel()
		if err != nil {
			return // store down, or chunk deleted after newer versions were applied
		}
		s.addVerified(chunk.Chunk{Digest: d, Packed: entry.Data})
	}
}

// fromPeer queries a peer until it returns no more of the missing chunks.
func (s *Syncer) fromPeer(ctx context.Context, peer string, h head.Head) {
	for {
		missing := s.missing(h)
		if len(missing) == 0 {
			return
		}
		call, cancel := context.WithTimeout(ctx, callTimeout)
		a, err := s.fetch(call, peer, Query{Chunks: missing})
		cancel()
		if err != nil {
			return
		}
		for _, c := range a.Chunks {
			if slices.Contains(missing, c.Digest) {
				s.addVerified(c)
			}
		}
		if len(s.missing(h)) == len(missing) {
			return
		}
	}
}

func (s *Syncer) missing(h head.Head) (digests []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	seen := map[string]bool{}
	for _, d := range h.Chunks {
		if _, ok := s.chunks[d]; !ok && !seen[d] {
			digests = append(digests, d)
			seen[d] = true
		}
	}
	return digests
}

// addVerified caches a chunk if it matches its digest. A corrupt chunk would be passed on to
// peers.
func (s *Syncer) addVerified(c chunk.Chunk) {
	if _, err := c.Unpack(); err != nil {
		return
	}
	s.cacheChunks([]chunk.Chunk{c})
}

func (s *Syncer) join(h head.Head) (text []byte, err error) {
	defer func() { err = errors.Wrapf(err, "configuration version %d", h.Version) }()
	if h.Version == 0 || len(s.missing(h)) > 0 {
		return nil, errMissingChunks
	}
	pieces := make([][]byte, len(h.Chunks))
	for i, d := range h.Chunks {
		s.mu.Lock()
		c := chunk.Chunk{Digest: d, Packed: s.chunks[d]}
		s.mu.Unlock()
		pieces[i], err = c.Unpack()
		if err != nil {
			return nil, err
		}
	}
	return h.Join(pieces)
}

// cacheFile keeps a loaded file until its head becomes active. If the cache exceeds
// maxCachedBytes it drops the chunks that neither this head nor the active one uses.
func (s *Syncer) cacheFile(h head.Head, f file.File) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.files == nil {
		s.files = map[uint64]file.File{}
	}
	s.files[h.Version] = f
	if s.cachedBytes() <= maxCachedBytes {
		return
	}
	needed := map[string]bool{}
	for _, d := range append(append([]string{}, h.Chunks...), s.head.Chunks...) {
		needed[d] = true
	}
	for d := range s.chunks {
		if !needed[d] {
			delete(s.chunks, d)
		}
	}
}

func (s *Syncer) cachedBytes() (bytes int) {
	for _, packed := range s.chunks {
		bytes += len(packed)
	}
	return bytes
}

// cacheChunks caches chunks that were verified or are about to be applied.
func (s *Syncer) cacheChunks(chunks []chunk.Chunk) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.chunks == nil {
		s.chunks = map[string][]byte{}
	}
	for _, c := range chunks {
		s.chunks[c.Digest] = c.Packed
	}
}

func (s *Syncer) reportError(h head.Head, err error) {
	if s.OnLoadError != nil {
		s.OnLoadError(h, err)
	}
}
