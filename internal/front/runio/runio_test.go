package runio

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/slaterock/slaterock/internal/disk/index"
	"github.com/slaterock/slaterock/internal/front/owners"
)

const key = 7

// network delivers the datagrams of some fronts in a synctest bubble.
type network struct {
	mu     sync.Mutex
	fronts []*Exchange
	listed []owners.Owner
	down   map[string]bool // fronts that get and send nothing
	unseen map[string]bool // fronts of which the others have not heard
	lose   func() bool     // whether the next datagram is lost; nil for never
}

// change changes the network while datagrams are under way.
func (net *network) change(do func()) {
	net.mu.Lock()
	defer net.mu.Unlock()
	do()
}

// settle waits until no datagram is under way.
func settle() {
	time.Sleep(10 * time.Millisecond)
	synctest.Wait()
}

// passes reports whether a datagram between the fronts arrives.
func (net *network) passes(from, to string) bool {
	net.mu.Lock()
	defer net.mu.Unlock()
	return !net.down[from] && !net.down[to] && (net.lose == nil || !net.lose())
}

// newNetwork returns so many fronts that have been up for long.
func newNetwork(n int) *network {
	net := &network{down: map[string]bool{}, unseen: map[string]bool{}}
	for i := range n {
		address := fmt.Sprint("f", i)
		net.listed = append(net.listed, owners.Owner{Node: address, Address: address})
		net.fronts = append(net.fronts, net.start(address, time.Now().Add(-time.Hour)))
	}
	return net
}

func (net *network) start(address string, at time.Time) *Exchange {
	x := &Exchange{
		Self: address, Started: at, Listed: func() (list []owners.Owner) {
			net.change(func() { list = net.listed })
			return list
		},
		Heard: func(node string) (heard bool) {
			net.change(func() { heard = !net.unseen[node] })
			return heard
		},
		AllHeard: func() (all bool) {
			net.change(func() { all = len(net.unseen) == 0 })
			return all
		},
	}
	x.Table.Complete(at)
	x.Send = func(to string, data []byte) {
		if !net.passes(address, to) {
			return
		}
		time.AfterFunc(time.Millisecond, func() {
			back := net.at(to).Receive(time.Now(), data)
			if back == nil || !net.passes(to, address) {
				return
			}
			time.AfterFunc(time.Millisecond, func() { net.at(address).Receive(time.Now(), back) })
		})
	}
	return x
}

func (net *network) at(address string) *Exchange {
	net.mu.Lock()
	defer net.mu.Unlock()
	for _, x := range net.fronts {
		if x.Self == address {
			return x
		}
	}
	panic(address)
}

func (net *network) restart(x *Exchange) {
	next := net.start(x.Self, time.Now())
	net.change(func() {
		for i := range net.fronts {
			if net.fronts[i] == x {
				net.fronts[i] = next
			}
		}
	})
}

// owners returns the fronts that keep the runs of key, and one that does not.
func (net *network) owners() (list []*Exchange, other *Exchange) {
	var table owners.Table
	is := map[string]bool{}
	for _, o := range table.Of(time.Now(), net.listed, key) {
		list = append(list, net.at(o.Address))
		is[o.Address] = true
	}
	for _, x := range net.fronts {
		if !is[x.Self] {
			other = x
		}
	}
	return list, other
}

func attempt(x *Exchange, id string, under int, ended ...index.Start) index.Run {
	return index.Run{Attempt: id, Request: key, Under: under, Ended: ended, Front: x.Front(), At: time.Now().UnixMilli()}
}

