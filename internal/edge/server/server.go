// Package server is the HTTP interface for callers and operators.
//
// It authenticates requests, assigns request ids, passes the requests to a
// runner.Runner and returns the outcome. Apart from its limits it decides nothing
// about calls: where a call runs and what it costs is decided by the Runner, which may
// forward to another daemon. For a chat request without a program it opens one and
// ends it afterwards.
//
// Each response carries the request id, and each error response says whether the
// request ran. The end marker of a stream is sent only after the outcome is
// committed, so that a client never takes an interrupted answer for a complete
// one. Timeouts bound idle and slow callers, and limits bound the size of headers
// and bodies and the number of connections and concurrent calls.
package server

import (
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
	"github.com/slaterock/slaterock/internal/front/conns"
	"github.com/slaterock/slaterock/internal/front/memory"
	"github.com/slaterock/slaterock/internal/obs/logs"
	"github.com/slaterock/slaterock/internal/obs/trace"
	"github.com/slaterock/slaterock/internal/prog/runner"
)

// Defaults for fields of Server that are zero; for MaxBody and MaxCalls they apply
// only if the configuration has no limit either. Sizes are in bytes.
const (
	DefaultMaxBody     = 4 << 20
	DefaultMaxHeader   = 8 << 10
	DefaultMaxCalls    = 1024
	DefaultMaxConns    = 16 << 10
	DefaultReadTimeout = 30 * time.Second
	DefaultSendTimeout = 20 * time.Second
	DefaultIdleTimeout = 75 * time.Second
	DefaultHeartbeat   = 5 * time.Second

	// maxConfig is the largest configuration that an operator may send, in bytes.
	maxConfig = 64 << 20

	// endTimeout bounds ending a program that was opened for a single call.
	endTimeout = 10 * time.Second
)

type (
	// Server is the callers' and operators' HTTP interface. Its fields are set
	// before Serve. A nil field disables what depends on it: without a Runner the
	// server is not ready and refuses all calls.
	Server struct {
		Runner  runner.Runner
		Config  func() file.File                                       // in force
		Account func(key string) (name string, operator bool, ok bool) // looks up a Bearer key
		Entries func(program string) locate.Answer
		Ready   func() error
		Metrics fasthttp.RequestHandler

		// Telemetry of requests; each is optional.
		Logs  logs.Logs
		Trace *trace.Trace
		Scope tally.Scope

		// For operators. The value that Status returns is encoded as JSON. Text
		// returns the configuration in force, Apply applies a new one.
		Status func(ctx context.Context) any
		Drain  func()
		Text   func() (text []byte, version uint64)
		Apply  func(ctx context.Context, text []byte, from uint64) Applied

		// Limits of this daemon. For bodies and calls the lower of these and the
		// configuration's applies.
		MaxBody     int // bytes
		MaxCalls    int // in flight
		MaxHeader   int // bytes
		MaxConns    int
		ReadTimeout time.Duration  // for reading a whole request
		SendTimeout time.Duration  // for each write to a caller
		IdleTimeout time.Duration  // between requests
		Heartbeat   time.Duration  // interval of heartbeats in an idle stream
		Clients     *memory.Budget // what callers may have this process hold; nil for what fits a small VM

		once      sync.Once
		http      fasthttp.Server
		listeners listeners
		pool      *ants.Pool
		calls     sync.WaitGroup  // in flight in the pool
		base      context.Context //nolint:containedctx // cancelled at the end of Shutdown
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
	defer func() { err = errors.Wrap(err, "serve HTTP") }()
	s.once.Do(s.setup)
	l := &onceListener{Listener: ln}
	if !s.listeners.add(l) {
		return l.Close()
	}
	counted := (&conns.Server{Budget: s.Clients, Kind: memory.Callers}).Listen(l)
	return s.http.Serve(deadlineListener{Listener: counted, timeout: orDefault(s.SendTimeout, DefaultSendTimeout)})
}

// StartDraining makes the server unready and closes each connection after its
// next response. Requests are still served.
func (s *Server) StartDraining() {
	s.draining.Store(true)
}

// Shutdown stops the server. It closes the listeners and idle connections and
// waits for calls and streams in flight. If ctx ends first, the remaining calls
// are cancelled and the context's error is returned.
func (s *Server) Shutdown(ctx context.Context) (err error) {
	defer func() { err = errors.Wrap(err, "shut down HTTP server") }()
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

// waitIdle waits for all goroutines of the pool. Some still run after all responses
// were sent: they end programs that were opened for a single call.
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
	if s.Clients == nil {
		s.Clients = &memory.Budget{}
	}
	if s.ticker == nil {
		s.ticker = tick
	}
	s.http = fasthttp.Server{
		Handler:                      s.handle,
		ErrorHandler:                 refuseMalformed,
		ConnState:                    noteState,
		StreamRequestBody:            true, // a body is read once its caller is known and there is room for it
		DisablePreParseMultipartForm: true,
		Name:                         "slaterock",
		Concurrency:                  orDefault(s.MaxConns, DefaultMaxConns),
		ReadBufferSize:               orDefault(s.MaxHeader, DefaultMaxHeader),
		ReadTimeout:                  orDefault(s.ReadTimeout, DefaultReadTimeout),
		IdleTimeout:                  orDefault(s.IdleTimeout, DefaultIdleTimeout),
		MaxRequestBodySize:           maxConfig,
		NoDefaultContentType:         true,
		CloseOnShutdown:              true,
		SecureErrorLogMessage:        true, // keeps keys and bodies out of the text of fasthttp's errors
		Logger:                       discardLogger{},
	}
}

func (s *Server) config() file.File {
	if s.Config == nil {
		return file.File{}
	}
	return s.Config()
}

// newPool returns a pool that refuses work instead of queueing it: a call queued
// here would be delayed without its caller knowing, while a refused one can be
// sent to another daemon at once. A panic must end the process: if only the
// goroutine ended, its caller would wait forever.
func newPool(size int) *ants.Pool {
	pool, err := ants.NewPool(size, ants.WithNonblocking(true), ants.WithPanicHandler(func(v any) { panic(v) }))
	if err != nil {
		panic(err) // only for invalid options
	}
	return pool
}

func tick(d time.Duration) (c <-chan time.Time, stop func()) {
	t := time.NewTicker(d)
	return t.C, t.Stop
}

// lowerLimit returns the lower of two limits, where 0 means none, or other if both
// are 0.
func lowerLimit(a, b, other int) int {
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
