package proxy

import (
	"cmp"
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/slaterock/slaterock/internal/disk/index"
	"github.com/slaterock/slaterock/internal/front/fleet"
	"github.com/slaterock/slaterock/internal/front/pick"
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

// streamVersion is what is known of the software version of a resumable stream.
type streamVersion struct {
	name     string
	known    bool       // name is the version that began the stream, which only such upstreams may go on with
	recorded string     // stated by the last record of this attempt; valid with choices
	choices  int        // records of this attempt that state a version
	written  chan error // outcome of the last one; nil if none is under way
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
	}
	t.version.recorded, t.version.choices = version, 1
	r.Version, r.Choice = version, 1
}

// versionChosen is called before the turn is sent to an upstream. If no event was sent to the caller
// yet, it begins to record the version of the upstream, unless the last record states it.
func (t *turn) versionChosen(up *fleet.Upstream) {
	v := &t.version
	if !t.begins() || v.known || v.choices > 0 && v.recorded == up.Version {
		return
	}
	v.choices++
	v.recorded = up.Version
	rec := t.runsRecord()
	rec.Run.Version, rec.Run.Choice = v.recorded, v.choices
	written := make(chan error, 1)
	v.written = written
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
func (t *turn) fixVersion(ctx context.Context, up *fleet.Upstream) (err error) {
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
	v.name, v.known = up.Version, true
	return nil
}

// findVersion finds the version of a stream that the caller takes up again, in what is recorded of
// the earlier attempts. It returns false if it has sent an error response instead.
func (t *turn) findVersion(runs []index.Run) bool {
	if t.LastEventID == "" || !t.route.Resume {
		return true
	}
	v := &t.version
	if r, found := t.beginning(runs); found {
		v.name, v.known = r.Version, true
	}
	s := t.e.Fleet.View().Services[t.service.Name]
	_, one := s.OneVersion()
	switch {
	case v.known && !s.Serves(v.name):
		t.settle()
		t.e.Scope.Counter("streams_version_gone").Inc(1)
		t.refuse("version_gone", errVersionGone)
		return false
	case !v.known && !one:
		t.settle()
		t.e.Scope.Counter("streams_version_unknown").Inc(1)
		t.replyUnavailable("version_unknown", retryElsewhere, errVersionUnknown)
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
