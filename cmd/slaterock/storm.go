package main

import (
	"fmt"
	"io"
	"os"
	"path/filepath"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/slaterock/slaterock/internal/play/chaos"
)

// stormCommand runs the real daemons under injected faults. It is a development tool.
func stormCommand() *cobra.Command {
	var s chaos.Runner
	var seeds int
	var dir string
	c := &cobra.Command{
		Use:   "processes",
		Short: "Run the real daemons as processes, inject faults and check every guarantee",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) (err error) {
			self, err := os.Executable()
			if err != nil {
				return err
			}
			failed := 0
			for seed := s.Seed; seed < s.Seed+uint64(seeds); seed++ {
				run := chaos.Runner{
					Command: []string{self}, Seed: seed, NoFaults: s.NoFaults, For: s.For, Fronts: s.Fronts, Disks: s.Disks, Upstreams: s.Upstreams, Callers: s.Callers,
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
				sum, err := run.Run(c.Context())
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
	f.StringVar(&dir, "dir", filepath.Join(os.TempDir(), "slaterock-soak"), "folder for settings, disks and logs")
	return c
}
