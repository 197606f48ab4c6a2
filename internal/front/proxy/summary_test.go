package proxy

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/slaterock/slaterock/internal/obs/recap"
)

// `slaterock explain` has to find in a request's line what it sums up. A request without a
// finish time must not look like one whose time is over, or its program counts as late.
func TestLineOfARequestCanBeSummedUp(t *testing.T) {
	tests := map[string]struct {
		header map[string]string
		finish int64
		has    bool
	}{
		"finish time":    {map[string]string{"Program": "p1", "Finish": "1500ms"}, 1500, true},
		"finish time 0":  {map[string]string{"Program": "p1", "Finish": "0s"}, 0, true},
		"past":           {map[string]string{"Program": "p1", "Finish": "-2s"}, -2000, true},
		"no finish time": {map[string]string{"Program": "p1"}, 0, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				env := newTestEnv([]string{ok})
				defer env.close()
				var log strings.Builder
				env.e.Log = zerolog.New(&log).With().Timestamp().Str("daemon", "front-1").Logger()
				_, _ = env.do(t.Context(), "/safe/x", tt.header, "")
				line, isRequest, err := recap.Parse([]byte(log.String()))
				is.NoErr(err)
				is.True(isRequest)
				is.Equal(line, recap.Line{
					End: time.Now().Truncate(time.Second).UnixMilli(), Front: "front-1", Program: "p1", Route: "safe", Kind: "safe", Upstream: "up1",
					Outcome: "answered", Ran: "yes", Status: 200, Finish: tt.finish, HasFinish: tt.has,
				})
			})
		})
	}
}
