package diskd

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"

	"github.com/slaterock/slaterock/internal/disk/index"
	"github.com/slaterock/slaterock/internal/disk/recsrv"
	"github.com/slaterock/slaterock/internal/disk/roster"
	"github.com/slaterock/slaterock/internal/node/discov"
	"github.com/slaterock/slaterock/internal/peer/link"
)

// importer is another VM with a disk that takes records, and calls a function with each request for that.
type importer func()

func (i importer) Invoke(_ context.Context, method string, _, out any) error {
	raw, ok := out.(*link.Raw)
	if !ok || method != recsrv.MethodImport {
		return link.ErrUnresponsive
	}
	i()
	data, err := cbor.Marshal(recsrv.ImportReply{})
	*raw = data
	return err
}

// retiring lists a, b and d, which are the replicas; d is to be emptied.
func (f *fixture) retiring(version uint64, nodes string) {
	members := map[rune]roster.Member{'a': others()[0], 'b': others()[1], 'd': f.daemon.self()}
	r := roster.Roster{Version: version, MaxFailures: 1}
	for _, n := range nodes {
		m := members[n]
		r.Replicas = append(r.Replicas, roster.Replica{Node: m.Node, Address: m.Address, Domain: m.Domain, DiskID: m.DiskID})
	}
	data, _ := r.Encode()
	f.s.put(discov.RosterKey, data)
}

// takes reports whether the VM takes records.
func (f *fixture) takes() bool {
	target := recsrv.Target{Version: f.daemon.discov.Roster().Version}
	reply, err := f.daemon.recsrv.Write(f.t.Context(), recsrv.WriteRequest{Target: target, Record: index.Record{Program: "p", Attempt: time.Now().String(), Settled: true, TTL: 1000}})
	is.New(f.t).NoErr(err)
	return reply.Refusal.Code == ""
}

// Guards against a VM that takes no records any more, since it was to be emptied and another one left the roster first, or its
// write of the roster was lost.
func TestVMThatCannotLeaveTakesRecords(t *testing.T) {
	cases := map[string]struct {
		between func(f *fixture) // while it copies its records
		nodes   string           // of the roster in the end
		takes   bool
	}{
		"it leaves":        {func(*fixture) {}, "ab", false},
		"another has left": {func(f *fixture) { f.retiring(3, "bd") }, "bd", true},
		"the store is away, and it stays": {func(f *fixture) {
			f.s.setDown(true)
		}, "abd", true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newFixture(t)
				f.s.setListed(others()[0], true)
				f.s.setListed(others()[1], true)
				f.s.setListed(f.daemon.self(), true)
				f.retiring(2, "abd")
				f.daemon.peerFunc = func(string) link.Invoker { return importer(func() { c.between(f) }) }
				f.op.want["d"] = true
				f.runFixed(6 * time.Second)
				if c.nodes == "abd" {
					f.op.want["d"] = false
				}
				f.s.setDown(false)
				f.runFixed(14 * time.Second)
				is.Equal(f.nodes(), c.nodes)
				is.Equal(f.takes(), c.takes)
			})
		})
	}
}

// Guards against two VMs that are emptied at once, and both refuse records while the store is slow.
func TestOneVMLeavesAtATime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFixture(t)
		other := others()[0]
		other.Retiring = true
		f.s.setListed(other, true)
		f.s.setListed(others()[1], true)
		f.s.setListed(f.daemon.self(), true)
		f.retiring(2, "abd")
		f.daemon.peerFunc = func(string) link.Invoker { return importer(func() {}) }
		f.op.want["d"] = true
		f.runFixed(handOverDelay + resignTime - time.Second)
		is.Equal(f.nodes(), "abd")
		is.True(f.takes())
		f.retiring(3, "bd") // the other one has left
		f.runFixed(resignTime)
		is.Equal(f.nodes(), "bd")
		is.True(f.takes())
	})
}

// Guards against a VM that is to be emptied, loses its disk and reports that it is empty, and against a place that nobody takes.
func TestRetiringVMThatLosesItsDisk(t *testing.T) {
	cases := map[string]struct {
		spare    bool
		takes    bool // its former place
		complete bool
	}{
		"no other can take its place": {false, true, false},
		"another can":                 {true, false, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newFixture(t)
				f.s.setListed(others()[0], true)
				f.s.setListed(f.daemon.self(), true)
				if c.spare {
					f.s.setListed(others()[2], true)
				}
				r := roster.Roster{Version: 2, MaxFailures: 1, Replicas: []roster.Replica{{Node: "a", Address: "a:1", DiskID: "1"}, {Node: "d", Address: "d:1", DiskID: "former"}}}
				data, _ := r.Encode()
				f.s.put(discov.RosterKey, data)
				f.op.want["d"] = true
				f.runFixed(5 * time.Second)
				got, _ := f.daemon.discov.Roster().Find(f.daemon.recsrv.DiskID())
				is.Equal(got.Joining, c.takes)
				is.Equal(f.daemon.reported == "complete", c.complete)
			})
		})
	}
}
