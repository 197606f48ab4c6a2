package leased

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

// fakeStore is a store in memory with leases that lapse.
type fakeStore struct {
	store.Shared
	mu      sync.Mutex
	down    bool
	next    store.Lease
	ends    map[store.Lease]time.Time
	values  map[string]string
	leaseOf map[string]store.Lease
}

func (f *fakeStore) Grant(_ context.Context, ttl time.Duration) (store.Lease, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return 0, store.ErrUnavailable
	}
	f.next++
	f.ends[f.next] = time.Now().Add(ttl)
	return f.next, nil
}

func (f *fakeStore) Renew(_ context.Context, l store.Lease) error {
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

func (f *fakeStore) Set(_ context.Context, key string, data []byte, l store.Lease) (store.Rev, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return 0, store.ErrUnknown
	}
	f.values[key], f.leaseOf[key] = string(data), l
	return 1, nil
}

func (f *fakeStore) Revoke(_ context.Context, l store.Lease) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.ends, l)
	return nil
}

// value returns the key's value, empty if its lease has lapsed.
func (f *fakeStore) value(key string) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !time.Now().Before(f.ends[f.leaseOf[key]]) {
		return ""
	}
	return f.values[key]
}

func (f *fakeStore) set(do func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	do()
}

// The store is unavailable for longer than the lease lasts, and later loses the lease of a live
// daemon. Other daemons would consider this one dead; its key must be written again within
// about two seconds once the store is available.
func TestKeyIsRewritten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := &fakeStore{ends: map[store.Lease]time.Time{}, values: map[string]string{}, leaseOf: map[string]store.Lease{}}
		ctx, stop := context.WithCancel(t.Context())
		var data atomic.Value
		data.Store("one")
		ends := []bool{}
		l := &Registration{Store: f, Key: "k", Data: func() []byte { return []byte(data.Load().(string)) }, OnStatus: func(err error) { ends = append(ends, err != nil) }}
		l.Init()
		done := make(chan struct{})
		go func() { defer close(done); l.Run(ctx) }()
		time.Sleep(30 * time.Second)
		is.Equal(f.value("k"), "one") // renewed all the time

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
		is.Equal(f.value("k"), "") // revoked at once, not lapsed later
	})
}
