package trial

import (
	"context"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/slaterock/slaterock/internal/edge/client"
	"github.com/slaterock/slaterock/internal/edge/report"
	"github.com/slaterock/slaterock/internal/fake/model"
	"github.com/slaterock/slaterock/internal/plat/engine"
	"github.com/slaterock/slaterock/internal/prog/call"
	"github.com/slaterock/slaterock/internal/prog/hist"
)

const (
	onceProgram = "pickup-1"
	onceTokens  = 64
	releaseTime = 10 * time.Second
)

// once runs one agent program: a model call, a receipt that may be issued once,
// and a model call that has the receipt. Each call goes to another daemon, as a
// caller's would whose addresses changed.
func (t *Trial) once(ctx context.Context, w io.Writer) (err error) {
	defer func() { err = errors.Wrap(err, "run one program") }()
	if err = t.Client(0).Open(ctx, call.Open{Program: onceProgram, Agent: "pickup"}); err != nil {
		return err
	}
	talk := []client.Message{{Role: "user", Content: "Arrange the pickup of two drums at the hotel's kitchen."}}
	first, err := t.Client(0).Chat(ctx, onceProgram, 0, onceTokens, talk, nil)
	if err != nil {
		return err
	}
	receipt, err := t.Client(1).Service(ctx, onceProgram, 1, "receipts/issue", []byte(`{"drums":2,"kg":310}`))
	if err != nil {
		return err
	}
	again, err := t.Client(2).Service(ctx, onceProgram, 1, "receipts/issue", []byte(`{"drums":2,"kg":310}`))
	if err != nil {
		return err
	}
	talk = append(talk,
		client.Message{Role: "assistant", Content: first.Text},
		client.Message{Role: "tool", Content: receipt.Text})
	last, err := t.Client(2).Chat(ctx, onceProgram, 2, onceTokens, talk, nil)
	if err != nil {
		return err
	}
	if err = t.Client(1).End(ctx, onceProgram, call.Finish); err != nil {
		return err
	}
	h, err := t.Client(2).History(ctx, onceProgram)
	if err != nil {
		return err
	}
	(&report.Report{Out: w}).History(h)
	if err = t.released(ctx); err != nil {
		return err
	}
	return t.check(h, first, receipt, again, last)
}

// released waits until the engines hold nothing for the program that ended.
func (t *Trial) released(ctx context.Context) error {
	ctx, stop := context.WithTimeout(ctx, releaseTime)
	defer stop()
	tick := time.NewTicker(pollEvery)
	defer tick.Stop()
	for {
		first, err := t.Site.E1.Held(ctx)
		if err != nil {
			return err
		}
		second, err := t.Site.E2.Held(ctx)
		if err != nil || len(first)+len(second) == 0 {
			return err
		}
		select {
		case <-ctx.Done():
			return errors.New("the engines still hold memory for the program that ended")
		case <-tick.C:
		}
	}
}

// check compares what the caller saw, what the upstreams saw and what the
// history says.
func (t *Trial) check(h hist.History, first, receipt, again, last client.Answer) error {
	var broken []string
	note := func(bad bool, format string, args ...any) {
		if bad {
			broken = append(broken, fmt.Sprintf(format, args...))
		}
	}
	note(receipt.Text != again.Text, "a repeated call got another answer")
	note(len(t.Site.Ledger.Calls()) != 1, "the receipt ran %d times", len(t.Site.Ledger.Calls()))
	note(!t.loaded(), "the engine was not ordered to load its model")
	note(len(h.Calls) != 3, "the history has %d calls, not 3", len(h.Calls))
	note(h.Ended != string(call.Finish), "the program ended as %q", h.Ended)
	note(h.Spent > h.Budget, "spent %d of %d tokens", h.Spent, h.Budget)
	for i, a := range []client.Answer{first, receipt, last} {
		if i < len(h.Calls) {
			note(string(h.Calls[i].Result.Body) != a.Text, "call %d: the history's answer is not the caller's", i)
			note(h.Calls[i].Number != i, "call %d stands at place %d", h.Calls[i].Number, i)
		}
	}
	if len(broken) > 0 {
		return errors.Newf("broken promises: %s", strings.Join(broken, "; "))
	}
	return nil
}

// loaded reports whether the first engine took the order to load its model.
func (t *Trial) loaded() bool {
	return slices.ContainsFunc(t.Site.E1.Orders(), func(o model.ReceivedOrder) bool {
		return o.Kind == engine.OrderLoad && o.Target == "chat" && !o.Refused
	})
}
