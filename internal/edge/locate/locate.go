// Package locate answers where a program lives: which shard it belongs to,
// which daemon owns that shard, which should, and which addresses its caller
// had best use.
//
// All functions are pure and work on a picture of the daemons that may be
// stale. A wrong answer costs a relayed request or a second look, never a
// request that runs twice: the owner itself checks that it owns the shard.
package locate

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/slaterock/slaterock/internal/edge/reqid"
	"github.com/slaterock/slaterock/internal/peer/swim"
)

const (
	// TTLSeconds is how long a caller may keep an answer. A draining daemon
	// goes on serving for at least as long, so that callers who still hold
	// its address are not cut.
	TTLSeconds = 5
	// MaxEntries bounds the addresses in one answer: enough to get past a
	// failure domain that is lost, few enough for hundreds of daemons.
	MaxEntries = 6
)

type (
	// Entry is one address that callers may use.
	Entry struct {
		Address       string `json:"address"`
		FailureDomain string `json:"failure_domain"`
		Owner         bool   `json:"owner,omitempty"` // owns the program's shard
	}

	// Answer is what a caller is told, best address first.
	Answer struct {
		Entries    []Entry `json:"entries"`
		TTLSeconds int     `json:"ttl_seconds"`
	}

	// candidate is a daemon that may be chosen.
	candidate struct {
		swim.Member

		hash  uint64 // of its name
		taken int    // shards dealt to it
	}
)

// Shard returns the shard of a program and of all its sub-agents. Without
// shards it is 0.
func Shard(program string, shards int) int {
	return shardOf(reqid.Hash(program), shards)
}

// RequestShard returns the shard of the program that a request belongs to, or
// false if the name is not one of ours.
func RequestShard(request string, shards int) (int, bool) {
	id, err := reqid.Parse(request)
	if err != nil {
		return 0, false
	}
	return shardOf(id.Root, shards), true
}

// Owner returns the daemon that owns the shard as far as is known here: of all
// claims the one with the highest epoch. A daemon that is down is no owner even
// if nobody claimed its shard since, because nothing reaches it.
func Owner(members []swim.Member, shard int) (owner swim.Member, found bool) {
	epoch := uint64(0)
	for _, m := range members {
		e, claims := claim(m, shard)
		if claims && (!found || e > epoch) {
			owner, epoch, found = m, e, true
		}
	}
	if owner.State == swim.Down {
		return swim.Member{}, false
	}
	return owner, found
}

// Preferred returns the daemon that should own the shard, by rendezvous
// hashing over those that are alive and not draining. It deals the shards out
// in order, each to its best daemon with room, so that no daemon of n gets
// more than ceil(shards/n)+1.
func Preferred(members []swim.Member, shard, shards int) (swim.Member, bool) {
	plan := Plan(members, shard+1, shards)
	if len(plan) == 0 {
		return swim.Member{}, false
	}
	return plan[shard], true
}

// Plan returns the daemons that should own the first n of the shards, or none
// if no daemon is alive.
func Plan(members []swim.Member, n, shards int) []swim.Member {
	live := alive(members)
	if len(live) == 0 {
		return nil
	}
	room := (shards+len(live)-1)/len(live) + 1
	plan := make([]swim.Member, n)
	for shard := range plan {
		best := heaviest(live, mix(uint64(shard)), room)
		live[best].taken++
		plan[shard] = live[best].Member
	}
	return plan
}

// Entries returns the addresses that a caller of the program should use: the
// owner first, then daemons that are alive, one failure domain after another,
// beginning with those that the owner is not in. Without a program it spreads
// callers over all. Daemons that drain, do not answer or are down are never
// named.
func Entries(members []swim.Member, program string, shards int) Answer {
	live := alive(members)
	seed := mix(xxhash.Sum64String(program))
	used := map[string]int{}
	answer := Answer{Entries: []Entry{}, TTLSeconds: TTLSeconds}
	owner, owned := Owner(members, Shard(program, shards))
	if owned && program != "" && owner.State == swim.Alive {
		answer.Entries = append(answer.Entries, entry(owner, true))
		used[owner.FailureDomain]++
		live = slices.DeleteFunc(live, func(c candidate) bool { return c.Name == owner.Name })
	}
	for len(live) > 0 && len(answer.Entries) < MaxEntries {
		next := freshest(live, seed, used)
		used[live[next].FailureDomain]++
		answer.Entries = append(answer.Entries, entry(live[next].Member, false))
		live = slices.Delete(live, next, next+1)
	}
	return answer
}

func shardOf(hash uint64, shards int) int {
	if shards <= 0 {
		return 0
	}
	return int(hash % uint64(shards))
}

func claim(m swim.Member, shard int) (epoch uint64, found bool) {
	for _, s := range m.Shards {
		if s.Shard == shard {
			return s.Epoch, true
		}
	}
	return 0, false
}

// alive returns the daemons that take new work.
func alive(members []swim.Member) []candidate {
	live := make([]candidate, 0, len(members))
	for _, m := range members {
		if m.State == swim.Alive {
			live = append(live, candidate{Member: m, hash: xxhash.Sum64String(m.Name)})
		}
	}
	return live
}

// heaviest returns the index of the daemon with the greatest weight among those
// that have taken less than room. The total room exceeds the number of shards,
// so there is always one.
func heaviest(live []candidate, seed uint64, room int) int {
	best, top := -1, uint64(0)
	for i, c := range live {
		if w := mix(c.hash ^ seed); c.taken < room && (best < 0 || w > top) {
			best, top = i, w
		}
	}
	return best
}

// freshest returns the index of the daemon whose failure domain was used
// least, and of several the one with the greatest weight.
func freshest(live []candidate, seed uint64, used map[string]int) int {
	best, fewest, top := -1, 0, uint64(0)
	for i, c := range live {
		n, w := used[c.FailureDomain], mix(c.hash^seed)
		if best < 0 || n < fewest || n == fewest && w > top {
			best, fewest, top = i, n, w
		}
	}
	return best
}

// mix spreads the bits of v over the whole word (the finalizer of
// splitmix64), so that a daemon's hash need be taken only once.
func mix(v uint64) uint64 {
	v += 0x9e3779b97f4a7c15
	v = (v ^ v>>30) * 0xbf58476d1ce4e5b9
	v = (v ^ v>>27) * 0x94d049bb133111eb
	return v ^ v>>31
}

func entry(m swim.Member, owner bool) Entry {
	return Entry{Address: m.Address, FailureDomain: m.FailureDomain, Owner: owner}
}
