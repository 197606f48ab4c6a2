// Package allow keeps a front's part of the limits of accounts, for the requests that
// it serves at the same time.
package allow

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/slaterock/slaterock/internal/conf/accnt"
	"github.com/slaterock/slaterock/internal/front/bucket"
	"github.com/slaterock/slaterock/internal/obs/label"
)

// Allow lets requests in. Set Tolerance before use; without accounts it lets all in.
type Allow struct {
	Tolerance bucket.Tolerance
	Label     label.Label // of accounts in metrics

	mu       sync.Mutex
	bucket   bucket.Limiter
	accounts *accnt.Accounts // that the ration knows
}

// Take asks for one request of an account, as ration.Take does.
func (a *Allow) Take(now time.Time, name string, begun bool) bucket.Decision {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.bucket.Take(now, name, begun)
}

// Look tells whether there is room for any request of an account, as ration.Look does.
func (a *Allow) Check(now time.Time, name string) bucket.Decision {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.bucket.Check(now, name)
}

// Add counts a request that is sent once more.
func (a *Allow) Add(now time.Time, name string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.bucket.Add(now, name)
}

// GiveBack counts a request no more that reached no upstream.
func (a *Allow) Refund(now time.Time, name string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.bucket.Refund(now, name)
}

// Used returns what was let in lately, by account.
func (a *Allow) Used(now time.Time) map[string]int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.bucket.Used(now)
}

// Left returns which part of its largest level each account has left.
func (a *Allow) Remaining(now time.Time) map[string]float64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.bucket.Remaining(now)
}

// Hear takes what other fronts have said, and the accounts that are in force.
func (a *Allow) Update(now time.Time, accounts *accnt.Accounts, h bucket.PeerUsage) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.know(now, accounts)
	a.bucket.Update(now, h)
}

// Forget takes what is known of the others to be old: this front has not run.
func (a *Allow) Drain(now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.bucket.Drain(now)
}

// know takes the limits of the accounts if they are others than before; a.mu is held.
func (a *Allow) know(now time.Time, accounts *accnt.Accounts) {
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
