package label

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
)

func TestLabelsAreBounded(t *testing.T) {
	is := is.New(t)
	var l Label
	got := map[string]bool{}
	for i := range 10 * maxValues {
		got[l.Of(fmt.Sprint(i))] = true
	}
	is.Equal(len(got), maxValues+1)
	is.Equal(l.Of("0"), "0")
	is.Equal(l.Of(fmt.Sprint(maxValues)), Others)
}
