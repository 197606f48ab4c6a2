package meta

import (
	"testing"

	"github.com/matryer/is"
)

func attempt(ids ...uint64) (a Attempt) {
	for _, id := range ids {
		a.Parts = append(a.Parts, Part{ID: id, Tokens: 10})
	}
	return a
}

// Guards against a part that counts as cached behind another beginning, where engines can't use it.
func TestSharedParts(t *testing.T) {
	is := is.New(t)
	is.Equal(attempt().SharedParts("s"), nil)
	is.Equal(attempt(1).SharedParts("s"), nil) // the last part is the request's own
	a, b, c := attempt(1, 2, 9).SharedParts("s"), attempt(1, 2, 8).SharedParts("s"), attempt(3, 2, 9).SharedParts("s")
	is.Equal(a, b)
	is.Equal(len(a), 2)
	is.True(a[0].ID != c[0].ID)
	is.True(a[1].ID != c[1].ID) // the same part after another beginning
}

// Guards against engines of another service that count as holders: a program was sent to any engine
// of its own once most engines of the other one had the same part.
func TestSharedPartsDifferByService(t *testing.T) {
	is := is.New(t)
	a, b := attempt(1, 2, 9).SharedParts("a"), attempt(1, 2, 9).SharedParts("b")
	is.True(a[0].ID != b[0].ID)
	is.True(a[1].ID != b[1].ID)
}

// Guards against prompts of dozens of parts that cost a lookup for each of them.
func TestManySharedPartsAreJoined(t *testing.T) {
	is := is.New(t)
	long := make([]uint64, MaxParts)
	a := attempt(long...).SharedParts("s")
	is.Equal(len(a), maxShared)
	total := 0
	for _, p := range a {
		total += p.Tokens
	}
	is.Equal(total, 10*(MaxParts-1))
	long[MaxParts-2] = 7
	is.True(attempt(long...).SharedParts("s")[maxShared-1].ID != a[maxShared-1].ID)
}
