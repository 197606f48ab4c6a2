package boot_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/slaterock/slaterock/internal/fake/keyval"
	"github.com/slaterock/slaterock/internal/plat/store"
	"github.com/slaterock/slaterock/internal/prog/call"
	"github.com/slaterock/slaterock/internal/prog/hist"
	"github.com/slaterock/slaterock/internal/prog/record"
	"github.com/slaterock/slaterock/internal/prog/result"
	"github.com/slaterock/slaterock/internal/prog/state"
	"github.com/slaterock/slaterock/internal/shard/boot"
	"github.com/slaterock/slaterock/internal/shard/histio"
	"github.com/slaterock/slaterock/internal/shard/jrnl"
	"github.com/slaterock/slaterock/internal/shard/snapio"
)

var (
	ctx = context.Background()
	at  = time.Unix(1_800_000_000, 0).UTC()
)

func newTakeover(st store.Store, name string, seed uint64) boot.Takeover {
	return boot.Takeover{Store: st, Shard: 2, Owner: name, Rand: func() uint64 { seed++; return seed }, Now: func() time.Time { return at }}
}

// writeEntry creates an entry as the owner of an epoch would.
func writeEntry(t testing.TB, st store.Store, n, epoch uint64, rs ...record.Record) {
	t.Helper()
	is := is.New(t)
	e := record.Entry{Shard: 2, Number: n, Epoch: epoch, Nonce: n * 1000}
	for i, r := range rs {
		us, err := record.Units(r, uint64(i))
		is.NoErr(err)
		e.Units = append(e.Units, us...)
	}
	data, err := e.Encode()
	is.NoErr(err)
	_, err = st.Put(ctx, jrnl.Key(2, n), data, 0, 0)
	is.NoErr(err)
}

func open(program string) record.Record {
	return record.Opened{Open: call.Open{Program: program, Account: "x"}, Budget: 100, Reserved: 50, At: at}
}

func ended(program string, number int) record.Record {
	c := hist.Call{Request: fmt.Sprint(program, "-", number), Number: number, Result: result.Result{Code: result.CodeOK, Body: []byte("answer")}}
	return record.Ended{Program: program, Call: c, Tokens: 5, Final: true, InOrder: true}
}

func closed(program string) record.Record {
	return record.Closed{Program: program, Code: "finished", At: at}
}

// The creation of an epoch's first entry can fail or lose its answer. Two owners
// of a shard would run its programs twice; without one, their callers would get no
// answer.
func TestTakeover(t *testing.T) {
	tests := map[string]struct {
		faults map[int]keyval.Fault // by write
		fails  bool
		next   uint64 // of a second, clean takeover
	}{
		"clean":                {nil, false, 4},
		"acknowledgement lost": {map[int]keyval.Fault{1: keyval.LoseAck}, false, 4},
		"write lost":           {map[int]keyval.Fault{1: keyval.LoseWrite}, true, 3},
		"store down":           {map[int]keyval.Fault{1: keyval.Unavailable}, true, 3},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			st := &keyval.Store{}
			writeEntry(t, st, 1, 1, record.Acquired{Epoch: 1, Owner: "old"}, open("p"))
			v := st.Client("a")
			v.ScriptFaults(keyval.Writes, tt.faults)
			got, err := newTakeover(v, "a", 1).Acquire(ctx)
			is.Equal(err != nil, tt.fails)
			if err == nil {
				is.Equal(got.Epoch, uint64(2))
				is.Equal(got.Next, uint64(3))
				is.Equal(got.Fold.Owner, "a")
			}
			second, err := newTakeover(st.Client("b"), "b", 50).Acquire(ctx)
			is.NoErr(err)
			is.Equal(second.Next, tt.next)
			is.Equal(second.Fold.Programs["p"].Reserved, int64(50))
		})
	}
}

// A former owner writes an entry during the takeover. Its records are in the
// journal, so callers may have received them; the new owner must have them too.
func TestFormerOwnerWritesLast(t *testing.T) {
	is := is.New(t)
	st := &keyval.Store{}
	writeEntry(t, st, 1, 1, record.Acquired{Epoch: 1, Owner: "old"}, open("p"))
	race := &putHook{Store: st, key: jrnl.Key(2, 2), do: func() { writeEntry(t, st, 2, 1, ended("p", 0)) }}
	got, err := newTakeover(race, "a", 1).Acquire(ctx)
	is.NoErr(err)
	is.Equal(got.Next, uint64(4))
	is.Equal(got.Fold.Programs["p"].Next, 1)
}

// putHook runs do just before the key is first written.
type putHook struct {
	store.Store
	key string
	do  func()
}

func (r *putHook) Put(ctx context.Context, key string, data []byte, rev store.Rev, l store.Lease) (store.Rev, error) {
	if key == r.key && r.do != nil {
		do := r.do
		r.do = nil
		do()
	}
	return r.Store.Put(ctx, key, data, rev, l)
}

