package chat_test

import (
	"net"
	"testing"

	"github.com/slaterock/slaterock/internal/fake/model"
	"github.com/slaterock/slaterock/internal/plat/chat"
	"github.com/slaterock/slaterock/internal/plat/engine"
	"github.com/slaterock/slaterock/internal/plat/httpc"
)

// BenchmarkPiece measures the time per piece of an answer over loopback, fake engine
// and client together.
func BenchmarkPiece(b *testing.B) {
	const pieces = 1000
	var l net.ListenConfig
	ln, err := l.Listen(b.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	h := model.Serve(ln, &model.Engine{Name: "e1", Speed: 1e12, Piece: 1, Output: pieces})
	defer h.Close()
	c := &chat.Client{Endpoint: httpc.Endpoint{Address: h.Address()}}
	n := 0
	b.ReportAllocs()
	for b.Loop() {
		_, err := c.Chat(b.Context(), request("r1", "p", "one"), func(engine.Delta) error {
			n++
			return nil
		})
		if err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(n), "ns/piece")
}
