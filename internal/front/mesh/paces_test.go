package mesh

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/slaterock/slaterock/internal/place/batch"
	"github.com/slaterock/slaterock/internal/place/pace"
)

const (
	engines    = 71
	arrivals   = 500 // turns a second
	meanEvents = 8
)

type (
	// engineFleet has turns run at engines of three speeds, of which fronts observe the events.
	engineFleet struct {
		sim     *simulation
		rng     *rand.Rand
		factors []float64
		ids     []pace.ID
		turns   []*running
		running []float64 // number of turns, by engine
		fits    []batch.Estimator
		last    time.Time
		noise   float64 // share of the turns that take 2.5 times as long
	}

	running struct {
		front, engine, left int
		slow                float64
		next, began         time.Time
		stream              pace.Stream
		events              int
		under               float64
	}
)

func newEngineFleet(fronts int, seed uint64, speeds ...float64) *engineFleet {
	sim := newSimulation(fronts, seed)
	sim.digestLoss = 0.2
	f := &engineFleet{sim: sim, rng: rand.New(rand.NewPCG(seed, 2)), running: make([]float64, engines), fits: make([]batch.Estimator, fronts)}
	for i := range engines {
		f.factors = append(f.factors, speeds[i%len(speeds)])
		f.ids = append(f.ids, pace.IDOf(fmt.Sprint("engine-", i), 1))
	}
	sim.run(sim.now.Add(2*time.Second), nil) // the fronts know each other
	f.last = sim.now
	return f
}

// restart gives all engines a new start time.
func (f *engineFleet) restart() {
	for i := range f.ids {
		f.ids[i] = pace.IDOf(fmt.Sprint("engine-", i), 2)
	}
}

// run has turns arrive for a while, and calls each after every step.
func (f *engineFleet) run(d time.Duration, each func()) {
	f.sim.run(f.sim.now.Add(d), func() {
		f.advance()
		if each != nil {
			each()
		}
	})
}

func (f *engineFleet) advance() {
	now := f.sim.now
	for n := arrivals * now.Sub(f.last).Seconds(); f.rng.Float64() < n; n-- {
		e := f.rng.IntN(engines)
		t := &running{front: f.rng.IntN(len(f.fits)), engine: e, left: meanEvents + f.rng.IntN(2), slow: 1, began: now, stream: pace.Stream{Last: now}}
		if f.rng.Float64() < f.noise {
			t.slow = 2.5
		}
		f.running[e]++
		t.under = f.running[e]
		t.next = now.Add(f.eventTime(t))
		f.turns = append(f.turns, t)
	}
	f.last = now
	left := f.turns[:0]
	for _, t := range f.turns {
		for t.left > 0 && !t.next.After(now) {
			f.event(t)
		}
		if t.left > 0 {
			left = append(left, t)
		}
	}
	f.turns = left
}

func (f *engineFleet) eventTime(t *running) time.Duration {
	ms := f.factors[t.engine] * t.slow * (20 + 1.5*(f.running[t.engine]-1)) * (0.9 + 0.2*f.rng.Float64())
	return time.Duration(ms * float64(time.Millisecond))
}

// event observes an event as package proxy does.
func (f *engineFleet) event(t *running) {
	at, fit := t.next, &f.fits[t.front]
	t.left--
	t.next = at.Add(f.eventTime(t))
	turns, paces := (t.under+f.running[t.engine])/2, &f.sim.fronts[t.front].Paces
	observe := func(measured, expected float64, confirmed bool) bool {
		return paces.Observe(at, f.ids[t.engine], measured, expected, confirmed)
	}
	each, known := fit.Mean()
	if known {
		t.stream.Event(at, time.Duration(each*float64(time.Second)), observe)
	} else {
		t.stream.Last = at
	}
	if t.events++; t.left == 0 {
		t.stream.End(observe)
		f.running[t.engine]--
		fit.Observe(turns, at.Sub(t.began).Seconds()/float64(t.events))
	}
}

