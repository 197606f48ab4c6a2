package link

import (
	"context"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/uber-go/tally/v4"

	"github.com/slaterock/slaterock/internal/prog/call"
	"github.com/slaterock/slaterock/internal/prog/hist"
	"github.com/slaterock/slaterock/internal/prog/result"
	"github.com/slaterock/slaterock/internal/prog/runner"
)

type (
	// network is an in-memory network of pipes whose connections can be made to
	// drop all data.
	network struct {
		mu        sync.Mutex
		listeners map[string]*listener
		conns     []*dropConn
		dials     int
	}

	listener struct {
		ctx   context.Context
		stop  context.CancelFunc
		conns chan net.Conn
	}

	// dropConn is a connection that can be made unresponsive: written data is then
	// dropped and reads block until Close, without an error.
	dropConn struct {
		net.Conn
		drop   chan struct{}
		closed chan struct{}
		once   sync.Once
	}

	// scripted is a runner with a call function set by the test.
	scripted struct {
		call func(ctx context.Context, c call.Call, sink runner.Sink) result.Result
	}
)

func (m *network) listen(address string) net.Listener {
	m.mu.Lock()
	defer m.mu.Unlock()
	l := &listener{conns: make(chan net.Conn)}
	l.ctx, l.stop = context.WithCancel(context.Background())
	if m.listeners == nil {
		m.listeners = map[string]*listener{}
	}
	m.listeners[address] = l
	return l
}

func (m *network) dial(ctx context.Context, address string) (net.Conn, error) {
	m.mu.Lock()
	l := m.listeners[address]
	m.dials++
	m.mu.Unlock()
	if l == nil || l.ctx.Err() != nil {
		return nil, errors.New("connection refused")
	}
	a, b := net.Pipe()
	f := &dropConn{Conn: a, drop: make(chan struct{}), closed: make(chan struct{})}
	select {
	case l.conns <- b:
	case <-l.ctx.Done():
		return nil, errors.New("connection refused")
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.conns = append(m.conns, f)
	return f, nil
}

// dropAll makes all open connections unresponsive.
func (m *network) dropAll() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, f := range m.conns {
		close(f.drop)
	}
	m.conns = nil
}

func (f *dropConn) isDropping() bool {
	select {
	case <-f.drop:
		return true
	default:
		return false
	}
}

func (f *dropConn) Read(p []byte) (int, error) {
	n, err := f.Conn.Read(p)
	if !f.isDropping() {
		return n, err
	}
	<-f.closed
	return 0, io.ErrClosedPipe
}

func (f *dropConn) Write(p []byte) (int, error) {
	if f.isDropping() {
		return len(p), nil
	}
	return f.Conn.Write(p)
}

func (f *dropConn) Close() error {
	f.once.Do(func() { close(f.closed) })
	return f.Conn.Close()
}

func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.ctx.Done():
		return nil, net.ErrClosed
	}
}

func (l *listener) Close() error {
	l.stop()
	return nil
}

func (l *listener) Addr() net.Addr { return &net.TCPAddr{} }

func (s scripted) Open(context.Context, call.Open) result.Result {
	return result.Result{Code: result.CodeOK, Ran: result.Yes}
}

func (s scripted) Call(ctx context.Context, c call.Call, sink runner.Sink) result.Result {
	return s.call(ctx, c, sink)
}

func (s scripted) End(_ context.Context, e call.End) result.Result {
	return result.Result{Code: result.CodeOK, Message: string(e.Kind)}
}

func (s scripted) History(_ context.Context, account, program string) (hist.History, result.Result) {
	return hist.History{Account: account, Program: program}, result.Result{Code: result.CodeOK}
}

func (s scripted) Request(_ context.Context, _, request string) (hist.History, result.Result) {
	if request == "" {
		return hist.History{}, result.Refuse(result.CodeNotFound, "no such request")
	}
	return hist.History{Calls: []hist.Call{{Request: request}}}, result.Result{Code: result.CodeOK}
}

// pair is two linked daemons, a and b, that run until end.
type pair struct {
	network network
	a, b    Link
	ctx     context.Context
	stop    context.CancelFunc
	stopB   context.CancelFunc
	scope   tally.TestScope
	work    sync.WaitGroup
}

func newPair(t *testing.T, run runner.Runner) *pair {
	t.Helper()
	return newPairWith(t, func(p *pair) { p.b.Runner = run })
}

// newPairWith returns a pair whose links prepare may change before they start.
func newPairWith(t *testing.T, prepare func(*pair)) *pair {
	t.Helper()
	p := &pair{scope: tally.NewTestScope("", nil)}
	p.ctx, p.stop = context.WithCancel(t.Context())
	var ctxB context.Context
	ctxB, p.stopB = context.WithCancel(p.ctx)
	p.a = Link{Address: "a", Key: []byte("key"), Dial: p.network.dial, Scope: p.scope}
	p.b = Link{Address: "b", Key: []byte("key"), Dial: p.network.dial, Scope: p.scope}
	prepare(p)
	p.serve(p.ctx, &p.a, "a")
	p.serve(ctxB, &p.b, "b")
	return p
}

func (p *pair) serve(ctx context.Context, l *Link, address string) {
	ln := p.network.listen(address)
	_ = l.Start(ctx)
	p.work.Go(func() { _ = l.Serve(ctx, ln) })
}

// end stops all work and waits for it. The synctest bubble fails the test if
// any goroutine is left after that.
func (p *pair) end() {
	p.stop()
	p.work.Wait()
}

func (p *pair) count(name string) int64 {
	c := p.scope.Snapshot().Counters()[name+"+"]
	if c == nil {
		return 0
	}
	return c.Value()
}

// sleep advances the test's fake clock by d.
func sleep(d time.Duration) {
	<-time.After(d)
}
