package quorum

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/slaterock/slaterock/internal/disk/index"
)

// Guards against replicas that answer queries and took no writes, and whose silence about a run passes for its absence.
func TestQueryTellsThatRunsMayBeMissing(t *testing.T) {
	cases := map[string]struct {
		losses     int
		refusing   int // replicas that refuse writes while the run is recorded
		down       int // others that are down from then on
		incomplete bool
	}{
		"none of three":              {1, 0, 0, false},
		"one of three":               {1, 1, 0, false},
		"one of three, another down": {1, 1, 1, true},
		"two of three":               {1, 2, 0, true},
		"three of three":             {1, 3, 0, true},
		"two of five":                {2, 2, 0, false},
		"two of five, another down":  {2, 2, 1, true},
		"three of five":              {2, 3, 0, true},
	}
	for name, tc := range cases {
		for key := range 4 { // which replicas are asked first
			t.Run(fmt.Sprint(name, ", ", key), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					is := is.New(t)
					cl := newCluster(t, 2*tc.losses+1, tc.losses)
					c := cl.client()
					for i, p := range cl.current().Replicas[:tc.refusing+tc.down] {
						if i < tc.refusing {
							cl.servers[p.Address].Freeze(true)
						} else {
							cl.set(cl.down, p.Address, true)
						}
					}
					rec := index.Record{Program: fmt.Sprint(key), Attempt: "a", TTL: 60_000, Run: &index.Run{Request: 7, Ended: []index.Start{{ID: "up1"}}}}
					_, err := c.Write(shortContext(t), rec)
					is.Equal(err != nil, tc.incomplete)
					for _, p := range cl.current().Replicas[:tc.refusing] {
						cl.servers[p.Address].Freeze(false)
					}
					query := index.Record{Program: rec.Program, Attempt: "b", Run: &index.Run{Request: 7}}
					res, err := c.Write(shortContext(t), query)
					is.NoErr(err)
					is.Equal(res.Incomplete, tc.incomplete)
					is.True(res.Incomplete || len(res.Runs) == 1)
					if tc.down > 0 {
						return // as long as it is
					}
					time.Sleep(2 * time.Minute)
					res, err = c.Write(shortContext(t), query)
					is.NoErr(err)
					is.True(!res.Incomplete)
				})
			})
		}
	}
}
