package proxy

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"github.com/slaterock/slaterock/internal/disk/index"
	"github.com/slaterock/slaterock/internal/front/owners"
	"github.com/slaterock/slaterock/internal/front/runio"
)

// frontRuns is what one start of a front tells others after another.
type frontRuns struct {
	now atomic.Pointer[runio.Exchange]
}

// fronts returns all fronts.
func (env *testEnv) fronts() []*testEnv { return append([]*testEnv{env.root}, env.root.others...) }

// newExchange has the front and others tell each other of runs. It has been up for long.
func (env *testEnv) newExchange() {
	root := env.root
	root.listedMu.Lock()
	root.listed = append(slices.Clone(root.listed), owners.Owner{Node: env.address, Address: env.address})
	root.listedMu.Unlock()
	env.startExchange(time.Now().Add(-time.Hour))
}

// startExchange starts what the front and others tell each other of runs.
func (env *testEnv) startExchange(at time.Time) {
	x := &runio.Exchange{
		Self: env.address, Started: at, Heard: func(string) bool { return true }, AllHeard: func() bool { return true },
		Listed: func() []owners.Owner {
			env.root.listedMu.Lock()
			defer env.root.listedMu.Unlock()
			return env.root.listed
		},
	}
	x.Send = func(address string, data []byte) {
		to := env.frontAt(address)
		if to == nil || to.lost.Load() || env.lost.Load() || to.cut.Load() || env.cut.Load() {
			return
		}
		if back := to.runs.now.Load().Receive(time.Now(), data); back != nil {
			go env.runs.now.Load().Receive(time.Now(), back)
		}
	}
	x.Table.Complete(at)
	env.runs.now.Store(x)
}

// frontAt returns the front with the address, nil if there is none.
func (env *testEnv) frontAt(address string) *testEnv {
	env.root.listedMu.Lock()
	defer env.root.listedMu.Unlock()
	for _, front := range env.fronts() {
		if front.address == address {
			return front
		}
	}
	return nil
}

// forgetRuns has the front start again, as far as others ask it for runs.
func (env *testEnv) forgetRuns() { env.startExchange(time.Now()) }

func (r *frontRuns) Front() string { return r.now.Load().Front() }

func (r *frontRuns) Tell(ctx context.Context, key uint64, run index.Run) runio.Answer {
	return r.now.Load().Tell(ctx, key, run)
}

func (r *frontRuns) Over(ctx context.Context, key uint64, run index.Run) {
	r.now.Load().Over(ctx, key, run)
}

func (r *frontRuns) Fates(ctx context.Context, key uint64, attempts []index.Run) (map[string]runio.Fate, []index.Run) {
	return r.now.Load().Fates(ctx, key, attempts)
}
