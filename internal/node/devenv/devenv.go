// Package devenv runs a development environment in one process: three daemons, and fakes of
// the platform and the upstreams.
//
// `slaterock dev` starts it. The daemons are those of production and use the loopback network
// for connections to each other and to the fakes.
package devenv

import (
	"context"
	"fmt"
	"io"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/slaterock/slaterock/examples"
	"github.com/slaterock/slaterock/internal/edge/client"
	"github.com/slaterock/slaterock/internal/fake/site"
	"github.com/slaterock/slaterock/internal/node/daemon"
	"github.com/slaterock/slaterock/internal/node/setup"
	"github.com/slaterock/slaterock/internal/obs/logs"
	"github.com/slaterock/slaterock/internal/obs/metric"
)

const (
	// Key is the development account's key in examples/dev.ini.
	Key = "dev.secret"

	peerKey       = "development-peer-key"
	daemons       = 3
	firstPort     = 7400
	firstPeerPort = 7410
	anyPort       = "127.0.0.1:0"
	startTimeout  = 30 * time.Second
	pollInterval  = 20 * time.Millisecond
)

type (
	// Env is the environment. Call Start, then use Address or Client, then Stop.
	Env struct {
		AnyPorts bool // listen on ports that the operating system chooses
		Speed    float64
		Logs     logs.Logs
		Site     site.Site

		daemons []*daemon.Daemon
		cancel  context.CancelFunc
		work    sync.WaitGroup
		errs    chan error
	}
)

// The addresses of the fake upstreams in examples/dev.ini.
var upstreams = map[site.Part]string{
	site.Engine1: "127.0.0.1:7421",
	site.Engine2: "127.0.0.1:7422",
	site.Ledger:  "127.0.0.1:7431",
}

// Start starts the fakes and the daemons and applies the development configuration. It returns
// when each shard has an owner.
func (e *Env) Start(ctx context.Context) (err error) {
	defer func() { err = errors.Wrap(err, "start development environment") }()
	ctx, e.cancel = context.WithCancel(ctx)
	if !e.AnyPorts {
		e.Site.Listen = upstreams
	}
	e.Site.Speed = e.Speed
	if err = e.Site.Start(ctx); err != nil {
		return err
	}
	e.errs = make(chan error, daemons)
	for i := range daemons {
		if err = e.startDaemon(ctx, i); err != nil {
			return err
		}
	}
	wait, stop := context.WithTimeout(ctx, startTimeout)
	defer stop()
	if err = e.apply(wait); err != nil {
		return err
	}
	return e.waitConverged(wait)
}

func (e *Env) startDaemon(ctx context.Context, i int) error {
	d := &daemon.Daemon{Settings: e.settings(i)}
	d.Connect()
	d.Logs = e.Logs.WithDaemon(d.Settings.Daemon.Name)
	d.Metric = metric.New()
	if err := d.Init(ctx); err != nil {
		return err
	}
	e.daemons = append(e.daemons, d)
	e.work.Go(func() {
		if err := d.Run(ctx); err != nil {
			e.errs <- err
		}
	})
	return nil
}

func (e *Env) settings(i int) setup.Settings {
	s := setup.Settings{}
	s.Daemon = setup.Daemon{
		Name:          string(rune('a' + i)),
		FailureDomain: string(rune('a' + i)),
		Listen:        e.address(firstPort + i),
	}
	s.Peers = setup.Peers{Listen: e.address(firstPeerPort + i), Key: peerKey}
	if i > 0 {
		s.Peers.Seeds = []string{e.daemons[0].Peer()}
	}
	s.Platform = setup.Platform{
		Store:   e.Site.Address(site.Store),
		VMList:  e.Site.Address(site.VMs),
		Weights: e.Site.Address(site.Weights),
	}
	return s
}

func (e *Env) address(port int) string {
	if e.AnyPorts {
		return anyPort
	}
	return fmt.Sprintf("127.0.0.1:%d", port)
}

// Client returns a client of the i-th daemon with the development key.
func (e *Env) Client(i int) client.Client {
	return client.Client{Address: e.daemons[i].Address(), Key: Key}
}

// Address is the first daemon's address for callers.
func (e *Env) Address() string { return e.daemons[0].Address() }

func (e *Env) apply(ctx context.Context) error {
	text := examples.Dev
	for p, address := range upstreams {
		text = strings.ReplaceAll(text, address, e.Site.Address(p))
	}
	return e.daemons[0].Apply(ctx, []byte(text))
}

// waitConverged waits until every daemon has the configuration and knows an owner of every
// shard.
func (e *Env) waitConverged(ctx context.Context) error {
	tick := time.NewTicker(pollInterval)
	defer tick.Stop()
	for {
		ready := true
		for _, d := range e.daemons {
			ready = ready && d.Converged()
		}
		if ready {
			return nil
		}
		select {
		case err := <-e.errs:
			return err
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
		}
	}
}

// Wait returns when Run of a daemon returns an error, or when ctx ends.
func (e *Env) Wait(ctx context.Context) error {
	select {
	case err := <-e.errs:
		return err
	case <-ctx.Done():
		return nil
	}
}

// Stop stops the daemons and the fakes.
func (e *Env) Stop() {
	if e.cancel != nil {
		e.cancel()
	}
	e.work.Wait()
	e.Site.Close()
}

// Dev starts the environment, writes its address to w, and runs until ctx ends. With runOnce it
// runs one program and writes its history instead.
func (e *Env) Dev(ctx context.Context, w io.Writer, runOnce bool) error {
	defer e.Stop()
	if err := e.Start(ctx); err != nil {
		return err
	}
	if runOnce {
		return e.runOnce(ctx, w)
	}
	_, _ = fmt.Fprintf(w, "ready http://%s\n", e.Address())
	return e.Wait(ctx)
}
