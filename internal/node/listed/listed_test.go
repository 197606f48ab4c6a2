package listed

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/slaterock/slaterock/internal/plat/store"
)

// fake is a store with leases that lapse.
type fake struct {
	store.Shared
	mu     sync.Mutex
	down   bool
	next   store.Lease
	ends   map[store.Lease]time.Time
	values map[string]string
	holder map[string]store.Lease
}

func (f *fake) Grant(_ context.Context, ttl time.Duration) (store.Lease, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return 0, store.ErrUnavailable
	}
	f.next++
	f.ends[f.next] = time.Now().Add(ttl)
	return f.next, nil
}

func (f *fake) Renew(_ context.Context, l store.Lease) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return store.ErrUnknown
	}
	if !time.Now().Before(f.ends[l]) {
		return store.ErrLeaseExpired
	}
	f.ends[l] = time.Now().Add(TTL)
	return nil
}

func (f *fake) Set(_ context.Context, key string, data []byte, l store.Lease) (store.Rev, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return 0, store.ErrUnknown
	}
	f.values[key], f.holder[key] = string(data), l
	return 1, nil
}

func (f *fake) Revoke(_ context.Context, l store.Lease) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.ends, l)
	return nil
}

// value is what the store has under the key, empty if its lease is over.
func (f *fake) value(key string) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !time.Now().Before(f.ends[f.holder[key]]) {
		return ""
	}
	return f.values[key]
}

func (f *fake) set(do func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	do()
}

// The store goes away longer than the lease lasts, and revokes the lease of a
// daemon that lives. Others would take the daemon for dead; its key must be back
// within about two seconds of the store's return.
func TestKeyComesBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := &fake{ends: map[store.Lease]time.Time{}, values: map[string]string{}, holder: map[string]store.Lease{}}
		ctx, stop := context.WithCancel(t.Context())
		var data atomic.Value
		data.Store("one")
		ends := []bool{}
		l := &Listed{Store: f, Key: "k", Data: func() []byte { return []byte(data.Load().(string)) }, OnEnd: func(err error) { ends = append(ends, err != nil) }}
		l.Init()
		done := make(chan struct{})
		go func() { defer close(done); l.Run(ctx) }()
		time.Sleep(30 * time.Second)
		is.Equal(f.value("k"), "one") // renewed all the while

		f.set(func() { f.down = true })
		time.Sleep(9 * time.Second)
		is.Equal(f.value("k"), "")
		f.set(func() { f.down = false })
		time.Sleep(2 * time.Second)
		is.Equal(f.value("k"), "one")
		is.Equal(ends, []bool{true, false})

		f.set(func() { clear(f.ends) })
		time.Sleep(time.Second)
		is.Equal(f.value("k"), "one")

		data.Store("two")
		l.Wake()
		synctest.Wait()
		is.Equal(f.value("k"), "two")

		stop()
		<-done
		is.Equal(f.value("k"), "") // nobody waits for the lease to lapse
	})
}
