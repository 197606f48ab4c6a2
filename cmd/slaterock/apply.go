package main

import (
	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"
)

var errNoFile = errors.New("apply: want one FILE, or --show")

func applyCommand() *cobra.Command {
	var from string
	var show bool
	c := &cobra.Command{
		Use:   "apply FILE",
		Short: "Apply a configuration",
		Long: "Apply a configuration as a whole, as the version after the one that it was made from.\n" +
			"If another version is in force by then, nothing is applied and the error names both\n" +
			"versions. The first configuration of a system, and a text that is in force already, need\n" +
			"no --from. --show prints the text in force.",
	}
	c.Flags().StringVar(&from, "from", "0", "the version that the file was made from, or newest")
	c.Flags().BoolVar(&show, "show", false, "write the configuration in force and its version")
	newAdmin := adminFlags(c)
	c.RunE = func(c *cobra.Command, args []string) error {
		if show {
			return newAdmin().Show(c.Context())
		}
		return newAdmin().Apply(c.Context(), args[0], from)
	}
	c.Args = func(c *cobra.Command, args []string) error {
		if show == (len(args) == 1) || len(args) > 1 {
			return errNoFile
		}
		return nil
	}
	return c
}
