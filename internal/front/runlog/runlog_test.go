package runlog

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/slaterock/slaterock/internal/disk/index"
)

var (
	start = time.Unix(100_000, 0)
	ended = []index.Start{{ID: "up1"}}
)

func underWay(attempt string) index.Run { return index.Run{Attempt: attempt, Request: 7, Under: 1} }

// Guards against runs that are forgotten while their callers come back, and against ones that are kept for ever.
func TestWhatIsKept(t *testing.T) {
	cases := map[string]struct {
		told []index.Run
		ago  time.Duration
		want int
	}{
		"under way":                      {[]index.Run{underWay("a")}, 0, 1},
		"under way for long":             {[]index.Run{underWay("a")}, keepFor - time.Second, 1},
		"long ago":                       {[]index.Run{underWay("a")}, 2*keepFor + time.Second, 0},
		"ended well":                     {[]index.Run{underWay("a"), {Attempt: "a", Request: 7, Under: 2}}, 0, 0},
		"ended with a failure":           {[]index.Run{underWay("a"), {Attempt: "a", Request: 7, Under: 2, Ended: ended}}, 0, 1},
		"told of in the wrong order":     {[]index.Run{{Attempt: "a", Request: 7, Under: 2, Ended: ended}, underWay("a")}, 0, 1},
		"two attempts":                   {[]index.Run{underWay("a"), underWay("b")}, 0, 2},
		"more than fit an answer":        {manyAttempts(2 * maxRuns), 0, maxRuns},
		"failed and under way once more": {[]index.Run{{Attempt: "a", Request: 7, Under: 2, Ended: ended}, {Attempt: "a", Request: 7, Under: 3}}, 0, 1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var table Table
			for _, r := range c.told {
				table.Add(start, 7, r)
			}
			is.Equal(len(table.Runs(start.Add(c.ago), 7)), c.want)
			is.Equal(len(table.Runs(start, 8)), 0)
		})
	}
}

func manyAttempts(n int) (list []index.Run) {
	for i := range n {
		list = append(list, underWay(fmt.Sprint("a", i)))
	}
	return list
}

// Guards against an answer that leaves out the runs with failures since there are many like requests.
func TestFailuresComeFirst(t *testing.T) {
	is := is.New(t)
	var table Table
	table.Add(start, 7, index.Run{Attempt: "z", Request: 7, Under: 2, Ended: ended})
	for _, r := range manyAttempts(2 * maxRuns) {
		table.Add(start, 7, r)
	}
	list := table.Runs(start, 7)
	is.Equal(list[0].Attempt, "z")
	is.Equal(list[0].Ended, ended)
}

// Guards against a front that has forgotten runs, for lack of room or with a restart, and passes for one that knows.
func TestCompleteTellsWhatIsForgotten(t *testing.T) {
	is := is.New(t)
	var table Table
	is.Equal(table.Complete(start), time.Duration(0))
	is.Equal(table.Complete(start.Add(10*keepFor)), 10*keepFor)
	now := start.Add(10 * keepFor)
	for i := range 2*maxAttempts + 1 {
		table.Add(now, uint64(i), underWay("a"))
	}
	is.Equal(table.Complete(now.Add(time.Second)), time.Second)
	is.True(table.current.n+table.earlier.n <= 2*maxAttempts)
}

// Guards against hundreds of like requests that each copy all others to learn of a few.
func TestRunsTakesNoMoreForManyLikeRequests(t *testing.T) {
	is := is.New(t)
	taken := func(n int) float64 {
		var table Table
		for _, r := range manyAttempts(n) {
			table.Add(start, 7, r)
		}
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		table.Runs(start, 7)
		runtime.ReadMemStats(&after)
		return float64(after.TotalAlloc - before.TotalAlloc)
	}
	is.True(taken(100*maxRuns) < 2*taken(maxRuns)+10_000)
}
