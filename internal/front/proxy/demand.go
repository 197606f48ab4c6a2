package proxy

import (
	"time"

	"github.com/slaterock/slaterock/internal/conf/route"
	"github.com/slaterock/slaterock/internal/front/admit"
	"github.com/slaterock/slaterock/internal/place/gate"
)

// maxPriority is the least urgent priority; less urgent ones count as this one. Engines know
// no others.
const maxPriority = 9

// PeerDemand is what competes for engines at the other daemons.
type PeerDemand struct {
	// Queued returns the number of programs of a priority that wait for a service; nil if
	// none waits for any.
	Queued  func(service string, priority int) int
	Running map[string]int // turns in flight by account
}

// SetPeerDemand replaces what competes for engines at the other daemons. PeersUpdated is to
// be called afterwards.
func (e *Endpoint) SetPeerDemand(d PeerDemand) {
	e.running.SetPeers(d.Running)
	if d.Queued == nil {
		e.peerQueued.Store(nil)
		return
	}
	e.peerQueued.Store(&d.Queued)
}

// Contended reports whether programs wait for engines, here or at other daemons.
func (e *Endpoint) Contended() bool { return e.peerQueued.Load() != nil || e.Queue.Len() > 0 }

// Running returns the turns of this daemon in flight at engines, by account.
func (e *Endpoint) Running() map[string]int { return e.running.Own() }

// addDemand adds to a service's load what competes for its engines, if programs wait.
func (e *Endpoint) addDemand(l *gate.Load, service string, t *route.Table) {
	queued := e.peerQueued.Load()
	if queued != nil {
		for p := range maxPriority + 1 {
			if n := (*queued)(service, p); n > 0 {
				if l.Queued == nil {
					l.Queued = map[int]int{}
				}
				l.Queued[p] = n
			}
		}
	}
	if t == nil || t.Accounts == nil || queued == nil && e.Queue.Len() == 0 {
		return
	}
	l.Running = e.running.All()
	for name := range l.Running {
		if a, _ := t.Accounts.Named(name); a.Rate > 0 {
			if l.Weights == nil {
				l.Weights = map[string]float64{}
			}
			l.Weights[name] = a.Rate
		}
	}
}

// program returns the program of a first turn as the admission queue needs it.
func (t *turn) program(latestStart time.Time) admit.Program {
	return admit.Program{LatestStart: latestStart, Priority: min(t.priority(), maxPriority), Account: t.account.Name, Weight: t.account.Rate}
}

// beginRunning counts the turn as in flight at the engines, until endRunning is called.
func (t *turn) beginRunning() {
	if t.running || t.view.Table.Accounts == nil {
		return
	}
	t.running = true
	t.e.running.Begin(t.account.Name)
}

func (t *turn) endRunning() {
	if t.running {
		t.running = false
		t.e.running.End(t.account.Name)
	}
}
