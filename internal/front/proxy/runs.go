package proxy

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/rs/zerolog"

	"github.com/slaterock/slaterock/internal/disk/index"
	"github.com/slaterock/slaterock/internal/front/failed"
	"github.com/slaterock/slaterock/internal/front/fleet"
)

// Bounds of what is logged, in bytes: both may quote what an upstream sent.
const (
	maxCause     = 120
	maxForeignID = 64
)

const (
	// How a send ended, as logged. A refusal is logged with its cause (notRunError).
	endAnswered    = "answered"
	endLost        = "lost"        // no response, or an incomplete one of which nothing was passed on
	endInterrupted = "interrupted" // a stream whose beginning was passed on
	endCanceled    = "canceled"    // the caller left or the time was up
	// endUpstreamEnded takes the place of the two that leave open what became of the upstream.
	endUpstreamEnded = "upstream_ended"

	// What tells whether an upstream that broke a run off has ended, as logged.
	judgedByList  = "not_listed" // or listed with a later start
	judgedRefuses = "refuses_connections"
	judgedAccepts = "accepts_connections"
	judgedOpen    = "connection_open" // another one of before the run
	judgedClosed  = "connection_closed"

	// On what the knowledge of a request's earlier attempts rests, as logged.
	knowsFronts     = "fronts"
	knowsRecords    = "records"
	knowsIncomplete = "records_incomplete" // they have refused runs lately
	knowsNothing    = "nothing"            // the records did not answer in time

	// Why a request was sent on after a send, or not, as logged.
	nextNotRun     = "sent_on: not run"
	nextResume     = "sent_on: resumed"
	nextRepeat     = "sent_on: idempotent"
	nextNotAllowed = "stopped: may not run twice"
	nextAttempts   = "stopped: no attempts left"
	nextNoUpstream = "stopped: no other upstream"
	nextEnded      = "stopped: upstreams ended"
	nextVersion    = "stopped: no upstream of its version"
	nextUnknown    = "stopped: its version is not known"
	nextUnrecorded = "stopped: version not recorded"
	nextOver       = "stopped: caller left or time is up"
)

type (
	// run is one send of an attempt to an upstream.
	run struct {
		upstream string
		version  string // of the upstream's software
		born     int64  // start of the upstream, in Unix milliseconds; 0 if it states none
		began    time.Time
		took     time.Duration // until it ended; 0 while it is under way
		end      string
		cause    string // why no whole response came; empty if one did
		foreign  int    // responses to other requests that came in place of the request's own
		other    string // id of the request of the first one
		next     string // why the request was sent on or not; empty after an answer
		judged   string // what tells that the upstream has ended, or goes on; empty if its run did not break off
		rests    evidence
		process  process // that ran it; zero until the request is sent
		// connsBefore is the number of connections of the pool when the request was sent.
		connsBefore int64
	}

	// evidence is what the end of a send rests on. The zero value is nothing: no connection was established.
	evidence struct {
		connected     bool
		reused        bool          // the connection had carried a request before
		connAge       time.Duration // at the send
		startKnown    bool          // the process is known to be the start that was listed at the send
		headTime      time.Duration // from the send to the header of the request's own response; 0 for none
		status        int           // of that response; 0 for none
		notRunHeader  bool          // it states that the request was not run
		partlyWritten bool          // the request was not out when the send ended
		unread        int           // bytes that were received with the header beyond its body, if that states its length
	}

	// runs are the sends of an attempt in order.
	runs []run
)

// begin adds a send. It ends as canceled unless end is called.
func (l *runs) begin(u *fleet.Upstream) {
	*l = append(*l, run{upstream: u.ID, version: u.Version, born: u.Born, began: time.Now(), end: endCanceled})
}

// end sets how the last send ended.
func (l runs) end(how string) {
	if len(l) > 0 {
		l[len(l)-1].end = how
		l.stop()
	}
}

// fail sets why no whole response of the last send came.
func (l runs) fail(err error) {
	if len(l) > 0 {
		text := err.Error()
		l[len(l)-1].cause = text[:min(len(text), maxCause)]
		l.stop()
	}
}

