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

	// What the version of a stream that is taken up rests on, as logged.
	fromRecord = "record"
	fromState  = "state" // nothing is recorded
)

// The parts of one stream must come from one software version: what two of them generate does not
// fit together, and upstreams don't check it. A caller may take the stream up at any front, so the
// version at which an attempt begins is durable before the caller gets its first event.
//
// The store tells the version of each start of an upstream, and lists a later start some time after that
// accepts connections; while the store is away, at any later time. So the process at the other end of a
// connection is known to be a listed start only if it ran before the state was settled: the connection was
// established before, or an older one has answered since that. That all upstreams are listed with one version
// tells nothing of one that has started since.

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

// startNotChosen stands for the upstream of a statement that is recorded before one is chosen.
var startNotChosen = index.Start{Born: -1}

// streamVersion is what is known of the software version of a resumable stream.
type streamVersion struct {
	name     string
	known    bool       // name is the version that began the stream, which only such upstreams may go on with
	recorded statement  // of the last record of this attempt; valid with choices
	choices  int        // records of this attempt that state a version
	written  chan error // outcome of the last one; nil if none is under way, or an earlier one is true too

	// The upstream at which this attempt began the stream, and the connection to it; nil if it did not
	// begin it, or the upstream is known not to have started again before.
	began index.Start
	conn  *upconn.Conn
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
	switch {
	case one && !t.alike():
		r.Began = startNotChosen
	case !one:
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
	if s.startKnown || t.alike() {
		state.began = index.Start{}
	}
	if !t.begins() || v.known || v.choices > 0 && v.recorded == state {
		return
	}
	vague := statement{s.up.Version, startNotChosen}
	earlierHolds := v.choices > 0 && (v.recorded == cautious || v.recorded == vague) && v.written == nil
	written := t.record(state)
	if !earlierHolds {
		v.written = written
	}
}

// record begins to record a statement in place of the last one.
func (t *turn) record(s statement) (written chan error) {
	v := &t.version
	v.choices++
	v.recorded = s
	rec := t.runsRecord(t.longest())
	if !t.isBudgeted() { // otherwise the reservation tells
		rec.Run = t.ownRun()
	}
	rec.Run.Version, rec.Run.Choice, rec.Run.Began = s.version, v.choices, s.began
	written = make(chan error, 1)
	go func() {
		ctx, cancel := context.WithTimeout(t.e.Stop, settleTimeout)
		defer cancel()
		_, err := t.e.Records.Write(ctx, rec)
		written <- err
	}()
	return written
}

// recordDoubt begins to record that the upstream which began the stream may have started again before, if
// that is not known and the last record leaves it out. It returns nil otherwise.
func (t *turn) recordDoubt() (written <-chan error) {
	v := &t.version
	if v.conn == nil || v.choices == 0 || v.recorded.began == v.began {
		return nil
	}
	return t.record(statement{v.name, v.began})
}

// waitFor returns the outcome of a record, or an error after runsTimeout. A nil channel is of none.
func (t *turn) waitFor(ctx context.Context, written <-chan error) error {
	if written == nil {
		return nil
	}
	ctx, stop := context.WithTimeout(ctx, runsTimeout)
	defer stop()
	select {
	case err := <-written:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// fixVersion is called before the first event of an upstream is sent to the caller. From then on only
// upstreams of its version may go on with the stream. It waits until the record of the version is
// durable. Without that record an earlier one of this attempt, if there is any, would state
// another version, and the stream could go on at that one.
func (t *turn) fixVersion(ctx context.Context, s *exchange) (err error) {
	v := &t.version
	if v.known {
		t.checkStart()
		return nil
	}
	if err = t.waitFor(ctx, v.written); err != nil && v.choices > 1 {
		return errors.Mark(err, errVersionNotRecorded)
	}
	v.name, v.known = s.up.Version, true
	v.began = index.Start{ID: s.up.ID, Born: s.up.Born}
	if !s.startKnown && !t.startKnown(s.conn, &s.up) {
		v.conn = s.conn
	}
	return nil
}

// checkStart notes that the upstream which began the stream had not started again before, once the state is
// new enough to tell. If it starts again later, the stream's version is known nevertheless.
func (t *turn) checkStart() {
	v := &t.version
	if v.conn != nil && !t.e.Fleet.View().Settled.Before(t.e.Pool.Since(v.conn)) && t.listed(v.began) {
		v.conn = nil
	}
}

// startKnown reports whether the process at the other end of a connection is the start of the upstream
// that the state has: the state was settled after that process ran.
func (q *request) startKnown(conn *upconn.Conn, up *fleet.Upstream) bool {
	if conn.Start != 0 {
		return conn.Start == up.Born
	}
	return !q.e.Fleet.View().Settled.Before(q.e.Pool.Since(conn)) && q.listed(index.Start{ID: up.ID, Born: up.Born})
}

// connect returns a connection to the upstream, one that tells the start of the upstream if there is any.
func (q *request) connect(ctx context.Context, up *fleet.Upstream) (*upconn.Conn, error) {
	return q.e.Pool.GetWanted(ctx, up.ID, up.Address, q.wanted(up))
}

// confirmVersion is called before a stream that this attempt began goes on. It returns an error if the
// upstream may have started again, with another version, before it got the request: the state was
// older than the connection.
func (t *turn) confirmVersion(ctx context.Context) error {
	v := &t.version
	if v.conn == nil {
		return nil
	}
	since := t.e.Pool.Since(v.conn)
	if !t.confirmed(ctx, since) || t.mayHaveBegun(v.began, since) {
		return errVersionUnknown
	}
	v.conn = nil
	return nil
}

// mayHaveBegun reports whether another start than s may have run a stream that began at the upstream after
// the time: a confirmed state lists another one, or none after an outage in which one may have come and gone.
func (q *request) mayHaveBegun(s index.Start, after time.Time) bool {
	v := q.e.Fleet.View()
	now, found := v.Services[q.service.Name].Find(s.ID)
	return found && now.Born != s.Born || !found && v.AvailableSince.After(after)
}

// alike reports whether all upstreams of the service have the same software version by a state that is not
// stale. One that has started again since may have another: this decides what is recorded at the beginning
// of a stream, but not where one goes on.
func (q *request) alike() bool {
	v := q.e.Fleet.View()
	_, one := v.Services[q.service.Name].OneVersion()
	return one && time.Since(v.Settled) <= staleState
}

// startDiffers returns why the process at the other end of a connection may not run the request, empty if
// it may. An upstream that has just started again under its id may have another version than a stream that
// goes on there, which it doesn't check, or be one more that the request ends.
func (q *request) startDiffers(ctx context.Context, conn *upconn.Conn, up *fleet.Upstream) (cause string) {
	if cause = q.addsProcess(ctx, conn, up); cause != "" || !q.goesOn {
		return cause
	}
	if (conn.Start == 0 || conn.Start != up.Born) && !q.confirmed(ctx, q.e.Pool.Since(conn)) {
		return causeUnconfirmed
	}
	if !q.listed(index.Start{ID: up.ID, Born: up.Born}) {
		return causeRestarted
	}
	return ""
}

// confirmed reports whether the state was settled at the time or later.
func (q *request) confirmed(ctx context.Context, since time.Time) bool {
	if q.e.Confirm == nil || !q.e.Fleet.View().Settled.Before(since) {
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
	mayChange := found && r.Began.ID != ""
	unconfirmed := (mayChange || !found) && !t.confirmed(ctx, t.began)
	v.name, v.known = r.Version, found
	t.summary.versionFrom = fromRecord
	if !found {
		t.summary.versionFrom = fromState
	}
	if !found && !unconfirmed {
		v.name, v.known = t.onlyVersion()
	}
	switch {
	case !v.known || unconfirmed || r.Began == startNotChosen:
		t.settle()
		t.e.Scope.Counter("streams_version_unknown").Inc(1)
		t.replyUnavailable("version_unknown", retryElsewhere, errVersionUnknown)
		return false
	case mayChange && t.mayHaveBegun(r.Began, t.began.Add(-triedSpan)):
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

// onlyVersion returns the version at which the stream began although nothing is known of that: no other one has
// served since it can have begun.
func (t *turn) onlyVersion() (version string, ok bool) {
	v := t.e.Fleet.View()
	version, since, ok := v.OnlyVersionSince(t.service.Name)
	begins := t.began.Add(-triedSpan - t.route.Timeout)
	return version, ok && !since.After(begins) && !v.AvailableSince.After(begins)
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
