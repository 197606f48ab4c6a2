package boot_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/slaterock/slaterock/internal/fake/keyval"
	"github.com/slaterock/slaterock/internal/prog/record"
	"github.com/slaterock/slaterock/internal/prog/state"
	"github.com/slaterock/slaterock/internal/shard/snapio"
)

// tailEntries is about the most that a takeover finds after the newest snapshot.
const tailEntries = 256

// BenchmarkTakeover measures a takeover with a snapshot of n programs and
// tailEntries journal entries after it, from a store in memory.
func BenchmarkTakeover(b *testing.B) {
	for _, n := range []int{100, 1000, 2500, 5000, 10000, 20000} {
		b.Run(fmt.Sprintf("programs=%d", n), func(b *testing.B) {
			is := is.New(b)
			st := &keyval.Store{}
			f := state.Fold{Epoch: 1}
			for i := range n {
				is.NoErr(f.Apply(1, open(fmt.Sprint("p", i))))
				is.NoErr(f.Apply(1, ended(fmt.Sprint("p", i), 0)))
			}
			s := snapio.Snap{Store: st, Shard: 2, Epoch: 1}
			_, err := s.Save(ctx, f.Clone())
			is.NoErr(err)
			for i := range tailEntries {
				writeEntry(b, st, uint64(i+2), 1, ended(fmt.Sprint("p", i%n), 1), record.Reserved{Program: fmt.Sprint("p", i%n), Total: 60})
			}
			before := st.Counts()
			for b.Loop() {
				_, err := newTakeover(st, "a", uint64(b.N)).Acquire(ctx)
				is.NoErr(err)
			}
			after := st.Counts()
			b.ReportMetric(float64(after.Reads-before.Reads)/float64(b.N), "reads/op")
			b.ReportMetric(float64(after.Writes-before.Writes)/float64(b.N), "writes/op")
		})
	}
}
