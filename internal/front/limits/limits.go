// Package limits enforces this daemon's share of the rate limits of accounts. It adds
// locking, timers and the configured accounts to the limiter of package bucket and to the
// waiting requests of package wait.
package limits

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/slaterock/slaterock/internal/conf/accnt"
	"github.com/slaterock/slaterock/internal/front/bucket"
	"github.com/slaterock/slaterock/internal/obs/label"
)

// Limiter limits the requests of accounts. Set Tolerance before use. Until accounts are
// set it allows all requests. It is safe for concurrent use.
type Limiter struct {
	Tolerance bucket.Tolerance
	Label     label.Label // bounds the number of account labels in metrics

	mu       sync.Mutex
	bucket   bucket.Buckets
	accounts *accnt.Accounts // whose limits were last set in bucket
	waiting  waiting
}

// Add counts a request that is sent again.
func (a *Limiter) Add(now time.Time, name string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.bucket.Add(now, name)
}

// Refund returns to the limit a request that no upstream ran.
func (a *Limiter) Refund(now time.Time, name string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.bucket.Refund(now, name)
	a.step(now, name)
}

// Used returns how many requests this daemon allowed recently, by account, as it reports
// them to others.
func (a *Limiter) Used(now time.Time) map[string]int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.bucket.Used(now)
}

// Remaining returns the part of each account's token bucket that is filled, from 0 to 1.
func (a *Limiter) Remaining(now time.Time) map[string]float64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.bucket.Remaining(now)
}

// Update sets the accounts of the current configuration, and the usage that other daemons
// reported.
func (a *Limiter) Update(now time.Time, accounts *accnt.Accounts, h bucket.PeerUsage) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.setAccounts(now, accounts)
	a.bucket.Update(now, h)
	a.stepAll(now)
}

// HasAccounts reports whether Update set any accounts last.
func (a *Limiter) HasAccounts() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.accounts != nil
}

// Programs returns the number of programs in progress of each account, by the forecast.
func (a *Limiter) Programs(now time.Time) map[string]float64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.bucket.Programs(now)
}

// Drain empties each account's token bucket. It is to be called after the process was
// suspended, as the usage of other daemons in that time is not known.
func (a *Limiter) Drain(now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.bucket.Drain(now)
}

// setAccounts sets the limits of the accounts if they have changed; a.mu is held.
func (a *Limiter) setAccounts(now time.Time, accounts *accnt.Accounts) {
	if a.accounts == accounts {
		return
	}
	a.accounts = accounts
	a.bucket.Tolerance, a.bucket.Rand = a.Tolerance, rand.Float64
	limits := map[string]bucket.Limit{}
	for _, acct := range accounts.All() {
		limits[acct.Name] = bucket.Limit{Rate: acct.Rate, Burst: acct.Burst}
	}
	a.bucket.Limit(now, limits)
}
