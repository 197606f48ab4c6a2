package main

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

const (
	ticksPerSecond = 100 // of the CPU times in /proc
	pageSize       = 4096
)

// usage is a process's CPU time since its start, and its resident memory.
type usage struct {
	cpu      time.Duration
	resident int // bytes
}

func processUsage(tb testing.TB, pid int) usage {
	tb.Helper()
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	is.New(tb).NoErr(err)
	// The process name in parentheses may contain spaces, so fields are counted from the
	// closing parenthesis.
	fields := strings.Fields(string(b[strings.LastIndexByte(string(b), ')')+2:]))
	field := func(i int) int {
		n, err := strconv.Atoi(fields[i])
		is.New(tb).NoErr(err)
		return n
	}
	ticks := field(11) + field(12)
	return usage{time.Duration(ticks) * time.Second / ticksPerSecond, field(21) * pageSize}
}

func (s *system) usage() (u usage) {
	for _, p := range s.procs {
		used := processUsage(s.t, p.Process.Pid)
		u.cpu += used.cpu
		u.resident = max(u.resident, used.resident)
	}
	return u
}

// BenchmarkIdle measures an idle daemon: CPU time as a share of a core, and resident memory.
func BenchmarkIdle(b *testing.B) {
	s := newSystem(b)
	<-time.After(5 * time.Second)
	for b.Loop() {
		before, start := s.usage(), time.Now()
		<-time.After(20 * time.Second)
		after := s.usage()
		share := float64(after.cpu-before.cpu) / float64(time.Since(start)) / daemons
		b.ReportMetric(100*share, "%core/daemon")
		b.ReportMetric(float64(after.resident)/(1<<20), "MB/daemon")
	}
}
