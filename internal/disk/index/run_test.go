package index

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/slaterock/slaterock/internal/disk/seglog"
)

func runOf(attempt string, request uint64, ended, broken []Start) Record {
	return Record{Program: "p", Attempt: attempt, TTL: 60_000, Run: &Run{Request: request, Ended: ended, Broken: broken}}
}

func tried(attempt string, starts ...Start) Record {
	return Record{Program: "p", Attempt: attempt, TTL: 60_000, Run: &Run{Request: 7, Tried: starts}}
}

func announced(attempt string, under, lost int) Record {
	return Record{Program: "p", Attempt: attempt, TTL: 60_000, Run: &Run{Request: 7, Under: under, Front: "f", Lost: lost}}
}

func chose(attempt, version string, choice int) Record {
	return Record{Program: "p", Attempt: attempt, TTL: 60_000, Run: &Run{Request: 7, Version: version, Choice: choice}}
}

// Replicas get the runs of an attempt in different orders, some twice, and a late one has less than what is known. If their states differed, a request would go on after the loss of a replica.
func TestRunsCommute(t *testing.T) {
	a, b, c := Start{ID: "a"}, Start{ID: "b", Born: 1}, Start{ID: "b", Born: 2}
	records := []Record{
		runOf("1", 7, []Start{a}, nil), runOf("1", 7, []Start{a, b}, []Start{c}), runOf("1", 7, []Start{a, b}, []Start{c, c}),
		chose("1", "v1", 1), chose("1", "v2", 2), runOf("2", 7, []Start{c}, nil), tried("2", c), tried("2", a, c), tried("2", b), announced("2", 1, 1), announced("2", 2, 0), runOf("3", 8, []Start{a}, nil), reserve("p", "1", 30),
	}
	rnd := rand.New(rand.NewPCG(1, 1))
	for range 200 {
		is := is.New(t)
		var ix Index
		for _, i := range rnd.Perm(len(records)) {
			ix.Apply(records[i], pos(1), start)
		}
		for _, r := range records {
			is.True(ix.Has(r))
			is.True(ix.Live(r, pos(1)))
		}
		got := map[string]Run{}
		for _, r := range ix.Runs("p", 7, "") {
			got[r.Attempt] = r
		}
		is.Equal(got, map[string]Run{
			"1": {Attempt: "1", Request: 7, Ended: []Start{a, b}, Broken: []Start{c, c}, Version: "v2", Choice: 2},
			"2": {Attempt: "2", Request: 7, Ended: []Start{c}, Tried: []Start{a, b, c}, Under: 2, Front: "f", Lost: 1},
		})
		is.Equal(len(ix.Charges("p")), 1)
		expire(&ix, start.Add(time.Minute+ClockSlack+time.Second))
		is.Equal(len(ix.Runs("p", 7, "")), 0)
	}
}

// Guards against a caller that takes a stream up with another request than it began with: the attempt that it names still tells the version.
func TestRunOfANamedAttempt(t *testing.T) {
	is := is.New(t)
	var ix Index
	ix.Apply(chose("1", "v1", 1), pos(1), start)
	is.Equal(ix.Runs("p", 8, "1"), []Run{{Attempt: "1", Request: 7, Version: "v1", Choice: 1}})
	is.Equal(len(ix.Runs("p", 8, "")), 0)
	is.Equal(len(ix.Runs("p", 8, "2")), 0)
}

// Guards against a copy of a replica that leaves runs out because it has the charge of the attempt.
func TestRunThatIsNotIndexed(t *testing.T) {
	is := is.New(t)
	var ix Index
	ix.Apply(reserve("p", "1", 30), pos(1), start)
	r := runOf("1", 7, []Start{{ID: "a"}}, nil)
	is.True(!ix.Has(r))
	ix.Apply(r, pos(2), start)
	is.True(ix.Has(r))
	is.True(!ix.Has(runOf("1", 7, []Start{{ID: "b"}}, nil)))
}

// Guards against answers that grow with the number of callers who send the same, and that leave out what is asked for.
func TestRunsOfManyLikeRequests(t *testing.T) {
	is := is.New(t)
	var ix Index
	add := func(attempt string, at int64, run Run) {
		run.Request, run.Under = 7, run.Under+1
		ix.Apply(Record{Program: "p", Attempt: attempt, At: at, TTL: 60_000, Run: &run}, seglog.Pos{}, time.UnixMilli(at))
	}
	add("first", 1, Run{})
	add("failed", 2, Run{Ended: []Start{{ID: "up1"}}})
	for i := range 20 * maxRuns {
		add(fmt.Sprint("like", i), int64(10+i), Run{})
	}
	list := ix.Runs("p", 7, "first")
	is.Equal(len(list), maxRuns+1)
	is.Equal(list[0].Attempt, "failed")
	is.Equal(list[1].Attempt, fmt.Sprint("like", 20*maxRuns-1)) // the newest
	is.Equal(list[maxRuns].Attempt, "first")
}
