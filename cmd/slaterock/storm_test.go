package main

import (
	"bytes"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/slaterock/slaterock/internal/fake/queued"
	"github.com/slaterock/slaterock/internal/play/chaos"
)

// All processes are killed and restarted while the platform's store is unavailable. Front
// daemons have no disk, so they must get the configuration and the upstreams from the VMs with
// a disk; otherwise callers would be refused until the store is back.
func TestRestartWithoutStore(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	is := is.New(t)
	t.Setenv(mainEnv, "1")
	var faults bytes.Buffer
	s := &chaos.Runner{
		Seed: 5, StoreOutage: true, For: 2 * time.Second, Fronts: 2, Disks: 3, Upstreams: 4, Callers: 6,
		Command: []string{os.Args[0]}, Dir: t.TempDir(), Out: &faults,
	}
	sum, err := s.Run(t.Context())
	t.Logf("%+v\n%s", sum, faults.String())
	is.NoErr(err)
}

// The real daemons run as processes on a simulated platform. Callers run programs of stored
// turns and calls, with budgets, first without faults and then while processes are killed,
// stopped and paused, disks are lost, and connections and the store fail. No guarantee may be
// broken: no partial answers, lost turns or work done twice.
func TestProcessesOnPlatform(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	cases := map[string]*chaos.Runner{
		"calm":   {Seed: 1, NoFaults: true, For: 3 * time.Second, Fronts: 2, Disks: 3, Upstreams: 4, Callers: 8},
		"faults": {Seed: 9, For: 6 * time.Second, Fronts: 3, Disks: 4, Upstreams: 6, Callers: 12},
	}
	for name, s := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			t.Setenv(mainEnv, "1")
			var faults bytes.Buffer
			s.Command, s.Dir, s.Out = []string{os.Args[0]}, t.TempDir(), &faults
			sum, err := s.Run(t.Context())
			if err != nil || name == "calm" {
				t.Logf("%+v\n%s", sum, faults.String())
			}
			is.NoErr(err)
			if name == "calm" {
				is.Equal(sum.Other, 0) // every request is answered, or refused because of its budget
				is.True(sum.Whole > 50)
			}
		})
	}
}

// Guards against a request that is told it has not run, and has, beside full upstreams that send refusals and successes once more, late.
func TestRefusedRequestsDoNotRun(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	is := is.New(t)
	t.Setenv(mainEnv, "1")
	var found bytes.Buffer
	c := &chaos.Overload{
		Runner: &chaos.Runner{Seed: 1, For: 3 * time.Second, Fronts: 3, Disks: 3, Upstreams: 5, Command: []string{os.Args[0]}, Dir: t.TempDir(), Out: &found},
		OpenLoad: chaos.OpenLoad{
			Rate: 250, Safe: 0.25, Long: 0.1, Work: 150 * time.Millisecond, Faulty: 0.6, FaultsFor: 2 * time.Second, OtherStart: true,
			Faults: queued.Faults{Refusals: 0.3, Successes: 0.1, Cut: 0.05, CutCopies: 0.1},
		},
	}
	sum, err := c.Run(t.Context())
	t.Logf("%+v\n%s", sum, found.String())
	is.NoErr(err)
	is.True(sum.CopiedRefusals > 0 && sum.CopiedSuccesses > 0 && sum.Early > 0 && sum.CameBack > 0) // the faults befell
}
