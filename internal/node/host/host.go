// Package host drives the owner.Owner of one shard at this daemon: it passes callers'
// requests and the results of I/O to that state machine, one message at a time, and
// executes the effects that it returns.
//
// The state machine runs on one goroutine. Blocking work, such as calls to the store and
// attempts at upstreams, runs on the daemon's goroutine pool and posts its result as a
// message, so that a slow store or upstream does not delay other requests.
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
	"github.com/slaterock/slaterock/internal/shard/blobio"
	"github.com/slaterock/slaterock/internal/shard/boot"
	"github.com/slaterock/slaterock/internal/shard/jrnl"
	"github.com/slaterock/slaterock/internal/shard/owner"
)

const (
	mailboxSize  = 1024
	tickInterval = 20 * time.Millisecond
	storeTimeout = 5 * time.Second
	// snapshotEntries is the number of journal entries after which the next snapshot is
	// tried. It keeps the number of entries small that a takeover reads.
	snapshotEntries = 256
)

type (
	// Attempt executes one dispatch and returns its result. It appends the pieces of a
	// model's answer to the feed as they arrive, and returns early when the context ends.
	Attempt func(ctx context.Context, d owner.Dispatch, f *feed.Feed) owner.AttemptEnded

	// Host owns one shard from Start until its context ends, it is stopped, or another
	// daemon has taken the shard over. Set the exported fields before Start.
	Host struct {
		Taken      boot.Taken
		Shard      int
		Name       string // of this daemon
		Store      store.Store
		Hold       time.Time // earliest time of the first dispatch
		Attempt    Attempt
		Place      func(h *Host, m sched.Message) // posts m to the placer, which calls h.Answer
		Log        func(l owner.Log)              // called when a call has ended
		OnVerified func(h *Host)                  // called once a journal write proves that the shard is still owned
		Trace      *trace.Trace
		Go         func(f func()) // runs f on the daemon's pool, or on a new goroutine if that is full
		Rand       func() uint64
		// Peers is the client of all data folders. Domain is the failure domain of this
		// daemon.
		Peers  blobio.Peers
		Domain string

		machine    owner.Owner
		inbox      chan any
		done       chan struct{}
		drained    chan struct{}
		cancel     context.CancelFunc
		ctx        context.Context //nolint:containedctx // cancels all work of the host but attempts
		attemptCtx context.Context //nolint:containedctx // cancels all attempts
		handedOver bool
		mu         sync.Mutex
		waiters    map[owner.Ticket]*waiter
		next       owner.Ticket
		attempts   map[string]map[string]*RunningAttempt // by request, then upstream
		feeds      map[string]*feed.Feed
		parents    map[string]string     // traceparent by request, until the outcome is known
		commits    map[string]trace.Span // by request, while its outcome is being committed
		savedUpto  uint64
		saving     bool
		fenced     bool
		blobio     *blobio.BlobStore      // nil until a data folder is known or the shard has stored texts
		folders    map[string]swim.Member // daemons with a data folder, by name
		movedMu    sync.Mutex
		moved      []hist.Blob // blobs whose new holders are not in the journal yet
	}

	waiter struct {
		reply chan result.Result
		feed  chan *feed.Feed
	}

	task struct{ f func() }
)

var _ runner.Runner = (*Host)(nil)

// Start starts the host's goroutine. The host ends with ctx.
func (h *Host) Start(ctx context.Context) {
	h.attemptCtx = ctx
	h.ctx, h.cancel = context.WithCancel(ctx)
	h.inbox = make(chan any, mailboxSize)
	h.done = make(chan struct{})
	h.drained = make(chan struct{})
	h.waiters = map[owner.Ticket]*waiter{}
	h.attempts = map[string]map[string]*RunningAttempt{}
	h.feeds = map[string]*feed.Feed{}
	h.parents = map[string]string{}
	h.commits = map[string]trace.Span{}
	h.savedUpto = h.Taken.Snap.Head.Upto
	h.machine = owner.Owner{Fold: h.Taken.Fold, Hold: h.Hold}
	h.machine.Writer = jrnl.Writer{Shard: h.Shard, Epoch: h.Taken.Epoch, Owner: h.Name, Next: h.Taken.Next, Rand: h.Rand}
	if len(h.machine.Fold.SnapshotTexts)+len(h.machine.Fold.Texts) > 0 {
		h.mu.Lock()
		h.startBulk()
		h.mu.Unlock()
	}
	h.machine.Fold.SnapshotTexts, h.Taken.Fold.SnapshotTexts = nil, nil // passed to bulk above
	go h.run()
}

// Tell posts a message to the host's state machine.
func (h *Host) Tell(m owner.Message) { h.post(m) }

// Done is closed when the host has ended because it was fenced or stopped.
func (h *Host) Done() <-chan struct{} { return h.done }

// Drained is closed after owner.Drain, once all outcomes and all calls with an attempt in
// progress are committed to the journal. The host makes no more dispatches then.
func (h *Host) Drained() <-chan struct{} { return h.drained }

// Fenced reports whether another daemon has taken the shard over. It is valid after Done.
func (h *Host) Fenced() bool { return h.fenced }

// Cancel ends the host without waiting.
func (h *Host) Cancel() { h.cancel() }

// Stop ends the host and waits until it has ended.
func (h *Host) Stop() {
	h.cancel()
	<-h.done
}

// Epoch is the epoch in which the host owns the shard.
func (h *Host) Epoch() uint64 { return h.Taken.Epoch }

func (h *Host) post(m any) bool {
	select {
	case h.inbox <- m:
		return true
	case <-h.ctx.Done():
		return false
	}
}

