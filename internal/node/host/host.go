// Package host drives the owner of one shard at this daemon: it turns callers'
// requests and the ends of I/O into the machine's messages, one at a time, and
// carries out the machine's effects.
//
// The machine runs on one goroutine. Everything that can take time, calls to
// the store and attempts at upstreams, runs on the daemon's pool and comes back
// as a message, so that a slow store or upstream never holds up the others.
package host

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"go.opentelemetry.io/otel/attribute"

	"github.com/slaterock/slaterock/internal/node/feed"
	"github.com/slaterock/slaterock/internal/obs/trace"
	"github.com/slaterock/slaterock/internal/peer/swim"
	"github.com/slaterock/slaterock/internal/place/sched"
	"github.com/slaterock/slaterock/internal/plat/store"
	"github.com/slaterock/slaterock/internal/prog/hist"
	"github.com/slaterock/slaterock/internal/prog/record"
	"github.com/slaterock/slaterock/internal/prog/result"
	"github.com/slaterock/slaterock/internal/prog/runner"
	"github.com/slaterock/slaterock/internal/shard/boot"
	"github.com/slaterock/slaterock/internal/shard/bulk"
	"github.com/slaterock/slaterock/internal/shard/chain"
	"github.com/slaterock/slaterock/internal/shard/owner"
)

const (
	mailbox      = 1024
	tickEvery    = 20 * time.Millisecond
	storeTimeout = 5 * time.Second
	// saveEvery is after how many journal entries a snapshot is taken. It
	// bounds what a takeover reads.
	saveEvery = 256
)

type (
	// Attempt carries out one dispatch and returns how it ended. It adds the
	// pieces of a model's answer to the feed as they come, and ends early with
	// the context.
	Attempt func(ctx context.Context, d owner.Dispatch, f *feed.Feed) owner.Tried

	// Host owns one shard from Start until its context ends, it is fenced, or
	// it is drained.
	Host struct {
		Taken   boot.Taken
		Shard   int
		Name    string // of the daemon
		Store   store.Store
		Hold    time.Time // no dispatch before
		Attempt Attempt
		Place   func(h *Host, m sched.Message)
		Log     func(l owner.Log)
		Proved  func(h *Host) // a Verify was answered
		Trace   *trace.Trace
		Go      func(f func()) // runs f on the daemon's pool, or at once elsewhere
		Rand    func() uint64
		// Peers reaches the data folders; Domain is the daemon's own failure
		// domain.
		Peers  bulk.Peers
		Domain string

		machine  owner.Owner
		mail     chan any
		done     chan struct{}
		drained  chan struct{}
		cancel   context.CancelFunc
		ctx      context.Context //nolint:containedctx // ends all work of the host
		life     context.Context //nolint:containedctx // ends all attempts
		tailing  bool
		mu       sync.Mutex
		tickets  map[owner.Ticket]*ticket
		next     owner.Ticket
		attempts map[string]map[string]*Tail // request, upstream
		feeds    map[string]*feed.Feed
		parents  map[string]string     // traceparent by request, until its outcome is known
		commits  map[string]trace.Span // outcomes on their way to the journal
		savedAt  uint64
		saving   bool
		fenced   bool
		bulk     *bulk.Bulk             // nil while no data folder is known
		folders  map[string]swim.Member // daemons with a data folder
		movedMu  sync.Mutex
		moved    []hist.Blob // with new holders, for the journal
	}

	ticket struct {
		reply chan result.Result
		feed  chan *feed.Feed
	}

	look struct{ f func() }
)

var _ runner.Runner = (*Host)(nil)

