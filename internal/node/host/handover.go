package host

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/slaterock/slaterock/internal/node/feed"
	"github.com/slaterock/slaterock/internal/shard/owner"
)

type (
	// Tail is an attempt under way. After a handover the daemon that started
	// it goes on with it and reports to the shard's next owner.
	RunningAttempt struct {
		Request  string
		Upstream string
		Feed     *feed.Feed
		Done     chan owner.Tried // gets how it ended
		Cancel   context.CancelFunc
	}

	// Report is what the next owner is told of an attempt: the answer's text
	// from byte At on, and how it ended once it has.
	Report struct {
		Shard   int          `json:"shard"`
		Request string       `json:"request"`
		Offset  int          `json:"at"`
		Text    string       `json:"text,omitempty"`
		Ended   *owner.Tried `json:"ended,omitempty"`
	}

	// Receipt answers a Report. Known false tells that nobody waits for the
	// attempt any more. Have is how much of the text has arrived.
	ReportReply struct {
		Known    bool `json:"known"`
		Received int  `json:"have"`
	}
)

// ErrNotOwner tells that the shard is not owned here.
var ErrNotOwner = errors.New("host: the shard is not owned here")

// Tails returns the attempts that were under way when the host was drained.
// Call it after Drained and Done.
func (h *Host) RunningAttempts() []*RunningAttempt {
	var ts []*RunningAttempt
	for _, by := range h.attempts {
		for _, t := range by {
			ts = append(ts, t)
		}
	}
	return ts
}

// stopAttempts cancels what is under way, unless it was handed over.
func (h *Host) stopAttempts() {
	if h.handedOver {
		return
	}
	for _, t := range h.RunningAttempts() {
		t.Cancel()
	}
}

// Report takes in what the shard's former owner tells of an attempt.
func (h *Host) Report(ctx context.Context, r Report) (ReportReply, error) {
	ch := make(chan ReportReply, 1)
	h.post(task{f: func() { ch <- h.report(r) }})
	select {
	case a := <-ch:
		return a, nil
	case <-ctx.Done():
		return ReportReply{}, ctx.Err()
	case <-h.done:
		return ReportReply{}, ErrNotOwner
	}
}

func (h *Host) report(r Report) ReportReply {
	if !h.machine.Knows(r.Request) {
		return ReportReply{}
	}
	have := h.feed(r.Request).Extend(r.Offset, r.Text)
	h.step(owner.Tail{Request: r.Request})
	if r.Ended != nil {
		h.step(*r.Ended)
	}
	return ReportReply{Known: true, Received: have}
}
