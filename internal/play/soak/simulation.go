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
	tokenBudget    = 300
	shardKey       = "shard/0000"
	holdTime       = 3 * time.Second
	peerDelay      = time.Second
	faultPeriod    = 90 * time.Second // faults occur in this period only
	recoveryPeriod = 5 * time.Minute
)

type (
	// simulation simulates several daemons that may own one shard, one store,
	// upstreams and callers, in virtual time. All random choices come from choose,
	// which returns a number in [0, n).
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
		keyReleased    bool              // the shard's key was deleted after a handover
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
		w               *simulation
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
		keyRev          store.Rev          // revision of the shard's key at this node's last write
		ownKeyRevs      map[store.Rev]bool // revisions of the key that this instance wrote
		suspended       bool
		placing         map[string]bool
		attempts        map[string]bool
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
	w := &simulation{
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
	w.start = w.now
	w.st = &keyval.Store{Now: func() time.Time { return w.now }}
	w.cfg = file.File{
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
		w.nodes = append(w.nodes, &node{w: w, name: string(rune('a' + i)), up: true, attempts: map[string]bool{}, handedOver: map[*owner.Owner]bool{}, ownKeyRevs: map[store.Rev]bool{}})
	}
	for i := range 3 {
		w.callers = append(w.callers, newCaller(w, fmt.Sprintf("p%d", i)))
	}
	return w
}

// fault decides at random, with a probability of per1000 in 1000, whether a fault
// occurs. It is always false after the fault period.
func (w *simulation) fault(per1000 int) bool {
	return w.now.Sub(w.start) < faultPeriod && w.choose(1000) < per1000
}

// randomDuration returns a duration in [low, high), in steps of a millisecond.
func (w *simulation) randomDuration(low, high time.Duration) time.Duration {
	return low + time.Duration(w.choose(int((high-low)/time.Millisecond)))*time.Millisecond
}

func (w *simulation) after(d time.Duration, do func()) {
	w.seq++
	heap.Push(&w.events, event{at: w.now.Add(d), seq: w.seq, do: do})
}

func (w *simulation) tracef(format string, args ...any) {
	w.trace = append(w.trace, fmt.Sprintf("%s: ", w.now.Sub(w.start))+fmt.Sprintf(format, args...))
}

func (w *simulation) addViolation(format string, args ...any) {
	w.violations = append(w.violations, fmt.Sprintf("%s: ", w.now.Sub(w.start))+fmt.Sprintf(format, args...))
}

// run runs one history: the fault period, then the recovery period, by whose end
// every caller must have the outcomes of its calls.
func (w *simulation) run() {
	for _, n := range w.nodes {
		n.tick()
	}
	for _, c := range w.callers {
		c.next()
	}
	w.injectFault()
	for len(w.events) > 0 && w.now.Sub(w.start) < faultPeriod+recoveryPeriod {
		e := heap.Pop(&w.events).(event)
		w.now = e.at
		w.st.Expire()
		e.do()
		if w.finished() {
			break
		}
	}
	w.verify()
}

func (w *simulation) finished() bool {
	for _, c := range w.callers {
		if !c.ended {
			return false
		}
	}
	return true
}

// injectFault injects one random fault and schedules the next, until the end of the
// fault period.
func (w *simulation) injectFault() {
	if w.now.Sub(w.start) >= faultPeriod {
		return
	}
	n := w.nodes[w.choose(len(w.nodes))]
	switch w.choose(8) {
	case 0:
		n.crash()
	case 1:
		n.pausedUntil = w.now.Add(w.randomDuration(time.Second, 25*time.Second))
	case 2:
		n.storeCutUntil = w.now.Add(w.randomDuration(time.Second, 30*time.Second))
	case 3:
		n.isolatedUntil = w.now.Add(w.randomDuration(time.Second, 20*time.Second))
		n.storeCutUntil = n.isolatedUntil
	case 5, 6:
		n.step(owner.Drain{})
	case 4:
		w.storeDownUntil = w.now.Add(w.randomDuration(time.Second, 40*time.Second))
	}
	w.after(w.randomDuration(500*time.Millisecond, 12*time.Second), w.injectFault)
}
