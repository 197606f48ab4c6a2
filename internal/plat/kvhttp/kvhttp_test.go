package kvhttp_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/slaterock/slaterock/internal/fake/keyval"
	"github.com/slaterock/slaterock/internal/fake/memnet"
	"github.com/slaterock/slaterock/internal/fake/server"
	"github.com/slaterock/slaterock/internal/plat/httpc"
	"github.com/slaterock/slaterock/internal/plat/kvhttp"
	"github.com/slaterock/slaterock/internal/plat/store"
)

const address = "store"

type (
	// fixture is a service, in memory or over the network, and one client of it.
	fixture struct {
		*is.I
		store.Store
		ctx    context.Context //nolint:containedctx // the test's
		view   *keyval.View
		fake   *keyval.Store
		server *server.HTTP // nil if in memory
	}
)

// inMemory and overNetwork run a test in a synctest bubble, where time advances
// only when all goroutines are blocked.
func inMemory(t *testing.T, run func(b fixture)) {
	synctest.Test(t, func(t *testing.T) {
		var s keyval.Store
		v := s.Client("a")
		run(fixture{I: is.New(t), Store: v, ctx: t.Context(), view: v, fake: &s})
	})
}

func overNetwork(t *testing.T, run func(b fixture)) {
	synctest.Test(t, func(t *testing.T) {
		var s keyval.Store
		var n memnet.Net
		h := keyval.Serve(n.Listen(address), &s)
		defer h.Close()
		c := &kvhttp.Client{Endpoint: httpc.Endpoint{Address: address, Connect: n.Connect}, Name: "a"}
		run(fixture{I: is.New(t), Store: c, ctx: t.Context(), view: s.Client("a"), fake: &s, server: h})
	})
}

func (b fixture) put(key, data string, rev store.Rev) store.Rev {
	r, err := b.Put(b.ctx, key, []byte(data), rev, 0)
	b.NoErr(err)
	return r
}

func (b fixture) isConflict(err error, rev store.Rev) {
	var c *store.ConflictError
	b.True(errors.As(err, &c))
	b.Equal(c.Rev, rev)
}

func (b fixture) putLeased(key string, ttl time.Duration) store.Lease {
	l, err := b.Grant(b.ctx, ttl)
	b.NoErr(err)
	_, err = b.Put(b.ctx, key, []byte("x"), 0, l)
	b.NoErr(err)
	return l
}

// sleep advances the bubble's time.
func sleep(d time.Duration) { <-time.After(d) }

// watchAsync starts a watch and returns when it is blocked. The channel gets the
// watch's error.
func (b fixture) watchAsync(key string, rev store.Rev) <-chan error {
	end := make(chan error, 1)
	go func() {
		e, err := b.Watch(b.ctx, key, rev)
		if err == nil && e.Rev <= rev {
			err = errors.New("watch returned an old revision")
		}
		end <- err
	}()
	synctest.Wait()
	return end
}

