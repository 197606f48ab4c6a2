package fold_test

import (
	"context"
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/slaterock/slaterock/internal/fake/keyval"
	"github.com/slaterock/slaterock/internal/prog/hist"
	"github.com/slaterock/slaterock/internal/prog/record"
	"github.com/slaterock/slaterock/internal/prog/state"
	"github.com/slaterock/slaterock/internal/shard/fold"
)

const many = 10_000 // more than one value of the list takes

// known returns the texts that a takeover would know.
func known(is *is.I, st *keyval.Store) (*fold.Snap, state.Fold, map[string]string) {
	s := &fold.Snap{Store: st, Epoch: 1}
	f, err := s.Load(context.Background())
	is.NoErr(err)
	m := map[string]string{}
	f.Known(func(b hist.Blob) { m[b.Digest] = b.Holders[0] })
	return s, f, m
}

// tell adds n texts, or new holders of them, as one journal entry.
func tell(is *is.I, f *state.Fold, n int, holder string) {
	f.Upto++
	for i := range n {
		b := hist.Blob{Digest: fmt.Sprintf("%064d", i), Size: 5000, Holders: []string{holder, "z"}}
		is.NoErr(f.Apply(f.Upto, record.Holders{Blob: b}))
	}
}

// The list of texts only grows by what is new, is written anew when lost
// holders have made most of it outdated, and is right all the time: what a
// takeover doesn't find in it would be dropped.
func TestTexts(t *testing.T) {
	is := is.New(t)
	st := &keyval.Store{}
	s, f, _ := known(is, st)
	save := func() {
		_, err := s.Save(context.Background(), f.Clone())
		is.NoErr(err)
		f.DropTexts(f.Upto)
		is.Equal(len(f.Texts), 0)
	}
	tell(is, &f, many, "a")
	save()
	first := s.Head.Texts
	is.True(len(first) > 1)
	tell(is, &f, 10, "b")
	save()
	is.Equal(s.Head.Texts[:len(first)-1], first[:len(first)-1]) // only the newest value was written again
	s, f, m := known(is, st)
	is.Equal(len(m), many)
	is.Equal(len(f.Texts), 0)
	is.Equal(m[fmt.Sprintf("%064d", 9)], "b")
	is.Equal(m[fmt.Sprintf("%064d", 10)], "a")
	for _, holder := range []string{"c", "d"} {
		tell(is, &f, many, holder)
		save()
	}
	long := len(s.Head.Texts)
	s, f, m = known(is, st)
	is.Equal(len(m), many)
	is.Equal(len(f.Texts), many) // to be written anew
	save()
	is.True(len(s.Head.Texts) < long)
	_, f, m = known(is, st)
	is.Equal(len(f.Texts), 0)
	is.Equal(len(m), many)
	for _, holder := range m {
		is.Equal(holder, "d")
	}
}
