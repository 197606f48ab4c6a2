package file

import (
	"os"
	"testing"

	"github.com/matryer/is"
)

func TestDevExample(t *testing.T) {
	is := is.New(t)
	text, err := os.ReadFile("../../../examples/dev.ini")
	is.NoErr(err)
	f, err := Parse("dev.ini", text)
	is.NoErr(err)
	name, a, ok := f.Authenticate("dev.secret")
	is.True(ok && a.Operator)
	is.Equal(name, "dev")
}
