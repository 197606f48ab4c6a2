package soak

import (
	"container/heap"
	"fmt"
	"time"

	"github.com/slaterock/slaterock/internal/conf/file"
	"github.com/slaterock/slaterock/internal/fake/keyval"
	"github.com/slaterock/slaterock/internal/plat/store"
	"github.com/slaterock/slaterock/internal/prog/result"
	"github.com/slaterock/slaterock/internal/shard/lease"
	"github.com/slaterock/slaterock/internal/shard/owner"
	"github.com/slaterock/slaterock/internal/shard/snapio"
)

const (
	nodeCount      = 3
	tickInterval   = 100 * time.Millisecond
	tokenBudget    = 300 // per program, in tokens
	shardKey       = "shard/0000"
	holdTime       = 3 * time.Second  // how long an owner waits after a takeover that no handover preceded
	peerDelay      = time.Second      // until a node's state is known to its peers
	faultPeriod    = 90 * time.Second // faults occur in this period only
	recoveryPeriod = 5 * time.Minute
)

type (
	// simulation simulates, in virtual time, one shard, the nodes (daemons) that
	// may own it, their store, upstreams and callers. All random choices come from
	// choose, which returns a number in [0, n).
	simulation struct {
		choose         func(n int) int
		now            time.Time
		start          time.Time
		st             *keyval.Store
		events         events
		seq            int
		nodes          []*node
		callers        []*caller
		cfg            file.File
		keyReleased    bool              // the shard's key was deleted after a handover, and no node has taken over since
		storeDownUntil time.Time         // no node can reach the store until then
		executions     map[string]int    // by request id
		sideEffects    map[string]int    // executions of a call that isn't idempotent, by program and number
		lastCalls      map[string]int    // highest call number that reached an upstream, by program
		spent          map[string]int64  // tokens that engines spent, by program
		refusals       map[string]string // result of each request that was reported as not run, by request id
		violations     []string
		trace          []string
		tickets        map[owner.Ticket]func(string, result.Result)
		stats          Stats
		texts          map[string]string // contents of the data folders, by digest
		newestOwner    *owner.Owner
	}

	event struct {
		at  time.Time
		seq int
		do  func()
	}

	events []event

	node struct {
		sim             *simulation
		name            string
		instance        int // incremented with each crash
		up              bool
		pausedUntil     time.Time
		storeCutUntil   time.Time   // the node can't reach the store until then
		isolatedUntil   time.Time   // the node has no connection to its peers until then
		storeReachedAt  time.Time   // when the store executed the last call that it answered
		storeReachTimes []time.Time // all values of storeReachedAt
		lease           lease.Lease
		own             *owner.Owner
		snap            *snapio.Snap
		keyRev          store.Rev             // revision of the shard's key at this node's last write
		ownKeyRevs      map[store.Rev]bool    // revisions of the key that this instance wrote
		suspended       bool                  // the lease was lost, and ownership has not been verified since
		placing         map[string]bool       // requests that wait for the scheduler, by id
		attempts        map[string]bool       // running attempts, by request and upstream id
		handedOver      map[*owner.Owner]bool // owners that have handed the shard over
		refs            map[string]int        // number of references to texts in the data folders, by digest
	}
)

func (e events) Len() int { return len(e) }

func (e events) Less(i, j int) bool {
	if !e[i].at.Equal(e[j].at) {
		return e[i].at.Before(e[j].at)
	}
	return e[i].seq < e[j].seq
}

func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

func (e *events) Push(x any) { *e = append(*e, x.(event)) }

func (e *events) Pop() any {
	l := len(*e) - 1
	x := (*e)[l]
	*e = (*e)[:l]
	return x
}

