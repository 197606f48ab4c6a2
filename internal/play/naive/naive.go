// Package naive implements the baseline load-balancing policies that the
// scheduler is compared with: round robin, least outstanding and sticky hash.
// They accept the messages of sched.Sched, skip leaving and avoided upstreams and
// release the cached blocks of programs that end. They don't queue, and refuse a
// request only if no upstream is eligible.
package naive

import (
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/slaterock/slaterock/internal/conf/file"
	"github.com/slaterock/slaterock/internal/place/sched"
	"github.com/slaterock/slaterock/internal/plat/vmlist"
	"github.com/slaterock/slaterock/internal/prog/result"
)

const (
	// RoundRobin selects the upstreams in turn.
	RoundRobin Policy = "round_robin"
	// LeastOutstanding selects the upstream with the fewest requests in flight
	// from this owner.
	LeastOutstanding Policy = "least_outstanding"
	// StickyHash selects by rendezvous hashing of the root program, so that a
	// program and its sub-programs share an upstream.
	StickyHash Policy = "sticky_hash"
)

type (
	// Policy is the name of a baseline policy.
	Policy string

	// Balancer is the scheduler of one owner under a baseline policy.
	Balancer struct {
		Policy Policy

		cfg      file.File
		names    []string
		inflight map[string]int
		leaving  map[string]bool
		next     map[string]int
		held     map[string][]string // upstreams that may cache blocks of a program
	}
)

// Policies returns all baselines.
func Policies() []Policy { return []Policy{RoundRobin, LeastOutstanding, StickyHash} }

// Step applies one message and returns the resulting effects.
func (b *Balancer) Step(_ time.Time, m sched.Message) []sched.Effect {
	if b.inflight == nil {
		b.inflight, b.leaving = map[string]int{}, map[string]bool{}
		b.next, b.held = map[string]int{}, map[string][]string{}
	}
	switch m := m.(type) {
	case sched.Configure:
		b.cfg, b.names = m.File, slices.Sorted(maps.Keys(m.File.Upstreams))
	case sched.Submit:
		return b.submit(m)
	case sched.Done:
		b.inflight[m.Upstream]--
	case sched.Load:
		b.leaving[m.Upstream] = m.Report.Leaving
	case sched.VMs:
		for _, vm := range m.List {
			b.leaving[vm.Name] = b.leaving[vm.Name] || vm.State == vmlist.Leaving
		}
	case sched.ProgramEnded:
		return b.programEnded(m.Program)
	}
	return nil
}

func (b *Balancer) programEnded(program string) (out []sched.Effect) {
	for _, name := range b.held[program] {
		out = append(out, sched.Release{Upstream: name, Program: program})
	}
	delete(b.held, program)
	return out
}

func (b *Balancer) submit(a sched.Submit) []sched.Effect {
	var eligible []string
	for _, name := range b.names {
		if b.cfg.Upstreams[name].Group == a.Group && !b.leaving[name] && !slices.Contains(a.Avoid, name) {
			eligible = append(eligible, name)
		}
	}
	if len(eligible) == 0 {
		return []sched.Effect{sched.Refuse{ID: a.ID, Code: result.CodeNoUpstream, RetryAfter: time.Second}}
	}
	name := b.pick(eligible, a)
	b.inflight[name]++
	if a.Model != "" && !slices.Contains(b.held[a.Program], name) {
		b.held[a.Program] = append(b.held[a.Program], name)
	}
	return []sched.Effect{sched.Assign{ID: a.ID, Upstream: name, Address: b.cfg.Upstreams[name].Address}}
}

func (b *Balancer) pick(eligible []string, a sched.Submit) string {
	switch b.Policy {
	case StickyHash:
		return slices.MaxFunc(eligible, func(x, y string) int {
			return compare(xxhash.Sum64String(x+"/"+a.Root), xxhash.Sum64String(y+"/"+a.Root))
		})
	case LeastOutstanding:
		b.next[a.Group]++ // rotates among upstreams with equal counts
		first := b.next[a.Group] % len(eligible)
		eligible = append(slices.Clone(eligible[first:]), eligible[:first]...)
		return slices.MinFunc(eligible, func(x, y string) int { return b.inflight[x] - b.inflight[y] })
	default:
		b.next[a.Group]++
		return eligible[b.next[a.Group]%len(eligible)]
	}
}

func compare(x, y uint64) int {
	switch {
	case x < y:
		return -1
	case x > y:
		return 1
	default:
		return 0
	}
}