// Start begins to own the shard. The host ends with ctx.
func (h *Host) Start(ctx context.Context) {
	h.life = ctx
	h.ctx, h.cancel = context.WithCancel(ctx)
	h.mail = make(chan any, mailbox)
	h.done = make(chan struct{})
	h.drained = make(chan struct{})
	h.tickets = map[owner.Ticket]*ticket{}
	h.attempts = map[string]map[string]*Tail{}
	h.feeds = map[string]*feed.Feed{}
	h.parents = map[string]string{}
	h.commits = map[string]trace.Span{}
	h.savedAt = h.Taken.Snap.Head.Upto
	h.machine = owner.Owner{Fold: h.Taken.Fold, Hold: h.Hold}
	h.machine.Chain = chain.Chain{Shard: h.Shard, Epoch: h.Taken.Epoch, Owner: h.Name, Next: h.Taken.Next, Rand: h.Rand}
	if len(h.machine.Fold.Older)+len(h.machine.Fold.Texts) > 0 {
		h.mu.Lock()
		h.startBulk()
		h.mu.Unlock()
	}
	h.machine.Fold.Older, h.Taken.Fold.Older = nil, nil // bulk knows them now
	go h.run()
}

// Tell gives the machine a message.
func (h *Host) Tell(m owner.Message) { h.post(m) }

// Done is closed when the host has ended: it was fenced, drained or stopped.
func (h *Host) Done() <-chan struct{} { return h.done }

// Drained is closed when all calls have ended and are committed after Drain.
func (h *Host) Drained() <-chan struct{} { return h.drained }

// Fenced reports whether another daemon has the shard. It is valid after Done.
func (h *Host) Fenced() bool { return h.fenced }

// Cancel ends the host.
func (h *Host) Cancel() { h.cancel() }

// Stop ends the host and waits for it.
func (h *Host) Stop() {
	h.cancel()
	<-h.done
}

// Epoch is the epoch that the host owns the shard in.
func (h *Host) Epoch() uint64 { return h.Taken.Epoch }

func (h *Host) post(m any) bool {
	select {
	case h.mail <- m:
		return true
	case <-h.ctx.Done():
		return false
	}
}

func (h *Host) run() {
	defer close(h.done)
	defer h.stopAttempts()
	defer h.cancel()
	t := time.NewTicker(tickEvery)
	defer t.Stop()
	for {
		select {
		case <-h.ctx.Done():
			return
		case m := <-h.mail:
			h.handle(m)
		case <-t.C:
			h.tellMoved()
			h.step(owner.Tick{})
		}
	}
}

func (h *Host) handle(m any) {
	switch m := m.(type) {
	case owner.Message:
		if c, ok := m.(owner.Call); ok && c.Call.TraceParent != "" {
			h.parents[c.Call.Request] = c.Call.TraceParent
		}
		h.step(m)
	case look:
		m.f()
	}
}

func (h *Host) step(m owner.Message) {
	for _, e := range h.machine.Step(time.Now(), m) {
		h.carry(e)
	}
}

func (h *Host) carry(e owner.Effect) {
	switch e := e.(type) {
	case owner.Write:
		h.Go(func() { h.write(e.Effect) })
	case owner.Place:
		h.Place(h, e.Message)
	case owner.Dispatch:
		h.dispatch(e)
	case owner.Stop:
		if a := h.attempts[e.Request][e.Upstream]; a != nil {
			a.Cancel()
		}
	case owner.Join:
		if t := h.ticket(e.Ticket); t != nil {
			t.feed <- h.feed(e.Request)
		}
	case owner.Reply:
		h.recorded(e.Request)
		h.reply(e.Ticket, e.Result)
	case owner.Keep:
		h.Go(func() { h.keep(e) })
	case owner.Unkeep:
		h.unkeep(e.Blob)
	case owner.Recall:
		h.Go(func() { h.recall(e) })
	case owner.Log:
		delete(h.feeds, e.Call.Request)
		h.recording(e.Call.Request)
		h.Log(e)
	case owner.Saving:
		h.save()
	case owner.Verified:
		h.Proved(h)
	case owner.Fenced:
		h.fenced = true
		h.cancel()
	case owner.Drained:
		h.tailing = true
		close(h.drained)
	}
}

