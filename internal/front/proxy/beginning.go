package proxy

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/slaterock/slaterock/internal/disk/index"
	"github.com/slaterock/slaterock/internal/disk/quorum"
	"github.com/slaterock/slaterock/internal/front/event"
)

// A stored turn whose caller takes its stream up again is recorded as a whole, although the attempt that
// ends it relays only the rest: each event is durable before the caller gets it, and the attempt that
// goes on finds the output so far. Without it, the turn would be recorded without its beginning, and the
// next one run on a conversation that was not held; so the attempt is refused, and the caller starts anew.

// errOutputUnknown reports a stream of which it is not known what its caller has.
var errOutputUnknown = errors.New("the output that the caller has is not recorded")

// streamParts is what an attempt records of the output of its stream.
type streamParts struct {
	stream     string // id in the records of the attempt that began the stream
	resumption int
	before     []byte // output that the caller had before this attempt, until it is recorded
	next       int    // number of the next part
	pending    atomic.Int32
	failed     atomic.Bool // one could not be recorded: the stream can't be taken up again after it
}

// takesUp reports whether the attempt goes on with a stream that is to be stored.
func (t *turn) takesUp() bool { return t.route.StoreTurns && t.LastEventID != "" }

// findBeginning finds the output that the caller has. It returns false if it has sent an error response
// instead.
func (t *turn) findBeginning(res quorum.Result) bool {
	t.parts.stream = t.scopedID(t.ID)
	if !t.takesUp() {
		return true
	}
	t.parts.stream = t.scopedID(t.FirstAttempt)
	if r, found := t.beginning(res.Runs); found {
		t.parts.stream = r.Attempt
	}
	for _, p := range res.Parts {
		if p.Attempt == t.parts.stream { // the caller names a later attempt at the stream
			t.parts.stream = p.Stream
			break
		}
	}
	output, earlier, ok := index.OutputUpTo(res.Parts, t.parts.stream, t.LastEventID)
	if !ok {
		t.settle()
		t.e.Scope.Counter("streams_output_unknown").Inc(1)
		t.refuse("output_unknown", errOutputUnknown)
		return false
	}
	t.output, t.parts.before, t.parts.resumption = output, output, earlier+1
	return true
}

// recordPart makes an event durable before its caller gets it, if the stream may be taken up again. While
// the records are slow, the caller waits for one event, and the others are recorded meanwhile.
func (t *turn) recordPart(ctx context.Context, e event.Event) {
	p := &t.parts
	if !t.route.StoreTurns || !t.route.Resume || p.failed.Load() {
		return
	}
	behind := p.pending.Load() > 0
	var written []<-chan struct{}
	if len(p.before) > 0 {
		written = append(written, t.writePart(t.LastEventID, p.before))
		p.before = nil
	}
	written = append(written, t.writePart(e.ID, append(e.Data[:len(e.Data):len(e.Data)], '\n')))
	if behind {
		return
	}
	ctx, stop := context.WithTimeout(ctx, runsTimeout)
	defer stop()
	for _, w := range written {
		select {
		case <-w:
		case <-ctx.Done():
			return
		}
	}
}

// writePart records a part in the background. The channel is closed once that has ended.
func (t *turn) writePart(eventID string, data []byte) <-chan struct{} {
	p := &t.parts
	rec := t.runsRecord(time.Since(t.began))
	rec.Run = nil
	rec.Part = &index.Part{Stream: p.stream, Request: t.key(), Resumption: p.resumption, Seq: p.next, EventID: eventID, Data: data}
	p.next++
	p.pending.Add(1)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		defer p.pending.Add(-1)
		ctx, stop := context.WithTimeout(t.e.Stop, settleTimeout)
		defer stop()
		if _, err := t.e.Records.Write(ctx, rec); err != nil && p.failed.CompareAndSwap(false, true) {
			t.e.Scope.Counter("stream_parts_unrecorded").Inc(1)
		}
	}()
	return ended
}
