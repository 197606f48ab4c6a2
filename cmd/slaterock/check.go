package main

import (
	"github.com/spf13/cobra"

	"github.com/slaterock/slaterock/internal/conf/apply"
)

func checkCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "check FILE",
		Short: "Check a configuration without a running system",
		Args:  cobra.ExactArgs(1),
		RunE:  func(c *cobra.Command, args []string) error { return apply.CheckFile(c.OutOrStdout(), args[0]) },
	}
}
