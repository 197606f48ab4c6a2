package frontd

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/slaterock/slaterock/internal/disk/roster"
	"github.com/slaterock/slaterock/internal/front/fleet"
)

// Upstreams come and go all the time, and a disk is replaced by an empty one. Each
// VM with a disk must get the newest state, but not thirty kilobytes at every
// change, and one that did not confirm must get it again.
func TestWhoIsSentTheKnowledge(t *testing.T) {
	start := time.Unix(1000, 0)
	state := func(hash, version uint64, after time.Duration) sent {
		return sent{hash: hash, roster: version, at: start.Add(after)}
	}
	cases := map[string]struct {
		before map[string]sent
		next   sent
		want   []string
	}{
		"nobody has anything":           {nil, state(1, 1, 0), []string{"a", "b"}},
		"all have it":                   {map[string]sent{"a": state(1, 1, 0), "b": state(1, 1, 0)}, state(1, 1, time.Hour), nil},
		"a new disk":                    {map[string]sent{"a": state(1, 1, 0)}, state(1, 1, time.Hour), []string{"b"}},
		"another state":                 {map[string]sent{"a": state(1, 1, 0), "b": state(2, 1, 0)}, state(2, 1, keepPause), []string{"a"}},
		"another roster":                {map[string]sent{"a": state(1, 1, 0), "b": state(1, 2, 0)}, state(1, 2, keepPause), []string{"a"}},
		"another state a moment later":  {map[string]sent{"a": state(1, 1, 0), "b": state(1, 1, 0)}, state(2, 1, keepPause/2), nil},
		"one did not confirm":           {map[string]sent{"a": state(1, 1, 0), "b": {at: start}}, state(1, 1, keepPause), []string{"b"}},
		"one did not confirm just now":  {map[string]sent{"a": state(1, 1, 0), "b": {at: start}}, state(1, 1, keepPause/2), nil},
		"one that has left is no place": {map[string]sent{"c": state(9, 9, 0), "a": state(1, 1, 0), "b": state(1, 1, 0)}, state(1, 1, time.Hour), nil},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			k := kept{of: c.before}
			places := []roster.Place{{Address: "a"}, {Address: "b"}}
			is.Equal(k.begin(places, c.next), c.want)
			is.Equal(len(k.begin(places, c.next)), 0) // it is being sent, or there is nothing to send
		})
	}
}

// The store is back after an outage, and the first reading lists few upstreams although all
// live. It is away again at once, and all daemons start anew: what they recall from the
// disks must have all upstreams, or callers find none until the store's return.
func TestKnowledgeOnDisksHasMissingUpstreams(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	d := newDaemonAt(now.Add(-10 * time.Second))
	d.fleet.Update(now.Add(-10*time.Second), fleet.Snapshot{Revision: 8, Upstreams: []fleet.Upstream{{ID: "a"}, {ID: "b"}}})
	d.fleet.Update(now, fleet.Snapshot{Revision: 9, Upstreams: []fleet.Upstream{{ID: "a"}}})
	k, err := d.lasting(t.Context())
	is.NoErr(err)
	is.Equal(k.Upstreams, []fleet.Upstream{{ID: "a"}, {ID: "b"}})
	k, err = d.tellKnown(t.Context(), have{})
	is.NoErr(err)
	is.Equal(k.Upstreams, []fleet.Upstream{{ID: "a"}}) // other daemons are told what was listed
}
