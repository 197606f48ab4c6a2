package parts

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/slaterock/slaterock/internal/front/fleet"
	"github.com/slaterock/slaterock/internal/front/mesh"
	"github.com/slaterock/slaterock/internal/front/meta"
	"github.com/slaterock/slaterock/internal/front/pick"
)

const (
	prefixTokens = 2560
	prefillRate  = 42 // tokens a millisecond
	places       = 16 // turns that an engine runs at the same time
	domains      = 6
)

type (
	// scenario is a load on engines behind fronts. Arrivals and turns depend only on the seed.
	scenario struct {
		fronts, engines, prefixes int
		zipf                      float64 // exponent of the prefixes' popularity
		rate                      float64 // new programs a second
		length                    time.Duration
		keeps                     int     // prefixes that an engine keeps, the last used; 0 for all
		loss                      float64 // of datagrams
		named                     bool    // callers name the parts of their prompts
		event                     func(r *run)
		at                        time.Duration // of the event
	}

	// run is a scenario in progress: the decisions of the fronts, their messages, and engines that
	// prefill one prompt after the other, during which the turns there wait.
	run struct {
		scenario
		now     time.Time
		begin   time.Time
		queue   steps
		order   int
		load    *rand.Rand // arrivals and turns
		net     *rand.Rand // losses
		front   []*front
		byPeer  map[string]int
		engine  map[string]*engine
		list    []fleet.Upstream
		service *fleet.Service
		view    *fleet.View
		result  result
	}

	result struct {
		programs, turns int
		again           int           // shared tokens prefilled although another engine had them
		wait            time.Duration // sum over turns until the first event
		waits           []float64     // milliseconds
		took            time.Duration // sum over turns
		wrong           int           // shared tokens that the engine was assumed to have, but had not
		pairBytes       map[int]int   // received by a front for pairs
		holders         map[uint64]map[string]bool
	}

	front struct {
		mesh   mesh.Mesh
		picker pick.Picker
		table  Table
	}

	engine struct {
		id        string
		inFlight  int
		waiting   []func()
		prefilled time.Time     // when the prefills in progress end
		paused    time.Duration // sum of the prefills
		prefix    []uint64      // cached, the last used at the end
		programs  map[int]bool  // whose prompts are cached
	}

	program struct {
		number, turns, tokens int
		shared                []meta.Part
		last                  string     // engine of its previous turn
		load                  *rand.Rand // its own, so that all variants get the same programs
	}

	step struct {
		at    time.Time
		order int
		do    func()
	}

	steps []step
)

func (q steps) Len() int { return len(q) }
func (q steps) Less(i, j int) bool {
	return q[i].at.Before(q[j].at) || q[i].at.Equal(q[j].at) && q[i].order < q[j].order
}
func (q steps) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *steps) Push(x any)   { *q = append(*q, x.(step)) } //nolint:forcetypeassert // heap.Push is given nothing else
func (q *steps) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

func (r *run) after(d time.Duration, do func()) {
	r.order++
	heap.Push(&r.queue, step{at: r.now.Add(d), order: r.order, do: do})
}

// play runs the scenario and returns what came of it.
func play(s scenario) result {
	r := &run{scenario: s, now: time.Unix(1000, 0), load: rand.New(rand.NewPCG(5, 5)), net: rand.New(rand.NewPCG(6, 6)), byPeer: map[string]int{}, engine: map[string]*engine{}}
	r.begin = r.now
	r.result.pairBytes, r.result.holders = map[int]int{}, map[uint64]map[string]bool{}
	for i := range s.engines {
		id := fmt.Sprint("engine-", i)
		r.list = append(r.list, fleet.Upstream{ID: id, Service: "s", Address: id, Domain: fmt.Sprint(i % domains), Batch: places, Born: 1})
		r.engine[id] = &engine{id: id, programs: map[int]bool{}}
	}
	r.publish()
	r.startFronts()
	for i := range s.fronts {
		r.after(time.Duration(r.net.IntN(100))*time.Millisecond, func() { r.tick(i) })
	}
	r.after(2*time.Second, r.arrive)
	if s.event != nil {
		r.after(s.at, func() { s.event(r) })
	}
	end := r.now.Add(s.length)
	for r.queue[0].at.Before(end) {
		next := heap.Pop(&r.queue).(step) //nolint:forcetypeassert // as pushed
		r.now = next.at
		next.do()
	}
	return r.result
}

