// Package trial runs a whole small system in one process: stand-ins for the
// platform and the upstreams, and three daemons before them.
//
// It is what `slaterock dev` starts. The daemons are the real ones and talk over
// loopback, to each other as to the stand-ins.
package trial

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

	peerKey   = "development-peer-key"
	daemons   = 3
	firstPort = 7400
	firstPeer = 7410
	anyPort   = "127.0.0.1:0"
	startTime = 30 * time.Second
	pollEvery = 20 * time.Millisecond
)

type (
	// Trial is the system. Start it, use Address, then Stop.
	Trial struct {
		AnyPorts bool // listen on ports that the system chooses
		Speed    float64
		Logs     logs.Logs
		Site     site.Site

		daemons []*daemon.Daemon
		cancel  context.CancelFunc
		work    sync.WaitGroup
		errs    chan error
	}
)

// The addresses of the stand-ins in examples/dev.ini.
var upstreams = map[site.Part]string{
	site.Engine1: "127.0.0.1:7421",
	site.Engine2: "127.0.0.1:7422",
	site.Ledger:  "127.0.0.1:7431",
}

// Start starts everything and applies the development configuration. It
// returns when each shard has an owner.
func (t *Trial) Start(ctx context.Context) (err error) {
	defer func() { err = errors.Wrap(err, "start development system") }()
	ctx, t.cancel = context.WithCancel(ctx)
	if !t.AnyPorts {
		t.Site.Listen = upstreams
	}
	t.Site.Speed = t.Speed
	if err = t.Site.Start(ctx); err != nil {
		return err
	}
	t.errs = make(chan error, daemons)
	for i := range daemons {
		if err = t.startDaemon(ctx, i); err != nil {
			return err
		}
	}
	wait, stop := context.WithTimeout(ctx, startTime)
	defer stop()
	if err = t.apply(wait); err != nil {
		return err
	}
	return t.settle(wait)
}

func (t *Trial) startDaemon(ctx context.Context, i int) error {
	d := &daemon.Daemon{Settings: t.settings(i)}
	d.Connect()
	d.Logs = t.Logs.WithDaemon(d.Settings.Daemon.Name)
	d.Metric = metric.New()
	if err := d.Init(ctx); err != nil {
		return err
	}
	t.daemons = append(t.daemons, d)
	t.work.Go(func() {
		if err := d.Run(ctx); err != nil {
			t.errs <- err
		}
	})
	return nil
}

func (t *Trial) settings(i int) setup.Settings {
	s := setup.Settings{}
	s.Daemon = setup.Daemon{
		Name:          string(rune('a' + i)),
		FailureDomain: string(rune('a' + i)),
		Listen:        t.address(firstPort + i),
	}
	s.Peers = setup.Peers{Listen: t.address(firstPeer + i), Key: peerKey}
	if i > 0 {
		s.Peers.Seeds = []string{t.daemons[0].Peer()}
	}
	s.Platform = setup.Platform{
		Store:   t.Site.Address(site.Store),
		VMList:  t.Site.Address(site.VMs),
		Weights: t.Site.Address(site.Weights),
	}
	return s
}

func (t *Trial) address(port int) string {
	if t.AnyPorts {
		return anyPort
	}
	return fmt.Sprintf("127.0.0.1:%d", port)
}

// Client returns a caller of the i-th daemon with the development key.
func (t *Trial) Client(i int) client.Client {
	return client.Client{Address: t.daemons[i].Address(), Key: Key}
}

// Address is where callers reach the first daemon.
func (t *Trial) Address() string { return t.daemons[0].Address() }

func (t *Trial) apply(ctx context.Context) error {
	text := examples.Dev
	for p, address := range upstreams {
		text = strings.ReplaceAll(text, address, t.Site.Address(p))
	}
	return t.daemons[0].Apply(ctx, []byte(text))
}

// settle waits until every daemon runs the configuration and every shard has an
// owner that all know.
func (t *Trial) settle(ctx context.Context) error {
	tick := time.NewTicker(pollEvery)
	defer tick.Stop()
	for {
		ready := true
		for _, d := range t.daemons {
			ready = ready && d.Settled()
		}
		if ready {
			return nil
		}
		select {
		case err := <-t.errs:
			return err
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
		}
	}
}

// Wait returns when a daemon fails or ctx ends.
func (t *Trial) Wait(ctx context.Context) error {
	select {
	case err := <-t.errs:
		return err
	case <-ctx.Done():
		return nil
	}
}

// Stop ends everything.
func (t *Trial) Stop() {
	if t.cancel != nil {
		t.cancel()
	}
	t.work.Wait()
	t.Site.Close()
}

// Dev starts the system, says where it is, and runs until ctx ends. With once it
// runs one program and reports its history instead.
func (t *Trial) Dev(ctx context.Context, w io.Writer, once bool) error {
	defer t.Stop()
	if err := t.Start(ctx); err != nil {
		return err
	}
	if once {
		return t.once(ctx, w)
	}
	_, _ = fmt.Fprintf(w, "ready http://%s\n", t.Address())
	return t.Wait(ctx)
}
