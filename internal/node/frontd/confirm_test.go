package frontd

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/slaterock/slaterock/internal/front/fleet"
)

// Guards against a stream that goes on by a state that is older than its connection, against one that waits long for a store that is away, and against hundreds of reads when many streams go on at once.
func TestConfirm(t *testing.T) {
	cases := map[string]struct {
		age      time.Duration // of the state
		readable bool
		want     bool
		wait     time.Duration // at most
	}{
		"recent":          {-time.Millisecond, false, true, 0},
		"old":             {time.Second, true, true, confirmRetry + minConfirmInterval},
		"old, no store":   {time.Second, false, false, confirmTimeout},
		"after an outage": {5 * time.Second, true, false, confirmRetry},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				time.Sleep(time.Hour)
				d := &Daemon{}
				now := time.Now()
				d.fleet.Update(now.Add(-c.age), fleet.Snapshot{Revision: 1})
				reads := 0
				read := func() {
					reads++
					time.Sleep(4 * time.Millisecond)
					if c.readable {
						d.fleet.Update(time.Now(), fleet.Snapshot{Revision: 1})
					}
				}
				results := make(chan bool, 300)
				for range cap(results) {
					go func() { results <- d.confirmBy(t.Context(), now, read) }()
				}
				for range cap(results) {
					is.Equal(<-results, c.want)
				}
				is.True(time.Since(now) <= c.wait)
				is.True(reads <= 1+int(c.wait/minConfirmInterval))
				synctest.Wait()
				time.Sleep(time.Second)
			})
		})
	}
}
