package frontd

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/slaterock/slaterock/internal/front/conns"
	"github.com/slaterock/slaterock/internal/front/memory"
)

const (
	// headerTimeout, idleTimeout and maxHeaderBytes apply where the configuration sets no
	// limit of its own.
	headerTimeout  = 3 * time.Second
	idleTimeout    = 15 * time.Second
	maxHeaderBytes = 16 << 10
	// checkHeaderBytes bounds a head at the directory and the readiness check, also before there is a configuration.
	checkHeaderBytes = 64 << 10
	// checkTimeout bounds a response of the directory and of the readiness check.
	checkTimeout = 10 * time.Second
)

func (d *Daemon) serveChecks(ctx context.Context) (srv *http.Server, err error) {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+d.Endpoints.ReadyPath(), func(w http.ResponseWriter, _ *http.Request) {
		if !d.ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	mux.HandleFunc("GET "+d.Endpoints.DirectoryPath(), d.resolve)
	srv = &http.Server{
		Handler: mux, ReadTimeout: headerTimeout, WriteTimeout: checkTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: checkHeaderBytes, ErrorLog: discardLog(),
	}
	conns.Configure(srv)
	counted := conns.Server{Budget: d.Clients, Kind: memory.Checks}
	for _, address := range []string{d.Settings.Ready, d.Settings.Directory} {
		if address == "" {
			continue
		}
		ln, err := listen(ctx, address)
		if err != nil {
			return nil, err
		}
		go d.serve(srv, counted.Listen(ln), address)
	}
	return srv, nil
}

func (d *Daemon) serve(srv *http.Server, ln net.Listener, address string) {
	if err := srv.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
		d.Log.Error().Err(err).Str("address", address).Msg("HTTP listener stopped")
	}
}

func (d *Daemon) serveCallers() error {
	ln, err := listen(context.Background(), d.Settings.Callers)
	if err != nil {
		return err
	}
	counted := (&conns.Server{Budget: d.Clients, Kind: memory.Callers}).Listen(ln)
	go func() {
		if err := d.callers.Serve(counted); !errors.Is(err, net.ErrClosed) {
			d.Log.Error().Err(err).Str("address", d.Settings.Callers).Msg("HTTP listener stopped")
		}
	}()
	return nil
}

// callersServer returns the server for callers' requests.
func (d *Daemon) callersServer() *callersServer {
	return &callersServer{Handler: &d.proxy, Limits: d.headLimits, Idle: d.callerIdleTime}
}

// callerIdleTime is how long a caller's connection may be idle now.
func (d *Daemon) callerIdleTime() time.Duration {
	if t := d.fleet.View().Table; t != nil {
		return positive(t.Limits.IdleTime, idleTimeout)
	}
	return idleTimeout
}

func positive[T int | time.Duration](v, otherwise T) T {
	if v > 0 {
		return v
	}
	return otherwise
}

// listen opens a TCP listener whose keep-alive probes detect dead connections within about
// 11 s.
func listen(ctx context.Context, address string) (net.Listener, error) {
	c := net.ListenConfig{KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: 5 * time.Second, Interval: 2 * time.Second, Count: 3}}
	return c.Listen(ctx, "tcp", address)
}
