package main

import (
	"bytes"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/slaterock/slaterock/internal/play/chaos"
)

// All processes are killed at once and start again while the platform's store is
// away. Daemons that serve callers have no disk, so only the VMs with one can tell
// them the configuration and the upstreams. Callers would be refused until the
// store's return, for as long as that takes.
func TestServedWithoutTheStore(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	is := is.New(t)
	t.Setenv(asMain, "1")
	var faults bytes.Buffer
	s := &chaos.Runner{
		Seed: 5, StoreOutage: true, For: 2 * time.Second, Fronts: 2, Disks: 3, Upstreams: 4, Callers: 6,
		Command: []string{os.Args[0]}, Dir: t.TempDir(), Out: &faults,
	}
	sum, err := s.Run(t.Context())
	t.Logf("%+v\n%s", sum, faults.String())
	is.NoErr(err)
}

// The real programs run as processes of their own before stand-ins of the users'
// platform. Callers run programs of kept turns and calls, with budgets, while
// nothing is wrong, and while processes are killed, stopped and paused, disks are
// lost, and connections and the store misbehave. No promise may be broken: callers
// would see halves of answers, lost turns, work done twice.
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
			t.Setenv(asMain, "1")
			var faults bytes.Buffer
			s.Command, s.Dir, s.Out = []string{os.Args[0]}, t.TempDir(), &faults
			sum, err := s.Run(t.Context())
			if err != nil || name == "calm" {
				t.Logf("%+v\n%s", sum, faults.String())
			}
			is.NoErr(err)
			if name == "calm" {
				is.Equal(sum.Other, 0) // everything is answered, or refused for its budget
				is.True(sum.Whole > 50)
			}
		})
	}
}
