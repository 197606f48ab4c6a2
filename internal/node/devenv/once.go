package devenv

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
	onceProgram    = "pickup-1"
	onceTokens     = 64
	releaseTimeout = 10 * time.Second
)

// runOnce runs one agent program: a model call, a service call that must run only once and is
// repeated, and a model call with the result. The calls go to
// different daemons, as if the caller's list of addresses changed between them.
func (e *Env) runOnce(ctx context.Context, w io.Writer) (err error) {
	defer func() { err = errors.Wrap(err, "run one program") }()
	if err = e.Client(0).Open(ctx, call.Open{Program: onceProgram, Agent: "pickup"}); err != nil {
		return err
	}
	messages := []client.Message{{Role: "user", Content: "Arrange the pickup of two drums at the hotel's kitchen."}}
	first, err := e.Client(0).Chat(ctx, onceProgram, 0, onceTokens, messages, nil)
	if err != nil {
		return err
	}
	receipt, err := e.Client(1).Service(ctx, onceProgram, 1, "receipts/issue", []byte(`{"drums":2,"kg":310}`))
	if err != nil {
		return err
	}
	repeated, err := e.Client(2).Service(ctx, onceProgram, 1, "receipts/issue", []byte(`{"drums":2,"kg":310}`))
	if err != nil {
		return err
	}
	messages = append(messages,
		client.Message{Role: "assistant", Content: first.Text},
		client.Message{Role: "tool", Content: receipt.Text})
	last, err := e.Client(2).Chat(ctx, onceProgram, 2, onceTokens, messages, nil)
	if err != nil {
		return err
	}
	if err = e.Client(1).End(ctx, onceProgram, call.Finish); err != nil {
		return err
	}
	h, err := e.Client(2).History(ctx, onceProgram)
	if err != nil {
		return err
	}
	(&report.Report{Out: w}).History(h)
	if err = e.waitReleased(ctx); err != nil {
		return err
	}
	return e.verify(h, first, receipt, repeated, last)
}

// waitReleased waits until the engines hold no memory for the ended program.
func (e *Env) waitReleased(ctx context.Context) error {
	ctx, stop := context.WithTimeout(ctx, releaseTimeout)
	defer stop()
	tick := time.NewTicker(pollInterval)
	defer tick.Stop()
	for {
		first, err := e.Site.E1.Held(ctx)
		if err != nil {
			return err
		}
		second, err := e.Site.E2.Held(ctx)
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

// verify compares the answers that the caller received, the calls that the upstreams ran, and
// the program's history.
func (e *Env) verify(h hist.History, first, receipt, repeated, last client.Answer) error {
	var violations []string
	failIf := func(bad bool, format string, args ...any) {
		if bad {
			violations = append(violations, fmt.Sprintf(format, args...))
		}
	}
	failIf(receipt.Text != repeated.Text, "a repeated call got another answer")
	failIf(len(e.Site.Ledger.Calls()) != 1, "the receipt ran %d times", len(e.Site.Ledger.Calls()))
	failIf(!e.loaded(), "the engine was not ordered to load its model")
	failIf(len(h.Calls) != 3, "the history has %d calls, not 3", len(h.Calls))
	failIf(h.Ended != string(call.Finish), "the program ended as %q", h.Ended)
	failIf(h.Spent > h.Budget, "spent %d of %d tokens", h.Spent, h.Budget)
	for i, a := range []client.Answer{first, receipt, last} {
		if i < len(h.Calls) {
			failIf(string(h.Calls[i].Result.Body) != a.Text, "call %d: the history's answer is not the caller's", i)
			failIf(h.Calls[i].Number != i, "call %d stands at place %d", h.Calls[i].Number, i)
		}
	}
	if len(violations) > 0 {
		return errors.Newf("checks failed: %s", strings.Join(violations, "; "))
	}
	return nil
}

// loaded reports whether the first engine accepted an order to load its model.
func (e *Env) loaded() bool {
	return slices.ContainsFunc(e.Site.E1.Orders(), func(o model.ReceivedOrder) bool {
		return o.Kind == engine.OrderLoad && o.Target == "chat" && !o.Refused
	})
}