var contract = map[string]func(b fixture){
	"create only if absent": func(b fixture) {
		r := b.put("k", "1", 0)
		_, err := b.Put(b.ctx, "k", []byte("2"), 0, 0)
		b.isConflict(err, r)
		e, err := b.Get(b.ctx, "k")
		b.NoErr(err)
		b.Equal(e, store.Entry{Key: "k", Data: []byte("1"), Rev: r})
	},
	"replace only the revision read": func(b fixture) {
		r1 := b.put("k", "1", 0)
		r2 := b.put("k", "2", r1)
		_, err := b.Put(b.ctx, "k", []byte("3"), r1, 0)
		b.isConflict(err, r2)
		b.isConflict(b.Delete(b.ctx, "k", r1), r2)
	},
	"revisions rise over a deletion": func(b fixture) {
		r1 := b.put("k", "1", 0)
		b.NoErr(b.Delete(b.ctx, "k", r1))
		_, err := b.Get(b.ctx, "k")
		b.True(errors.Is(err, store.ErrNotFound))
		b.True(errors.Is(b.Delete(b.ctx, "k", r1), store.ErrNotFound))
		b.True(b.put("k", "2", 0) > r1)
	},
	"list in order": func(b fixture) {
		for _, k := range []string{"a/2", "a/1", "b/1", "a/3"} {
			b.put(k, "x", 0)
		}
		keys, err := b.List(b.ctx, "a/", "a/1", 1)
		b.NoErr(err)
		b.Equal(keys, []string{"a/2"})
	},
	"value too large": func(b fixture) {
		_, err := b.Put(b.ctx, "k", make([]byte, store.MaxValue+1), 0, 0)
		b.True(errors.Is(err, store.ErrTooLarge))
		_, err = b.Put(b.ctx, "k", make([]byte, store.MaxValue), 0, 0)
		b.NoErr(err)
	},
	"a lease lapses with its keys": func(b fixture) {
		l := b.putLeased("k", 3*time.Second)
		sleep(2 * time.Second)
		b.NoErr(b.Renew(b.ctx, l))
		sleep(2 * time.Second)
		_, err := b.Get(b.ctx, "k")
		b.NoErr(err)
		sleep(time.Second)
		_, err = b.Get(b.ctx, "k")
		b.True(errors.Is(err, store.ErrNotFound))
		b.True(errors.Is(b.Renew(b.ctx, l), store.ErrLeaseExpired))
		_, err = b.Put(b.ctx, "k", nil, 0, l)
		b.True(errors.Is(err, store.ErrLeaseExpired))
	},
	"a lease is revoked with its keys": func(b fixture) {
		l := b.putLeased("k", time.Hour)
		b.NoErr(b.Revoke(b.ctx, l))
		_, err := b.Get(b.ctx, "k")
		b.True(errors.Is(err, store.ErrNotFound))
	},
	"watch returns what is newer": func(b fixture) {
		r := b.put("k", "1", 0)
		e, err := b.Watch(b.ctx, "k", 0)
		b.NoErr(err)
		b.Equal(e.Rev, r)
	},
	"watch wakes on a change": func(b fixture) {
		r := b.put("k", "1", 0)
		end := b.watchAsync("k", r)
		b.put("k", "2", r)
		b.NoErr(<-end)
	},
	"watch wakes on creation": func(b fixture) {
		end := b.watchAsync("k", 0)
		b.put("k", "1", 0)
		b.NoErr(<-end)
	},
	"watch wakes on deletion": func(b fixture) {
		r := b.put("k", "1", 0)
		end := b.watchAsync("k", r)
		b.NoErr(b.Delete(b.ctx, "k", r))
		b.True(errors.Is(<-end, store.ErrNotFound))
	},
	"watch of what is deleted already": func(b fixture) {
		r := b.put("k", "1", 0)
		b.NoErr(b.Delete(b.ctx, "k", r))
		_, err := b.Watch(b.ctx, "k", r)
		b.True(errors.Is(err, store.ErrNotFound))
	},
	"watch wakes on a lapse": func(b fixture) {
		b.putLeased("k", 40*time.Second)
		e, err := b.Get(b.ctx, "k")
		b.NoErr(err)
		start := time.Now()
		b.True(errors.Is(<-b.watchAsync("k", e.Rev), store.ErrNotFound))
		b.Equal(time.Since(start), 40*time.Second)
	},
	"watch ends with its context": func(b fixture) {
		ctx, cancel := context.WithTimeout(b.ctx, time.Minute)
		defer cancel()
		_, err := b.Watch(ctx, "k", 0)
		b.True(errors.Is(err, context.DeadlineExceeded))
	},
}

var failures = map[string]func(b fixture){
	// The service executes a write and its response is lost. The writer must get
	// neither success nor failure; reading back returns its own value.
	"acknowledgement lost": func(b fixture) {
		b.view.ScriptFaults(keyval.Writes, map[int]keyval.Fault{1: keyval.LoseAck})
		_, err := b.Put(b.ctx, "k", []byte("1"), 0, 0)
		b.True(errors.Is(err, store.ErrUnknown))
		e, err := b.Get(b.ctx, "k")
		b.NoErr(err)
		b.Equal(string(e.Data), "1")
	},
	// The write itself is lost. The writer can't distinguish this from a lost
	// acknowledgement except by reading back.
	"write lost": func(b fixture) {
		b.view.ScriptFaults(keyval.Writes, map[int]keyval.Fault{1: keyval.LoseWrite})
		_, err := b.Put(b.ctx, "k", []byte("1"), 0, 0)
		b.True(errors.Is(err, store.ErrUnknown))
		_, err = b.Get(b.ctx, "k")
		b.True(errors.Is(err, store.ErrNotFound))
	},
	// The acknowledgement of a renewal is lost: the lease is renewed, but its
	// holder can't know.
	"renewal's acknowledgement lost": func(b fixture) {
		l := b.putLeased("k", 3*time.Second)
		sleep(2 * time.Second)
		b.view.ScriptFaults(keyval.Writes, map[int]keyval.Fault{1: keyval.LoseAck})
		b.True(errors.Is(b.Renew(b.ctx, l), store.ErrUnknown))
		sleep(2 * time.Second)
		b.NoErr(b.Renew(b.ctx, l))
	},
	// The service is down. Every call fails at once with ErrUnavailable, blocked
	// watches end, and the data is unchanged after the outage.
	"outage": func(b fixture) {
		r := b.put("k", "1", 0)
		end := b.watchAsync("k", r)
		b.view.SetFault(keyval.Unavailable)
		b.True(errors.Is(<-end, store.ErrUnavailable))
		_, err := b.Put(b.ctx, "k", []byte("2"), r, 0)
		b.True(errors.Is(err, store.ErrUnavailable))
		_, err = b.Get(b.ctx, "k")
		b.True(errors.Is(err, store.ErrUnavailable))
		_, err = b.Watch(b.ctx, "k", r)
		b.True(errors.Is(err, store.ErrUnavailable))
		b.view.SetFault(keyval.None)
		e, err := b.Get(b.ctx, "k")
		b.NoErr(err)
		b.Equal(e.Rev, r)
	},
	// The service is slower than the caller's deadline. The call ends at the
	// deadline, and a write's outcome is unknown.
	"slower than the deadline": func(b fixture) {
		b.view.SetDelay(time.Minute)
		ctx, cancel := context.WithTimeout(b.ctx, 500*time.Millisecond)
		defer cancel()
		start := time.Now()
		_, err := b.Put(ctx, "k", []byte("1"), 0, 0)
		b.True(errors.Is(err, store.ErrUnknown))
		b.True(errors.Is(err, context.DeadlineExceeded))
		b.Equal(time.Since(start), 500*time.Millisecond)
		_, err = b.Get(ctx, "k")
		b.True(errors.Is(err, store.ErrUnavailable))
	},
	// The connection delivers no response. The call ends at its deadline.
	"no answer": func(b fixture) {
		b.view.SetFault(keyval.Hang)
		ctx, cancel := context.WithTimeout(b.ctx, 500*time.Millisecond)
		defer cancel()
		_, err := b.Put(ctx, "k", []byte("1"), 0, 0)
		b.True(errors.Is(err, store.ErrUnknown))
		b.view.SetFault(keyval.None)
		_, err = b.Get(b.ctx, "k")
		b.NoErr(err)
	},
}

