package quorum

import (
	"testing"

	"github.com/matryer/is"

	"github.com/slaterock/slaterock/internal/disk/index"
)

// Guards against a front that does not learn under which upstreams other fronts' attempts of a request ended, whatever happened to a replica since.
func TestRunsAreKnownToAllFronts(t *testing.T) {
	cases := map[string]func(cl *cluster){
		"nothing happens":           func(*cluster) {},
		"a replica is down":         func(cl *cluster) { cl.set(cl.down, "n1", true) },
		"all replicas restart":      func(cl *cluster) { cl.restart("n1"); cl.restart("n2"); cl.restart("n3") },
		"a replica loses its disk":  func(cl *cluster) { is.New(cl.t).NoErr(cl.replace(0, cl.add())) },
		"another one loses its own": func(cl *cluster) { is.New(cl.t).NoErr(cl.replace(2, cl.add())) },
	}
	record := func(attempt string, ended ...index.Start) index.Record {
		return index.Record{Program: "p", Attempt: attempt, TTL: 60_000, Run: &index.Run{Request: 7, Ended: ended}}
	}
	for name, happens := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			cl := newCluster(t, 3, 1)
			_, err := cl.client().Write(t.Context(), record("a1", index.Start{ID: "x"}))
			is.NoErr(err)
			res, err := cl.client().Write(t.Context(), record("a2", index.Start{ID: "y"}))
			is.NoErr(err)
			is.Equal(len(res.Runs), 2)
			happens(cl)
			for i, rec := range []index.Record{record("a3"), reserve("p", "a3", 30)} {
				rec.Run = &index.Run{Request: 7}
				is.Equal(rec.IsQuery(), i == 0)
				res, err = cl.client().Write(t.Context(), rec)
				is.NoErr(err)
				ended := map[string][]index.Start{}
				for _, r := range res.Runs {
					ended[r.Attempt] = r.Ended
				}
				is.Equal(ended, map[string][]index.Start{"a1": {{ID: "x"}}, "a2": {{ID: "y"}}})
			}
			rec := record("b1")
			rec.Run.Request = 8
			res, err = cl.client().Write(t.Context(), rec)
			is.NoErr(err)
			is.Equal(len(res.Runs), 0) // another request of the program
		})
	}
}
