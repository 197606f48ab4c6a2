package fleet

import (
	"fmt"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/slaterock/slaterock/internal/conf/route"
)

var start = time.Unix(1000, 0)

var readers atomic.Uint32

// newRead returns a read by a daemon that has not read before.
func newRead() Read { return Read{By: 1000 + readers.Add(1), Number: 1} }

// confirmed returns the event that a peer has the same view, from a read of its own.
func confirmed(rev uint64, age time.Duration) Confirmed {
	return Confirmed{Read: newRead(), Revision: rev, Age: age}
}

func snapshot(rev uint64, version int64, ups ...string) Snapshot {
	r := Snapshot{Read: newRead(), Revision: rev}
	if version > 0 {
		r.Table = route.New(version, nil, nil, route.Limits{})
	}
	for _, u := range ups {
		id, leaving := strings.CutSuffix(u, "!")
		r.Upstreams = append(r.Upstreams, Upstream{ID: id, Service: "s", Leaving: leaving})
	}
	return r
}

func ids(v *View) (s string) {
	service := v.Services["s"]
	for i := range service.Len() {
		u := service.At(i)
		s += u.ID
		if u.Leaving {
			s += "!"
		}
	}
	return s
}

// Updates may arrive out of order: a slow answer of the store, or a daemon that was
// partitioned, delivers an older state. A configuration that is in force must not revert.
func TestNothingReverts(t *testing.T) {
	cases := map[string]Event{
		"an older reading":               snapshot(5, 3, "a", "b"),
		"an older reading from a peer":   PeerSnapshot{Snapshot: snapshot(5, 3, "a", "b")},
		"an older confirmation":          confirmed(5, -time.Hour),
		"a newer reading with no config": PeerSnapshot{Snapshot: snapshot(10, 0, "a!")},
		"an older config, newer reading": snapshot(10, 3, "a!"),
	}
	for name, n := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var f Fleet
			f.Update(start, snapshot(9, 4, "a!"))
			f.Update(start.Add(time.Second), n)
			v := f.View()
			is.Equal(v.Table.Version, int64(4))
			is.Equal(ids(v), "a!")
			is.True(v.Revision >= 9)
			is.True(!v.Confirmed.After(start.Add(time.Second)))
		})
	}
}

// The store was unavailable and all entries expired. For about two seconds it lists few
// upstreams although all are alive. Requests must still find an upstream; but one that
// was leaving before, or is still missing after the grace period, must be dropped.
func TestEntriesExpiredInAnOutage(t *testing.T) {
	is := is.New(t)
	var f Fleet
	f.Update(start, snapshot(1, 1, "a", "b", "c!"))
	f.Update(start, Outage{})
	recovery := start.Add(10 * time.Second)
	is.Equal(f.Update(recovery, snapshot(2, 1, "a"))[0].Kind, "regained")
	is.Equal(ids(f.View()), "ab") // c was leaving
	f.Update(recovery.Add(time.Second), snapshot(3, 1, "a"))
	f.Update(recovery.Add(RecoveryGrace-1), snapshot(3, 1, "a"))
	is.Equal(ids(f.View()), "ab")
	f.Update(recovery.Add(RecoveryGrace), snapshot(4, 1, "a"))
	is.Equal(ids(f.View()), "a")
	f.Update(recovery.Add(time.Minute), snapshot(5, 1, "a"))
	f.Update(recovery.Add(time.Minute+time.Second), snapshot(6, 1, "a"))
	f.Update(recovery.Add(time.Minute+2*time.Second), snapshot(6, 1, "a"))
	f.Update(recovery.Add(time.Minute+3*time.Second), snapshot(7, 1)) // dropped at once without a preceding outage
	is.Equal(ids(f.View()), "")
}

