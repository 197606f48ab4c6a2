package invoke_test

import (
	"testing"
	"testing/synctest"

	"github.com/matryer/is"

	"github.com/slaterock/slaterock/internal/fake/broken"
	"github.com/slaterock/slaterock/internal/node/feed"
	"github.com/slaterock/slaterock/internal/node/invoke"
	"github.com/slaterock/slaterock/internal/place/sched"
	"github.com/slaterock/slaterock/internal/plat/chat"
	"github.com/slaterock/slaterock/internal/plat/engine"
	"github.com/slaterock/slaterock/internal/plat/head"
	"github.com/slaterock/slaterock/internal/plat/httpc"
	"github.com/slaterock/slaterock/internal/plat/plain"
	"github.com/slaterock/slaterock/internal/plat/tool"
	"github.com/slaterock/slaterock/internal/prog/call"
	"github.com/slaterock/slaterock/internal/shard/owner"
)

// Guards against an attempt that succeeds, or may be repeated, by a broken response, and of which neither log nor metrics tell.
func TestBrokenResponses(t *testing.T) {
	responses := map[string]struct {
		text string
		part head.Part
	}{
		"status 000":      {"HTTP/1.1 000 None\r\nContent-Type: text/event-stream\r\nContent-Length: 14\r\n\r\ndata: [DONE]\n\n", head.Status},
		"blank in a name": {"HTTP/1.1 200 OK\r\nX Y: 1\r\nContent-Type: text/event-stream\r\nContent-Length: 14\r\n\r\ndata: [DONE]\n\n", head.FieldName},
		"refusal":         {"HTTP/1.1 503 Full\r\nX Y: 1\r\nContent-Length: 0\r\n\r\n", head.FieldName},
	}
	for what, r := range responses {
		for _, kind := range []call.Kind{call.Model, call.Service} {
			t.Run(string(kind)+", "+what, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					is := is.New(t)
					e := httpc.Endpoint{Address: "u", Connect: broken.Connect(r.text)}
					var parts []head.Part
					s := invoke.Invoker{
						Engine: func(string) engine.Engine { return &chat.Client{Endpoint: e} },
						Tool:   func(string) tool.Tool { return &plain.Client{Endpoint: e} },
						First:  func(string, string) {},
						Broken: func(request, upstream string, err *head.Error) {
							is.Equal(request+" "+upstream, "r-0 u")
							parts = append(parts, err.Part)
						},
					}
					d := owner.Dispatch{Request: "r-0", Upstream: "u", MaxTokens: 10}
					d.Call = call.Call{Kind: kind, Program: "p", Method: "POST", Body: []byte(`{"messages":[{"role":"user","content":"hello"}]}`)}
					got := s.Attempt(t.Context(), d, &feed.Feed{})
					is.Equal(got.Outcome, sched.Failed) // not unsent: it may have run
					is.Equal(len(got.Body), 0)
					is.Equal(parts, []head.Part{r.part})
				})
			})
		}
	}
}
