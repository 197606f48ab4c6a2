package frontd

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/slaterock/slaterock/internal/front/fleet"
)

// At a start each of hundreds of fronts learns of thousands of upstreams. A line for each of them would take most of the processor time of the start; those of a usual change must all be there.
func TestStateChangesAreLoggedWithinBounds(t *testing.T) {
	cases := map[string]struct {
		upstreams   int
		lines, more int
	}{
		"one":                    {1, 1, 0},
		"as many as have a line": {maxUpstreamLines, maxUpstreamLines, 0},
		"all of a fleet's":       {10000, maxUpstreamLines, 10000 - maxUpstreamLines},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var out bytes.Buffer
			d := &Daemon{Log: zerolog.New(&out)}
			s := fleet.Snapshot{Revision: 5}
			for i := range c.upstreams {
				s.Upstreams = append(s.Upstreams, fleet.Upstream{ID: fmt.Sprint("u", i), Service: "s"})
			}
			d.apply(s, nil)
			is.Equal(strings.Count(out.String(), `"message":"state changed: upstream"`), c.lines)
			is.Equal(strings.Count(out.String(), `"message":"state changed: upstreams"`), min(c.more, 1))
			is.True(c.more == 0 || strings.Contains(out.String(), fmt.Sprintf(`"more":%d,"from":"","to":"ready"`, c.more)))
		})
	}
}
