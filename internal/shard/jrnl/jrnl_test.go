package jrnl_test

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/slaterock/slaterock/internal/prog/call"
	"github.com/slaterock/slaterock/internal/prog/hist"
	"github.com/slaterock/slaterock/internal/prog/record"
	"github.com/slaterock/slaterock/internal/prog/result"
	"github.com/slaterock/slaterock/internal/shard/jrnl"
)

var start = time.Unix(1_800_000_000, 0)

func newWriter() *jrnl.Writer {
	seed := uint64(0)
	return &jrnl.Writer{Shard: 3, Epoch: 7, Owner: "a", Next: 5, Rand: func() uint64 { seed++; return seed }}
}

func add(t *testing.T, w *jrnl.Writer, program string) uint64 {
	t.Helper()
	seq, err := w.Add(record.Closed{Program: program, Code: "finished"})
	is.New(t).NoErr(err)
	return seq
}

// entry returns the entry that the writer would find if it read its Create back.
func entry(t *testing.T, e jrnl.Effect) record.Entry {
	t.Helper()
	got, err := record.Decode(e.(jrnl.Create).Data)
	is.New(t).NoErr(err)
	return got
}

// A creation can be refused, and its answer can be lost or late. Handled wrongly,
// a record would be missing from a history or be there twice, or a daemon would
// give up a shard that it owns.
func TestCreationEnds(t *testing.T) {
	foreign := record.Entry{Shard: 3, Number: 5, Epoch: 8, Nonce: 99, Owner: "b"}
	tests := map[string]struct {
		answers func(own record.Entry) []jrnl.Message
		want    string // kinds of the effects that follow, in order
	}{
		"created": {func(record.Entry) []jrnl.Message {
			return []jrnl.Message{jrnl.CreateDone{Number: 5, Outcome: jrnl.Created}}
		}, "committed"},
		"acknowledgement lost, entry is ours": {func(own record.Entry) []jrnl.Message {
			return []jrnl.Message{jrnl.CreateDone{Number: 5, Outcome: jrnl.Unknown}, jrnl.Tick{}, jrnl.Found{Entry: own}}
		}, "read committed"},
		"acknowledgement lost, entry is another's": {func(record.Entry) []jrnl.Message {
			return []jrnl.Message{jrnl.CreateDone{Number: 5, Outcome: jrnl.Unknown}, jrnl.Tick{}, jrnl.Found{Entry: foreign}}
		}, "read fenced"},
		"acknowledgement lost, entry is absent": {func(record.Entry) []jrnl.Message {
			return []jrnl.Message{jrnl.CreateDone{Number: 5, Outcome: jrnl.Unknown}, jrnl.Tick{}, jrnl.Absent{Number: 5}}
		}, "read create"},
		"reading back fails too": {func(own record.Entry) []jrnl.Message {
			return []jrnl.Message{jrnl.CreateDone{Number: 5, Outcome: jrnl.Unknown}, jrnl.Tick{}, jrnl.ReadFailed{Number: 5}, jrnl.Tick{}, jrnl.Found{Entry: own}}
		}, "read read committed"},
		"an earlier attempt landed late": {func(own record.Entry) []jrnl.Message {
			return []jrnl.Message{jrnl.CreateDone{Number: 5, Outcome: jrnl.Exists}, jrnl.Found{Entry: own}}
		}, "read committed"},
		"another owner was first": {func(record.Entry) []jrnl.Message {
			return []jrnl.Message{jrnl.CreateDone{Number: 5, Outcome: jrnl.Exists}, jrnl.Found{Entry: foreign}}
		}, "read fenced"},
		"same nonce in another epoch": {func(own record.Entry) []jrnl.Message {
			own.Epoch++
			return []jrnl.Message{jrnl.CreateDone{Number: 5, Outcome: jrnl.Exists}, jrnl.Found{Entry: own}}
		}, "read fenced"},
		"store down": {func(record.Entry) []jrnl.Message {
			return []jrnl.Message{jrnl.CreateDone{Number: 5, Outcome: jrnl.Unavailable}, jrnl.Tick{}}
		}, "create"},
		"an old answer comes late": {func(record.Entry) []jrnl.Message {
			return []jrnl.Message{jrnl.CreateDone{Number: 4, Outcome: jrnl.Created}, jrnl.Found{Entry: record.Entry{Number: 4}}}
		}, ""},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w := newWriter()
			add(t, w, "p")
			now := start
			effs := w.Step(now, jrnl.Tick{})
			is.Equal(kinds(effs), "create")
			own := entry(t, effs[0])
			var got []string
			for _, m := range tt.answers(own) {
				now = now.Add(5 * time.Second)
				for _, e := range w.Step(now, m) {
					if k, ok := e.(jrnl.Create); ok {
						is.Equal(k.Data, effs[0].(jrnl.Create).Data) // the same bytes each time
					}
					got = append(got, kinds([]jrnl.Effect{e}))
				}
			}
			is.Equal(strings.Join(got, " "), tt.want)
		})
	}
}

