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

// holder gives out one chunk at a time, as a daemon does of a large text.
type holder struct {
	head   head.Head
	chunks []chunk.Chunk
}

func (h holder) answer(q watch.Query) watch.Answer {
	a := watch.Answer{Head: h.head}
	for _, c := range h.chunks {
		if slices.Contains(q.Chunks, c.Digest) && len(a.Chunks) == 0 {
			a.Chunks = append(a.Chunks, c)
		}
	}
	return a
}

// hold cuts a text of repeated pieces as a configuration is stored.
func hold(t *testing.T, pieces ...string) holder {
	t.Helper()
	h := holder{head: head.Head{Version: 7}}
	for _, p := range pieces {
		c, err := chunk.Pack([]byte(p))
		is.New(t).NoErr(err)
		h.head.Chunks = append(h.head.Chunks, c.Digest)
		h.chunks = append(h.chunks, c)
	}
	return h
}

// An operator reads the text in force to make a change. A text with a piece
// missing, or twice, would become the next configuration.
func TestTextOf(t *testing.T) {
	whole := hold(t, "[system]\n", "[model.a]\n", "[system]\n", "[model.b]\n")
	lacking := whole
	lacking.chunks = whole.chunks[:3]
	damaged := hold(t, "[system]\n")
	damaged.chunks[0].Packed = []byte("not packed")
	tests := map[string]struct {
		from    holder
		text    string
		version uint64
	}{
		"several pieces":  {whole, "[system]\n[model.a]\n[system]\n[model.b]\n", 7},
		"one is gone":     {lacking, "", 0},
		"one is damaged":  {damaged, "", 0},
		"none in force":   {holder{}, "", 0},
		"one large piece": {hold(t, strings.Repeat("# x\n", 1000)), strings.Repeat("# x\n", 1000), 7},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			text, version := TextOf(tt.from.answer)
			is.Equal(string(text), tt.text)
			is.Equal(version, tt.version)
		})
	}
}
