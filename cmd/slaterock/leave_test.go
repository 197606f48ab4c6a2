package main

import (
	"bytes"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/slaterock/slaterock/internal/play/chaos"
)

// Guards against requests that a front takes while it leaves and then cuts without an answer, among them ones that may not
// be repeated.
func TestLateRequestsAtAPlannedStop(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	is := is.New(t)
	t.Setenv(mainEnv, "1")
	var out bytes.Buffer
	l := chaos.Leave{
		Runner: &chaos.Runner{Seed: 1, Fronts: 2, Disks: 3, Upstreams: 6, Command: []string{os.Args[0]}, Dir: t.TempDir(), Out: &out},
		Works:  []time.Duration{300 * time.Millisecond, 3 * time.Second, 12 * time.Second},
	}
	sum, err := l.Run(t.Context())
	t.Logf("%+v\n%s", sum, out.String())
	is.NoErr(err)
	is.True(sum.Served > 0)
	is.True(sum.Refused > 0)
}
