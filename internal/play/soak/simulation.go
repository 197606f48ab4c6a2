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
	faultPeriod    = 90 * time.Second // faults happen in this time, then all heals
	recoveryPeriod = 5 * time.Minute
)

type (
	// world is several daemons that may own one shard, one store, upstreams and
	// callers, in virtual time. Every choice comes from choose.
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
		keyReleased    bool      // the shard's key was given up
		storeDownUntil time.Time // the store answers nobody until then
		executions     map[string]int
		effects        map[string]int    // executions of a call that isn't idempotent, by program and number
		lastCalls      map[string]int    // highest call number that reached an upstream, by program
		spent          map[string]int64  // tokens that engines spent, by program
		refusals       map[string]string // request ids that callers were told did not run
		violations     []string
		trace          []string
		tickets        map[owner.Ticket]func(string, result.Result)
		stats          Stats
		texts          map[string]string // what the data folders have, by digest
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
		instance        int
		up              bool
		pausedUntil     time.Time
		storeCutUntil   time.Time // can't reach the store until then
		isolatedUntil   time.Time // hears no peer until then
		storeReachedAt  time.Time
		storeReachTimes []time.Time // of reached
		lease           lease.Lease
		own             *owner.Owner
		snap            *snapio.Snap
		keyRev          store.Rev          // of the shard's key as this node wrote it last
		ownKeyRevs      map[store.Rev]bool // revisions of the key that this life wrote
		suspended       bool
		placing         map[string]bool
		attempts        map[string]bool
		handedOver      map[*owner.Owner]bool // handed over
		refs            map[string]int        // to texts in the folders, by digest, as the owner counts them
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
		choose:     choose,
		now:        time.Unix(1_800_000_000, 0).UTC(),
		executions: map[string]int{},
		effects:    map[string]int{},
		lastCalls:  map[string]int{},
		spent:      map[string]int64{},
		refusals:   map[string]string{},
		tickets:    map[owner.Ticket]func(string, result.Result){},
		texts:      map[string]string{},
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

func (w *simulation) fault(per1000 int) bool {
	return w.now.Sub(w.start) < faultPeriod && w.choose(1000) < per1000
}

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

// run plays one history: a time with faults, then a time in which everything
// works, by the end of which every caller must have its outcomes.
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

// trouble makes one fault now and then.
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
