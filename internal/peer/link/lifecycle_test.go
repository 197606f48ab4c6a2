package link

import (
	"context"
	"encoding/json"
	"net"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/slaterock/slaterock/internal/prog/call"
	"github.com/slaterock/slaterock/internal/prog/result"
	"github.com/slaterock/slaterock/internal/prog/runner"
)

// Raw parameters and results pass unchanged, whatever bytes they hold.
func TestRaw(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := newPair(t, nil)
		defer p.end()
		p.b.Handle("test.echo", func(_ context.Context, params json.RawMessage) (any, error) {
			return Raw(params), nil
		})
		p.b.Handle("test.count", func(_ context.Context, params json.RawMessage) (any, error) {
			return len(params), nil
		})
		in := Raw(strings.Repeat("\xff\x00{", 300000))
		var out Raw
		is.NoErr(p.a.Peer("b").Invoke(t.Context(), "test.echo", in, &out))
		is.Equal(string(out), string(in))
		var n int
		is.NoErr(p.a.Peer("b").Invoke(t.Context(), "test.count", in, &n))
		is.Equal(n, len(in))
		is.NoErr(p.a.Peer("b").Invoke(t.Context(), "test.count", in, nil))
	})
}

// An unused connection is closed by the side that opened it, and the next call
// opens another one without failing.
func TestIdleTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := newPair(t, scripted{call: twentyPieces})
		defer p.end()
		is.True(p.a.Peer("b").Call(t.Context(), call.Call{}, nil).OK())
		sleep(DefaultIdleTimeout - time.Second)
		is.True(p.a.Peer("b").liveSession() != nil)
		sleep(2 * time.Second)
		synctest.Wait()
		is.True(p.a.Peer("b").liveSession() == nil)
		is.True(p.a.Peer("b").Call(t.Context(), call.Call{}, nil).OK())
		is.Equal(p.network.dials, 2)
	})
}

// A peer is down for a while. Dialling it for each call would flood it when it
// restarts; a long back-off would delay callers after that.
func TestBackOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := newPair(t, scripted{call: twentyPieces})
		defer p.end()
		p.stopB()
		synctest.Wait()
		for range 100 * 60 {
			res := p.a.Peer("b").Call(t.Context(), call.Call{}, nil)
			is.Equal(res.Ran, result.No)
			is.True(res.RetryAfter > 0)
			sleep(10 * time.Millisecond)
		}
		is.True(p.network.dials <= 70) // a minute at one dial in one to two seconds
		b := Link{Address: "b", Key: []byte("key"), Dial: p.network.dial, Runner: scripted{call: twentyPieces}}
		p.serve(p.ctx, &b, "b")
		sleep(backOffMax)
		is.True(p.a.Peer("b").Call(t.Context(), call.Call{}, nil).OK())
	})
}

// A VM loses power for some seconds. Daemons that depend on it must reach it soon
// after its restart; with the default back-off their callers would wait for up to
// two more seconds.
func TestShortBackOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := newPair(t, scripted{call: twentyPieces})
		defer p.end()
		p.a.BackOff = 300 * time.Millisecond
		p.stopB()
		synctest.Wait()
		for range 10 * 100 {
			is.True(!p.a.Peer("b").Call(t.Context(), call.Call{}, nil).OK())
			sleep(10 * time.Millisecond)
		}
		b := Link{Address: "b", Key: []byte("key"), Dial: p.network.dial, Runner: scripted{call: twentyPieces}}
		p.serve(p.ctx, &b, "b")
		sleep(p.a.BackOff)
		is.True(p.a.Peer("b").Call(t.Context(), call.Call{}, nil).OK())
	})
}

// The caller's daemon stops responding, without closing the connection, while its
// call waits for an engine. The owner must not run the call for ever.
func TestCallerUnresponsive(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		cause := make(chan error, 1)
		p := newPair(t, scripted{call: func(ctx context.Context, _ call.Call, _ runner.Sink) result.Result {
			<-ctx.Done()
			cause <- context.Cause(ctx)
			return result.Result{}
		}})
		defer p.end()
		go p.a.Peer("b").Call(p.ctx, call.Call{}, nil)
		synctest.Wait()
		p.network.dropAll()
		start := time.Now()
		is.True(errors.Is(<-cause, ErrConnLost))
		is.True(time.Since(start) <= serverDeadAfter+time.Second)
	})
}

