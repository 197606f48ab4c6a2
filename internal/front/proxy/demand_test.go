package proxy

import (
	"testing"

	"github.com/matryer/is"

	"github.com/slaterock/slaterock/internal/conf/accnt"
	"github.com/slaterock/slaterock/internal/conf/route"
	"github.com/slaterock/slaterock/internal/place/gate"
)

// Guards against loads with the demand of others when nothing waits, and without it, or with
// another service's, when something does.
func TestLoadHasDemand(t *testing.T) {
	is := is.New(t)
	accounts, err := accnt.New([]accnt.Account{{Name: "cafe", Rate: 60}, {Name: "bar"}})
	is.NoErr(err)
	table := &route.Table{Accounts: accounts}
	var e Endpoint
	load := func(service string) (l gate.Load) {
		e.addDemand(&l, service, table)
		return l
	}
	e.running.Begin("cafe")
	is.True(!e.Contended())
	is.Equal(load("s"), gate.Load{})
	e.SetPeerDemand(PeerDemand{
		Queued: func(service string, priority int) int {
			return map[string]int{"s": 2 * priority}[service] * map[int]int{1: 1, 9: 1}[priority]
		},
		Running: map[string]int{"cafe": 2, "bar": 1},
	})
	is.True(e.Contended())
	running, weights := map[string]int{"cafe": 3, "bar": 1}, map[string]float64{"cafe": 60}
	is.Equal(load("s"), gate.Load{Queued: map[int]int{1: 2, 9: 18}, Running: running, Weights: weights})
	is.Equal(load("other"), gate.Load{Running: running, Weights: weights})
	e.SetPeerDemand(PeerDemand{})
	is.Equal(load("s"), gate.Load{})
}
