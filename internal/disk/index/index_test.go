package index

import (
	"math/rand/v2"
	"sort"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/slaterock/slaterock/internal/disk/seglog"
)

var start = time.UnixMilli(1_000_000)

func reserve(program, attempt string, maxTokens int) Record {
	return Record{Program: program, Attempt: attempt, Reserved: true, MaxTokens: maxTokens, TTL: 60_000}
}

func settle(program, attempt string, spent int) Record {
	return Record{Program: program, Attempt: attempt, Settled: true, Spent: spent, TTL: 60_000}
}

func turnOf(attempt, previous string) Record {
	return Record{Attempt: attempt, TTL: 60_000, Turn: &Turn{Previous: previous}}
}

// expire removes what a replica forgets that has nobody to ask.
func expire(ix *Index, now time.Time) {
	for _, name := range ix.Expired(now, len(ix.programs)) {
		ix.Remove(name, now)
	}
	ix.ExpireAwaited(now)
}

func pos(n int64) seglog.Pos { return seglog.Pos{Segment: 1, Offset: n} }

func TestRecordRoundTrip(t *testing.T) {
	is := is.New(t)
	r := settle("p", "a", 30)
	r.Turn = &Turn{Previous: "b", Input: []byte{0, 255}, Output: []byte("x\n"), Upstream: "i", Tokens: 30}
	data, err := r.Encode()
	is.NoErr(err)
	back, err := Decode(data)
	is.NoErr(err)
	is.Equal(back, r)
	_, err = Decode([]byte("spoilt"))
	is.True(err != nil)
}

// Replicas get records in different orders, some twice. If their states differed, a
// program could exceed its budget after one replica was lost.
func TestRecordsCommute(t *testing.T) {
	records := []Record{
		reserve("p", "a", 100), settle("p", "a", 30), reserve("p", "b", 100), reserve("p", "c", 50), settle("p", "c", 0), settle("p", "a", 30),
	}
	want := []Charge{{Attempt: "a", Tokens: 30, Settled: true, Front: "f"}, {Attempt: "b", Tokens: 100}, {Attempt: "c", Settled: true}}
	records[0].Run = &Run{Front: "f"}
	rnd := rand.New(rand.NewPCG(1, 1))
	for range 200 {
		var ix Index
		for _, i := range rnd.Perm(len(records)) {
			ix.Apply(records[i], pos(1), start)
		}
		list := ix.Charges("p")
		sort.Slice(list, func(i, j int) bool { return list[i].Attempt < list[j].Attempt })
		is.New(t).Equal(list, want)
	}
}

func TestWithinBudget(t *testing.T) {
	cases := map[string]struct {
		charges []Charge
		budget  int
		want    bool
	}{
		"none":         {nil, 0, true},
		"exactly":      {[]Charge{{Attempt: "a", Tokens: 60, Settled: true}, {Attempt: "b", Tokens: 40}}, 100, true},
		"one too many": {[]Charge{{Attempt: "a", Tokens: 61, Settled: true}, {Attempt: "b", Tokens: 40}}, 100, false},
		"at its most":  {[]Charge{{Attempt: "a", Tokens: 80}, {Attempt: "b", Tokens: 40}}, 100, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) { is.New(t).Equal(WithinBudget(c.charges, c.budget), c.want) })
	}
}

func TestChain(t *testing.T) {
	is := is.New(t)
	var ix Index
	ix.Apply(turnOf("1", ""), pos(1), start)
	ix.Apply(turnOf("3", "2"), pos(3), start)
	list, next := ix.Chain("3")
	is.Equal(list, []seglog.Pos{pos(3)})
	is.Equal(next, "2") // reported as missing, not as the end of the chain
	ix.Apply(turnOf("2", "1"), pos(2), start)
	list, next = ix.Chain("3")
	is.Equal(list, []seglog.Pos{pos(3), pos(2), pos(1)})
	is.Equal(next, "")
	list, next = ix.Chain("4")
	is.Equal(len(list), 0)
	is.Equal(next, "4")
}

// A program pauses for long between its turns. The previous turns must be retained as
// long as the last one; otherwise the conversation can't be continued.
func TestChainExpiresWithItsLastTurn(t *testing.T) {
	is := is.New(t)
	var ix Index
	ix.Apply(turnOf("1", ""), pos(1), start)
	later := start.Add(50 * time.Second)
	ix.Apply(turnOf("2", "1"), pos(2), later)
	expire(&ix, start.Add(60*time.Second+ClockSlack+time.Second))
	_, next := ix.Chain("2")
	is.Equal(next, "")
	expire(&ix, later.Add(60*time.Second+ClockSlack+time.Second))
	_, turns := ix.Len()
	is.Equal(turns, 0)
}

