package frontd

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/slaterock/slaterock/internal/front/fleet"
	"github.com/slaterock/slaterock/internal/front/mesh"
)

// A VM is lost for good and its key stays in the store. If nobody removed it, it would
// be told everything for ever. A VM that is cut off with half of the others must not
// remove the keys of those it can't hear.
func TestKeyOfALostDaemon(t *testing.T) {
	listed := []fleet.Entry{{Node: "a"}, {Node: "b"}, {Node: "c"}, {Node: "d"}}
	cases := map[string]struct {
		heard [2][]string // in the first and the second half of the time
		gone  string
	}{
		"all are heard":         {[2][]string{{"a", "b", "c", "d"}, {"a", "b", "c", "d"}}, ""},
		"one is lost":           {[2][]string{{"a", "b", "d"}, {"a", "b", "d"}}, "c"},
		"one was away":          {[2][]string{{"a", "b", "d"}, {"a", "b", "c", "d"}}, ""},
		"one is lost, one away": {[2][]string{{"a", "b"}, {"a", "b", "d"}}, "c"},
		"cut off":               {[2][]string{nil, nil}, ""},
		"cut off but for one":   {[2][]string{{"a"}, {"a"}}, ""},
		"was cut off":           {[2][]string{nil, {"a", "b", "d"}}, ""},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var a absent
			gone := ""
			now := time.Unix(1000, 0)
			for i := range 64 {
				p := mesh.Summary{Alive: map[mesh.ID]mesh.Status{}, Fronts: 1}
				for _, node := range c.heard[i/32] {
					p.Alive[mesh.IDOf(node)] = 0
					p.Fronts++
				}
				if node, found := a.note(now.Add(time.Duration(i)*time.Second/2), listed, p); found {
					gone = node
				}
			}
			is.New(t).Equal(gone, c.gone)
		})
	}
}

// A daemon reads for all for a while and misses another that starts again. Later it reads
// for all once more, just as that other one starts again: it was never silent for long,
// and its key must stay.
func TestSilenceBetweenLooksDoesNotCount(t *testing.T) {
	cases := map[string]struct {
		between time.Duration // looks
		gone    bool
	}{
		"it looked all the time":            {time.Second, true},
		"it did not look for half a minute": {goneFor, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var a absent
			listed := []fleet.Entry{{Node: "a"}, {Node: "b"}}
			p := mesh.Summary{Alive: map[mesh.ID]mesh.Status{mesh.IDOf("a"): 0}, Fronts: 2}
			now := time.Unix(1000, 0)
			found := false
			for at := time.Duration(0); at <= goneFor; at += c.between {
				_, found = a.note(now.Add(at), listed, p)
			}
			is.New(t).Equal(found, c.gone)
		})
	}
}
