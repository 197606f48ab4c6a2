package frontd

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"github.com/slaterock/slaterock/internal/disk/index"
	"github.com/slaterock/slaterock/internal/front/failed"
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

// Guards against an upstream that ends seconds after a request harmed it, and whose end no line ties to the request.
func TestUpstreamThatLeftAfterARunIsLogged(t *testing.T) {
	cases := map[string]struct {
		second fleet.Event
		lines  int
	}{
		"it stays":         {fleet.Snapshot{Revision: 6, Upstreams: []fleet.Upstream{{ID: "u", Service: "s"}, {ID: "w", Service: "s"}}}, 0},
		"another left":     {fleet.Snapshot{Revision: 6, Upstreams: []fleet.Upstream{{ID: "u", Service: "s"}}}, 0},
		"it left":          {fleet.Snapshot{Revision: 6}, 1},
		"it has restarted": {fleet.Snapshot{Revision: 6, Upstreams: []fleet.Upstream{{ID: "u", Service: "s", Born: 7}}}, 1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var out bytes.Buffer
			d := &Daemon{Log: zerolog.New(&out), Scope: tally.NoopScope}
			d.apply(fleet.Snapshot{Revision: 5, Upstreams: []fleet.Upstream{{ID: "u", Service: "s"}, {ID: "v", Service: "s"}}}, nil)
			d.proxy.Failed.Add(failed.Run{Request: "r", Key: 0xab, Upstream: index.Start{ID: "u"}, End: "canceled", At: time.Now()})
			d.apply(c.second, nil)
			is.Equal(strings.Count(out.String(), `"request":"r","request_key":"ab","upstream":"u","born":0,"end":"canceled"`), c.lines)
		})
	}
}
