package swim

import "time"

// noteOwnCall notes a successful call of this daemon to the store.
func (ms *Membership) noteOwnCall(at time.Time) {
	if !at.After(ms.storeReached) {
		return
	}
	ms.storeReached, ms.lastCall = at, StoreCall{}
	if ms.self.Name == "" {
		return
	}
	ms.lastCall = StoreCall{Name: ms.self.Name, Incarnation: ms.self.Incarnation, Serial: ms.storeCalls[ms.self.Name].Serial + 1}
	ms.learnCall(ms.lastCall)
}

// mergeStoreCall dates the call to the store that a packet reports.
//
// Only the first report of a call dates it. Age does not include the packet's transit time:
// if later reports counted, daemons that tell each other of one call would take it for a
// later one with each exchange, and in a long outage an owner would conclude that others
// reach the store.
func (ms *Membership) mergeStoreCall(now time.Time, p Packet) {
	if p.Age < 0 || p.Call != (StoreCall{}) && !ms.learnCall(p.Call) {
		return
	}
	if at := now.Add(-p.Age); at.After(ms.storeReached) {
		ms.storeReached, ms.lastCall = at, p.Call
	}
}

// learnCall reports whether the call is newer than the newest that is known of its daemon,
// and notes it.
func (ms *Membership) learnCall(c StoreCall) bool {
	if known := ms.storeCalls[c.Name]; !c.after(known) {
		return false
	}
	if ms.storeCalls == nil {
		ms.storeCalls = map[string]StoreCall{}
	}
	ms.storeCalls[c.Name] = c
	return true
}

// after reports whether c is later than d, a call of the same daemon.
func (c StoreCall) after(d StoreCall) bool {
	if c.Incarnation != d.Incarnation {
		return c.Incarnation > d.Incarnation
	}
	return c.Serial > d.Serial
}
