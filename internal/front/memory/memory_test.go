package memory

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// Guards against hundreds of long responses that together take more memory than the VM has.
func TestBudget(t *testing.T) {
	cases := map[string]struct {
		vm   int64
		room int // responses of the longest
	}{
		"of a small VM": {0, 1},
		"of 134 MB":     {134 << 20, 1},
		"of half a GB":  {512 << 20, 4},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				b := &Budget{VM: c.vm}
				for range c.room {
					is.NoErr(b.Take(t.Context(), Longest))
				}
				ctx, stop := context.WithTimeout(t.Context(), time.Second)
				defer stop()
				is.True(b.Take(ctx, Longest) != nil)
				go func() {
					time.Sleep(time.Second)
					b.Return(Longest)
				}()
				is.NoErr(b.Take(t.Context(), Longest)) // waits until one has ended
			})
		})
	}
}
