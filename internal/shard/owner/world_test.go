package owner_test

import (
	"container/heap"
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/slaterock/slaterock/internal/conf/file"
	"github.com/slaterock/slaterock/internal/fake/keyval"
	"github.com/slaterock/slaterock/internal/place/sched"
	"github.com/slaterock/slaterock/internal/plat/engine"
	"github.com/slaterock/slaterock/internal/plat/store"
	"github.com/slaterock/slaterock/internal/prog/call"
	"github.com/slaterock/slaterock/internal/prog/hist"
	"github.com/slaterock/slaterock/internal/prog/record"
	"github.com/slaterock/slaterock/internal/prog/result"
	"github.com/slaterock/slaterock/internal/shard/chain"
	"github.com/slaterock/slaterock/internal/shard/fold"
	"github.com/slaterock/slaterock/internal/shard/lease"
	"github.com/slaterock/slaterock/internal/shard/owner"
	"github.com/slaterock/slaterock/internal/shard/past"
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
		stats   stats
		texts   map[string]string // what the data folders have, by digest
		newest  *owner.Owner
	}

	stats struct{ takeovers, handovers, fenced, crashes, lost, saves, replies, kept, late, recalled int }

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
		snap      *fold.Snap
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
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
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
		w.nodes = append(w.nodes, &node{w: w, name: string(rune('a' + i)), up: true, attempts: map[string]bool{}, given: map[*owner.Owner]bool{}})
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
		w.st.Lapse()
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

func (n *node) crash() {
	n.w.stats.crashes++
	n.w.note("%s crashes", n.name)
	n.life++
	n.up, n.own, n.snap = false, nil, nil
	n.attempts, n.given = map[string]bool{}, map[*owner.Owner]bool{}
	n.lease = lease.Lease{}
	n.w.after(n.w.span(time.Second, 10*time.Second), func() {
		n.up = true
		n.tick()
	})
}

// later runs do on the node, unless it crashes before; a paused node runs it
// when it wakes.
func (n *node) later(d time.Duration, do func()) {
	life := n.life
	var try func()
	try = func() {
		switch {
		case n.life != life || !n.up:
		case n.w.now.Before(n.paused):
			n.w.after(n.paused.Sub(n.w.now), try)
		default:
			do()
		}
	}
	n.w.after(d, try)
}

func (n *node) tick() {
	n.later(worldTick, n.tick)
	n.stepLease(lease.Tick{})
	if n.own == nil {
		n.claim()
		return
	}
	held := owner.Lease{Until: n.until()}
	if !n.suspended && n.outage() {
		held.Outage = n.w.now.Add(newsTime)
	}
	n.step(held)
	n.step(owner.Tick{})
}

func (n *node) until() time.Time {
	if n.suspended {
		return time.Time{}
	}
	return n.lease.Until()
}

// outage is what shards.Shards works out from heartbeats: nobody has reached
// the store since this node's lease ended. News of others takes a second, and a node that
// has just woken has heard nobody lately.
func (n *node) outage() bool {
	w := n.w
	if n.reached.After(n.lease.Until()) || w.now.Before(n.alone) || w.now.Before(n.paused.Add(newsTime)) {
		return false
	}
	for _, m := range w.nodes {
		if m != n && m.up && m.known().After(n.lease.Until()) {
			return false
		}
	}
	return true
}

// known is when the node last reached the store as others know it by now.
func (n *node) known() time.Time {
	at := time.Time{}
	for _, t := range n.history {
		if n.w.now.Sub(t) >= newsTime {
			at = t
		}
	}
	return at
}

func (n *node) reaches() bool { return !n.w.now.Before(n.cut) && !n.w.now.Before(n.w.down) }

// storeCall lets a call travel to the store and back. done gets what the node
// learns: the call's own error, or that it was not taken, or that nobody knows.
func (n *node) storeCall(do func() error, done func(err error)) {
	w := n.w
	w.after(w.span(1, 20*time.Millisecond), func() {
		switch {
		case !n.reaches() && w.choose(2) == 0:
			n.later(w.span(0, time.Second), func() { done(store.ErrUnavailable) })
			return
		case !n.reaches() || w.fault(15):
			// The call may get there after its sender has given up on it.
			if w.choose(2) == 0 {
				w.after(w.span(0, 20*time.Second), func() { _ = do() })
			}
			n.later(2*time.Second, func() { done(store.ErrUnknown) })
			return
		}
		err := do()
		sent := w.now
		if w.fault(30) {
			w.stats.lost++
			n.later(2*time.Second, func() { done(store.ErrUnknown) })
			return
		}
		n.later(w.span(1, 20*time.Millisecond), func() {
			n.reached = sent
			n.history = append(n.history, sent)
			done(err)
		})
	})
}

