package main

import "github.com/spf13/cobra"

func statusCommand() *cobra.Command {
	c := &cobra.Command{
		Use:   "status",
		Short: "Show daemons, shards, epochs and the configuration version in force at each",
		Args:  cobra.NoArgs,
	}
	newAdmin := adminFlags(c)
	c.RunE = func(c *cobra.Command, _ []string) error { return newAdmin().Status(c.Context()) }
	return c
}
