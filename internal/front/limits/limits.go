// Package limits enforces this daemon's share of the rate limits of accounts. It adds
// locking and the configured accounts to the limiter of package ration.
package limits

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/slaterock/slaterock/internal/conf/accnt"
	"github.com/slaterock/slaterock/internal/front/ration"
	"github.com/slaterock/slaterock/internal/obs/label"
)

// Limiter limits the requests of accounts. Set Tolerance before use. Until accounts are
// set it allows all requests. It is safe for concurrent use.
type Limiter struct {
	Tolerance ration.Tolerance
	Label     label.Label // bounds the number of account labels in metrics

	mu       sync.Mutex
	ration   ration.Ration
	accounts *accnt.Accounts // whose limits were last set in ration
}

// Take takes one request from an account's limit if the verdict is OK. Begun means that it
// belongs to a program that has begun: part of the limit is reserved for these.
func (a *Limiter) Take(now time.Time, name string, begun bool) ration.Verdict {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.ration.Take(now, name, begun)
}

// Look returns whether an account's limit allows any request, and takes none.
func (a *Limiter) Look(now time.Time, name string) ration.Verdict {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.ration.Look(now, name)
}

// Add counts a request that is sent again.
func (a *Limiter) Add(now time.Time, name string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.ration.Add(now, name)
}

// GiveBack returns to the limit a request that no upstream ran.
func (a *Limiter) GiveBack(now time.Time, name string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.ration.GiveBack(now, name)
}

// Used returns how many requests this daemon allowed recently, by account, as it reports
// them to others.
func (a *Limiter) Used(now time.Time) map[string]int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.ration.Used(now)
}

// Left returns the part of each account's token bucket that is filled, from 0 to 1.
func (a *Limiter) Left(now time.Time) map[string]float64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.ration.Left(now)
}

// Hear sets the accounts of the current configuration, and the usage that other daemons
// reported.
func (a *Limiter) Hear(now time.Time, accounts *accnt.Accounts, h ration.Heard) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.setAccounts(now, accounts)
	a.ration.Hear(now, h)
}

// Forget empties each account's token bucket. It is to be called after the process was
// suspended, as the usage of other daemons in that time is not known.
func (a *Limiter) Forget(now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.ration.Forget(now)
}

// setAccounts sets the limits of the accounts if they have changed; a.mu is held.
func (a *Limiter) setAccounts(now time.Time, accounts *accnt.Accounts) {
	if a.accounts == accounts {
		return
	}
	a.accounts = accounts
	a.ration.Tolerance, a.ration.Draw = a.Tolerance, rand.Float64
	limits := map[string]ration.Limit{}
	for _, acct := range accounts.All() {
		limits[acct.Name] = ration.Limit{Rate: acct.Rate, Burst: acct.Burst}
	}
	a.ration.Limit(now, limits)
}
