package blobs

import (
	"encoding/binary"
	"runtime"
	"testing"
	"time"
)

const blobCount = 100_000

// manyBlobs returns a state machine with blobCount blobs on three holders.
func manyBlobs() (*Holders, time.Time) {
	var h Holders
	now := time.Unix(0, 0)
	for _, m := range []Member{{a1}, {t1}, {u1}} {
		h.Step(now, m)
	}
	pairs := [][]string{{"a1", "t1"}, {"t1", "u1"}, {"u1", "a1"}}
	for i := range blobCount {
		h.Step(now, Known{Digest: Sum(binary.AppendVarint(nil, int64(i))), Size: 20_000, Holders: pairs[i%3]})
	}
	h.Step(now, JournalLoaded{})
	return &h, now
}

// BenchmarkMemory measures the memory per blob.
func BenchmarkMemory(b *testing.B) {
	for b.Loop() {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		h, _ := manyBlobs()
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/blobCount, "B/blob")
		runtime.KeepAlive(h)
	}
}

// BenchmarkTick measures a tick in which nothing happens.
func BenchmarkTick(b *testing.B) {
	h, now := manyBlobs()
	for b.Loop() {
		h.Step(now, Tick{})
	}
}

// BenchmarkHolderLost measures the tick in which a holder counts as lost.
func BenchmarkHolderLost(b *testing.B) {
	for b.Loop() {
		b.StopTimer()
		h, now := manyBlobs()
		h.Step(now, down(a1))
		b.StartTimer()
		h.Step(now.Add(lostAfter), Tick{})
	}
}
