package wait

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/slaterock/slaterock/internal/front/bucket"
)

// Each decision on a waiting request that waits on must not count as a refusal: a refused
// caller was told to come back only after these as well, 2 s where 0.3 s is right.
func TestWaitingIsNoRefusal(t *testing.T) {
	is := is.New(t)
	after := func(steps int) time.Duration {
		q := newQueue()
		_, waits, _ := q.Arrive(start, request(1, bucket.Begun, time.Second, time.Second))
		is.True(waits)
		for range steps {
			is.Equal(len(q.Step(start, "a")), 0)
		}
		d, waits, _ := q.Arrive(start, request(2, bucket.Begun, time.Second, 50*time.Millisecond))
		is.True(!waits && !d.OK)
		return d.RetryAfter
	}
	is.Equal(after(0), after(20))
	is.Equal(after(0), 300*time.Millisecond) // a token for it, one for the request that waits, one for those refused
}
