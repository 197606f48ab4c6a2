package host

import (
	"context"
	"slices"

	"go.opentelemetry.io/otel/attribute"

	"github.com/slaterock/slaterock/internal/node/feed"
	"github.com/slaterock/slaterock/internal/obs/trace"
	"github.com/slaterock/slaterock/internal/place/sched"
	"github.com/slaterock/slaterock/internal/prog/call"
	"github.com/slaterock/slaterock/internal/prog/hist"
	"github.com/slaterock/slaterock/internal/prog/result"
	"github.com/slaterock/slaterock/internal/prog/runner"
	"github.com/slaterock/slaterock/internal/prog/state"
	"github.com/slaterock/slaterock/internal/shard/owner"
)

func (h *Host) waiter(t owner.Ticket) *waiter {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.waiters[t]
}

func (h *Host) reply(t owner.Ticket, r result.Result) {
	h.mu.Lock()
	w := h.waiters[t]
	delete(h.waiters, t)
	h.mu.Unlock()
	if w != nil {
		w.reply <- r
	}
}

func (h *Host) addWaiter() (owner.Ticket, *waiter) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.next++
	t := &waiter{reply: make(chan result.Result, 1), feed: make(chan *feed.Feed, 4)}
	h.waiters[h.next] = t
	return h.next, t
}

func (h *Host) removeWaiter(t owner.Ticket) {
	h.mu.Lock()
	delete(h.waiters, t)
	h.mu.Unlock()
	h.post(owner.CallerGone{Ticket: t})
}

// Open implements runner.Runner.
func (h *Host) Open(ctx context.Context, o call.Open) result.Result {
	return h.submit(ctx, nil, func(t owner.Ticket) owner.Message { return owner.Open{Ticket: t, Open: o} })
}

// End implements runner.Runner.
func (h *Host) End(ctx context.Context, e call.End) result.Result {
	return h.submit(ctx, nil, func(t owner.Ticket) owner.Message { return owner.End{Ticket: t, End: e} })
}

// Call implements runner.Runner.
func (h *Host) Call(ctx context.Context, c call.Call, sink runner.Sink) (r result.Result) {
	ctx, span := h.Trace.Start(ctx, trace.Owner, c.TraceParent, attribute.String("request", c.Request))
	c.TraceParent = span.Traceparent()
	defer func() { span.Result(r) }()
	return h.submit(ctx, sink, func(t owner.Ticket) owner.Message { return owner.Call{Ticket: t, Call: c} })
}

// submit posts a request to the state machine and waits for its reply. Meanwhile it writes the
// pieces of the answer to sink.
func (h *Host) submit(ctx context.Context, sink runner.Sink, m func(owner.Ticket) owner.Message) result.Result {
	id, t := h.addWaiter()
	if !h.post(m(id)) {
		h.removeWaiter(id)
		return notOwner()
	}
	var follow feedReader
	follow.sink = sink
	for {
		select {
		case r := <-t.reply:
			return r
		case f := <-t.feed:
			follow.feed, follow.at = f, 0
			if !follow.deliver() {
				h.removeWaiter(id)
				return cancelled()
			}
		case <-follow.more:
			if !follow.deliver() {
				h.removeWaiter(id)
				return cancelled()
			}
		case <-ctx.Done():
			h.removeWaiter(id)
			return cancelled()
		case <-h.done:
			return h.finalReply(t)
		}
	}
}

// finalReply returns the reply if one was sent just before the host ended, and notOwner's result
// otherwise.
func (h *Host) finalReply(t *waiter) result.Result {
	select {
	case r := <-t.reply:
		return r
	default:
		return notOwner()
	}
}

// notOwner is the result after the host has ended. The daemon that received the request then
// sends it to the new owner, which joins or repeats the call by its number. Whether the call has
// run is unknown here.
func notOwner() result.Result {
	return result.Failed(result.CodeNotOwner, result.Unknown, "the program has moved to another daemon")
}

func cancelled() result.Result {
	return result.Failed(result.CodeCancelled, result.Unknown, "the caller is gone")
}

// History implements runner.Runner.
func (h *Host) History(ctx context.Context, account, program string) (hist.History, result.Result) {
	return h.readHistory(ctx, account, state.Hash(program), func(hs []hist.History) (hist.History, bool) {
		i := slices.IndexFunc(hs, func(p hist.History) bool { return p.Program == program })
		return historyAt(hs, i)
	})
}

// Request implements runner.Runner.
func (h *Host) Request(ctx context.Context, account, request string) (hist.History, result.Result) {
	hash, ok := requestHash(request)
	if !ok {
		return hist.History{}, notFound()
	}
	return h.readHistory(ctx, account, hash, func(hs []hist.History) (hist.History, bool) { return findRequest(hs, request) })
}

// Answer implements placer.Requester. It doesn't block: the placer serves all shards, and if
// it waited for a host that waits for the placer, both would be stuck.
func (h *Host) Answer(e sched.Effect) {
	var m owner.Message
	switch e := e.(type) {
	case sched.Assign:
		m = owner.Assigned{Assign: e}
	case sched.Refuse:
		m = owner.Refused{Refuse: e}
	default:
		return
	}
	select {
	case h.inbox <- m:
	default:
		h.Go(func() { h.post(m) })
	}
}