// stop sets when the last send ended, unless that is known.
func (l runs) stop() {
	if len(l) > 0 && l[len(l)-1].took == 0 {
		l[len(l)-1].took = time.Since(l[len(l)-1].began)
	}
}

// addForeign counts a response to another request, of which this is the id, that came over the connection of
// the last send.
func (l runs) addForeign(id string) {
	if len(l) == 0 {
		return
	}
	r := &l[len(l)-1]
	if r.foreign++; r.foreign == 1 {
		r.other = id[:min(len(id), maxForeignID)]
	}
}

// last returns the last send, nil if there is none.
func (l runs) last() *run {
	if len(l) == 0 {
		return nil
	}
	return &l[len(l)-1]
}

// sent sets the process to which the last send goes, when so many connections were established.
func (l runs) sent(p process, conns int64) {
	if r := l.last(); r != nil {
		r.process, r.connsBefore = p, conns
	}
}

// judge sets what tells that the upstream of the last send has ended, or goes on.
func (l runs) judge(by string) {
	if len(l) > 0 {
		l[len(l)-1].judged = by
	}
}

// rest sets what the end of the last send rests on.
func (l runs) rest(e evidence) {
	if len(l) > 0 {
		l[len(l)-1].rests = e
	}
}

// next sets why the request was sent on or not after the last send.
func (l runs) next(why string) {
	if len(l) > 0 {
		l[len(l)-1].next = why
	}
}

// ran reports whether the upstream ran the request, or may have.
func (r run) ran() bool {
	switch r.end {
	case endAnswered, endLost, endInterrupted, endCanceled, endUpstreamEnded:
		return true
	default:
		return r.isFailure()
	}
}

// isFailure reports whether the run ended with an answer that tells of a failure of the upstream.
func (r run) isFailure() bool { return strings.HasPrefix(r.end, endAnswered+"_5") }

// noteFailed remembers the runs of the attempt that got no whole good answer.
func (q *request) noteFailed() {
	q.summary.runs.stop()
	for _, r := range q.summary.runs {
		if r.ran() && r.end != endAnswered {
			q.e.Failed.Add(failed.Run{
				Request: q.ID, Key: q.key(), Upstream: index.Start{ID: r.upstream, Born: r.born}, End: r.end, At: r.began.Add(r.took),
				Recorded: r.process.start, ConnsBefore: r.connsBefore,
			})
		}
	}
}

// MarshalZerologArray writes the sends into a log line.
func (l runs) MarshalZerologArray(a *zerolog.Array) {
	for _, r := range l {
		d := zerolog.Dict().Str("upstream", r.upstream).Str("version", r.version).Int64("born", r.born).
			Int64("took_ms", r.took.Milliseconds()).Str("end", r.end)
		if r.cause != "" {
			d.Str("cause", r.cause)
		}
		if r.foreign > 0 {
			d.Int("other_responses", r.foreign).Str("other_response_to", r.other)
		}
		if r.end != endAnswered {
			r.rests.write(d)
		}
		if r.judged != "" {
			d.Str("judged_by", r.judged)
		}
		if r.next != "" {
			d.Str("next", r.next)
		}
		a.Dict(d)
	}
}

// write adds the evidence to the log line's entry of a send.
func (e evidence) write(d *zerolog.Event) {
	if !e.connected {
		return
	}
	d.Bool("reused", e.reused).Int64("conn_age_ms", e.connAge.Milliseconds()).Bool("start_known", e.startKnown)
	if e.status > 0 {
		d.Int("status", e.status).Int64("head_ms", e.headTime.Milliseconds()).Bool("not_run_header", e.notRunHeader)
	}
	if e.partlyWritten {
		d.Bool("partly_written", true)
	}
	if e.unread > 0 {
		d.Int("unread_bytes", e.unread)
	}
}

// answeredWith returns the end of a send that got a whole response with the status.
func answeredWith(status int) string {
	if status == http.StatusOK {
		return endAnswered
	}
	return endAnswered + "_" + strconv.Itoa(status)
}
