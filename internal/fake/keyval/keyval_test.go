package keyval

import (
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/slaterock/slaterock/internal/plat/store"
)

// The contract of store.Store is tested in package kvhttp; these tests cover what
// only the fake has.

// With a manual clock no timer ends the watch of a leased key: Expire must end it.
func TestExpireLeasesWithManualClock(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		now := time.Time{}
		s := Store{Now: func() time.Time { return now }}
		l, err := s.Grant(t.Context(), time.Second)
		is.NoErr(err)
		r, err := s.Put(t.Context(), "k", nil, 0, l)
		is.NoErr(err)
		end := make(chan error)
		go func() {
			_, err := s.Watch(t.Context(), "k", r)
			end <- err
		}()
		synctest.Wait()
		now = now.Add(time.Second)
		s.Expire()
		is.True(errors.Is(<-end, store.ErrNotFound))
	})
}

// A fault of one client's view must not affect another client.
func TestFaultsAffectOneClient(t *testing.T) {
	is := is.New(t)
	var s Store
	a, b := s.Client("a"), s.Client("b")
	a.ScriptFaults(Writes, map[int]Fault{2: Unavailable})
	_, err := a.Put(t.Context(), "1", nil, 0, 0)
	is.NoErr(err)
	_, err = a.Get(t.Context(), "1")
	is.NoErr(err)
	_, err = a.Put(t.Context(), "2", nil, 0, 0)
	is.True(errors.Is(err, store.ErrUnavailable))
	_, err = b.Put(t.Context(), "2", nil, 0, 0)
	is.NoErr(err)
	_, err = a.Put(t.Context(), "3", nil, 0, 0)
	is.NoErr(err)
	is.True(s.Client("a") == a)
}
