package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"github.com/spf13/cobra"

	"github.com/slaterock/slaterock/internal/node/daemon"
	"github.com/slaterock/slaterock/internal/node/setup"
)

func serveCommand() *cobra.Command {
	var path string
	c := &cobra.Command{
		Use:   "serve --settings FILE",
		Short: "Run one daemon",
		Long: "Run one daemon until it is drained. SIGTERM or an interrupt drains it: callers are\n" +
			"sent elsewhere, shards are handed over, and requests under way finish. A second\n" +
			"signal stops it at once.",
		Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			text, err := os.ReadFile(path) //nolint:gosec // the operator names the file
			if err != nil {
				return errors.Wrap(err, "settings")
			}
			s, err := setup.Parse(path, text)
			if err != nil {
				return err
			}
			return serve(s)
		},
	}
	c.Flags().StringVar(&path, "settings", "", "the daemon's settings file")
	_ = c.MarkFlagRequired("settings")
	return c
}

// serve runs the daemon. It takes the signals itself: the first one drains, and
// only the second ends the context.
func serve(s setup.Settings) error {
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	d := &daemon.Daemon{Settings: s, Log: zerolog.New(os.Stderr).With().Timestamp().Str("daemon", s.Daemon.Name).Logger()}
	d.Connect()
	if err := d.Init(ctx); err != nil {
		return err
	}
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	defer signal.Stop(signals)
	go func() {
		<-signals
		d.Drain()
		<-signals
		stop()
	}()
	return d.Run(ctx)
}
