// Package proxy is the HTTP reverse proxy: it finds the route of a request, sends it
// to an upstream of the route's service and returns the response.
//
// An error response states whether the request ran. If it certainly did not and a retry may
// help, the response has a Retry-After time. A request that may have run gets none, and is
// sent again only if the kind of its route allows it. A truncated response is never
// delivered as a complete one.
package proxy

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"github.com/slaterock/slaterock/internal/conf/accnt"
	"github.com/slaterock/slaterock/internal/conf/route"
	"github.com/slaterock/slaterock/internal/disk/index"
	"github.com/slaterock/slaterock/internal/disk/quorum"
	"github.com/slaterock/slaterock/internal/front/admit"
	"github.com/slaterock/slaterock/internal/front/conns"
	"github.com/slaterock/slaterock/internal/front/ended"
	"github.com/slaterock/slaterock/internal/front/failed"
	"github.com/slaterock/slaterock/internal/front/fleet"
	"github.com/slaterock/slaterock/internal/front/lasted"
	"github.com/slaterock/slaterock/internal/front/limits"
	"github.com/slaterock/slaterock/internal/front/memory"
	"github.com/slaterock/slaterock/internal/front/meta"
	"github.com/slaterock/slaterock/internal/front/parts"
	"github.com/slaterock/slaterock/internal/front/pick"
	"github.com/slaterock/slaterock/internal/front/runio"
	"github.com/slaterock/slaterock/internal/front/upconn"
	"github.com/slaterock/slaterock/internal/obs/trace"
)

const (
	// defaultWait is the timeout if neither the caller nor the route sets one.
	defaultWait = 30 * time.Second
	// writeSlack is how long after the deadline a response may still be written.
	writeSlack = time.Second
	// idleTime is how long a daemon without requests counts as serving no callers, longer
	// than the directory keeps naming daemons of which fewer are needed.
	idleTime = 15 * time.Second
	// defaultBody is the limit on request bodies if the configuration sets none, in bytes.
	defaultBody = 4 << 20
)

