package sched

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/slaterock/slaterock/internal/conf/file"
	"github.com/slaterock/slaterock/internal/prog/result"
)

func TestAskIsAnswered(t *testing.T) {
	cfg := file.File{Upstreams: map[string]file.Upstream{"e1": {Group: "engines", Address: "127.0.0.1:1"}}}
	tests := map[string]struct {
		ask  Ask
		want Effect
	}{
		"assigned":    {Ask{ID: "a", Group: "engines"}, Assign{ID: "a", Upstream: "e1", Address: "127.0.0.1:1"}},
		"no upstream": {Ask{ID: "a", Group: "other"}, Refuse{ID: "a", Code: result.CodeNoUpstream, Message: "no upstream in group other"}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var s Sched
			s.Step(time.Time{}, Configure{File: cfg})
			got := s.Step(time.Time{}, tt.ask)
			is.Equal(got, []Effect{tt.want})
		})
	}
}
