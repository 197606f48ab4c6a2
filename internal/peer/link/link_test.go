package link

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/slaterock/slaterock/internal/peer/swim"
	"github.com/slaterock/slaterock/internal/prog/call"
	"github.com/slaterock/slaterock/internal/prog/result"
	"github.com/slaterock/slaterock/internal/prog/runner"
)

// twentyPieces answers a call with 20 pieces that contain the call's request id.
func twentyPieces(_ context.Context, c call.Call, sink runner.Sink) result.Result {
	var all strings.Builder
	for i := range 20 {
		text := fmt.Sprintf("%s/%d ", c.Request, i)
		all.WriteString(text)
		if err := sink(text); err != nil {
			return result.Failed(result.CodeCancelled, result.Yes, "%v", err)
		}
	}
	return result.Result{Code: result.CodeOK, Ran: result.Yes, Body: []byte(all.String())}
}

func TestMethods(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := newPair(t, scripted{call: twentyPieces})
		defer p.end()
		peer := p.a.Peer("b")
		is.True(peer.Open(t.Context(), call.Open{Program: "p"}).OK())
		is.Equal(peer.End(t.Context(), call.End{Kind: call.Cancel}).Message, "cancelled")
		h, res := peer.History(t.Context(), "acme", "p")
		is.True(res.OK())
		is.Equal(h.Account+h.Program, "acmep")
		h, res = peer.Request(t.Context(), "", "r1")
		is.True(res.OK())
		is.Equal(h.Calls[0].Request, "r1")
		_, res = peer.Request(t.Context(), "", "")
		is.Equal(res.Code, result.CodeNotFound)
		is.Equal(res.Ran, result.No)
	})
}

func TestInvoke(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := newPair(t, nil)
		defer p.end()
		p.b.Handle("test.upper", func(_ context.Context, params json.RawMessage) (any, error) {
			var s string
			if err := json.Unmarshal(params, &s); err != nil {
				return nil, err
			}
			if s == "" {
				return nil, errors.New("empty")
			}
			return strings.ToUpper(s), nil
		})
		var out string
		is.NoErr(p.a.Peer("b").Invoke(t.Context(), "test.upper", "text", &out))
		is.Equal(out, "TEXT")
		var methodErr *MethodError
		is.True(errors.As(p.a.Peer("b").Invoke(t.Context(), "test.upper", "", &out), &methodErr))
		is.Equal(methodErr.Message, "empty")
		is.True(errors.As(p.a.Peer("b").Invoke(t.Context(), "test.other", "", &out), &methodErr))
	})
}

// Many callers share one connection. Pieces of one call must never be delivered
// to another, however the answers interleave.
func TestCrossedAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := newPair(t, scripted{call: twentyPieces})
		defer p.end()
		var all sync.WaitGroup
		for i := range 100 {
			all.Go(func() {
				var got strings.Builder
				sink := func(text string) error {
					got.WriteString(text)
					return nil
				}
				request := fmt.Sprintf("request%d", i)
				res, err := p.a.Peer("b").Try(t.Context(), call.Call{Request: request}, sink)
				is.NoErr(err)
				is.Equal(got.String(), string(res.Body))
				is.Equal(strings.Count(got.String(), request+"/"), 20)
			})
		}
		all.Wait()
		is.Equal(p.network.dials, 1)
	})
}

// A middlebox drops the state of a connection between two daemons: packets are
// lost without FIN or RST. Without a liveness check a call would hang until its
// caller times out.
func TestUnresponsiveConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		begun := make(chan struct{}, 1)
		p := newPair(t, scripted{call: func(ctx context.Context, c call.Call, sink runner.Sink) result.Result {
			if c.Number == 1 {
				begun <- struct{}{}
				<-ctx.Done()
			}
			return twentyPieces(ctx, c, sink)
		}})
		defer p.end()
		go func() {
			<-begun
			p.network.dropAll()
		}()
		start := time.Now()
		_, err := p.a.Peer("b").Try(t.Context(), call.Call{Number: 1}, nil)
		var failure *Error
		is.True(errors.As(err, &failure))
		is.True(failure.MayHaveRun)
		is.True(errors.Is(err, ErrUnresponsive))
		is.True(time.Since(start) <= 3*time.Second)
		is.True(p.a.Peer("b").Call(t.Context(), call.Call{}, nil).OK()) // over a new connection
		is.Equal(p.count("link_silent"), int64(1))
	})
}

