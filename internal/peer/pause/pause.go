// Package pause waits without outliving its context.
package pause

import (
	"context"
	"time"
)

// For waits for d and is true, or false as soon as ctx ends.
func For(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}