func (n *node) stepLease(m lease.Message) {
	for _, e := range n.lease.Step(n.w.now, m) {
		switch e := e.(type) {
		case lease.Grant:
			var id store.Lease
			n.storeCall(func() (err error) {
				id, err = n.w.st.Grant(context.Background(), e.TTL)
				return err
			}, func(err error) { n.stepLease(lease.Granted{ID: id, Err: err}) })
		case lease.Renew:
			n.storeCall(func() error { return n.w.st.Renew(context.Background(), e.ID) },
				func(err error) { n.stepLease(lease.Renewed{Lapsed: err == store.ErrLapsed, Err: err}) }) //nolint:errorlint // the store's own value
		case lease.Got:
			if n.own != nil && n.suspended {
				n.rekey(e.ID)
			}
		case lease.Lost:
			n.suspended = n.own != nil
		}
	}
}

func (n *node) rekey(id store.Lease) {
	life := n.own
	n.storeCall(func() error {
		_, err := n.w.st.Put(context.Background(), shardKey, []byte(n.name), 0, id)
		return err
	}, func(err error) {
		switch {
		case n.own != life:
		case err != nil:
			n.own = nil
		default:
			n.step(owner.Verify{})
		}
	})
}

// claim takes the shard over if nobody holds its key.
func (n *node) claim() {
	w := n.w
	if n.lease.ID() == 0 || !n.reaches() || w.choose(3) > 0 {
		return
	}
	ctx := context.Background()
	if e, err := w.st.Get(ctx, shardKey); err == nil && string(e.Data) != n.name {
		return
	} else if err != nil {
		if _, err := w.st.Put(ctx, shardKey, []byte(n.name), 0, n.lease.ID()); err != nil {
			return
		}
	}
	v := w.st.Client(n.name)
	if w.fault(300) {
		v.Script(keyval.Writes, map[int]keyval.Fault{1: keyval.LoseAck, 2: keyval.LoseWrite})
	}
	t, err := n.boot(v).Take(ctx)
	v.Script(keyval.Writes, nil)
	if err != nil {
		w.note("%s can't take over: %v", n.name, err)
		return
	}
	w.stats.takeovers++
	w.note("%s takes over, epoch %d, entry %d", n.name, t.Epoch, t.Next)
	n.reached = w.now
	n.history = append(n.history, w.now)
	n.suspended = false
	n.snap = t.Snap
	n.asked = map[string]bool{}
	n.own = &owner.Owner{Fold: t.Fold}
	n.adopt()
	if !w.clean {
		n.own.Hold = w.now.Add(graceTime)
	}
	w.clean = false
	n.own.Chain = chain.Chain{Shard: 0, Epoch: t.Epoch, Owner: n.name, Next: t.Next, Rand: n.rand, Interval: 20 * time.Millisecond}
	n.step(owner.Configure{File: w.cfg})
	n.step(owner.Lease{Until: n.until()})
	n.step(owner.Keeping{On: w.folders()})
}

// release gives the shard's key up, so that the next owner need not wait.
func (n *node) release() {
	n.storeCall(func() error {
		e, err := n.w.st.Get(context.Background(), shardKey)
		if err != nil || string(e.Data) != n.name {
			return err
		}
		n.w.clean = true
		return n.w.st.Delete(context.Background(), shardKey, e.Rev)
	}, func(error) {})
}

func (n *node) rand() uint64 { return uint64(n.w.choose(1<<30)) + 1 }

func (n *node) step(m owner.Message) {
	if n.own == nil {
		return
	}
	for _, e := range n.own.Step(n.w.now, m) {
		n.carry(n.own, e)
	}
}

// tell gives the owner a message, if it still is the owner that asked.
func (n *node) tell(own *owner.Owner, m owner.Message) {
	if n.own == own {
		n.step(m)
	}
}

