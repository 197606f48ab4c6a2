package proxy

import (
	"cmp"
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/slaterock/slaterock/internal/disk/index"
	"github.com/slaterock/slaterock/internal/front/fleet"
	"github.com/slaterock/slaterock/internal/front/pick"
	"github.com/slaterock/slaterock/internal/front/upconn"
)

const (
	// Causes of not sending a stream on to an upstream: it has started again, or that it has not
	// can't be confirmed.
	causeRestarted   = "restarted"
	causeUnconfirmed = "unconfirmed"
)

// The parts of one stream must come from one software version: what two of them generate does not
// fit together, and upstreams don't check it. A caller may take the stream up at any front, so the
// version at which an attempt begins is durable before the caller gets its first event.

var (
	// errVersionGone reports a stream that can't go on: no upstream has the version that began it.
	errVersionGone = errors.New("no upstream has the software version that began the stream")
	// errVersionNotRecorded reports a stream whose version could not be recorded before its first event.
	errVersionNotRecorded = errors.New("the version of the stream is not recorded")
	// errVersionUnknown reports a stream that several versions may have begun.
	errVersionUnknown = errors.New("the software version that began the stream is not known")
)

// statement is what a record states of the beginning of a stream; see index.Run.
type statement struct {
	version string
	began   index.Start
}

// streamVersion is what is known of the software version of a resumable stream.
type streamVersion struct {
	name     string
	known    bool       // name is the version that began the stream, which only such upstreams may go on with
	recorded statement  // of the last record of this attempt; valid with choices
	choices  int        // records of this attempt that state a version
	written  chan error // outcome of the last one; nil if none is under way, or an earlier one is true too

	// The upstream at which this attempt began the stream, and when the connection to it was
	// established; zero if it did not begin it, or the upstream is known not to have started
	// again before.
	began  index.Start
	opened time.Time
}

// begins reports whether the attempt begins a stream that may go on elsewhere.
func (t *turn) begins() bool { return t.route.Resume && t.LastEventID == "" }

// stateVersion adds to the attempt's first record the version at which the stream will most likely
// begin. It saves a record of its own if that is right.
func (t *turn) stateVersion(r *index.Run) {
	if !t.begins() {
		r.First = t.scopedID(t.FirstAttempt)
		return
	}
	s := t.e.Fleet.View().Services[t.service.Name]
	version, one := s.OneVersion()
	if !one {
		u, ok := t.e.Picker.Preview(time.Now(), pick.Request{Candidates: s, Key: t.affinityKey(), Tokens: t.PromptTokens})
		if !ok {
			return
		}
		version = u.Version
		r.Began = index.Start{ID: u.ID, Born: u.Born}
	}
	t.version.recorded, t.version.choices = statement{version, r.Began}, 1
	r.Version, r.Choice = version, 1
}

// versionChosen is called before the turn is sent to an upstream. If no event was sent to the caller
// yet, it begins to record the version of the upstream, unless the last record states it.
func (t *turn) versionChosen(s *exchange) {
	v := &t.version
	cautious := statement{s.up.Version, index.Start{ID: s.up.ID, Born: s.up.Born}}
	state := cautious
	if s.startKnown || t.oneVersion() {
		state.began = index.Start{}
	}
	if !t.begins() || v.known || v.choices > 0 && v.recorded == state {
		return
	}
	earlierHolds := v.choices > 0 && v.recorded == cautious && v.written == nil
	v.choices++
	v.recorded = state
	rec := t.runsRecord()
	rec.Run.Version, rec.Run.Choice, rec.Run.Began = state.version, v.choices, state.began
	written := make(chan error, 1)
	if !earlierHolds {
		v.written = written
	}
	go func() {
		ctx, cancel := context.WithTimeout(t.e.Stop, settleTimeout)
		defer cancel()
		_, err := t.e.Records.Write(ctx, rec)
		written <- err
	}()
}

// fixVersion is called before the first event of an upstream is sent to the caller. From then on only
// upstreams of its version may go on with the stream. It waits until the record of the version is
// durable. Without that record an earlier one of this attempt, if there is any, would state
// another version, and the stream could go on at that one.
func (t *turn) fixVersion(ctx context.Context, s *exchange) (err error) {
	v := &t.version
	if v.known {
		return nil
	}
	if v.written != nil {
		limited, stop := context.WithTimeout(ctx, runsTimeout)
		defer stop()
		select {
		case err = <-v.written:
		case <-limited.Done():
			err = limited.Err()
		}
		if err != nil && v.choices > 1 {
			return errors.Mark(err, errVersionNotRecorded)
		}
	}
	v.name, v.known = s.up.Version, true
	v.began = index.Start{ID: s.up.ID, Born: s.up.Born}
	if !s.startKnown && !t.startKnown(s.conn, &s.up) {
		v.opened = s.conn.Opened
	}
	return nil
}

