package owners

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

var start = time.Unix(100_000, 0)

func fronts(n int) (list []Owner) {
	for i := range n {
		list = append(list, Owner{Node: fmt.Sprint("f", i), Address: fmt.Sprint("a", i)})
	}
	return list
}

func nodes(list []Owner) (names []string) {
	for _, o := range list {
		names = append(names, o.Node)
	}
	return names
}

// Guards against fronts that ask others than were told, and against fronts that keep most of the runs.
func TestSameAtAllFrontsAndEven(t *testing.T) {
	const count, keys = 12, 12_000
	is := is.New(t)
	var a, b Table
	list := fronts(count)
	other := slices.Clone(list)
	slices.Reverse(other)
	got := map[string]int{}
	for key := range uint64(keys) {
		of := nodes(a.Of(start, list, key))
		is.Equal(of, nodes(b.Of(start, other, key)))
		is.Equal(len(of), Count)
		for _, n := range of {
			got[n]++
		}
	}
	for _, n := range got {
		is.True(n > Count*keys/count*9/10 && n < Count*keys/count*11/10)
	}
}

// Guards against a front that takes the place of one that has left, and knows of none of the runs that were told before.
func TestFrontsThatLeftKeepTheirPlaces(t *testing.T) {
	is := is.New(t)
	var table Table
	list := fronts(6)
	before := table.Of(start, list, 7)
	left := before[1].Node
	rest := slices.DeleteFunc(slices.Clone(list), func(o Owner) bool { return o.Node == left })
	for _, after := range []time.Duration{0, time.Second, leftSpan} {
		now := table.Of(start.Add(after), rest, 7)
		is.Equal(nodes(now), nodes(before))
		is.True(now[1].HasLeft())
		is.True(!now[0].HasLeft())
	}
	later := table.Of(start.Add(leftSpan+time.Second), rest, 7)
	is.Equal(len(later), Count)
	is.True(!slices.Contains(nodes(later), left))
	is.Equal(nodes(table.Of(start.Add(leftSpan+2*time.Second), list, 7)), nodes(before)) // it is back
}

// Guards against a table that takes a front that is not listed for one that keeps runs.
func TestFewFronts(t *testing.T) {
	is := is.New(t)
	for n := range Count + 1 {
		var table Table
		is.Equal(len(table.Of(start, fronts(n), 7)), n)
	}
}
