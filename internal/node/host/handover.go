package host

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/slaterock/slaterock/internal/node/feed"
	"github.com/slaterock/slaterock/internal/shard/owner"
)

type (
	// RunningAttempt is an attempt in progress. After a handover the daemon that started it
	// continues it and reports to the next owner of the shard.
	RunningAttempt struct {
		Request  string
		Upstream string
		Feed     *feed.Feed
		Done     chan owner.AttemptEnded // receives the result
		Cancel   context.CancelFunc
	}

	// Report is the state of a continued attempt, sent to the next owner: the text of the
	// answer from byte Offset on, and the result once the attempt has ended.
	Report struct {
		Shard   int                 `json:"shard"`
		Request string              `json:"request"`
		Offset  int                 `json:"at"`
		Text    string              `json:"text,omitempty"`
		Ended   *owner.AttemptEnded `json:"ended,omitempty"`
	}

	// ReportReply answers a Report. Known is false if no request waits for the attempt any
	// more. Received is the number of bytes of the answer's text that the owner has.
	ReportReply struct {
		Known    bool `json:"known"`
		Received int  `json:"have"`
	}
)

// ErrNotOwner reports that this daemon does not own the shard.
var ErrNotOwner = errors.New("host: the shard is not owned here")

// RunningAttempts returns the attempts that were in progress when the host was drained.
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

// stopAttempts cancels the attempts in progress, unless they were handed over.
func (h *Host) stopAttempts() {
	if h.handedOver {
		return
	}
	for _, t := range h.RunningAttempts() {
		t.Cancel()
	}
}

// Report processes a former owner's report of an attempt that it continues.
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
	if !h.machine.HasAttempt(r.Request) {
		return ReportReply{}
	}
	have := h.feed(r.Request).Extend(r.Offset, r.Text)
	h.step(owner.AttemptAlive{Request: r.Request})
	if r.Ended != nil {
		h.step(*r.Ended)
	}
	return ReportReply{Known: true, Received: have}
}
