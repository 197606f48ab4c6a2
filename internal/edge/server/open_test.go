package server

import (
	"bufio"
	"context"
	"fmt"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttputil"

	"github.com/slaterock/slaterock/internal/prog/call"
	"github.com/slaterock/slaterock/internal/prog/result"
	"github.com/slaterock/slaterock/internal/prog/runner"
)

// BenchmarkOpenStreams keeps n streams open at one server over in-memory
// connections and measures sending a piece to each of them.
func BenchmarkOpenStreams(b *testing.B) {
	for _, n := range []int{1000, 2500, 5000, 7500, 10000} {
		b.Run(fmt.Sprintf("streams=%d", n), func(b *testing.B) {
			before := heapBytes()
			o := openStreams(b, n)
			held := float64(heapBytes() - before)
			for b.Loop() {
				o.piece()
			}
			b.ReportMetric(held/float64(n), "B/stream")
			b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(b.N)/float64(n), "us/piece")
		})
	}
}

type streamSet struct {
	n        int
	send     []chan string
	received chan struct{}
}

// piece sends one piece to each stream and waits until all callers have it.
func (o *streamSet) piece() {
	for _, c := range o.send {
		c <- " karibu"
	}
	for range o.n {
		<-o.received
	}
}

func openStreams(b *testing.B, n int) *streamSet {
	b.Helper()
	o := &streamSet{n: n, received: make(chan struct{}, n)}
	var mu sync.Mutex
	free := make([]chan string, n)
	for i := range free {
		free[i] = make(chan string, 1)
	}
	o.send = append(o.send, free...)
	f := &fake{call: func(ctx context.Context, _ call.Call, sink runner.Sink) result.Result {
		mu.Lock()
		pieces := free[0]
		free = free[1:]
		mu.Unlock()
		for {
			select {
			case p := <-pieces:
				if sink(p) != nil {
					return result.Result{}
				}
			case <-ctx.Done():
				return result.Result{}
			}
		}
	}}
	s := &Server{Runner: f, Account: accounts, MaxCalls: n, MaxConns: n + 1, Heartbeat: time.Hour}
	ln := fasthttputil.NewInmemoryListener()
	go func() { _ = s.Serve(ln) }()
	b.Cleanup(func() { _ = ln.Close() })
	for range n {
		go o.readStream(b, ln)
	}
	o.piece()
	return o
}

// readStream is one caller: it reads its stream and signals each piece.
func (o *streamSet) readStream(b *testing.B, ln *fasthttputil.InmemoryListener) {
	c, err := ln.Dial()
	if err != nil {
		b.Error(err)
		return
	}
	var req fasthttp.Request
	req.Header.SetMethod("POST")
	req.SetRequestURI("http://daemon/v1/chat/completions")
	req.Header.Set("Authorization", "Bearer "+accountKey)
	req.Header.Set(HeaderProgram, "round-7")
	req.Header.Set(HeaderCall, "0")
	req.SetBodyString(streamBody)
	if err := write(&req, bufio.NewWriter(c)); err != nil {
		b.Error(err)
		return
	}
	lines := bufio.NewScanner(c)
	for lines.Scan() {
		if strings.Contains(lines.Text(), "karibu") {
			o.received <- struct{}{}
		}
	}
}

func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc + m.StackInuse
}
