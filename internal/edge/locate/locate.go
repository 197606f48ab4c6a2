// Package locate maps programs to daemons: the shard of a program, the daemon that
// owns the shard, the daemon that should own it, and the addresses that a caller
// of the program should use.
//
// All functions are pure and work on a member list that may be stale. A wrong
// result costs a relayed request or another lookup, never a request that runs
// twice: the owner itself checks that it owns the shard.
package locate

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/slaterock/slaterock/internal/edge/reqid"
	"github.com/slaterock/slaterock/internal/peer/swim"
)

const (
	// TTLSeconds is how long a caller may cache an answer. A draining daemon
	// keeps serving for at least as long, so that callers with a cached
	// address are not disconnected.
	TTLSeconds = 5
	// MaxEntries bounds the addresses in one answer: enough to reach a daemon
	// if a failure domain fails. The limit keeps the answer small if there are
	// hundreds of daemons.
	MaxEntries = 6
)

type (
	// Entry is one address that callers may use.
	Entry struct {
		Address       string `json:"address"`
		FailureDomain string `json:"failure_domain"`
		Owner         bool   `json:"owner,omitempty"` // owns the program's shard
	}

	// Answer is the response body for a caller, best address first.
	Answer struct {
		Entries    []Entry `json:"entries"`
		TTLSeconds int     `json:"ttl_seconds"`
	}

	// candidate is an alive daemon.
	candidate struct {
		swim.Member

		hash     uint64 // of its name
		assigned int    // number of shards assigned to it
	}
)

// Shard returns the shard of a program and of all its sub-agents. If shards is 0
// it returns 0.
func Shard(program string, shards int) int {
	return shardOf(reqid.Hash(program), shards)
}

// RequestShard returns the shard of the program that a request belongs to, or
// false if the request id is malformed.
func RequestShard(request string, shards int) (int, bool) {
	id, err := reqid.Parse(request)
	if err != nil {
		return 0, false
	}
	return shardOf(id.RootHash, shards), true
}

// Owner returns the daemon that owns the shard according to members: the one whose
// claim has the highest epoch. If that daemon is down, found is false, even if another
// daemon has a claim with a lower epoch: only the latest owner may run the shard's
// programs.
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

// Preferred returns the daemon that should own the shard, by rendezvous hashing
// over the daemons that are alive and not draining. Shards are assigned in order,
// each to the daemon of highest weight with free capacity, so that none of n
// daemons gets more than ceil(shards/n)+1.
func Preferred(members []swim.Member, shard, shards int) (swim.Member, bool) {
	plan := Plan(members, shard+1, shards)
	if len(plan) == 0 {
		return swim.Member{}, false
	}
	return plan[shard], true
}

// Plan returns the daemons that should own the first n of the shards, by shard, or
// nil if no daemon is alive.
func Plan(members []swim.Member, n, shards int) []swim.Member {
	live := alive(members)
	if len(live) == 0 {
		return nil
	}
	capacity := (shards+len(live)-1)/len(live) + 1
	plan := make([]swim.Member, n)
	for shard := range plan {
		best := highestWeight(live, mix(uint64(shard)), capacity)
		live[best].assigned++
		plan[shard] = live[best].Member
	}
	return plan
}

// Entries returns the addresses that a caller of the program should use: the owner
// first if it is alive, then other alive daemons, each from the failure domain with
// the fewest entries so far, up to MaxEntries addresses. If program is empty, no
// entry is marked as owner, and draw, a random number, takes the place of the program's
// hash. Draining, suspect and down daemons are never included.
func Entries(members []swim.Member, program string, shards int, draw uint64) Answer {
	live := alive(members)
	seed := mix(xxhash.Sum64String(program))
	if program == "" {
		seed = mix(draw)
	}
	used := map[string]int{}
	answer := Answer{Entries: []Entry{}, TTLSeconds: TTLSeconds}
	owner, owned := Owner(members, Shard(program, shards))
	if owned && program != "" && owner.State == swim.Alive {
		answer.Entries = append(answer.Entries, entry(owner, true))
		used[owner.FailureDomain]++
		live = slices.DeleteFunc(live, func(c candidate) bool { return c.Name == owner.Name })
	}
	for len(live) > 0 && len(answer.Entries) < MaxEntries {
		next := inLeastUsedDomain(live, seed, used)
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

// alive returns the daemons that accept new work.
func alive(members []swim.Member) []candidate {
	live := make([]candidate, 0, len(members))
	for _, m := range members {
		if m.State == swim.Alive {
			live = append(live, candidate{Member: m, hash: xxhash.Sum64String(m.Name)})
		}
	}
	return live
}

// highestWeight returns the index of the daemon with the highest weight among those
// with fewer shards than capacity. The total capacity exceeds the number of shards,
// so there always is one.
func highestWeight(live []candidate, seed uint64, capacity int) int {
	best, top := -1, uint64(0)
	for i, c := range live {
		if w := mix(c.hash ^ seed); c.assigned < capacity && (best < 0 || w > top) {
			best, top = i, w
		}
	}
	return best
}

// inLeastUsedDomain returns the index of a daemon in the failure domain with the
// fewest entries so far; ties go to the highest weight.
func inLeastUsedDomain(live []candidate, seed uint64, used map[string]int) int {
	best, fewest, top := -1, 0, uint64(0)
	for i, c := range live {
		n, w := used[c.FailureDomain], mix(c.hash^seed)
		if best < 0 || n < fewest || n == fewest && w > top {
			best, fewest, top = i, n, w
		}
	}
	return best
}

// mix is one step of splitmix64. The weight of a daemon for a shard or program is
// mix(hash of its name XOR seed), so that each name is hashed only once.
func mix(v uint64) uint64 {
	v += 0x9e3779b97f4a7c15
	v = (v ^ v>>30) * 0xbf58476d1ce4e5b9
	v = (v ^ v>>27) * 0x94d049bb133111eb
	return v ^ v>>31
}

func entry(m swim.Member, owner bool) Entry {
	return Entry{Address: m.Address, FailureDomain: m.FailureDomain, Owner: owner}
}
