package roster

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

var now = time.Unix(1000, 0)

func member(node, domain, life string) Member {
	return Member{Node: node, Address: node + ":1", Domain: domain, Life: life}
}

func places(r Roster) (s string) {
	for _, p := range r.Places {
		mark := ""
		if p.Joining {
			mark = "*"
		}
		s += fmt.Sprintf("%s/%s%s ", p.Node, p.Life, mark)
	}
	return s
}

func TestFirst(t *testing.T) {
	cases := map[string]struct {
		members []Member
		losses  int
		want    string
	}{
		"too few":            {[]Member{member("a", "x", "1")}, 1, ""},
		"just enough":        {[]Member{member("b", "x", "2"), member("a", "x", "1")}, 1, "a/1 b/2 "},
		"spread over domain": {[]Member{member("a", "x", "1"), member("b", "x", "2"), member("c", "y", "3"), member("d", "z", "4")}, 1, "a/1 c/3 d/4 "},
		"no more than full":  {[]Member{member("a", "x", "1"), member("b", "y", "2"), member("c", "z", "3"), member("d", "w", "4")}, 1, "a/1 b/2 c/3 "},
		"two may be lost":    {[]Member{member("a", "x", "1"), member("b", "x", "2"), member("c", "y", "3"), member("d", "z", "4"), member("e", "z", "5"), member("f", "w", "6")}, 2, "a/1 c/3 f/6 d/4 b/2 "},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r, ok := First(c.members, c.losses)
			is.Equal(ok, c.want != "")
			if ok && c.losses == 1 {
				is.Equal(places(r), c.want)
			}
			if ok && c.losses == 2 {
				is.Equal(len(r.Places), 5)
				is.Equal(r.Writes(), 3)
				is.Equal(r.Reads(), 3)
			}
		})
	}
}

// A read must meet every acknowledged write, whichever places each of them used.
func TestReadsMeetWrites(t *testing.T) {
	for losses := range 4 {
		for n := losses + 1; n <= Full(losses); n++ {
			is := is.New(t)
			r := Roster{Losses: losses, Places: make([]Place, n)}
			is.True(r.Reads()+r.Writes() > n) // any two sets share a place
			is.True(r.Writes() > losses)      // one acknowledged copy outlives the lost disks
		}
	}
}

func TestClaim(t *testing.T) {
	base := Roster{Version: 4, Losses: 1, Places: []Place{
		{Node: "a", Life: "1"}, {Node: "b", Life: "2"}, {Node: "c", Life: "3"},
	}}
	joining := base.copy()
	joining.Places[1].Joining = true
	long := map[string]time.Time{"c": now.Add(-TakeOver)}
	retiring := member("c", "z", "3")
	retiring.Retiring = true
	leaver := member("e", "z", "9")
	leaver.Retiring = true
	cases := map[string]struct {
		r       Roster
		self    Member
		others  []Member
		missing map[string]time.Time
		want    string
	}{
		"has a place":                     {base, member("a", "x", "1"), nil, long, ""},
		"nothing is free":                 {base, member("d", "x", "4"), nil, nil, ""},
		"one is missing, not yet long":    {base, member("d", "x", "4"), nil, map[string]time.Time{"c": now.Add(-TakeOver + 1)}, ""},
		"one is missing for long":         {base, member("d", "x", "4"), nil, long, "a/1 b/2 d/4* "},
		"own place with an empty disk":    {base, member("b", "x", "7"), nil, nil, "a/1 b/7* c/3 "},
		"another claims first":            {base, member("e", "x", "5"), []Member{member("d", "x", "4")}, long, ""},
		"the first one is to be emptied":  {base, member("f", "x", "5"), []Member{leaver}, long, "a/1 b/2 f/5* "},
		"one is to be emptied":            {base, member("d", "x", "4"), []Member{retiring}, nil, "a/1 b/2 d/4* "},
		"to be emptied itself":            {base, leaver, nil, long, ""},
		"another place is joining":        {joining, member("d", "x", "4"), nil, long, ""},
		"own disk lost while one joins":   {joining, member("a", "x", "8"), nil, nil, "a/8* b/2* c/3 "},
		"fewer places than there may be":  {base.Without("3"), member("d", "x", "4"), nil, nil, "a/1 b/2 d/4* "},
		"the place that is joining again": {joining, member("d", "x", "4"), nil, map[string]time.Time{"b": now.Add(-TakeOver)}, "a/1 d/4* c/3 "},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			next, ok := c.r.Claim(now, c.self, append(c.others, c.self), c.missing, TakeOver)
			is.Equal(ok, c.want != "")
			if ok {
				is.Equal(places(next), c.want)
				is.Equal(next.Version, c.r.Version+1)
			}
		})
	}
}

func TestEncode(t *testing.T) {
	is := is.New(t)
	r, _ := First([]Member{member("a", "x", "1"), member("b", "y", "2")}, 1)
	data, err := r.WithJoined("1").WithAddress(Member{Life: "2", Address: "new"}).Encode()
	is.NoErr(err)
	back, err := Decode(data)
	is.NoErr(err)
	is.Equal(back.Version, uint64(3))
	is.Equal(back.Places[1].Address, "new")
	p, ok := back.Find("1")
	is.True(ok)
	is.Equal(p.Node, "a")
	_, err = Decode([]byte("{"))
	is.True(err != nil)
}