// A journal entry is damaged. The takeover must fail with a CorruptError; a shard
// that starts without some of its programs would look healthy.
func TestDamagedEntryStopsTheTakeover(t *testing.T) {
	is := is.New(t)
	st := &keyval.Store{}
	writeEntry(t, st, 1, 1, record.Acquired{Epoch: 1, Owner: "old"}, open("p"))
	_, err := st.Put(ctx, jrnl.Key(2, 2), []byte("not an entry"), 0, 0)
	is.NoErr(err)
	_, err = newTakeover(st, "a", 1).Acquire(ctx)
	var c *record.CorruptError
	is.True(errors.As(err, &c))
}

// Any write of a snapshot can fail or lose its answer. An entry that is written
// after the state was read is not in the snapshot. After each fault a takeover
// must find the same programs as from the journal alone, and the histories of
// ended programs and their children must be found.
func TestSnapshotFaults(t *testing.T) {
	type fault struct {
		at   int
		kind keyval.Fault
	}
	for _, kind := range []keyval.Fault{keyval.None, keyval.Unavailable, keyval.LoseAck, keyval.LoseWrite} {
		for n := 1; n <= 4; n++ {
			f := fault{n, kind}
			t.Run(fmt.Sprintf("fault %d at write %d", f.kind, f.at), func(t *testing.T) {
				is := is.New(t)
				st := &keyval.Store{}
				writeEntry(t, st, 1, 1, record.Acquired{Epoch: 1, Owner: "a"}, open("live"), open("gone"), open("gone/child"))
				writeEntry(t, st, 2, 1, ended("live", 0), ended("gone/child", 0), closed("gone/child"), closed("gone"))
				v := st.Client("a")
				took, err := newTakeover(v, "a", 1).Acquire(ctx)
				is.NoErr(err)
				writeEntry(t, st, 4, 2, ended("live", 1))
				v.ScriptFaults(keyval.Writes, map[int]keyval.Fault{f.at: f.kind})
				_, err = took.Snap.Save(ctx, took.Fold.Clone())
				v.ScriptFaults(keyval.Any, nil)
				if err != nil {
					_, err = took.Snap.Save(ctx, took.Fold.Clone()) // a snapshot without faults
					is.NoErr(err)
				}
				checkTakeover(t, st)
			})
		}
	}
}

func checkTakeover(t *testing.T, st store.Store) {
	t.Helper()
	is := is.New(t)
	got, err := newTakeover(st, "b", 90).Acquire(ctx)
	is.NoErr(err)
	is.Equal(got.EntriesRead, 1) // the snapshot covers the others
	is.Equal(len(got.Fold.Programs), 1)
	is.Equal(got.Fold.Programs["live"].Next, 2)
	at, ok := got.Fold.Gone[state.Hash("gone")]
	is.True(ok)
	g, err := snapio.Find(ctx, st, 2, at, state.Hash("gone"))
	is.NoErr(err)
	hs, err := histio.Reader{Store: st, Shard: 2}.Histories(ctx, g.Programs, nil)
	is.NoErr(err)
	is.Equal(len(hs), 2)
	is.Equal(hs[0].Program, "gone")
	is.Equal(hs[1].Calls[0].Request, "gone/child-0")
}

// The former owner of a shard, which has not noticed the takeover, writes a
// snapshot after the new owner's. It must be refused, or the shard would return
// to an old state.
func TestTwoSnapshotWriters(t *testing.T) {
	is := is.New(t)
	st := &keyval.Store{}
	writeEntry(t, st, 1, 1, record.Acquired{Epoch: 1, Owner: "x"}, open("p"))
	old, err := newTakeover(st, "old", 1).Acquire(ctx)
	is.NoErr(err)
	fresh, err := newTakeover(st, "fresh", 70).Acquire(ctx)
	is.NoErr(err)
	_, err = fresh.Snap.Save(ctx, fresh.Fold.Clone())
	is.NoErr(err)
	_, err = old.Snap.Save(ctx, old.Fold.Clone())
	var c *store.ConflictError
	is.True(errors.As(err, &c))
	got, err := newTakeover(st, "b", 90).Acquire(ctx)
	is.NoErr(err)
	is.Equal(got.Epoch, uint64(4))
}

// Thousands of programs don't fit into one value. A snapshot must be split into
// values within the store's size limit.
func TestSnapshotOfManyPrograms(t *testing.T) {
	is := is.New(t)
	st := &keyval.Store{}
	f := state.Fold{Epoch: 1}
	for i := range 3000 {
		is.NoErr(f.Apply(1, open(fmt.Sprint("live", i))))
		gone := fmt.Sprint("gone", i)
		is.NoErr(f.Apply(1, open(gone)))
		is.NoErr(f.Apply(1, closed(gone)))
	}
	s := snapio.Snap{Store: st, Shard: 2, Epoch: 1}
	_, err := s.Save(ctx, f.Clone())
	is.NoErr(err)
	is.True(len(s.Head.Parts) > 1)
	loaded := snapio.Snap{Store: st, Shard: 2}
	got, err := loaded.Load(ctx)
	is.NoErr(err)
	is.Equal(len(got.Programs), 3000)
	is.Equal(len(got.Gone), 3000)
}
