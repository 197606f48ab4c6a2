// Package entry serves callers: it finds the route of a request, sends it to an
// upstream of the route's service, and returns the answer.
//
// What a caller is told follows from what is known. A request that certainly did
// not run is refused as not run, with the time to come back; one that may have run
// is never refused that way, nor sent again unless its kind allows it. An answer
// that is not whole never looks whole.
package entry

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
	"github.com/slaterock/slaterock/internal/disk/book"
	"github.com/slaterock/slaterock/internal/disk/quorum"
	"github.com/slaterock/slaterock/internal/front/admit"
	"github.com/slaterock/slaterock/internal/front/allow"
	"github.com/slaterock/slaterock/internal/front/asked"
	"github.com/slaterock/slaterock/internal/front/fleet"
	"github.com/slaterock/slaterock/internal/front/pick"
	"github.com/slaterock/slaterock/internal/front/upconn"
	"github.com/slaterock/slaterock/internal/obs/trace"
)

const (
	// defaultWait holds for a caller that tells no time, on a route without one.
	defaultWait = 30 * time.Second
	// writeSlack is how long after the deadline an answer may still be written.
	writeSlack = time.Second
	// defaultBody bounds a body before a configuration is known, in bytes.
	defaultBody = 4 << 20
)

type (
	// Dialect translates the headers of callers and upstreams.
	Dialect interface {
		Decode(http.Header) (asked.Attempt, error)
		Forward(http.Header, asked.Order) http.Header
		Return(http.Header) http.Header
		Verdict(status int, h http.Header) asked.Verdict
		RetryAfter(http.Header, time.Duration)
	}

	// Records reads and writes what must last.
	Records interface {
		Write(context.Context, book.Record) (quorum.Result, error)
		Read(ctx context.Context, program, turn string) ([]book.Turn, error)
	}

	// Entry serves callers. Set the exported fields before use.
	Entry struct {
		Dialect  Dialect
		Records  Records
		Fleet    *fleet.Fleet
		Pool     *upconn.Pool
		Picker   *pick.Picker
		Baseline pick.Baseline
		Queue    admit.Queue
		Allow    *allow.Allow
		Log      zerolog.Logger
		Scope    tally.Scope
		Trace    *trace.Trace
		// Refresh reads the configuration as it is now, at most now and then.
		Refresh func(context.Context)
		// Stop ends work that outlives its request.
		Stop context.Context //nolint:containedctx // the daemon's own end

		leaving atomic.Bool
		active  atomic.Int64
	}

	// request is one attempt on its way.
	request struct {
		asked.Attempt
		e        *Entry
		w        http.ResponseWriter
		r        *http.Request
		view     *fleet.View
		route    route.Route
		service  route.Service
		account  accnt.Account // of the caller; without a name if it needs none
		taken    bool          // of the account's limit, and not yet sent
		body     []byte
		began    time.Time
		deadline time.Time
		story    story
	}
)

// Leave has connections closed after the answers under way.
func (e *Entry) Leave() { e.leaving.Store(true) }

// Active returns how many requests are under way.
func (e *Entry) Active() int64 { return e.active.Load() }

// ServeHTTP serves one request.
func (e *Entry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.active.Add(1)
	defer e.active.Add(-1)
	if e.leaving.Load() {
		w.Header().Set("Connection", "close")
	}
	ctx, span := e.Trace.Start(r.Context(), trace.Edge, "")
	q := &request{e: e, w: w, r: r.WithContext(ctx), began: time.Now()}
	q.story.ran = ranNo
	defer q.tell(span)
	defer q.giveBack()
	if q.admit() {
		q.serve()
	}
}

// admit reads the request and finds its route. It is false if the request has
// been answered.
func (q *request) admit() bool {
	var err error
	if q.Attempt, err = q.e.Dialect.Decode(q.r.Header); err != nil {
		q.refuse(http.StatusBadRequest, "bad_request", err)
		return false
	}
	if !q.findRoute() || !q.identify() {
		return false
	}
	wait := q.Wait
	if t := q.route.Timeout; t > 0 && (wait == 0 || t < wait) {
		wait = t
	}
	if wait == 0 {
		wait = defaultWait
	}
	q.deadline = q.began.Add(wait)
	// A caller that doesn't read must not hold what serves it for ever.
	_ = http.NewResponseController(q.w).SetWriteDeadline(q.deadline.Add(writeSlack)) // not all writers can
	return q.readBody()
}

// findRoute matches the request. A route that isn't known here may have been
// added a moment ago, so the newest configuration is read before the caller is
// told that there is none.
func (q *request) findRoute() bool {
	q.view = q.e.Fleet.View()
	if q.view.Table == nil {
		q.unavailable("no_configuration", retryStart, nil)
		return false
	}
	var found bool
	if q.route, found = q.view.Table.Match(q.r.Host, q.r.URL.Path); !found {
		q.e.Refresh(q.r.Context())
		q.view = q.e.Fleet.View()
		if q.route, found = q.view.Table.Match(q.r.Host, q.r.URL.Path); !found {
			q.refuse(http.StatusNotFound, "no_route", nil)
			return false
		}
	}
	q.service = q.view.Table.Services[q.route.Choose(xxhash.Sum64String(q.key()))]
	return true
}

// key is what should stay together: the whole program, so that its turns and
// sub-agents meet what is cached of each other.
func (q *request) key() string {
	switch {
	case q.Program != "":
		return q.Program
	case q.Affinity != "":
		return q.Affinity
	default:
		return q.ID
	}
}

func (q *request) readBody() bool {
	limit := q.view.Table.Limits.BodyBytes
	if limit <= 0 {
		limit = defaultBody
	}
	var err error
	if q.r.ContentLength == 0 {
		return true
	}
	q.body, err = upconn.ReadAll(http.MaxBytesReader(q.w, q.r.Body, limit), limit)
	if err == nil {
		return true
	}
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		q.refuse(http.StatusRequestEntityTooLarge, "too_large", err)
		return false
	}
	q.refuse(http.StatusBadRequest, "bad_body", err)
	return false
}

func (q *request) serve() {
	ctx, stop := context.WithDeadline(q.r.Context(), q.deadline)
	defer stop()
	if q.route.Kind == route.Stream {
		q.stream(ctx)
		return
	}
	q.plain(ctx)
}