// The store was unavailable, but this daemon is one of hundreds and did not read until
// the store had recovered. The list that it then reads is incomplete, since upstreams
// have not rewritten their entries yet. If the daemon took it for complete and passed it
// to its peers, requests would find no upstream.
func TestOutageNotSeenByThisDaemon(t *testing.T) {
	cases := map[string]struct {
		last Event // before the list is read, if any
		at   time.Duration
		read time.Duration
		want string
	}{
		"read when it is back":           {nil, 4500 * time.Millisecond, 5 * time.Second, "ab"},
		"another read, told of the same": {confirmed(1, 0), 5 * time.Second, 5500 * time.Millisecond, "ab"},
		"another read, told of more":     {PeerSnapshot{Snapshot: snapshot(2, 1, "a", "b")}, 5 * time.Second, 5500 * time.Millisecond, "ab"},
		"long after that":                {confirmed(1, 0), 5 * time.Second, 5*time.Second + RecoveryGrace, "a"},
		"all was well":                   {confirmed(1, 0), time.Second, 1500 * time.Millisecond, "a"},
		"nothing was known":              {nil, 0, 0, "a"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var f Fleet
			if c.read > 0 {
				f.Update(start, snapshot(1, 1, "a", "b"))
			}
			if c.last != nil {
				f.Update(start.Add(c.at), c.last)
			}
			for at := c.at + time.Second; at < c.read; at += time.Second {
				f.Update(start.Add(at), confirmed(f.View().Revision, 0))
			}
			f.Update(start.Add(c.read), snapshot(3, 1, "a"))
			is.Equal(ids(f.View()), c.want)
		})
	}
}

// A VM is suspended for four seconds and its monotonic clock stands still. Without the
// correction the daemon would consider its view four seconds newer than it is.
func TestSuspended(t *testing.T) {
	is := is.New(t)
	var f Fleet
	f.Update(start, snapshot(1, 1, "a"))
	f.Update(start, Suspended{For: 4 * time.Second})
	is.Equal(f.View().Confirmed, start.Add(-4*time.Second))
	f.Update(start, confirmed(1, time.Second))
	is.Equal(f.View().Confirmed, start.Add(-time.Second))
}

// A VM freezes, and an upstream leaves meanwhile. The daemon resumes, receives messages
// from peers and is the next to read: it must not retain the upstream as one whose entry
// expired in an outage. Without messages from peers it can't tell the difference.
func TestResumedDaemonReads(t *testing.T) {
	peer := PeerAvailability{Read: newRead(), AvailableFor: 4 * time.Second}
	cases := map[string]struct {
		first []Event // after it resumed
		want  string
	}{
		"told of the same":              {[]Event{peer, confirmed(1, 0)}, "a"},
		"told of more":                  {[]Event{peer, PeerSnapshot{Snapshot: snapshot(2, 1, "a", "b")}}, "a"},
		"told by one that is behind":    {[]Event{peer}, "a"},
		"nobody tells of news":          {nil, "ab"},
		"others were without news, too": {[]Event{PeerAvailability{Read: newRead()}, confirmed(1, 0)}, "ab"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var f Fleet
			f.Update(start, snapshot(1, 1, "a", "b"))
			resumed := start.Add(4 * time.Second)
			f.Update(resumed, Suspended{})
			for _, n := range c.first {
				f.Update(resumed, n)
			}
			f.Update(resumed.Add(time.Second), snapshot(3, 1, "a"))
			is.New(t).Equal(ids(f.View()), c.want)
		})
	}
}

// The store refuses this daemon for a while and serves its peers, which confirm that
// nothing has changed. An upstream leaves, and its entry is removed. When the daemon reads
// again it must not take the missing entry for one that expired in an outage, or requests
// are sent to an upstream that is gone.
func TestStoreRefusesOneDaemon(t *testing.T) {
	is := is.New(t)
	var f Fleet
	f.Update(start, snapshot(1, 1, "a", "b"))
	f.Update(start.Add(time.Second), Outage{})
	for i := range 5 {
		f.Update(start.Add(time.Duration(i+1)*time.Second), confirmed(1, 700*time.Millisecond))
	}
	is.Equal(f.Update(start.Add(6*time.Second), snapshot(2, 1, "a"))[0].Kind, "regained")
	is.Equal(ids(f.View()), "a")
}

// Guards against a start of an upstream that is taken from an entry of before an outage, in which the upstream has started again.
func TestSettledAfterAnOutage(t *testing.T) {
	cases := map[string]struct {
		away time.Duration // time without a read
		at   time.Duration // since that, of the last read
		want time.Duration // since start
	}{
		"no outage":            {time.Second, 500 * time.Millisecond, 1500 * time.Millisecond},
		"just after an outage": {5 * time.Second, 0, 0},
		"in the grace period":  {5 * time.Second, RecoveryGrace - time.Millisecond, 0},
		"after it":             {5 * time.Second, RecoveryGrace, 5*time.Second + RecoveryGrace},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var f Fleet
			f.Update(start, snapshot(1, 1, "a"))
			for at := c.away; at < c.away+c.at; at += 500 * time.Millisecond {
				f.Update(start.Add(at), snapshot(1, 1, "a"))
			}
			last := start.Add(c.away + c.at)
			f.Update(last, snapshot(1, 1, "a"))
			is.Equal(f.View().Confirmed, last)
			is.Equal(f.View().Settled, start.Add(c.want))
		})
	}
}