// This process itself is paused, for example while its VM is migrated. Data that
// peers sent meanwhile is still to be read, so their connections must be kept.
func TestProcessStall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := newPair(t, scripted{call: twentyPieces})
		defer p.end()
		is.True(p.a.Peer("b").Call(t.Context(), call.Call{}, nil).OK())
		s := p.a.Peer("b").session
		s.awaiting.Add(1)
		defer s.awaiting.Add(-1)
		p.a.scan(time.Now().Add(time.Minute))
		is.True(!s.ended())
	})
}

// A call whose message exceeds the limit is not sent, and its error says so.
func TestTooLarge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := newPair(t, scripted{call: twentyPieces})
		defer p.end()
		_, err := p.a.Peer("b").Try(t.Context(), call.Call{Body: make([]byte, maxMessage+1)}, nil)
		var failure *Error
		is.True(errors.As(err, &failure))
		is.True(!failure.MayHaveRun)
		is.True(p.a.Peer("b").Call(t.Context(), call.Call{}, nil).OK())
	})
}

// Bytes that arrive before both sides are authenticated must neither cause an
// allocation of the length they give nor be handled as a request.
func TestNoHandshake(t *testing.T) {
	tests := map[string]string{
		"a web browser":     "GET / HTTP/1.1\r\nHost: daemon\r\n\r\n",
		"a huge length":     "\xff\xff\xff\xff\xff\xff\x7f",
		"not JSON":          "\x03abc\x00",
		"a piece":           "\x00\x01\x01",
		"a call at once":    "\x37" + `{"jsonrpc":"2.0","id":1,"method":"runner.open","a":100}` + "\x00",
		"nothing, for long": "",
	}
	for name, text := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				called := false
				p := newPair(t, scripted{call: func(context.Context, call.Call, runner.Sink) result.Result {
					called = true
					return result.Result{}
				}})
				defer p.end()
				conn, err := p.network.dial(t.Context(), "b")
				is.NoErr(err)
				go func() { _, _ = conn.Write([]byte(text)) }()
				start := time.Now()
				for err == nil {
					_, err = conn.Read(make([]byte, 1024))
				}
				is.True(time.Since(start) <= handshakeTimeout)
				synctest.Wait()
				is.True(!called)
				is.Equal(p.count("link_handshake_failed")+p.count("link_wrong_key"), int64(1))
			})
		})
	}
}

// A call and the end of the context work over TCP as they do over pipes.
func TestOverTCP(t *testing.T) {
	is := is.New(t)
	ctx, stop := context.WithCancel(t.Context())
	var client Link
	server := Link{Runner: scripted{call: twentyPieces}}
	ln, err := (&net.ListenConfig{}).Listen(ctx, "tcp", "127.0.0.1:0")
	is.NoErr(err)
	done := make(chan error, 1)
	is.NoErr(client.Start(ctx))
	go func() { done <- server.Serve(ctx, ln) }()
	var got strings.Builder
	res := client.Peer(ln.Addr().String()).Call(ctx, call.Call{Request: "r"}, func(text string) error {
		got.WriteString(text)
		return nil
	})
	is.True(res.OK())
	is.Equal(got.String(), string(res.Body))
	stop()
	is.NoErr(<-done)
	client.Wait()
	is.True(client.Peer(ln.Addr().String()).Call(t.Context(), call.Call{}, nil).Ran == result.No)
}

// A connection stops passing data while calls wait. They must fail, and further calls get through on another connection, soon after PingAfter and not only once the connection counts as dead.
func TestSilentConnectionIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := newPairWith(t, func(p *pair) {
			p.a.PingAfter = 200 * time.Millisecond
			p.b.Handle("echo", func(context.Context, json.RawMessage) (any, error) { return true, nil })
		})
		defer p.end()
		invoke := func() error { return p.a.Peer("b").Invoke(t.Context(), "echo", nil, nil) }
		is.NoErr(invoke())
		p.network.dropAll()
		start := time.Now()
		is.True(errors.Is(invoke(), ErrUnresponsive))
		is.NoErr(invoke())
		is.True(time.Since(start) <= 500*time.Millisecond)
		is.Equal(p.count("link_silent"), int64(1))
	})
}

// A peer that is only slow must keep its connection, and the calls on it.
func TestSlowPeerKeepsItsConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := newPairWith(t, func(p *pair) {
			p.a.PingAfter = 200 * time.Millisecond
			p.b.Handle("slow", func(context.Context, json.RawMessage) (any, error) { sleep(2 * time.Second); return true, nil })
		})
		defer p.end()
		is.NoErr(p.a.Peer("b").Invoke(t.Context(), "slow", nil, nil))
		is.Equal(p.count("link_silent"), int64(0))
		is.Equal(p.network.dials, 1)
	})
}
