// Package roster is the membership of the replicated durable records: it lists the VMs
// that store them, and decides when a VM replaces another.
//
// A roster has up to 2f+1 replicas, where f VMs with a disk may be lost at once. Each
// record is written to f+1 replicas or more and acknowledged once f+1 have synced it, so
// that it outlives f lost disks. A read quorum intersects every write quorum. A disk is
// identified by its disk ID, which is random and written when the disk is empty: a VM
// that restarts with an empty disk has another disk ID and must copy the records before
// its answers count.
//
// Replicas change one at a time, by compare-and-swap of one value in the platform's
// store, and each change has a version. A new replica is joining until its VM has copied
// the records of the others. Its first request tells them the new version, and from then
// on they refuse requests under older ones. A write under an older version is therefore
// either part of the copy or not acknowledged.
package roster

import (
	"encoding/json"
	"sort"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// TakeoverDelay is how long a replica's VM must be missing from the store's list
	// before another VM replaces it. Killed processes restart within two seconds with
	// their records; a replacement costs a copy of all records.
	TakeoverDelay = 2500 * time.Millisecond
	// TakeoverDelayEmptyDisk is the same for a VM that has just started with an empty
	// disk: most likely it was started to replace the missing one, and until it has
	// the records the loss of one more disk could not be tolerated.
	TakeoverDelayEmptyDisk = 800 * time.Millisecond
	// BootstrapWait is how long the first VMs wait for the others at the first start.
	// They are started within 0.3 s of each other, but some take longer to start.
	BootstrapWait = 2500 * time.Millisecond
)

type (
	// Roster is one version of the list of replicas. It is immutable.
	Roster struct {
		Version     uint64    `json:"version"`
		MaxFailures int       `json:"losses"` // f, the number of disks that may be lost at once
		Replicas    []Replica `json:"places"`
	}

	// Replica is a VM that stores records.
	Replica struct {
		Node    string `json:"node"`
		Address string `json:"address"` // for other daemons
		Domain  string `json:"domain"`
		DiskID  string `json:"life"`
		Joining bool   `json:"joining,omitempty"` // has not copied all records yet
		// Source is the complete replica that this one takes over from while that is being retired. Its
		// records, and what this one got since, are a complete replica's. Zero for none, and once joined.
		Source Source `json:"source,omitzero"`
		// Added tells that this replica joins as an additional one. Whatever was acknowledged has a write
		// quorum without it, so it needs no record to be complete, and waits for no other replica.
		Added bool `json:"added,omitempty"`
	}

	// Source is a VM that is no replica any more and still has a replica's records.
	Source struct {
		Node    string `json:"node"`
		Address string `json:"address"`
		DiskID  string `json:"life"`
	}

	// Member is a running VM with a disk, as listed in the store.
	Member struct {
		Node     string `json:"node"`
		Address  string `json:"address"`
		Domain   string `json:"domain"`
		DiskID   string `json:"life"`
		Retiring bool   `json:"retiring,omitempty"` // its records are to be moved off
	}
)

// Decode decodes a roster as it is stored.
func Decode(data []byte) (r Roster, err error) {
	err = json.Unmarshal(data, &r)
	return r, errors.Wrap(err, "decode roster")
}

// Encode returns the roster as JSON.
func (r Roster) Encode() ([]byte, error) {
	data, err := json.Marshal(r)
	return data, errors.Wrap(err, "encode roster")
}

// WriteQuorum returns how many replicas must have synced a record before it is
// acknowledged.
func (r Roster) WriteQuorum() int { return r.MaxFailures + 1 }

// ReadQuorum returns how many replicas must answer so that one of them has any given
// acknowledged write. Answers of joining replicas don't count.
func (r Roster) ReadQuorum() int { return max(len(r.Replicas)-r.WriteQuorum()+1, 1) }

// AbsenceQuorum returns how many replicas must answer that they lack a record before the
// record is known not to exist. It is at least f+1, or all replicas, also if the roster has
// so few that the read quorum is one: with a stale roster, up to f of the VMs that answer
// may have been replaced without knowing it, and lack newer records.
func (r Roster) AbsenceQuorum() int {
	return max(r.ReadQuorum(), min(r.WriteQuorum(), len(r.Replicas)))
}

// Find returns the replica with that disk ID.
func (r Roster) Find(diskID string) (Replica, bool) {
	for _, p := range r.Replicas {
		if p.DiskID == diskID {
			return p, true
		}
	}
	return Replica{}, false
}

// MaxReplicas returns the maximum number of replicas of a roster.
func MaxReplicas(maxFailures int) int { return 2*maxFailures + 1 }

// Initial returns the first roster, of running members, spread over failure domains. It
// returns false if there are too few.
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

// withReplica returns the next version, in which the member is replica i and is joining.
func (r Roster) withReplica(i int, m Member) Roster {
	next := r.copy()
	p := m.replica()
	p.Joining = true
	if i == len(next.Replicas) {
		p.Added = true
		next.Replicas = append(next.Replicas, p)
	} else {
		next.Replicas[i] = p
	}
	return next
}

// copy returns a copy with the next version number.
func (r Roster) copy() Roster {
	next := r
	next.Version++
	next.Replicas = append([]Replica(nil), r.Replicas...)
	return next
}

