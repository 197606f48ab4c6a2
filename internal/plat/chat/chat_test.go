package chat_test

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/slaterock/slaterock/internal/fake/memnet"
	"github.com/slaterock/slaterock/internal/fake/model"
	"github.com/slaterock/slaterock/internal/fake/server"
	"github.com/slaterock/slaterock/internal/plat/chat"
	"github.com/slaterock/slaterock/internal/plat/engine"
	"github.com/slaterock/slaterock/internal/plat/httpc"
)

const address = "engine"

type (
	// variant is an engine, in memory or behind a client over the network.
	variant struct {
		*is.I
		engine.Engine
		ctx    context.Context //nolint:containedctx // the test's
		fake   *model.Engine
		server *server.HTTP // nil if in memory
	}

	// outcome is the result of one request.
	outcome struct {
		text  string
		usage engine.Usage
		err   error
		at    []time.Duration // arrival of each piece, since the request
	}
)

func inMemory(t *testing.T, run func(f variant)) {
	synctest.Test(t, func(t *testing.T) {
		e := &model.Engine{Name: "e1"}
		run(variant{I: is.New(t), Engine: e, ctx: t.Context(), fake: e})
	})
}

func overNetwork(t *testing.T, run func(f variant)) {
	synctest.Test(t, func(t *testing.T) {
		e := &model.Engine{Name: "e1"}
		var n memnet.Net
		h := model.Serve(n.Listen(address), e)
		defer h.Close()
		c := &chat.Client{Endpoint: httpc.Endpoint{Address: address, Connect: n.Connect}}
		run(variant{I: is.New(t), Engine: c, ctx: t.Context(), fake: e, server: h})
	})
}

func (f variant) complete(ctx context.Context, r engine.Request) (a outcome) {
	start := time.Now()
	a.usage, a.err = f.Chat(ctx, r, func(d engine.Delta) error {
		a.text += d.Text
		a.at = append(a.at, time.Since(start))
		return nil
	})
	return a
}

func (f variant) completeWithin(d time.Duration, r engine.Request) outcome {
	ctx, cancel := context.WithTimeout(f.ctx, d)
	defer cancel()
	return f.complete(ctx, r)
}

// failedWith checks that the request failed after it was sent, with the status.
func (f variant) failedWith(err error, status int) {
	var e *engine.Error
	f.True(errors.As(err, &e))
	f.True(e.Sent)
	f.Equal(e.Status, status)
}

func (f variant) isIdle() {
	synctest.Wait()
	l, err := f.Load(f.ctx)
	f.NoErr(err)
	f.Equal(l.Running, 0)
}

func request(id, program string, messages ...string) engine.Request {
	var m []string
	for _, text := range messages {
		m = append(m, fmt.Sprintf(`{"role": "user", "content": %q}`, text))
	}
	return engine.Request{ID: id, Program: program, Body: []byte(`{"messages": [` + strings.Join(m, ", ") + `]}`)}
}

