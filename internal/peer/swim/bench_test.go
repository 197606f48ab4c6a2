package swim

import (
	"fmt"
	"runtime"
	"testing"
	"time"
)

const (
	// TCP and IP overhead of a packet: its own headers and, at worst, a
	// separate acknowledgement.
	headers = 2 * 52

	quietPeriod  = 2 * time.Minute // measured without changes
	changePeriod = time.Minute     // measured after a change
)

// sizes are fleet sizes up to the largest supported one.
var sizes = []int{4, 8, 20, 80, 160, 320}

// rate runs the fleet for d. It returns the bytes per second that a daemon
// sends and receives, and the CPU time of its state machine and codec as a
// fraction of a core.
func (f *fleet) rate(d time.Duration) (bytes, core float64) {
	f.bytes, f.packets, f.stepTime = 0, 0, 0
	f.measure = true
	f.run(d)
	f.measure = false
	total := float64(f.bytes+headers*f.packets) * 2 // each byte is sent and received
	daemonSeconds := float64(len(f.nodes)) * d.Seconds()
	return total / daemonSeconds, f.stepTime.Seconds() / daemonSeconds
}

func quietFleet(b *testing.B, n int, seed uint64) *fleet {
	b.Helper()
	f := newFleet(n, seed)
	f.until(5*time.Minute, f.agree)
	if !f.agree() {
		b.Fatal("views did not converge within 5 min")
	}
	f.until(20*time.Minute, f.queuesEmpty)
	f.run(time.Minute)
	return f
}

// queuesEmpty reports whether no daemon has updates left to send.
func (f *fleet) queuesEmpty() bool {
	for _, n := range f.nodes {
		if len(n.membership.updates.entries) > 0 {
			return false
		}
	}
	return true
}

// BenchmarkQuiet measures the control traffic of a fleet without changes.
func BenchmarkQuiet(b *testing.B) {
	for _, n := range sizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for range b.N {
				f := quietFleet(b, n, 21)
				bytes, core := f.rate(quietPeriod)
				b.ReportMetric(bytes, "bytes/s")
				b.ReportMetric(core*100, "%core")
				b.ReportMetric(float64(f.largest), "largest")
				b.ReportMetric(2*float64(f.packets)/float64(n)/quietPeriod.Seconds(), "packets/s")
			}
		})
	}
}

// BenchmarkConfigure measures one change of configuration: the time until it
// is in force everywhere, the time until all daemons know that, and the
// additional bytes per daemon.
func BenchmarkConfigure(b *testing.B) {
	for _, n := range sizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for range b.N {
				f := quietFleet(b, n, 22)
				before, _ := f.rate(changePeriod)
				f.configure(f.nodes[1], 2)
				f.measure = true
				f.bytes, f.packets = 0, 0
				took := f.until(changePeriod, func() bool { return f.configuredAt(2) })
				b.ReportMetric(took.Seconds(), "s-in-force")
				known := took + f.until(changePeriod, f.agree)
				b.ReportMetric(known.Seconds(), "s-known")
				f.run(max(0, 3*changePeriod-known))
				total := float64(f.bytes+headers*f.packets) * 2 / float64(n)
				b.ReportMetric(total-before*max(known, 3*changePeriod).Seconds(), "bytes/change")
			}
		})
	}
}

// BenchmarkReplace measures the failure of a daemon and the start of its
// replacement.
func BenchmarkReplace(b *testing.B) {
	for _, n := range sizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for range b.N {
				f := quietFleet(b, n, 23)
				before, _ := f.rate(changePeriod)
				f.nodes[n-1].dead = true
				f.measure = true
				f.bytes, f.packets = 0, 0
				name := f.nodes[n-1].member.Name
				died := f.until(changePeriod, func() bool { return f.allConsiderDown(name) })
				b.ReportMetric(died.Seconds(), "s-death-known")
				f.run(changePeriod - died)
				f.start(n-1, 1)
				joined := f.until(changePeriod, f.agree)
				b.ReportMetric(joined.Seconds(), "s-join-known")
				f.run(5*changePeriod - joined)
				total := float64(f.bytes+headers*f.packets) * 2 / float64(n)
				b.ReportMetric(total-6*before*changePeriod.Seconds(), "bytes/replacement")
			}
		})
	}
}

// BenchmarkLoss measures false suspicions and false failures under packet loss.
func BenchmarkLoss(b *testing.B) {
	for _, n := range sizes {
		for _, loss := range []float64{0.01, 0.05} {
			b.Run(fmt.Sprintf("%d/%.0f%%", n, loss*100), func(b *testing.B) {
				for range b.N {
					f := quietFleet(b, n, 24)
					f.loss = loss
					f.suspected, f.falseDown = 0, 0
					bytes, _ := f.rate(10 * time.Minute)
					b.ReportMetric(bytes, "bytes/s")
					// A suspicion counts once for each daemon that learns of it.
					b.ReportMetric(float64(f.suspected)/float64(n)*6, "suspicions/h/daemon")
					b.ReportMetric(float64(f.falseDown), "false-deaths")
				}
			})
		}
	}
}

// BenchmarkPartition measures the time to converge after a partition into two
// halves that lasted four minutes.
func BenchmarkPartition(b *testing.B) {
	for _, n := range sizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for range b.N {
				f := quietFleet(b, n, 25)
				side := map[*node]bool{}
				for i, node := range f.nodes {
					side[node] = i < n/2
				}
				f.cut = func(from, to *node) bool { return side[from] != side[to] }
				f.run(4 * time.Minute)
				f.cut = nil
				b.ReportMetric(f.until(5*time.Minute, f.agree).Seconds(), "s-agree")
			}
		})
	}
}

// BenchmarkMemory measures the heap of one daemon's state machine.
func BenchmarkMemory(b *testing.B) {
	for _, n := range sizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for range b.N {
				before := heapAlloc()
				f := quietFleet(b, n, 26)
				f.queue = nil
				b.ReportMetric(float64(heapAlloc()-before)/float64(n)/1000, "KB/daemon")
				if len(f.nodes) != n { // also keeps f reachable while the heap is measured
					b.Fatal("the fleet does not have n daemons")
				}
			}
		})
	}
}

func heapAlloc() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