// WithJoined returns the next version, in which the replica with that disk ID has copied
// all records.
func (r Roster) WithJoined(diskID string) Roster {
	next := r.copy()
	for i := range next.Replicas {
		if next.Replicas[i].DiskID == diskID {
			p := &next.Replicas[i]
			p.Joining, p.Source, p.Added = false, Source{}, false
		}
	}
	return next
}

// WithAddress returns the next version, in which the member's replica has the member's
// address.
func (r Roster) WithAddress(m Member) Roster {
	next := r.copy()
	for i := range next.Replicas {
		if next.Replicas[i].DiskID == m.DiskID {
			next.Replicas[i].Address = m.Address
		}
	}
	return next
}

// Claim returns the next version, in which self becomes a replica, if it can: in place of
// a former disk of the same node, in place of a VM that has been missing for minMissing, if self is
// the next claimant, as an additional replica, or in place of one that is retiring, likewise.
// MissingSince has the time since which a node has not been listed. While another replica
// is joining, no retiring or missing VM is replaced: two replacements at once could leave
// too few complete replicas. A disk that was lost meanwhile may join beside the successor of
// a retiring VM, which needs no other replica: it copies from that VM. A replica that is
// joining is not replaced for being retired: its successor would have no source. One whose disk
// was lost is: its VM, which is being retired, claims its place only if no other can.
//
// While a VM is missing, no other place is claimed than its own: nobody would be left for it, and it would
// count as lost for good.
func (r Roster) Claim(now time.Time, self Member, members []Member, missingSince map[string]time.Time, minMissing time.Duration) (Roster, bool) {
	if _, in := r.Find(self.DiskID); in {
		return Roster{}, false
	}
	for i, p := range r.Replicas {
		if p.Node == self.Node && (!self.Retiring || !r.HasSpare(members)) {
			return r.withReplica(i, self), true
		}
	}
	if self.Retiring {
		return Roster{}, false
	}
	if r.anyMissing(missingSince) {
		return r.claimMissing(now, self, members, missingSince, minMissing)
	}
	if len(r.Replicas) < MaxReplicas(r.MaxFailures) {
		return r.withReplica(len(r.Replicas), self), true
	}
	for i := range r.Replicas {
		source, leaves := r.leaves(i, members)
		if leaves && !r.otherJoining(i) && r.IsNextClaimant(self, members) {
			next := r.withReplica(i, self)
			next.Replicas[i].Source = source
			return next, true
		}
	}
	return Roster{}, false
}

// claimMissing returns the next version in which self, if it is the next claimant, takes the place of a VM that has been missing
// for minMissing.
func (r Roster) claimMissing(now time.Time, self Member, members []Member, missingSince map[string]time.Time, minMissing time.Duration) (Roster, bool) {
	for i, p := range r.Replicas {
		since, missing := missingSince[p.Node]
		gone := missing && now.Sub(since) >= minMissing
		if gone && !r.otherJoining(i) && r.IsNextClaimant(self, members) { // the one that joins may itself have to be replaced
			return r.withReplica(i, self), true
		}
	}
	return Roster{}, false
}

// leaves reports whether the VM of replica i is being retired and may be replaced, and the VM as a source if it still has the disk.
func (r Roster) leaves(i int, members []Member) (source Source, leaves bool) {
	p := r.Replicas[i]
	for _, m := range members {
		switch {
		case m.Node != p.Node || !m.Retiring:
		case m.DiskID != p.DiskID:
			return Source{}, true
		case !p.Joining: // one that joins is to be complete first, as a source
			return Source{Node: p.Node, Address: p.Address, DiskID: p.DiskID}, true
		}
	}
	return Source{}, false
}

// HasSpare reports whether a member that is not retiring, and has no place of its own, could become a replica.
func (r Roster) HasSpare(members []Member) bool {
	for _, m := range members {
		if !r.Names(m.Node) && !m.Retiring {
			return true
		}
	}
	return false
}

// anyMissing reports whether the VM of a replica is missing.
func (r Roster) anyMissing(missingSince map[string]time.Time) bool {
	for _, p := range r.Replicas {
		if _, missing := missingSince[p.Node]; missing {
			return true
		}
	}
	return false
}

// Names reports whether the roster names the node, maybe with a disk that it no longer has.
func (r Roster) Names(node string) bool {
	for _, p := range r.Replicas {
		if p.Node == node {
			return true
		}
	}
	return false
}

// Joining returns how many replicas are joining.
func (r Roster) Joining() (n int) {
	for _, p := range r.Replicas {
		if p.Joining {
			n++
		}
	}
	return n
}

// otherJoining reports whether a replica other than i is joining.
func (r Roster) otherJoining(i int) bool {
	for j, p := range r.Replicas {
		if j != i && p.Joining {
			return true
		}
	}
	return false
}

// IsNextClaimant reports whether self is the first of the members that are not replicas.
// Only that one replaces a retiring or missing VM, so that their writes to the store don't
// conflict.
func (r Roster) IsNextClaimant(self Member, members []Member) bool {
	return r.ClaimPosition(self, members) == 0
}

// ClaimPosition returns how many members have priority over self to become a replica.
func (r Roster) ClaimPosition(self Member, members []Member) (n int) {
	for _, m := range members {
		if _, in := r.Find(m.DiskID); !in && !m.Retiring && m.Node < self.Node {
			n++
		}
	}
	return n
}

// Without returns the next version without the replica of that disk ID. All others must
// have its records.
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
