package pause_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/slaterock/slaterock/internal/peer/pause"
)

// A daemon stops while one of its loops sleeps. For must return at once, or the
// process would not exit until the sleep is over.
func TestFor(t *testing.T) {
	cases := map[string]struct {
		ends time.Duration // the context
		done bool
		took time.Duration
	}{
		"the time passes":  {time.Hour, true, time.Minute},
		"the context ends": {time.Second, false, time.Second},
		"it has ended":     {0, false, 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				ctx, stop := context.WithTimeout(t.Context(), c.ends)
				defer stop()
				began := time.Now()
				is.Equal(pause.For(ctx, time.Minute), c.done)
				is.Equal(time.Since(began), c.took)
			})
		})
	}
}
