// Package replay runs a trace through the production scheduler in a
// discrete-event simulation and checks the trace's expectations.
//
// Each owner of the trace is one Scheduler, sched.Sched unless another policy is
// selected. Owners share no state: each sees the others' load only through the
// upstreams' reports. Upstreams are simple models parameterised by the trace. A
// replay is deterministic: the same trace and seed give the same report on every
// machine.
package replay

import (
	"fmt"
	"math/rand/v2"
	"slices"

	"github.com/slaterock/slaterock/internal/place/sched"
	"github.com/slaterock/slaterock/internal/place/sweep"
	"github.com/slaterock/slaterock/internal/play/naive"
	"github.com/slaterock/slaterock/internal/play/trace"
)

const (
	// Production is the name of the policy that the daemon runs.
	Production = "slaterock"

	sweepInterval   = sweep.Interval
	arrivalJitterMS = 1000
	sizeJitter      = 0.1
)

type (
	// Options configure a replay. The zero value replays the trace as recorded,
	// under the production policy.
	Options struct {
		Policy string // Production or the name of a baseline policy
		// Seed shifts arrivals by up to a second, scales token counts, pauses
		// and service times by up to 10%, and seeds the owners' sampling. With 0
		// the trace is unchanged.
		Seed      uint64
		Admission Admission
		Scheduler func(owner int) Scheduler // overrides Policy
	}
)

// Policies returns the names of all policies, the production one first.
func Policies() []string {
	out := []string{Production}
	for _, p := range naive.Policies() {
		out = append(out, string(p))
	}
	return out
}

// Replay runs the trace once. The error reports an unknown policy.
func Replay(t trace.Trace, o Options) (r Report, err error) {
	if o.Policy == "" {
		o.Policy = Production
	}
	if o.Scheduler == nil && !slices.Contains(Policies(), o.Policy) {
		return r, fmt.Errorf("unknown policy %q, valid policies are %v", o.Policy, Policies())
	}
	w := newWorld(perturb(t, o.Seed), o)
	w.start()
	w.run()
	return w.buildReport(o.Policy), nil
}

func (o Options) scheduler(i int) Scheduler {
	switch {
	case o.Scheduler != nil:
		return o.Scheduler(i)
	case o.Policy == Production:
		return &sched.Sched{Seed: o.Seed<<16 + uint64(i)}
	default:
		return &naive.Balancer{Policy: naive.Policy(o.Policy)}
	}
}

// perturb returns the trace with random variations drawn from the seed, so that
// a policy's result does not depend on one particular timing.
func perturb(t trace.Trace, seed uint64) trace.Trace {
	if seed == 0 {
		return t
	}
	rng := rand.New(rand.NewPCG(seed, 3))
	scale := func(n int) int { return int(float64(n) * (1 + sizeJitter*(2*rng.Float64()-1))) }
	t.Programs = slices.Clone(t.Programs)
	for i := range t.Programs {
		p := &t.Programs[i]
		p.AtMS = max(0, p.AtMS+rng.Int64N(2*arrivalJitterMS)-arrivalJitterMS)
		p.Calls = slices.Clone(p.Calls)
		for j := range p.Calls {
			c := &p.Calls[j]
			c.Prompt, c.Output = scale(c.Prompt), scale(c.Output)
			c.PauseMS, c.WorkMS = int64(scale(int(c.PauseMS))), int64(scale(int(c.WorkMS)))
		}
	}
	return t
}
