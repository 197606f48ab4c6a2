// Package roster says which VMs hold the durable records, and decides when
// another VM takes a place.
//
// A roster has up to 2f+1 places, where f VMs with a disk may be lost at once.
// Each record is written to all places and acknowledged by f+1 of them, so it
// outlives f lost disks. Readers ask so many places that they meet every
// acknowledged write. A disk is told by its life, a random name written when
// the disk was empty: a VM that comes back with an empty disk has another life
// and must fill it before its answers count.
//
// Places change one at a time, by compare-and-swap of one value in the
// platform's store, and each change has a version. A place that was taken over is
// joining until the new VM has read all that the others hold. It first tells
// them the new version, from which on they refuse requests of older ones. So an
// acknowledgement under an older version either is among what the joining VM
// reads, or does not come about.
package roster

import (
	"encoding/json"
	"sort"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// TakeOver is how long a place's VM must be missing from the store's list
	// before another VM takes the place. Killed processes are back within two
	// seconds with their records; moving a place costs a copy of all records.
	TakeOver = 2500 * time.Millisecond
	// TakeOverNew is the same for a VM that has just started with an empty disk:
	// most likely it was put there in place of the one that is missing, and
	// until it has the records one more loss could not be borne.
	TakeOverNew = 800 * time.Millisecond
	// Gather is how long the first VMs wait for the others at the first start.
	// All start within 0.3 s of each other, and some are slow to start.
	Gather = 2500 * time.Millisecond
)

type (
	// Roster is one version of the places. It is immutable.
	Roster struct {
		Version uint64  `json:"version"`
		Losses  int     `json:"losses"` // disks that may be lost at once
		Places  []Place `json:"places"`
	}

	// Place is one holder of records.
	Place struct {
		Node    string `json:"node"`
		Address string `json:"address"` // for other daemons
		Domain  string `json:"domain"`
		Life    string `json:"life"`
		Joining bool   `json:"joining,omitempty"` // does not hold all records yet
	}

	// Member is a VM with a disk that is there, as the store lists it.
	Member struct {
		Node     string `json:"node"`
		Address  string `json:"address"`
		Domain   string `json:"domain"`
		Life     string `json:"life"`
		Retiring bool   `json:"retiring,omitempty"` // it is to be emptied
	}
)

// Decode reads a roster from the store.
func Decode(data []byte) (r Roster, err error) {
	err = json.Unmarshal(data, &r)
	return r, errors.Wrap(err, "decode roster")
}

// Encode returns the roster as it is stored.
func (r Roster) Encode() ([]byte, error) {
	data, err := json.Marshal(r)
	return data, errors.Wrap(err, "encode roster")
}

// Writes returns how many places must have a record before it is acknowledged.
func (r Roster) Writes() int { return r.Losses + 1 }

// Reads returns how many places must answer before a reader has met every
// acknowledged write. Places that are joining don't count.
func (r Roster) Reads() int { return max(len(r.Places)-r.Writes()+1, 1) }

// Certain returns how many places must say that they lack a record before it
// certainly does not exist. Places that have been replaced may live on and not
// know it, and the reader's roster may be as old; f of them must not be enough,
// also where the roster has so few places that one meets every write.
func (r Roster) Certain() int { return max(r.Reads(), min(r.Writes(), len(r.Places))) }

// Find returns the place with that life.
func (r Roster) Find(life string) (Place, bool) {
	for _, p := range r.Places {
		if p.Life == life {
			return p, true
		}
	}
	return Place{}, false
}

// Full returns the most places that a roster has.
func Full(losses int) int { return 2*losses + 1 }

// First returns the first roster, of the members that are there, spread over
// failure domains. It is false while too few are.
func First(members []Member, losses int) (Roster, bool) {
	if len(members) < losses+1 {
		return Roster{}, false
	}
	sort.Slice(members, func(i, j int) bool { return members[i].Node < members[j].Node })
	used := map[string]int{}
	r := Roster{Version: 1, Losses: losses}
	for len(r.Places) < min(Full(losses), len(members)) {
		best := -1
		for i, m := range members {
			if _, taken := r.Find(m.Life); taken {
				continue
			}
			if best < 0 || used[m.Domain] < used[members[best].Domain] {
				best = i
			}
		}
		used[members[best].Domain]++
		r.Places = append(r.Places, members[best].place())
	}
	return r, true
}

func (m Member) place() Place {
	return Place{Node: m.Node, Address: m.Address, Domain: m.Domain, Life: m.Life}
}

// with returns the next version, with place i held by the member, which joins.
func (r Roster) with(i int, m Member) Roster {
	next := r.copy()
	p := m.place()
	p.Joining = true
	if i == len(next.Places) {
		next.Places = append(next.Places, p)
	} else {
		next.Places[i] = p
	}
	return next
}

func (r Roster) copy() Roster {
	next := r
	next.Version++
	next.Places = append([]Place(nil), r.Places...)
	return next
}

// WithJoined returns the next version, in which the place with that life holds
// all records.
func (r Roster) WithJoined(life string) Roster {
	next := r.copy()
	for i := range next.Places {
		if next.Places[i].Life == life {
			next.Places[i].Joining = false
		}
	}
	return next
}

// WithAddress returns the next version, in which the place with that life is
// reached at another address.
func (r Roster) WithAddress(m Member) Roster {
	next := r.copy()
	for i := range next.Places {
		if next.Places[i].Life == m.Life {
			next.Places[i].Address = m.Address
		}
	}
	return next
}

// Claim returns the next version, in which self takes a place, if there is one
// to take: its own with a former life, one that is free, one whose VM is to be
// emptied, or one whose VM has been missing for that long. Missing tells since when
// a node has not been listed. While another place is joining, none is taken that
// holds records: two at once could leave too few that hold them all.
func (r Roster) Claim(now time.Time, self Member, members []Member, missing map[string]time.Time, long time.Duration) (Roster, bool) {
	if _, in := r.Find(self.Life); in || self.Retiring {
		return Roster{}, false
	}
	for i, p := range r.Places {
		if p.Node == self.Node {
			return r.with(i, self), true
		}
	}
	if len(r.Places) < Full(r.Losses) {
		return r.with(len(r.Places), self), true
	}
	if !r.Next(self, members) {
		return Roster{}, false
	}
	retiring := map[string]bool{}
	for _, m := range members {
		retiring[m.Life] = m.Retiring
	}
	for i, p := range r.Places {
		since, gone := missing[p.Node]
		if gone && now.Sub(since) >= long || retiring[p.Life] {
			if r.joining(i) {
				return Roster{}, false
			}
			return r.with(i, self), true
		}
	}
	return Roster{}, false
}

// joining tells whether a place other than i is joining.
func (r Roster) joining(i int) bool {
	for j, p := range r.Places {
		if j != i && p.Joining {
			return true
		}
	}
	return false
}

// Next tells whether self is the first of the members without a place, so that
// one of them claims and the others don't conflict with it.
func (r Roster) Next(self Member, members []Member) bool { return r.Line(self, members) == 0 }

// Line returns how many VMs would take the next free place before this one.
func (r Roster) Line(self Member, members []Member) (n int) {
	for _, m := range members {
		if _, in := r.Find(m.Life); !in && !m.Retiring && m.Node < self.Node {
			n++
		}
	}
	return n
}

// Without returns the next version without the place of that life, whose
// records all others hold.
func (r Roster) Without(life string) Roster {
	next := r.copy()
	next.Places = nil
	for _, p := range r.Places {
		if p.Life != life {
			next.Places = append(next.Places, p)
		}
	}
	return next
}
