package fleet

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Daemons that confirm each other through slow datagrams must not take one read for newer and newer ones, or none of them reads the store.
func TestOneReadConfirmsOnce(t *testing.T) {
	const transit, interval = 30 * time.Millisecond, 60 * time.Millisecond
	is := is.New(t)
	var a, b Fleet
	a.Update(start, snapshot(1, 1, "u"))
	b.Update(start, snapshot(1, 1, "u")) // a read of its own
	for at := start; at.Before(start.Add(10 * time.Second)); at = at.Add(interval) {
		fromA, fromB := a.View(), b.View()
		report(&b, fromA, at, transit)
		report(&a, fromB, at, transit)
	}
	is.Equal(a.View().Confirmed, start.Add(transit)) // b's read, as reported first
	is.Equal(b.View().Confirmed, start.Add(transit))
	is.Equal(a.avail.To, start.Add(transit)) // nor does the store seem available for longer
	is.Equal(b.avail.To, start.Add(transit))
}

// report applies a view that was sent at the given time and was under way for the time of transit.
func report(to *Fleet, v *View, sent time.Time, transit time.Duration) {
	now, age := sent.Add(transit), sent.Sub(v.Confirmed)
	to.Update(now, PeerAvailability{Read: v.Read, Age: age, AvailableFor: v.AvailableFor()})
	to.Update(now, Confirmed{Read: v.Read, Revision: v.Revision, Age: age})
}

// A report that comes late, twice or from a daemon of another release must not make a view seem newer than the read that it stems from.
func TestReportsOfReads(t *testing.T) {
	first, second := Read{By: 1, Number: 1}, Read{By: 1, Number: 2}
	other := Read{By: 2, Number: 1}
	cases := map[string]struct {
		reports []Confirmed // one each second from the first second on
		want    time.Duration
	}{
		"a read":                       {[]Confirmed{{Read: first}}, time.Second},
		"the same again":               {[]Confirmed{{Read: first}, {Read: first}}, time.Second},
		"a later read":                 {[]Confirmed{{Read: first}, {Read: second}}, 2 * time.Second},
		"an earlier read, later":       {[]Confirmed{{Read: second}, {Read: first}}, time.Second},
		"two daemons by turns":         {[]Confirmed{{Read: first}, {Read: other}, {Read: first}}, 2 * time.Second},
		"two daemons, the first twice": {[]Confirmed{{Read: other}, {Read: first}, {Read: other}, {Read: first}}, 2 * time.Second},
		"a daemon that names no read":  {[]Confirmed{{}}, 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var f Fleet
			f.Update(start, snapshot(1, 1))
			for i, r := range c.reports {
				r.Revision = 1
				f.Update(start.Add(time.Duration(i+1)*time.Second), r)
			}
			is.New(t).Equal(f.View().Confirmed.Sub(start), c.want)
		})
	}
}

// A VM is suspended and its clock stands still; a late report of a read from before must not make the view seem as new as that clock says.
func TestSuspensionAgesKnownReads(t *testing.T) {
	is := is.New(t)
	var f Fleet
	r := newRead()
	f.Update(start, Confirmed{Read: r})
	f.Update(start, Suspended{For: 4 * time.Second})
	f.Update(start, Confirmed{Read: r})
	is.Equal(f.View().Confirmed, start.Add(-4*time.Second))
}

// Daemons restart for months, each time as another reader; those that are gone must not fill the memory.
func TestGoneReadersAreForgotten(t *testing.T) {
	var f Fleet
	for i := range 1000 {
		f.Update(start.Add(time.Duration(i)*time.Second), Confirmed{Read: newRead()})
	}
	is.New(t).True(len(f.reads.latest) <= int(readerTTL/time.Second)+1)
}