// inOrder returns the share of the pairs of engines of unequal speed that a front orders
// correctly, in the mean over a dozen fronts.
func (f *engineFleet) inOrder() float64 {
	right, all := 0, 0
	f.sample(func(_ int, factor []float64) {
		for i := range engines {
			for j := range i {
				if f.factors[i] == f.factors[j] {
					continue
				}
				all++
				if factor[i] != factor[j] && (factor[i] < factor[j]) == (f.factors[i] < f.factors[j]) {
					right++
				}
			}
		}
	})
	return float64(right) / float64(all)
}

// sample calls do with the factors that a front knows, for a dozen fronts.
func (f *engineFleet) sample(do func(front int, factor []float64)) {
	for i := 0; i < len(f.sim.fronts); i += 1 + len(f.sim.fronts)/12 {
		f.visit(i, do)
	}
}

func (f *engineFleet) visit(i int, do func(front int, factor []float64)) {
	factor := make([]float64, engines)
	for e := range factor {
		factor[e] = f.sim.fronts[i].Paces.Factor(f.sim.now, f.ids[e])
	}
	do(i, factor)
}

// until returns how long it takes until the factor of an engine fulfils a condition at 19 of 20
// fronts, and at all of them.
func (f *engineFleet) until(engine int, most time.Duration, ok func(float64) bool) (nearly, all time.Duration) {
	from, n := f.sim.now, len(f.sim.fronts)
	f.run(most, func() {
		know := 0
		for i := range f.sim.fronts {
			if ok(f.sim.fronts[i].Paces.Factor(f.sim.now, f.ids[engine])) {
				know++
			}
		}
		if nearly == 0 && 20*know >= 19*n {
			nearly = f.sim.now.Sub(from)
		}
		if all == 0 && know == n {
			all = f.sim.now.Sub(from)
		}
	})
	if nearly == 0 {
		nearly = most + step
	}
	if all == 0 {
		all = most + step
	}
	return nearly, all
}

// Each front observes an engine every few seconds only. All of them together must know the order
// of speeds within two seconds, and a large change within 0.6 s, although a digest in five is
// lost.
func TestSpeedsAreKnownInTime(t *testing.T) {
	for n, seeds := range map[int]int{8: 5, 50: 5, 320: 2} {
		t.Run(fmt.Sprint(n, " fronts"), func(t *testing.T) {
			is := is.New(t)
			var order, slow, slowAll, fast float64
			for seed := range seeds {
				f := newEngineFleet(n, uint64(seed), 0.6, 1, 1.6)
				f.run(10*time.Second, nil)
				f.restart()
				f.run(2*time.Second, nil)
				order += f.inOrder() / float64(seeds)
				f.run(2*time.Second, nil)
				before := f.factors[1]
				f.factors[1] *= 4
				nearly, all := f.until(1, 2*time.Second, func(x float64) bool { return x > 1.7 })
				f.factors[1] = before
				recovered, _ := f.until(1, 4*time.Second, func(x float64) bool { return x < 1.5 })
				t.Logf("seed %d: slow known at 19 of 20 fronts after %v, at all after %v; recovery after %v", seed, nearly, all, recovered)
				slow += nearly.Seconds() / float64(seeds)
				slowAll += all.Seconds() / float64(seeds)
				fast = max(fast, recovered.Seconds())
			}
			t.Logf("pairs in order after 2 s: %.3f; a slow engine is known at 19 of 20 fronts after %.2f s, at all after %.2f s; its recovery after %.2f s at most", order, slow, slowAll, fast)
			is.True(order >= 0.95)
			is.True(slow <= 0.6)
			is.True(fast <= 3)
		})
	}
}

// Chance makes 15 in 100 turns 2.5 times as long. Engines that are alike must not be told apart,
// or programs are moved for nothing.
func TestChanceIsNoSpeed(t *testing.T) {
	is := is.New(t)
	f := newEngineFleet(50, 3, 1)
	f.noise = 0.15
	f.run(5*time.Second, nil)
	differ, all, largest := 0, 0, 0.0
	f.run(10*time.Second, func() {
		f.sample(func(_ int, factor []float64) {
			for _, x := range factor {
				all++
				if x != 1 {
					differ++
				}
				largest = max(largest, math.Abs(math.Log(x)))
			}
		})
	})
	t.Logf("%.4f of the factors are not 1, by a factor of %.2f at most", float64(differ)/float64(all), math.Exp(largest))
	is.True(float64(differ) <= 0.05*float64(all))
	is.True(math.Exp(largest) < 2) // a change of speed that isn't there
}