func (n *node) carry(own *owner.Owner, e owner.Effect) {
	w := n.w
	switch e := e.(type) {
	case owner.Write:
		n.write(own, e.Effect)
	case owner.Place:
		n.place(own, e.Message)
	case owner.Dispatch:
		n.dispatch(own, e)
	case owner.Stop:
		delete(n.attempts, e.Request+e.Upstream)
	case owner.Reply:
		w.reply(e.Ticket, e.Request, e.Result)
	case owner.Keep:
		n.keep(own, e)
	case owner.Unkeep:
		n.unkeep(own, e.Blob)
	case owner.Recall:
		c, ok, err := past.Past{Store: w.st, Shard: 0, Text: w.text}.Call(context.Background(), e.Program, e.Number, e.Entries)
		if err != nil {
			w.reply(e.Ticket, "", result.Refuse(result.CodeStoreDown, "can't be read").WithRetryAfter(time.Second))
			return
		}
		w.stats.recalled++
		if !ok {
			w.reply(e.Ticket, "", result.Refuse(result.CodeOrder, "gone"))
			return
		}
		w.reply(e.Ticket, c.Request, c.Result)
	case owner.Saving:
		n.save()
	case owner.Drained:
		w.stats.handovers++
		w.note("%s has handed over", n.name)
		n.given[own], n.own = true, nil
		n.release()
	case owner.Verified:
		n.suspended = false
	case owner.Fenced:
		w.stats.fenced++
		w.note("%s is fenced", n.name)
		n.own = nil
	}
}

func (n *node) save() {
	w := n.w
	if w.choose(20) > 0 || !n.reaches() {
		return
	}
	f := n.own.Snapshot()
	gone, err := n.snap.Save(context.Background(), f)
	if err == nil {
		w.stats.saves++
		n.later(w.span(0, 100*time.Millisecond), func() { n.step(owner.Saved{Upto: f.Upto, Gone: gone}) })
	}
}

func (n *node) write(own *owner.Owner, e chain.Effect) {
	ctx := context.Background()
	switch e := e.(type) {
	case chain.Create:
		n.storeCall(func() error {
			_, err := n.w.st.Put(ctx, e.Key, e.Data, 0, 0)
			return err
		}, func(err error) {
			n.tell(own, owner.Journal{Message: chain.Wrote{Number: e.Number, Outcome: outcome(err)}})
		})
	case chain.Read:
		var v store.Entry
		n.storeCall(func() (err error) {
			v, err = n.w.st.Get(ctx, e.Key)
			return err
		}, func(err error) { n.tell(own, owner.Journal{Message: readBack(e.Number, v, err)}) })
	}
}

func outcome(err error) chain.Outcome {
	switch err.(type) { //nolint:errorlint // the fake returns it bare
	case nil:
		return chain.Created
	case *store.ConflictError:
		return chain.Exists
	}
	if err == store.ErrUnavailable { //nolint:errorlint // the store's own value
		return chain.Unavailable
	}
	return chain.Lost
}

func readBack(number uint64, v store.Entry, err error) chain.Message {
	switch {
	case err == store.ErrNotFound: //nolint:errorlint // the store's own value
		return chain.Absent{Number: number}
	case err != nil:
		return chain.Unread{Number: number}
	}
	e, err := record.Decode(v.Data)
	if err != nil {
		return chain.Unread{Number: number}
	}
	return chain.Found{Entry: e}
}

func (n *node) place(own *owner.Owner, m sched.Message) {
	w := n.w
	switch m := m.(type) {
	case sched.Withdraw:
		delete(n.asked, m.ID)
	case sched.Ask:
		n.asked[m.ID] = true
		n.later(w.span(0, 300*time.Millisecond), func() {
			if !n.asked[m.ID] {
				return
			}
			delete(n.asked, m.ID)
			if w.fault(50) {
				n.tell(own, owner.Refused{Refuse: sched.Refuse{ID: m.ID, Code: result.CodeOverloaded}})
				return
			}
			up := fmt.Sprintf("u%d", len(m.Avoid))
			n.tell(own, owner.Assigned{Assign: sched.Assign{ID: m.ID, Upstream: up}})
		})
	}
}

// dispatch sends an attempt. What is on its way arrives even if the sender
// dies.
func (n *node) dispatch(own *owner.Owner, d owner.Dispatch) {
	w := n.w
	key := d.Request + d.Upstream
	n.attempts[key] = true
	n.later(time.Second, func() { n.follow(own, d.Request, key) })
	tried := owner.Tried{Request: d.Request, Upstream: d.Upstream, Status: 200, Why: "broken"}
	done := func(t owner.Tried) {
		n.later(w.span(1, 200*time.Millisecond), func() {
			if !n.attempts[key] && t.Outcome != sched.Succeeded {
				t.Outcome = sched.Withdrawn
			}
			delete(n.attempts, key)
			if n.given[own] {
				n.report(t.Request, &t)
				return
			}
			n.tell(own, t)
		})
	}
	if w.fault(60) {
		tried.Outcome = sched.Unsent
		done(tried)
		return
	}
	w.after(w.span(1, 30*time.Millisecond), func() {
		w.execute(d, &tried)
		w.after(w.span(10*time.Millisecond, 3*time.Second), func() {
			if w.fault(60) {
				tried = owner.Tried{Request: d.Request, Upstream: d.Upstream, Outcome: sched.Failed, Why: "broken"}
			}
			done(tried)
		})
	})
}

