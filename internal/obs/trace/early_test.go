package trace

import (
	"strings"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"
	"go.opentelemetry.io/otel/attribute"

	"github.com/slaterock/slaterock/internal/fake/early"
)

// Guards against spans that are lost without a word, since the collector resets the connection while they are being written and what it
// has answered by then says that it has them.
func TestEarlyAnswersOfTheCollector(t *testing.T) {
	for what, c := range map[string]struct {
		end  early.End
		lost bool
	}{
		"reset":            {early.Reset, true},
		"the rest is read": {early.ReadThenClose, false},
	} {
		t.Run(what, func(t *testing.T) {
			is := is.New(t)
			u := &early.Upstream{Answers: []early.Answer{{Response: "HTTP/1.1 200 OK\r\n\r\n", End: c.end}}}
			address, err := u.Listen(t.Context())
			is.NoErr(err)
			defer u.Close()
			var lost atomic.Int64
			tr, err := Open(t.Context(), Settings{Daemon: "vm1", Endpoint: address, OnError: func(error) { lost.Add(1) }})
			is.NoErr(err)
			_, span := tr.Start(t.Context(), Edge, "", attribute.String("text", strings.Repeat("x", 8<<20)))
			span.End(nil)
			_ = tr.Close(t.Context()) // flushes
			is.Equal(lost.Load() > 0, c.lost)
		})
	}
}
