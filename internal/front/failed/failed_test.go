package failed

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/slaterock/slaterock/internal/disk/index"
)

// Guards against an upstream that ends after a run, of which no line tells.
func TestTakeLeft(t *testing.T) {
	start := time.Unix(1000, 0)
	cases := map[string]struct {
		after  time.Duration // from the run's end
		listed bool
		left   int
	}{
		"it stays":           {time.Second, true, 0},
		"it has left":        {time.Second, false, 1},
		"at the last":        {Span, false, 1},
		"it left long after": {Span + 1, false, 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var l Runs
			l.Add(Run{Key: 1, Upstream: index.Start{ID: "u"}, At: start})
			listed := func(index.Start) bool { return c.listed }
			is.Equal(len(l.TakeLeft(start.Add(c.after), listed)), c.left)
			is.Equal(len(l.TakeLeft(start.Add(c.after), listed)), 0) // once
		})
	}
}

// Guards against a flood of failed requests that takes memory without bound.
func TestRunsAreBounded(t *testing.T) {
	is := is.New(t)
	var l Runs
	for i := range 3 * maxRuns {
		l.Add(Run{Request: fmt.Sprint(i), Key: uint64(i), At: time.Unix(1000, int64(i))})
	}
	is.Equal(len(l.list), maxRuns)
	is.Equal(l.list[0].Request, fmt.Sprint(2*maxRuns))
	is.Equal(len(l.keys), maxRuns)
	is.True(!l.Has(time.Unix(1000, 0), 2*maxRuns-1) && l.Has(time.Unix(1000, 0), 2*maxRuns))
	is.True(!l.Has(time.Unix(1000, 0).Add(Span+time.Second), 2*maxRuns))
	is.Equal(len(l.list)+len(l.keys), 0)
	is.Equal(l.Dropped(), int64(2*maxRuns))
}

// Guards against a process that has started again and passes for the one that ran the request, since its upstream has the same id.
func TestFindProcess(t *testing.T) {
	now := time.Unix(1000, 0)
	first, second := index.Start{ID: "u", Born: 1}, index.Start{ID: "u", Born: -2}
	cases := map[string]struct {
		key      uint64
		upstream string
		conn     int64 // number of the connection
		after    time.Duration
		want     index.Start // zero for none
	}{
		"established before the first run": {1, "u", 5, 0, second}, // open since, so both runs were there
		"between the runs":                 {1, "u", 7, 0, second},
		"after both":                       {1, "u", 9, 0, index.Start{}},
		"of another upstream":              {1, "v", 5, 0, index.Start{}},
		"of another request":               {2, "u", 5, 0, index.Start{}},
		"long ago":                         {1, "u", 5, Span + time.Second, index.Start{}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var l Runs
			l.Add(Run{Key: 1, Upstream: first, Recorded: first, ConnsBefore: 6, At: now})
			l.Add(Run{Key: 1, Upstream: first, Recorded: second, ConnsBefore: 8, At: now})
			got, found := l.Find(now.Add(c.after), c.key, c.upstream, c.conn)
			is.Equal(got, c.want)
			is.Equal(found, c.want != index.Start{})
		})
	}
}
