package fleet

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/matryer/is"
)

// ofSize returns the state of that many upstreams and a tenth as many fronts.
func ofSize(n int) (s Snapshot) {
	s.Revision = 1
	for i := range n {
		s.Upstreams = append(s.Upstreams, Upstream{
			ID: fmt.Sprintf("i-%016x", i*7919), Service: "engines", Address: fmt.Sprintf("10.%d.%d.%d:7381", 10+i/65536, i/256%256, i%256),
			Domain: fmt.Sprint("domain-", i%6), Version: "v1", Batch: 8, Born: int64(i),
		})
	}
	for i := range n / 10 {
		node := fmt.Sprintf("front-domain-%d", i)
		s.Entries = append(s.Entries, Entry{Node: node, Address: node + ":8149", Peer: node + ":7380", Domain: fmt.Sprint("domain-", i%6), Cores: 0.2})
	}
	return s
}

// changer returns a function that changes one upstream of a fleet.
func changer(f *Fleet, s Snapshot) func() {
	i := 0
	return func() {
		u := s.Upstreams[i*31%len(s.Upstreams)]
		u.Born = int64(i) + 1e6
		r := f.View().Revision
		f.Update(start.Add(time.Duration(i)*time.Millisecond), Changes{Since: r, Revision: r + 1, Delta: Delta{Upstreams: []Upstream{u}}})
		i++
	}
}

func BenchmarkUpdate(b *testing.B) {
	for _, n := range []int{1100, 3000, 10000, 20000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			var f Fleet
			s := ofSize(n)
			f.Update(start, s)
			change := changer(&f, s)
			b.ReportAllocs()
			for b.Loop() {
				change()
			}
		})
	}
}

// What one changed upstream costs a daemon must not grow with the number of upstreams: changes grow with the fleet, too, and the work of all daemons would grow with its square.
func TestOneChangeCostsTheSameAtAnySize(t *testing.T) {
	is := is.New(t)
	allocated := map[int]uint64{}
	for _, n := range []int{1100, 20000} {
		var f Fleet
		s := ofSize(n)
		f.Update(start, s)
		change := changer(&f, s)
		const changes = 200
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		for range changes {
			change()
		}
		runtime.ReadMemStats(&after)
		allocated[n] = (after.TotalAlloc - before.TotalAlloc) / changes
	}
	t.Logf("bytes allocated for a change: %v", allocated)
	is.True(allocated[20000] <= 40<<10)
	is.True(allocated[20000] <= 2*allocated[1100])
}

// The state of 10,000 upstreams and 1,000 fronts, with the history of its changes, must leave most of the smallest VM's memory to requests.
func TestMemoryOfState(t *testing.T) {
	is := is.New(t)
	var f Fleet
	s := ofSize(10000)
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	f.Update(start, ofSize(10000)) // strings of its own
	change := changer(&f, s)
	for range 2000 {
		change()
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	live := int64(after.HeapAlloc) - int64(before.HeapAlloc)
	t.Logf("live heap: %d kB", live/1000)
	is.True(live <= 8e6)
	runtime.KeepAlive(&f)
	runtime.KeepAlive(s)
}
