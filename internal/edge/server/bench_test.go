package server

import (
	"bufio"
	"io"
	"net"
	"testing"

	"github.com/valyala/fasthttp"

	"github.com/slaterock/slaterock/internal/obs/logs"
	"github.com/slaterock/slaterock/internal/obs/metric"
	"github.com/slaterock/slaterock/internal/obs/trace"
	"github.com/slaterock/slaterock/internal/prog/call"
)

// piecesPerAnswer is the number of pieces of a typical answer.
const piecesPerAnswer = 200

// serve runs a server on loopback with logs, metrics and a tracer that exports
// nothing, as in a daemon.
func serve(b *testing.B, answer ...string) net.Addr {
	b.Helper()
	l, err := logs.Open(io.Discard, "", logs.JSON)
	if err != nil {
		b.Fatal(err)
	}
	tr, err := trace.Open(b.Context(), trace.Settings{})
	if err != nil {
		b.Fatal(err)
	}
	whole := ""
	for _, p := range answer {
		whole += p
	}
	f := &fake{call: respondWith(whole, answer...), ends: make(chan call.End)}
	s := &Server{Runner: f, Account: accounts, Logs: l, Trace: tr, Scope: metric.New().Scope()}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	go func() { _ = s.Serve(ln) }()
	b.Cleanup(func() { _ = ln.Close() })
	return ln.Addr()
}

// sendRequests repeats the request over one connection per goroutine and reads
// each response completely.
func sendRequests(b *testing.B, addr net.Addr, body string) {
	b.Helper()
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		c, err := net.Dial("tcp", addr.String())
		if err != nil {
			b.Error(err)
			return
		}
		defer func() { _ = c.Close() }()
		r, w := bufio.NewReader(c), bufio.NewWriter(c)
		var req fasthttp.Request
		var res fasthttp.Response
		req.Header.SetMethod("POST")
		req.SetRequestURI("http://" + addr.String() + "/v1/chat/completions")
		req.Header.Set("Authorization", "Bearer "+accountKey)
		req.Header.Set(HeaderProgram, "round-7")
		req.Header.Set(HeaderCall, "0")
		req.SetBodyString(body)
		for pb.Next() {
			if err := write(&req, w); err != nil {
				b.Error(err)
				return
			}
			if err := res.Read(r); err != nil || res.StatusCode() != 200 {
				b.Error(err, res.StatusCode())
				return
			}
		}
	})
}

func write(req *fasthttp.Request, w *bufio.Writer) error {
	if err := req.Write(w); err != nil {
		return err
	}
	return w.Flush()
}

func BenchmarkPlain(b *testing.B) {
	sendRequests(b, serve(b, "karibu"), plainBody)
}

func BenchmarkStream(b *testing.B) {
	answer := make([]string, piecesPerAnswer)
	for i := range answer {
		answer[i] = " sana"
	}
	sendRequests(b, serve(b, answer...), streamBody)
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/piecesPerAnswer, "ns/piece")
}
