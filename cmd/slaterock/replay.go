package main

import (
	"github.com/spf13/cobra"

	"github.com/slaterock/slaterock/internal/play/replay"
)

func replayCommand() *cobra.Command {
	var a replay.Args
	c := &cobra.Command{
		Use:   "replay TRACE...",
		Short: "Replay recorded traces and compare the outcomes with those stated in them",
		Args:  cobra.MinimumNArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			a.Paths = args
			return replay.Run(c.OutOrStdout(), a)
		},
	}
	c.Flags().StringVar(&a.Policy, "policy", "", "replay under this policy too and print the difference")
	c.Flags().BoolVar(&a.Table, "table", false, "print all policies side by side, in Markdown")
	c.Flags().IntVar(&a.Seeds, "seeds", 1, "with --table: how many seeds")
	return c
}