func (h *Host) run() {
	defer close(h.done)
	defer h.stopAttempts()
	defer h.cancel()
	t := time.NewTicker(tickInterval)
	defer t.Stop()
	for {
		select {
		case <-h.ctx.Done():
			return
		case m := <-h.inbox:
			h.handle(m)
		case <-t.C:
			h.journalMoved()
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
	case task:
		m.f()
	}
}

func (h *Host) step(m owner.Message) {
	for _, e := range h.machine.Step(time.Now(), m) {
		h.apply(e)
	}
}

func (h *Host) apply(e owner.Effect) {
	switch e := e.(type) {
	case owner.StoreRequest:
		h.Go(func() { h.accessJournal(e.Effect) })
	case owner.Place:
		h.Place(h, e.Message)
	case owner.Dispatch:
		h.dispatch(e)
	case owner.CancelAttempt:
		if a := h.attempts[e.Request][e.Upstream]; a != nil {
			a.Cancel()
		}
	case owner.Subscribe:
		if t := h.waiter(e.Ticket); t != nil {
			t.feed <- h.feed(e.Request)
		}
	case owner.Reply:
		h.endCommitSpan(e.Request)
		h.reply(e.Ticket, e.Result)
	case owner.Offload:
		h.Go(func() { h.storeTexts(e) })
	case owner.ReleaseBlob:
		h.releaseText(e.Blob)
	case owner.ReplyFromJournal:
		h.Go(func() { h.answerRecorded(e) })
	case owner.Log:
		delete(h.feeds, e.Call.Request)
		h.startCommitSpan(e.Call.Request)
		h.Log(e)
	case owner.SnapshotAllowed:
		h.save()
	case owner.Verified:
		h.OnVerified(h)
	case owner.Fenced:
		h.fenced = true
		h.cancel()
	case owner.Drained:
		h.handedOver = true
		close(h.drained)
	}
}

// startCommitSpan starts the span of committing a request's outcome to the store.
func (h *Host) startCommitSpan(request string) {
	if parent, ok := h.parents[request]; ok {
		delete(h.parents, request)
		_, h.commits[request] = h.Trace.Start(h.ctx, trace.Store, parent, attribute.String("request", request))
	}
}

func (h *Host) endCommitSpan(request string) {
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
	ctx, stop := context.WithCancel(h.attemptCtx)
	if h.attempts[d.Request] == nil {
		h.attempts[d.Request] = map[string]*RunningAttempt{}
	}
	a := &RunningAttempt{Request: d.Request, Upstream: d.Upstream, Feed: h.feed(d.Request), Cancel: stop, Done: make(chan owner.AttemptEnded, 1)}
	h.attempts[d.Request][d.Upstream] = a
	h.Go(func() {
		t := h.Attempt(ctx, d, a.Feed)
		stop()
		a.Done <- t
		h.post(task{f: func() { h.attemptEnded(t) }})
	})
}

func (h *Host) attemptEnded(t owner.AttemptEnded) {
	if h.handedOver {
		return // package shards reports it to the next owner
	}
	delete(h.attempts[t.Request], t.Upstream)
	if len(h.attempts[t.Request]) == 0 {
		delete(h.attempts, t.Request)
	}
	h.step(t)
}

// accessJournal creates or reads a journal entry in the store, as requested by the state
// machine, and posts the result.
func (h *Host) accessJournal(e jrnl.Effect) {
	ctx, stop := context.WithTimeout(h.ctx, storeTimeout)
	defer stop()
	switch e := e.(type) {
	case jrnl.Create:
		_, err := h.Store.Put(ctx, e.Key, e.Data, 0, 0)
		h.post(owner.StoreReply{Message: jrnl.CreateDone{Number: e.Number, Outcome: outcome(err)}})
	case jrnl.Read:
		h.post(owner.StoreReply{Message: h.readBack(ctx, e)})
	}
}

// outcome classifies the error of a creation. An error that does not rule out that the
// entry was written is jrnl.Unknown.
func outcome(err error) jrnl.Outcome {
	var c *store.ConflictError
	switch {
	case err == nil:
		return jrnl.Created
	case errors.As(err, &c):
		return jrnl.Exists
	case errors.Is(err, store.ErrUnavailable):
		return jrnl.Unavailable
	}
	return jrnl.Unknown
}

func (h *Host) readBack(ctx context.Context, r jrnl.Read) jrnl.Message {
	v, err := h.Store.Get(ctx, r.Key)
	if errors.Is(err, store.ErrNotFound) {
		return jrnl.Absent{Number: r.Number}
	}
	if err != nil {
		return jrnl.ReadFailed{Number: r.Number}
	}
	e, err := record.Decode(v.Data)
	if err != nil {
		return jrnl.ReadFailed{Number: r.Number}
	}
	return jrnl.Found{Entry: e}
}

// save takes a snapshot if snapshotEntries entries were committed since the last attempt.
func (h *Host) save() {
	if h.saving || h.machine.Fold.Upto < h.savedUpto+snapshotEntries {
		return
	}
	h.saving = true
	f := h.machine.Snapshot()
	h.Go(func() {
		ctx, stop := context.WithTimeout(h.ctx, 10*storeTimeout)
		defer stop()
		gone, err := h.Taken.Snap.Save(ctx, f)
		h.post(task{f: func() { h.saved(f.Upto, gone, err) }})
	})
}

func (h *Host) saved(upto uint64, gone map[uint64]uint32, err error) {
	h.saving = false
	h.savedUpto = upto // also after a failure: the next snapshot is due as many entries later
	if err == nil {
		h.step(owner.SnapshotSaved{Upto: upto, Gone: gone})
	}
}
