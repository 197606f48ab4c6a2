package link

import (
	"context"
	"net"
	"runtime"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/slaterock/slaterock/internal/peer/swim"
	"github.com/slaterock/slaterock/internal/prog/call"
	"github.com/slaterock/slaterock/internal/prog/result"
	"github.com/slaterock/slaterock/internal/prog/runner"
)

const (
	idlePeers       = 320
	piecesPerAnswer = 200
	parallelAnswers = 100
)

// serveTCP serves a Link on a loopback port until the benchmark ends.
func serveTCP(b *testing.B, l *Link) string {
	b.Helper()
	ln, err := (&net.ListenConfig{}).Listen(b.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	l.Address = ln.Addr().String()
	ctx, stop := context.WithCancel(context.Background())
	_ = l.Start(ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = l.Serve(ctx, ln)
	}()
	b.Cleanup(func() {
		stop()
		<-done
	})
	return l.Address
}

// cpuTime returns the CPU time of this process, in which both ends run.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

func reportCPU(b *testing.B, start time.Duration, n int, unit string) {
	b.ReportMetric(float64((cpuTime()-start).Nanoseconds())/1000/float64(n), unit)
}

func echo(_ context.Context, c call.Call, _ runner.Sink) result.Result {
	return result.Result{Code: result.CodeOK, Ran: result.Yes, Body: c.Body}
}

// BenchmarkCall measures a relayed call whose request and answer both have the
// given size.
func BenchmarkCall(b *testing.B) {
	sizes := map[string]int{"1KB": 1 << 10, "10KB": 10 << 10, "1MB": 1 << 20}
	for name, size := range sizes {
		b.Run(name, func(b *testing.B) {
			var client, server Link
			server.Runner = scripted{call: echo}
			peer := client.Peer(serveTCP(b, &server))
			serveTCP(b, &client)
			body := []byte(strings.Repeat(`{"role":"user","content":"text"},`, size/33+1)[:size])
			start := cpuTime()
			for b.Loop() {
				if !peer.Call(b.Context(), call.Call{Body: body}, nil).OK() {
					b.Fatal("call failed")
				}
			}
			reportCPU(b, start, b.N, "cpu-us/call")
		})
	}
}

// BenchmarkPieces measures the CPU time per piece of streamed answers, many at a
// time over one connection.
func BenchmarkPieces(b *testing.B) {
	var client, server Link
	server.Runner = scripted{call: func(_ context.Context, _ call.Call, sink runner.Sink) result.Result {
		for range piecesPerAnswer {
			if sink(" token") != nil {
				return result.Result{}
			}
		}
		return result.Result{Code: result.CodeOK}
	}}
	peer := client.Peer(serveTCP(b, &server))
	serveTCP(b, &client)
	start := cpuTime()
	for b.Loop() {
		var all sync.WaitGroup
		for range parallelAnswers {
			all.Go(func() { peer.Call(b.Context(), call.Call{}, func(string) error { return nil }) })
		}
		all.Wait()
	}
	reportCPU(b, start, b.N*parallelAnswers*piecesPerAnswer, "cpu-us/piece")
}

// BenchmarkPacket measures sending and receiving a membership packet.
func BenchmarkPacket(b *testing.B) {
	var client, server Link
	got := make(chan struct{}, 1)
	server.OnPacket = func(swim.Packet) { got <- struct{}{} }
	peer := client.Peer(serveTCP(b, &server))
	serveTCP(b, &client)
	start := cpuTime()
	for b.Loop() {
		peer.Send(swim.Packet{From: "10.0.0.1:7401", Round: 5})
		<-got
	}
	reportCPU(b, start, b.N, "cpu-us/packet")
}

// BenchmarkIdle measures the memory of an idle connection, including the server
// Link at its other end.
func BenchmarkIdle(b *testing.B) {
	for b.Loop() {
		before := heapInUse()
		var client Link
		serveTCP(b, &client)
		for range idlePeers {
			server := &Link{Workers: 1}
			address := serveTCP(b, server)
			if client.Peer(address).Open(b.Context(), call.Open{}).Code == "" {
				b.Fatal("no result from the server")
			}
		}
		b.ReportMetric(float64(heapInUse()-before)/idlePeers/1024, "KB/connection")
	}
}

func heapInUse() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc + m.StackInuse)
}