var contract = map[string]func(f variant){
	"whole answer to its own request": func(f variant) {
		r := request("r1", "p", "hello")
		a := f.complete(f.ctx, r)
		f.NoErr(a.err)
		f.Equal(a.usage.Finish, "stop")
		f.Equal(a.text, model.Answer("e1", r, a.usage.Output))
	},
	"what is asked arrives": func(f variant) {
		r := request("r1", "p", "hello")
		r.Model, r.Priority, r.MaxTokens, r.TraceParent = "m", 7, 9, "00-1-2-01"
		a := f.complete(f.ctx, r)
		f.NoErr(a.err)
		f.Equal(a.usage.Finish, "length")
		f.Equal(a.usage.Output, 9)
		d := f.fake.ReceivedRequests()[0]
		d.At = time.Time{}
		f.Equal(d, model.ReceivedRequest{
			Request: "r1", Program: "p", Model: "m", Priority: 7, MaxTokens: 9, TraceParent: "00-1-2-01",
			Prompt: a.usage.Prompt, Outcome: "length",
		})
	},
	"pieces come as they are made": func(f variant) {
		f.fake.Output = 12
		a := f.complete(f.ctx, request("r1", "p", strings.Repeat("x", 32_000)))
		f.NoErr(a.err)
		prefill := time.Duration(a.usage.Prompt) * time.Second / 8000
		f.Equal(a.at, []time.Duration{prefill + 80*time.Millisecond, prefill + 160*time.Millisecond, prefill + 240*time.Millisecond})
	},
	"a longer prompt finds its beginning cached": func(f variant) {
		f.NoErr(f.complete(f.ctx, request("r1", "p", "one", "two")).err)
		a := f.complete(f.ctx, request("r2", "p", "one", "two", "three"))
		f.NoErr(a.err)
		f.Equal(a.usage.Cached, 2*9)
		f.Equal(a.usage.Prompt, 3*9)
		events, err := f.Events(f.ctx, 1)
		f.NoErr(err)
		f.Equal(len(events), 1)
		f.Equal(events[0].Seq, uint64(2))
		f.Equal(events[0].Stored, []uint64{engine.Blocks(request("", "", "one", "two", "three").Body)[2].Hash})
	},
	"release frees a program's memory": func(f variant) {
		f.NoErr(f.complete(f.ctx, request("r1", "p", "one")).err)
		f.NoErr(f.complete(f.ctx, request("r2", "q", "two")).err)
		held, err := f.Held(f.ctx)
		f.NoErr(err)
		f.Equal(held, []string{"p", "q"})
		f.NoErr(f.Order(f.ctx, engine.Order{Kind: engine.OrderRelease, Program: "p", Fence: 1}))
		held, err = f.Held(f.ctx)
		f.NoErr(err)
		f.Equal(held, []string{"q"})
		f.Equal(f.fake.HeldTokens("p"), 0)
	},
	"export brings a prefix to another engine": func(f variant) {
		other := &model.Engine{Name: "e2"}
		f.fake.Peer = func(string) *model.Engine { return other }
		f.NoErr(f.complete(f.ctx, request("r1", "p", "one", "two")).err)
		f.NoErr(f.Order(f.ctx, engine.Order{Kind: engine.OrderExport, Program: "p", Target: "e2"}))
		u, err := other.Chat(f.ctx, request("r2", "p", "one", "two"), func(engine.Delta) error { return nil })
		f.NoErr(err)
		f.Equal(u.Cached, u.Prompt)
	},
	"load tells of leaving, late": func(f variant) {
		f.fake.ReportLag = 2 * time.Second
		f.fake.SetLeaving(true)
		l, err := f.Load(f.ctx)
		f.NoErr(err)
		f.True(!l.Leaving)
		sleep(2 * time.Second)
		l, err = f.Load(f.ctx)
		f.NoErr(err)
		f.True(l.Leaving)
	},
	"load a model by order": func(f variant) {
		f.fake.Models = []string{"m"}
		r := request("r1", "p", "one")
		r.Model = "n"
		f.failedWith(f.complete(f.ctx, r).err, 404)
		f.NoErr(f.Order(f.ctx, engine.Order{Kind: engine.OrderLoad, Target: "n"}))
		f.NoErr(f.complete(f.ctx, r).err)
	},
}

