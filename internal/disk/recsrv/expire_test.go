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

// Guards against the older turns of a program that expire at a replica which has not got the newer ones, however long
// those that have them are away, and against ones that stay although enough replicas answer. A third replica never does.
func TestExpiryAsksOtherReplicas(t *testing.T) {
	const ends = testTTL + index.ClockSlack
	cases := map[string]struct {
		goesOn  time.Duration // for how long the other replica gets turns of the program
		away    time.Duration // for how long it does not answer
		unknown bool          // the roster is not known here
		until   time.Duration // when the records expire here, from the first one
	}{
		"ended everywhere":             {0, 0, false, ends},
		"goes on elsewhere":            {36 * TrimInterval, 0, false, 36*TrimInterval + ends},
		"other replica is away":        {0, 100 * TrimInterval, false, 100 * TrimInterval},
		"restarted, store is away":     {0, 0, true, ends + holdTime},
		"goes on, replica is away":     {36 * TrimInterval, 40 * TrimInterval, false, 36*TrimInterval + ends},
		"goes on, it is away for long": {100 * TrimInterval, 105 * TrimInterval, false, 100*TrimInterval + ends},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				here, other := openServer(t, t.TempDir(), 0), openServer(t, t.TempDir(), 0)
				defer func() { _, _ = here.Close(), other.Close() }()
				r := roster.Roster{Version: 1, MaxFailures: 1, Replicas: []roster.Replica{{Address: "here", DiskID: here.DiskID()}, {Address: "other", DiskID: other.DiskID()}, {Address: "third"}}}
				if !c.unknown {
					here.Learn(r)
				}
				began := time.Now()
				here.Others = func(address string) link.Invoker {
					if address != "other" || time.Since(began) < c.away {
						return unreachable{}
					}
					return pulls{other, func() {}}
				}
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
