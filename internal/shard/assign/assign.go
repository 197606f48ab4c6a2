// Package assign decides which shards a daemon claims and which it hands over to
// another daemon.
//
// Every daemon computes the preferred owner of each shard from its own membership
// view. The views may differ; the store decides who owns a shard. So a daemon
// claims a shard only if no live owner is known or the owner offers it, and hands
// one over only after another daemon has been preferred for handoverDelay or when
// it drains itself.
//
// Assigner is a state machine: Step takes the time and one message and returns
// effects.
package assign

import (
	"strconv"
	"strings"
	"time"

	"github.com/slaterock/slaterock/internal/edge/locate"
	"github.com/slaterock/slaterock/internal/peer/swim"
)

const (
	handoverDelay = 3 * time.Second        // before a shard is handed over
	fallbackDelay = 4 * time.Second        // before a daemon that is not the preferred one claims
	retryDelay    = 500 * time.Millisecond // after a claim that failed
	maxClaims     = 4                      // in progress, then a tick starts no other; offered shards are claimed anyway
	maxHandovers  = 2                      // in progress at a time, except while draining
)

type (
	// Assigner is the state machine. Set Self, Rand and Shards before the
	// first Step.
	Assigner struct {
		Self   string        // the daemon's name
		Rand   func() uint64 // spreads the claims of several daemons
		Shards int

		members             []swim.Member
		plan                []swim.Member // preferred owner of each shard
		plannedFor          string        // shards and live daemons that the plan was made for
		owned               map[int]bool
		claiming            map[int]bool
		handingOver         map[int]bool
		noClaimBefore       map[int]time.Time // earliest next claim of the shard
		ownerless           map[int]time.Time // since when no owner is known
		otherPreferredSince map[int]time.Time // since when another daemon is preferred for an owned shard
		draining            bool
		leased              bool
	}

	// Message is an input of Assigner.
	Message interface{ message() }

	// View is the current membership view.
	View struct{ Members []swim.Member }

	// Leased reports whether the daemon holds the lease that claims need.
	Leased struct{ OK bool }

	// Claimed reports the outcome of a Claim.
	Claimed struct {
		Shard int
		OK    bool
	}

	// Offered reports that the former owner hands the shard over to this
	// daemon.
	Offered struct{ Shard int }

	// Released reports that the daemon no longer owns the shard, because it
	// handed the shard over, lost it or failed to run it.
	Released struct{ Shard int }

	// Drain asks to hand over all shards and claim no more.
	Drain struct{}

	// Tick makes Step return the claims and handovers that are due.
	Tick struct{}

	// Effect is an action that Assigner asks for.
	Effect interface{ effect() }

	// Claim asks to take the shard over; the answer is Claimed.
	Claim struct{ Shard int }

	// HandOver ends ownership of the shard once its calls have ended, and
	// offers it to the daemon To; with an empty Name any daemon may claim it.
	// The answer is Released.
	HandOver struct {
		Shard int
		To    swim.Member
	}
)

func (View) message()     {}
func (Leased) message()   {}
func (Claimed) message()  {}
func (Offered) message()  {}
func (Released) message() {}
func (Drain) message()    {}
func (Tick) message()     {}

func (Claim) effect()    {}
func (HandOver) effect() {}

// Step applies one message.
func (a *Assigner) Step(now time.Time, m Message) []Effect {
	a.init()
	switch m := m.(type) {
	case View:
		a.setView(m.Members)
	case Leased:
		a.leased = m.OK
	case Claimed:
		delete(a.claiming, m.Shard)
		if m.OK {
			a.owned[m.Shard] = true
			delete(a.ownerless, m.Shard)
			return nil
		}
		a.noClaimBefore[m.Shard] = now.Add(retryDelay + a.jitter(retryDelay))
	case Offered:
		if a.draining || !a.leased || a.owned[m.Shard] || a.claiming[m.Shard] {
			return nil
		}
		return []Effect{a.claim(m.Shard)}
	case Released:
		delete(a.owned, m.Shard)
		delete(a.handingOver, m.Shard)
		delete(a.otherPreferredSince, m.Shard)
		a.noClaimBefore[m.Shard] = now.Add(retryDelay + a.jitter(retryDelay))
	case Drain:
		a.draining = true
	case Tick:
		return a.tick(now)
	}
	return nil
}

