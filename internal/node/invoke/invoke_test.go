package invoke_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/slaterock/slaterock/internal/fake/model"
	"github.com/slaterock/slaterock/internal/node/feed"
	"github.com/slaterock/slaterock/internal/node/invoke"
	"github.com/slaterock/slaterock/internal/place/sched"
	"github.com/slaterock/slaterock/internal/plat/engine"
	"github.com/slaterock/slaterock/internal/prog/call"
	"github.com/slaterock/slaterock/internal/shard/owner"
)

const tokens = 60

// The connection to an engine breaks in the middle of an answer. A caller that has received
// the beginning must get the rest of the same answer. A failure after that must not count as
// unsent: the request would be sent to another engine, and the caller would get the beginnings
// of two answers.
func TestInterruptedAnswers(t *testing.T) {
	tests := map[string]struct {
		script  map[int]model.Fault
		outcome sched.Outcome
		sent    int
	}{
		"whole at once":            {nil, sched.Succeeded, 1},
		"breaks once":              {map[int]model.Fault{1: model.Disconnect}, sched.Succeeded, 2},
		"breaks again and again":   {map[int]model.Fault{1: model.Disconnect, 2: model.Disconnect, 3: model.Disconnect}, sched.Failed, 3},
		"engine is gone after it":  {map[int]model.Fault{1: model.Disconnect, 2: model.Refuse, 3: model.Refuse}, sched.Failed, 1},
		"never sent":               {map[int]model.Fault{1: model.Refuse}, sched.Unsent, 0},
		"refused before an answer": {map[int]model.Fault{1: model.Busy}, sched.Failed, 1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				e := &model.Engine{Name: "e", Output: tokens}
				e.ScriptFaults(tt.script)
				s := invoke.Invoker{Engine: func(string) engine.Engine { return e }, First: func(string, string) {}}
				f := &feed.Feed{}
				d := owner.Dispatch{Request: "r-0", Upstream: "e", MaxTokens: 2 * tokens}
				d.Call = call.Call{Kind: call.Model, Program: "p", Body: []byte(`{"messages":[{"role":"user","content":"hello"}]}`)}
				ctx, stop := context.WithTimeout(t.Context(), time.Minute)
				defer stop()
				got := s.Attempt(ctx, d, f)
				is.Equal(got.Outcome, tt.outcome)
				is.Equal(len(e.ReceivedRequests()), tt.sent)
				if tt.outcome == sched.Succeeded {
					want := model.Answer("e", engine.Request{ID: d.Request, Body: d.Call.Body}, tokens)
					is.Equal(string(got.Body), want)
					is.Equal(f.Text(), want)
				}
			})
		})
	}
}