// follow tells the shard's present owner of an attempt that this node started
// before it handed the shard over.
func (n *node) follow(own *owner.Owner, request, key string) {
	if !n.attempts[key] {
		return
	}
	if n.given[own] && !n.report(request, nil) {
		delete(n.attempts, key)
		return
	}
	n.later(time.Second, func() { n.follow(own, request, key) })
}

// report reports an attempt until that has arrived; false if nobody waits for
// it any more.
func (n *node) report(request string, ended *owner.Tried) bool {
	w := n.w
	for _, m := range w.nodes {
		if m.own == nil || m.suspended || w.now.Before(m.paused) || w.now.Before(n.alone) || w.now.Before(m.alone) {
			continue
		}
		if !m.own.Knows(request) {
			return false
		}
		m.step(owner.Tail{Request: request})
		if ended != nil {
			m.step(*ended)
		}
		return true
	}
	if ended != nil {
		n.later(time.Second, func() { n.report(request, ended) })
	}
	return true
}

// execute is the upstream's side.
func (w *world) execute(d owner.Dispatch, t *owner.Tried) {
	w.execs[d.Request]++
	w.note("upstream runs %s (%s %d)", d.Request, d.Call.Program, d.Call.Number)
	if why, ok := w.refused[d.Request]; ok {
		w.breaks("%s ran after its caller was told that it did not: %s", d.Request, why)
	}
	id := fmt.Sprintf("%s %d", d.Call.Program, d.Call.Number)
	if d.Call.Number < w.order[d.Call.Program] {
		w.breaks("call %s reached an upstream after call %d", id, w.order[d.Call.Program])
	}
	w.order[d.Call.Program] = max(w.order[d.Call.Program], d.Call.Number)
	t.Outcome = sched.Succeeded
	t.Body = []byte(fmt.Sprintf("%s %s %d", id, d.Request, w.execs[d.Request]))
	if d.Call.Kind == call.Model {
		t.Usage = engine.Usage{Prompt: 1 + w.choose(len(d.Call.Body)), Output: 1 + w.choose(d.MaxTokens), Finish: "stop"}
		root := call.Root(d.Call.Program)
		w.spent[root] += int64(t.Usage.Prompt + t.Usage.Output)
		if w.spent[root] > worldBudget {
			w.breaks("%s spent %d tokens of %d", root, w.spent[root], worldBudget)
		}
		return
	}
	if d.Call.Service == "receipt" {
		w.effects[id]++
		if w.effects[id] > 1 {
			w.breaks("call %s, which isn't idempotent, ran twice", id)
		}
	}
}

// judge compares what callers saw with what the journal says.
func (w *world) judge() {
	recorded := map[string]string{}
	heads := map[string]int{}
	refs := map[string]hist.Blob{}
	var j record.Joiner
	epoch := uint64(0)
	for n := uint64(1); ; n++ {
		v, err := w.st.Get(context.Background(), chain.Key(0, n))
		if err != nil {
			break
		}
		e, err := record.Decode(v.Data)
		if err != nil {
			w.breaks("journal entry %d: %v", n, err)
			return
		}
		if e.Epoch < epoch {
			w.breaks("journal entry %d of epoch %d after epoch %d", n, e.Epoch, epoch)
		}
		epoch = e.Epoch
		rs, err := j.Records(e)
		if err != nil {
			w.breaks("journal entry %d: %v", n, err)
		}
		for _, r := range rs {
			if r, ok := r.(record.Holders); ok {
				refs[r.Blob.Digest] = r.Blob
			}
			r, ok := r.(record.Ended)
			if !ok {
				continue
			}
			if r.Head && r.Call.Number < heads[r.Program] {
				w.breaks("the journal has call %d of %s after call %d", r.Call.Number, r.Program, heads[r.Program])
			}
			if r.Head {
				heads[r.Program] = r.Call.Number
			}
			c := w.resolve(refs, r)
			if c.Result.OK() {
				recorded[fmt.Sprintf("%s %d %s", r.Program, c.Number, c.Result.Body)] = c.Request
			}
		}
	}
	w.compare(refs)
	for _, c := range w.callers {
		if !c.over {
			w.breaks("%s never got the outcome of call %d", c.program, c.number)
		}
		for number, body := range c.answers {
			if recorded[fmt.Sprintf("%s %d %s", c.program, number, body)] == "" {
				w.breaks("%s has an answer to call %d that the journal lacks: %s", c.program, number, body)
			}
		}
	}
}

func mustJSON(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return b
}
