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
	TakeoverDelay = 2500 * time.Millisecond
	// TakeOverNew is the same for a VM that has just started with an empty disk:
	// most likely it was put there in place of the one that is missing, and
	// until it has the records one more loss could not be borne.
	TakeoverDelayEmptyDisk = 800 * time.Millisecond
	// Gather is how long the first VMs wait for the others at the first start.
	// All start within 0.3 s of each other, and some are slow to start.
	BootstrapWait = 2500 * time.Millisecond
)

type (
	// Roster is one version of the places. It is immutable.
	Roster struct {
		Version     uint64    `json:"version"`
		MaxFailures int       `json:"losses"` // disks that may be lost at once
		Replicas    []Replica `json:"places"`
	}

	// Place is one holder of records.
	Replica struct {
		Node    string `json:"node"`
		Address string `json:"address"` // for other daemons
		Domain  string `json:"domain"`
		DiskID  string `json:"life"`
		Joining bool   `json:"joining,omitempty"` // does not hold all records yet
	}

	// Member is a VM with a disk that is there, as the store lists it.
	Member struct {
		Node     string `json:"node"`
		Address  string `json:"address"`
		Domain   string `json:"domain"`
		DiskID   string `json:"life"`
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
func (r Roster) WriteQuorum() int { return r.MaxFailures + 1 }

// Reads returns how many places must answer before a reader has met every
// acknowledged write. Places that are joining don't count.
func (r Roster) ReadQuorum() int { return max(len(r.Replicas)-r.WriteQuorum()+1, 1) }

// Certain returns how many places must say that they lack a record before it
// certainly does not exist. Places that have been replaced may live on and not
// know it, and the reader's roster may be as old; f of them must not be enough,
// also where the roster has so few places that one meets every write.
func (r Roster) AbsenceQuorum() int {
	return max(r.ReadQuorum(), min(r.WriteQuorum(), len(r.Replicas)))
}

// Find returns the place with that life.
func (r Roster) Find(diskID string) (Replica, bool) {
	for _, p := range r.Replicas {
		if p.DiskID == diskID {
			return p, true
		}
	}
	return Replica{}, false
}

// Full returns the most places that a roster has.
func MaxReplicas(maxFailures int) int { return 2*maxFailures + 1 }

// First returns the first roster, of the members that are there, spread over
// failure domains. It is false while too few are.
func Initial(members []Member, maxFailures int) (Roster, bool) {
	if len(members) < maxFailures+1 {
		return Roster{}, false
	}
	sort.Slice(members, func(i, j int) bool { return members[i].Node < members[j].Node })
	used := map[string]int{}
	r := Roster{Version: 1, MaxFailures: maxFailures}
	for len(r.Replicas) < min(MaxReplicas(maxFailures), len(members)) {
		best := -1
		for i, m := range members {
			if _, taken := r.Find(m.DiskID); taken {
				continue
			}
			if best < 0 || used[m.Domain] < used[members[best].Domain] {
				best = i
			}
		}
		used[members[best].Domain]++
		r.Replicas = append(r.Replicas, members[best].replica())
	}
	return r, true
}

func (m Member) replica() Replica {
	return Replica{Node: m.Node, Address: m.Address, Domain: m.Domain, DiskID: m.DiskID}
}

// with returns the next version, with place i held by the member, which joins.
func (r Roster) withReplica(i int, m Member) Roster {
	next := r.copy()
	p := m.replica()
	p.Joining = true
	if i == len(next.Replicas) {
		next.Replicas = append(next.Replicas, p)
	} else {
		next.Replicas[i] = p
	}
	return next
}

func (r Roster) copy() Roster {
	next := r
	next.Version++
	next.Replicas = append([]Replica(nil), r.Replicas...)
	return next
}

// WithJoined returns the next version, in which the place with that life holds
// all records.
func (r Roster) WithJoined(diskID string) Roster {
	next := r.copy()
	for i := range next.Replicas {
		if next.Replicas[i].DiskID == diskID {
			next.Replicas[i].Joining = false
		}
	}
	return next
}

// WithAddress returns the next version, in which the place with that life is
// reached at another address.
func (r Roster) WithAddress(m Member) Roster {
	next := r.copy()
	for i := range next.Replicas {
		if next.Replicas[i].DiskID == m.DiskID {
			next.Replicas[i].Address = m.Address
		}
	}
	return next
}

// Claim returns the next version, in which self takes a place, if there is one
// to take: its own with a former life, one that is free, one whose VM is to be
// emptied, or one whose VM has been missing for that long. Missing tells since when
// a node has not been listed. While another place is joining, none is taken that
// holds records: two at once could leave too few that hold them all.
func (r Roster) Claim(now time.Time, self Member, members []Member, missingSince map[string]time.Time, minMissing time.Duration) (Roster, bool) {
	if _, in := r.Find(self.DiskID); in || self.Retiring {
		return Roster{}, false
	}
	for i, p := range r.Replicas {
		if p.Node == self.Node {
			return r.withReplica(i, self), true
		}
	}
	if len(r.Replicas) < MaxReplicas(r.MaxFailures) {
		return r.withReplica(len(r.Replicas), self), true
	}
	if !r.IsNextClaimant(self, members) {
		return Roster{}, false
	}
	retiring := map[string]bool{}
	for _, m := range members {
		retiring[m.DiskID] = m.Retiring
	}
	for i, p := range r.Replicas {
		since, gone := missingSince[p.Node]
		if gone && now.Sub(since) >= minMissing || retiring[p.DiskID] {
			if r.otherJoining(i) {
				return Roster{}, false
			}
			return r.withReplica(i, self), true
		}
	}
	return Roster{}, false
}

// joining tells whether a place other than i is joining.
func (r Roster) otherJoining(i int) bool {
	for j, p := range r.Replicas {
		if j != i && p.Joining {
			return true
		}
	}
	return false
}

// Next tells whether self is the first of the members without a place, so that
// one of them claims and the others don't conflict with it.
func (r Roster) IsNextClaimant(self Member, members []Member) bool {
	return r.ClaimPosition(self, members) == 0
}

// Line returns how many VMs would take the next free place before this one.
func (r Roster) ClaimPosition(self Member, members []Member) (n int) {
	for _, m := range members {
		if _, in := r.Find(m.DiskID); !in && !m.Retiring && m.Node < self.Node {
			n++
		}
	}
	return n
}

// Without returns the next version without the place of that life, whose
// records all others hold.
func (r Roster) Without(diskID string) Roster {
	next := r.copy()
	next.Replicas = nil
	for _, p := range r.Replicas {
		if p.DiskID != diskID {
			next.Replicas = append(next.Replicas, p)
		}
	}
	return next
}
