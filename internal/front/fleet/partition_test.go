package fleet

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// readInterval is the interval between reads of the daemon that reads the store for all.
const readInterval = 500 * time.Millisecond

// exchange applies the view of one daemon to another as daemons do: an equal view is
// confirmed, an older one gets a snapshot, a newer one stays as it is.
func exchange(now time.Time, from, to *Fleet) {
	v, w := from.View(), to.View()
	age := now.Sub(v.Confirmed)
	to.Update(now, PeerAvailability{Age: age, AvailableFor: v.AvailableFor()})
	switch {
	case v.Revision < w.Revision, v.Revision == w.Revision && v.Hash != w.Hash:
	case v.Hash == w.Hash:
		to.Update(now, Confirmed{Revision: v.Revision, Age: age})
	default:
		to.Update(now, PeerSnapshot{Snapshot: Snapshot{Revision: v.Revision, Upstreams: v.Upstreams, Entries: v.Entries}, Age: age})
	}
}

// partitioned simulates five seconds in which one daemon is partitioned and the other goes
// on reading. At the end the other reads last and sends its view to the first. The result
// is the time 0.1 s after that.
func partitioned(isolated, other *Fleet, finalSnapshot Snapshot) time.Time {
	isolated.Update(start, snapshot(1, 1, "a", "b"))
	other.Update(start, snapshot(1, 1, "a", "b"))
	recovery := start.Add(5 * time.Second)
	for at := start; at.Before(recovery); at = at.Add(readInterval) {
		other.Update(at, snapshot(1, 1, "a", "b"))
	}
	other.Update(recovery, finalSnapshot)
	exchange(recovery, other, isolated)
	return recovery.Add(100 * time.Millisecond)
}

// Daemons that had been connected all the time sent requests to a leaving upstream for
// 2.3 s more. The daemon that reads for all had been partitioned for five seconds and took
// that for an outage of the store. It read again, retained the upstream, whose entry had
// just been removed, as one whose entry had expired in the outage, and sent it to its peers
// as listed in the store.
//
// In a recorded day the partitioned daemon logged the upstream as gone 2.3 s after it was
// reconnected, which is the grace period, and the five others only after that; no other
// daemon had lost the store.
func TestPartitionedDaemonDoesNotMisleadPeers(t *testing.T) {
	is := is.New(t)
	var isolated, other Fleet
	after := partitioned(&isolated, &other, snapshot(1, 1, "a", "b"))
	isolated.Update(after.Add(readInterval), snapshot(2, 1, "a"))
	exchange(after.Add(readInterval), &isolated, &other)
	is.Equal(ids(other.View()), "a")
}

// A daemon that had been partitioned for five seconds sent requests to upstreams that had
// left, for 2.3 s after it was reconnected: those that left during the partition, and those
// that left as it ended. It took its own gap for an outage of the store, although all of its
// peers reported that the store had been available to them.
//
// In a recorded day the daemon had logged no outage of its own before, and the views of the
// other five were confirmed every half second.
func TestPartitionedDaemonTrustsPeers(t *testing.T) {
	cases := map[string]struct{ final, read Snapshot }{
		"an upstream left as it was back":       {snapshot(1, 1, "a", "b"), snapshot(2, 1, "a")},
		"an upstream left while it was cut off": {snapshot(2, 1, "a"), snapshot(2, 1, "a")},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var isolated, other Fleet
			after := partitioned(&isolated, &other, c.final)
			isolated.Update(after.Add(readInterval), c.read)
			is.New(t).Equal(ids(isolated.View()), "a")
		})
	}
}

// The store was unavailable. An upstream left meanwhile, and its entry stays missing. The
// daemon that reads drops it after the grace period, but the revision of the store has not
// changed, and daemons ignore a peer whose hash differs at the same revision. Each went on
// sending requests to the upstream until its own next read, up to 22 s later among 171,
// because retained upstreams were part of the state sent to peers.
//
// In a recorded day six daemons dropped an upstream one after the other within 0.7 s, in
// the order in which they read, each by its own read and none by a peer's update.
func TestMissingUpstreamIsDroppedByAll(t *testing.T) {
	is := is.New(t)
	var reader, other Fleet
	reader.Update(start, snapshot(1, 1, "a", "b"))
	other.Update(start, snapshot(1, 1, "a", "b"))
	recovery := start.Add(10 * time.Second)
	for at := recovery; at.Before(recovery.Add(RecoveryGrace + readInterval)); at = at.Add(readInterval) {
		reader.Update(at, snapshot(2, 1, "a"))
		exchange(at, &reader, &other)
		is.Equal(ids(other.View()) == "ab", at.Before(recovery.Add(RecoveryGrace))) // retained no longer than by the reader
	}
	is.Equal(ids(reader.View()), "a")
}

// The partitioned daemon reads the store before it receives anything from its peers. It
// can't tell its partition from an outage, and retains missing upstreams until a peer
// reports that the store was available.
func TestPartitionedDaemonReadsBeforePeerContact(t *testing.T) {
	is := is.New(t)
	var isolated, other Fleet
	isolated.Update(start, snapshot(1, 1, "a", "b"))
	recovery := start.Add(5 * time.Second)
	for at := start; at.Before(recovery); at = at.Add(readInterval) {
		other.Update(at, snapshot(2, 1, "a"))
	}
	isolated.Update(recovery, snapshot(3, 1, "a"))
	is.Equal(ids(isolated.View()), "ab")
	exchange(recovery, &other, &isolated) // of a lower revision
	is.Equal(ids(isolated.View()), "a")
	exchange(recovery, &isolated, &other)
	is.Equal(ids(other.View()), "a")
}
