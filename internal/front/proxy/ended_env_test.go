package proxy

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/slaterock/slaterock/internal/conf/route"
	"github.com/slaterock/slaterock/internal/disk/index"
	"github.com/slaterock/slaterock/internal/front/event"
	"github.com/slaterock/slaterock/internal/front/fleet"
)

// caller sends one request of a caller until it is answered, to another front with each attempt.
type caller struct {
	fronts   []*testEnv
	path     string
	header   map[string]string
	body     string
	attempts int           // of each send
	sends    int           // of a turn from its start
	patience time.Duration // until the caller leaves; 0 for never
	pause    time.Duration // before each attempt but the first
	sent     int           // attempts so far
}

// call returns the status of the last attempt, and whether the response was complete.
func (c *caller) call(t *testing.T) (status int, complete bool) {
	for range c.sends {
		last := ""
		for range c.attempts {
			header := map[string]string{"Last": last}
			for name, value := range c.header {
				header[name] = value
			}
			header["Id"] = fmt.Sprint("r", c.sent)
			front := c.fronts[c.sent%len(c.fronts)]
			if c.sent > 0 {
				time.Sleep(c.pause)
			}
			c.sent++
			ctx, leave := context.WithCancel(t.Context())
			if c.patience > 0 {
				time.AfterFunc(c.patience, leave)
			}
			rec, aborted := front.do(ctx, c.path, header, c.body)
			leave()
			if rec.Code == http.StatusOK && !aborted {
				return rec.Code, true
			}
			status = rec.Code
			if id := lastEvent(rec.Body.String()); aborted && id != "" {
				last = id
			}
			if status == http.StatusNotFound || status == http.StatusPaymentRequired {
				return status, false
			}
		}
	}
	return status, false
}

// lastEvent returns the id of the last whole event in a stream.
func lastEvent(stream string) (id string) {
	r := event.Reader{R: bufio.NewReader(strings.NewReader(stream))}
	for {
		e, err := r.Next()
		if err != nil {
			return id
		}
		id = e.ID
	}
}

// delistWhenEnded has the store no longer list each upstream some time after it has ended.
func (env *testEnv) delistWhenEnded(after time.Duration) {
	for id, u := range env.upstreams {
		u.ended = func() { time.AfterFunc(after, func() { env.delist(id) }) }
	}
}

// ended returns the number of upstreams whose process has ended.
func (env *testEnv) ended() (n int) {
	for _, u := range env.upstreams {
		if u.hasEnded() {
			n++
		}
	}
	return n
}

// recordEarlierRuns records what became of an earlier attempt at another front. An upstream is
// given by its id, or by its id and start.
func (env *testEnv) recordEarlierRuns(t *testing.T, path string, header map[string]string, ends []string, broken int) {
	t.Helper()
	r := httptest.NewRequestWithContext(t.Context(), http.MethodPost, path, nil)
	r.Host = "h"
	q := request{e: env.e, r: r, view: env.e.Fleet.View(), body: []byte("in"), began: time.Now()}
	q.Program, q.ID = header["Program"], "earlier"
	for _, name := range ends {
		id, born, _ := strings.Cut(name, ":")
		start, _ := strconv.ParseInt(born, 10, 64)
		q.own = q.own.With(index.Start{ID: id, Born: start})
	}
	for range broken {
		q.own = q.own.WithBroken(index.Start{ID: "up1"})
	}
	q.share(t)
}

// share tells other fronts and the records of the attempt's runs.
func (q *request) share(t *testing.T) {
	t.Helper()
	is := is.New(t)
	is.NoErr(q.awaitRuns(t.Context(), q.writeRuns(), time.Second))
	is.True(q.tellFronts(t.Context()).Told)
}

// recordTried records an earlier attempt that upstreams ran without a whole good answer.
func (env *testEnv) recordTried(t *testing.T, path string, header map[string]string, ids ...string) {
	t.Helper()
	r := httptest.NewRequestWithContext(t.Context(), http.MethodPost, path, nil)
	r.Host = "h"
	q := request{e: env.e, r: r, view: env.e.Fleet.View(), body: []byte("in"), began: time.Now(), route: route.Route{Kind: route.Stream}}
	q.Program, q.ID = header["Program"], "earlier"
	for _, id := range ids {
		q.noteTried(&fleet.Upstream{ID: id})
	}
	q.share(t)
}

func (env *testEnv) key(t *testing.T, path, program, body string) uint64 {
	t.Helper()
	q := request{r: httptest.NewRequestWithContext(t.Context(), http.MethodPost, path, nil), body: []byte(body)}
	q.r.Host, q.Program = "h", program
	return q.key()
}
