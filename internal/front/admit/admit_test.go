package admit

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/slaterock/slaterock/internal/place/gate"
)

func busy(string) gate.Load { return gate.Load{InFlight: 90, Capacity: 80} }
func idle(string) gate.Load { return gate.Load{InFlight: 10, Capacity: 80} }

// Engines are busy when a program arrives. It is admitted as soon as there is room, refused
// when it can no longer finish in time, and removed when its caller disconnects.
func TestWait(t *testing.T) {
	cases := map[string]struct {
		then  func(q *Queue, cancel context.CancelFunc) // after 100 ms
		after time.Duration
		check func(err error) bool
	}{
		"room":    {func(q *Queue, _ context.CancelFunc) { q.Change(idle) }, 100 * time.Millisecond, func(err error) bool { return err == nil }},
		"leaves":  {func(_ *Queue, cancel context.CancelFunc) { cancel() }, 100 * time.Millisecond, func(err error) bool { return errors.Is(err, context.Canceled) }},
		"no room": {func(q *Queue, _ context.CancelFunc) { q.Change(busy) }, 300 * time.Millisecond, notAdmittedWithRetry},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				var q Queue
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				began := time.Now()
				timer := time.AfterFunc(100*time.Millisecond, func() { c.then(&q, cancel) })
				defer timer.Stop()
				_, err := q.Wait(ctx, "engines", Program{LatestStart: began.Add(300 * time.Millisecond)}, busy("engines"))
				is.True(c.check(err))
				is.Equal(time.Since(began), c.after)
				is.Equal(q.Len(), 0)
			})
		})
	}
}

func notAdmittedWithRetry(err error) bool {
	var notAdmitted *NotAdmittedError
	return errors.As(err, &notAdmitted) && notAdmitted.After > 0
}

// Guards against a caller that keeps its place in the queue, and the room that comes for it,
// after it has disconnected.
func TestDisconnect(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var q Queue
		wait := func(ctx context.Context, p Program) chan error {
			done := make(chan error, 1)
			p.LatestStart = time.Now().Add(time.Second)
			go func() {
				_, err := q.Wait(ctx, "engines", p, busy("engines"))
				done <- err
			}()
			synctest.Wait()
			return done
		}
		ctx, disconnect := context.WithCancel(t.Context())
		urgent := wait(ctx, Program{Account: "a"})
		other := wait(t.Context(), Program{Account: "b", Priority: 2})
		is.Equal(q.Queued(), map[Key]int{{"engines", 0}: 1, {"engines", 2}: 1})
		disconnect()
		is.True(errors.Is(<-urgent, context.Canceled))
		is.Equal(q.Queued(), map[Key]int{{"engines", 2}: 1})
		q.Change(idle)
		is.NoErr(<-other)
		is.Equal(q.Queued(), nil)
	})
}

// Guards against turns that are counted twice, or still counted after they have ended.
func TestRunning(t *testing.T) {
	is := is.New(t)
	var r Running
	is.Equal(r.All(), nil)
	r.Begin("a")
	r.Begin("a")
	r.SetPeers(map[string]int{"a": 3, "b": 1})
	is.Equal(r.All(), map[string]int{"a": 5, "b": 1})
	r.End("a")
	r.End("a")
	is.Equal(len(r.Own()), 0)
	is.Equal(r.All(), map[string]int{"a": 3, "b": 1})
}
