package roster

import (
	"slices"
	"time"
)

type (
	// world is a state of the VMs, their disks and the roster, with one acknowledged record.
	world struct {
		roster Roster
		vms    [searchVMs]vm
		losses int // until the roster is complete again
		gone   int // VMs that were lost and have no successor yet
		// lasting has a lost VM count until it has a successor, also where another one has its place, and VMs that can't be emptied
		// have to serve.
		lasting bool
		acked   bool // the record
	}

	// vm is a VM with a disk. A disk that was lost is no VM's any more.
	vm struct {
		up, retiring bool
		successor    bool // of a lost VM, and not a complete replica yet
		disk         int
		id           string // of the disk
		has          bool   // the record
	}
)

func node(i int) string { return string(rune('a' + i)) }

// newDisk gives the VM an empty disk.
func (v *vm) newDisk(i int) {
	v.disk, v.has = v.disk+1, false
	v.id = node(i) + string(rune('0'+v.disk))
}

func (w *world) member(i int) Member {
	v := w.vms[i]
	return Member{Node: node(i), Address: node(i), Domain: node(i), DiskID: v.id, Retiring: v.retiring}
}

func (w *world) members() (list []Member) {
	for i, v := range w.vms {
		if v.up {
			list = append(list, w.member(i))
		}
	}
	return list
}

// live returns the VM that has that disk and is up; -1 for none.
func (w *world) live(diskID string) int {
	for i, v := range w.vms {
		if v.up && v.id == diskID {
			return i
		}
	}
	return -1
}

// key identifies a state: lost disks are alike, and versions don't matter.
func (w *world) key() string {
	b := make([]byte, 0, 64)
	bit := func(set bool) byte {
		if set {
			return 1
		}
		return 0
	}
	disk := func(diskID string) byte {
		for i, v := range w.vms {
			if v.id == diskID {
				return byte(i)
			}
		}
		return searchVMs + bit(diskID == "")
	}
	for _, p := range w.roster.Replicas {
		b = append(b, p.Node[0], disk(p.DiskID), disk(p.Source.DiskID), bit(p.Joining)<<1|bit(p.Added))
	}
	for _, v := range w.vms {
		b = append(b, bit(v.successor)<<3|bit(v.up)<<2|bit(v.retiring)<<1|bit(v.has))
	}
	return string(append(b, byte(w.losses), byte(w.gone), bit(w.acked)))
}

func (w *world) complete() bool {
	whole := len(w.roster.Replicas) == MaxReplicas(w.roster.MaxFailures) || len(w.roster.Replicas) >= w.usable()
	return whole && !slices.ContainsFunc(w.roster.Replicas, func(p Replica) bool { return p.Joining || w.live(p.DiskID) < 0 })
}

// recover has losses no longer count: once the roster is complete, or, in a lasting world, once each lost VM has a successor and
// all VMs that are not spares are complete replicas.
func (w *world) recover() {
	whole := true
	for i := range w.vms {
		v := &w.vms[i]
		p, in := w.roster.Find(v.id)
		replica := in && !p.Joining
		if v.up && v.successor && replica {
			v.successor, w.gone = false, max(w.gone-1, 0)
		}
		if v.up && !replica && (!v.retiring || w.names(i)) {
			whole = false
		}
	}
	for i := range w.vms {
		w.vms[i].successor = w.vms[i].successor && w.gone > 0
	}
	if w.complete() && (!w.lasting || w.gone == 0) || w.lasting && w.gone == 0 && whole {
		w.losses = 0
	}
}

// excused reports whether too few VMs are left to serve.
func (w *world) excused() bool {
	if w.lasting {
		return w.able() < w.roster.WriteQuorum()
	}
	return w.usable() < w.roster.WriteQuorum()
}

// names reports whether the roster names a VM, maybe with a disk that is lost.
func (w *world) names(i int) bool {
	return w.roster.Names(node(i))
}

// able returns the number of VMs that are up and have not been emptied.
func (w *world) able() (n int) {
	for i, v := range w.vms {
		if v.up && (!v.retiring || w.names(i)) {
			n++
		}
	}
	return n
}

