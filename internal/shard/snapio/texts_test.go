package snapio_test

import (
	"context"
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/slaterock/slaterock/internal/fake/keyval"
	"github.com/slaterock/slaterock/internal/prog/hist"
	"github.com/slaterock/slaterock/internal/prog/record"
	"github.com/slaterock/slaterock/internal/prog/state"
	"github.com/slaterock/slaterock/internal/shard/snapio"
)

const textCount = 10_000 // more than fit in one value of the list

// load loads the snapshot as a takeover does. The map has each text's first holder
// by digest.
func load(is *is.I, st *keyval.Store) (*snapio.Snap, state.Fold, map[string]string) {
	s := &snapio.Snap{Store: st, Epoch: 1}
	f, err := s.Load(context.Background())
	is.NoErr(err)
	m := map[string]string{}
	f.Known(func(b hist.Blob) { m[b.Digest] = b.Holders[0] })
	return s, f, m
}

// addTexts adds n texts, or new holders of them, as one journal entry.
func addTexts(is *is.I, f *state.Fold, n int, holder string) {
	f.Upto++
	for i := range n {
		b := hist.Blob{Digest: fmt.Sprintf("%064d", i), Size: 5000, Holders: []string{holder, "z"}}
		is.NoErr(f.Apply(f.Upto, record.Holders{Blob: b}))
	}
}

// A snapshot rewrites only the newest value of the list of text locations, or all of it
// when most of it is outdated. Each load must return every text with its newest
// holders, because data folders drop a text that is missing after a takeover.
func TestTextList(t *testing.T) {
	is := is.New(t)
	st := &keyval.Store{}
	s, f, _ := load(is, st)
	save := func() {
		_, err := s.Save(context.Background(), f.Clone())
		is.NoErr(err)
		f.DropTexts(f.Upto)
		is.Equal(len(f.Texts), 0)
	}
	addTexts(is, &f, textCount, "a")
	save()
	first := s.Head.Texts
	is.True(len(first) > 1)
	addTexts(is, &f, 10, "b")
	save()
	is.Equal(s.Head.Texts[:len(first)-1], first[:len(first)-1]) // only the newest value was rewritten
	s, f, m := load(is, st)
	is.Equal(len(m), textCount)
	is.Equal(len(f.Texts), 0)
	is.Equal(m[fmt.Sprintf("%064d", 9)], "b")
	is.Equal(m[fmt.Sprintf("%064d", 10)], "a")
	for _, holder := range []string{"c", "d"} {
		addTexts(is, &f, textCount, holder)
		save()
	}
	lengthBefore := len(s.Head.Texts)
	s, f, m = load(is, st)
	is.Equal(len(m), textCount)
	is.Equal(len(f.Texts), textCount) // the next Save writes the list anew
	save()
	is.True(len(s.Head.Texts) < lengthBefore)
	_, f, m = load(is, st)
	is.Equal(len(f.Texts), 0)
	is.Equal(len(m), textCount)
	for _, holder := range m {
		is.Equal(holder, "d")
	}
}
