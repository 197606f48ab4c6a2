// Package server meets callers and operators over HTTP.
//
// It authenticates them, names their requests, hands what they ask to a
// runner.Runner and brings back the outcome. It decides nothing about
// programs: whether a call runs, where, and what it costs is the business of
// the Runner, which may be another daemon's.
//
// Its own care is that a caller is never misled. Each answer carries the
// request's name; each refusal says whether the request ran; the end of a
// streamed answer is sent only when its outcome is committed, so that an answer
// which was cut off never looks whole. Silent and slow callers, large bodies
// and floods of calls are bounded before they cost anything.
package server

import (
	"bytes"
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/panjf2000/ants/v2"
	tally "github.com/uber-go/tally/v4"
	"github.com/valyala/fasthttp"

	"github.com/slaterock/slaterock/internal/conf/file"
	"github.com/slaterock/slaterock/internal/edge/locate"
	"github.com/slaterock/slaterock/internal/obs/logs"
	"github.com/slaterock/slaterock/internal/obs/trace"
	"github.com/slaterock/slaterock/internal/prog/runner"
)

// Bounds that hold where the fields of Server leave them open.
const (
	DefaultMaxBody     = 4 << 20
	DefaultMaxHeader   = 8 << 10
	DefaultMaxCalls    = 1024
	DefaultMaxConns    = 16 << 10
	DefaultReadTimeout = 30 * time.Second
	DefaultSendTimeout = 20 * time.Second
	DefaultIdleTimeout = 75 * time.Second
	DefaultHeartbeat   = 5 * time.Second

	// maxConfig bounds a configuration, in bytes.
	maxConfig = 64 << 20

	// endTimeout bounds the end of a program that was opened for one call.
	endTimeout = 10 * time.Second
)

type (
	// Server is the callers' and operators' HTTP interface. Its fields are set
	// before Serve. Those that are nil turn off what needs them: without a
	// Runner it is not ready and refuses all calls.
	Server struct {
		Runner  runner.Runner
		Config  func() file.File                                       // in force now
		Account func(key string) (name string, operator bool, ok bool) // owner of a Bearer key
		Entries func(program string) locate.Answer
		Ready   func() error
		Metrics fasthttp.RequestHandler

		// What is told of requests; each may be left out.
		Logs  logs.Logs
		Trace *trace.Trace
		Scope tally.Scope

		// Operators' part. Status returns what is encoded as JSON.
		Status func(ctx context.Context) any
		Drain  func()
		Text   func() (text []byte, version uint64)
		Apply  func(ctx context.Context, text []byte, from uint64) Applied

		// Bounds of this daemon; the lower of these and of the configuration's
		// holds for bodies and calls.
		MaxBody     int // bytes
		MaxCalls    int // under way
		MaxHeader   int // bytes
		MaxConns    int
		ReadTimeout time.Duration // for a whole request
		SendTimeout time.Duration // for each write to a caller
		IdleTimeout time.Duration // between requests
		Heartbeat   time.Duration // between signs of life in a waiting stream

		once      sync.Once
		http      fasthttp.Server
		listeners listeners
		pool      *ants.Pool
		calls     sync.WaitGroup  // under way in the pool
		base      context.Context //nolint:containedctx // ends with the server, not with a call
		stop      context.CancelFunc
		draining  atomic.Bool
		inFlight  atomic.Int64
		meters    meters
		ticker    func(time.Duration) (<-chan time.Time, func()) // replaced in tests
	}
)

// Serve answers requests on the listener until Shutdown. It may be called for
// several listeners.
func (s *Server) Serve(ln net.Listener) (err error) {
	defer func() { err = errors.Wrap(err, "serve callers") }()
	s.once.Do(s.setup)
	l := &onceListener{Listener: ln}
	if !s.listeners.add(l) {
		return l.Close()
	}
	return s.http.Serve(listener{Listener: l, timeout: orDefault(s.SendTimeout, DefaultSendTimeout)})
}