// publish makes the present list of engines known to all fronts.
func (r *run) publish() {
	var f fleet.Fleet
	f.Update(r.now, fleet.Snapshot{Revision: uint64(r.now.UnixNano()), Upstreams: r.list})
	r.view = f.View()
	r.service = r.view.Services["s"]
}

func (r *run) startFronts() {
	var peers []mesh.Peer
	for i := range r.fronts {
		name := fmt.Sprint("front-", i)
		peers = append(peers, mesh.Peer{Node: name, Address: name, Domain: fmt.Sprint(i % domains), Cores: 1})
		r.byPeer[name] = i
	}
	for _, p := range peers {
		f := &front{mesh: mesh.Mesh{Self: p}, picker: pick.Picker{Name: p.Node, Domain: p.Domain}}
		f.picker.Age, f.picker.Holders = f.mesh.Age, f.table.Holders
		f.picker.Idle = func(string) bool { return true }
		f.mesh.Step(r.now, mesh.PeerList{Peers: peers})
		r.front = append(r.front, f)
	}
}

func (r *run) tick(i int) {
	f := r.front[i]
	load := map[mesh.ID]int{}
	for id, n := range f.picker.OwnInFlight() {
		load[mesh.IDOf(id)] = n
	}
	self := f.mesh.Self
	r.send(f.mesh.Step(r.now, mesh.Tick{State: mesh.State{Node: self.Node, Peer: self.Address}, Load: load, Cached: f.table.TakeNew()}))
	f.table.Update(r.now, r.view)
	r.after(f.mesh.Interval(), func() { r.tick(i) })
}

func (r *run) send(sends []mesh.Send) {
	for _, s := range sends {
		to := r.byPeer[s.To]
		r.result.pairBytes[to] += 9 * len(mesh.CachedOf(s.Message))
		if r.net.Float64() < r.loss {
			continue
		}
		r.after(2*time.Millisecond, func() { r.receive(to, s.Message) })
	}
}

func (r *run) receive(to int, msg mesh.Message) {
	f := r.front[to]
	r.send(f.mesh.Step(r.now, mesh.Received{Message: msg}))
	f.table.Merge(r.now, mesh.CachedOf(msg))
	p := f.mesh.Summary(r.now)
	load := map[string]int{}
	for id, n := range p.Load {
		if u, known := r.view.FindByID(id); known {
			load[u.ID] = n
		}
	}
	f.picker.PeersUpdated(load, p.Fronts-1)
}

// arrive begins a program, and the next one after a while.
func (r *run) arrive() {
	r.result.programs++
	p := &program{number: r.result.programs, turns: 3 + r.load.IntN(7), tokens: 200 + r.load.IntN(800), load: rand.New(rand.NewPCG(7, r.load.Uint64()))}
	total := 0.0
	for i := range r.prefixes {
		total += math.Pow(float64(i+1), -r.zipf)
	}
	number, at := 0, r.load.Float64()*total
	for at--; at > 0 && number < r.prefixes-1; number++ {
		at -= math.Pow(float64(number+2), -r.zipf)
	}
	a := meta.Attempt{Parts: []meta.Part{{ID: uint64(number), Tokens: prefixTokens}, {ID: uint64(p.number) << 32}}}
	p.shared = a.SharedParts("s")
	r.turn(p)
	r.after(time.Duration(r.load.ExpFloat64()/r.rate*float64(time.Second)), r.arrive)
}

