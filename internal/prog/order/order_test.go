package order_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/slaterock/slaterock/internal/prog/order"
)

// Calls arrive over several connections: repeated, early, or long after later
// ones ran. A wrong class would run a call out of order or twice.
func TestClassify(t *testing.T) {
	fresh := order.Order{}
	running := order.Order{Next: 3}.WithStarted(3)
	between := running.WithEnded()
	tests := map[string]struct {
		o      order.Order
		number int
		want   order.Class
	}{
		"first":                   {fresh, 0, order.Run},
		"first, early":            {fresh, 1, order.Early},
		"too far ahead":           {fresh, order.Window, order.TooFar},
		"the one under way":       {running, 3, order.Join},
		"next while one runs":     {running, 4, order.Early},
		"newest that ended":       {running, 2, order.Repeat},
		"older":                   {running, 1, order.Superseded},
		"next between two":        {between, 4, order.Run},
		"newest between two":      {between, 3, order.Repeat},
		"a call that was skipped": {between, 2, order.Superseded},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is.New(t).Equal(tt.o.Classify(tt.number), tt.want)
		})
	}
}

func BenchmarkTurn(b *testing.B) {
	var o order.Order
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		if o.Classify(i) != order.Run {
			b.Fatal("out of order")
		}
		o = o.WithStarted(i).WithEnded()
	}
}
