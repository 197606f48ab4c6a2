package frontd

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"github.com/slaterock/slaterock/internal/front/fleet"
	"github.com/slaterock/slaterock/internal/node/discov"
	"github.com/slaterock/slaterock/internal/plat/store"
)

// All fronts restart together, as after a loss of power. If each of them read all keys, the answers would fill the store's link for half a minute in a fleet of hundreds; all must have the state soon all the same.
func TestFleetRestartsWithFewReads(t *testing.T) {
	const readAllTime, bound = 400 * time.Millisecond, 3 * time.Second
	cases := map[string]struct {
		n    int
		hubs bool // the key with the hubs was written before
	}{
		"a few dozen":                {54, true},
		"the largest that is served": {171, true},
		"after an older release":     {171, false},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				n := tc.n
				c := newCluster(t, n, 4, 0)
				c.mu.Lock()
				c.readAllTime = readAllTime
				if tc.hubs {
					fronts, err := discov.Fronts(c.listed())
					is.NoErr(err)
					c.hubs = discov.HubsValue(largest(fronts, maxHubsListed))
				}
				c.mu.Unlock()
				took := c.awaitStart(n)
				c.mu.Lock()
				defer c.mu.Unlock()
				t.Logf("%d readings of all keys; all fronts have the state after %v", c.readsAll, took)
				is.True(c.readsAll <= 2)
				is.True(took <= bound)
				is.True(c.listReads == 0 || !tc.hubs) // hundreds of long answers would fill the store's link
				is.True(len(c.hubs) < 16<<10)
				is.True(c.hubWrites <= 2)
			})
		})
	}
}

// All fronts start for the first time, with an empty store. If each read it at once, that would be most of the calls of a quiet day.
func TestFirstStartWithFewReads(t *testing.T) {
	const bound = 4 * time.Second
	for name, n := range map[string]int{"eight": 8, "the largest that is served": 171} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				c := newCluster(t, n, 5, 0)
				c.mu.Lock()
				c.unlisted = time.Now().Add(400 * time.Millisecond)
				c.mu.Unlock()
				took := c.awaitStart(n)
				c.mu.Lock()
				defer c.mu.Unlock()
				t.Logf("%d readings of all keys; all fronts have the state after %v", c.readsAll, took)
				is.True(c.readsAll <= 12)
				is.True(took <= bound)
			})
		})
	}
}

// All fronts restart during an outage of the store and serve with what the disks had. When the store is back, a few must read all keys, not each of them.
func TestFleetRestartedInAnOutage(t *testing.T) {
	for name, n := range map[string]int{"eight": 8, "a few dozen": 54} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				c := newCluster(t, n, 6, 0)
				for _, f := range c.fronts {
					f.disturb(storeRefuses, false, false)
					s := snapshot{Revision: 1, Config: []byte("1"), Restored: true}
					for _, o := range c.fronts {
						s.Entries = append(s.Entries, o.self())
					}
					is.NoErr(f.applySnapshot(s, time.Second))
				}
				time.Sleep(settle)
				c.mu.Lock()
				c.readAllTime = 400 * time.Millisecond
				c.mu.Unlock()
				c.accept()
				for _, f := range c.fronts {
					f.disturb(storeAnswers, false, false)
				}
				time.Sleep(3 * time.Second)
				for _, f := range c.fronts {
					is.True(!f.fleet.View().Restored)
				}
				c.mu.Lock()
				defer c.mu.Unlock()
				t.Logf("%d readings of all keys", c.readsAll)
				is.True(c.readsAll <= 8)
			})
		})
	}
}

// awaitStart waits until n fronts have a configuration, 10 s at most, and returns how long that
// took.
func (c *cluster) awaitStart(n int) time.Duration {
	began := time.Now()
	for c.started() < n && time.Since(began) < 10*time.Second {
		time.Sleep(20 * time.Millisecond)
	}
	return time.Since(began)
}

// started returns the number of fronts that have a configuration.
func (c *cluster) started() (n int) {
	for _, f := range c.fronts {
		if f.fleet.View().Table != nil {
			n++
		}
	}
	return n
}

// The second reads of fronts that start together with an empty store must be spread so that few come before the first of them can tell the others, however many there are.
func TestStartJitter(t *testing.T) {
	const told = 500 * time.Millisecond
	for name, n := range map[string]int{"eight": 8, "171": 171, "a thousand": 1000} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			const plays = 200
			early := 0
			for range plays {
				list := make([]time.Duration, n)
				first := startSpread
				for i := range list {
					list[i] = startJitter()
					first = min(first, list[i])
				}
				is.True(first >= 0 && first < startSpread)
				for _, at := range list {
					if at < first+told {
						early++
					}
				}
			}
			t.Logf("%.1f fronts read within %v", float64(early)/plays, told)
			is.True(early/plays <= 10)
		})
	}
}

// A fleet has shrunk to a few fronts. Its list of hubs must go: a front that starts would join fronts that are gone, and wait for their state for seconds.
func TestListOfHubsGoesWhenAFleetShrinks(t *testing.T) {
	tests := map[string]struct {
		fronts int
		known  []byte // value of the key; nil if there is none
		writes int
		listed int
	}{
		"shrunk":       {8, discov.HubsValue(make([]fleet.Entry, 1)), 1, 0},
		"always small": {8, nil, 0, 0},
		"emptied":      {8, discov.HubsValue(nil), 0, 0},
		"large":        {30, nil, 1, 30},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := &cluster{ctx: t.Context(), hubs: test.known}
			d := &Daemon{Store: clusterStore{c: c}, Log: zerolog.Nop(), Scope: tally.NoopScope}
			var entries []fleet.Entry
			for i := range test.fronts {
				entries = append(entries, fleet.Entry{Node: fmt.Sprintf("front-%03d", i), Peer: fmt.Sprint("p", i)})
			}
			d.fleet.Update(time.Now(), fleet.Snapshot{Revision: 1, Entries: entries})
			if test.known != nil {
				_, err := d.discov.ApplyChanges([]store.Change{{Entry: store.Entry{Key: discov.HubsKey, Data: test.known}}})
				is.NoErr(err)
			}
			d.publishHubs(t.Context(), time.Now())
			is.Equal(c.hubWrites, test.writes)
			if test.writes > 0 {
				list, err := discov.Hubs(c.hubs)
				is.NoErr(err)
				is.Equal(len(list), test.listed)
			}
		})
	}
}