// StartDraining makes callers leave: each answer from now on closes its
// connection, and the server is not ready. Requests are served as before.
func (s *Server) StartDraining() {
	s.draining.Store(true)
}

// Shutdown stops the server. Calls and streams under way are finished, idle
// connections are closed, new ones are refused by the system. When ctx ends
// first, what is still under way is cut and the context's error returned.
func (s *Server) Shutdown(ctx context.Context) (err error) {
	defer func() { err = errors.Wrap(err, "shut down callers' server") }()
	s.once.Do(s.setup)
	s.StartDraining()
	defer s.pool.Release()
	defer s.stop()
	if err := s.listeners.close(); err != nil {
		return err
	}
	if err := s.http.ShutdownWithContext(ctx); err != nil {
		return err
	}
	return s.waitIdle(ctx)
}

// waitIdle waits until the programs that were opened for one call are ended,
// which happens after their callers were answered.
func (s *Server) waitIdle(ctx context.Context) error {
	idle := make(chan struct{})
	go func() {
		s.calls.Wait()
		close(idle)
	}()
	select {
	case <-idle:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (s *Server) setup() {
	s.base, s.stop = context.WithCancel(context.Background())
	s.pool = newPool(DefaultMaxCalls)
	s.meters = newMeters(s.Scope)
	if s.ticker == nil {
		s.ticker = tick
	}
	s.http = fasthttp.Server{
		Handler:               s.handle,
		ErrorHandler:          refuseMalformed,
		HeaderReceived:        s.limitBody,
		Name:                  "slaterock",
		Concurrency:           orDefault(s.MaxConns, DefaultMaxConns),
		ReadBufferSize:        orDefault(s.MaxHeader, DefaultMaxHeader),
		ReadTimeout:           orDefault(s.ReadTimeout, DefaultReadTimeout),
		IdleTimeout:           orDefault(s.IdleTimeout, DefaultIdleTimeout),
		MaxRequestBodySize:    DefaultMaxBody,
		NoDefaultContentType:  true,
		CloseOnShutdown:       true,
		SecureErrorLogMessage: true, // keys and bodies stay out of the log
		Logger:                discardLogger{},
	}
}

// limitBody takes the bound of a request's body from the configuration in
// force, so that a new bound holds for the next request. An operator's
// configuration has a bound of its own: that of callers' bodies would keep a
// system with many accounts from being configured.
func (s *Server) limitBody(h *fasthttp.RequestHeader) fasthttp.RequestConfig {
	if bytes.HasPrefix(h.RequestURI(), []byte(pathConfig)) {
		if _, operator, ok := s.accountOf(h); ok && operator {
			return fasthttp.RequestConfig{MaxRequestBodySize: maxConfig}
		}
	}
	return fasthttp.RequestConfig{MaxRequestBodySize: lower(s.config().Limits.MaxBody, s.MaxBody, DefaultMaxBody)}
}

func (s *Server) config() file.File {
	if s.Config == nil {
		return file.File{}
	}
	return s.Config()
}

// newPool returns a pool that refuses work rather than queue it: a call that
// waits for a free goroutine here would be late without anybody knowing. A
// panic must end the process, because a goroutine that vanished would leave its
// caller waiting for ever.
func newPool(size int) *ants.Pool {
	pool, err := ants.NewPool(size, ants.WithNonblocking(true), ants.WithPanicHandler(func(v any) { panic(v) }))
	if err != nil {
		panic(err) // only for options that contradict each other
	}
	return pool
}

func tick(d time.Duration) (c <-chan time.Time, stop func()) {
	t := time.NewTicker(d)
	return t.C, t.Stop
}

// lower returns the lower of two bounds, of which 0 is none.
func lower(a, b, other int) int {
	if a > 0 && b > 0 {
		return min(a, b)
	}
	return orDefault(max(a, b), other)
}

func orDefault[T int | time.Duration](v, other T) T {
	if v <= 0 {
		return other
	}
	return v
}
