package roster

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

var now = time.Unix(1000, 0)

func member(node, domain, diskID string) Member {
	return Member{Node: node, Address: node + ":1", Domain: domain, DiskID: diskID}
}

func replicas(r Roster) (s string) {
	for _, p := range r.Replicas {
		mark := ""
		if p.Joining {
			mark = "*"
		}
		s += fmt.Sprintf("%s/%s%s ", p.Node, p.DiskID, mark)
	}
	return s
}

func TestInitial(t *testing.T) {
	cases := map[string]struct {
		members []Member
		losses  int
		want    string
	}{
		"too few":            {[]Member{member("a", "x", "1")}, 1, ""},
		"just enough":        {[]Member{member("b", "x", "2"), member("a", "x", "1")}, 1, "a/1 b/2 "},
		"spread over domain": {[]Member{member("a", "x", "1"), member("b", "x", "2"), member("c", "y", "3"), member("d", "z", "4")}, 1, "a/1 c/3 d/4 "},
		"no more than full":  {[]Member{member("a", "x", "1"), member("b", "y", "2"), member("c", "z", "3"), member("d", "w", "4")}, 1, "a/1 b/2 c/3 "},
		"two may be lost":    {[]Member{member("a", "x", "1"), member("b", "x", "2"), member("c", "y", "3"), member("d", "z", "4"), member("e", "z", "5"), member("f", "w", "6")}, 2, "a/1 c/3 d/4 f/6 b/2 "},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r, ok := Initial(c.members, c.losses)
			is.Equal(ok, c.want != "")
			if ok {
				is.Equal(replicas(r), c.want)
			}
			if ok && c.losses == 2 {
				is.Equal(len(r.Replicas), 5)
				is.Equal(r.WriteQuorum(), 3)
				is.Equal(r.ReadQuorum(), 3)
			}
		})
	}
}

// A read quorum must include a replica of every write quorum.
func TestReadAndWriteQuorumsOverlap(t *testing.T) {
	for losses := range 4 {
		for n := losses + 1; n <= MaxReplicas(losses); n++ {
			is := is.New(t)
			r := Roster{MaxFailures: losses, Replicas: make([]Replica, n)}
			is.True(r.ReadQuorum()+r.WriteQuorum() > n) // any two sets share a replica
			is.True(r.WriteQuorum() > losses)           // one acknowledged copy outlives the lost disks
		}
	}
}

func TestClaim(t *testing.T) {
	base := Roster{Version: 4, MaxFailures: 1, Replicas: []Replica{
		{Node: "a", DiskID: "1"}, {Node: "b", DiskID: "2"}, {Node: "c", DiskID: "3"},
	}}
	joining := base.copy()
	joining.Replicas[1].Joining = true
	longMissing := map[string]time.Time{"c": now.Add(-TakeoverDelay)}
	retiring := member("c", "z", "3")
	retiring.Retiring = true
	retiringMember := member("e", "z", "9")
	retiringMember.Retiring = true
	emptyDisk := member("c", "z", "33") // of the VM that is to be emptied
	emptyDisk.Retiring = true
	first := member("a", "x", "1")
	first.Retiring = true
	cases := map[string]struct {
		r       Roster
		self    Member
		others  []Member
		missing map[string]time.Time
		want    string
	}{
		"has a place":                                         {base, member("a", "x", "1"), nil, longMissing, ""},
		"nothing is free":                                     {base, member("d", "x", "4"), nil, nil, ""},
		"one is missing, not yet long":                        {base, member("d", "x", "4"), nil, map[string]time.Time{"c": now.Add(-TakeoverDelay + 1)}, ""},
		"one is missing for long":                             {base, member("d", "x", "4"), nil, longMissing, "a/1 b/2 d/4* "},
		"own place with an empty disk":                        {base, member("b", "x", "7"), nil, nil, "a/1 b/7* c/3 "},
		"another claims first":                                {base, member("e", "x", "5"), []Member{member("d", "x", "4")}, longMissing, ""},
		"the first one is to be emptied":                      {base, member("f", "x", "5"), []Member{retiringMember}, longMissing, "a/1 b/2 f/5* "},
		"one is to be emptied":                                {base, member("d", "x", "4"), []Member{retiring}, nil, "a/1 b/2 d/4* "},
		"to be emptied itself":                                {base, retiringMember, nil, longMissing, ""},
		"one is to be emptied, disk lost":                     {base, member("d", "x", "4"), []Member{emptyDisk}, nil, "a/1 b/2 d/4* "},
		"one is to be emptied, the one that joins is missing": {joining, member("d", "x", "4"), []Member{first}, map[string]time.Time{"b": now.Add(-TakeoverDelay)}, "a/1 d/4* c/3 "},
		"another place is joining":                            {joining, member("d", "x", "4"), nil, longMissing, ""},
		"own disk lost while one joins":                       {joining, member("a", "x", "8"), nil, nil, "a/8* b/2* c/3 "},
		"fewer places than there may be":                      {base.Without("3"), member("d", "x", "4"), nil, nil, "a/1 b/2 d/4* "},
		"the place that is joining again":                     {joining, member("d", "x", "4"), nil, map[string]time.Time{"b": now.Add(-TakeoverDelay)}, "a/1 d/4* c/3 "},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			next, ok := c.r.Claim(now, c.self, append(c.others, c.self), c.missing, TakeoverDelay)
			is.Equal(ok, c.want != "")
			if ok {
				is.Equal(replicas(next), c.want)
				is.Equal(next.Joining(), strings.Count(c.want, "*"))
				is.Equal(next.Version, c.r.Version+1)
			}
		})
	}
}

func TestEncode(t *testing.T) {
	is := is.New(t)
	r, _ := Initial([]Member{member("a", "x", "1"), member("b", "y", "2")}, 1)
	data, err := r.WithJoined("1").WithAddress(Member{DiskID: "2", Address: "new"}).Encode()
	is.NoErr(err)
	back, err := Decode(data)
	is.NoErr(err)
	is.Equal(back.Version, uint64(3))
	is.Equal(back.Replicas[1].Address, "new")
	p, ok := back.Find("1")
	is.True(ok)
	is.Equal(p.Node, "a")
	_, err = Decode([]byte("{"))
	is.True(err != nil)
}