// Guards against an old turn that is read after the turns that continue it, as from a copy at the end of the log,
// and expires at once.
func TestChainIsRetainedInAnyOrder(t *testing.T) {
	var records []Record
	for i, id := range []string{"1", "2", "3", "4"} {
		r := turnOf(id, "")
		r.At = start.Add(time.Duration(i) * 50 * time.Second).UnixMilli()
		if i > 0 {
			r.Turn.Previous = records[i-1].Attempt
		}
		records = append(records, r)
	}
	last := start.Add(150 * time.Second)
	rnd := rand.New(rand.NewPCG(1, 2))
	for range 100 {
		is := is.New(t)
		var ix Index
		for _, i := range rnd.Perm(len(records)) {
			ix.Apply(records[i], pos(int64(i)), last)
		}
		expire(&ix, last.Add(60*time.Second+ClockSlack))
		list, next := ix.Chain("4")
		is.Equal(len(list), 4)
		is.Equal(next, "")
		expire(&ix, last.Add(60*time.Second+ClockSlack+time.Second))
		programs, turns := ix.Len()
		is.Equal(programs+turns+len(ix.awaited), 0)
	}
}

// All records are read again after a restart. That must not extend their retention, or a
// VM that restarts often would fill its disk.
func TestExpiryCountsFromRecordTime(t *testing.T) {
	is := is.New(t)
	var ix Index
	r := reserve("p", "a", 1)
	r.At = start.UnixMilli()
	ix.Apply(r, pos(1), start.Add(time.Minute))
	expire(&ix, start.Add(time.Minute+ClockSlack+time.Second))
	programs, _ := ix.Len()
	is.Equal(programs, 0)
}

func TestLastUpstream(t *testing.T) {
	cases := map[string]struct {
		charges []Charge
		want    string
	}{
		"nothing ran":            {[]Charge{{Attempt: "a", Tokens: 3}}, ""},
		"the session's newest":   {[]Charge{{Upstream: "u", Session: "s", At: 1}, {Upstream: "v", Session: "s", At: 2}, {Upstream: "w", Session: "t", At: 3}}, "v"},
		"its parent's otherwise": {[]Charge{{Upstream: "u", Session: "t", At: 2}, {Upstream: "v", Session: "r", At: 1}}, "u"},
		"own, although older":    {[]Charge{{Upstream: "u", Session: "t", At: 9}, {Upstream: "v", Session: "s", At: 1}}, "v"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) { is.New(t).Equal(LastUpstream(c.charges, "s"), c.want) })
	}
}

// Guards against a claim that a joining replica does not copy, or that is dropped with its segment.
func TestClaims(t *testing.T) {
	claim := Record{Program: "r", Attempt: "t3", Needs: []string{"r", "p", "q"}, TTL: 180_000}
	done := Record{Program: "r", Attempt: "t3", Needs: []string{"p", "q"}, TTL: 90_000, Turn: &Turn{Previous: "t2"}}
	late := start.Add(2 * time.Minute)
	cases := map[string]struct {
		records []Record
		has     bool
		live    bool                     // two minutes later
		until   map[string]time.Duration // retained, without ClockSlack
	}{
		"none":               {nil, false, false, map[string]time.Duration{"p": 0, "r": 0}},
		"claim":              {[]Record{claim}, true, true, map[string]time.Duration{"p": 180 * time.Second, "q": 180 * time.Second, "r": 180 * time.Second}},
		"beside reservation": {[]Record{reserve("r", "t3", 10)}, false, false, map[string]time.Duration{"p": 0, "r": time.Minute}},
		"its turn":           {[]Record{done}, true, false, map[string]time.Duration{"p": 90 * time.Second, "r": 90 * time.Second}},
		"turn of its own":    {[]Record{done, turnOf("p", "")}, true, false, map[string]time.Duration{"p": 90 * time.Second}},
		"settled":            {[]Record{reserve("r", "t3", 10), claim, settle("r", "t3", 3)}, true, true, map[string]time.Duration{"r": 180 * time.Second}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var ix Index
			for _, r := range c.records {
				ix.Apply(r, pos(1), start)
			}
			is.Equal(ix.Has(claim), c.has)
			for program, until := range c.until {
				want := time.Time{}
				if until > 0 {
					want = start.Add(until + ClockSlack)
				}
				is.Equal(ix.RetainedUntil(program), want)
			}
			expire(&ix, late)
			is.Equal(ix.Live(claim, pos(1)), c.live)
		})
	}
}
