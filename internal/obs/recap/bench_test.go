package recap

import (
	"bytes"
	"io"
	"testing"
)

func BenchmarkRead(b *testing.B) {
	const lines = 100_000
	log, err := io.ReadAll(newGenerator(lines))
	if err != nil {
		b.Fatal(err)
	}
	b.SetBytes(int64(len(log)))
	b.ReportAllocs()
	for b.Loop() {
		var s State
		if err := s.Read(b.Context(), []*Source{{Name: "log", R: bytes.NewReader(log)}}); err != nil {
			b.Fatal(err)
		}
		s.Report(Dimensions, 20)
	}
	b.ReportMetric(float64(lines*b.N)/b.Elapsed().Seconds(), "lines/s")
}
