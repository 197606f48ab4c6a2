package frontd

import (
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/slaterock/slaterock/internal/front/fleet"
	"github.com/slaterock/slaterock/internal/front/mesh"
)

// Guards against checks at the same time, by the loop that reads the store and by a request that reads it at once.
func TestSilentPeersAreCheckedConcurrently(t *testing.T) {
	var s silentPeers
	listed := []fleet.Entry{{Node: "a"}, {Node: "b"}, {Node: "c"}}
	p := mesh.Summary{Alive: map[mesh.ID]mesh.Status{mesh.IDOf("a"): 0, mesh.IDOf("b"): 0}, Fronts: 3}
	now := time.Unix(1000, 0)
	var work sync.WaitGroup
	for range 4 {
		work.Go(func() {
			for i := range 100 {
				s.check(now.Add(time.Duration(i)*time.Millisecond), listed, p)
			}
		})
	}
	work.Wait()
	node, found := s.check(now.Add(time.Second), listed, p)
	is.New(t).True(!found)
	is.New(t).Equal(node, "")
}

// A VM is lost permanently and its key stays in the store. If the key were never removed,
// datagrams would be sent there forever. A VM that hears from less than half of the others is
// partitioned itself and must not remove any key.
func TestKeyOfLostFront(t *testing.T) {
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
			var a silentPeers
			gone := ""
			now := time.Unix(1000, 0)
			for i := range 64 {
				p := mesh.Summary{Alive: map[mesh.ID]mesh.Status{}, Fronts: 1}
				for _, node := range c.heard[i/32] {
					p.Alive[mesh.IDOf(node)] = 0
					p.Fronts++
				}
				if node, found := a.check(now.Add(time.Duration(i)*time.Second/2), listed, p); found {
					gone = node
				}
			}
			is.New(t).Equal(gone, c.gone)
		})
	}
}

// A front is the one that reads the store for a while, and does not hear from another that
// restarts. Later it is the reading front again, just as the other one restarts a second time:
// that one was never silent for long, and its key must stay.
func TestSilenceNeedsContinuousChecks(t *testing.T) {
	cases := map[string]struct {
		between time.Duration // two checks
		gone    bool
	}{
		"it looked all the time":            {time.Second, true},
		"it did not look for half a minute": {lostAfter, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var a silentPeers
			listed := []fleet.Entry{{Node: "a"}, {Node: "b"}}
			p := mesh.Summary{Alive: map[mesh.ID]mesh.Status{mesh.IDOf("a"): 0}, Fronts: 2}
			now := time.Unix(1000, 0)
			found := false
			for at := time.Duration(0); at <= lostAfter; at += c.between {
				_, found = a.check(now.Add(at), listed, p)
			}
			is.New(t).Equal(found, c.gone)
		})
	}
}
