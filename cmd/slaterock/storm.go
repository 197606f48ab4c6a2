package main

import (
	"fmt"
	"io"
	"os"
	"path/filepath"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/slaterock/slaterock/internal/fake/queued"
	"github.com/slaterock/slaterock/internal/play/chaos"
)

// stormCommand runs the real daemons under injected faults. It is a development tool.
func stormCommand() *cobra.Command {
	var s chaos.Runner
	var seeds int
	var dir, program, other, moment string
	overload := chaos.OpenLoad{Safe: 0.25, Long: 0.05}
	c := &cobra.Command{
		Use:   "processes",
		Short: "Run the real daemons as processes, inject faults and check every guarantee",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) (err error) {
			if program == "" {
				if program, err = os.Executable(); err != nil {
					return err
				}
			}
			if overload.Faults.Moment, err = momentOf(moment); err != nil {
				return err
			}
			failed := 0
			for seed := s.Seed; seed < s.Seed+uint64(seeds); seed++ {
				run := chaos.Runner{
					Command: []string{program}, Seed: seed, Net: s.Net, NoFaults: s.NoFaults, For: s.For, Fronts: s.Fronts, Disks: s.Disks, Upstreams: s.Upstreams, Callers: s.Callers,
					Dir: filepath.Join(dir, fmt.Sprint(seed)), Out: io.Discard,
				}
				// Attempts have the same IDs in each run of a seed, so records on disk from an
				// earlier run would be taken for this run's.
				if err = os.RemoveAll(run.Dir); err != nil {
					return err
				}
				if err = os.MkdirAll(run.Dir, 0o700); err != nil {
					return err
				}
				faultLog, err := os.Create(filepath.Join(run.Dir, "faults.log"))
				if err != nil {
					return err
				}
				run.Out = faultLog
				if other != "" {
					run.Other = []string{other}
				}
				var sum any
				if overload.Rate > 0 {
					sum, err = (&chaos.Overload{Runner: &run, OpenLoad: overload}).Run(c.Context())
				} else {
					sum, err = run.Run(c.Context())
				}
				_ = faultLog.Close() // the log is only for reading; a lost tail does not matter
				_, _ = fmt.Fprintf(c.OutOrStdout(), "seed %d: %+v %v\n", seed, sum, err)
				if err != nil {
					failed++
				}
			}
			if failed > 0 {
				return errors.Newf("%d of %d seeds broke a guarantee; see the logs in %s", failed, seeds, dir)
			}
			return nil
		},
	}
	f := c.Flags()
	f.Uint64Var(&s.Seed, "first", 1, "first seed")
	f.IntVar(&seeds, "seeds", 1, "seeds to play")
	f.BoolVar(&s.NoFaults, "calm", false, "play no faults")
	f.DurationVar(&s.For, "for", 15*time.Second, "time with faults")
	f.IntVar(&s.Fronts, "fronts", 4, "processes that serve callers")
	f.IntVar(&s.Disks, "disks", 4, "processes that keep records")
	f.IntVar(&s.Upstreams, "upstreams", 16, "upstreams")
	f.IntVar(&s.Callers, "callers", 24, "callers at a time")
	f.IntVar(&s.Net, "net", 0, "second byte of the loopback addresses; runs with different ones may overlap")
	f.StringVar(&program, "program", "", "program to run, for example of another release; this one if empty")
	f.StringVar(&other, "other", "", "program of another release, which every second start of a process runs; none if empty")
	f.Float64Var(&overload.Rate, "overload", 0, "calls per second of a load that keeps plain upstreams full, in place of callers and faults; 0 for none")
	f.DurationVar(&overload.Work, "work", 170*time.Millisecond, "mean time of a run under that load")
	f.Float64Var(&overload.Faulty, "faulty", 0.6, "share of the upstreams with faults under that load")
	f.DurationVar(&overload.FaultsFor, "faults-for", 10*time.Second, "time of these faults")
	f.Float64Var(&overload.Faults.Refusals, "repeat-refusals", 0, "share of their refusals that are sent once more, late")
	f.Float64Var(&overload.Faults.Successes, "repeat-successes", 0, "share of their successes that are sent once more, late")
	f.StringVar(&moment, "late", "arrival", "when these are sent: at the next request's arrival, begin or answer")
	f.Float64Var(&overload.Faults.Cut, "cut", 0, "share of their refusals that are cut")
	f.Float64Var(&overload.Faults.CutCopies, "cut-copies", 0, "share of what is sent once more that is cut")
	f.BoolVar(&overload.OtherStart, "other-start", false, "a wrong process answers at their addresses now and then")
	f.StringVar(&dir, "dir", filepath.Join(os.TempDir(), "slaterock-soak"), "folder for settings, disks and logs")
	return c
}

// momentOf returns the moment at which copies are sent.
func momentOf(name string) (queued.Moment, error) {
	moments := map[string]queued.Moment{"arrival": queued.OnArrival, "begin": queued.OnBegin, "answer": queued.OnAnswer}
	m, ok := moments[name]
	if !ok {
		return 0, errors.Newf("no such moment: %q", name)
	}
	return m, nil
}
