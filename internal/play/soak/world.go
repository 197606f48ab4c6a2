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
	worldNodes  = 3
	worldTick   = 100 * time.Millisecond
	worldBudget = 300
	shardKey    = "shard/0000"
	graceTime   = 3 * time.Second
	newsTime    = time.Second
	faultTime   = 90 * time.Second // faults happen in this time, then all heals
	healTime    = 5 * time.Minute
)

type (
	// world is several daemons that may own one shard, one store, upstreams and
	// callers, in virtual time. Every choice comes from choose.
	world struct {
		choose  func(n int) int
		now     time.Time
		start   time.Time
		st      *keyval.Store
		events  events
		seq     int
		nodes   []*node
		callers []*caller
		cfg     file.File
		clean   bool      // the shard's key was given up
		down    time.Time // the store answers nobody until then
		execs   map[string]int
		effects map[string]int    // executions of a call that isn't idempotent, by program and number
		order   map[string]int    // highest call number that reached an upstream, by program
		spent   map[string]int64  // tokens that engines spent, by program
		refused map[string]string // request ids that callers were told did not run
		broken  []string
		trace   []string
		tickets map[owner.Ticket]func(string, result.Result)
		stats   Stats
		texts   map[string]string // what the data folders have, by digest
		newest  *owner.Owner
	}

	event struct {
		at  time.Time
		seq int
		do  func()
	}

	events []event

	node struct {
		w         *world
		name      string
		life      int
		up        bool
		paused    time.Time
		cut       time.Time // can't reach the store until then
		alone     time.Time // hears no peer until then
		reached   time.Time
		history   []time.Time // of reached
		lease     lease.Lease
		own       *owner.Owner
		snap      *snapio.Snap
		key       store.Rev          // of the shard's key as this node wrote it last
		mine      map[store.Rev]bool // revisions of the key that this life wrote
		suspended bool
		asked     map[string]bool
		attempts  map[string]bool
		given     map[*owner.Owner]bool // handed over
		refs      map[string]int        // to texts in the folders, by digest, as the owner counts them
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

func newWorld(choose func(int) int) *world {
	w := &world{
		choose:  choose,
		now:     time.Unix(1_800_000_000, 0).UTC(),
		execs:   map[string]int{},
		effects: map[string]int{},
		order:   map[string]int{},
		spent:   map[string]int64{},
		refused: map[string]string{},
		tickets: map[owner.Ticket]func(string, result.Result){},
		texts:   map[string]string{},
	}
	w.start = w.now
	w.st = &keyval.Store{Now: func() time.Time { return w.now }}
	w.cfg = file.File{
		System: file.System{Shards: 1},
		Limits: file.Limits{GapWait: 2 * time.Second, BudgetBlock: 80, InlineText: 13},
		Agents: map[string]file.Agent{"pickup": {Model: "m", Budget: worldBudget, MaxTurns: 100}},
		Models: map[string]file.Model{"m": {Group: "g", MaxTokens: 60}},
		Services: map[string]file.Service{
			"receipt": {Group: "s"},
			"lookup":  {Group: "s", Idempotent: true, MaxTries: 3},
		},
	}
	for i := range worldNodes {
		w.nodes = append(w.nodes, &node{w: w, name: string(rune('a' + i)), up: true, attempts: map[string]bool{}, given: map[*owner.Owner]bool{}, mine: map[store.Rev]bool{}})
	}
	for i := range 3 {
		w.callers = append(w.callers, newCaller(w, fmt.Sprintf("p%d", i)))
	}
	return w
}

func (w *world) fault(per1000 int) bool {
	return w.now.Sub(w.start) < faultTime && w.choose(1000) < per1000
}

func (w *world) span(low, high time.Duration) time.Duration {
	return low + time.Duration(w.choose(int((high-low)/time.Millisecond)))*time.Millisecond
}

func (w *world) after(d time.Duration, do func()) {
	w.seq++
	heap.Push(&w.events, event{at: w.now.Add(d), seq: w.seq, do: do})
}

func (w *world) note(format string, args ...any) {
	w.trace = append(w.trace, fmt.Sprintf("%s: ", w.now.Sub(w.start))+fmt.Sprintf(format, args...))
}

func (w *world) breaks(format string, args ...any) {
	w.broken = append(w.broken, fmt.Sprintf("%s: ", w.now.Sub(w.start))+fmt.Sprintf(format, args...))
}

// run plays one history: a time with faults, then a time in which everything
// works, by the end of which every caller must have its outcomes.
func (w *world) run() {
	for _, n := range w.nodes {
		n.tick()
	}
	for _, c := range w.callers {
		c.next()
	}
	w.trouble()
	for len(w.events) > 0 && w.now.Sub(w.start) < faultTime+healTime {
		e := heap.Pop(&w.events).(event)
		w.now = e.at
		w.st.Expire()
		e.do()
		if w.finished() {
			break
		}
	}
	w.judge()
}

func (w *world) finished() bool {
	for _, c := range w.callers {
		if !c.over {
			return false
		}
	}
	return true
}

// trouble makes one fault now and then.
func (w *world) trouble() {
	if w.now.Sub(w.start) >= faultTime {
		return
	}
	n := w.nodes[w.choose(len(w.nodes))]
	switch w.choose(8) {
	case 0:
		n.crash()
	case 1:
		n.paused = w.now.Add(w.span(time.Second, 25*time.Second))
	case 2:
		n.cut = w.now.Add(w.span(time.Second, 30*time.Second))
	case 3:
		n.alone = w.now.Add(w.span(time.Second, 20*time.Second))
		n.cut = n.alone
	case 5, 6:
		n.step(owner.Drain{})
	case 4:
		w.down = w.now.Add(w.span(time.Second, 40*time.Second))
	}
	w.after(w.span(500*time.Millisecond, 12*time.Second), w.trouble)
}
