package proxy

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/slaterock/slaterock/internal/front/fleet"
	"github.com/slaterock/slaterock/internal/front/upconn"
	"github.com/slaterock/slaterock/internal/plat/head"
)

// The store may list the start of an upstream, and its software version, for up to entryLag after another process
// accepts connections at its address. What a process states of itself is about itself: before a stream that may go on
// elsewhere is sent over a connection whose process may be younger than that, the process is asked for its start.

const (
	// startTimeout bounds the question for the start of an upstream. It needs no place there.
	startTimeout = 100 * time.Millisecond
	// maxStartBody bounds the answer, in bytes.
	maxStartBody = 256 << 10
)

var errManyResponses = errors.New("too many responses to other requests")

// proveStart returns a connection to the upstream whose process states that it is the listed start, or of which that
// is known or nobody can tell. It returns causeRestarted if it states another one.
func (q *request) proveStart(ctx context.Context, conn *upconn.Conn, up *fleet.Upstream) (c *upconn.Conn, cause string, err error) {
	if !q.route.Resume || up.Born == 0 || conn.Start == up.Born || q.listedBefore(conn, up) {
		return conn, "", nil
	}
	q.e.Scope.Counter("upstream_starts_asked").Inc(1)
	born, stated, err := q.askStart(ctx, conn)
	if err != nil {
		q.noteBrokenStart(up, err)
		conn.Close() // its answer may come later
		conn, err = q.connect(ctx, up)
		return conn, "", err
	}
	conn.Reuse()
	if stated {
		conn.Start = born
	}
	if stated && born != up.Born {
		return conn, causeRestarted, nil
	}
	return conn, "", nil
}

// noteBrokenStart records that an upstream has answered the question for its start with a broken response, if err tells so.
func (q *request) noteBrokenStart(up *fleet.Upstream, err error) {
	var broken *head.Error
	if !errors.As(err, &broken) {
		return
	}
	q.countFault(err)
	q.e.Picker.RecordFailure(time.Now(), up.ID)
	q.e.Log.Warn().Err(err).Str("request", q.ID).Str("upstream", up.ID).Msg("start of the upstream is not known")
}

// askStart asks the process at the other end of a connection when it started, in Unix milliseconds.
func (q *request) askStart(ctx context.Context, conn *upconn.Conn) (born int64, stated bool, err error) {
	defer func() { err = errors.Wrap(err, "ask for the start of the upstream") }()
	defer context.AfterFunc(ctx, conn.Interrupt)()
	if err = conn.Deadline(time.Now().Add(startTimeout)); err != nil {
		return 0, false, err
	}
	if err = conn.Send(upconn.Request{Method: http.MethodGet, Target: q.e.Dialect.StartTarget(), Host: q.r.Host}); err != nil {
		return 0, false, err
	}
	for range maxForeign {
		resp, err := conn.Receive(http.MethodGet) //nolint:bodyclose // ends with its connection
		if err != nil {
			return 0, false, err
		}
		body, err := io.ReadAll(io.LimitReader(resp.Body, maxStartBody+1))
		switch {
		case err != nil:
			return 0, false, err
		case len(body) > maxStartBody || resp.Close:
			return 0, false, upconn.ErrBodyTooLong
		case q.e.Dialect.ResponseInfo(resp.StatusCode, resp.Header).Request != "":
			continue // to an earlier request, once more
		case resp.StatusCode != http.StatusOK:
			return 0, false, nil
		}
		born, stated = q.e.Dialect.Start(body)
		return born, stated, nil
	}
	return 0, false, errManyResponses
}
