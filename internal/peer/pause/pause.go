// Package pause sleeps until a time has passed or a context ends.
package pause

import (
	"context"
	"time"
)

// For blocks for d and returns true. If ctx ends before that, it returns false at
// once.
func For(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}
