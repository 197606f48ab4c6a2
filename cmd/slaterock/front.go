package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"github.com/spf13/cobra"

	"github.com/slaterock/slaterock/internal/front/bucket"
	"github.com/slaterock/slaterock/internal/front/conns"
	"github.com/slaterock/slaterock/internal/front/memory"
	"github.com/slaterock/slaterock/internal/node/diskd"
	"github.com/slaterock/slaterock/internal/node/frontd"
	"github.com/slaterock/slaterock/internal/obs/crash"
	"github.com/slaterock/slaterock/internal/obs/logbuf"
	"github.com/slaterock/slaterock/internal/obs/metric"
	"github.com/slaterock/slaterock/internal/obs/sheds"
	"github.com/slaterock/slaterock/internal/obs/trace"
	"github.com/slaterock/slaterock/internal/peer/pause"
	"github.com/slaterock/slaterock/internal/plat/head"
	"github.com/slaterock/slaterock/platform"
)

// metricsPort is fixed because the settings file of the platform (see package platform) has no
// port for /metrics.
const metricsPort = 9464

const (
	metricsTimeout = 15 * time.Second // of a response, and between two requests
	metricsHeader  = 16 << 10         // of a request, in bytes
	reportInterval = time.Second      // between two updates of the gauges of what clients hold
)

// traceEndpointEnv is the environment variable with the address of a trace collector. It may be
// unset.
const traceEndpointEnv = "SLATEROCK_TRACE_ENDPOINT"

func frontCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "front",
		Short: "Serve callers on a VM of the platform",
		Long: "Serve callers, the directory and the readiness check on a VM of the platform.\n" +
			"The settings file is the one that " + platform.SettingsVariable + " names. SIGTERM drains,\n" +
			"SIGHUP checks the settings file.",
		Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error { return runOnPlatform(runFront) },
	}
}

func storageCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "storage",
		Short: "Store durable records on a VM of the platform",
		Long: "Store the durable records of turns and budgets on a VM with a disk. The settings file is\n" +
			"the one that " + platform.SettingsVariable + " names. SIGTERM stops it once accepted records\n" +
			"are on disk, SIGHUP checks the settings file.",
		Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error { return runOnPlatform(runStorage) },
	}
}

// process holds what a process on the platform needs to run.
type process struct {
	settings platform.Settings
	store    *platform.Store
	log      zerolog.Logger
	metric   *metric.Metric
	clients  *memory.Budget // what clients may have the process hold
	stop     chan struct{}  // closed at SIGTERM or an interrupt
}

// runOnPlatform runs one process with log, metrics and signal handling.
func runOnPlatform(run func(context.Context, *process) error) (err error) {
	s, err := platform.ReadSettings()
	if err != nil {
		return err
	}
	log, closeLog := logbuf.Open(os.Stdout, s.Node)
	defer closeLog()
	p := &process{settings: s, store: platform.Open(s.Store.Address), log: log, metric: metric.New(), stop: make(chan struct{})}
	p.store.Broken, p.store.Reset = p.noteBrokenAnswer, p.noteResetAnswer
	log.Info().Interface("settings", s).Msg("start")
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go p.watchSignals(ctx)
	p.boundMemory(ctx)
	srv := &http.Server{
		Handler: p.metric.Handler(), ReadTimeout: time.Second, WriteTimeout: metricsTimeout, IdleTimeout: metricsTimeout, MaxHeaderBytes: metricsHeader,
	}
	go p.serveMetrics(ctx, srv)
	err = run(ctx, p)
	_ = srv.Close() // no final scrape is expected
	log.Info().Err(err).Int64("store_calls", p.store.Calls()).Msg("stop")
	return err
}

// noteBrokenAnswer logs and counts an answer of the store of which nothing was used.
func (p *process) noteBrokenAnswer(err *head.Error) {
	p.log.Warn().Err(err).Msg("broken answer of the store")
	p.metric.Scope().Tagged(map[string]string{"part": string(err.Part)}).Counter("store_responses_broken").Inc(1)
}

// noteResetAnswer logs and counts an answer of the store that may be a part.
func (p *process) noteResetAnswer(err error) {
	p.log.Warn().Err(err).Msg("connection to the store failed while a call was written")
	p.metric.Scope().Counter("store_responses_reset").Inc(1)
}