// While no hub answers, a front reports to several of them, which pass its samples on to each other.
// They must not be counted several times.
func TestProbesCarrySamplesOnce(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(50, 1)
	var f *front
	for _, f = range sim.fronts {
		f.Step(sim.now, Tick{})
		if !f.isHub {
			break
		}
	}
	now := sim.now.Add(200 * time.Millisecond)
	f.Paces.Observe(now, 1, 0.1, 0.1, true)
	with := 0
	sends := f.Step(now, Tick{State: State{Node: f.Self.Node}})
	for _, s := range sends {
		r, _ := s.Message.(Report)
		with += len(r.Paces)
	}
	is.True(len(sends) > 1)
	is.Equal(with, 1)
	for _, s := range f.Step(now.Add(reportInterval), Tick{State: State{Node: f.Self.Node}}) {
		r, _ := s.Message.(Report)
		is.Equal(len(r.Paces), 0)
	}
}

// Guards against a front without others that keeps its samples, and reports hours of them as if they
// were new once there is another front.
func TestSamplesWithoutRecipientAreDropped(t *testing.T) {
	is := is.New(t)
	m := Mesh{Self: Peer{Node: "front00", Address: "10.0.0.1:1"}}
	now := time.Unix(1000, 0)
	for range 100 {
		now = now.Add(reportInterval)
		m.Paces.Observe(now, 1, 0.1, 0.1, true)
		is.Equal(len(m.Step(now, Tick{State: State{Node: m.Self.Node}})), 0)
	}
	is.Equal(len(m.Paces.TakeDelta(maxSamples)), 0)
}

// Estimates must not fill the links of hundreds of fronts, and cost nothing where engines are alike.
func TestPacesTakeFewBytes(t *testing.T) {
	is := is.New(t)
	state := State{Node: "front", Sent: 1, Peer: "10.0.0.1:1"}
	length := func(msg Message) int {
		data, err := Encode(msg)
		is.NoErr(err)
		return len(data)
	}
	var m Mesh
	now := time.Unix(1000, 0)
	for i := range 2000 {
		for range 40 {
			m.Paces.Observe(now, pace.ID(1e9+i), 0.16, 0.1, true)
		}
	}
	d := Digest{State: state}
	empty := length(d)
	d.Paces = m.selectPaces(now)
	is.Equal(len(d.Paces), maxEstimates)
	perSecond := (length(d) - empty) * int(time.Second/reportInterval)
	t.Logf("%d bytes a second of estimates", perSecond)
	is.True(perSecond < 2000)
	is.Equal(length(Report{State: state, Paces: []pace.Sample{}}), length(Report{State: state}))
	is.True(length(Share{State: state, Paces: m.Paces.TakeDelta(maxSamples)}) < 3000)
	msg, err := Decode([]byte{0xa0})
	is.True(msg == nil && err != nil)
	data, _ := Encode(d)
	msg, err = Decode(data)
	is.NoErr(err)
	is.Equal(msg.(Digest).Paces, d.Paces)
}

// BenchmarkChanges is the time of a digest's estimates with 10,000 upstreams, of which one changes
// its speed for each digest and millisecond.
func BenchmarkChanges(b *testing.B) {
	var m Mesh
	now := time.Unix(1000, 0)
	for id := range 10000 {
		for range 40 {
			m.Paces.Observe(now, pace.ID(id), 0.1, 0.1, true)
		}
	}
	m.Paces.DropDelta()
	for id := 0; b.Loop(); id++ {
		now = now.Add(time.Millisecond)
		m.Paces.AddDelta(now, []pace.Sample{{ID: pace.ID(id % 10000), Slower: 1}})
		m.selectPaces(now)
	}
}
