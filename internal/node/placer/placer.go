// Package placer drives placement at one daemon: one sched.Sched serves all shards that the
// daemon owns, so that it counts the load of all their requests.
//
// It polls the engines' load reports and cache events and the platform's list of VMs, and
// sends the orders that placement decides on to engines.
package placer

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"github.com/slaterock/slaterock/internal/conf/file"
	"github.com/slaterock/slaterock/internal/peer/pause"
	"github.com/slaterock/slaterock/internal/place/loader"
	"github.com/slaterock/slaterock/internal/place/sched"
	"github.com/slaterock/slaterock/internal/plat/engine"
	"github.com/slaterock/slaterock/internal/plat/vmlist"
	"github.com/slaterock/slaterock/internal/plat/weight"
)

const (
	mailboxSize  = 4096
	tickInterval = 50 * time.Millisecond
	pollInterval = 500 * time.Millisecond
	pollTimeout  = 2 * time.Second
)

type (
	// Requester receives the answers to its requests, each a sched.Assign or a
	// sched.Refuse.
	Requester interface {
		Answer(e sched.Effect)
	}

	// Placer runs the daemon's sched.Sched: it passes messages to it and executes its effects.
	// Set the exported fields, then call Init and Serve.
	Placer struct {
		Seed    uint64
		Engine  func(address string) engine.Engine
		VMs     vmlist.List    // nil if the platform has none
		Weights weight.Weights // paces model loads; nil for no limit
		Go      func(f func())
		Log     zerolog.Logger
		Fence   func(upstream string) (uint64, bool) // fencing number for orders; false if not responsible
		Forward func(ctx context.Context, upstream string, o engine.Order) error
		Live    func(ctx context.Context, programs []string) ([]string, error)
		OnLoad  func(upstream string, l engine.Load) // called with each load report; may be nil

		sched      sched.Sched
		loader     loader.Loader
		cfg        file.File
		inbox      chan envelope
		requesters map[string]Requester
		running    map[string]int    // attempts in progress by request; a hedge is a second one
		lastEvent  map[string]uint64 // number of the newest cache event by upstream
		lastLoad   map[string]uint64 // number of the newest load report by upstream
		poll       map[string]bool   // upstreams with a poll in progress; "" is the list of VMs
		lastPoll   time.Time
	}

	envelope struct {
		from Requester
		m    sched.Message
		f    func()
	}
)

var errNotResponsible = errors.New("placer: another daemon is responsible for the engine's orders")

// Init must be called before Tell and Serve.
func (p *Placer) Init() {
	p.inbox = make(chan envelope, mailboxSize)
	p.requesters = map[string]Requester{}
	p.running = map[string]int{}
	p.lastEvent = map[string]uint64{}
	p.lastLoad = map[string]uint64{}
	p.poll = map[string]bool{}
	p.sched.Seed = p.Seed
}

// Tell posts a message to placement. The answers to a sched.Submit go to from.
func (p *Placer) Tell(ctx context.Context, from Requester, m sched.Message) {
	select {
	case p.inbox <- envelope{from: from, m: m}:
	case <-ctx.Done():
	}
}

// Serve runs until ctx ends.
func (p *Placer) Serve(ctx context.Context) {
	t := time.NewTicker(tickInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case l := <-p.inbox:
			if l.f != nil {
				l.f()
				continue
			}
			p.step(ctx, l.from, l.m)
		case now := <-t.C:
			p.step(ctx, nil, sched.Tick{})
			if now.Sub(p.lastPoll) >= pollInterval {
				p.lastPoll = now
				p.pollAll(ctx)
				p.updateLoader(ctx)
			}
		}
	}
}

func (p *Placer) step(ctx context.Context, from Requester, m sched.Message) {
	switch m := m.(type) {
	case sched.Configure:
		p.cfg = m.File
		p.declareModels(ctx, m.File)
	case sched.Submit:
		p.requesters[m.ID] = from
	case sched.Cancel:
		delete(p.requesters, m.ID)
	case sched.Done:
		p.running[m.ID]--
		if p.running[m.ID] <= 0 {
			delete(p.running, m.ID)
			delete(p.requesters, m.ID)
		}
	}
	for _, e := range p.sched.Step(time.Now(), m) {
		p.apply(ctx, e)
	}
}