// usable returns the number of VMs that are up and not to be emptied.
func (w *world) usable() (n int) {
	for _, v := range w.vms {
		if v.up && !v.retiring {
			n++
		}
	}
	return n
}

func (w *world) lose() bool {
	if w.losses >= w.roster.MaxFailures {
		return false
	}
	w.losses++
	return true
}

// claim has a VM's daemon claim a place. VMs that are not up have been missing for long.
func (w *world) claim(i int) bool {
	missing := map[string]time.Time{}
	for k, v := range w.vms {
		if !v.up {
			missing[node(k)] = now.Add(-TakeoverDelay)
		}
	}
	next, ok := w.roster.Claim(now, w.member(i), w.members(), missing, TakeoverDelay)
	if w.vms[i].up && ok {
		w.roster = next
		return true
	}
	return false
}

// join has a VM's daemon copy the records, and join if it has copied from enough.
func (w *world) join(i int) bool {
	p, in := w.roster.Find(w.vms[i].id)
	if !w.vms[i].up || !in || !p.Joining {
		return false
	}
	if source := w.live(p.Source.DiskID); source >= 0 {
		w.vms[i].has = w.vms[i].has || w.vms[source].has
		w.roster = w.roster.WithJoined(p.DiskID)
		return true
	}
	copied := 0
	for _, q := range w.roster.Replicas {
		if k := w.live(q.DiskID); k >= 0 && k != i && !q.Joining && copied < w.roster.ReadQuorum() {
			w.vms[i].has = w.vms[i].has || w.vms[k].has
			copied++
		}
	}
	if copied < w.roster.ReadQuorum() && !p.Added {
		return false
	}
	w.roster = w.roster.WithJoined(p.DiskID)
	return true
}

// resign has a VM that is to be emptied give its place up if no other can take it.
func (w *world) resign(i int) bool {
	id := w.vms[i].id
	_, in := w.roster.Find(id)
	spare := false
	for _, m := range w.members() {
		_, has := w.roster.Find(m.DiskID)
		spare = spare || !has && !m.Retiring
	}
	others := !slices.ContainsFunc(w.roster.Replicas, func(p Replica) bool { return p.Joining || w.live(p.DiskID) < 0 })
	if !w.vms[i].up || !w.vms[i].retiring || !in || spare || !others || len(w.roster.Replicas) <= w.roster.WriteQuorum() {
		return false
	}
	for _, p := range w.roster.Replicas {
		k := w.live(p.DiskID)
		w.vms[k].has = w.vms[k].has || w.vms[i].has
	}
	w.roster = w.roster.Without(id)
	return true
}

// remove has the operator take a VM away that reports to be empty.
func (w *world) remove(i int) bool {
	v := &w.vms[i]
	if !v.up || !v.retiring || w.names(i) || w.roster.Joining() > 0 {
		return false
	}
	v.up, v.retiring = false, false
	v.newDisk(i)
	return true
}

// daemons are the events that come by themselves, of VM i.
func daemons(i int) []event {
	return []event{
		{"claim", func(w *world) bool { return w.claim(i) }},
		{"join", func(w *world) bool { return w.join(i) }},
		{"resign", func(w *world) bool { return w.resign(i) }},
	}
}

// troubles are the events of VM i that operators and failures bring.
func troubles(i int) []event {
	return []event{
		{"remove", func(w *world) bool { return w.remove(i) }},
		{"retire", func(w *world) bool {
			v := &w.vms[i]
			was := v.retiring
			v.retiring = true
			return v.up && !was && w.usable() > w.roster.MaxFailures
		}},
		{"cancel", func(w *world) bool {
			v := &w.vms[i]
			was := v.retiring
			v.retiring = false
			return v.up && was
		}},
		{"lose disk", func(w *world) bool {
			v := &w.vms[i]
			v.newDisk(i)
			return v.up && w.lose()
		}},
		{"lose VM", func(w *world) bool {
			v := &w.vms[i]
			was := v.up
			v.up = false
			if w.lasting {
				w.gone++
			}
			return was && w.lose()
		}},
		{"come back", func(w *world) bool { // or a new VM
			v := &w.vms[i]
			was := v.up
			v.up = true
			v.successor = w.gone > 0
			return !was
		}},
	}
}