func TestStore(t *testing.T) {
	forms := map[string]func(*testing.T, func(fixture)){"in memory": inMemory, "network": overNetwork}
	for form, run := range forms {
		for name, tt := range contract {
			t.Run(form+"/"+name, func(t *testing.T) { run(t, tt) })
		}
		for name, tt := range failures {
			t.Run(form+"/"+name, func(t *testing.T) { run(t, tt) })
		}
	}
}

func TestNetwork(t *testing.T) {
	tests := map[string]func(b fixture){
		// No process listens at the service's address. No byte was sent, so a
		// write had no effect for certain and must not return ErrUnknown.
		"connection refused": func(b fixture) {
			b.server.Close()
			_, err := b.Put(b.ctx, "k", nil, 0, 0)
			b.True(errors.Is(err, store.ErrUnavailable))
			b.True(!errors.Is(err, store.ErrUnknown))
		},
		// A middlebox drops the state of a connection while a read waits for its
		// response. The read is repeated on a new connection and succeeds.
		"connection goes silent under a read": func(b fixture) {
			b.put("k", "1", 0)
			b.view.SetDelay(100 * time.Millisecond)
			start := time.Now()
			time.AfterFunc(50*time.Millisecond, b.server.Blackhole)
			e, err := b.Get(b.ctx, "k")
			b.NoErr(err)
			b.Equal(string(e.Data), "1")
			b.Equal(time.Since(start), 1100*time.Millisecond)
		},
		// The same during a write: it took effect, but after one attempt the
		// writer gets ErrUnknown.
		"connection goes silent under a write": func(b fixture) {
			b.view.SetDelay(100 * time.Millisecond)
			time.AfterFunc(50*time.Millisecond, b.server.Blackhole)
			_, err := b.Put(b.ctx, "k", []byte("1"), 0, 0)
			b.True(errors.Is(err, store.ErrUnknown))
			_, err = b.Get(b.ctx, "k")
			b.NoErr(err)
		},
		// A watch's connection stalls and never delivers the change. The watch
		// sends a new request when the service should have ended the old one, so
		// the change is seen late instead of never.
		"connection goes silent under a watch": func(b fixture) {
			start := time.Now()
			end := b.watchAsync("k", 0)
			b.server.Blackhole()
			b.put("k", "1", 0)
			b.NoErr(<-end)
			b.Equal(time.Since(start), 21*time.Second)
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) { overNetwork(t, tt) })
	}
}

func TestCounts(t *testing.T) {
	inMemory(t, func(b fixture) {
		r := b.put("k", "1", 0)
		_, err := b.Get(b.ctx, "k")
		b.NoErr(err)
		_, err = b.List(b.ctx, "", "", 0)
		b.NoErr(err)
		_, err = b.Watch(b.ctx, "k", 0)
		b.NoErr(err)
		b.view.SetFault(keyval.Unavailable)
		b.True(b.Delete(b.ctx, "k", r) != nil)
		b.Equal(b.fake.Counts(), keyval.Counts{Reads: 2, Writes: 1, Watches: 1})
	})
}
