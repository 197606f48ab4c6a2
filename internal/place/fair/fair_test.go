package fair

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against an order that is not by priority first, then by turns in flight for the
// account's weight, then newest first.
func TestOrder(t *testing.T) {
	is := is.New(t)
	running := map[string]int{"a": 4, "b": 3, "c": 9}
	var q Queue
	for i, p := range []Program{
		{Priority: 1, Account: "none"}, {Account: "a"}, {Account: "b"}, {Account: "c", Weight: 4}, {Account: "c", Weight: 4}, {Account: "a"},
	} {
		p.Ticket = uint64(i)
		q.Add(p, running)
	}
	q.Update(running)
	is.Equal(q.Ahead(0, 3.5), 3) // both of c, which has 9/4, and b
	is.Equal(q.Ahead(1, 0), 5)
	is.True(q.Remove(1))
	order := []uint64{}
	for q.Len() > 0 {
		urgent, _ := q.Urgent()
		order = append(order, q.Pop(urgent))
	}
	is.Equal(order, []uint64{4, 3, 2, 5, 0})
}

// Guards against an account that is held back although it asks for no more than others, or
// has less than an equal share.
func TestOver(t *testing.T) {
	is := is.New(t)
	var s Shares
	now := time.UnixMilli(1_000_000)
	for range 50 {
		now = now.Add(100 * time.Millisecond)
		s.Observe(now, map[string]int{"much": 40, "usual": 10, "heavy": 30, "few": 1}, map[string]float64{"heavy": 3})
		for account, n := range map[string]int{"much": 20, "usual": 1, "heavy": 3, "few": 2} {
			for range n {
				s.Ask(now, account, map[string]float64{"heavy": 3}[account])
			}
		}
	}
	is.True(!s.Over("usual", 1))
	is.True(!s.Over("heavy", 3))
	is.True(!s.Over("few", 1))
	is.True(s.Over("much", 1))
}