func (p *Placer) apply(ctx context.Context, e sched.Effect) {
	switch e := e.(type) {
	case sched.Assign:
		if a := p.requesters[e.ID]; a != nil {
			p.running[e.ID]++
			a.Answer(e)
		}
	case sched.Refuse:
		if a := p.requesters[e.ID]; a != nil {
			delete(p.requesters, e.ID)
			a.Answer(e)
		}
	case sched.Release:
		p.order(ctx, e.Upstream, engine.Order{Kind: engine.OrderRelease, Program: e.Program})
	case sched.Export:
		target := p.cfg.Upstreams[e.To].Address
		p.order(ctx, e.Upstream, engine.Order{Kind: engine.OrderExport, Program: e.Program, Target: target})
	case sched.List:
		p.reconcileHeld(ctx, e.Upstream)
	}
}

// reconcileHeld compares the programs that an engine holds with those that are live at their
// owners. Only the daemon that is responsible for the engine does so.
func (p *Placer) reconcileHeld(ctx context.Context, upstream string) {
	if _, responsible := p.Fence(upstream); !responsible {
		return
	}
	address := p.cfg.Upstreams[upstream].Address
	p.Go(func() {
		callCtx, stop := context.WithTimeout(ctx, OrderTimeout)
		defer stop()
		held, err := p.Engine(address).Held(callCtx)
		if err != nil {
			return
		}
		live, err := p.Live(callCtx, held)
		if err != nil {
			return // with an incomplete answer, live programs would be released
		}
		p.Tell(ctx, nil, sched.Held{Upstream: upstream, Programs: held, Live: live})
	})
}

func (p *Placer) pollAll(ctx context.Context) {
	for name, u := range p.cfg.Upstreams {
		if p.cfg.Groups[u.Group].Kind == file.Engines && !p.poll[name] {
			p.poll[name] = true
			p.pollOne(ctx, name, u.Address, p.lastEvent[name])
		}
	}
	if p.VMs == nil || p.poll[""] {
		return
	}
	p.poll[""] = true
	p.Go(func() {
		poll, stop := context.WithTimeout(ctx, pollTimeout)
		defer stop()
		list, err := p.VMs.VMs(poll)
		p.runInLoop(ctx, func() {
			p.poll[""] = false
			if err == nil {
				p.step(ctx, nil, sched.VMs{List: list})
			}
		})
	})
}

func (p *Placer) pollOne(ctx context.Context, name, address string, after uint64) {
	p.Go(func() {
		jitter := time.Duration(rand.Int64N(int64(pollInterval / 4)))
		if !pause.For(ctx, jitter) { // many daemons poll one engine
			return
		}
		poll, stop := context.WithTimeout(ctx, pollTimeout)
		defer stop()
		load, lerr := p.Engine(address).Load(poll)
		events, eerr := p.Engine(address).Events(poll, after)
		p.runInLoop(ctx, func() {
			p.poll[name] = false
			if lerr == nil {
				if load.Seq < p.lastLoad[name] {
					// The engine restarted and numbers from one again. Without a reset
					// its events would be skipped until they pass the old number.
					p.lastEvent[name] = 0
					p.stepLoader(ctx, loader.Restarted{Upstream: name})
				}
				p.lastLoad[name] = load.Seq
				if p.OnLoad != nil {
					p.OnLoad(name, load)
				}
				p.step(ctx, nil, sched.Load{Upstream: name, Report: load})
			}
			if eerr == nil && len(events) > 0 {
				p.lastEvent[name] = max(p.lastEvent[name], events[len(events)-1].Seq)
				p.step(ctx, nil, sched.Cache{Upstream: name, Events: events})
			}
		})
	})
}

// updateLoader reports to the loader for which engines this daemon is responsible, and starts the
// loads that are due.
func (p *Placer) updateLoader(ctx context.Context) {
	for name, u := range p.cfg.Upstreams {
		if len(u.Models) > 0 {
			_, responsible := p.Fence(name)
			p.stepLoader(ctx, loader.Responsible{Upstream: name, OK: responsible})
		}
	}
	p.stepLoader(ctx, loader.Tick{})
}

func (p *Placer) runInLoop(ctx context.Context, f func()) {
	select {
	case p.inbox <- envelope{f: f}:
	case <-ctx.Done():
	}
}
