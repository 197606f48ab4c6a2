package setup

import (
	"os"
	"testing"

	"github.com/matryer/is"
)

func TestExample(t *testing.T) {
	is := is.New(t)
	text, err := os.ReadFile("../../../examples/daemon.ini")
	is.NoErr(err)
	s, err := Parse("daemon.ini", text)
	is.NoErr(err)
	is.Equal(len(s.Peers.Seeds), 3)
}
