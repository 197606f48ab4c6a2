package mesh

import (
	"fmt"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"
)

// Guards against a front that counts its own demand twice, or misses that of others, with and
// without hubs: it would take more than its share of a limit, or leave a part unused.
func TestDemandOfAllOthers(t *testing.T) {
	for _, n := range []int{3, 62} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			is := is.New(t)
			sim := newSimulation(n, 1)
			account, queue := IDOf("cafe"), QueueID("engines", 2)
			sim.demand = func(int) Demand {
				return Demand{Waiting: map[ID]int{account: 2}, Begun: map[ID]int{account: 1}, Queued: map[ID]int{queue: 3}, Running: map[ID]int{account: 5}}
			}
			sim.run(sim.now.Add(3*time.Second), nil)
			others := n - 1
			for _, f := range sim.fronts {
				d := f.Summary(sim.now).Demand
				is.Equal(d.Waiting[account], 2*others)
				is.Equal(d.Begun[account], others)
				is.Equal(d.Queued[queue], 3*others)
				is.Equal(d.Running[account], 5*others)
			}
		})
	}
}

// Guards against messages that a release without the field, or one with more fields, can't read.
func TestDemandIsOptional(t *testing.T) {
	is := is.New(t)
	with, err := Encode(Report{State: State{Node: "a"}, Demand: Demand{Waiting: map[ID]int{1: 1}}})
	is.NoErr(err)
	var old struct {
		Report struct {
			State State `cbor:"1,keyasint"`
		} `cbor:"1,keyasint"`
	}
	is.NoErr(cbor.Unmarshal(with, &old))
	is.Equal(old.Report.State.Node, "a")
	without, err := Encode(Report{State: State{Node: "a"}})
	is.NoErr(err)
	msg, err := Decode(without)
	is.NoErr(err)
	is.Equal(msg.(Report).Demand.Waiting, nil) //nolint:forcetypeassert // as encoded
	is.True(len(with) > len(without)+4)
}
