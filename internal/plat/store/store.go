// Package store describes the platform's key-value service, the only place
// where slaterock keeps what must last.
//
// The service offers compare-and-swap on revisions, leases that delete their
// keys when they lapse, and watches. Every call counts against its rates, a
// waiting watch too. A value is at most MaxValue bytes. A write has four ends:
// it succeeded, it was refused with a *ConflictError, it certainly was not
// taken (ErrUnavailable), or nobody knows (ErrUnknown). The last one must be
// resolved by reading the key back; callers never assume either way.
package store

import (
	"context"
	"errors"
	"fmt"
	"time"
)

const (
	// MaxValue is the largest value that the service takes, in bytes.
	MaxValue = 1 << 20
)

type (
	// Store is one client's access to the service. Implementations are safe
	// for concurrent use, honour the context's deadline and never block
	// past it.
	Store interface {
		// Get reads one key; ErrNotFound if it does not exist.
		Get(ctx context.Context, key string) (Entry, error)
		// Put writes data if the key's revision is still rev; rev 0 means
		// that the key must not exist. A lease other than zero deletes the
		// key when it lapses. The new revision is returned.
		Put(ctx context.Context, key string, data []byte, rev Rev, lease Lease) (Rev, error)
		// Delete removes the key if its revision is still rev.
		Delete(ctx context.Context, key string, rev Rev) error
		// List returns up to limit keys with the prefix that sort after the
		// key after, in order, without their data.
		List(ctx context.Context, prefix, after string, limit int) ([]string, error)
		// Watch waits until the key's revision is above rev and returns the
		// entry, or ErrNotFound if the key was deleted. When the context
		// ends first it returns the context's error.
		Watch(ctx context.Context, key string, rev Rev) (Entry, error)
		// Grant opens a lease that lapses ttl after its last renewal.
		Grant(ctx context.Context, ttl time.Duration) (Lease, error)
		// Renew extends the lease; ErrLapsed if it is over.
		Renew(ctx context.Context, lease Lease) error
		// Revoke ends the lease at once and deletes its keys.
		Revoke(ctx context.Context, lease Lease) error
	}

	// Shared is what daemons use to agree on few small values and to find
	// each other.
	Shared interface {
		Get(ctx context.Context, key string) (Entry, error)
		// Scan reads all keys with the prefix, and the store's revision. A
		// stale read costs little and may be seconds old.
		Scan(ctx context.Context, prefix string, stale bool) ([]Entry, Rev, error)
		Put(ctx context.Context, key string, data []byte, rev Rev, lease Lease) (Rev, error)
		// Set writes data whatever the key holds.
		Set(ctx context.Context, key string, data []byte, lease Lease) (Rev, error)
		// Remove removes the key whatever it holds.
		Remove(ctx context.Context, key string) error
		Grant(ctx context.Context, ttl time.Duration) (Lease, error)
		Renew(ctx context.Context, lease Lease) error
		Revoke(ctx context.Context, lease Lease) error
	}

	// Rev is a key's revision. Revisions of one store only rise.
	Rev uint64

	// Lease names a lease; zero is none.
	Lease uint64

	// Entry is a key's value as read.
	Entry struct {
		Key  string `json:"key"`
		Data []byte `json:"data"`
		Rev  Rev    `json:"rev"`
	}

	// ConflictError reports that the key was not at the revision that the
	// writer named. Rev is the key's present revision, 0 if it is absent.
	ConflictError struct {
		Key string
		Rev Rev
	}
)

var (
	// ErrNotFound reports a key that does not exist.
	ErrNotFound = errors.New("store: key not found")
	// ErrLapsed reports a lease that is over.
	ErrLeaseExpired = errors.New("store: lease lapsed")
	// ErrUnavailable reports a call that certainly had no effect.
	ErrUnavailable = errors.New("store: unavailable")
	// ErrUnknown reports a write that may or may not have taken effect.
	ErrUnknown = errors.New("store: outcome unknown")
	// ErrGone reports history that the service no longer has.
	ErrCompacted = errors.New("store: history is gone")
	// ErrTooLarge reports a value above MaxValue.
	ErrTooLarge = errors.New("store: value too large")
)

// Error names the key and its present revision.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("store: %s is at revision %d", e.Key, e.Rev)
}
