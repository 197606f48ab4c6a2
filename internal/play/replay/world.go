package replay

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/slaterock/slaterock/internal/conf/file"
	"github.com/slaterock/slaterock/internal/place/sched"
	"github.com/slaterock/slaterock/internal/plat/engine"
	"github.com/slaterock/slaterock/internal/plat/vmlist"
	"github.com/slaterock/slaterock/internal/play/trace"
)

const (
	tickInterval   = 100 * time.Millisecond
	vmListInterval = time.Second
	listReplyDelay = 5 * time.Millisecond // until an engine's reply to List arrives
	leavingGrace   = 2 * time.Second
	// After the last program ends, the replay continues for this long plus the
	// time in which the owners together list every upstream four times. Each owner
	// lists one upstream per sweepInterval, to release blocks of ended programs.
	minDrain = 10 * time.Second
	// A replay that reaches this virtual time with open programs is stopped as
	// stuck.
	maxDuration = 2 * time.Hour
)

type (
	// Scheduler makes the decisions of one owner: sched.Sched in production.
	Scheduler interface {
		Step(now time.Time, m sched.Message) []sched.Effect
	}

	// Admission decides before each call whether the program may make it: a
	// non-empty outcome ends the program. Settle is called with the usage of each
	// answered call. Without an Admission, the trace's budgets and turn limits
	// are enforced by counting the trace's tokens and calls.
	Admission interface {
		Admit(now time.Time, p trace.Program, number int, spent int64) (outcome string)
		Settle(now time.Time, p trace.Program, number int, usage engine.Usage)
	}

	// world is the state of a replay; spec is the trace.
	world struct {
		clock
		spec           trace.Trace
		rng            *rand.Rand
		admission      Admission
		owners         []*owner
		upstreams      []*upstream
		byName         map[string]*upstream
		programs       []*program
		requests       []*request // open
		byID           map[string]*request
		computedBlocks map[uint64]bool // hashes of blocks that some engine has prefilled
		storeOutages   int
		openPrograms   int
		report         Report
	}

	owner struct{ s Scheduler }
)

func newWorld(spec trace.Trace, o Options) *world {
	w := &world{
		spec: spec, admission: o.Admission, rng: rand.New(rand.NewPCG(o.Seed, 2)),
		byName: map[string]*upstream{}, byID: map[string]*request{}, computedBlocks: map[uint64]bool{},
	}
	w.now = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	for i := range max(spec.Header.Owners, 1) {
		w.owners = append(w.owners, &owner{s: o.scheduler(i)})
	}
	for _, u := range spec.Upstreams {
		wk := newUpstream(w, u)
		w.upstreams = append(w.upstreams, wk)
		w.byName[u.Name] = wk
	}
	return w
}

func (w *world) start() {
	cfg := configuration(w.spec)
	for i, o := range w.owners {
		w.step(o, sched.Configure{File: cfg})
		first := tickInterval * time.Duration(i) / time.Duration(len(w.owners))
		w.every(first, tickInterval, func() bool { w.step(o, sched.Tick{}); return true })
	}
	for i, u := range w.upstreams {
		if u.spec.ReportMS > 0 {
			first := ms(u.spec.ReportMS) * time.Duration(i) / time.Duration(len(w.upstreams))
			w.every(first, ms(u.spec.ReportMS), func() bool { u.publish(); return true })
		}
	}
	w.every(0, vmListInterval, func() bool { w.publishVMs(); return true })
	for _, f := range w.spec.Faults {
		w.after(ms(f.AtMS), func() { w.fault(f, true) })
		w.after(ms(f.UntilMS), func() { w.fault(f, false) })
	}
	for i := range w.spec.Programs {
		p := &program{spec: &w.spec.Programs[i], begin: -1}
		p.owner = w.owners[xxhash.Sum64String(p.spec.Name)%uint64(len(w.owners))]
		w.programs = append(w.programs, p)
		w.openPrograms++
		w.after(ms(p.spec.AtMS), func() { p.arrive(w) })
	}
}

// run runs events until all programs have ended and the owners' sweeps have had
// time to release the blocks left in the caches, or until maxDuration is reached.
// sweepTime is the time in which the owners together list every upstream twice.
func (w *world) run() {
	begin := w.now
	var ended time.Time
	sweepTime := time.Duration(2*len(w.upstreams)) * sweepInterval / time.Duration(len(w.owners))
	w.clock.run(func() bool {
		if w.openPrograms > 0 {
			return w.now.Sub(begin) > maxDuration
		}
		if ended.IsZero() {
			ended = w.now
		}
		return w.now.Sub(ended) > minDrain+2*sweepTime
	})
}