type (
	// Dialect translates between the HTTP headers of callers and upstreams and the
	// types of package meta.
	Dialect interface {
		// Decode reads the metadata in a caller's request header.
		Decode(http.Header) (meta.Attempt, error)
		// Forward makes the upstream's request header from the caller's.
		Forward(http.Header, meta.Dispatch) http.Header
		// Return makes the caller's response header from the upstream's.
		Return(http.Header) http.Header
		// ResponseInfo reads the metadata in an upstream's response header.
		ResponseInfo(status int, h http.Header) meta.ResponseInfo
		// StartTarget is the path at which an upstream states its start, and Start reads that from
		// the response, in Unix milliseconds.
		StartTarget() string
		Start(body []byte) (born int64, stated bool)
		// RetryAfter sets the Retry-After time in a caller's response header.
		RetryAfter(http.Header, time.Duration)
	}

	// Records reads and writes durable records of turns and token budgets.
	Records interface {
		Write(context.Context, index.Record) (quorum.Result, error)
		// Read has room called before it reads a history that is not short, with its bytes.
		Read(ctx context.Context, program, turn string, room func(ctx context.Context, n int64) error) ([]index.Turn, error)
	}

	// Runs tells other fronts of runs, and asks them for others; see runio.Exchange.
	Runs interface {
		Front() string
		Tell(ctx context.Context, key uint64, run index.Run) runio.Answer
		Over(ctx context.Context, key uint64, run index.Run)
		Fates(ctx context.Context, key uint64, attempts []index.Run) (map[string]runio.Fate, []index.Run)
	}

	// Endpoint is the HTTP handler for callers' requests. Set the exported fields before
	// use.
	Endpoint struct {
		Dialect  Dialect
		Records  Records
		Fleet    *fleet.Fleet
		Pool     *upconn.Pool
		Picker   *pick.Picker
		Baseline pick.Baseline // usual durations, by route
		Paces    Paces         // speeds of upstreams; nil if they are not compared
		Queue    admit.Queue
		Limiter  *limits.Limiter
		Parts    parts.Table // shared prompt parts that upstreams have cached
		Failed   failed.Runs // runs that got no whole good answer
		Memory   *memory.Budget
		Runs     Runs // what other fronts know of runs; nil if only the records do
		Log      zerolog.Logger
		Scope    tally.Scope
		Trace    *trace.Trace
		// Refresh reads the configuration from the store again, unless the present one
		// or the last attempt to read it is recent. It reports whether the configuration
		// is then recent enough to refuse a request for good.
		Refresh func(context.Context) (current bool)
		// Confirm reports whether the state was settled (fleet.View) at the given time or later. It
		// reads the store if necessary. Nil if it always was.
		Confirm func(ctx context.Context, since time.Time) bool
		// Stop is done when the daemon stops; it bounds work that outlives its request.
		Stop context.Context //nolint:containedctx // lifetime of the daemon

		// OthersServe reports whether most other daemons are likely to reach the records while
		// this one does not; nil for never.
		OthersServe func() bool
		// Woken is called with the first request after idleTime without any; nil for none.
		Woken func()

		running    admit.Running // turns in flight at engines
		peerQueued atomic.Pointer[func(service string, priority int) int]

		leaving leaving
		lasted  lasted.Times // from the last byte of a request to the end of its answer, by route
		active  atomic.Int64
		lastAt  atomic.Int64 // when the last request began, in Unix nanoseconds

		recordsLate atomic.Int64 // when the records last took longer than doubtTimeout, in Unix nanoseconds
		recordsAway atomic.Int64 // when they last did not answer within runsTimeout, likewise
		runWrites   atomic.Int64 // writes of runs under way
	}

	// request is one attempt in progress.
	request struct {
		meta.Attempt
		e        *Endpoint
		conn     *conns.Conn // of the caller
		w        http.ResponseWriter
		r        *http.Request
		view     *fleet.View
		current  bool // view was recent enough, after a refresh, to refuse the request for good
		route    route.Route
		service  route.Service
		account  accnt.Account // of the caller; zero if it has none
		acquired bool          // a request was taken from the account's limit and no upstream ran it yet
		// acquiredFirst tells that it was taken for a new program's first turn.
		acquiredFirst   bool
		programTime     time.Duration // that a new program is given, from its start to its deadline; 0 if not known
		body            []byte
		keyHash         uint64 // see key; 0 if not computed yet
		began           time.Time
		deadline        time.Time
		own             ended.Tally           // runs of this attempt
		seen            ended.Tally           // runs of all attempts, as far as they are known
		others          map[string]index.Run  // what other fronts and the records state of attempts, by id
		fates           map[string]runio.Fate // of those that are under way, or were lost with their fronts
		gone            []index.Start         // upstreams that ran the request before and accept no connections
		held            int64                 // bytes taken from Endpoint.Memory
		buffer          []byte                // from there, in which the response is read; nil for none
		asked           bool                  // somebody who knows has told what other attempts did
		recordsAnswered bool                  // the records have
		forgotten       bool                  // a first run may have been lost with all fronts that kept it
		announced       bool                  // other fronts were told of a run
		untold          bool                  // they were not told how the last one ended
		unrecorded      bool                  // the last runs of this attempt are not recorded
		under           int                   // see index.Run
		lostTold        int                   // index.Run.Lost as other fronts were told
		onSend          func(*exchange)       // called before each send; nil for nothing
		lastTry         bool                  // the present send is the last one that the attempts of the route allow
		goesOn          bool                  // the next send goes on with a stream of which the caller has events
		witness         *upconn.Conn          // see takeWitness; nil if there is none
		unconfirmed     bool                  // the store could not be read to confirm the start of an upstream
		summary         summary
	}
)

// Drain has all requests answered by end. Later ones are refused if they take too long for that, and their responses close
// the connection.
func (e *Endpoint) Drain(end time.Time) { e.leaving.begin(end) }

// Idle reports whether there was no request for idleTime.
func (e *Endpoint) Idle(now time.Time) bool {
	return e.active.Load() == 0 && now.UnixNano()-e.lastAt.Load() > int64(idleTime)
}

// noteRequest records that a request begins.
func (e *Endpoint) noteRequest(now time.Time) {
	before := e.lastAt.Swap(now.UnixNano())
	if e.Woken != nil && now.UnixNano()-before > int64(idleTime) {
		go e.Woken()
	}
}

// Active returns the number of requests in progress.
func (e *Endpoint) Active() int64 { return e.active.Load() }

