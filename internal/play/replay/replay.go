// Package replay runs a trace through the production decision code under a
// virtual clock and checks its stated outcomes.
//
// Each owner of the trace is one Decider, sched.Sched unless another policy is
// named; several run side by side and know nothing of each other but what the
// upstreams report. Upstreams are small models that know only what the trace
// says of them. A replay of the same trace with the same seed gives the same
// report, whatever the machine.
package replay

import (
	"fmt"
	"math/rand/v2"
	"slices"

	"github.com/slaterock/slaterock/internal/place/sched"
	"github.com/slaterock/slaterock/internal/place/sweep"
	"github.com/slaterock/slaterock/internal/play/basis"
	"github.com/slaterock/slaterock/internal/play/trace"
)

const (
	// Production names the policy that the daemon runs.
	Production = "slaterock"

	sweepEvery = sweep.Interval
	jitterMS   = 1000
	jitterPart = 0.1
)

type (
	// Options tell how to replay. The zero value replays as recorded, under
	// the production policy.
	Options struct {
		Policy string // Production or a baseline's name
		// Seed shifts arrivals by up to a second and sizes and pauses by a
		// tenth, and feeds the owners' sampling. 0 leaves the trace as it is.
		Seed    uint64
		Gate    Gate
		Decider func(owner int) Decider // instead of Policy
	}
)

// Policies returns the names of all policies, the production one first.
func Policies() []string {
	out := []string{Production}
	for _, p := range basis.Policies() {
		out = append(out, string(p))
	}
	return out
}

// Replay runs the trace once.
func Replay(t trace.Trace, o Options) (r Report, err error) {
	if o.Policy == "" {
		o.Policy = Production
	}
	if o.Decider == nil && !slices.Contains(Policies(), o.Policy) {
		return r, fmt.Errorf("unknown policy %q, known are %v", o.Policy, Policies())
	}
	w := newWorld(perturb(t, o.Seed), o)
	w.start()
	w.run()
	return w.finish(o.Policy), nil
}

func (o Options) decider(i int) Decider {
	switch {
	case o.Decider != nil:
		return o.Decider(i)
	case o.Policy == Production:
		return &sched.Sched{Seed: o.Seed<<16 + uint64(i)}
	default:
		return &basis.Basis{Policy: basis.Policy(o.Policy)}
	}
}

// perturb returns the trace shaken by the seed, so that a policy is not
// measured on one accident of timing.
func perturb(t trace.Trace, seed uint64) trace.Trace {
	if seed == 0 {
		return t
	}
	rng := rand.New(rand.NewPCG(seed, 3))
	part := func(n int) int { return int(float64(n) * (1 + jitterPart*(2*rng.Float64()-1))) }
	t.Programs = slices.Clone(t.Programs)
	for i := range t.Programs {
		p := &t.Programs[i]
		p.AtMS = max(0, p.AtMS+rng.Int64N(2*jitterMS)-jitterMS)
		p.Calls = slices.Clone(p.Calls)
		for j := range p.Calls {
			c := &p.Calls[j]
			c.Prompt, c.Output = part(c.Prompt), part(c.Output)
			c.PauseMS, c.WorkMS = int64(part(int(c.PauseMS))), int64(part(int(c.WorkMS)))
		}
	}
	return t
}
