// Command slaterock runs and operates a scheduler for agent programs.
package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"
)

// The exit codes.
const (
	exitOK     = 0
	exitFailed = 1
	exitUsage  = 2
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := run(ctx, rootCommand(), os.Stderr)
	stop()
	os.Exit(code)
}

// run executes the command line and returns the exit code. An error returned before a command
// starts is a usage error.
func run(ctx context.Context, c *cobra.Command, stderr io.Writer) int {
	started := false
	onStart(c, func() { started = true })
	err := c.ExecuteContext(ctx)
	if err == nil {
		return exitOK
	}
	_, _ = fmt.Fprintln(stderr, "slaterock:", err)
	if !started {
		return exitUsage
	}
	return exitFailed
}

// onStart has all commands below c call started before they run.
func onStart(c *cobra.Command, started func()) {
	for _, sub := range c.Commands() {
		onStart(sub, started)
		runE := sub.RunE
		if runE == nil {
			continue
		}
		sub.RunE = func(c *cobra.Command, args []string) error {
			started()
			return runE(c, args)
		}
	}
}

func rootCommand() *cobra.Command {
	c := &cobra.Command{
		Use:           "slaterock",
		Short:         "A scheduler for agent programs",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	c.AddCommand(frontCommand(), storageCommand())
	c.AddCommand(serveCommand(), devCommand(), fakeCommand(), soakCommand())
	c.AddCommand(checkCommand(), applyCommand(), replayCommand(), loadCommand(), explainCommand())
	c.AddCommand(statusCommand(), historyCommand(), requestCommand(), drainCommand())
	return c
}
