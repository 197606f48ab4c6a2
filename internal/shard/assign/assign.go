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
	"github.com/slaterock/slaterock/internal/peer/swim"
)

const (
	settleTime = 3 * time.Second        // before a shard is handed over
	othersTime = 4 * time.Second        // before another than the preferred daemon claims
	retryTime  = 500 * time.Millisecond // after a claim that failed
	maxClaims  = 4                      // under way at a time
	maxGives   = 2
)

type (
	// Assign is the machine. Set Self, Rand and Shards before the first Step.
	Assign struct {
		Self   string        // the daemon's name
		Rand   func() uint64 // spreads the claims of several daemons
		Shards int

		members  []swim.Member
		plan     []swim.Member // who should own each shard
		planned  string        // the daemons that the plan was made for
		owned    map[int]bool
		claiming map[int]bool
		giving   map[int]bool
		notYet   map[int]time.Time // no claim of the shard before
		orphan   map[int]time.Time // since when no owner is known
		moved    map[int]time.Time // since when another should own our shard
		draining bool
		leased   bool
	}

	// Message is what Assign reacts to.
	Message interface{ message() }

	// View is the present picture of the daemons.
	View struct{ Members []swim.Member }

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
	Gone struct{ Shard int }

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
	Give struct {
		Shard int
		To    swim.Member
	}
)

func (View) message()    {}
func (Leased) message()  {}
func (Claimed) message() {}
func (Offered) message() {}
func (Gone) message()    {}
func (Drain) message()   {}
func (Tick) message()    {}

func (Claim) effect() {}
func (Give) effect()  {}

// Step applies one message.
func (a *Assign) Step(now time.Time, m Message) []Effect {
	a.init()
	switch m := m.(type) {
	case View:
		a.view(m.Members)
	case Leased:
		a.leased = m.OK
	case Claimed:
		delete(a.claiming, m.Shard)
		if m.OK {
			a.owned[m.Shard] = true
			delete(a.orphan, m.Shard)
			return nil
		}
		a.notYet[m.Shard] = now.Add(retryTime + a.jitter(retryTime))
	case Offered:
		if a.draining || !a.leased || a.owned[m.Shard] || a.claiming[m.Shard] {
			return nil
		}
		return []Effect{a.claim(m.Shard)}
	case Gone:
		delete(a.owned, m.Shard)
		delete(a.giving, m.Shard)
		delete(a.moved, m.Shard)
		a.notYet[m.Shard] = now.Add(retryTime + a.jitter(retryTime))
	case Drain:
		a.draining = true
	case Tick:
		return a.tick(now)
	}
	return nil
}

func (a *Assign) init() {
	if a.owned != nil {
		return
	}
	a.owned = map[int]bool{}
	a.claiming = map[int]bool{}
	a.giving = map[int]bool{}
	a.notYet = map[int]time.Time{}
	a.orphan = map[int]time.Time{}
	a.moved = map[int]time.Time{}
}

// view takes a new picture in. Working the plan out costs a hash for each shard
// and daemon, so it is done only when a daemon came, left or changed its state.
func (a *Assign) view(members []swim.Member) {
	a.members = members
	var b strings.Builder
	for _, m := range members {
		if m.State == swim.Alive {
			b.WriteString(m.Name)
			b.WriteByte(0)
		}
	}
	key := strconv.Itoa(a.Shards) + "/" + b.String()
	if key != a.planned {
		a.planned, a.plan = key, locate.Plan(members, a.Shards, a.Shards)
	}
}

// preferred is the daemon that should own the shard.
func (a *Assign) preferred(shard int) (swim.Member, bool) {
	if shard >= len(a.plan) {
		return swim.Member{}, false
	}
	return a.plan[shard], true
}

// Wants reports whether the daemon has a use for a lease: it owns shards, should
// own some, or may have to take one that nobody claims. A lease that is only
// held costs the store three writes in its time to live, from each daemon.
func (a *Assign) Wants(now time.Time) bool {
	if len(a.owned) > 0 || len(a.claiming) > 0 {
		return true
	}
	for s := range a.Shards {
		to, ok := a.preferred(s)
		if ok && to.Name == a.Self {
			return true
		}
		if since, orphan := a.orphan[s]; orphan && now.Sub(since) >= othersTime {
			return true
		}
	}
	return false
}

func (a *Assign) jitter(d time.Duration) time.Duration {
	return time.Duration(a.Rand() % uint64(d))
}

func (a *Assign) claim(shard int) Effect {
	a.claiming[shard] = true
	return Claim{Shard: shard}
}

func (a *Assign) tick(now time.Time) (effs []Effect) {
	for s := range a.Shards {
		switch {
		case a.giving[s] || a.claiming[s]:
		case a.owned[s]:
			if to, ok := a.successor(now, s); ok && (a.draining || len(a.giving) < maxGives) {
				a.giving[s] = true
				effs = append(effs, Give{Shard: s, To: to})
			}
		case !a.draining && a.wants(now, s) && a.leased && len(a.claiming) < maxClaims:
			effs = append(effs, a.claim(s))
		}
	}
	return effs
}

// successor tells whether an owned shard should go to another daemon.
func (a *Assign) successor(now time.Time, shard int) (swim.Member, bool) {
	to, ok := a.preferred(shard)
	if a.draining {
		if to.Name == a.Self {
			to = swim.Member{}
		}
		return to, true
	}
	if !ok || to.Name == a.Self {
		delete(a.moved, shard)
		return swim.Member{}, false
	}
	since, known := a.moved[shard]
	if !known {
		a.moved[shard] = now
		return swim.Member{}, false
	}
	return to, now.Sub(since) >= settleTime
}

// wants tells whether the daemon should claim the shard now. Where the
// preferred daemon can't or won't, any other does after a while, so that no
// shard stays without an owner because one daemon has a wrong picture.
func (a *Assign) wants(now time.Time, shard int) bool {
	if _, owned := locate.Owner(a.members, shard); owned {
		delete(a.orphan, shard)
		return false
	}
	since, known := a.orphan[shard]
	if !known {
		since = now
		a.orphan[shard] = now
	}
	if now.Before(a.notYet[shard]) {
		return false
	}
	to, ok := a.preferred(shard)
	if ok && to.Name == a.Self {
		return true
	}
	if now.Sub(since) < othersTime {
		return false
	}
	a.notYet[shard] = now.Add(a.jitter(othersTime))
	return a.Rand()%2 == 0
}