// recording begins the hop in which a request's outcome goes to the store.
func (h *Host) recording(request string) {
	if parent, ok := h.parents[request]; ok {
		delete(h.parents, request)
		_, h.commits[request] = h.Trace.Start(h.ctx, trace.Store, parent, attribute.String("request", request))
	}
}

func (h *Host) recorded(request string) {
	if span, ok := h.commits[request]; ok {
		delete(h.commits, request)
		span.End(nil)
	}
	delete(h.parents, request)
}

func (h *Host) feed(request string) *feed.Feed {
	f := h.feeds[request]
	if f == nil {
		f = &feed.Feed{}
		h.feeds[request] = f
	}
	return f
}

func (h *Host) dispatch(d owner.Dispatch) {
	ctx, stop := context.WithCancel(h.life)
	if h.attempts[d.Request] == nil {
		h.attempts[d.Request] = map[string]*Tail{}
	}
	a := &Tail{Request: d.Request, Upstream: d.Upstream, Feed: h.feed(d.Request), Cancel: stop, Done: make(chan owner.Tried, 1)}
	h.attempts[d.Request][d.Upstream] = a
	h.Go(func() {
		t := h.Attempt(ctx, d, a.Feed)
		stop()
		a.Done <- t
		h.post(look{f: func() { h.tried(t) }})
	})
}

func (h *Host) tried(t owner.Tried) {
	if h.tailing {
		return // the next owner is told
	}
	delete(h.attempts[t.Request], t.Upstream)
	if len(h.attempts[t.Request]) == 0 {
		delete(h.attempts, t.Request)
	}
	h.step(t)
}

// write carries out one step of the chain.
func (h *Host) write(e chain.Effect) {
	ctx, stop := context.WithTimeout(h.ctx, storeTimeout)
	defer stop()
	switch e := e.(type) {
	case chain.Create:
		_, err := h.Store.Put(ctx, e.Key, e.Data, 0, 0)
		h.post(owner.Journal{Message: chain.Wrote{Number: e.Number, Outcome: outcome(err)}})
	case chain.Read:
		h.post(owner.Journal{Message: h.readBack(ctx, e)})
	}
}

// outcome sorts the end of a creation. Whatever is not known to have had no
// effect may have had it.
func outcome(err error) chain.Outcome {
	var c *store.ConflictError
	switch {
	case err == nil:
		return chain.Created
	case errors.As(err, &c):
		return chain.Exists
	case errors.Is(err, store.ErrUnavailable):
		return chain.Unavailable
	}
	return chain.Lost
}

func (h *Host) readBack(ctx context.Context, r chain.Read) chain.Message {
	v, err := h.Store.Get(ctx, r.Key)
	if errors.Is(err, store.ErrNotFound) {
		return chain.Absent{Number: r.Number}
	}
	if err != nil {
		return chain.Unread{Number: r.Number}
	}
	e, err := record.Decode(v.Data)
	if err != nil {
		return chain.Unread{Number: r.Number}
	}
	return chain.Found{Entry: e}
}

// save takes a snapshot when enough entries have come since the last one.
func (h *Host) save() {
	if h.saving || h.machine.Fold.Upto < h.savedAt+saveEvery {
		return
	}
	h.saving = true
	f := h.machine.Snapshot()
	h.Go(func() {
		ctx, stop := context.WithTimeout(h.ctx, 10*storeTimeout)
		defer stop()
		gone, err := h.Taken.Snap.Save(ctx, f)
		h.post(look{f: func() { h.saved(f.Upto, gone, err) }})
	})
}

func (h *Host) saved(upto uint64, gone map[uint64]uint32, err error) {
	h.saving = false
	h.savedAt = upto // after a failure the next one waits as long
	if err == nil {
		h.step(owner.Saved{Upto: upto, Gone: gone})
	}
}
