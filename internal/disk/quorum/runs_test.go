package quorum

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/slaterock/slaterock/internal/disk/index"
)

// Guards against a stream whose caller takes it up again and that is refused, although its events are
// recorded: they are on different replicas, one of which was replaced.
func TestPartsOnDifferentReplicas(t *testing.T) {
	is := is.New(t)
	cl := newCluster(t, 3, 1)
	c := cl.client()
	for n := range 6 {
		down := cl.current().Replicas[n%3].Address
		cl.set(cl.down, down, true)
		rec := index.Record{Program: "p", Attempt: "a", TTL: 60_000, Part: &index.Part{Stream: "a", Request: 7, Seq: n, EventID: fmt.Sprint(n), Data: []byte("x")}}
		_, err := c.Write(t.Context(), rec)
		is.NoErr(err)
		cl.set(cl.down, down, false)
	}
	cl.set(cl.down, "n1", true)
	is.NoErr(cl.replace(0, cl.add()))
	cl.set(cl.down, "n2", true)
	cases := map[string]struct {
		program, first string
		request        uint64
		whole          bool
	}{
		"by the first attempt": {"p", "a", 9, true},
		"by the request":       {"p", "", 7, true},
		"another request":      {"p", "b", 9, false},
		"another program":      {"q", "a", 7, false},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			res, err := cl.client().Write(t.Context(), index.Record{Program: tc.program, Attempt: "b", AskParts: true, Run: &index.Run{Request: tc.request, First: tc.first}})
			is.NoErr(err)
			output, _, ok := index.OutputUpTo(res.Parts, "a", "5")
			is.Equal(ok, tc.whole)
			is.True(!ok || string(output) == "xxxxxx")
		})
	}
}

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
