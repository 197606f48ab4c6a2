package lasted

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestLongest(t *testing.T) {
	cases := map[string]struct {
		took  []time.Duration // of requests that end a second after another
		later time.Duration   // when it is asked, after the last one
		want  time.Duration   // 0 for not known
	}{
		"none":      {nil, 0, 0},
		"longest":   {[]time.Duration{time.Second, 3 * time.Second, 2 * time.Second}, 0, 3 * time.Second},
		"a while":   {[]time.Duration{time.Second}, span, time.Second},
		"forgotten": {[]time.Duration{time.Second}, 2 * span, 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			now := time.Unix(1000, 0)
			var times Times
			for _, took := range c.took {
				now = now.Add(time.Second)
				times.Add(now, "a", took)
			}
			got, known := times.Longest(now.Add(c.later), "a")
			is.Equal(got, c.want)
			is.Equal(known, c.want > 0)
			_, known = times.Longest(now.Add(c.later), "b")
			is.True(!known)
		})
	}
}
