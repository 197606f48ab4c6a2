package keyval

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/slaterock/slaterock/internal/plat/store"
)

const (
	// None means no fault.
	None Fault = iota
	// Unavailable fails a call with store.ErrUnavailable; the call has no effect.
	Unavailable
	// LoseAck executes a write and loses its acknowledgement.
	LoseAck
	// LoseWrite discards a write; the client can't distinguish it from LoseAck.
	LoseWrite
	// Hang returns only when the caller's context ends; a write is executed.
	Hang
)

const (
	// Any counts every call of a view.
	Any Class = iota
	// Reads counts Get, List and Watch.
	Reads
	// Writes counts Put, Delete, Grant, Renew and Revoke.
	Writes
)

type (
	// Fault is a way in which a call fails. LoseAck and LoseWrite make a read fail
	// with store.ErrUnavailable.
	Fault int

	// Class selects the calls that a script counts.
	Class int

	// View is one client's access to the service. It implements store.Store.
	View struct {
		store *Store

		mu     sync.Mutex
		fault  Fault
		delay  time.Duration
		cut    chan struct{} // closed by SetFault(Unavailable) to end waiting watches
		class  Class
		script map[int]Fault
		n      int // calls of the class since ScriptFaults
	}
)

// SetFault applies f to every call until the next call of SetFault. Unavailable
// also ends the watches that are waiting.
func (v *View) SetFault(f Fault) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.fault = f
	if f == Unavailable && v.cut != nil {
		close(v.cut)
		v.cut = nil
	}
}

// SetDelay delays the response of each call without a fault by d.
func (v *View) SetDelay(d time.Duration) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.delay = d
}

// ScriptFaults applies faults[n] to the n-th call of the class from now on,
// counted from 1. It overrides SetFault for these calls.
func (v *View) ScriptFaults(c Class, faults map[int]Fault) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.class, v.script, v.n = c, faults, 0
}

// Get implements store.Store.
func (v *View) Get(ctx context.Context, key string) (e store.Entry, err error) {
	err = v.read(ctx, func() error {
		e, err = v.store.Get(ctx, key)
		return err
	})
	return e, err
}

// Put implements store.Store.
func (v *View) Put(ctx context.Context, key string, data []byte, rev store.Rev, l store.Lease) (r store.Rev, err error) {
	err = v.write(ctx, func() error {
		r, err = v.store.Put(ctx, key, data, rev, l)
		return err
	})
	if err != nil {
		return 0, err
	}
	return r, nil
}

// Delete implements store.Store.
func (v *View) Delete(ctx context.Context, key string, rev store.Rev) error {
	return v.write(ctx, func() error { return v.store.Delete(ctx, key, rev) })
}

// List implements store.Store.
func (v *View) List(ctx context.Context, prefix, after string, limit int) (keys []string, err error) {
	err = v.read(ctx, func() error {
		keys, err = v.store.List(ctx, prefix, after, limit)
		return err
	})
	return keys, err
}

// Watch implements store.Store.
func (v *View) Watch(ctx context.Context, key string, rev store.Rev) (e store.Entry, err error) {
	f, delay, cut := v.next(Reads)
	if f == Unavailable {
		return e, store.ErrUnavailable
	}
	if f == Hang {
		<-ctx.Done()
		return e, ctx.Err()
	}
	e, err = v.store.watch(ctx, key, rev, cut)
	if f != None && ctx.Err() == nil {
		return store.Entry{}, store.ErrUnavailable
	}
	if werr := sleep(ctx, delay); werr != nil {
		return store.Entry{}, werr
	}
	return e, err
}

// Grant implements store.Store.
func (v *View) Grant(ctx context.Context, ttl time.Duration) (l store.Lease, err error) {
	err = v.write(ctx, func() error {
		l, err = v.store.Grant(ctx, ttl)
		return err
	})
	if err != nil {
		return 0, err
	}
	return l, nil
}

// Renew implements store.Store.
func (v *View) Renew(ctx context.Context, l store.Lease) error {
	return v.write(ctx, func() error { return v.store.Renew(ctx, l) })
}

// Revoke implements store.Store.
func (v *View) Revoke(ctx context.Context, l store.Lease) error {
	return v.write(ctx, func() error { return v.store.Revoke(ctx, l) })
}

func (v *View) next(c Class) (f Fault, delay time.Duration, cut <-chan struct{}) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.cut == nil {
		v.cut = make(chan struct{})
	}
	f = v.fault
	if v.class == Any || v.class == c {
		v.n++
		if s, ok := v.script[v.n]; ok {
			f = s
		}
	}
	return f, v.delay, v.cut
}

func (v *View) read(ctx context.Context, do func() error) error {
	f, delay, _ := v.next(Reads)
	if ctx.Err() != nil || f == Unavailable {
		return errors.Join(store.ErrUnavailable, ctx.Err())
	}
	err := do()
	if f == Hang {
		<-ctx.Done()
	}
	if f != None || sleep(ctx, delay) != nil {
		return errors.Join(store.ErrUnavailable, ctx.Err())
	}
	return err
}

func (v *View) write(ctx context.Context, do func() error) error {
	f, delay, _ := v.next(Writes)
	if ctx.Err() != nil || f == Unavailable {
		return errors.Join(store.ErrUnavailable, ctx.Err())
	}
	var err error
	if f != LoseWrite {
		err = do()
	}
	if f == Hang {
		<-ctx.Done()
	}
	if f != None || sleep(ctx, delay) != nil {
		return errors.Join(store.ErrUnknown, ctx.Err())
	}
	return err
}

func sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
