package locate

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/slaterock/slaterock/internal/edge/reqid"
	"github.com/slaterock/slaterock/internal/peer/swim"
)

func member(name, domain string, state swim.State, shards ...swim.Shard) swim.Member {
	return swim.Member{Name: name, Address: name + ":1", FailureDomain: domain, State: state, Shards: shards}
}

func fleet(n, domains int) []swim.Member {
	members := make([]swim.Member, n)
	for i := range members {
		members[i] = member(fmt.Sprintf("vm%d", i), fmt.Sprintf("fd%d", i%domains), swim.Alive)
	}
	return members
}

func TestSubAgentsShareShard(t *testing.T) {
	is := is.New(t)
	is.Equal(Shard("round-7/receipts/b", 16), Shard("round-7", 16))
	is.Equal(Shard("round-7", 0), 0)
	for i := range 100 {
		program := fmt.Sprintf("round-%d", i)
		got, ok := RequestShard(reqid.New(program, i).String(), 16)
		is.True(ok)
		is.Equal(got, Shard(program, 16))
	}
	_, ok := RequestShard("whatever", 16)
	is.True(!ok)
}

// A daemon that was paused still claims a shard that another has taken over, or the
// owner is draining or down. Owner must return the latest claim, and no daemon that
// is down: a request sent to the wrong daemon is refused and has to be retried.
func TestOwner(t *testing.T) {
	own := func(epoch uint64) swim.Shard { return swim.Shard{Shard: 3, Epoch: epoch} }
	tests := map[string]struct {
		members []swim.Member
		owner   string
	}{
		"one claim":              {[]swim.Member{member("a", "x", swim.Alive, own(1)), member("b", "x", swim.Alive)}, "a"},
		"stale claim":            {[]swim.Member{member("a", "x", swim.Alive, own(4)), member("b", "x", swim.Alive, own(5))}, "b"},
		"stale claim, reversed":  {[]swim.Member{member("b", "x", swim.Alive, own(5)), member("a", "x", swim.Alive, own(4))}, "b"},
		"draining owner":         {[]swim.Member{member("a", "x", swim.Draining, own(1))}, "a"},
		"suspect owner":          {[]swim.Member{member("a", "x", swim.Suspect, own(1))}, "a"},
		"owner down":             {[]swim.Member{member("a", "x", swim.Down, own(2)), member("b", "x", swim.Alive, own(1))}, ""},
		"other shard claimed":    {[]swim.Member{member("a", "x", swim.Alive, swim.Shard{Shard: 2, Epoch: 9})}, ""},
		"nobody known":           {nil, ""},
		"epoch 0 is a claim too": {[]swim.Member{member("a", "x", swim.Alive, own(0))}, "a"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			got, found := Owner(tt.members, 3)
			is.Equal(got.Name, tt.owner)
			is.Equal(found, tt.owner != "")
		})
	}
}

// Daemons drain, hang or crash in any combination. A caller with the address of
// such a daemon waits for a connection timeout before it tries the next address.
func TestEntries(t *testing.T) {
	const shards = 8
	program := "round-7"
	own := swim.Shard{Shard: Shard(program, shards), Epoch: 1}
	tests := map[string]struct {
		members []swim.Member
		first   string   // address
		domains []string // of the first entries
		n       int
	}{
		"owner first, then other domains": {
			[]swim.Member{member("a", "x", swim.Alive), member("b", "x", swim.Alive, own), member("c", "y", swim.Alive), member("d", "z", swim.Alive)},
			"b:1", nil, 4,
		},
		"same domain comes last": {
			[]swim.Member{member("a", "x", swim.Alive, own), member("b", "x", swim.Alive), member("c", "y", swim.Alive)},
			"a:1",
			[]string{"x", "y", "x"},
			3,
		},
		"owner draining": {[]swim.Member{member("a", "x", swim.Draining, own), member("b", "y", swim.Alive)}, "b:1", nil, 1},
		"owner suspect":  {[]swim.Member{member("a", "x", swim.Suspect, own), member("b", "y", swim.Alive)}, "b:1", nil, 1},
		"owner down":     {[]swim.Member{member("a", "x", swim.Down, own), member("b", "y", swim.Alive)}, "b:1", nil, 1},
		"stale higher epoch of one that is down": {
			[]swim.Member{member("a", "x", swim.Down, swim.Shard{Shard: own.Shard, Epoch: 9}), member("b", "y", swim.Alive, own)},
			"b:1", nil, 1,
		},
		"none known": {nil, "", nil, 0},
		"none alive": {[]swim.Member{member("a", "x", swim.Suspect), member("b", "x", swim.Draining)}, "", nil, 0},
		"many":       {fleet(50, 5), "", nil, MaxEntries},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			got := Entries(tt.members, program, shards, 0)
			is.Equal(got.TTLSeconds, TTLSeconds)
			is.Equal(len(got.Entries), tt.n)
			if tt.first != "" {
				is.Equal(got.Entries[0].Address, tt.first)
			}
			for i, d := range tt.domains {
				is.Equal(got.Entries[i].FailureDomain, d)
			}
		})
	}
}