// Guards against an attempt that is taken for the first one, although fronts are missing or have forgotten, and against one that waits for them.
func TestTell(t *testing.T) {
	cases := map[string]struct {
		fronts   int
		before   func(net *network, keep []*Exchange) // the earlier attempt
		between  func(net *network, keep []*Exchange)
		complete bool
		told     bool
		known    bool // the earlier attempt is
		doubt    bool
		within   time.Duration
	}{
		"all answer":            {5, nil, nil, true, true, true, false, 3 * time.Millisecond},
		"one missed it":         {5, func(net *network, keep []*Exchange) { net.down[keep[0].Self] = true }, nil, true, true, true, false, 3 * time.Millisecond},
		"one is silent":         {5, nil, func(net *network, keep []*Exchange) { net.down[keep[1].Self] = true }, true, true, true, false, 3 * time.Millisecond},
		"one is not heard of":   {5, nil, func(net *network, keep []*Exchange) { net.unseen[keep[1].Self] = true }, true, true, true, true, 3 * time.Millisecond},
		"another one is not":    {5, nil, func(net *network, _ []*Exchange) { net.unseen["elsewhere"] = true }, true, true, true, true, 3 * time.Millisecond},
		"one has started again": {5, nil, func(net *network, keep []*Exchange) { net.restart(keep[2]) }, true, true, true, false, 3 * time.Millisecond},
		"two have started again": {5, nil, func(net *network, keep []*Exchange) {
			net.restart(keep[0])
			net.restart(keep[1])
		}, false, true, true, false, 3 * time.Millisecond},
		"two are silent": {5, nil, func(net *network, keep []*Exchange) {
			net.down[keep[0].Self], net.down[keep[1].Self] = true, true
		}, false, false, true, false, answerTimeout},
		"two are not heard of": {5, nil, func(net *network, keep []*Exchange) {
			net.down[keep[0].Self], net.down[keep[1].Self] = true, true
			net.unseen[keep[0].Self], net.unseen[keep[1].Self] = true, true
		}, false, false, true, true, 3 * time.Millisecond},
		"one has left": {5, nil, func(net *network, keep []*Exchange) {
			for i, o := range net.listed {
				if o.Address == keep[0].Self {
					net.listed = append(append([]owners.Owner{}, net.listed[:i]...), net.listed[i+1:]...)
					return
				}
			}
		}, true, true, true, true, 3 * time.Millisecond},
		"one front":              {1, nil, nil, true, true, true, false, 0},
		"two fronts":             {2, nil, nil, true, true, true, false, 3 * time.Millisecond},
		"two fronts, one silent": {2, nil, func(net *network, _ []*Exchange) { net.down["f0"] = true }, false, false, true, false, answerTimeout},
		"it is cut off": {5, nil, func(net *network, _ []*Exchange) {
			net.down["f0"], net.down["f1"], net.down["f2"], net.down["f3"], net.down["f4"] = true, true, true, true, true
		}, false, false, false, false, answerTimeout},
		"no fronts are listed":   {5, nil, func(net *network, _ []*Exchange) { net.listed = nil }, false, false, false, true, 0},
		"started again long ago": {5, nil, func(net *network, keep []*Exchange) { net.restart(keep[2]); time.Sleep(knowsAfter) }, true, true, true, false, 3 * time.Millisecond},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				net := newNetwork(c.fronts)
				keep, other := net.owners()
				if other == nil {
					other = net.fronts[c.fronts-1]
				}
				first := keep[len(keep)-1]
				other.Tell(t.Context(), key, index.Run{Attempt: "another request", Request: key + 1, Under: 2})
				if c.before != nil {
					settle()
					c.before(net, keep)
				}
				is.True(first.Tell(t.Context(), key, attempt(first, "a", 2, index.Start{ID: "up1"})).Told)
				settle()
				clear(net.down)
				if c.between != nil {
					settle()
					c.between(net, keep)
				}
				began := time.Now()
				got := other.Tell(t.Context(), key, attempt(other, "b", 1))
				is.True(time.Since(began) <= c.within)
				is.Equal(got.Complete, c.complete)
				is.Equal(got.Told, c.told)
				is.Equal(got.Doubt, c.doubt)
				known := false
				for _, r := range got.Runs {
					known = known || r.Attempt == "a" && len(r.Ended) == 1
				}
				is.Equal(known, c.known)
			})
		})
	}
}

// Guards against datagrams that are lost and taken for fronts that know of nothing: of two attempts the second learns of the first, or is told that it can't know.
func TestLostDatagrams(t *testing.T) {
	for seed := range uint64(20) {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			net := newNetwork(6)
			rnd := rand.New(rand.NewPCG(seed, 1))
			net.lose = func() bool { return rnd.IntN(3) == 0 }
			complete := 0
			for i := range 40 {
				request := uint64(100 + i)
				a, b := net.fronts[i%6], net.fronts[(i+1+i/6)%6]
				first := a.Tell(t.Context(), request, index.Run{Attempt: "a", Request: request, Under: 1, Front: a.Front()})
				second := b.Tell(t.Context(), request, index.Run{Attempt: "b", Request: request, Under: 1, Front: b.Front()})
				if !first.Told || !second.Complete {
					continue
				}
				complete++
				is.Equal(len(second.Runs), 2)
			}
			is.True(complete >= 30)
		})
	}
}

