package main

import "github.com/spf13/cobra"

func historyCommand() *cobra.Command {
	c := &cobra.Command{
		Use:   "history PROGRAM",
		Short: "Show a program's history",
		Args:  cobra.ExactArgs(1),
	}
	newAdmin := adminFlags(c)
	c.RunE = func(c *cobra.Command, args []string) error { return newAdmin().History(c.Context(), args[0]) }
	return c
}