var failures = map[string]func(f variant){
	// An order from a former owner arrives after the new owner's. An engine that
	// checks fencing numbers refuses it, so the new owner's order stays in effect.
	"old fencing number refused": func(f variant) {
		f.NoErr(f.Order(f.ctx, engine.Order{Kind: engine.OrderRole, Target: "decode", Fence: 2}))
		f.failedWith(f.Order(f.ctx, engine.Order{Kind: engine.OrderRole, Target: "prefill", Fence: 1}), 409)
		f.Equal(f.fake.Role(), "decode")
	},
	// The same at an engine that does not check: the late order takes effect.
	"old fencing number ignored": func(f variant) {
		f.fake.IgnoreFence = true
		f.NoErr(f.Order(f.ctx, engine.Order{Kind: engine.OrderRole, Target: "decode", Fence: 2}))
		f.NoErr(f.Order(f.ctx, engine.Order{Kind: engine.OrderRole, Target: "prefill", Fence: 1}))
		f.Equal(f.fake.Role(), "prefill")
	},
	// The engine is overloaded and refuses the request.
	"busy": func(f variant) {
		f.fake.SetFault(model.Busy, 0)
		f.failedWith(f.complete(f.ctx, request("r1", "p", "one")).err, 503)
	},
	// The engine's process crashes in the middle of an answer. The pieces so far
	// are the beginning of the answer, and the client returns an error; after the
	// resume, the rest follows without a gap or a repeat.
	"dies mid-stream and resumes": func(f variant) {
		f.fake.ScriptFaults(map[int]model.Fault{1: model.Disconnect})
		r := request("r1", "p", "one")
		a := f.complete(f.ctx, r)
		f.True(a.err != nil)
		var e *engine.Error
		f.True(errors.As(a.err, &e))
		f.True(e.Sent)
		f.True(len(a.at) > 0)
		r.Resume = len(a.at)
		b := f.complete(f.ctx, r)
		f.NoErr(b.err)
		f.Equal(a.text+b.text, model.Answer("e1", r, b.usage.Output))
	},
	// The engine accepts the request and never responds. The call ends at the
	// caller's deadline.
	"hangs": func(f variant) {
		f.fake.SetFault(model.Hang, 0)
		start := time.Now()
		a := f.completeWithin(5*time.Second, request("r1", "p", "one"))
		f.True(errors.Is(a.err, context.DeadlineExceeded))
		f.Equal(time.Since(start), 5*time.Second)
	},
	// The first piece arrives late, but within the timeout, and the answer is
	// complete.
	"late": func(f variant) {
		f.fake.SetFault(model.Delayed, 20*time.Second)
		r := request("r1", "p", "one")
		a := f.complete(f.ctx, r)
		f.NoErr(a.err)
		f.True(a.at[0] > 20*time.Second)
		f.Equal(a.text, model.Answer("e1", r, a.usage.Output))
	},
	// A caller cancels in the middle of its answer. The engine stops generating
	// and frees the slot in the batch.
	"cancelled": func(f variant) {
		f.fake.Output = 1000
		a := f.completeWithin(time.Second, request("r1", "p", "one"))
		f.True(errors.Is(a.err, context.DeadlineExceeded))
		f.Equal(a.usage.Finish, "cancelled")
		sleep(time.Second)
		f.isIdle()
	},
	// The sink fails because the caller has disconnected. The engine must stop
	// generating.
	"sink fails": func(f variant) {
		f.fake.Output = 1000
		gone := errors.New("caller is gone")
		_, err := f.Chat(f.ctx, request("r1", "p", "one"), func(engine.Delta) error { return gone })
		f.True(errors.Is(err, gone))
		sleep(time.Second)
		f.isIdle()
	},
	// Cache events are lost. A reader sees the gap in the sequence numbers.
	"cache events with gaps": func(f variant) {
		f.fake.EventGap = 2
		for i := range 4 {
			f.NoErr(f.complete(f.ctx, request("r", "p", fmt.Sprint(i))).err)
		}
		events, err := f.Events(f.ctx, 0)
		f.NoErr(err)
		f.Equal([]uint64{events[0].Seq, events[1].Seq}, []uint64{1, 3})
	},
}

func TestEngine(t *testing.T) {
	forms := map[string]func(*testing.T, func(variant)){"in memory": inMemory, "network": overNetwork}
	for name, run := range forms {
		for tt, f := range contract {
			t.Run(name+"/"+tt, func(t *testing.T) { run(t, f) })
		}
		for tt, f := range failures {
			t.Run(name+"/"+tt, func(t *testing.T) { run(t, f) })
		}
	}
}

// sleep advances the bubble's time.
func sleep(d time.Duration) { <-time.After(d) }
