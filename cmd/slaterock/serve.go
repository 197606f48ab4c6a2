package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/slaterock/slaterock/internal/node/daemon"
	"github.com/slaterock/slaterock/internal/node/setup"
	"github.com/slaterock/slaterock/internal/obs/logs"
	"github.com/slaterock/slaterock/internal/obs/metric"
	"github.com/slaterock/slaterock/internal/obs/trace"
	"github.com/slaterock/slaterock/internal/play/trcrec"
)

// spanExportTimeout bounds the export of the remaining spans at exit.
const spanExportTimeout = 3 * time.Second

func serveCommand() *cobra.Command {
	var path, record string
	c := &cobra.Command{
		Use:   "serve --settings FILE",
		Short: "Run one daemon",
		Long: "Run one daemon until it is drained. SIGTERM or an interrupt drains it: callers are\n" +
			"referred to other daemons, shards are handed over, and requests in flight finish. A\n" +
			"second signal stops it at once.",
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
			if record != "" {
				s.Observe.RecordFile = record
			}
			return serve(s)
		},
	}
	c.Flags().StringVar(&path, "settings", "", "the daemon's settings file")
	c.Flags().StringVar(&record, "record", "", "write what programs do to this file, for replay")
	_ = c.MarkFlagRequired("settings")
	return c
}

// openObservability opens the log, the metrics, the trace and the recording according to the
// settings. The returned function closes them.
func openObservability(ctx context.Context, d *daemon.Daemon) (closeAll func(), err error) {
	s := d.Settings.Observe
	if d.Logs, err = logs.Open(os.Stderr, s.LogLevel, s.LogFormat); err != nil {
		return nil, err
	}
	d.Logs = d.Logs.WithDaemon(d.Settings.Daemon.Name)
	d.Metric = metric.New()
	t := trace.Settings{Daemon: d.Settings.Daemon.Name, Endpoint: s.TraceEndpoint}
	var f *os.File
	if s.TraceFile != "" {
		f, err = os.OpenFile(s.TraceFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
		if err != nil {
			return nil, errors.Wrap(err, "trace file")
		}
		t.File = f
	}
	var record *os.File
	if s.RecordFile != "" {
		if record, err = os.OpenFile(s.RecordFile, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, 0o600); err != nil {
			return nil, errors.Wrap(err, "record file")
		}
		d.Recorder = &trcrec.Recorder{W: record, Name: d.Settings.Daemon.Name}
	}
	log := d.Logs.Logger()
	t.OnError = func(err error) { log.Warn().Err(err).Msg("trace spans lost") }
	if d.Trace, err = trace.Open(ctx, t); err != nil {
		return nil, err
	}
	return func() {
		last, stop := context.WithTimeout(context.Background(), spanExportTimeout)
		defer stop()
		_ = d.Trace.Close(last)
		_ = d.Metric.Close()
		if record != nil {
			if err := errors.CombineErrors(d.Recorder.Close(), record.Close()); err != nil {
				log.Warn().Err(err).Msg("recording is incomplete")
			}
		}
		if f != nil {
			_ = f.Close()
		}
	}, nil
}

// serve runs the daemon and handles signals: the first one drains, the second cancels the
// context.
func serve(s setup.Settings) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	d := &daemon.Daemon{Settings: s}
	d.Connect()
	closeAll, err := openObservability(ctx, d)
	if err != nil {
		return err
	}
	defer closeAll()
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
		cancel()
	}()
	return d.Run(ctx)
}
