package mesh

import "strconv"

// Demand counts the requests that compete for limits of accounts and for engines. Releases
// without it ignore the field and send none.
type Demand struct {
	Waiting map[ID]int `cbor:"1,keyasint,omitempty"` // requests that wait for their account's limit, by account
	Begun   map[ID]int `cbor:"2,keyasint,omitempty"` // sizes of programs that were admitted recently, in tenths of the mean size, by account
	Queued  map[ID]int `cbor:"3,keyasint,omitempty"` // programs that wait for engines, by QueueID
	Running map[ID]int `cbor:"4,keyasint,omitempty"` // turns in flight at engines, by account; reported only while programs wait
}

// QueueID is the hash of a service's queue of programs of one priority.
func QueueID(service string, priority int) ID {
	return IDOf(service + "\x00" + strconv.Itoa(priority))
}

func newDemand() Demand {
	return Demand{Waiting: map[ID]int{}, Begun: map[ID]int{}, Queued: map[ID]int{}, Running: map[ID]int{}}
}

// add adds the counts of o to the maps of d, which must not be nil.
func (d Demand) add(o Demand) {
	addCounts(d.Waiting, o.Waiting)
	addCounts(d.Begun, o.Begun)
	addCounts(d.Queued, o.Queued)
	addCounts(d.Running, o.Running)
}

// without returns the counts less those of o.
func (d Demand) without(o Demand) Demand {
	return Demand{
		Waiting: without(d.Waiting, o.Waiting), Begun: without(d.Begun, o.Begun),
		Queued: without(d.Queued, o.Queued), Running: without(d.Running, o.Running),
	}
}

// busiest returns so many counts of each kind at most, the largest.
func (d Demand) busiest(most int) Demand {
	return Demand{
		Waiting: busiest(d.Waiting, most), Begun: busiest(d.Begun, most),
		Queued: busiest(d.Queued, most), Running: busiest(d.Running, most),
	}
}

// addCounts adds counts to those in total.
func addCounts(total, counts map[ID]int) {
	for id, n := range counts {
		total[id] += n
	}
}
