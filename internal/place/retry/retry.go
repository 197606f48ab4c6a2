// Package retry bounds further attempts. Retries of a failing fleet add load
// exactly when there is none to spare, so they are paid from a Budget that
// first attempts fill: a share of the traffic, not a count for each request.
package retry

import (
	"math"
	"time"
)

const (
	baseDelay = 50 * time.Millisecond
	maxDelay  = 2 * time.Second

	defaultShare = 0.1
	// A quiet owner may always make a few retries, whatever the share.
	minTokens = 3
	maxTokens = 100
)

type (
	// Budget holds the tokens that pay for further attempts. The zero value
	// holds a few and earns a tenth.
	Budget struct {
		Share float64 // earned by each first attempt; 0 means a tenth, less pays for nothing

		spent  float64 // below floorTokens
		tokens float64
	}
)

// Earn notes a first attempt.
func (b *Budget) Earn() {
	share := b.Share
	if share == 0 {
		share = defaultShare
	}
	if b.spent > 0 {
		b.spent = max(0, b.spent-share)
		return
	}
	b.tokens = min(b.tokens+share, maxTokens)
}

// Spend takes one token and reports whether there was one.
func (b *Budget) Spend() bool {
	if b.Share < 0 {
		return false
	}
	if b.tokens >= 1 {
		b.tokens--
		return true
	}
	if b.spent+1 > minTokens {
		return false
	}
	b.spent++
	return true
}

// Safe reports whether an attempt may be repeated: it is idempotent, or it
// certainly did not reach the upstream.
func Safe(idempotent, sent bool) bool { return idempotent || !sent }

// Delay returns how long to wait before the n-th further attempt, n from 1.
// The share is random, from 0 to 1: full jitter, so that requests that failed
// together do not come back together.
func Delay(n int, share float64) time.Duration {
	top := min(float64(baseDelay)*math.Pow(2, float64(n)), float64(maxDelay))
	return time.Duration(share * top)
}
