package loader_test

import (
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/slaterock/slaterock/internal/place/loader"
)

var (
	start   = time.Unix(1_800_000_000, 0)
	errDown = errors.New("down")
)

type step struct {
	after time.Duration
	m     loader.Message
	want  []loader.Effect
}

// Engines lose their models, the weight store refuses or is down, another daemon
// becomes responsible. A missing load would make an engine reject requests for the
// model; a missing backoff would flood the weight store.
func TestLoads(t *testing.T) {
	admit := []loader.Effect{loader.Admit{Upstream: "e", Model: "a"}}
	load := []loader.Effect{loader.Load{Upstream: "e", Model: "a"}}
	next := []loader.Effect{loader.Admit{Upstream: "e", Model: "b"}}
	tests := map[string][]step{
		"both, one after the other": {
			{0, loader.Tick{}, admit},
			{0, loader.Tick{}, nil},
			{0, loader.AdmitResult{Upstream: "e"}, load},
			{time.Minute, loader.Tick{}, nil},
			{0, loader.LoadResult{Upstream: "e", Model: "a"}, nil},
			{0, loader.Tick{}, next},
		},
		"told to wait": {
			{0, loader.Tick{}, admit},
			{0, loader.AdmitResult{Upstream: "e", Wait: 5 * time.Second}, nil},
			{4 * time.Second, loader.Tick{}, nil},
			{time.Second, loader.Tick{}, admit},
		},
		"weight store down": {
			{0, loader.Tick{}, admit},
			{0, loader.AdmitResult{Upstream: "e", Err: errDown}, nil},
			{900 * time.Millisecond, loader.Tick{}, nil},
			{100 * time.Millisecond, loader.Tick{}, admit},
			{0, loader.AdmitResult{Upstream: "e", Err: errDown}, nil},
			{time.Second, loader.Tick{}, nil},
			{time.Second, loader.Tick{}, admit},
		},
		"load fails": {
			{0, loader.Tick{}, admit},
			{0, loader.AdmitResult{Upstream: "e"}, load},
			{0, loader.LoadResult{Upstream: "e", Model: "a", Err: errDown}, nil},
			{time.Second, loader.Tick{}, admit},
		},
		"started anew": {
			{0, loader.Tick{}, admit},
			{0, loader.AdmitResult{Upstream: "e"}, load},
			{0, loader.LoadResult{Upstream: "e", Model: "a"}, nil},
			{0, loader.Restarted{Upstream: "e"}, nil},
			{0, loader.Tick{}, admit},
		},
		"orders go elsewhere meanwhile": {
			{0, loader.Tick{}, admit},
			{0, loader.Responsible{Upstream: "e"}, nil},
			{0, loader.AdmitResult{Upstream: "e"}, nil},
			{time.Minute, loader.Tick{}, nil},
			{0, loader.Responsible{Upstream: "e", OK: true}, nil},
			{0, loader.Tick{}, admit},
		},
		"no longer declared": {
			{0, loader.Tick{}, admit},
			{0, loader.Declare{}, nil},
			{0, loader.AdmitResult{Upstream: "e"}, nil},
			{time.Minute, loader.Tick{}, nil},
		},
	}
	for name, steps := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var s loader.Loader
			s.Step(start, loader.Declare{Models: map[string][]string{"e": {"a", "b"}}})
			s.Step(start, loader.Responsible{Upstream: "e", OK: true})
			now := start
			for _, x := range steps {
				now = now.Add(x.after)
				is.Equal(s.Step(now, x.m), x.want)
			}
		})
	}
}
