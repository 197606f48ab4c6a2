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
	Tail struct {
		Request  string
		Upstream string
		Feed     *feed.Feed
		Done     chan owner.AttemptEnded // gets how it ended
		Cancel   context.CancelFunc
	}

	// Report is what the next owner is told of an attempt: the answer's text
	// from byte At on, and how it ended once it has.
	Report struct {
		Shard   int                 `json:"shard"`
		Request string              `json:"request"`
		At      int                 `json:"at"`
		Text    string              `json:"text,omitempty"`
		Ended   *owner.AttemptEnded `json:"ended,omitempty"`
	}

	// Receipt answers a Report. Known false tells that nobody waits for the
	// attempt any more. Have is how much of the text has arrived.
	Receipt struct {
		Known bool `json:"known"`
		Have  int  `json:"have"`
	}
)

// ErrNotOwner tells that the shard is not owned here.
var ErrNotOwner = errors.New("host: the shard is not owned here")

// Tails returns the attempts that were under way when the host was drained.
// Call it after Drained and Done.
func (h *Host) Tails() []*Tail {
	var ts []*Tail
	for _, by := range h.attempts {
		for _, t := range by {
			ts = append(ts, t)
		}
	}
	return ts
}

// stopAttempts cancels what is under way, unless it was handed over.
func (h *Host) stopAttempts() {
	if h.tailing {
		return
	}
	for _, t := range h.Tails() {
		t.Cancel()
	}
}

// Report takes in what the shard's former owner tells of an attempt.
func (h *Host) Report(ctx context.Context, r Report) (Receipt, error) {
	ch := make(chan Receipt, 1)
	h.post(look{f: func() { ch <- h.report(r) }})
	select {
	case a := <-ch:
		return a, nil
	case <-ctx.Done():
		return Receipt{}, ctx.Err()
	case <-h.done:
		return Receipt{}, ErrNotOwner
	}
}

func (h *Host) report(r Report) Receipt {
	if !h.machine.HasAttempt(r.Request) {
		return Receipt{}
	}
	have := h.feed(r.Request).Extend(r.At, r.Text)
	h.step(owner.AttemptAlive{Request: r.Request})
	if r.Ended != nil {
		h.step(*r.Ended)
	}
	return Receipt{Known: true, Have: have}
}
