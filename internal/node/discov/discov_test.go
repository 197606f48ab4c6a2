package discov

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/slaterock/slaterock/internal/front/fleet"
	"github.com/slaterock/slaterock/internal/plat/store"
)

// fakeStore holds keys and counts what its scans return.
type fakeStore struct {
	store.Shared

	items    map[string][]byte
	returned int
	calls    int
}

func (s *fakeStore) Scan(_ context.Context, prefix string, _ bool) (list []store.Entry, rev store.Rev, err error) {
	s.calls++
	for key, data := range s.items {
		if strings.HasPrefix(key, prefix) {
			list = append(list, store.Entry{Key: key, Data: data, Rev: 7})
		}
	}
	s.returned += len(list)
	return list, 7, nil
}

func newStore(fronts, disks int) *fakeStore {
	s := &fakeStore{items: map[string][]byte{RosterKey: []byte(`{"version":3,"replicas":[{"life":"d0","address":"a:1"}]}`)}}
	for i := range fronts {
		s.items[fmt.Sprint(FrontPrefix, "f", i)] = FrontValue(fleet.Entry{Address: fmt.Sprint("f", i)})
	}
	for i := range disks {
		s.items[fmt.Sprint(DiskPrefix, "d", i)] = fmt.Appendf(nil, `{"node":"d%d","life":"d%d"}`, i, i)
	}
	return s
}

// Each VM with a disk reads the keys every two seconds. What it reads must not grow with the number of fronts, or the answers to all of them grow with the square of the fleet and fill the store's link.
func TestScansOfVMsWithDisksLeaveFrontsOut(t *testing.T) {
	cases := map[string]struct {
		fronts, disks   int
		calls, returned int // of the second scan
	}{
		"a small system":      {8, 4, 1, 13},
		"hundreds of fronts":  {866, 120, 2, 121},
		"thousands of fronts": {4000, 120, 2, 121},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := newStore(c.fronts, c.disks)
			r := Reader{Store: s}
			is.NoErr(r.Scan(t.Context(), true))
			s.calls, s.returned = 0, 0
			s.items[DiskPrefix+"new"] = []byte(`{"node":"new","life":"new"}`)
			delete(s.items, DiskPrefix+"d1")
			is.NoErr(r.Scan(t.Context(), true))
			is.Equal([]int{s.calls, s.returned}, []int{c.calls, c.returned})
			is.Equal(len(r.State().Members), c.disks)
			is.Equal(r.Roster().Version, uint64(3))
			is.Equal(r.State().Revision, store.Rev(7))
		})
	}
}

// Hundreds of fronts look up the roster at once after it has changed; each must read that key alone, and keep the rest of its state.
func TestRescanReadsTheRosterAlone(t *testing.T) {
	is := is.New(t)
	s := newStore(866, 120)
	r := Reader{Store: s}
	is.NoErr(r.Apply([]store.Entry{{Key: FrontPrefix + "f0", Data: s.items[FrontPrefix+"f0"]}}, 5))
	r.Rescan(t.Context())
	is.Equal(s.returned, 1)
	is.Equal(r.Roster().Version, uint64(3))
	is.Equal(len(r.State().Entries), 1)
}

// The changes of the store may hold a front twice, or an invalid value of another writer, which must not take the front out.
func TestApplyChanges(t *testing.T) {
	is := is.New(t)
	written := func(node string, data []byte) store.Change {
		return store.Change{Entry: store.Entry{Key: FrontPrefix + node, Data: data, Rev: 9}}
	}
	gone := func(node string) store.Change {
		return store.Change{Entry: store.Entry{Key: FrontPrefix + node}, Gone: true}
	}
	value := FrontValue(fleet.Entry{Address: "x"})
	var r Reader
	d, err := r.ApplyChanges([]store.Change{
		written("a", value), gone("b"), gone("c"), written("c", value), written("d", value), gone("d"), written("e", []byte("7")),
		{Entry: store.Entry{Key: RosterKey, Data: []byte(`{"version":4}`), Rev: 12}},
		{Entry: store.Entry{Key: DiskPrefix + "x", Data: []byte("{}")}},
	})
	is.True(strings.Contains(fmt.Sprint(err), FrontPrefix+"e"))
	slices.SortFunc(d.Entries, func(a, b fleet.Entry) int { return strings.Compare(a.Node, b.Node) })
	slices.Sort(d.GoneEntries)
	is.Equal(d, fleet.Delta{Entries: []fleet.Entry{{Node: "a", Address: "x"}, {Node: "c", Address: "x"}}, GoneEntries: []string{"b", "d"}, Roster: 4})
	is.Equal(r.Roster().Version, uint64(4))
	is.Equal(r.State().Revision, store.Rev(12))
}
