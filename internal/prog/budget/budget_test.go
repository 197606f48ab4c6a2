package budget_test

import (
	"flag"
	"os"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/slaterock/slaterock/internal/prog/budget"
)

// TestMain fixes the seed, so that each run gives the same result.
func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// Calls hold and settle tokens, reservations are committed late, and owners
// crash, in random order. A program must never have spent more than its limit,
// nor more than the reservation in the journal.
func TestNeverExceedsReservation(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.Int64Range(1, 500).Draw(t, "limit")
		block := rapid.Int64Range(1, 100).Draw(t, "block")
		b := budget.Budget{Limit: limit}
		var held []int64
		spent := int64(0) // the actual cost, under all owners
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				n := rapid.Int64Range(1, 60).Draw(t, "hold")
				if total, more := b.NextReservation(n, block); more {
					b = b.WithRequested(total)
				}
				if n <= b.Free() && b.Fits(n) {
					b = b.WithHold(n)
					held = append(held, n)
				}
			case 1:
				b = b.WithReserved(max(b.Reserved, b.Requested))
			case 2:
				if len(held) > 0 {
					cost := rapid.Int64Range(0, held[0]).Draw(t, "cost")
					b = b.WithSettled(held[0], cost)
					spent += cost
					held = held[1:]
				}
			case 3:
				// The owner crashes: the tokens that its calls held may have
				// been spent.
				for _, n := range held {
					spent += n
				}
				held = nil
				b = b.Recovered()
			}
			if spent > limit || spent > b.Spent || b.Spent+b.Held > b.Reserved || b.Reserved > limit {
				t.Fatalf("spent %d: %+v", spent, b)
			}
		}
	})
}

func TestNextReservation(t *testing.T) {
	tests := map[string]struct {
		b     budget.Budget
		n     int64
		total int64
		more  bool
	}{
		"nothing reserved":      {budget.Budget{Limit: 1000}, 50, 150, true},
		"reserved with a block": {budget.Budget{Limit: 1000, Reserved: 150}, 50, 150, false},
		"asked already":         {budget.Budget{Limit: 1000, Requested: 150}, 50, 150, false},
		"up to the limit":       {budget.Budget{Limit: 120, Reserved: 100, Spent: 60}, 50, 120, true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			total, more := tt.b.NextReservation(tt.n, 100)
			is.Equal(total, tt.total)
			is.Equal(more, tt.more)
		})
	}
}

func BenchmarkTurn(b *testing.B) {
	w := budget.Budget{Limit: 1 << 60}
	b.ReportAllocs()
	for b.Loop() {
		total, _ := w.NextReservation(100, 8192)
		w = w.WithRequested(total).WithReserved(total)
		if !w.Fits(100) {
			b.Fatal("not reserved")
		}
		w = w.WithHold(100).WithSettled(100, 60)
	}
}
