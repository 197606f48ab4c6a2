package main

import "github.com/spf13/cobra"

func statusCommand() *cobra.Command {
	c := &cobra.Command{
		Use:   "status",
		Short: "Show daemons, shards, epochs and each daemon's active configuration version",
		Args:  cobra.NoArgs,
	}
	newAdmin := adminFlags(c)
	c.RunE = func(c *cobra.Command, _ []string) error { return newAdmin().Status(c.Context()) }
	return c
}