// boundMemory has clients hold only what the VM has room for, and the runtime collect garbage before the VM has none.
func (p *process) boundMemory(ctx context.Context) {
	vm := int64(p.settings.MemoryMB) << 20
	lost := &sheds.Sheds{Log: p.log, Scope: p.metric.Scope()}
	p.clients = &memory.Budget{VM: vm, Descriptors: int64(p.settings.Descriptors), OnShed: lost.Note}
	p.clients.BoundRuntime()
	go func() {
		for pause.For(ctx, reportInterval) {
			lost.Report(p.clients)
		}
	}()
}

// serveMetrics serves /metrics. Without it, requests are served all the same.
func (p *process) serveMetrics(ctx context.Context, srv *http.Server) {
	var lc net.ListenConfig
	ln, err := lc.Listen(ctx, "tcp", fmt.Sprintf("%s:%d", p.settings.IP, metricsPort))
	if err == nil {
		conns.Configure(srv)
		err = srv.Serve((&conns.Server{Budget: p.clients, Kind: memory.Checks}).Listen(ln))
	}
	if !errors.Is(err, http.ErrServerClosed) {
		p.log.Warn().Err(err).Msg("metrics listener failed")
	}
}

// watchSignals closes stop at SIGTERM or an interrupt, and reads the settings file again at
// SIGHUP, which only checks it: the settings in use, such as addresses and folders, stay those
// read at the start.
func (p *process) watchSignals(ctx context.Context) {
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt, syscall.SIGHUP)
	defer signal.Stop(signals)
	draining := false
	for {
		select {
		case sig := <-signals:
			if sig == syscall.SIGHUP {
				_, err := platform.ReadSettings()
				p.log.Info().Err(err).Msg("SIGHUP: settings file checked, not applied")
				continue
			}
			p.log.Info().Str("signal", sig.String()).Msg("stopping")
			if !draining {
				draining = true
				close(p.stop)
			}
		case <-ctx.Done():
			return
		}
	}
}

func (p *process) peerAddress() string {
	return fmt.Sprintf("%s:%d", p.settings.IP, p.settings.PeerPorts[0])
}

func runFront(ctx context.Context, p *process) error {
	s := p.settings
	t, err := trace.Open(ctx, trace.Settings{Daemon: s.Node, Endpoint: os.Getenv(traceEndpointEnv), OnError: func(err error) {
		p.log.Warn().Err(err).Msg("trace spans lost")
	}})
	if err != nil {
		return err
	}
	defer func() {
		exportCtx, stop := context.WithTimeout(context.Background(), spanExportTimeout)
		defer stop()
		_ = t.Close(exportCtx) // spans not sent by then are lost
	}()
	d := &frontd.Daemon{
		Settings: frontd.Settings{
			Node: s.Node, Domain: s.Domain, Cores: s.Cores, Callers: s.Callers, Ready: s.Ready, Directory: s.Directory,
			Peer: p.peerAddress(), Seeds: s.Seeds, Grace: s.Grace, AnswerTTL: s.AnswerTTL, Tolerance: bucket.Tolerance(s.Limits),
		},
		Store: p.store, Source: &platform.Source{Store: p.store}, Dialect: platform.Dialect{}, Endpoints: platform.Endpoints{},
		Log: p.log, Scope: p.metric.Scope(), Trace: t, Clients: p.clients,
	}
	return d.Run(ctx, p.stop)
}

// minStorageProcs is the minimum GOMAXPROCS on a VM with a disk. One thread waits for the disk
// most of the time. With a single one, the default on a VM with one core, no other goroutine
// runs during a sync, and a record that takes six steps through the process waits for six
// syncs.
const minStorageProcs = 4

func runStorage(ctx context.Context, p *process) error {
	s := p.settings
	runtime.GOMAXPROCS(max(minStorageProcs, runtime.GOMAXPROCS(0)))
	if s.DataDir == "" {
		return errors.New("settings: data-dir is missing")
	}
	if err := crash.Watch(s.DataDir, p.log); err != nil {
		p.log.Warn().Err(err).Msg("a crash of this process will not be logged at its next start")
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		<-p.stop
		cancel()
	}()
	d := &diskd.Daemon{
		Settings: diskd.Settings{
			Node: s.Node, Domain: s.Domain, Address: p.peerAddress(), Control: s.Control, Dir: s.DataDir,
			Capacity: int64(s.DiskMB) << 20, Losses: s.Losses,
		},
		Store: p.store, Operator: &platform.Source{Store: p.store}, Log: p.log, Scope: p.metric.Scope(), Clients: p.clients,
	}
	return d.Run(ctx)
}
