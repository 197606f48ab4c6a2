package fleet

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/slaterock/slaterock/internal/conf/route"
)

var start = time.Unix(1000, 0)

func snapshot(rev uint64, version int64, ups ...string) Snapshot {
	r := Snapshot{Revision: rev}
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
	for _, u := range v.Services["s"] {
		s += u.ID
		if u.Leaving {
			s += "!"
		}
	}
	return s
}

// News overtakes news: a slow answer of the store, or a daemon that was cut off,
// tells what was true before. What callers have seen in force must not revert.
func TestNothingReverts(t *testing.T) {
	cases := map[string]Event{
		"an older reading":               snapshot(5, 3, "a", "b"),
		"an older reading from a peer":   PeerSnapshot{Snapshot: snapshot(5, 3, "a", "b")},
		"an older confirmation":          Confirmed{Revision: 5, Age: -time.Hour},
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

// The store was away and all entries lapsed. For about two seconds it lists few
// upstreams although all of them live. Callers must not be told that there are
// none; but one that left before, or stays missing, must go.
func TestEntriesExpiredInAnOutage(t *testing.T) {
	is := is.New(t)
	var f Fleet
	f.Update(start, snapshot(1, 1, "a", "b", "c!"))
	f.Update(start, Outage{})
	back := start.Add(10 * time.Second)
	is.Equal(f.Update(back, snapshot(2, 1, "a"))[0].Kind, "regained")
	is.Equal(ids(f.View()), "ab") // c was leaving
	f.Update(back.Add(time.Second), snapshot(3, 1, "a"))
	f.Update(back.Add(RecoveryGrace-1), snapshot(3, 1, "a"))
	is.Equal(ids(f.View()), "ab")
	f.Update(back.Add(RecoveryGrace), snapshot(4, 1, "a"))
	is.Equal(ids(f.View()), "a")
	f.Update(back.Add(time.Minute), snapshot(5, 1, "a"))
	f.Update(back.Add(time.Minute+time.Second), snapshot(6, 1, "a"))
	f.Update(back.Add(time.Minute+2*time.Second), snapshot(6, 1, "a"))
	f.Update(back.Add(time.Minute+3*time.Second), snapshot(7, 1)) // in calm times at once
	is.Equal(ids(f.View()), "")
}

// The store was away, but this daemon is one of hundreds and its turn to read did
// not come before the store was back. The list that it reads then is short, since
// upstreams have not written their entries yet. Took it for the truth, it would
// tell all others, and callers would find no upstream.
func TestOutageSeenByNoDaemon(t *testing.T) {
	cases := map[string]struct {
		last Event // before the list is read, if any
		at   time.Duration
		read time.Duration
		want string
	}{
		"read when it is back":           {nil, 4500 * time.Millisecond, 5 * time.Second, "ab"},
		"another read, told of the same": {Confirmed{Revision: 1}, 5 * time.Second, 5500 * time.Millisecond, "ab"},
		"another read, told of more":     {PeerSnapshot{Snapshot: snapshot(2, 1, "a", "b")}, 5 * time.Second, 5500 * time.Millisecond, "ab"},
		"long after that":                {Confirmed{Revision: 1}, 5 * time.Second, 5*time.Second + RecoveryGrace, "a"},
		"all was well":                   {Confirmed{Revision: 1}, time.Second, 1500 * time.Millisecond, "a"},
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
				f.Update(start.Add(at), Confirmed{Revision: f.View().Revision})
			}
			f.Update(start.Add(c.read), snapshot(3, 1, "a"))
			is.Equal(ids(f.View()), c.want)
		})
	}
}

// A VM is suspended for four seconds and its clock stands still. The daemon would take
// what it knows for new, and add to no other's knowledge.
func TestSuspended(t *testing.T) {
	is := is.New(t)
	var f Fleet
	f.Update(start, snapshot(1, 1, "a"))
	f.Update(start, Suspended{For: 4 * time.Second})
	is.Equal(f.View().Confirmed, start.Add(-4*time.Second))
	f.Update(start, Confirmed{Revision: 1, Age: time.Second})
	is.Equal(f.View().Confirmed, start.Add(-time.Second))
}

