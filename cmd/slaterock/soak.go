package main

import (
	"fmt"

	"github.com/spf13/cobra"

	"github.com/slaterock/slaterock/internal/play/soak"
)

// soakCommand runs the state machines of a shard owner under random faults. It is a development
// tool.
func soakCommand() *cobra.Command {
	s := soak.Soak{}
	c := &cobra.Command{
		Use:    "soak",
		Short:  "Run random histories with faults and check every guarantee",
		Hidden: true,
		Args:   cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			s.Out = c.OutOrStdout()
			sum, err := s.Run()
			_, _ = fmt.Fprintf(c.OutOrStdout(), "%d histories from seed %d: %+v\n", s.Histories, s.First, sum)
			return err
		},
	}
	c.Flags().IntVar(&s.First, "first", 0, "seed of the first history")
	c.Flags().IntVar(&s.Histories, "histories", 1000, "histories to play")
	c.Flags().IntVar(&s.Workers, "workers", 1, "histories played at a time")
	c.Flags().IntVar(&s.TraceLines, "traced", 60, "lines to show of a history that broke a promise")
	c.AddCommand(stormCommand())
	return c
}