func (e *Endpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.active.Add(1)
	defer e.active.Add(-1)
	e.noteRequest(time.Now())
	if _, leaves := e.leaving.by(); leaves {
		w.Header().Set("Connection", "close")
	}
	conn, done := conns.Of(r.Context(), e.Memory)
	defer done()
	ctx, span := e.Trace.Start(r.Context(), trace.Edge, "")
	q := &request{e: e, conn: conn, w: w, r: r.WithContext(ctx), began: time.Now()}
	q.summary.ran = ranNo
	defer q.report(span)
	defer q.noteFailed()
	defer q.releaseAcquired()
	defer q.returnMemory()
	defer q.releaseWitness()
	defer q.tellOver()
	if !q.conn.Begin(r.ContentLength) {
		q.replyUnavailable("no_room", retryNoRoom, nil)
	} else if q.accept() {
		q.serve()
	}
	if q.summary.status == 0 {
		panic(http.ErrAbortHandler) // the server would send an empty success, which a caller may still receive
	}
}

// accept reads the request, finds its route and authenticates the caller. It returns
// false if it has sent an error response instead.
func (q *request) accept() bool {
	var err error
	if q.Attempt, err = q.e.Dialect.Decode(q.r.Header); err != nil {
		q.replyError(http.StatusBadRequest, "bad_request", err)
		return false
	}
	if !q.findRoute() || !q.authenticate() {
		return false
	}
	wait := q.CallerTimeout
	if t := q.route.Timeout; t > 0 && (wait == 0 || t < wait) {
		wait = t
	}
	if wait == 0 {
		wait = defaultWait
	}
	q.deadline = q.began.Add(wait)
	// A caller that does not read must not block its handler indefinitely.
	_ = http.NewResponseController(q.w).SetWriteDeadline(q.deadline.Add(writeSlack)) // not supported by all writers
	if !q.readBody() {
		return false
	}
	if !q.finishesInTime(time.Now()) {
		q.w.Header().Set("Connection", "close")
		q.replyUnavailable("leaving", retryElsewhere, nil)
		return false
	}
	return true
}

// findRoute matches the request. A missing route may have been added a moment ago, so
// the newest configuration is read before the request is refused.
func (q *request) findRoute() bool {
	q.view = q.e.Fleet.View()
	if q.view.Table == nil {
		q.replyUnavailable("no_configuration", retryNoConfig, nil)
		return false
	}
	if q.match() {
		return true
	}
	return q.refresh()
}

// match finds the request's route and service in q.view, and reports whether there are any.
func (q *request) match() (found bool) {
	if q.route, found = q.view.Table.Match(q.r.Host, q.r.URL.Path); found {
		q.service = q.view.Table.Services[q.route.Choose(xxhash.Sum64String(q.affinityKey()))]
	}
	return found
}

// refresh reads the newest configuration and finds the route in it, so that the request is
// judged by one version. It returns false if there is none and an error response was sent.
func (q *request) refresh() bool {
	q.current = q.e.Refresh(q.r.Context())
	q.view = q.e.Fleet.View()
	if q.match() {
		return true
	}
	q.replyMissing(http.StatusNotFound, "no_route")
	return false
}

// affinityKey returns the key whose requests should go to the same upstream: the whole
// program where there is one, so that its turns and sub-agents share cached prompts.
func (q *request) affinityKey() string {
	switch {
	case q.Program != "":
		return q.Program
	case q.AffinityKey != "":
		return q.AffinityKey
	default:
		return q.ID
	}
}

func (q *request) readBody() bool {
	limit := q.view.Table.Limits.BodyBytes
	if limit <= 0 {
		limit = defaultBody
	}
	ctx, cancel := q.untilEnd(q.r.Context())
	defer cancel()
	defer q.e.leaving.whenEnded(func() { _ = q.conn.SetReadDeadline(time.Now()) })() // a connection that is closed fails the read
	var err error
	if q.body, err = q.conn.ReadBody(ctx, q.r.Body, q.r.ContentLength, limit); err == nil {
		return true
	}
	switch {
	case errors.Is(err, conns.ErrBodyTooLong):
		q.replyError(http.StatusRequestEntityTooLarge, "too_large", err)
	case errors.Is(err, conns.ErrBodyTimeout):
		q.replyError(http.StatusRequestTimeout, "body_timeout", err)
	case errors.Is(err, memory.ErrShed):
		q.replyUnavailable("body_shed", retryNoRoom, err)
	case errors.Is(err, memory.ErrNone):
		q.replyUnavailable("no_room", retryNoRoom, err)
	default:
		q.replyError(http.StatusBadRequest, "bad_body", err)
	}
	return false
}

func (q *request) serve() {
	defer q.noteLasted(time.Now())
	ctx, cancel := q.untilEnd(q.r.Context())
	defer cancel()
	if q.route.Kind == route.Stream {
		q.serveStream(ctx)
		return
	}
	q.serveBuffered(ctx)
}