func (a *Assigner) init() {
	if a.owned != nil {
		return
	}
	a.owned = map[int]bool{}
	a.claiming = map[int]bool{}
	a.handingOver = map[int]bool{}
	a.noClaimBefore = map[int]time.Time{}
	a.ownerless = map[int]time.Time{}
	a.otherPreferredSince = map[int]time.Time{}
}

// setView sets the membership view. Computing the plan takes a hash for each
// shard and daemon, so it is done only when the set of live daemons has changed.
func (a *Assigner) setView(members []swim.Member) {
	a.members = members
	var b strings.Builder
	for _, m := range members {
		if m.State == swim.Alive {
			b.WriteString(m.Name)
			b.WriteByte(0)
		}
	}
	key := strconv.Itoa(a.Shards) + "/" + b.String()
	if key != a.plannedFor {
		a.plannedFor, a.plan = key, locate.Plan(members, a.Shards, a.Shards)
	}
}

// preferred returns the daemon that should own the shard.
func (a *Assigner) preferred(shard int) (swim.Member, bool) {
	if shard >= len(a.plan) {
		return swim.Member{}, false
	}
	return a.plan[shard], true
}

// NeedsLease reports whether the daemon needs a lease: it owns or claims shards,
// is the preferred owner of one, or may have to claim one that has had no owner
// for fallbackDelay. Renewing a lease costs the store three writes per lease
// duration for each daemon, also if the lease is not used.
func (a *Assigner) NeedsLease(now time.Time) bool {
	if len(a.owned) > 0 || len(a.claiming) > 0 {
		return true
	}
	for s := range a.Shards {
		to, ok := a.preferred(s)
		if ok && to.Name == a.Self {
			return true
		}
		if since, ownerless := a.ownerless[s]; ownerless && now.Sub(since) >= fallbackDelay {
			return true
		}
	}
	return false
}

func (a *Assigner) jitter(d time.Duration) time.Duration {
	return time.Duration(a.Rand() % uint64(d))
}

func (a *Assigner) claim(shard int) Effect {
	a.claiming[shard] = true
	return Claim{Shard: shard}
}

func (a *Assigner) tick(now time.Time) (effs []Effect) {
	for s := range a.Shards {
		switch {
		case a.handingOver[s] || a.claiming[s]:
		case a.owned[s]:
			if to, ok := a.handoverTarget(now, s); ok && (a.draining || len(a.handingOver) < maxHandovers) {
				a.handingOver[s] = true
				effs = append(effs, HandOver{Shard: s, To: to})
			}
		case !a.draining && a.shouldClaim(now, s) && a.leased && len(a.claiming) < maxClaims:
			effs = append(effs, a.claim(s))
		}
	}
	return effs
}

// handoverTarget reports whether an owned shard should be handed over now, and to
// which daemon. While draining, the daemon returned is empty if no other one is
// preferred. It also updates otherPreferredSince.
func (a *Assigner) handoverTarget(now time.Time, shard int) (swim.Member, bool) {
	to, ok := a.preferred(shard)
	if a.draining {
		if to.Name == a.Self {
			to = swim.Member{}
		}
		return to, true
	}
	if !ok || to.Name == a.Self {
		delete(a.otherPreferredSince, shard)
		return swim.Member{}, false
	}
	since, known := a.otherPreferredSince[shard]
	if !known {
		a.otherPreferredSince[shard] = now
		return swim.Member{}, false
	}
	return to, now.Sub(since) >= handoverDelay
}

// shouldClaim reports whether the daemon should claim the shard now. If the shard
// has had no owner for fallbackDelay, daemons other than the preferred one try at
// random times, so that no shard stays without an owner because one daemon fails
// or has a wrong view. It also updates ownerless and noClaimBefore.
func (a *Assigner) shouldClaim(now time.Time, shard int) bool {
	if _, owned := locate.Owner(a.members, shard); owned {
		delete(a.ownerless, shard)
		return false
	}
	since, known := a.ownerless[shard]
	if !known {
		since = now
		a.ownerless[shard] = now
	}
	if now.Before(a.noClaimBefore[shard]) {
		return false
	}
	to, ok := a.preferred(shard)
	if ok && to.Name == a.Self {
		return true
	}
	if now.Sub(since) < fallbackDelay {
		return false
	}
	a.noClaimBefore[shard] = now.Add(a.jitter(fallbackDelay))
	return a.Rand()%2 == 0
}
