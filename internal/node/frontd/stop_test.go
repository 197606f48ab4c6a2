package frontd

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a short grace that is over before the requests in progress are answered, and against answers that are
// ended before its last sixth.
func TestStopTimes(t *testing.T) {
	for _, grace := range []time.Duration{0, 500 * time.Millisecond, time.Second, 3 * time.Second, 8 * time.Second, time.Minute} {
		t.Run(grace.String(), func(t *testing.T) {
			is := is.New(t)
			s := Settings{Grace: grace}
			times := s.stopTimes()
			if grace == 0 {
				grace = defaultGrace
			}
			is.True(0 < times.accepts && times.accepts < times.answered)
			is.True(times.answered < times.closed && times.closed < grace)
			is.True(times.answered >= grace*5/6)
		})
	}
}
