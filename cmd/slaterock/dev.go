package main

import (
	"os"

	"github.com/spf13/cobra"

	"github.com/slaterock/slaterock/internal/node/devenv"
	"github.com/slaterock/slaterock/internal/obs/logs"
)

func devCommand() *cobra.Command {
	var t devenv.Env
	var once, verbose bool
	c := &cobra.Command{
		Use:   "dev",
		Short: "Run three daemons on loopback with simulated upstreams",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			level := "warn"
			if verbose {
				level = "debug"
			}
			var err error
			if t.Logs, err = logs.Open(os.Stderr, level, logs.Auto); err != nil {
				return err
			}
			t.AnyPorts = t.AnyPorts || once
			return t.Dev(c.Context(), c.OutOrStdout(), once)
		},
	}
	c.Flags().BoolVar(&once, "once", false, "run one program, print its history and exit")
	c.Flags().BoolVar(&verbose, "verbose", false, "log everything")
	c.Flags().BoolVar(&t.AnyPorts, "any-ports", false, "listen on ports that the system chooses")
	c.Flags().Float64Var(&t.Speed, "speed", 1, "speed of the stand-in engines")
	return c
}
