package admit

import (
	"maps"
	"sync"
)

// Running counts the turns in flight at engines by account: those of this daemon, and those
// that others report. The zero value is ready.
type Running struct {
	mu    sync.Mutex
	own   map[string]int // no value is 0
	peers map[string]int
}

// Begin counts a turn of an account of this daemon, until End is called.
func (r *Running) Begin(account string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.own == nil {
		r.own = map[string]int{}
	}
	r.own[account]++
}

// End removes a turn that Begin counted.
func (r *Running) End(account string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.own[account]--; r.own[account] == 0 {
		delete(r.own, account)
	}
}

// SetPeers replaces the turns of all other daemons. The map must not be changed afterwards.
func (r *Running) SetPeers(turns map[string]int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.peers = turns
}

// Own returns the turns of this daemon.
func (r *Running) Own() map[string]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return maps.Clone(r.own)
}

// All returns the turns of all daemons; nil for none.
func (r *Running) All() map[string]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.own)+len(r.peers) == 0 {
		return nil
	}
	all := make(map[string]int, len(r.own)+len(r.peers))
	maps.Copy(all, r.peers)
	for account, n := range r.own {
		all[account] += n
	}
	return all
}
