// Package allow keeps a front's part of the limits of accounts, for the requests that
// it serves at the same time.
package limits

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/slaterock/slaterock/internal/conf/accnt"
	"github.com/slaterock/slaterock/internal/front/ration"
	"github.com/slaterock/slaterock/internal/obs/label"
)

// Allow lets requests in. Set Tolerance before use; without accounts it lets all in.
type Limiter struct {
	Tolerance ration.Tolerance
	Label     label.Label // of accounts in metrics

	mu       sync.Mutex
	ration   ration.Ration
	accounts *accnt.Accounts // that the ration knows
}

// Take asks for one request of an account, as ration.Take does.
func (a *Limiter) Take(now time.Time, name string, begun bool) ration.Verdict {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.ration.Take(now, name, begun)
}

// Look tells whether there is room for any request of an account, as ration.Look does.
func (a *Limiter) Look(now time.Time, name string) ration.Verdict {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.ration.Look(now, name)
}

// Add counts a request that is sent once more.
func (a *Limiter) Add(now time.Time, name string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.ration.Add(now, name)
}

// GiveBack counts a request no more that reached no upstream.
func (a *Limiter) GiveBack(now time.Time, name string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.ration.GiveBack(now, name)
}

// Used returns what was let in lately, by account.
func (a *Limiter) Used(now time.Time) map[string]int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.ration.Used(now)
}

// Left returns which part of its largest level each account has left.
func (a *Limiter) Left(now time.Time) map[string]float64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.ration.Left(now)
}

// Hear takes what other fronts have said, and the accounts that are in force.
func (a *Limiter) Hear(now time.Time, accounts *accnt.Accounts, h ration.Heard) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.setAccounts(now, accounts)
	a.ration.Hear(now, h)
}

// Forget takes what is known of the others to be old: this front has not run.
func (a *Limiter) Forget(now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.ration.Forget(now)
}

// know takes the limits of the accounts if they are others than before; a.mu is held.
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
