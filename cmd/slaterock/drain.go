package main

import "github.com/spf13/cobra"

func drainCommand() *cobra.Command {
	c := &cobra.Command{
		Use:   "drain",
		Short: "Shut down the daemon at --address without interrupting requests",
		Args:  cobra.NoArgs,
	}
	newAdmin := adminFlags(c)
	c.RunE = func(c *cobra.Command, _ []string) error { return newAdmin().Drain(c.Context()) }
	return c
}
