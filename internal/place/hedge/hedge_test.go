package hedge

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestAfterIsThe95th(t *testing.T) {
	is := is.New(t)
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	var h Hedge
	for range minSamples - 1 {
		h.Observe(now, time.Second)
	}
	_, ok := h.After()
	is.True(!ok) // too few samples
	for i := range 1000 {
		now = now.Add(time.Second)
		h.Observe(now, time.Duration(i%20)*5*time.Millisecond)
	}
	d, ok := h.After()
	is.True(ok)
	is.True(d >= 90*time.Millisecond && d <= 100*time.Millisecond)
}
