package proxy

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/slaterock/slaterock/internal/conf/route"
	"github.com/slaterock/slaterock/internal/front/upconn"
)

const (
	// maxForeign is how many responses to other requests are discarded while a request waits for its own.
	maxForeign = 8
	// ownResponseWait is how long a request that may run again elsewhere waits for its own response once
	// one to another request has come in its place. Others wait until their deadline: they have one run.
	ownResponseWait = 500 * time.Millisecond
)

var (
	errNoRequest    = errors.New("response names no request, or several")
	errUnsigned     = errors.New("success bears no signature of the upstream")
	errWrongRequest = errors.New("responses belong to other requests")
)

// receive reads the header of the response to the request, which is the only one that tells anything
// about it, and a success only if it is signed. A faulty upstream may send a response once more where the
// next one on the connection is due: responses to other requests are discarded, whatever they state. If
// the request's own one does not follow, the request may have run.
func (q *request) receive(s *exchange) (err error) {
	var giveUp *time.Timer
	defer func() {
		if giveUp != nil {
			giveUp.Stop()
		}
		if err != nil && s.foreign > 0 {
			err = errors.Wrapf(err, "after %d responses to other requests", s.foreign)
		}
	}()
	for s.foreign <= maxForeign {
		if s.resp, err = s.conn.Receive(q.r.Method); err != nil { //nolint:bodyclose // ends with its connection: closeConn or releaseConn
			return err
		}
		s.headTime = time.Since(s.began)
		s.info = q.e.Dialect.ResponseInfo(s.resp.StatusCode, s.resp.Header)
		switch s.info.Request {
		case q.ID:
			if isSuccess(s.resp.StatusCode) && !s.info.Signed {
				return errUnsigned
			}
			return nil
		case "":
			return errNoRequest
		}
		s.foreign++
		q.summary.runs.addForeign(s.info.Request)
		q.e.Scope.Counter("responses_to_other_requests").Inc(1)
		if q.route.Kind == route.Safe && !q.lastTry && giveUp == nil {
			giveUp = time.AfterFunc(ownResponseWait, s.conn.Interrupt)
		}
		if err = upconn.Discard(s.resp.Body, maxResponse); err != nil {
			return err
		}
	}
	return errWrongRequest
}

func isSuccess(status int) bool { return status >= 200 && status < 300 }
