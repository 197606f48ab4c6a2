// Package retry limits further attempts by a token budget.
//
// Retries on a failing fleet add load when it can serve it least. The Budget is
// therefore filled by first attempts, which makes retries a share of the traffic
// rather than a number for each request.
package retry

import (
	"math"
	"time"
)

const (
	baseDelay = 50 * time.Millisecond
	maxDelay  = 2 * time.Second

	defaultShare = 0.1
	// Retries available without earned tokens, so that an owner with little
	// traffic can retry too.
	minTokens = 3
	maxTokens = 100
)

type (
	// Budget is a token bucket for further attempts. The zero value allows
	// minTokens of them and earns 0.1 for each first attempt.
	Budget struct {
		Share float64 // tokens earned by each first attempt; 0 means 0.1, less than 0 disables further attempts

		spent  float64 // of minTokens, repaid by Earn before tokens grows
		tokens float64
	}
)

// Earn records a first attempt.
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

// Safe reports whether an attempt may be repeated: the request is idempotent, or
// nothing of it was sent to the upstream.
func Safe(idempotent, sent bool) bool { return idempotent || !sent }

// Delay returns the exponential backoff before the n-th further attempt, n from 1,
// with full jitter: share is a random number from 0 to 1, so that requests that
// failed together are not repeated together.
func Delay(n int, share float64) time.Duration {
	top := min(float64(baseDelay)*math.Pow(2, float64(n)), float64(maxDelay))
	return time.Duration(share * top)
}
