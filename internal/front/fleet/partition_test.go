package fleet

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// readInterval is the interval between reads of the daemon that reads the store for all.
const readInterval = 500 * time.Millisecond

// exchange applies the view of one daemon to another as daemons do: an equal view is
// confirmed, one of an older revision is replaced by a snapshot, and one of a newer revision,
// or of the same with another hash, stays as it is.
func exchange(now time.Time, from, to *Fleet) {
	v, w := from.View(), to.View()
	age := now.Sub(v.Confirmed)
	to.Update(now, PeerAvailability{Read: v.Read, Age: age, AvailableFor: v.AvailableFor()})
	switch {
	case v.Revision < w.Revision, v.Revision == w.Revision && v.Hash != w.Hash:
	case v.Hash == w.Hash:
		to.Update(now, Confirmed{Read: v.Read, Revision: v.Revision, Age: age})
	default:
		to.Update(now, PeerSnapshot{Snapshot: Snapshot{Read: v.Read, Revision: v.Revision, Upstreams: v.Listed.List(), Entries: v.Entries}, Age: age})
	}
}

// partitioned simulates five seconds in which one daemon is partitioned and the other goes
// on reading. At the end the other reads finalSnapshot and sends its view to the isolated
// one. The result is the time 0.1 s after that.
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

// A daemon was partitioned for five seconds, and an upstream leaves just after that. If the
// daemon took its own gap for an outage of the store, it would retain the upstream for the
// grace period, 2.3 s. Its peers, which reached the store all the time, must not take over
// that upstream and go on sending requests to it.
func TestPartitionedDaemonDoesNotMisleadPeers(t *testing.T) {
	is := is.New(t)
	var isolated, other Fleet
	after := partitioned(&isolated, &other, snapshot(1, 1, "a", "b"))
	isolated.Update(after.Add(readInterval), snapshot(2, 1, "a"))
	exchange(after.Add(readInterval), &isolated, &other)
	is.Equal(ids(other.View()), "a")
}

// A daemon that was partitioned must not take its own gap for an outage of the store if its
// peers report that the store was available to them. Otherwise it goes on sending requests,
// for 2.3 s after it was reconnected, to upstreams that left during the partition or just
// after it.
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

// An upstream leaves during an outage of the store, so its entry stays missing. The daemon
// that reads drops it after the grace period, and all others must drop it at the same time.
// If retained upstreams were part of the state sent to peers, the drop would change the hash
// but not the revision; daemons ignore a peer whose hash differs at the same revision, so
// each would send requests to the upstream until its own next read, up to 22 s later among
// 171 daemons.
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