// startKnown reports whether the process at the other end of a connection is the start of the upstream
// that the state has: the state was read from the store after the connection was established.
func (q *request) startKnown(conn *upconn.Conn, up *fleet.Upstream) bool {
	return !q.e.Fleet.View().Confirmed.Before(conn.Opened) && q.listed(index.Start{ID: up.ID, Born: up.Born})
}

// confirmVersion is called before a stream that this attempt began goes on. It returns an error if the
// upstream may have started again, with another version, before it got the request: the state was
// older than the connection.
func (t *turn) confirmVersion(ctx context.Context) error {
	v := &t.version
	if v.opened.IsZero() {
		return nil
	}
	if t.oneVersion() {
		return nil
	}
	if !t.confirmed(ctx, v.opened) || t.restarted(v.began) {
		return errVersionUnknown
	}
	v.opened = time.Time{}
	return nil
}

// restarted reports whether the upstream is listed as one that has started again.
func (q *request) restarted(s index.Start) bool {
	now, found := q.e.Fleet.View().Services[q.service.Name].Find(s.ID)
	return found && now.Born != s.Born
}

// oneVersion reports whether all upstreams of the service have the same software version.
func (q *request) oneVersion() bool {
	_, one := q.e.Fleet.View().Services[q.service.Name].OneVersion()
	return one
}

// startDiffers returns why the process at the other end of a connection may not run the request, empty if
// it may. An upstream that has just started again under its id may have another version than a stream that
// goes on there, which it doesn't check, or be one more that the request ends.
func (q *request) startDiffers(ctx context.Context, conn *upconn.Conn, up *fleet.Upstream) (cause string) {
	if (!q.goesOn || q.oneVersion()) && !q.mayHaveRestarted(up) {
		return ""
	}
	if !q.confirmed(ctx, conn.Opened) {
		return causeUnconfirmed
	}
	if !q.listed(index.Start{ID: up.ID, Born: up.Born}) {
		return causeRestarted
	}
	return ""
}

func (q *request) confirmed(ctx context.Context, since time.Time) bool {
	if q.e.Confirm == nil || !q.e.Fleet.View().Confirmed.Before(since) {
		return true
	}
	q.unconfirmed = q.unconfirmed || !q.e.Confirm(ctx, since) // not again for each upstream that is tried
	return !q.unconfirmed
}

// findVersion finds the version of a stream that the caller takes up again, in what is recorded of
// the earlier attempts. It returns false if it has sent an error response instead.
func (t *turn) findVersion(ctx context.Context, runs []index.Run) bool {
	if t.LastEventID == "" || !t.route.Resume {
		return true
	}
	v := &t.version
	r, found := t.beginning(runs)
	v.name, v.known = r.Version, found
	mayChange := found && r.Began.ID != "" && !t.oneVersion()
	unconfirmed := mayChange && !t.confirmed(ctx, t.began)
	switch {
	case !found && t.oneVersion():
		return true
	case !found || unconfirmed:
		t.settle()
		t.e.Scope.Counter("streams_version_unknown").Inc(1)
		t.replyUnavailable("version_unknown", retryElsewhere, errVersionUnknown)
		return false
	case mayChange && t.restarted(r.Began):
		t.settle()
		t.e.Scope.Counter("streams_version_unknown").Inc(1)
		t.refuse("version_unknown", errVersionUnknown)
		return false
	case !t.e.Fleet.View().Services[t.service.Name].Serves(v.name):
		t.settle()
		t.e.Scope.Counter("streams_version_gone").Inc(1)
		t.refuse("version_gone", errVersionGone)
		return false
	}
	return true
}

// beginning returns the run of the attempt that brought the stream's first event: the one that the
// caller names, or else the last of the same request.
func (t *turn) beginning(runs []index.Run) (r index.Run, found bool) {
	first := t.scopedID(t.FirstAttempt)
	for _, run := range runs {
		switch {
		case run.Choice == 0:
		case first != "" && run.Attempt == first:
			return run, true
		case first == "" && run.Request == t.key() && (!found || cmp.Compare(run.At, r.At) > 0):
			r, found = run, true
		}
	}
	return r, found
}