func kinds(effs []jrnl.Effect) string {
	var out []string
	for _, e := range effs {
		switch e.(type) {
		case jrnl.Create:
			out = append(out, "create")
		case jrnl.Read:
			out = append(out, "read")
		case jrnl.Committed:
			out = append(out, "committed")
		case jrnl.Fenced:
			out = append(out, "fenced")
		}
	}
	return strings.Join(out, " ")
}

// Records added while a write is in flight must all be in the next entry, in
// order. It must not be sent before the interval has passed that keeps the shard
// within its share of the store's writes.
func TestGroupCommit(t *testing.T) {
	is := is.New(t)
	w := newWriter()
	w.Interval = time.Second
	add(t, w, "p0")
	first := w.Step(start, jrnl.Tick{})
	for _, p := range []string{"p1", "p2", "p3"} {
		add(t, w, p)
		is.Equal(len(w.Step(start, jrnl.Tick{})), 0) // one write in flight
	}
	effs := w.Step(start, jrnl.CreateDone{Number: 5, Outcome: jrnl.Created})
	is.Equal(effs, []jrnl.Effect{jrnl.Committed{Number: 5, Seq: 1, RecordBoundary: true}})
	is.Equal(len(w.Step(start.Add(999*time.Millisecond), jrnl.Tick{})), 0)
	effs = w.Step(start.Add(time.Second), jrnl.Tick{})
	is.Equal(kinds(effs), "create")
	is.Equal(len(entry(t, first[0]).Units), 1)
	is.Equal(len(entry(t, effs[0]).Units), 3)
	is.Equal(entry(t, effs[0]).Number, uint64(6))
}

// A record larger than an entry, such as a call with a long text, is split over
// several entries and must be joined without change.
func TestLargeRecord(t *testing.T) {
	is := is.New(t)
	w := newWriter()
	// Random bytes don't compress, which is the worst case.
	body := make([]byte, 3<<20)
	x := uint64(1)
	for i := range body {
		x = x*6364136223846793005 + 1442695040888963407
		body[i] = byte(x >> 56)
	}
	big := record.Ended{Program: "p", Call: hist.Call{Kind: call.Service, Result: result.Result{Body: body}}}
	_, err := w.Add(big)
	is.NoErr(err)
	add(t, w, "q")
	var j record.Reassembler
	var got []record.Record
	effs := w.Step(start, jrnl.Tick{})
	for n := 0; len(effs) > 0 && n < 20; n++ {
		e := effs[len(effs)-1].(jrnl.Create)
		is.True(len(e.Data) <= 1<<20) // the size limit of the store's values
		ent, err := record.Decode(e.Data)
		is.NoErr(err)
		rs, err := j.Records(ent)
		is.NoErr(err)
		got = append(got, rs...)
		effs = w.Step(start, jrnl.CreateDone{Number: ent.Number, Outcome: jrnl.Created})
		if kinds(effs) == "committed" {
			break
		}
	}
	is.Equal(len(got), 2)
	is.Equal(got[0].(record.Ended).Call.Result.Body, body)
	is.True(w.Idle())
}

// A caller gives up a call whose intent is queued behind the write in flight. If
// the intent can be withdrawn, the call certainly never runs; once it has been
// sent to the store, this is unknown.
func TestWithdraw(t *testing.T) {
	is := is.New(t)
	w := newWriter()
	first := add(t, w, "p0")
	w.Step(start, jrnl.Tick{})
	second := add(t, w, "p1")
	is.True(!w.Withdraw(first)) // sent already
	is.True(w.Withdraw(second))
	is.True(!w.Withdraw(second))
	is.Equal(kinds(w.Step(start, jrnl.CreateDone{Number: 5, Outcome: jrnl.Created})), "committed")
	is.True(w.Idle())
}

// The store recovers from an outage. The owners of all shards must not write at
// the same moment, and none may wait much longer than needed.
func TestBackoffSpreads(t *testing.T) {
	is := is.New(t)
	seen := map[time.Duration]int{}
	for shard := range 64 {
		seed := uint64(shard) * 7919
		w := &jrnl.Writer{Shard: shard, Next: 1, Rand: func() uint64 { seed = seed*6364136223846793005 + 1; return seed >> 20 }}
		add(t, w, "p")
		now := start
		effs := w.Step(now, jrnl.Tick{})
		for now.Sub(start) < time.Minute {
			if len(effs) > 0 {
				effs = w.Step(now, jrnl.CreateDone{Number: 1, Outcome: jrnl.Unavailable})
			}
			now = now.Add(20 * time.Millisecond)
			effs = append(effs, w.Step(now, jrnl.Tick{})...)
		}
		for len(effs) == 0 {
			now = now.Add(20 * time.Millisecond)
			effs = w.Step(now, jrnl.Tick{})
		}
		seen[now.Sub(start).Truncate(100*time.Millisecond)]++
		is.True(now.Sub(start) < time.Minute+4*time.Second)
	}
	most := 0
	for _, n := range seen {
		most = max(most, n)
	}
	is.True(most <= 16) // of 64 in any tenth of a second
}
