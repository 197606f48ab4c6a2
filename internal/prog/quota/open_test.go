package quota

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func (f *fleet) open(i int, name string) bool {
	req, fresh := f.locals[i].Opening(f.clock(i), "acct", name)
	if !fresh {
		return true
	}
	if f.homes[f.home].Request(f.now, req, limit).OK {
		f.locals[i].Opened(name)
		f.opened++
		return true
	}
	f.locals[i].Closed(name)
	return false
}

func (f *fleet) report(i int) {
	for _, a := range f.locals[i].Reports(f.clock(i)) {
		f.homes[f.home].Request(f.now, a, limit)
	}
}

// An account may have four programs open. If each daemon counted for itself, it
// could open four at each; if the ends of programs were not reported, it could
// open none after a while.
func TestPrograms(t *testing.T) {
	cases := map[string]struct {
		run    func(f *fleet)
		opened int
	}{
		"four over all daemons": {
			run: func(f *fleet) {
				for _, n := range []string{"p", "q", "r", "s", "t", "u"} {
					f.open(int(n[0])%3, n)
				}
			},
			opened: 4,
		},
		"a repeat costs nothing": {
			run: func(f *fleet) {
				for range 9 {
					f.open(0, "p")
				}
			},
			opened: 1,
		},
		"an end makes room": {
			run: func(f *fleet) {
				for _, n := range []string{"p", "q", "r", "s"} {
					f.open(0, n)
				}
				f.locals[0].Closed("p")
				f.report(0)
				f.open(1, "t")
				f.open(2, "u")
			},
			opened: 5,
		},
		"a report is overtaken by an opening": {
			run: func(f *fleet) {
				f.open(0, "p")
				old := f.locals[0].Reports(f.clock(0))
				f.open(0, "q")
				f.homes[0].Request(f.now, old[0], limit)
				f.open(1, "r")
				f.open(1, "s")
				f.open(2, "t")
			},
			opened: 4,
		},
		"an asker dies": {
			run: func(f *fleet) {
				for _, n := range []string{"p", "q", "r", "s"} {
					f.open(0, n)
				}
				f.advance(reportTTL)
				f.open(1, "t") // still counted
				f.advance(time.Second)
				f.open(1, "u")
			},
			opened: 5,
		},
		"the home moves and hears the reports": {
			run: func(f *fleet) {
				f.open(0, "p")
				f.open(1, "q")
				f.open(1, "r")
				f.moveHome()
				f.report(0)
				f.report(1)
				f.open(2, "s")
				f.open(2, "t")
			},
			opened: 4,
		},
		"the home moves before anybody reports": {
			run: func(f *fleet) {
				for _, n := range []string{"p", "q", "r", "s"} {
					f.open(0, n)
				}
				f.moveHome()
				for _, n := range []string{"a", "b", "c", "d", "e"} {
					f.open(1, n)
				}
			},
			opened: 8,
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFleet(3)
			c.run(f)
			is.Equal(f.opened, c.opened)
		})
	}
}
