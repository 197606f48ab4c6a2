package server

import (
	"slices"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/slaterock/slaterock/internal/conf/chunk"
	"github.com/slaterock/slaterock/internal/conf/head"
	"github.com/slaterock/slaterock/internal/conf/watch"
)

// chunkHolder returns one chunk per answer, as a daemon does for a large text.
type chunkHolder struct {
	head   head.Head
	chunks []chunk.Chunk
}

func (h chunkHolder) answer(q watch.Query) watch.Answer {
	a := watch.Answer{Head: h.head}
	for _, c := range h.chunks {
		if slices.Contains(q.Chunks, c.Digest) && len(a.Chunks) == 0 {
			a.Chunks = append(a.Chunks, c)
		}
	}
	return a
}

// packChunks packs each piece as a chunk of a stored configuration.
func packChunks(t *testing.T, pieces ...string) chunkHolder {
	t.Helper()
	h := chunkHolder{head: head.Head{Version: 7}}
	for _, p := range pieces {
		c, err := chunk.Pack([]byte(p))
		is.New(t).NoErr(err)
		h.head.Chunks = append(h.head.Chunks, c.Digest)
		h.chunks = append(h.chunks, c)
	}
	return h
}

// An operator reads the text in force, edits it and applies the result. If a chunk
// were missing or repeated in the text, the next configuration would have the same
// fault.
func TestAssembleText(t *testing.T) {
	whole := packChunks(t, "[system]\n", "[model.a]\n", "[system]\n", "[model.b]\n")
	incomplete := whole
	incomplete.chunks = whole.chunks[:3]
	damaged := packChunks(t, "[system]\n")
	damaged.chunks[0].Packed = []byte("not packed")
	tests := map[string]struct {
		from    chunkHolder
		text    string
		version uint64
	}{
		"several pieces":  {whole, "[system]\n[model.a]\n[system]\n[model.b]\n", 7},
		"one is gone":     {incomplete, "", 0},
		"one is damaged":  {damaged, "", 0},
		"none in force":   {chunkHolder{}, "", 0},
		"one large piece": {packChunks(t, strings.Repeat("# x\n", 1000)), strings.Repeat("# x\n", 1000), 7},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			text, version := AssembleText(tt.from.answer)
			is.Equal(string(text), tt.text)
			is.Equal(version, tt.version)
		})
	}
}
