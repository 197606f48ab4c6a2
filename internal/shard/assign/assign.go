// Package assign decides which shards a daemon tries to own, and which it hands
// to another.
//
// Every daemon works out from its own picture of the others which of them
// should own each shard. The pictures may differ; what settles a shard is the
// store. So a daemon only claims a shard that no live daemon is known to own,
// and hands one over only when the picture has been the same for a while.
//
// Assign is a state machine: Step takes the time and one message and returns
// effects.
package assign

import (
	"strconv"
	"strings"
	"time"

	"github.com/slaterock/slaterock/internal/edge/locate"
	"github.com/slaterock/slaterock/internal/peer/beat"
)

const (
	handoverDelay = 3 * time.Second        // before a shard is handed over
	fallbackDelay = 4 * time.Second        // before another than the preferred daemon claims
	retryDelay    = 500 * time.Millisecond // after a claim that failed
	maxClaims     = 4                      // under way at a time
	maxHandovers  = 2
)

type (
	// Assign is the machine. Set Self, Rand and Shards before the first Step.
	Assigner struct {
		Self   string        // the daemon's name
		Rand   func() uint64 // spreads the claims of several daemons
		Shards int

		members       []beat.Member
		plan          []beat.Member // who should own each shard
		plannedFor    string        // the daemons that the plan was made for
		owned         map[int]bool
		claiming      map[int]bool
		handingOver   map[int]bool
		noClaimBefore map[int]time.Time // no claim of the shard before
		ownerless     map[int]time.Time // since when no owner is known
		movedSince    map[int]time.Time // since when another should own our shard
		draining      bool
		leased        bool
	}

	// Message is what Assign reacts to.
	Message interface{ message() }

	// View is the present picture of the daemons.
	View struct{ Members []beat.Member }

	// Leased tells whether the daemon holds a lease to claim under.
	Leased struct{ OK bool }

	// Claimed tells how a claim ended.
	Claimed struct {
		Shard int
		OK    bool
	}

	// Offered tells that the former owner has given the shard to this daemon.
	Offered struct{ Shard int }

	// Gone tells that the daemon owns the shard no more, whether it handed it
	// over, lost it or failed.
	Released struct{ Shard int }

	// Drain asks to hand over all shards and claim none.
	Drain struct{}

	// Tick lets time pass.
	Tick struct{}

	// Effect is what Assign wants done.
	Effect interface{ effect() }

	// Claim tries to own the shard; the answer is Claimed.
	Claim struct{ Shard int }

	// Give ends ownership of the shard once its calls have ended, and offers
	// it to the daemon To; an empty Name leaves it to whoever claims it. The
	// answer is Gone.
	HandOver struct {
		Shard int
		To    beat.Member
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
		delete(a.movedSince, m.Shard)
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
	a.movedSince = map[int]time.Time{}
}

// view takes a new picture in. Working the plan out costs a hash for each shard
// and daemon, so it is done only when a daemon came, left or changed its state.
func (a *Assigner) setView(members []beat.Member) {
	a.members = members
	var b strings.Builder
	for _, m := range members {
		if m.State == beat.Alive {
			b.WriteString(m.Name)
			b.WriteByte(0)
		}
	}
	key := strconv.Itoa(a.Shards) + "/" + b.String()
	if key != a.plannedFor {
		a.plannedFor, a.plan = key, locate.Plan(members, a.Shards, a.Shards)
	}
}

// preferred is the daemon that should own the shard.
func (a *Assigner) preferred(shard int) (beat.Member, bool) {
	if shard >= len(a.plan) {
		return beat.Member{}, false
	}
	return a.plan[shard], true
}

// Wants reports whether the daemon has a use for a lease: it owns shards, should
// own some, or may have to take one that nobody claims. A lease that is only
// held costs the store three writes in its time to live, from each daemon.
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

// successor tells whether an owned shard should go to another daemon.
func (a *Assigner) handoverTarget(now time.Time, shard int) (beat.Member, bool) {
	to, ok := a.preferred(shard)
	if a.draining {
		if to.Name == a.Self {
			to = beat.Member{}
		}
		return to, true
	}
	if !ok || to.Name == a.Self {
		delete(a.movedSince, shard)
		return beat.Member{}, false
	}
	since, known := a.movedSince[shard]
	if !known {
		a.movedSince[shard] = now
		return beat.Member{}, false
	}
	return to, now.Sub(since) >= handoverDelay
}

// wants tells whether the daemon should claim the shard now. Where the
// preferred daemon can't or won't, any other does after a while, so that no
// shard stays without an owner because one daemon has a wrong picture.
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