// An idle connection becomes unresponsive, which only the next call can detect.
// It must do so as fast as any other call.
func TestUnresponsiveWhileIdle(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := newPair(t, scripted{call: twentyPieces})
		defer p.end()
		is.True(p.a.Peer("b").Call(t.Context(), call.Call{}, nil).OK())
		sleep(time.Minute)
		p.network.dropAll()
		start := time.Now()
		res := p.a.Peer("b").Call(t.Context(), call.Call{}, nil)
		is.Equal(res.Ran, result.Unknown)
		is.True(time.Since(start) <= 3*time.Second)
	})
}

// A peer whose engine takes long still answers pings, so the connection must not
// be closed as unresponsive.
func TestSlowAnswerKeepsConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := newPair(t, scripted{call: func(ctx context.Context, c call.Call, sink runner.Sink) result.Result {
			sleep(time.Minute)
			return twentyPieces(ctx, c, sink)
		}})
		defer p.end()
		is.True(p.a.Peer("b").Call(t.Context(), call.Call{}, nil).OK())
	})
}

// A caller with a slow network reads its answer slowly. Without flow control per
// call, all other answers on the connection would stall with it.
func TestSlowSink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		piece := strings.Repeat("x", 1000)
		produced := 0
		p := newPair(t, scripted{call: func(ctx context.Context, c call.Call, sink runner.Sink) result.Result {
			if c.Number == 0 {
				return twentyPieces(ctx, c, sink)
			}
			for range 1000 {
				if sink(piece) != nil {
					break
				}
				produced++
			}
			return result.Result{Code: result.CodeOK}
		}})
		defer p.end()
		blocked := make(chan struct{})
		received := 0
		var slow sync.WaitGroup
		slow.Go(func() {
			res := p.a.Peer("b").Call(t.Context(), call.Call{Number: 1}, func(text string) error {
				<-blocked
				received += len(text)
				return nil
			})
			is.True(res.OK())
		})
		synctest.Wait()
		is.True(produced*len(piece) <= 2*window) // bounded, of a megabyte to send
		for range 10 {
			is.True(p.a.Peer("b").Call(t.Context(), call.Call{}, nil).OK())
		}
		close(blocked)
		slow.Wait()
		is.Equal(received, 1000*len(piece))
	})
}

// A caller's context ends. The owner must be notified, or its engine goes on
// generating a discarded answer.
func TestCancel(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ended := make(chan error, 1)
		p := newPair(t, scripted{call: func(ctx context.Context, _ call.Call, _ runner.Sink) result.Result {
			<-ctx.Done()
			ended <- context.Cause(ctx)
			return result.Failed(result.CodeCancelled, result.Yes, "gone")
		}})
		defer p.end()
		ctx, stop := context.WithTimeout(t.Context(), time.Second)
		defer stop()
		res := p.a.Peer("b").Call(ctx, call.Call{}, nil)
		is.Equal(res.Code, result.CodeTimeout)
		is.Equal(res.Ran, result.Unknown)
		is.True(errors.Is(<-ended, ErrCancelled))
	})
}

// The caller's own connection breaks while its answer streams, so the sink fails.
// The owner must be notified.
func TestSinkFails(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ended := make(chan error, 1)
		p := newPair(t, scripted{call: func(ctx context.Context, _ call.Call, sink runner.Sink) result.Result {
			for sink("text") == nil {
			}
			ended <- context.Cause(ctx)
			return result.Failed(result.CodeCancelled, result.Yes, "gone")
		}})
		defer p.end()
		sinkErr := errors.New("caller gone")
		_, err := p.a.Peer("b").Try(t.Context(), call.Call{}, func(string) error { return sinkErr })
		is.True(errors.Is(err, sinkErr))
		is.True(errors.Is(<-ended, ErrCancelled))
	})
}