func newSimulation(choose func(int) int) *simulation {
	sim := &simulation{
		choose:      choose,
		now:         time.Unix(1_800_000_000, 0).UTC(),
		executions:  map[string]int{},
		sideEffects: map[string]int{},
		lastCalls:   map[string]int{},
		spent:       map[string]int64{},
		refusals:    map[string]string{},
		tickets:     map[owner.Ticket]func(string, result.Result){},
		texts:       map[string]string{},
	}
	sim.start = sim.now
	sim.st = &keyval.Store{Now: func() time.Time { return sim.now }}
	sim.cfg = file.File{
		System: file.System{Shards: 1},
		Limits: file.Limits{GapWait: 2 * time.Second, BudgetBlock: 80, InlineText: 13},
		Agents: map[string]file.Agent{"pickup": {Model: "m", Budget: tokenBudget, MaxTurns: 100}},
		Models: map[string]file.Model{"m": {Group: "g", MaxTokens: 60}},
		Services: map[string]file.Service{
			"receipt": {Group: "s"},
			"lookup":  {Group: "s", Idempotent: true, MaxTries: 3},
		},
	}
	for i := range nodeCount {
		sim.nodes = append(sim.nodes, &node{sim: sim, name: string(rune('a' + i)), up: true, attempts: map[string]bool{}, handedOver: map[*owner.Owner]bool{}, ownKeyRevs: map[store.Rev]bool{}})
	}
	for i := range 3 {
		sim.callers = append(sim.callers, newCaller(sim, fmt.Sprintf("p%d", i)))
	}
	return sim
}

// fault decides at random, with a probability of per1000 in 1000, whether a fault
// occurs. It is always false after the fault period.
func (sim *simulation) fault(per1000 int) bool {
	return sim.now.Sub(sim.start) < faultPeriod && sim.choose(1000) < per1000
}

// randomDuration returns a duration in [low, high), in steps of a millisecond.
func (sim *simulation) randomDuration(low, high time.Duration) time.Duration {
	return low + time.Duration(sim.choose(int((high-low)/time.Millisecond)))*time.Millisecond
}

func (sim *simulation) after(d time.Duration, do func()) {
	sim.seq++
	heap.Push(&sim.events, event{at: sim.now.Add(d), seq: sim.seq, do: do})
}

func (sim *simulation) tracef(format string, args ...any) {
	sim.trace = append(sim.trace, fmt.Sprintf("%s: ", sim.now.Sub(sim.start))+fmt.Sprintf(format, args...))
}

func (sim *simulation) addViolation(format string, args ...any) {
	sim.violations = append(sim.violations, fmt.Sprintf("%s: ", sim.now.Sub(sim.start))+fmt.Sprintf(format, args...))
}

// run runs one history: the fault period, then the recovery period, by whose end
// every caller must have the outcomes of its calls.
func (sim *simulation) run() {
	for _, n := range sim.nodes {
		n.tick()
	}
	for _, c := range sim.callers {
		c.next()
	}
	sim.injectFault()
	for len(sim.events) > 0 && sim.now.Sub(sim.start) < faultPeriod+recoveryPeriod {
		e := heap.Pop(&sim.events).(event)
		sim.now = e.at
		sim.st.Expire()
		e.do()
		if sim.finished() {
			break
		}
	}
	sim.verify()
}

func (sim *simulation) finished() bool {
	for _, c := range sim.callers {
		if !c.ended {
			return false
		}
	}
	return true
}

// injectFault injects a random fault, starts a handover or does nothing, and
// schedules its next call, until the end of the fault period.
func (sim *simulation) injectFault() {
	if sim.now.Sub(sim.start) >= faultPeriod {
		return
	}
	n := sim.nodes[sim.choose(len(sim.nodes))]
	switch sim.choose(8) {
	case 0:
		n.crash()
	case 1:
		n.pausedUntil = sim.now.Add(sim.randomDuration(time.Second, 25*time.Second))
	case 2:
		n.storeCutUntil = sim.now.Add(sim.randomDuration(time.Second, 30*time.Second))
	case 3:
		n.isolatedUntil = sim.now.Add(sim.randomDuration(time.Second, 20*time.Second))
		n.storeCutUntil = n.isolatedUntil
	case 5, 6:
		n.step(owner.Drain{})
	case 4:
		sim.storeDownUntil = sim.now.Add(sim.randomDuration(time.Second, 40*time.Second))
	}
	sim.after(sim.randomDuration(500*time.Millisecond, 12*time.Second), sim.injectFault)
}
