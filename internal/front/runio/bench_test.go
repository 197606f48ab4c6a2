package runio

import (
	"testing"
	"time"

	"github.com/slaterock/slaterock/internal/disk/index"
	"github.com/slaterock/slaterock/internal/front/owners"
)

// BenchmarkReceive takes a question about a request that is about to run and answers it.
func BenchmarkReceive(b *testing.B) {
	x := &Exchange{Self: "10.200.1.7:8141", Started: time.Now(), Listed: func() []owners.Owner { return nil }}
	run := index.Run{Attempt: "9c41d07be2a35f68", Request: 1 << 62, Under: 1, Front: x.Front(), At: time.Now().UnixMilli()}
	question, err := encode(packet{Seq: 1 << 20, Key: 1 << 62, Run: &run})
	if err != nil {
		b.Fatal(err)
	}
	answer := x.Receive(time.Now(), question)
	for b.Loop() {
		x.Receive(time.Now(), question)
	}
	b.ReportMetric(float64(len(question)), "question-bytes")
	b.ReportMetric(float64(len(answer)), "answer-bytes")
}
