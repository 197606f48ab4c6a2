package queue

import (
	"testing"

	"github.com/matryer/is"
)

func TestKeyOrders(t *testing.T) {
	tests := map[string]struct{ first, second float64 }{
		"earlier arrival":              {Key(1, 0, 0, 0), Key(2, 0, 0, 0)},
		"priority before arrival":      {Key(20, 1, 0, 0), Key(1, 0, 0, 0)},
		"priority before service":      {Key(1, 1, 1<<40, 0), Key(1, 0, 0, 0)},
		"less service":                 {Key(1, 0, 1000, 0), Key(1, 0, 50_000, 0)},
		"account with less":            {Key(1, 0, 0, 0), Key(1, 0, 0, 5)},
		"age overtakes priority":       {Key(0, 0, 0, 0), Key(31, 1, 0, 0)},
		"age overtakes all":            {Key(0, -maxPriority, 1<<40, 0), Key(700, maxPriority, 0, 0)},
		"priorities have bounds":       {Key(0, 0, 0, 0), Key(400, 1<<30, 0, 0)},
		"negative service counts none": {Key(1, 0, -5, 0), Key(2, 0, 0, 0)},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is.New(t).True(tt.first < tt.second)
		})
	}
}

func TestPushKeepsOrderAndBound(t *testing.T) {
	tests := map[string]struct {
		items []Item
		limit int
		order []int32 // after all pushes
		out   []int32 // dropped
	}{
		"sorted":                 {[]Item{{ID: 1, Key: 3}, {ID: 2, Key: 1}, {ID: 3, Key: 2}}, 0, []int32{2, 3, 1}, nil},
		"equal keys in turn":     {[]Item{{ID: 1, Key: 1}, {ID: 2, Key: 1}, {ID: 3, Key: 1}}, 0, []int32{1, 2, 3}, nil},
		"the last is dropped":    {[]Item{{ID: 1, Key: 3}, {ID: 2, Key: 1}, {ID: 3, Key: 2}}, 2, []int32{2, 3}, []int32{1}},
		"newcomer is dropped":    {[]Item{{ID: 1, Key: 1}, {ID: 2, Key: 2}}, 1, []int32{1}, []int32{2}},
		"new programs before it": {[]Item{{ID: 1, Key: 1, New: true}, {ID: 2, Key: 9}, {ID: 3, Key: 8}}, 2, []int32{3, 2}, []int32{1}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var q Queue
			var out, order []int32
			for _, it := range tt.items {
				if d, ok := q.Push(it, tt.limit); ok {
					out = append(out, d.ID)
				}
			}
			for i := range q.Len() {
				order = append(order, q.At(i).ID)
			}
			is.Equal(out, tt.out)
			is.Equal(order, tt.order)
		})
	}
}

func TestRemove(t *testing.T) {
	is := is.New(t)
	var q Queue
	for i := range int32(5) {
		q.Push(Item{ID: i, Key: float64(i)}, 0)
	}
	is.Equal(q.Ahead(2), 3)
	is.True(q.Remove(2))
	is.True(!q.Remove(2))
	q.RemoveAt(0)
	is.Equal(q.At(0).ID, int32(1))
	is.Equal(q.At(1).ID, int32(3))
}