func configuration(t trace.Trace) file.File {
	h := t.Header
	f := file.File{
		System: file.System{LatencyWeight: h.LatencyWeight, CacheWeight: h.CacheWeight},
		Limits: file.Limits{RetryShare: h.RetryShare, HedgeShare: h.HedgeShare, UpstreamTimeout: ms(h.TimeoutMS)},
		Groups: map[string]file.Group{}, Services: map[string]file.Service{}, Upstreams: map[string]file.Upstream{},
	}
	for _, u := range t.Upstreams {
		kind := file.Engines
		if u.Service {
			kind = file.Services
		}
		f.Groups[u.Group] = file.Group{Kind: kind, QueueLimit: h.QueueLimit, QueueWait: ms(h.QueueWaitMS), MaxInflight: h.MaxInflight}
		f.Upstreams[u.Name] = file.Upstream{Group: u.Group, Address: u.Name, FailureDomain: u.FailureDomain}
	}
	for _, s := range t.Services {
		f.Services[s.Name] = file.Service{Group: s.Group, Idempotent: s.Idempotent, Hedge: s.Hedge, Timeout: ms(s.TimeoutMS)}
	}
	return f
}

func (w *world) step(o *owner, m sched.Message) {
	for _, e := range o.s.Step(w.now, m) {
		switch e := e.(type) {
		case sched.Assign:
			w.assign(e)
		case sched.Refuse:
			w.refuse(e)
		case sched.Release:
			u := w.byName[e.Upstream]
			u.recordEvent(nil, u.cache.release(e.Program))
		case sched.Export:
			w.export(e)
		case sched.List:
			w.after(listReplyDelay, func() { w.replyHeld(o, e.Upstream) })
		}
	}
}

func (w *world) replyHeld(o *owner, name string) {
	u := w.byName[name]
	if u.active(trace.Down) {
		return
	}
	set := map[string]bool{}
	u.cache.programs(set)
	m := sched.Held{Upstream: name}
	for _, p := range w.programs {
		if set[p.spec.Name] {
			m.Programs = append(m.Programs, p.spec.Name)
			if !p.ended {
				m.Live = append(m.Live, p.spec.Name)
			}
		}
	}
	w.step(o, m)
}

func (w *world) export(e sched.Export) {
	from, to := w.byName[e.Upstream], w.byName[e.To]
	if from.active(trace.Down) || to.active(trace.Down) {
		return
	}
	blocks := from.cache.blocksOf(e.Program)
	stored, evicted := to.cache.store(e.Program, blocks)
	to.recordEvent(stored, evicted)
	w.report.Exports++
}

// publishVMs delivers the platform's list of VMs to all owners after the trace's
// ListLagMS.
func (w *world) publishVMs() {
	var m sched.VMs
	for _, u := range w.upstreams {
		vm := vmlist.VM{Name: u.spec.Name, Address: u.spec.Name, FailureDomain: u.spec.FailureDomain, State: vmlist.Live}
		if u.active(trace.Leave) {
			vm.State = vmlist.Leaving
		}
		m.List = append(m.List, vm)
	}
	w.after(ms(w.spec.Header.ListLagMS), func() {
		for i, u := range w.upstreams {
			if m.List[i].State == vmlist.Leaving && u.leavingSince.IsZero() && u.active(trace.Leave) {
				u.leavingSince = w.now
			}
		}
		for _, o := range w.owners {
			w.step(o, m)
		}
	})
}

func (w *world) fault(f trace.Fault, begins bool) {
	delta := 1
	if !begins {
		delta = -1
	}
	if f.Mode == trace.StoreOutage {
		w.storeOutages += delta
		return
	}
	for _, u := range w.upstreams {
		if f.Upstream != u.spec.Name && (f.FailureDomain == "" || f.FailureDomain != u.spec.FailureDomain) {
			continue
		}
		u.faults[f.Mode] += delta
		switch {
		case f.Mode == trace.Slow && begins:
			u.slowdown = max(f.Factor, 1)
		case f.Mode == trace.Slow:
			u.slowdown = 1
		case f.Mode == trace.Down && begins:
			u.crash()
		case f.Mode == trace.Leave && !begins:
			w.report.CutStreams += len(u.running)
			u.crash()
			u.leavingSince = time.Time{}
		}
	}
}

// recordPrefill counts the tokens of a block that an engine prefilled; they are
// wasted if some engine had computed the block before.
func (w *world) recordPrefill(b engine.Block) {
	w.report.Prefilled += b.Tokens
	if w.computedBlocks[b.Hash] {
		w.report.Wasted += b.Tokens
	}
	w.computedBlocks[b.Hash] = true
}

func (w *world) remove(r *request) {
	delete(w.byID, r.id)
	if i := slices.Index(w.requests, r); i >= 0 {
		w.requests = slices.Delete(w.requests, i, i+1)
	}
}

func blockHash(format string, args ...any) uint64 {
	return xxhash.Sum64String(fmt.Sprintf(format, args...))
}
