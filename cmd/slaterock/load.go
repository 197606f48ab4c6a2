package main

import (
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/slaterock/slaterock/internal/play/load"
)

func loadCommand() *cobra.Command {
	var l load.Generator
	var shape string
	var json, quiet bool
	c := &cobra.Command{
		Use:   "load",
		Short: "Run agent programs against a running system and check each answer",
		Long: "Generate load on a running system: programs arrive at a fixed rate, independent of\n" +
			"earlier ones, and each answer and history is checked. The report has the latency of\n" +
			"whole programs and the wasted cache tokens. It fails if a guarantee was broken or no\n" +
			"program finished.",
		Args: cobra.NoArgs,
	}
	f := c.Flags()
	f.StringSliceVar(&l.Addresses, "address", []string{defaultAddress}, "addresses of daemons for callers")
	f.StringVar(&l.Key, "key", "", "the key of an account; "+keyEnv+" if empty")
	f.StringVar(&l.Engine, "engine", "", "an engine to call directly as well, for comparison")
	f.StringVar(&shape, "shape", "pickup", "the kind of programs: pickup or shelf")
	f.Float64Var(&l.Rate, "rate", 2, "programs a second")
	f.DurationVar(&l.Duration, "duration", 30*time.Second, "for how long programs arrive")
	f.Float64Var(&l.Speed, "speed", 1, "divides pauses and the time between arrivals")
	f.Uint64Var(&l.Seed, "seed", 1, "of what the programs are")
	f.StringVar(&l.Tag, "tag", "", "makes program ids unique between runs; taken from the clock if empty")
	f.BoolVar(&json, "json", false, "write the report as JSON")
	f.BoolVar(&quiet, "quiet", false, "write no progress")
	c.RunE = func(c *cobra.Command, _ []string) (err error) {
		if l.Shape, err = load.ShapeOf(shape); err != nil {
			return err
		}
		if l.Key == "" {
			l.Key = os.Getenv(keyEnv)
		}
		if !quiet {
			l.Progress = c.ErrOrStderr()
		}
		r, err := l.Run(c.Context())
		if err != nil && !errors.Is(err, load.ErrFaults) && !errors.Is(err, load.ErrNoPrograms) {
			return err
		}
		if json {
			return errors.CombineErrors(err, r.JSON(c.OutOrStdout()))
		}
		r.Print(c.OutOrStdout())
		return err
	}
	return c
}
