package fleet

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// beat is the pause between readings of the daemon that reads for all.
const readInterval = 500 * time.Millisecond

// tell has one daemon tell another what it knows, as daemons do: one that knows the same
// has it confirmed, one that knows less gets everything, one that knows more doesn't listen.
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

// severed plays five seconds in which one daemon is cut off and the other reads on, last
// what the first is then told. It returns a moment later.
func partitioned(cutOff, other *Fleet, last Snapshot) time.Time {
	cutOff.Update(start, snapshot(1, 1, "a", "b"))
	other.Update(start, snapshot(1, 1, "a", "b"))
	back := start.Add(5 * time.Second)
	for at := start; at.Before(back); at = at.Add(readInterval) {
		other.Update(at, snapshot(1, 1, "a", "b"))
	}
	other.Update(back, last)
	exchange(back, other, cutOff)
	return back.Add(100 * time.Millisecond)
}

// An upstream had said that it leaves, and daemons that were well all the while sent it
// requests for 2.3 s more. The daemon that reads for all had been cut off for five
// seconds and took that for an outage of the store. It read again, kept the upstream
// whose entry had gone a moment ago as one whose entry had lapsed, and told the others
// that it is there. They took its guess for what the store holds.
//
// Evidence: in a recorded day the daemon that had been cut off logged the upstream as
// gone 2.3 s after it was back, as long as missing entries are kept, and the five others
// only after that; no other daemon had lost the store.
func TestPartitionedDaemonDoesNotMisleadPeers(t *testing.T) {
	is := is.New(t)
	var cutOff, other Fleet
	gone := partitioned(&cutOff, &other, snapshot(1, 1, "a", "b"))
	cutOff.Update(gone.Add(readInterval), snapshot(2, 1, "a"))
	exchange(gone.Add(readInterval), &cutOff, &other)
	is.Equal(ids(other.View()), "a")
}

// A daemon that had been cut off for five seconds sent requests to upstreams that had left,
// for 2.3 s after it was back: those that left meanwhile, and those that left then. It
// had no news of its own and took that for an outage of the store, although every other
// daemon told it of news that it had had all the while.
//
// Evidence: in a recorded day the daemon logged no outage of its own before, and the other
// five were confirmed every half second; the test gave the same upstream before.
func TestPartitionedDaemonTrustsPeers(t *testing.T) {
	cases := map[string]struct{ told, read Snapshot }{
		"an upstream left as it was back":       {snapshot(1, 1, "a", "b"), snapshot(2, 1, "a")},
		"an upstream left while it was cut off": {snapshot(2, 1, "a"), snapshot(2, 1, "a")},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var cutOff, other Fleet
			gone := partitioned(&cutOff, &other, c.told)
			cutOff.Update(gone.Add(readInterval), c.read)
			is.New(t).Equal(ids(cutOff.View()), "a")
		})
	}
}

// The store was away. An upstream left meanwhile, and its entry stays missing. The daemon
// that reads drops it in time, but the store has not changed since, and daemons don't
// listen to one that tells something else of the same revision. Each went on sending to
// the upstream until its own turn to read came, up to 22 s later among 171: what a
// daemon guessed was part of the state that it told.
//
// Evidence: in a recorded day six daemons dropped an upstream one after the other within
// 0.7 s, in the order in which they read, each by the store and none by a peer.
func TestMissingUpstreamIsDroppedByAll(t *testing.T) {
	is := is.New(t)
	var reader, other Fleet
	reader.Update(start, snapshot(1, 1, "a", "b"))
	other.Update(start, snapshot(1, 1, "a", "b"))
	back := start.Add(10 * time.Second)
	for at := back; at.Before(back.Add(RecoveryGrace + readInterval)); at = at.Add(readInterval) {
		reader.Update(at, snapshot(2, 1, "a"))
		exchange(at, &reader, &other)
		is.Equal(ids(other.View()) == "ab", at.Before(back.Add(RecoveryGrace))) // kept in vain no longer than by the reader
	}
	is.Equal(ids(reader.View()), "a")
}

// The daemon that was cut off reads the store before it hears from the others. It can't
// know, and keeps what is missing until one of them tells.
func TestPartitionedDaemonReadsBeforePeerContact(t *testing.T) {
	is := is.New(t)
	var cutOff, other Fleet
	cutOff.Update(start, snapshot(1, 1, "a", "b"))
	back := start.Add(5 * time.Second)
	for at := start; at.Before(back); at = at.Add(readInterval) {
		other.Update(at, snapshot(2, 1, "a"))
	}
	cutOff.Update(back, snapshot(3, 1, "a"))
	is.Equal(ids(cutOff.View()), "ab")
	exchange(back, &other, &cutOff) // of a lower revision
	is.Equal(ids(cutOff.View()), "a")
	exchange(back, &cutOff, &other)
	is.Equal(ids(other.View()), "a")
}