// The owner stops while an answer streams. The partial answer must not count as
// one, and whether the request ran is unknown.
func TestServerStops(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := newPair(t, scripted{call: func(ctx context.Context, _ call.Call, sink runner.Sink) result.Result {
			_ = sink("half")
			<-ctx.Done()
			return result.Result{}
		}})
		defer p.end()
		var got string
		res := p.a.Peer("b").Call(t.Context(), call.Call{}, func(text string) error {
			got += text
			p.stopB()
			return nil
		})
		is.Equal(got, "half")
		is.Equal(res.Code, result.CodeUnknown)
		is.Equal(res.Ran, result.Unknown)
		synctest.Wait()
		start := time.Now()
		res = p.a.Peer("b").Call(t.Context(), call.Call{}, nil)
		is.Equal(res.Ran, result.No) // connection refused: certainly not sent
		is.True(time.Since(start) < time.Second)
	})
}

// A process with another key, for example of another deployment, dials a daemon.
// No request or packet of it may be handled, and a counter must show the attempt.
func TestWrongKey(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		packets := 0
		p := newPair(t, scripted{call: twentyPieces})
		defer p.end()
		p.b.OnPacket = func(swim.Packet) { packets++ }
		p.a.Key = []byte("other")
		_, err := p.a.Peer("b").Try(t.Context(), call.Call{}, nil)
		var failure *Error
		is.True(errors.As(err, &failure))
		is.True(!failure.MayHaveRun)
		is.True(errors.Is(err, ErrWrongKey))
		sleep(time.Minute)
		p.a.Peer("b").Send(swim.Packet{From: "a"})
		synctest.Wait()
		is.Equal(packets, 0)
		is.True(p.count("link_wrong_key") >= 1)
	})
}

func TestLargeBodies(t *testing.T) {
	tests := map[string][]byte{
		"text":         []byte(strings.Repeat(`{"role":"user","content":"mafuta ✓"}`, 30000)),
		"not UTF-8":    []byte(strings.Repeat("\xff\x00\xfe", 400000)),
		"empty":        nil,
		"control only": []byte("\x00\x01\u2028"),
	}
	for name, body := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				p := newPair(t, scripted{call: func(_ context.Context, c call.Call, sink runner.Sink) result.Result {
					_ = sink(string(c.Body))
					return result.Result{Code: result.CodeOK, Body: c.Body}
				}})
				defer p.end()
				var got string
				res := p.a.Peer("b").Call(t.Context(), call.Call{Body: body}, func(text string) error {
					got += text
					return nil
				})
				is.True(res.OK())
				is.Equal(string(res.Body), string(body))
				is.Equal(got, string(body))
			})
		})
	}
}

// Packets pass in both directions over one connection.
func TestPackets(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := newPair(t, nil)
		defer p.end()
		var got []swim.Packet
		p.a.OnPacket = func(packet swim.Packet) { got = append(got, packet) }
		p.b.OnPacket = func(packet swim.Packet) { p.b.Peer("a").Send(swim.Packet{From: "b", Ack: packet.Round}) }
		p.a.Peer("b").Send(swim.Packet{From: "a", Round: 7})
		synctest.Wait()
		is.Equal(len(got), 1)
		is.Equal(got[0].Ack, uint64(7))
		is.Equal(p.network.dials, 1)
	})
}

// A daemon at its limit of calls must reject the next one at once: queued, it
// would hang.
func TestFullPool(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		release := make(chan struct{})
		p := newPair(t, scripted{call: func(context.Context, call.Call, runner.Sink) result.Result {
			<-release
			return result.Result{Code: result.CodeOK}
		}})
		defer p.end()
		p.b.runnerPool.Tune(2)
		var all sync.WaitGroup
		for range 2 {
			all.Go(func() { is.True(p.a.Peer("b").Call(t.Context(), call.Call{}, nil).OK()) })
		}
		synctest.Wait()
		_, err := p.a.Peer("b").Try(t.Context(), call.Call{}, nil)
		var failure *Error
		is.True(errors.As(err, &failure))
		is.True(!failure.MayHaveRun)
		close(release)
		all.Wait()
	})
}
