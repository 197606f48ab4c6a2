package main

import "github.com/spf13/cobra"

func requestCommand() *cobra.Command {
	c := &cobra.Command{
		Use:   "request ID",
		Short: "Show what became of one request",
		Long: "Show what became of one request: what was asked, each attempt, the outcome, whether\n" +
			"it ran, the budget before and after, and the configuration version in force.\n" +
			"ID is the header Slaterock-Request of the answer.",
		Args: cobra.ExactArgs(1),
	}
	newAdmin := adminFlags(c)
	c.RunE = func(c *cobra.Command, args []string) error { return newAdmin().Request(c.Context(), args[0]) }
	return c
}
