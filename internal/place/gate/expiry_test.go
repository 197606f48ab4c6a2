package gate

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Programs that expire while others wait must not cost the others the credit of the time
// since the last change of the load.
func TestExpiryKeepsCredit(t *testing.T) {
	is := is.New(t)
	admitted := func(expire bool) (n int) {
		var g Gate
		now := time.Unix(1000, 0)
		full := Load{InFlight: 100, Capacity: 100, Daemons: 100, Staleness: 100 * time.Millisecond}
		for i := range 40 {
			g.Step(now, Arrive{Ticket: uint64(i), LatestStart: now.Add(time.Minute), Load: full})
		}
		free := full
		free.InFlight = 90
		for range 100 {
			if expire {
				now = now.Add(99 * time.Millisecond)
				g.Step(now, Expire{})
				now = now.Add(time.Millisecond)
			} else {
				now = now.Add(100 * time.Millisecond)
			}
			for _, op := range g.Step(now, Change{Load: free}) {
				if _, ok := op.(Admit); ok {
					n++
				}
			}
		}
		return n
	}
	is.Equal(admitted(true), admitted(false))
}
