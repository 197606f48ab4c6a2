package ended

import (
	"testing"

	"github.com/matryer/is"

	"github.com/slaterock/slaterock/internal/disk/index"
)

func starts(ids ...string) (list []index.Start) {
	for _, id := range ids {
		list = append(list, index.Start{ID: id})
	}
	return list
}

// Guards against a request that ends one upstream after the other, and against the refusal of one that only was there.
func TestMayRun(t *testing.T) {
	cases := map[string]struct {
		runs     []index.Run
		unlisted string // id of an upstream that is no longer listed
		open     bool   // the end of another attempt is not known
		lost     int    // attempts lost with their fronts
		want     bool
	}{
		"nothing is known":                    {nil, "", false, 0, true},
		"one ended":                           {[]index.Run{{Ended: starts("a")}}, "", false, 0, true},
		"two ended":                           {[]index.Run{{Ended: starts("a", "b")}}, "", false, 0, true},
		"three ended":                         {[]index.Run{{Ended: starts("a", "b", "c")}}, "", false, 0, false},
		"three in three attempts":             {[]index.Run{{Ended: starts("a")}, {Ended: starts("b")}, {Ended: starts("c")}}, "", false, 0, false},
		"the same in three attempts":          {[]index.Run{{Ended: starts("a")}, {Ended: starts("a")}, {Ended: starts("a")}}, "", false, 0, true},
		"three starts of one":                 {[]index.Run{{Ended: []index.Start{{ID: "a", Born: 1}, {ID: "a", Born: 2}, {ID: "a", Born: 3}}}}, "", false, 0, false},
		"five broke off":                      {[]index.Run{{Broken: starts("a", "a", "a")}, {Broken: starts("a", "b")}}, "", false, 0, true},
		"six broke off":                       {[]index.Run{{Broken: starts("a", "a", "a")}, {Broken: starts("a", "b", "c")}}, "", false, 0, false},
		"one ended, three broke off":          {[]index.Run{{Ended: starts("a"), Broken: starts("b", "b", "c")}}, "", false, 0, true},
		"two ended, two broke off":            {[]index.Run{{Ended: starts("a", "b"), Broken: starts("c", "c")}}, "", false, 0, false},
		"two ended, one has gone since":       {[]index.Run{{Ended: starts("a", "b"), Broken: starts("c")}}, "c", false, 0, false},
		"two ended, one of them broke before": {[]index.Run{{Ended: starts("a", "b"), Broken: starts("b")}}, "b", false, 0, true},
		"one ended, one not known":            {[]index.Run{{Ended: starts("a")}}, "", true, 0, true},
		"two ended, one not known":            {[]index.Run{{Ended: starts("a", "b")}}, "", true, 0, false},
		"one not known":                       {nil, "", true, 0, true},
		"three failed and go on":              {[]index.Run{{Tried: starts("a", "b")}, {Tried: starts("c")}}, "", false, 0, true},
		"two ended, a third one later":        {[]index.Run{{Ended: starts("a", "b"), Tried: starts("c")}}, "c", false, 0, false},
		"two lost":                            {nil, "", false, 2, true},
		"three lost":                          {nil, "", false, 3, false},
		"one ended, one lost":                 {[]index.Run{{Ended: starts("a")}}, "", false, 1, true},
		"one ended, one lost, one not known":  {[]index.Run{{Ended: starts("a")}}, "", true, 1, false},
		"one ended, two lost":                 {[]index.Run{{Ended: starts("a")}}, "", false, 2, false},
		"one failed, broke off and has gone":  {[]index.Run{{Tried: starts("c"), Broken: starts("c", "c")}}, "c", false, 0, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			listed := func(s index.Start) bool { return s.ID != c.unlisted }
			is.Equal(Of(c.runs).WithOpen(c.open).WithLost(c.lost).MayRun(listed), c.want)
		})
	}
}

// Guards against a request that harms one upstream after the other before any of them is known to have ended.
func TestConfined(t *testing.T) {
	cases := map[string]struct {
		runs     []index.Run
		open     bool
		lost     int
		starts   []index.Start
		confined bool
	}{
		"nothing is known":            {nil, true, 0, nil, false},
		"two":                         {[]index.Run{{Tried: starts("a"), Broken: starts("b", "b", "b")}}, false, 0, starts("a", "b"), false},
		"two, and one not known":      {[]index.Run{{Tried: starts("a"), Broken: starts("b")}}, true, 0, starts("a", "b"), true},
		"one, and two lost":           {[]index.Run{{Tried: starts("a")}}, false, 2, starts("a"), true},
		"one, and one lost":           {[]index.Run{{Tried: starts("a")}}, false, 1, starts("a"), false},
		"three ways":                  {[]index.Run{{Tried: starts("c")}, {Broken: starts("a")}, {Ended: starts("b")}}, false, 0, starts("a", "b", "c"), true},
		"the same in three ways":      {[]index.Run{{Tried: starts("a"), Broken: starts("a"), Ended: starts("a")}}, false, 0, starts("a"), false},
		"many, of requests like this": {[]index.Run{{Tried: starts("a", "b", "c", "d")}}, false, 0, starts("a", "b", "c", "d"), true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			got, confined := Of(c.runs).WithOpen(c.open).WithLost(c.lost).Confined()
			is.Equal(got, c.starts)
			is.Equal(confined, c.confined)
		})
	}
}

// Guards against an attempt that changes what another one knows.
func TestTallyIsImmutable(t *testing.T) {
	is := is.New(t)
	base := Of([]index.Run{{Ended: starts("a", "c"), Broken: starts("d")}})
	first, second := base.With(index.Start{ID: "b"}).WithBroken(index.Start{ID: "e"}), base.With(index.Start{ID: "d"}).WithBroken(index.Start{ID: "f"})
	is.Equal(base.Ended(), starts("a", "c"))
	is.Equal(first.Ended(), starts("a", "b", "c"))
	is.Equal(second.Ended(), starts("a", "c", "d"))
	is.Equal(first.Broken(), starts("d", "e"))
	is.Equal(second.Broken(), starts("d", "f"))
}