// Guards against an attempt that is counted although it has ended well, and against one that is not although its front was lost with it.
func TestFates(t *testing.T) {
	cases := map[string]struct {
		then func(net *network, x *Exchange) // after it was told that the attempt begins
		fate Fate
		runs int
	}{
		"under way":  {nil, UnderWay, 1},
		"ended well": {func(_ *network, x *Exchange) { x.Over(context.Background(), key, attempt(x, "a", 2)) }, Over, 0},
		"ended with a failure": {func(_ *network, x *Exchange) {
			x.Over(context.Background(), key, attempt(x, "a", 2, index.Start{ID: "up1"}))
		}, Over, 1},
		"front silent":        {func(net *network, x *Exchange) { net.down[x.Self] = true }, Lost, 0},
		"front started again": {func(net *network, x *Exchange) { time.Sleep(time.Millisecond); net.restart(x) }, Lost, 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				net := newNetwork(6)
				keep, other := net.owners()
				x := keep[0]
				started := attempt(x, "a", 1)
				is.True(x.Tell(t.Context(), key, started).Told)
				settle()
				if c.then != nil {
					c.then(net, x)
				}
				for _, asks := range []*Exchange{other, net.at(keep[1].Self)} {
					fates, runs := asks.Fates(t.Context(), key, []index.Run{started, {Attempt: "old", Request: key, Under: 1}})
					is.Equal(fates, map[string]Fate{"a": c.fate, "old": Undecided})
					is.Equal(len(runs), c.runs)
				}
				own, _ := net.at(x.Self).Fates(t.Context(), key, []index.Run{started})
				if !net.down[x.Self] {
					is.Equal(own["a"], c.fate)
				}
				time.Sleep(2 * settleTimeout) // for those that are told again
			})
		})
	}
}

// Guards against each request that waits anew for a front that does not answer.
func TestSilentFrontsAreNotAskedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		net := newNetwork(6)
		keep, other := net.owners()
		run := attempt(keep[0], "a", 1)
		net.down[keep[0].Self] = true
		for i, most := range []time.Duration{answerTimeout, 0, 0} {
			began := time.Now()
			fates, _ := other.Fates(t.Context(), key, []index.Run{run})
			is.Equal(fates["a"], Lost)
			is.Equal(time.Since(began), most)
			if i == 1 {
				time.Sleep(silentSpan / 2)
			}
		}
		settle()
		net.down[keep[0].Self] = false
		time.Sleep(silentSpan)
		fates, _ := other.Fates(t.Context(), key, []index.Run{run})
		is.Equal(fates["a"], Over) // it answers again, and knows of no such attempt
	})
}

// Guards against an answer to a question of an earlier start of a front that is counted for another request.
func TestAnswersToOtherQuestions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		net := newNetwork(6)
		keep, other := net.owners()
		for _, x := range keep {
			net.down[x.Self] = true
		}
		go func() {
			time.Sleep(time.Millisecond)
			for _, x := range keep {
				late, err := encode(packet{Seq: 1, Key: key + 1, Reply: &reply{Front: x.Front(), Kept: time.Hour.Milliseconds()}})
				is.NoErr(err)
				other.Receive(time.Now(), late)
			}
		}()
		got := other.Tell(t.Context(), key, attempt(other, "a", 1))
		is.True(!got.Complete)
		is.True(!got.Told)
	})
}

// Guards against a datagram that ends the process, or is answered although it is none of ours.
func FuzzReceive(f *testing.F) {
	run := index.Run{Attempt: "a", Request: key, Under: 1, Front: "f0/1", Ended: []index.Start{{ID: "up1", Born: -5}}}
	for _, p := range []packet{{Seq: 1, Key: key}, {Seq: 1, Key: key, Run: &run}, {Key: key, Run: &run}, {Seq: 1, Reply: &reply{Front: "f1/1", Runs: []index.Run{run}}}} {
		data, err := encode(p)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Add([]byte{Tag})
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, data []byte) {
		x := &Exchange{Self: "f0", Listed: func() []owners.Owner { return nil }}
		back := x.Receive(time.Now(), data)
		if back == nil {
			return
		}
		p, err := decode(back)
		if err != nil || p.Reply == nil || p.Seq == 0 || len(back) > maxPacket {
			t.Fatal("not an answer")
		}
	})
}
