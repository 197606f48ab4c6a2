package stock_test

import (
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/slaterock/slaterock/internal/place/stock"
)

var (
	start   = time.Unix(1_800_000_000, 0)
	errDown = errors.New("down")
)

type step struct {
	after time.Duration
	m     stock.Message
	want  []stock.Effect
}

// Engines lose what they loaded, the weight store refuses or is down, orders go
// over to another daemon. A user would notice an engine that answers that it
// does not have the model; the platform's operators a weight store that is asked
// without pause.
func TestLoads(t *testing.T) {
	admit := []stock.Effect{stock.Admit{Upstream: "e", Model: "a"}}
	load := []stock.Effect{stock.Load{Upstream: "e", Model: "a"}}
	next := []stock.Effect{stock.Admit{Upstream: "e", Model: "b"}}
	tests := map[string][]step{
		"both, one after the other": {
			{0, stock.Tick{}, admit},
			{0, stock.Tick{}, nil},
			{0, stock.Admitted{Upstream: "e"}, load},
			{time.Minute, stock.Tick{}, nil},
			{0, stock.Loaded{Upstream: "e", Model: "a"}, nil},
			{0, stock.Tick{}, next},
		},
		"told to wait": {
			{0, stock.Tick{}, admit},
			{0, stock.Admitted{Upstream: "e", Wait: 5 * time.Second}, nil},
			{4 * time.Second, stock.Tick{}, nil},
			{time.Second, stock.Tick{}, admit},
		},
		"weight store down": {
			{0, stock.Tick{}, admit},
			{0, stock.Admitted{Upstream: "e", Err: errDown}, nil},
			{900 * time.Millisecond, stock.Tick{}, nil},
			{100 * time.Millisecond, stock.Tick{}, admit},
			{0, stock.Admitted{Upstream: "e", Err: errDown}, nil},
			{time.Second, stock.Tick{}, nil},
			{time.Second, stock.Tick{}, admit},
		},
		"load fails": {
			{0, stock.Tick{}, admit},
			{0, stock.Admitted{Upstream: "e"}, load},
			{0, stock.Loaded{Upstream: "e", Model: "a", Err: errDown}, nil},
			{time.Second, stock.Tick{}, admit},
		},
		"started anew": {
			{0, stock.Tick{}, admit},
			{0, stock.Admitted{Upstream: "e"}, load},
			{0, stock.Loaded{Upstream: "e", Model: "a"}, nil},
			{0, stock.Restarted{Upstream: "e"}, nil},
			{0, stock.Tick{}, admit},
		},
		"orders go elsewhere meanwhile": {
			{0, stock.Tick{}, admit},
			{0, stock.Responsible{Upstream: "e"}, nil},
			{0, stock.Admitted{Upstream: "e"}, nil},
			{time.Minute, stock.Tick{}, nil},
			{0, stock.Responsible{Upstream: "e", OK: true}, nil},
			{0, stock.Tick{}, admit},
		},
		"no longer declared": {
			{0, stock.Tick{}, admit},
			{0, stock.Declare{}, nil},
			{0, stock.Admitted{Upstream: "e"}, nil},
			{time.Minute, stock.Tick{}, nil},
		},
	}
	for name, steps := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var s stock.Stock
			s.Step(start, stock.Declare{Models: map[string][]string{"e": {"a", "b"}}})
			s.Step(start, stock.Responsible{Upstream: "e", OK: true})
			now := start
			for _, x := range steps {
				now = now.Add(x.after)
				is.Equal(s.Step(now, x.m), x.want)
			}
		})
	}
}
