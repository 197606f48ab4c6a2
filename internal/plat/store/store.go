// Package store defines the interface to the platform's key-value service, which
// stores slaterock's durable state, except long texts of calls.
//
// The service has compare-and-swap on revisions, leases that delete their keys when
// they expire, and watches. Every call, also a blocked watch, counts against its rate
// limits. A value has at most MaxValue bytes. A write either succeeded, was refused
// (*ConflictError, ErrNotFound, ErrLeaseExpired, ErrTooLarge), had no effect
// (ErrUnavailable), or it is unknown whether it took effect (ErrUnknown). An unknown
// outcome must be resolved by reading the key back; callers must not assume either.
package store

import (
	"context"
	"errors"
	"fmt"
	"time"
)

const (
	// MaxValue is the largest value that the service accepts, in bytes.
	MaxValue = 1 << 20
)

type (
	// Store is a client of the service. Implementations are safe for concurrent
	// use and never block past the context's deadline.
	Store interface {
		// Get reads one key; ErrNotFound if it does not exist.
		Get(ctx context.Context, key string) (Entry, error)
		// Put writes data if the key's revision is still rev; rev 0 means
		// that the key must not exist. A lease other than zero deletes the
		// key when it expires. Put returns the new revision.
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
		// Grant creates a lease that expires ttl after its last renewal.
		Grant(ctx context.Context, ttl time.Duration) (Lease, error)
		// Renew extends the lease; ErrLeaseExpired if it has expired.
		Renew(ctx context.Context, lease Lease) error
		// Revoke ends the lease at once and deletes its keys.
		Revoke(ctx context.Context, lease Lease) error
	}

	// Shared is the part of a key-value service that daemons use for discovery
	// and for agreement on a few small values.
	Shared interface {
		Get(ctx context.Context, key string) (Entry, error)
		// Scan reads all keys with the prefix and returns the store's revision.
		// A stale read is cheaper and may be seconds old.
		Scan(ctx context.Context, prefix string, stale bool) ([]Entry, Rev, error)
		Put(ctx context.Context, key string, data []byte, rev Rev, lease Lease) (Rev, error)
		// Set writes data unconditionally.
		Set(ctx context.Context, key string, data []byte, lease Lease) (Rev, error)
		// Remove removes the key unconditionally.
		Remove(ctx context.Context, key string) error
		Grant(ctx context.Context, ttl time.Duration) (Lease, error)
		Renew(ctx context.Context, lease Lease) error
		Revoke(ctx context.Context, lease Lease) error
	}

	// Rev is a key's revision. The revisions of a store only increase.
	Rev uint64

	// Lease is the id of a lease; zero is none.
	Lease uint64

	// Entry is a key with its value and revision.
	Entry struct {
		Key  string `json:"key"`
		Data []byte `json:"data"`
		Rev  Rev    `json:"rev"`
	}

	// Change is a key that was written, or removed if Gone is set.
	Change struct {
		Entry
		Gone bool
	}

	// ConflictError reports that the key was not at the expected revision. Rev
	// is its current revision, 0 if it does not exist.
	ConflictError struct {
		Key string
		Rev Rev
	}
)

var (
	// ErrNotFound reports a key that does not exist.
	ErrNotFound = errors.New("store: key not found")
	// ErrLeaseExpired reports a lease that expired or was revoked.
	ErrLeaseExpired = errors.New("store: lease expired")
	// ErrUnavailable reports a call that had no effect.
	ErrUnavailable = errors.New("store: unavailable")
	// ErrUnknown reports a write that may or may not have taken effect.
	ErrUnknown = errors.New("store: outcome unknown")
	// ErrCompacted reports a revision that the service no longer has.
	ErrCompacted = errors.New("store: revision has been compacted")
	// ErrTooLarge reports a value above MaxValue.
	ErrTooLarge = errors.New("store: value too large")
)

// Error returns the key and its current revision.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("store: %s is at revision %d", e.Key, e.Rev)
}