// A daemon that the store refuses receives confirmations from its peers. Its view is then
// as recent as theirs.
func TestConfirmed(t *testing.T) {
	is := is.New(t)
	var f, g Fleet
	f.Update(start, snapshot(1, 1, "a", "b"))
	g.Update(start, snapshot(1, 1, "b", "a"))
	is.Equal(f.View().Hash, g.View().Hash) // independent of the order
	f.Update(start.Add(5*time.Second), confirmed(7, time.Second))
	is.Equal(f.View().Confirmed, start.Add(4*time.Second))
	is.Equal(f.View().Revision, uint64(7))
	g.Update(start, snapshot(2, 1, "b!", "a"))
	is.True(f.View().Hash != g.View().Hash)
}

func TestChanges(t *testing.T) {
	is := is.New(t)
	var f Fleet
	f.Update(start, snapshot(1, 1, "a"))
	is.Equal(len(f.Update(start, snapshot(2, 1, "a"))), 0)
	again := snapshot(3, 2, "a!", "b")
	again.Upstreams[1].Born = 5
	is.Equal(fmt.Sprint(f.Update(start, again)), "[{config   } {upstream a ready leaving} {upstream b  ready}]")
	again = snapshot(4, 2, "b")
	again.Upstreams[0].Born = 9 // restarted under the same id
	is.Equal(fmt.Sprint(f.Update(start, again)), "[{upstream b ready ready} {upstream a leaving gone}]")
	is.Equal(len(f.Update(start, Outage{})), 1)
	is.Equal(len(f.Update(start, Outage{})), 0) // reported once
}

// The store recovers from an outage, and one daemon, which its peers keep up to date, reads
// it successfully only some seconds later. It must not start the grace period at its own
// first read: it would take the entry of an upstream that has just left for one that expired
// in the outage, and requests would go to that upstream for the whole grace period, 2.3 s,
// where two seconds are allowed.
func TestLastReaderAfterAnOutage(t *testing.T) {
	is := is.New(t)
	var f Fleet
	f.Update(start, snapshot(1, 1, "a", "b"))
	f.Update(start.Add(time.Second), Outage{})
	recovery := start.Add(10 * time.Second)
	f.Update(recovery, PeerSnapshot{Snapshot: snapshot(2, 1, "a", "b")})
	for i := range 5 {
		f.Update(recovery.Add(time.Duration(i)*500*time.Millisecond), confirmed(uint64(3+i), 0))
	}
	f.Update(recovery.Add(2800*time.Millisecond), snapshot(9, 1, "a", "b"))
	f.Update(recovery.Add(3300*time.Millisecond), snapshot(10, 1, "a")) // b left 0.2 s before
	is.Equal(ids(f.View()), "a")
}

// To explain why a request went to an upstream that the store did not list, the log must
// show when the daemon considered the store recovered, the duration of the outage, and
// which upstreams it retained without an entry.
func TestRetainedUpstreamsAreLogged(t *testing.T) {
	is := is.New(t)
	var f Fleet
	f.Update(start, snapshot(1, 1, "a", "b", "c"))
	f.Update(start, Outage{})
	recovery := start.Add(10 * time.Second)
	is.Equal(fmt.Sprint(f.Update(recovery, snapshot(2, 1, "a"))), "[{regained   } {return  10s } {upstream b ready missing} {upstream c ready missing}]")
	is.True(f.View().Missing("b") && !f.View().Missing("a"))
	is.Equal(len(f.Update(recovery.Add(time.Second), snapshot(2, 1, "a"))), 0)
	is.Equal(fmt.Sprint(f.Update(recovery.Add(time.Second), snapshot(3, 1, "a", "b"))), "[{upstream b missing ready}]")
	is.Equal(fmt.Sprint(f.Update(recovery.Add(RecoveryGrace), snapshot(3, 1, "a", "b"))), "[{upstream c missing gone}]")
	is.Equal(f.View().Retained.Len(), 0)
}
