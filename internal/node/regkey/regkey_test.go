package regkey

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/slaterock/slaterock/internal/plat/store"
)

// fakeStore is a store of one key that counts writes and may be unavailable.
type fakeStore struct {
	store.Shared
	mu     sync.Mutex
	down   bool
	writes int
	value  string
}

func (f *fakeStore) Set(_ context.Context, _ string, data []byte, _ store.Lease) (store.Rev, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.writes++
	if f.down {
		return 0, store.ErrUnavailable
	}
	f.value = string(data)
	return 1, nil
}

func (f *fakeStore) Remove(context.Context, string) error {
	f.set(func() { f.value = "" })
	return nil
}

func (f *fakeStore) set(do func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	do()
}

func (f *fakeStore) holds() (value string) {
	f.set(func() { value = f.value })
	return value
}

// Hundreds of daemons restart at once after a power loss, and the store still holds their
// keys. If each wrote its key again, these writes would be more load than the store has in a
// quarter of an hour. A key that another daemon removed must be written again soon, or the
// directory would not name a healthy daemon.
func TestKeyIsWrittenOnceOnly(t *testing.T) {
	cases := map[string]struct {
		value  string // at the start
		away   bool   // whether the store is unavailable for the first ten seconds
		writes int    // least number expected
		most   int    // largest number expected
	}{
		"first start":                     {"", false, 1, 1},
		"start again":                     {"here", false, 0, 0},
		"start again at another address":  {"there", false, 1, 1},
		"first start, the store is away":  {"", true, 2, 20},
		"start again, the store is away ": {"here", true, 0, 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := &fakeStore{value: c.value, down: c.away}
				ctx, stop := context.WithCancel(t.Context())
				p := &Registration{Store: f, Key: "k", Data: func() []byte { return []byte("here") }, UpToDate: func() bool { return f.holds() == "here" }}
				done := make(chan struct{})
				go func() { defer close(done); p.Run(ctx) }()
				time.Sleep(10 * time.Second)
				f.set(func() { f.down = false })
				time.Sleep(10 * time.Second)
				is.Equal(f.holds(), "here")
				is.True(f.writes >= c.writes && f.writes <= c.most)

				f.set(func() { f.value = "" })
				time.Sleep(4 * time.Second)
				is.Equal(f.holds(), "here")
				stop()
				<-done
				is.NoErr(p.Remove(context.WithoutCancel(ctx)))
				is.Equal(f.holds(), "")
			})
		})
	}
}