// A VM freezes, and an upstream leaves meanwhile. The daemon wakes, hears from others and
// is the next to read: it must not keep the upstream as one whose entry lapsed, and tell
// the others that it is there. One that hears from nobody can't know.
func TestResumedDaemonReads(t *testing.T) {
	heard := PeerAvailability{AvailableFor: 4 * time.Second}
	cases := map[string]struct {
		first []Event // after it woke
		want  string
	}{
		"told of the same":              {[]Event{heard, Confirmed{Revision: 1}}, "a"},
		"told of more":                  {[]Event{heard, PeerSnapshot{Snapshot: snapshot(2, 1, "a", "b")}}, "a"},
		"told by one that is behind":    {[]Event{heard}, "a"},
		"nobody tells of news":          {nil, "ab"},
		"others were without news, too": {[]Event{PeerAvailability{}, Confirmed{Revision: 1}}, "ab"},
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

// The store turns this daemon away for a while and serves the others, who tell it that
// nothing has changed. An upstream leaves, and its entry is removed. The daemon then
// reads again: it must not take the missing entry for one that lapsed in an outage, or
// all daemons send requests to an upstream that is gone.
func TestStoreRefusesOneDaemon(t *testing.T) {
	is := is.New(t)
	var f Fleet
	f.Update(start, snapshot(1, 1, "a", "b"))
	f.Update(start.Add(time.Second), Outage{})
	for i := range 5 {
		f.Update(start.Add(time.Duration(i+1)*time.Second), Confirmed{Revision: 1, Age: 700 * time.Millisecond})
	}
	is.Equal(f.Update(start.Add(6*time.Second), snapshot(2, 1, "a"))[0].Kind, "regained")
	is.Equal(ids(f.View()), "a")
}

// A daemon that the store turns away hears from others that nothing has changed.
// Its knowledge is as new as theirs.
func TestConfirmed(t *testing.T) {
	is := is.New(t)
	var f, g Fleet
	f.Update(start, snapshot(1, 1, "a", "b"))
	g.Update(start, snapshot(1, 1, "b", "a"))
	is.Equal(f.View().Hash, g.View().Hash) // whatever the order
	f.Update(start.Add(5*time.Second), Confirmed{Revision: 7, Age: time.Second})
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
	again.Upstreams[0].Born = 9 // started again under its id
	is.Equal(fmt.Sprint(f.Update(start, again)), "[{upstream b ready ready} {upstream a leaving gone}]")
	is.Equal(len(f.Update(start, Outage{})), 1)
	is.Equal(len(f.Update(start, Outage{})), 0) // told once
}

// An upstream had said that it leaves, and got new requests for 2.3 s more, 0.3 s longer
// than agreed. The store had been away until three seconds before. One daemon's last try
// hung until then; the others had told it everything meanwhile. When its turn to read
// came it counted the return from its own first reading, took the entry that was missing
// for one that had lapsed, and told all others that the upstream is there.
//
// Evidence: this order of events fails on the code that the report is of, and every other
// reader drops the upstream at its next reading; the last request came 2.313 s after the
// entry went, as long as entries that are missing are kept.
func TestLastReaderAfterAnOutage(t *testing.T) {
	is := is.New(t)
	var f Fleet
	f.Update(start, snapshot(1, 1, "a", "b"))
	f.Update(start.Add(time.Second), Outage{})
	back := start.Add(10 * time.Second)
	f.Update(back, PeerSnapshot{Snapshot: snapshot(2, 1, "a", "b")})
	for i := range 5 {
		f.Update(back.Add(time.Duration(i)*500*time.Millisecond), Confirmed{Revision: uint64(3 + i)})
	}
	f.Update(back.Add(2800*time.Millisecond), snapshot(9, 1, "a", "b"))
	f.Update(back.Add(3300*time.Millisecond), snapshot(10, 1, "a")) // b left 0.2 s ago
	is.Equal(ids(f.View()), "a")
}

// A support engineer asks why a request went to an upstream that the store did not list.
// The log must tell when the daemon took the store for returned, after how long, and
// which upstreams it kept without an entry.
func TestRetainedUpstreamsAreLogged(t *testing.T) {
	is := is.New(t)
	var f Fleet
	f.Update(start, snapshot(1, 1, "a", "b", "c"))
	f.Update(start, Outage{})
	back := start.Add(10 * time.Second)
	is.Equal(fmt.Sprint(f.Update(back, snapshot(2, 1, "a"))), "[{regained   } {return  10s } {upstream b ready missing} {upstream c ready missing}]")
	is.True(f.View().Missing("b") && !f.View().Missing("a"))
	is.Equal(len(f.Update(back.Add(time.Second), snapshot(2, 1, "a"))), 0)
	is.Equal(fmt.Sprint(f.Update(back.Add(time.Second), snapshot(3, 1, "a", "b"))), "[{upstream b missing ready}]")
	is.Equal(fmt.Sprint(f.Update(back.Add(RecoveryGrace), snapshot(3, 1, "a", "b"))), "[{upstream c missing gone}]")
	is.Equal(len(f.View().Retained), 0)
}