// Callers must get different first addresses, those without a program too, or one daemon is overloaded while the others are idle.
func TestEntriesSpread(t *testing.T) {
	cases := map[string]func(i int) (program string){
		"different programs": func(i int) string { return fmt.Sprintf("round-%d", i) },
		"no program":         func(int) string { return "" },
	}
	for name, program := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			members := fleet(8, 4)
			count := map[string]int{}
			const callers = 8000
			for i := range callers {
				answer := Entries(members, program(i), 16, uint64(i))
				count[answer.Entries[0].Address]++
				domains := map[string]bool{}
				for _, e := range answer.Entries[:4] {
					domains[e.FailureDomain] = true
				}
				is.Equal(len(domains), 4)
			}
			is.Equal(len(count), 8)
			for _, n := range count {
				is.True(n > callers/8*8/10 && n < callers/8*12/10) // within 20 % of an even spread
			}
		})
	}
}

func TestPreferredIsBounded(t *testing.T) {
	for _, n := range []int{1, 2, 3, 7, 8, 40, 320} {
		for _, shards := range []int{1, 8, 16, 64} {
			is := is.New(t)
			members := fleet(n, 3)
			held := map[string]int{}
			for s := range shards {
				m, ok := Preferred(members, s, shards)
				is.True(ok)
				held[m.Name]++
			}
			for _, h := range held {
				is.True(h <= (shards+n-1)/n+1)
			}
		}
	}
}

// A daemon leaves. Each shard that moves although its owner is still alive costs a
// needless takeover, during which its programs wait.
func TestPreferredMovesLittle(t *testing.T) {
	is := is.New(t)
	const shards = 64
	members := fleet(40, 10)
	before := make([]string, shards)
	for s := range shards {
		m, _ := Preferred(members, s, shards)
		before[s] = m.Name
	}
	worst := 0
	for leaving := range members {
		changed := fleet(40, 10)
		changed[leaving].State = swim.Draining
		moved := 0
		for s := range shards {
			m, _ := Preferred(changed, s, shards)
			is.True(m.Name != members[leaving].Name)
			if m.Name != before[s] && before[s] != members[leaving].Name {
				moved++
			}
		}
		worst = max(worst, moved)
	}
	is.True(worst <= 3) // of 64 shards, besides those of the daemon that left
	_, ok := Preferred([]swim.Member{member("a", "x", swim.Draining)}, 0, shards)
	is.True(!ok)
}

func BenchmarkEntries(b *testing.B) {
	members := fleet(320, 10)
	b.ReportAllocs()
	for b.Loop() {
		Entries(members, "round-7", 64, 0)
	}
}

func BenchmarkPreferred(b *testing.B) {
	members := fleet(320, 10)
	b.ReportAllocs()
	for b.Loop() {
		Preferred(members, 63, 64)
	}
}

func BenchmarkOwner(b *testing.B) {
	members := fleet(320, 10)
	for i := range 64 {
		members[i].Shards = []swim.Shard{{Shard: i, Epoch: 1}}
	}
	b.ReportAllocs()
	for b.Loop() {
		Owner(members, 63)
	}
}