// turn runs the program's next turn at a front that the caller is directed to.
func (r *run) turn(p *program) {
	f := r.front[p.load.IntN(len(r.front))]
	request := pick.Request{Candidates: r.service, Key: fmt.Sprint(p.number), Prefer: p.last, Tokens: prefixTokens + p.tokens}
	if r.named {
		request.Shared = p.shared
	}
	u, _ := f.picker.Choose(r.now, request)
	found, _ := f.table.Use(r.now, request.Shared, u)
	began, pause := r.now, time.Duration(50+p.load.IntN(150))*time.Millisecond
	decode := time.Duration(80+p.load.IntN(160)) * time.Millisecond
	grow := 100 + p.load.IntN(200)
	r.engine[u.ID].enter(func() {
		if found > 0 && !r.engine[u.ID].has(p.shared[len(p.shared)-1].ID) {
			r.result.wrong += found
		}
		r.run(r.engine[u.ID], p, began, decode, func() {
			f.picker.Done(u.ID)
			r.result.turns++
			r.result.took += r.now.Sub(began)
			p.last, p.tokens = u.ID, p.tokens+grow
			if p.turns--; p.turns > 0 {
				r.after(pause, func() { r.turn(p) })
			}
		})
	})
}

// enter calls do when the engine has a free place.
func (e *engine) enter(do func()) {
	if e.inFlight++; e.inFlight > places {
		e.waiting = append(e.waiting, do)
		return
	}
	do()
}

func (e *engine) leave() {
	if e.inFlight--; len(e.waiting) > 0 {
		next := e.waiting[0]
		e.waiting = e.waiting[1:]
		next()
	}
}

// run prefills what the engine lacks of the prompt, decodes and calls done.
func (r *run) run(e *engine, p *program, began time.Time, decode time.Duration, done func()) {
	prefill := time.Duration(r.missing(e, p)) * time.Millisecond / prefillRate
	if e.prefilled.Before(r.now) {
		e.prefilled = r.now
	}
	e.prefilled = e.prefilled.Add(prefill)
	e.paused += prefill
	paused := e.paused
	r.after(e.prefilled.Sub(r.now), func() {
		r.result.wait += r.now.Sub(began)
		r.result.waits = append(r.result.waits, r.now.Sub(began).Seconds()*1000)
		decode = decode * time.Duration(20+min(e.inFlight, places)) / 20
		r.decode(e, decode, paused, func() { e.leave(); done() })
	})
}

// decode waits for the events of a turn and for the prefills of others meanwhile.
func (r *run) decode(e *engine, rest, paused time.Duration, done func()) {
	r.after(rest, func() {
		if e.paused > paused {
			r.decode(e, e.paused-paused, e.paused, done)
			return
		}
		done()
	})
}

// missing returns the tokens of the prompt that the engine has not cached, and caches them.
func (r *run) missing(e *engine, p *program) (tokens int) {
	tokens = 150 // of the latest input
	if !e.programs[p.number] {
		e.programs[p.number] = true
		tokens = p.tokens
	}
	id := p.shared[len(p.shared)-1].ID
	if !e.use(id, r.keeps) {
		tokens += prefixTokens
		if len(r.result.holders[id]) > 0 {
			r.result.again += prefixTokens
		}
	}
	if r.result.holders[id] == nil {
		r.result.holders[id] = map[string]bool{}
	}
	r.result.holders[id][e.id] = true
	return tokens
}

func (e *engine) has(id uint64) bool { return slices.Contains(e.prefix, id) }

// use reports whether the engine had the prefix cached, and makes it the last used one.
func (e *engine) use(id uint64, keeps int) (had bool) {
	if had = e.has(id); had {
		e.prefix = slices.DeleteFunc(e.prefix, func(other uint64) bool { return other == id })
	}
	e.prefix = append(e.prefix, id)
	if keeps > 0 && len(e.prefix) > keeps {
		e.prefix = e.prefix[1:]
	}
	return had
}
