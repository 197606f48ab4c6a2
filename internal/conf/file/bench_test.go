package file

import (
	"fmt"
	"runtime"
	"runtime/debug"
	"strings"
	"testing"
	"time"
)

const accounts = 35_000 // target size

// large returns a configuration with many accounts.
func large(t testing.TB) []byte {
	var b strings.Builder
	b.Write(read(t, "testdata", "whole.ini"))
	for i := range accounts {
		name := fmt.Sprintf("client-%05d", i)
		fmt.Fprintf(&b, "\n[account.%s]\nkey_hash = %s\nmax_programs = 50\ntokens_per_minute = 20000\n", name, HashKey(fmt.Sprint("salt", i), name+".secret"))
	}
	return []byte(b.String())
}

func BenchmarkParse(b *testing.B) {
	text := large(b)
	b.SetBytes(int64(len(text)))
	b.ReportAllocs()
	var f File
	var err error
	for b.Loop() {
		f, err = Parse("large.ini", text)
		if err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(len(text))/1e6, "MB_text")
	b.ReportMetric(retainedMB(f), "MB_kept")
}

// retainedMB returns the heap memory that a File retains, in megabytes.
func retainedMB(f File) float64 {
	var with, without runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&with)
	runtime.KeepAlive(f)
	f = File{}
	runtime.GC()
	runtime.ReadMemStats(&without)
	runtime.KeepAlive(f)
	return (float64(with.HeapAlloc) - float64(without.HeapAlloc)) / 1e6
}

func BenchmarkAuthenticate(b *testing.B) {
	f, err := Parse("large.ini", large(b))
	if err != nil {
		b.Fatal(err)
	}
	for name, key := range map[string]string{"right": "client-34999.secret", "wrong": "client-34999.secrey", "unknown": "client-99999.secret"} {
		b.Run(name, func(b *testing.B) {
			for b.Loop() {
				if _, _, ok := f.Authenticate(key); ok != (name == "right") {
					b.Fatal(key)
				}
			}
		})
	}
}

// BenchmarkPeak measures the peak heap while a large text is parsed, with the garbage collector
// running almost all the time. The text itself is not counted.
func BenchmarkPeak(b *testing.B) {
	defer debug.SetGCPercent(debug.SetGCPercent(5))
	text := large(b)
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	before, peak := m.HeapAlloc, uint64(0)
	done := make(chan error)
	for b.Loop() {
		go func() {
			_, err := Parse("large.ini", text)
			done <- err
		}()
		tick := time.NewTicker(time.Millisecond)
		for reading := true; reading; {
			select {
			case err := <-done:
				if err != nil {
					b.Fatal(err)
				}
				reading = false
			case <-tick.C:
				runtime.ReadMemStats(&m)
				peak = max(peak, m.HeapAlloc)
			}
		}
		tick.Stop()
	}
	b.ReportMetric(float64(peak-before)/1e6, "MB_peak")
}
