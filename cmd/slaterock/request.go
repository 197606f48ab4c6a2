package main

import "github.com/spf13/cobra"

func requestCommand() *cobra.Command {
	c := &cobra.Command{
		Use:   "request ID",
		Short: "Show the outcome of one request",
		Long: "Show one request: its content, each attempt, the outcome, whether it ran, the budget\n" +
			"before and after, and the active configuration version.\n" +
			"ID is the header Slaterock-Request of the answer.",
		Args: cobra.ExactArgs(1),
	}
	newAdmin := adminFlags(c)
	c.RunE = func(c *cobra.Command, args []string) error { return newAdmin().Request(c.Context(), args[0]) }
	return c
}
