// Command slaterock runs and operates a scheduler for agent programs.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	err := root().ExecuteContext(ctx)
	stop()
	if err != nil {
		fmt.Fprintln(os.Stderr, "slaterock:", err)
		os.Exit(1)
	}
}

func root() *cobra.Command {
	c := &cobra.Command{
		Use:           "slaterock",
		Short:         "A scheduler for agent programs",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	c.AddCommand(serveCommand(), devCommand(), fakeCommand())
	return c
}
