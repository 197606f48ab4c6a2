package main

import (
	"os"

	"github.com/spf13/cobra"

	"github.com/slaterock/slaterock/internal/edge/admin"
)

const (
	defaultAddress = "127.0.0.1:7400"
	keyEnv         = "SLATEROCK_KEY"
)

// adminFlags adds the flags of a command that calls a daemon. The returned function gives the
// client, once the flags are parsed.
func adminFlags(c *cobra.Command) func() admin.Admin {
	var a admin.Admin
	c.Flags().StringVar(&a.Client.Address, "address", defaultAddress, "the daemon's address for callers")
	c.Flags().StringVar(&a.Client.Key, "key", "", "the key of an account; "+keyEnv+" if empty")
	c.Flags().BoolVar(&a.JSON, "json", false, "write JSON")
	return func() admin.Admin {
		if a.Client.Key == "" {
			a.Client.Key = os.Getenv(keyEnv)
		}
		a.Out = c.OutOrStdout()
		return a
	}
}
