package recsrv

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/slaterock/slaterock/internal/disk/index"
	"github.com/slaterock/slaterock/internal/disk/roster"
	"github.com/slaterock/slaterock/internal/peer/link"
)

// unreachable is a replica that does not answer.
type unreachable struct{}

func (unreachable) Invoke(context.Context, string, any, any) error { return errors.New("no answer") }

// Guards against the older turns of a program that expire at a replica which has not got the newer ones, and
// against ones that never leave it.
func TestExpiryAsksOtherReplicas(t *testing.T) {
	const ends = testTTL + index.ClockSlack
	cases := map[string]struct {
		goesOn  time.Duration // for how long the other replica gets turns of the program
		answers bool
		unknown bool          // the roster is not known here
		until   time.Duration // when the records expire here, from the first one
	}{
		"ended everywhere":         {0, true, false, ends},
		"goes on elsewhere":        {36 * TrimInterval, true, false, 36*TrimInterval + ends},
		"other replica is away":    {0, false, false, ends + holdTime},
		"restarted, store is away": {0, true, true, ends + holdTime},
		"goes on, replica is away": {36 * TrimInterval, false, false, ends + holdTime},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				here, other := openServer(t, t.TempDir(), 0), openServer(t, t.TempDir(), 0)
				defer func() { _, _ = here.Close(), other.Close() }()
				r := roster.Roster{Version: 1, Replicas: []roster.Replica{{Address: "here", DiskID: here.DiskID()}, {Address: "other", DiskID: other.DiskID()}}}
				if !c.unknown {
					here.Learn(r)
				}
				here.Others = func(string) link.Invoker {
					if !c.answers {
						return unreachable{}
					}
					return pulls{other, func() {}}
				}
				began := time.Now()
				write(t, here, chainRecord("a", 0))
				write(t, other, chainRecord("a", 0))
				for n := 1; time.Since(began) < c.until-2*TrimInterval; n++ {
					if time.Since(began) < c.goesOn {
						write(t, other, chainRecord("a", n))
					}
					pass(t, here, TrimInterval)
					_, turns, _ := here.Stats()
					is.Equal(turns, 1)
				}
				pass(t, here, 4*TrimInterval)
				_, turns, _ := here.Stats()
				is.Equal(turns, 0)
			})
		})
	}
}
