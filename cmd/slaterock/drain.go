package main

import "github.com/spf13/cobra"

func drainCommand() *cobra.Command {
	c := &cobra.Command{
		Use:   "drain",
		Short: "Shut the daemon at --address down without cutting a request",
		Args:  cobra.NoArgs,
	}
	newAdmin := adminFlags(c)
	c.RunE = func(c *cobra.Command, _ []string) error { return newAdmin().Drain(c.Context()) }
	return c
}
